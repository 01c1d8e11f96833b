//! The store on disk: what a crash or a flipped bit leaves is told or harmless.

use std::fs;
use std::path::{Path, PathBuf};

use lemoncleat_agreement::{Batch, Entry, Found, Kept, Mark, Place, Promise, Store, StoreError, Writer};

fn entry(index: u64, term: u64) -> Entry {
    Entry { at: Mark { index, term }, command: vec![index as u8; 40], origin: vec![1, 2, 3] }
}

/// A life's worth of batches: votes, entries, entries that replace others, a snapshot, trimming, another's snapshot.
fn batches() -> Vec<Batch> {
    let promise = |term, commit| Some(Promise { term, vote: 2, commit });
    let place = Place { own: 1, voters: vec![1, 2, 3], admitted: true, stores: [(2, 22), (3, 33)].into() };
    let kept = |index, term| Some(Kept { at: Mark { index, term }, bytes: vec![7; 300] });
    let mut batches = vec![
        Batch { place: Some(place), ..Batch::default() },
        Batch {
            promise: promise(1, 0),
            entries: (1..=20).map(|index| entry(index, 1)).collect(),
            ..Batch::default()
        },
        Batch {
            promise: promise(2, 9),
            entries: (11..=30).map(|index| entry(index, 2)).collect(),
            ..Batch::default()
        },
        Batch { snapshot: kept(20, 2), trim: Some(Mark { index: 15, term: 2 }), ..Batch::default() },
        Batch {
            promise: promise(3, 50),
            snapshot: kept(50, 3),
            clear: true,
            entries: (51..=60).map(|index| entry(index, 3)).collect(),
            ..Batch::default()
        },
        Batch {
            promise: promise(4, 55),
            entries: (56..=80).map(|index| entry(index, 4)).collect(),
            ..Batch::default()
        },
    ];
    for (number, batch) in (1..).zip(&mut batches) {
        batch.number = number;
    }
    batches
}

/// A store with all batches, and what it holds.
fn filled(directory: &Path) -> (PathBuf, Found) {
    let path = directory.join("log");
    let mut store = Store::open(&path, 99).unwrap();
    let mut expected = Found::new(99);
    for batch in batches() {
        store.apply(&batch).unwrap();
        expected.apply(&batch);
        assert_eq!(store.read_all().unwrap(), expected);
    }
    (path, expected)
}

fn reopen(path: &Path) -> Result<Found, StoreError> {
    Store::open(path, 5)?.read_all()
}

fn beside(path: &Path, ending: &str) -> PathBuf {
    PathBuf::from(format!("{}{ending}", path.display()))
}

#[test]
fn what_is_stored_is_found_again() {
    let directory = tempfile::tempdir().unwrap();
    let (path, expected) = filled(directory.path());
    let mut store = Store::open(&path, 5).unwrap();
    assert_eq!(store.read_all().unwrap(), expected);
    // Again, as after a failure that was none.
    store.apply(batches().last().unwrap()).unwrap();
    assert_eq!(store.read_all().unwrap(), expected);
    // One that skips a batch is no batch of this store.
    assert!(store.apply(&Batch { number: 100, ..Batch::default() }).is_err());
    drop(store);
    let (sender, receiver) = std::sync::mpsc::channel();
    let writer = Writer::start(Store::open(&path, 5).unwrap(), move |number, result| {
        sender.send((number, result)).unwrap();
    });
    let batch = Batch { number: 7, entries: vec![entry(81, 4)], ..Batch::default() };
    assert!(writer.unwrap().write(batch));
    assert_eq!(receiver.recv().unwrap(), (7, Ok(())));
    assert_eq!(reopen(&path).unwrap().entries.last(), Some(&entry(81, 4)));
}

#[test]
fn a_changed_byte_is_told_or_harmless() {
    let directory = tempfile::tempdir().unwrap();
    let (path, expected) = filled(directory.path());
    let (whole, last) = (fs::read(&path).unwrap(), fs::read(beside(&path, ".last")).unwrap());
    let copy = directory.path().join("copy");
    let (mut told, mut harmless) = (0, 0);
    let mut check = |whole: &[u8], last: &[u8], what: String| {
        fs::write(&copy, whole).unwrap();
        fs::write(beside(&copy, ".last"), last).unwrap();
        match reopen(&copy) {
            Ok(found) => {
                assert_eq!(found, expected, "{what}");
                harmless += 1;
            }
            Err(error) => {
                assert!(error.to_string().contains(copy.to_str().unwrap()), "{error}");
                told += 1;
            }
        }
    };
    // All of the header, and wherever something is.
    let places = (0..whole.len()).filter(|place| *place < 320 || (whole[*place] != 0 && place % 173 == 0));
    for place in places.collect::<Vec<_>>() {
        for flip in [1u8 << (place % 8), 0xff] {
            let mut changed = whole.clone();
            changed[place] ^= flip;
            check(&changed, &last, format!("byte {place} ^ {flip}"));
        }
    }
    for place in 0..last.len() {
        let mut changed = last.clone();
        changed[place] ^= 1 << (place % 8);
        check(&whole, &changed, format!("witness byte {place}"));
    }
    let lengths = (0..whole.len()).step_by(whole.len() / 64);
    for length in lengths {
        check(&whole[..length], &last, format!("cut off at {length}"));
    }
    for length in 0..last.len() {
        check(&whole, &last[..length], format!("witness cut off at {length}"));
    }
    println!("{} bytes: {told} changes told, {harmless} without effect", whole.len());
    assert!(told > 200);
}

#[test]
fn an_older_file_is_told() {
    let directory = tempfile::tempdir().unwrap();
    let (path, _) = filled(directory.path());
    let older = fs::read(&path).unwrap();
    let mut store = Store::open(&path, 5).unwrap();
    store.apply(&Batch { number: 7, entries: vec![entry(81, 4)], ..Batch::default() }).unwrap();
    drop(store);
    fs::write(&path, &older).unwrap();
    let error = reopen(&path).unwrap_err();
    assert!(matches!(&error, StoreError::Corrupt(..)), "{error}");
    // Nor is a new one made in silence where one was.
    fs::remove_file(&path).unwrap();
    assert!(matches!(reopen(&path), Err(StoreError::Corrupt(..))));
    assert!(!path.exists());
    // Nor one opened without its witness.
    fs::write(&path, &older).unwrap();
    fs::remove_file(beside(&path, ".last")).unwrap();
    assert!(matches!(reopen(&path), Err(StoreError::Corrupt(..))));
}
