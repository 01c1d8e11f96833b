//! What a voter keeps on disk: a `redb` file, and beside it a small witness of the last batch.
//!
//! `redb` commits all or nothing. Beyond what it checks, each record carries a checksum over its key and its bytes,
//! and the records together are checked to be whole. A file that fell back to an older state is consistent in
//! itself; the witness, written after each commit, tells.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};

use lemoncleat_faults::{fails, point};
use redb::{Builder, Database, ReadableDatabase, ReadableTable, TableDefinition};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::{Batch, Entry, Found, Kept, Mark, Place, Promise};

/// The version of what is written here.
const FORMAT: u32 = 1;
const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
const SUM: usize = 16;
const SLOT: usize = 8 + SUM;
/// The voter's working set is in memory; the store is read once.
const CACHE: usize = 4 * 1024 * 1024;

/// Why a store can't be used, with the file's name.
#[derive(Debug)]
pub enum StoreError {
    /// The system, or `redb`, says no. Trying again may help.
    Failed(PathBuf, String),
    /// It is not what was written: never used.
    Corrupt(PathBuf, String),
    /// Another version of this program wrote it.
    Format(PathBuf, u32),
}

impl std::fmt::Display for StoreError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StoreError::Failed(path, why) => write!(f, "{}: {why}", path.display()),
            StoreError::Corrupt(path, why) => write!(f, "{}: torn or corrupt: {why}", path.display()),
            StoreError::Format(path, format) => {
                write!(f, "{}: written in format {format}, this program reads {FORMAT}", path.display())
            }
        }
    }
}

impl std::error::Error for StoreError {}

/// All but the snapshot and the entries.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Head {
    store: u64,
    batch: u64,
    place: Option<Place>,
    promise: Promise,
    trimmed: Mark,
    last: u64,
    snapshot: u64,
}

/// A voter's store.
pub struct Store {
    path: PathBuf,
    /// None after an error; opened again with the next batch.
    database: Option<Database>,
    identity: u64,
}

impl Store {
    /// Opens the store at a path, or makes one there. `fresh` is a random number that becomes its identity if it
    /// is made now. The witness lies beside it, with `.last` added to the name.
    ///
    /// # Errors
    ///
    /// When the file can't be opened, or is not what was last written.
    pub fn open(path: &Path, fresh: u64) -> Result<Store, StoreError> {
        point!(STORE_OPEN);
        let failed = |error: String| StoreError::Failed(path.to_owned(), error);
        if fails!(STORE_OPEN) {
            return Err(failed("a fault put here by a test".to_owned()));
        }
        if !path.try_exists().map_err(|error| failed(error.to_string()))? {
            // A start that ended while it made the store left a witness of nothing.
            if beside(path, ".last").exists() && witness(path).is_ok_and(|(_, batch)| batch > 0) {
                return Err(corrupt(path, "the file is missing, and its witness tells of stored batches"));
            }
            make(path, fresh)?;
        }
        let mut store = Store { path: path.to_owned(), database: Some(open(path)?), identity: 0 };
        store.identity = store.read_all()?.store;
        Ok(store)
    }

    /// The random number drawn when it was made.
    pub fn identity(&self) -> u64 {
        self.identity
    }

    /// All that it holds.
    ///
    /// # Errors
    ///
    /// When it can't be read, or is not what was written.
    pub fn read_all(&self) -> Result<Found, StoreError> {
        let path = &self.path;
        let Some(database) = &self.database else {
            return Err(StoreError::Failed(path.clone(), "closed after an error".to_owned()));
        };
        let found = guard(path, || read(path, database))?;
        found.check().map_err(|why| corrupt(path, why))?;
        match witness(path)? {
            (store, _) if store != found.store => Err(corrupt(path, "the witness is of another store")),
            (_, batch) if batch > found.batch => {
                Err(corrupt(path, format!("holds batch {}, but batch {batch} was stored", found.batch)))
            }
            _ => Ok(found),
        }
    }

    /// Stores a batch; when this returns it is on disk. A batch may be given again.
    ///
    /// # Errors
    ///
    /// When it can't be written. The store opens anew at the next try.
    pub fn apply(&mut self, batch: &Batch) -> Result<(), StoreError> {
        if self.database.is_none() {
            let database = open(&self.path)?;
            self.database = Some(database);
            if self.read_all()?.store != self.identity {
                self.database = None;
                return Err(corrupt(&self.path, "another store lies here now"));
            }
        }
        let written = match &self.database {
            Some(database) => write(&self.path, database, batch),
            None => Ok(()),
        };
        let done = written.and_then(|()| {
            let slot = slot(self.identity, batch.number);
            mark(&self.path, batch.number, &slot).map_err(|error| self.failed(&error))
        });
        if done.is_err() {
            self.database = None;
            return done;
        }
        point!(STORE_SYNCED);
        Ok(())
    }

    fn failed(&self, error: &dyn std::fmt::Display) -> StoreError {
        StoreError::Failed(self.path.clone(), error.to_string())
    }
}

fn corrupt(path: &Path, why: impl Into<String>) -> StoreError {
    StoreError::Corrupt(path.to_owned(), why.into())
}

/// `redb` panics at some damage that it doesn't look for.
fn guard<T>(path: &Path, work: impl FnOnce() -> Result<T, StoreError>) -> Result<T, StoreError> {
    catch_unwind(AssertUnwindSafe(work))
        .unwrap_or_else(|_| Err(corrupt(path, "the file's structure is broken")))
}

fn open(path: &Path) -> Result<Database, StoreError> {
    guard(path, || {
        let mut builder = Builder::new();
        builder.set_cache_size(CACHE).set_check_integrity_on_open(true);
        let metadata =
            fs::metadata(path).map_err(|error| StoreError::Failed(path.to_owned(), error.to_string()))?;
        if metadata.len() == 0 {
            return Err(corrupt(path, "the file is empty"));
        }
        builder.open(path).map_err(|error| match error {
            redb::DatabaseError::Storage(redb::StorageError::Io(error))
                if !matches!(error.kind(), io::ErrorKind::InvalidData | io::ErrorKind::UnexpectedEof) =>
            {
                StoreError::Failed(path.to_owned(), error.to_string())
            }
            redb::DatabaseError::DatabaseAlreadyOpen => {
                StoreError::Failed(path.to_owned(), error.to_string())
            }
            error => corrupt(path, error.to_string()),
        })
    })
}

/// Makes a store beside its place and moves it there, so that none is ever half made.
fn make(path: &Path, identity: u64) -> Result<(), StoreError> {
    let failed = |error: &dyn std::fmt::Display| StoreError::Failed(path.to_owned(), error.to_string());
    let making = beside(path, ".new");
    if let Err(error) = fs::remove_file(&making) {
        if error.kind() != io::ErrorKind::NotFound {
            return Err(failed(&error));
        }
    }
    let head = Head {
        store: identity,
        batch: 0,
        place: None,
        promise: Promise::default(),
        trimmed: Mark::default(),
        last: 0,
        snapshot: 0,
    };
    let database = Builder::new().create(&making).map_err(|error| failed(&error))?;
    let work = || -> Result<(), redb::Error> {
        let transaction = database.begin_write()?;
        transaction.open_table(META)?.insert("head", seal("head", &(FORMAT, head)).as_slice())?;
        transaction.open_table(LOG)?;
        Ok(transaction.commit()?)
    };
    work().map_err(|error| failed(&error))?;
    drop(database);
    let place = || -> io::Result<()> {
        File::open(&making)?.sync_all()?;
        let mut file = File::create(beside(path, ".last"))?;
        file.write_all(&slot(identity, 0))?;
        file.write_all(&slot(identity, 0))?;
        file.sync_all()?;
        fs::rename(&making, path)?;
        let directory = path.parent().filter(|parent| !parent.as_os_str().is_empty());
        File::open(directory.unwrap_or(Path::new(".")))?.sync_all()
    };
    place().map_err(|error| failed(&error))
}

fn beside(path: &Path, ending: &str) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(ending);
    name.into()
}

/// A record with its checksum, which covers the key too.
fn seal(key: &str, value: &impl Serialize) -> Vec<u8> {
    let bytes = postcard::to_allocvec(value).unwrap_or_default();
    let mut sealed = sum(key, &bytes).to_vec();
    sealed.extend(bytes);
    sealed
}

fn unseal<T: DeserializeOwned>(path: &Path, key: &str, sealed: &[u8]) -> Result<T, StoreError> {
    let parts = sealed.split_at_checked(SUM).filter(|(sealed, bytes)| *sealed == sum(key, bytes));
    let (_, bytes) = parts.ok_or_else(|| corrupt(path, format!("the checksum of {key} is wrong")))?;
    postcard::from_bytes(bytes).map_err(|error| corrupt(path, format!("{key}: {error}")))
}

fn sum(key: &str, bytes: &[u8]) -> [u8; SUM] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(key.as_bytes()).update(&[0]).update(bytes);
    let mut sum = [0; SUM];
    hasher.finalize_xof().fill(&mut sum);
    sum
}

fn read_head(path: &Path, sealed: &[u8]) -> Result<Head, StoreError> {
    // Only the number is read until the format is known.
    let format: u32 = unseal(path, "head", sealed)?;
    if format != FORMAT {
        return Err(StoreError::Format(path.to_owned(), format));
    }
    unseal::<(u32, Head)>(path, "head", sealed).map(|(_, head)| head)
}

fn read(path: &Path, database: &Database) -> Result<Found, StoreError> {
    let failed = |error: redb::Error| match error {
        redb::Error::Io(error) => StoreError::Failed(path.to_owned(), error.to_string()),
        error => corrupt(path, error.to_string()),
    };
    let transaction = database.begin_read().map_err(|error| failed(error.into()))?;
    let meta = transaction.open_table(META).map_err(|error| failed(error.into()))?;
    let log = transaction.open_table(LOG).map_err(|error| failed(error.into()))?;
    let record = |key: &str| -> Result<Option<Vec<u8>>, StoreError> {
        let value = meta.get(key).map_err(|error| failed(error.into()))?;
        Ok(value.map(|value| value.value().to_vec()))
    };
    let head = record("head")?.ok_or_else(|| corrupt(path, "it has no head"))?;
    let head = read_head(path, &head)?;
    let snapshot = match record("snapshot")? {
        Some(sealed) => Some(unseal::<Kept>(path, "snapshot", &sealed)?),
        None => None,
    };
    if snapshot.as_ref().map_or(0, |kept| kept.at.index) != head.snapshot {
        return Err(corrupt(path, "the snapshot is not the one that was stored"));
    }
    let mut entries = Vec::new();
    for row in log.iter().map_err(|error| failed(error.into()))? {
        let (index, sealed) = row.map_err(|error| failed(error.into()))?;
        let entry: Entry = unseal(path, &index.value().to_string(), sealed.value())?;
        if entry.at.index != index.value() {
            return Err(corrupt(path, "an entry is not in its place"));
        }
        entries.push(entry);
    }
    if entries.last().map_or(head.trimmed.index, |entry| entry.at.index) != head.last {
        return Err(corrupt(path, "the end of the log is missing"));
    }
    Ok(Found {
        store: head.store,
        batch: head.batch,
        place: head.place,
        promise: head.promise,
        snapshot,
        trimmed: head.trimmed,
        entries,
    })
}

fn write(path: &Path, database: &Database, batch: &Batch) -> Result<(), StoreError> {
    let failed = |error: redb::Error| StoreError::Failed(path.to_owned(), error.to_string());
    let fault = || StoreError::Failed(path.to_owned(), "a fault put here by a test".to_owned());
    point!(STORE_WRITE);
    if fails!(STORE_WRITE) {
        return Err(fault());
    }
    let transaction = database.begin_write().map_err(|error| failed(error.into()))?;
    {
        let mut meta = transaction.open_table(META).map_err(|error| failed(error.into()))?;
        let mut log = transaction.open_table(LOG).map_err(|error| failed(error.into()))?;
        let head = meta.get("head").map_err(|error| failed(error.into()))?;
        let head = head.map(|head| head.value().to_vec()).ok_or_else(|| corrupt(path, "it has no head"))?;
        let mut head = read_head(path, &head)?;
        // The same number again: the last try failed and may have left it in memory only, so it is written anew.
        if head.batch > batch.number {
            return Ok(());
        }
        if batch.number > head.batch + 1 {
            let why = format!("batch {} follows {}", batch.number, head.batch);
            return Err(StoreError::Failed(path.to_owned(), why));
        }
        head.batch = batch.number;
        if let Some(place) = &batch.place {
            head.place = Some(place.clone());
        }
        if let Some(promise) = batch.promise {
            head.promise = promise;
        }
        if let Some(kept) = &batch.snapshot {
            point!(STORE_SNAPSHOT);
            if fails!(STORE_SNAPSHOT) {
                return Err(fault());
            }
            let sealed = seal("snapshot", kept);
            meta.insert("snapshot", sealed.as_slice()).map_err(|error| failed(error.into()))?;
            head.snapshot = kept.at.index;
            if batch.clear {
                log.retain(|_, _| false).map_err(|error| failed(error.into()))?;
                head.trimmed = kept.at;
                head.last = kept.at.index;
            }
        }
        if let Some(first) = batch.entries.first().map(|entry| entry.at.index) {
            log.retain_in(first.., |_, _| false).map_err(|error| failed(error.into()))?;
            for entry in &batch.entries {
                let sealed = seal(&entry.at.index.to_string(), entry);
                log.insert(entry.at.index, sealed.as_slice()).map_err(|error| failed(error.into()))?;
                head.last = entry.at.index;
            }
        }
        if let Some(trim) = batch.trim {
            point!(STORE_TRIM);
            if fails!(STORE_TRIM) {
                return Err(fault());
            }
            log.retain_in(..=trim.index, |_, _| false).map_err(|error| failed(error.into()))?;
            head.trimmed = trim;
        }
        let sealed = seal("head", &(FORMAT, head));
        meta.insert("head", sealed.as_slice()).map_err(|error| failed(error.into()))?;
    }
    point!(STORE_SYNC);
    if fails!(STORE_SYNC) {
        return Err(fault());
    }
    transaction.commit().map_err(|error| failed(error.into()))
}

/// A slot of the witness: a batch's number and a checksum over it and the store's identity.
fn slot(identity: u64, batch: u64) -> Vec<u8> {
    let mut slot = identity.to_le_bytes().to_vec();
    slot.extend(batch.to_le_bytes());
    let check = sum("witness", &slot);
    slot.extend(check);
    slot
}

/// Two slots in turn: one is always whole.
fn mark(path: &Path, batch: u64, slot: &[u8]) -> io::Result<()> {
    let mut file = OpenOptions::new().write(true).open(beside(path, ".last"))?;
    file.seek(SeekFrom::Start((batch % 2) * slot.len() as u64))?;
    file.write_all(slot)?;
    file.sync_data()
}

/// The store's identity and the last batch of which it was said that it is stored.
fn witness(path: &Path) -> Result<(u64, u64), StoreError> {
    let name = beside(path, ".last");
    let mut bytes = Vec::new();
    let mut file = File::open(&name).map_err(|error| match error.kind() {
        io::ErrorKind::NotFound => corrupt(&name, "the witness of the last batch is missing"),
        _ => StoreError::Failed(name.clone(), error.to_string()),
    })?;
    file.read_to_end(&mut bytes).map_err(|error| StoreError::Failed(name.clone(), error.to_string()))?;
    let valid = bytes.chunks_exact(8 + SLOT).filter_map(|chunk| {
        let identity = u64::from_le_bytes(chunk.get(..8)?.try_into().ok()?);
        let batch = u64::from_le_bytes(chunk.get(8..16)?.try_into().ok()?);
        (slot(identity, batch) == chunk).then_some((batch, identity))
    });
    valid.max().map(|(batch, identity)| (identity, batch)).ok_or_else(|| corrupt(&name, "no slot is whole"))
}
