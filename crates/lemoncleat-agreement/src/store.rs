//! The state of a voter on disk: a `redb` file, and beside it a small witness file of the last batch.
//!
//! `redb` commits atomically. In addition to its own checks, each record carries a checksum over its key and
//! its bytes, and the records are checked for completeness as a whole. A file that was reset to an older
//! state is consistent in itself; it is detected by the witness, which is written after each commit.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};

use lemoncleat_faults::{fails, point};
use redb::{Builder, Database, ReadableDatabase, ReadableTable, TableDefinition};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::{Batch, Entry, Found, Kept, Mark, Promise, StoreOwner};

/// Version of the file format.
const FORMAT: u32 = 1;
const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
const CHECKSUM_BYTES: usize = 16;
const SLOT_TAIL_BYTES: usize = 8 + CHECKSUM_BYTES;
/// A small cache is enough: the voter's working set is in memory, and the store is read once.
const CACHE_BYTES: usize = 4 * 1024 * 1024;

/// Why a store can't be used, with the file name.
#[derive(Debug)]
pub enum StoreError {
    /// The system or `redb` reported an error. Another attempt may succeed.
    Failed(PathBuf, String),
    /// The contents are not what was written; such a store is never used.
    Corrupt(PathBuf, String),
    /// The file was written by another version of this program.
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

/// The header record: everything except the snapshot and the entries.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Header {
    store: u64,
    batch: u64,
    owner: Option<StoreOwner>,
    promise: Promise,
    trimmed: Mark,
    last: u64,
    snapshot: u64,
}

/// The store of a voter.
pub struct Store {
    path: PathBuf,
    /// None after an error; opened again for the next batch.
    database: Option<Database>,
    identity: u64,
}

impl Store {
    /// Opens the store at a path, or creates one. `new_identity` is a random number that becomes the store's
    /// identity if it is created now. The witness is next to the file, with `.last` added to its name.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be opened, or does not contain what was last written.
    pub fn open(path: &Path, new_identity: u64) -> Result<Store, StoreError> {
        point!(STORE_OPEN);
        let failed = |error: String| StoreError::Failed(path.to_owned(), error);
        if fails!(STORE_OPEN) {
            return Err(failed("a fault put here by a test".to_owned()));
        }
        if !path.try_exists().map_err(|error| failed(error.to_string()))? {
            // A process that ended while it created the store leaves a witness of batch 0.
            if sibling_path(path, ".last").exists() && read_witness(path).is_ok_and(|(_, batch)| batch > 0) {
                return Err(corrupt(path, "the file is missing, but its witness records stored batches"));
            }
            create(path, new_identity)?;
        }
        let mut store = Store { path: path.to_owned(), database: Some(open(path)?), identity: 0 };
        store.identity = store.read_all()?.store;
        Ok(store)
    }

    /// Returns the identity, a random number chosen when the store was created.
    pub fn identity(&self) -> u64 {
        self.identity
    }

    /// Reads the entire contents.
    ///
    /// # Errors
    ///
    /// Returns an error if the store can't be read, or does not contain what was written.
    pub fn read_all(&self) -> Result<Found, StoreError> {
        let path = &self.path;
        let Some(database) = &self.database else {
            return Err(StoreError::Failed(path.clone(), "closed after an error".to_owned()));
        };
        let found = catch_panic(path, || read(path, database))?;
        found.check().map_err(|why| corrupt(path, why))?;
        match read_witness(path)? {
            (store, _) if store != found.store => Err(corrupt(path, "the witness belongs to another store")),
            (_, batch) if batch > found.batch => Err(corrupt(
                path,
                format!("the last batch is {}, but the witness records batch {batch}", found.batch),
            )),
            _ => Ok(found),
        }
    }

    /// Stores a batch, which is on disk when this returns. The same batch may be applied again.
    ///
    /// # Errors
    ///
    /// Returns an error if the batch can't be written. The store is reopened at the next attempt.
    pub fn apply(&mut self, batch: &Batch) -> Result<(), StoreError> {
        if self.database.is_none() {
            let database = open(&self.path)?;
            self.database = Some(database);
            if self.read_all()?.store != self.identity {
                self.database = None;
                return Err(corrupt(&self.path, "the file was replaced by another store"));
            }
        }
        let written = match &self.database {
            Some(database) => write(&self.path, database, batch),
            None => Ok(()),
        };
        let done = written.and_then(|()| {
            let slot = slot(self.identity, batch.number);
            write_slot(&self.path, batch.number, &slot).map_err(|error| self.failed(&error))
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

/// Converts panics to errors: `redb` panics on some kinds of damage that it doesn't check for.
fn catch_panic<T>(path: &Path, work: impl FnOnce() -> Result<T, StoreError>) -> Result<T, StoreError> {
    catch_unwind(AssertUnwindSafe(work))
        .unwrap_or_else(|_| Err(corrupt(path, "the file's structure is damaged")))
}

fn open(path: &Path) -> Result<Database, StoreError> {
    catch_panic(path, || {
        let mut builder = Builder::new();
        builder.set_cache_size(CACHE_BYTES).set_check_integrity_on_open(true);
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

/// Creates a store under a temporary name and renames it, so that an incomplete store never exists at its
/// path.
fn create(path: &Path, identity: u64) -> Result<(), StoreError> {
    let failed = |error: &dyn std::fmt::Display| StoreError::Failed(path.to_owned(), error.to_string());
    let temporary = sibling_path(path, ".new");
    if let Err(error) = fs::remove_file(&temporary) {
        if error.kind() != io::ErrorKind::NotFound {
            return Err(failed(&error));
        }
    }
    let header = Header {
        store: identity,
        batch: 0,
        owner: None,
        promise: Promise::default(),
        trimmed: Mark::default(),
        last: 0,
        snapshot: 0,
    };
    let database = Builder::new().create(&temporary).map_err(|error| failed(&error))?;
    let work = || -> Result<(), redb::Error> {
        let transaction = database.begin_write()?;
        transaction.open_table(META)?.insert("head", encode_record("head", &(FORMAT, header)).as_slice())?;
        transaction.open_table(LOG)?;
        Ok(transaction.commit()?)
    };
    work().map_err(|error| failed(&error))?;
    drop(database);
    let publish = || -> io::Result<()> {
        File::open(&temporary)?.sync_all()?;
        let mut file = File::create(sibling_path(path, ".last"))?;
        file.write_all(&slot(identity, 0))?;
        file.write_all(&slot(identity, 0))?;
        file.sync_all()?;
        fs::rename(&temporary, path)?;
        let directory = path.parent().filter(|parent| !parent.as_os_str().is_empty());
        File::open(directory.unwrap_or(Path::new(".")))?.sync_all()
    };
    publish().map_err(|error| failed(&error))
}

fn sibling_path(path: &Path, ending: &str) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(ending);
    name.into()
}

/// Encodes a record with a checksum that also covers the key.
fn encode_record(key: &str, value: &impl Serialize) -> Vec<u8> {
    let bytes = postcard::to_allocvec(value).unwrap_or_default();
    let mut encoded = checksum(key, &bytes).to_vec();
    encoded.extend(bytes);
    encoded
}

fn decode_record<T: DeserializeOwned>(path: &Path, key: &str, encoded: &[u8]) -> Result<T, StoreError> {
    let parts =
        encoded.split_at_checked(CHECKSUM_BYTES).filter(|(stored, bytes)| *stored == checksum(key, bytes));
    let (_, bytes) = parts.ok_or_else(|| corrupt(path, format!("the checksum of {key} is wrong")))?;
    postcard::from_bytes(bytes).map_err(|error| corrupt(path, format!("{key}: {error}")))
}

fn checksum(key: &str, bytes: &[u8]) -> [u8; CHECKSUM_BYTES] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(key.as_bytes()).update(&[0]).update(bytes);
    let mut checksum = [0; CHECKSUM_BYTES];
    hasher.finalize_xof().fill(&mut checksum);
    checksum
}

fn read_header(path: &Path, encoded: &[u8]) -> Result<Header, StoreError> {
    // Only the format number is decoded until the format is known.
    let format: u32 = decode_record(path, "head", encoded)?;
    if format != FORMAT {
        return Err(StoreError::Format(path.to_owned(), format));
    }
    decode_record::<(u32, Header)>(path, "head", encoded).map(|(_, header)| header)
}

fn read(path: &Path, database: &Database) -> Result<Found, StoreError> {
    let failed = |error: redb::Error| match error {
        redb::Error::Io(error) => StoreError::Failed(path.to_owned(), error.to_string()),
        error => corrupt(path, error.to_string()),
    };
    let transaction = database.begin_read().map_err(|error| failed(error.into()))?;
    let meta = transaction.open_table(META).map_err(|error| failed(error.into()))?;
    let log = transaction.open_table(LOG).map_err(|error| failed(error.into()))?;
    let read_record = |key: &str| -> Result<Option<Vec<u8>>, StoreError> {
        let value = meta.get(key).map_err(|error| failed(error.into()))?;
        Ok(value.map(|value| value.value().to_vec()))
    };
    let header = read_record("head")?.ok_or_else(|| corrupt(path, "the header record is missing"))?;
    let header = read_header(path, &header)?;
    let snapshot = match read_record("snapshot")? {
        Some(encoded) => Some(decode_record::<Kept>(path, "snapshot", &encoded)?),
        None => None,
    };
    if snapshot.as_ref().map_or(0, |kept| kept.at.index) != header.snapshot {
        return Err(corrupt(path, "the snapshot does not match the header"));
    }
    let mut entries = Vec::new();
    for row in log.iter().map_err(|error| failed(error.into()))? {
        let (index, encoded) = row.map_err(|error| failed(error.into()))?;
        let entry: Entry = decode_record(path, &index.value().to_string(), encoded.value())?;
        if entry.at.index != index.value() {
            return Err(corrupt(path, "an entry is stored under a wrong index"));
        }
        entries.push(entry);
    }
    if entries.last().map_or(header.trimmed.index, |entry| entry.at.index) != header.last {
        return Err(corrupt(path, "the end of the log is missing"));
    }
    Ok(Found {
        store: header.store,
        batch: header.batch,
        owner: header.owner,
        promise: header.promise,
        snapshot,
        trimmed: header.trimmed,
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
        let header = meta.get("head").map_err(|error| failed(error.into()))?;
        let header = header
            .map(|header| header.value().to_vec())
            .ok_or_else(|| corrupt(path, "the header record is missing"))?;
        let mut header = read_header(path, &header)?;
        // The same number again: the previous attempt failed and may have left the batch in memory only, so
        // it is written again.
        if header.batch > batch.number {
            return Ok(());
        }
        if batch.number > header.batch + 1 {
            let why = format!("batch {} can't follow batch {}", batch.number, header.batch);
            return Err(StoreError::Failed(path.to_owned(), why));
        }
        header.batch = batch.number;
        if let Some(owner) = &batch.owner {
            header.owner = Some(owner.clone());
        }
        if let Some(promise) = batch.promise {
            header.promise = promise;
        }
        if let Some(kept) = &batch.snapshot {
            point!(STORE_SNAPSHOT);
            if fails!(STORE_SNAPSHOT) {
                return Err(fault());
            }
            let encoded = encode_record("snapshot", kept);
            meta.insert("snapshot", encoded.as_slice()).map_err(|error| failed(error.into()))?;
            header.snapshot = kept.at.index;
            if batch.clear {
                log.retain(|_, _| false).map_err(|error| failed(error.into()))?;
                header.trimmed = kept.at;
                header.last = kept.at.index;
            }
        }
        if let Some(first) = batch.entries.first().map(|entry| entry.at.index) {
            log.retain_in(first.., |_, _| false).map_err(|error| failed(error.into()))?;
            for entry in &batch.entries {
                let encoded = encode_record(&entry.at.index.to_string(), entry);
                log.insert(entry.at.index, encoded.as_slice()).map_err(|error| failed(error.into()))?;
                header.last = entry.at.index;
            }
        }
        if let Some(trim) = batch.trim {
            point!(STORE_TRIM);
            if fails!(STORE_TRIM) {
                return Err(fault());
            }
            log.retain_in(..=trim.index, |_, _| false).map_err(|error| failed(error.into()))?;
            header.trimmed = trim;
        }
        let encoded = encode_record("head", &(FORMAT, header));
        meta.insert("head", encoded.as_slice()).map_err(|error| failed(error.into()))?;
    }
    point!(STORE_SYNC);
    if fails!(STORE_SYNC) {
        return Err(fault());
    }
    transaction.commit().map_err(|error| failed(error.into()))
}

/// Returns a slot of the witness: the store's identity, the number of a batch, and a checksum over both.
fn slot(identity: u64, batch: u64) -> Vec<u8> {
    let mut slot = identity.to_le_bytes().to_vec();
    slot.extend(batch.to_le_bytes());
    let check = checksum("witness", &slot);
    slot.extend(check);
    slot
}

/// Writes a slot of the witness. Two slots are written alternately, so that one is always intact.
fn write_slot(path: &Path, batch: u64, slot: &[u8]) -> io::Result<()> {
    let mut file = OpenOptions::new().write(true).open(sibling_path(path, ".last"))?;
    file.seek(SeekFrom::Start((batch % 2) * slot.len() as u64))?;
    file.write_all(slot)?;
    file.sync_data()
}

/// Returns the store's identity and the last batch that was reported as stored.
fn read_witness(path: &Path) -> Result<(u64, u64), StoreError> {
    let name = sibling_path(path, ".last");
    let mut bytes = Vec::new();
    let mut file = File::open(&name).map_err(|error| match error.kind() {
        io::ErrorKind::NotFound => corrupt(&name, "the witness of the last batch is missing"),
        _ => StoreError::Failed(name.clone(), error.to_string()),
    })?;
    file.read_to_end(&mut bytes).map_err(|error| StoreError::Failed(name.clone(), error.to_string()))?;
    let valid = bytes.chunks_exact(8 + SLOT_TAIL_BYTES).filter_map(|chunk| {
        let identity = u64::from_le_bytes(chunk.get(..8)?.try_into().ok()?);
        let batch = u64::from_le_bytes(chunk.get(8..16)?.try_into().ok()?);
        (slot(identity, batch) == chunk).then_some((batch, identity))
    });
    valid.max().map(|(batch, identity)| (identity, batch)).ok_or_else(|| corrupt(&name, "no slot is intact"))
}
