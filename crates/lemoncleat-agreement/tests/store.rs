//! The store on disk: damage by a crash or a flipped bit is reported or has no effect.

use std::fs;
use std::path::{Path, PathBuf};

use lemoncleat_agreement::{Batch, Entry, Found, Kept, Mark, Promise, Store, StoreError, StoreOwner, Writer};

fn entry(index: u64, term: u64) -> Entry {
    Entry { at: Mark { index, term }, command: vec![index as u8; 40], origin: vec![1, 2, 3] }
}

/// A typical sequence of batches: votes, entries, entries that replace others, a snapshot, trimming, and a
/// snapshot of another voter.
fn batches() -> Vec<Batch> {
    let promise = |term, commit| Some(Promise { term, vote: 2, commit });
    let owner =
        StoreOwner { own: 1, voters: vec![1, 2, 3], admitted: true, stores: [(2, 22), (3, 33)].into() };
    let kept = |index, term| Some(Kept { at: Mark { index, term }, bytes: vec![7; 300] });
    let mut batches = vec![
        Batch { owner: Some(owner), ..Batch::default() },
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

/// Returns a store with all batches, and its expected contents.
fn create_filled(directory: &Path) -> (PathBuf, Found) {
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

fn sibling_path(path: &Path, ending: &str) -> PathBuf {
    PathBuf::from(format!("{}{ending}", path.display()))
}

#[test]
fn reads_back_what_was_stored() {
    let directory = tempfile::tempdir().unwrap();
    let (path, expected) = create_filled(directory.path());
    let mut store = Store::open(&path, 5).unwrap();
    assert_eq!(store.read_all().unwrap(), expected);
    // Applied again, as after a reported failure of a batch that was in fact stored.
    store.apply(batches().last().unwrap()).unwrap();
    assert_eq!(store.read_all().unwrap(), expected);
    // A batch that skips a number is rejected.
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
fn reports_a_changed_byte_or_reads_the_same_contents() {
    let directory = tempfile::tempdir().unwrap();
    let (path, expected) = create_filled(directory.path());
    let (intact, witness) = (fs::read(&path).unwrap(), fs::read(sibling_path(&path, ".last")).unwrap());
    let copy = directory.path().join("copy");
    let (mut reported, mut harmless) = (0, 0);
    let mut check = |intact: &[u8], witness: &[u8], change: String| {
        fs::write(&copy, intact).unwrap();
        fs::write(sibling_path(&copy, ".last"), witness).unwrap();
        match reopen(&copy) {
            Ok(found) => {
                assert_eq!(found, expected, "{change}");
                harmless += 1;
            }
            Err(error) => {
                assert!(error.to_string().contains(copy.to_str().unwrap()), "{error}");
                reported += 1;
            }
        }
    };
    // All bytes of the file header, and a sample of the other non-zero bytes.
    let positions = (0..intact.len())
        .filter(|position| *position < 320 || (intact[*position] != 0 && position % 173 == 0));
    for position in positions.collect::<Vec<_>>() {
        for flip in [1u8 << (position % 8), 0xff] {
            let mut changed = intact.clone();
            changed[position] ^= flip;
            check(&changed, &witness, format!("byte {position} ^ {flip}"));
        }
    }
    for position in 0..witness.len() {
        let mut changed = witness.clone();
        changed[position] ^= 1 << (position % 8);
        check(&intact, &changed, format!("witness byte {position}"));
    }
    let lengths = (0..intact.len()).step_by(intact.len() / 64);
    for length in lengths {
        check(&intact[..length], &witness, format!("cut off at {length}"));
    }
    for length in 0..witness.len() {
        check(&intact, &witness[..length], format!("witness cut off at {length}"));
    }
    println!("{} bytes: {reported} changes reported, {harmless} without effect", intact.len());
    assert!(reported > 200);
}

#[test]
fn detects_an_older_file() {
    let directory = tempfile::tempdir().unwrap();
    let (path, _) = create_filled(directory.path());
    let older = fs::read(&path).unwrap();
    let mut store = Store::open(&path, 5).unwrap();
    store.apply(&Batch { number: 7, entries: vec![entry(81, 4)], ..Batch::default() }).unwrap();
    drop(store);
    fs::write(&path, &older).unwrap();
    let error = reopen(&path).unwrap_err();
    assert!(matches!(&error, StoreError::Corrupt(..)), "{error}");
    // Nor may a new store be created silently where one was.
    fs::remove_file(&path).unwrap();
    assert!(matches!(reopen(&path), Err(StoreError::Corrupt(..))));
    assert!(!path.exists());
    // Nor may a store be opened without its witness.
    fs::write(&path, &older).unwrap();
    fs::remove_file(sibling_path(&path, ".last")).unwrap();
    assert!(matches!(reopen(&path), Err(StoreError::Corrupt(..))));
}
