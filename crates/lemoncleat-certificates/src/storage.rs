//! Stores keys, certificates and the state of an order in a directory.
//!
//! A file is written under a temporary name, synced and renamed, and then its directory is synced: after a
//! crash a name refers to the complete old file or the complete new one. Key and chain of a certificate are
//! in one file, so that they can't get out of step. All files are readable by their owner only (mode 0600).
//!
//! | file | content |
//! | --- | --- |
//! | `account.key`, `account.json` | the account's key (PKCS #8, PEM), its URL and authority |
//! | `account.next.key` | a new account key whose roll-over is in progress |
//! | `order.key`, `order.json` | the key that is being certified, and the state of its order |
//! | `certificate-UNTIL-N.pem` | key and chain |
//! | `tried.json` | the outcome of the latest attempts |
//! | `lock` | locked by the process that is ordering |

use std::fmt;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::os::unix::fs::{DirBuilderExt, OpenOptionsExt};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};

use lemoncleat_acme::planner::Seconds;
use lemoncleat_acme::{AccountKey, Chain, Held, KeyKind, Prepared, Snapshot, Stored, Tried};
use rcgen::{CertificateParams, KeyPair, PublicKeyData};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use zeroize::Zeroizing;

const ACCOUNT_KEY: &str = "account.key";
const NEXT_KEY: &str = "account.next.key";
const ACCOUNT: &str = "account.json";
const ORDER_KEY: &str = "order.key";
const ORDER: &str = "order.json";
const TRIED: &str = "tried.json";
const LOCK: &str = "lock";
/// Maximum size of a file that is read.
const MAX_FILE_BYTES: u64 = 1 << 20;

/// An error with a file; the message names the file.
#[derive(Debug)]
pub struct StorageError(String);

impl fmt::Display for StorageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for StorageError {}

fn file_error(path: &Path, why: impl fmt::Display) -> StorageError {
    StorageError(format!("{}: {why}", path.display()))
}

/// Content of `account.json`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct AccountFile {
    directory: String,
    url: Option<String>,
}

/// The state read from storage, with complaints about unusable files; those files are left in place.
#[derive(Debug, Default)]
pub struct StorageState {
    /// The usable state.
    pub snapshot: Snapshot,
    /// One line for each unusable file.
    pub complaints: Vec<String>,
}

/// The lock, held until dropped. The kernel releases it when the process ends for any reason.
#[derive(Debug)]
pub struct Lock(#[allow(dead_code)] File);

/// A storage directory for certificates of one set of names.
#[derive(Clone, Debug)]
pub struct Storage {
    dir: PathBuf,
    names: Vec<String>,
}

static NEXT_TEMPORARY_NUMBER: AtomicU64 = AtomicU64::new(0);

impl Storage {
    /// Opens the directory for certificates of these names, creating it if necessary.
    ///
    /// # Errors
    ///
    /// When it can't be created.
    pub fn open(dir: &Path, names: &[String]) -> Result<Storage, StorageError> {
        fs::DirBuilder::new()
            .recursive(true)
            .mode(0o700)
            .create(dir)
            .map_err(|error| file_error(dir, error))?;
        Ok(Storage { dir: dir.to_owned(), names: names.to_vec() })
    }

    fn path(&self, name: &str) -> PathBuf {
        self.dir.join(name)
    }

    fn sync(&self) -> io::Result<()> {
        File::open(&self.dir)?.sync_all()
    }

    /// Writes and syncs a temporary file; the caller moves it to its final name.
    fn write_temporary(&self, name: &str, bytes: &[u8]) -> io::Result<PathBuf> {
        let number = NEXT_TEMPORARY_NUMBER.fetch_add(1, Ordering::Relaxed);
        let temporary = self.path(&format!("{name}.{}.{number}.tmp", std::process::id()));
        let mut file =
            OpenOptions::new().write(true).create(true).truncate(true).mode(0o600).open(&temporary)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        Ok(temporary)
    }

    fn put(&self, name: &str, bytes: &[u8]) -> Result<(), StorageError> {
        let put = || {
            let temporary = self.write_temporary(name, bytes)?;
            fs::rename(&temporary, self.path(name))?;
            self.sync()
        };
        put().map_err(|error| file_error(&self.path(name), error))
    }

    /// Like `put`, but does not replace an existing file; returns whether the file was created.
    fn put_first(&self, name: &str, bytes: &[u8]) -> Result<bool, StorageError> {
        let put = || {
            let temporary = self.write_temporary(name, bytes)?;
            let linked = fs::hard_link(&temporary, self.path(name));
            fs::remove_file(&temporary)?;
            match linked {
                Err(error) if error.kind() == io::ErrorKind::AlreadyExists => return Ok(false),
                linked => linked?,
            }
            self.sync()?;
            Ok(true)
        };
        put().map_err(|error: io::Error| file_error(&self.path(name), error))
    }

    fn remove(&self, name: &str) -> Result<(), StorageError> {
        match fs::remove_file(self.path(name)) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => Err(file_error(&self.path(name), error)),
            _ => self.sync().map_err(|error| file_error(&self.dir, error)),
        }
    }

    fn get(&self, name: &str) -> Result<Option<Zeroizing<String>>, StorageError> {
        let path = self.path(name);
        match fs::metadata(&path) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(file_error(&path, error)),
            Ok(known) if known.len() > MAX_FILE_BYTES => {
                return Err(file_error(&path, "the file exceeds the size limit of 1 MiB"))
            }
            Ok(_) => {}
        }
        fs::read_to_string(&path)
            .map(|text| Some(Zeroizing::new(text)))
            .map_err(|error| file_error(&path, error))
    }

    /// Reads a JSON state file; an unreadable one adds a complaint and yields the default.
    fn state<T: DeserializeOwned + Default>(&self, name: &str, complaints: &mut Vec<String>) -> T {
        let text = match self.get(name) {
            Ok(Some(text)) => text,
            Ok(None) => return T::default(),
            Err(error) => {
                complaints.push(error.to_string());
                return T::default();
            }
        };
        serde_json::from_str(&text).unwrap_or_else(|error| {
            complaints.push(format!("{}: {error}; passed over", self.path(name).display()));
            T::default()
        })
    }

    fn put_state(&self, name: &str, state: &impl Serialize) -> Result<(), StorageError> {
        let text =
            serde_json::to_string_pretty(state).map_err(|error| file_error(&self.path(name), error))?;
        self.put(name, text.as_bytes())
    }

    // ---- The account ----

    fn key_of(&self, name: &str) -> Result<Option<AccountKey>, StorageError> {
        let Some(text) = self.get(name)? else { return Ok(None) };
        let describe = |why: String| {
            file_error(&self.path(name), format!("{why}; put a good copy back or remove the file"))
        };
        let der = pem_key(&text).map_err(describe)?;
        AccountKey::read(&der).map(Some).map_err(describe)
    }

    /// Returns the account's key, creating it if there is none.
    ///
    /// # Errors
    ///
    /// When its file is damaged or can't be written.
    pub fn account_key(&self, kind: KeyKind) -> Result<AccountKey, StorageError> {
        if let Some(key) = self.key_of(ACCOUNT_KEY)? {
            return Ok(key);
        }
        let der = AccountKey::generate(kind).map_err(|why| file_error(&self.path(ACCOUNT_KEY), why))?;
        // Of several processes starting at once, one creates the key and all use it.
        self.put_first(ACCOUNT_KEY, key_pem(&der).as_bytes())?;
        self.key_of(ACCOUNT_KEY)?.ok_or_else(|| file_error(&self.path(ACCOUNT_KEY), "it is gone again"))
    }

    /// Returns the account's URL if it belongs to this authority.
    pub fn account_url(&self, directory: &str) -> Option<String> {
        let file: AccountFile = self.state(ACCOUNT, &mut Vec::new());
        file.url.filter(|_| file.directory == directory)
    }

    /// Stores the account's URL.
    ///
    /// # Errors
    ///
    /// When it can't be written.
    pub fn put_account_url(&self, directory: &str, url: &str) -> Result<(), StorageError> {
        let file = AccountFile { directory: directory.to_owned(), url: Some(url.to_owned()) };
        self.put_state(ACCOUNT, &file)
    }

    /// Returns the new key of an unfinished roll-over.
    ///
    /// # Errors
    ///
    /// When its file is damaged.
    pub fn next_key(&self) -> Result<Option<AccountKey>, StorageError> {
        self.key_of(NEXT_KEY)
    }

    /// Creates the new key of a roll-over; it is on disk before it is sent to the authority.
    ///
    /// # Errors
    ///
    /// When it can't be written.
    pub fn make_next_key(&self, kind: KeyKind) -> Result<AccountKey, StorageError> {
        let der = AccountKey::generate(kind).map_err(|why| file_error(&self.path(NEXT_KEY), why))?;
        self.put(NEXT_KEY, key_pem(&der).as_bytes())?;
        self.key_of(NEXT_KEY)?.ok_or_else(|| file_error(&self.path(NEXT_KEY), "it is gone again"))
    }

    /// Finishes a roll-over: if it succeeded the new key becomes the account's, otherwise the new key is
    /// removed.
    ///
    /// # Errors
    ///
    /// When the files can't be changed.
    pub fn end_roll_over(&self, done: bool) -> Result<(), StorageError> {
        if !done {
            return self.remove(NEXT_KEY);
        }
        fs::rename(self.path(NEXT_KEY), self.path(ACCOUNT_KEY))
            .and_then(|()| self.sync())
            .map_err(|error| file_error(&self.path(ACCOUNT_KEY), error))
    }

    // ---- Orders and certificates ----

    /// Takes the lock; returns `None` while another process holds it. Removes temporary files left by a
    /// killed process.
    ///
    /// # Errors
    ///
    /// When the file can't be opened.
    pub fn lock(&self) -> Result<Option<Lock>, StorageError> {
        let path = self.path(LOCK);
        let file = OpenOptions::new().write(true).create(true).truncate(false).mode(0o600).open(&path);
        let file = file.map_err(|error| file_error(&path, error))?;
        match file.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Ok(None),
            Err(TryLockError::Error(error)) => return Err(file_error(&path, error)),
        }
        let own = format!(".{}.", std::process::id());
        for name in self.files()? {
            if name.ends_with(".tmp") && !name.contains(&own) {
                let _ = fs::remove_file(self.path(&name));
            }
        }
        Ok(Some(Lock(file)))
    }

    fn files(&self) -> Result<Vec<String>, StorageError> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.dir).map_err(|error| file_error(&self.dir, error))? {
            let entry = entry.map_err(|error| file_error(&self.dir, error))?;
            names.extend(entry.file_name().into_string());
        }
        names.sort();
        Ok(names)
    }

    /// Reads the state of the whole directory.
    ///
    /// # Errors
    ///
    /// When the directory can't be read.
    pub fn read_state(&self) -> Result<StorageState, StorageError> {
        let mut complaints = Vec::new();
        let mut certificates = Vec::new();
        for name in self.files()? {
            let Some(id) = name.strip_prefix("certificate-").and_then(|rest| rest.strip_suffix(".pem"))
            else {
                continue;
            };
            match self.certificate(id) {
                Ok(Some(chain)) => certificates.push(Held { id: id.to_owned(), chain }),
                Ok(None) => {}
                Err(error) => complaints.push(format!("{error}; passed over")),
            }
        }
        let tried: Tried = self.state(TRIED, &mut complaints);
        let order: Option<Stored> = self.state(ORDER, &mut complaints);
        // An order without its key would produce a certificate that can't be used.
        let order = order.filter(|_| match self.order_key() {
            Ok(key) => key.is_some(),
            Err(error) => {
                complaints.push(format!("{error}; a new order is placed"));
                false
            }
        });
        Ok(StorageState { snapshot: Snapshot { certificates, tried, order }, complaints })
    }

    /// Parses a stored certificate; returns `None` if it does not cover the configured names.
    fn certificate(&self, id: &str) -> Result<Option<Chain>, StorageError> {
        let path = self.path(&format!("certificate-{id}.pem"));
        let text = self.certificate_text(id)?;
        let chain = Chain::read(&text).map_err(|why| file_error(&path, why))?;
        if self.names.iter().any(|name| !chain.names.contains(&name.to_ascii_lowercase())) {
            return Ok(None);
        }
        let key = KeyPair::from_pem(&text).map_err(|error| file_error(&path, format!("no key: {error}")))?;
        match key.subject_public_key_info() == chain.public_key {
            true => Ok(Some(chain)),
            false => Err(file_error(&path, "key and certificate do not belong together")),
        }
    }

    /// Returns the key and chain of a stored certificate, PEM.
    ///
    /// # Errors
    ///
    /// When it does not exist.
    pub fn certificate_text(&self, id: &str) -> Result<Zeroizing<String>, StorageError> {
        let name = format!("certificate-{id}.pem");
        self.get(&name)?.ok_or_else(|| file_error(&self.path(&name), "it is gone"))
    }

    fn order_key(&self) -> Result<Option<KeyPair>, StorageError> {
        let Some(text) = self.get(ORDER_KEY)? else { return Ok(None) };
        KeyPair::from_pem(&text)
            .map(Some)
            .map_err(|error| file_error(&self.path(ORDER_KEY), format!("no key: {error}")))
    }

    /// Returns the public key and CSR for the key of the order in progress, or for a new key.
    ///
    /// # Errors
    ///
    /// When the key is damaged or can't be written.
    pub fn prepare(&self, fresh: bool) -> Result<Prepared, StorageError> {
        let path = self.path(ORDER_KEY);
        let describe = |error: rcgen::Error| file_error(&path, error);
        if fresh {
            // The old order is removed first: it must never be found with a key that is not its own.
            self.remove(ORDER)?;
            let key = KeyPair::generate().map_err(describe)?;
            self.put(ORDER_KEY, Zeroizing::new(key.serialize_pem()).as_bytes())?;
        }
        let key = self.order_key()?.ok_or_else(|| file_error(&path, "it is gone"))?;
        let params = CertificateParams::new(self.names.clone()).map_err(describe)?;
        let csr = params.serialize_request(&key).map_err(describe)?;
        Ok(Prepared { csr: csr.der().to_vec(), public_key: key.subject_public_key_info() })
    }

    /// Stores the order's state.
    ///
    /// # Errors
    ///
    /// When it can't be written.
    pub fn put_order(&self, order: &Stored) -> Result<(), StorageError> {
        self.put_state(ORDER, order)
    }

    /// Removes the order and its key.
    ///
    /// # Errors
    ///
    /// When they can't be removed.
    pub fn drop_order(&self) -> Result<(), StorageError> {
        self.remove(ORDER)?;
        self.remove(ORDER_KEY)
    }

    /// Stores the outcome of the latest attempts.
    ///
    /// # Errors
    ///
    /// When it can't be written.
    pub fn put_tried(&self, tried: &Tried) -> Result<(), StorageError> {
        self.put_state(TRIED, tried)
    }

    /// Stores a chain with the order's key and removes the order.
    ///
    /// # Errors
    ///
    /// When the order's key is missing, or the chain can't be parsed or written.
    pub fn put_certificate(&self, pem: &str) -> Result<Held, StorageError> {
        let key = self.get(ORDER_KEY)?.ok_or_else(|| file_error(&self.path(ORDER_KEY), "it is gone"))?;
        let chain = Chain::read(pem).map_err(|why| file_error(&self.dir, why))?;
        let until: Seconds = chain.validity.until;
        let mut number = 0;
        let text = Zeroizing::new(format!("{}{}", key.as_str(), pem));
        let id = loop {
            let id = format!("{until}-{number}");
            if self.put_first(&format!("certificate-{id}.pem"), text.as_bytes())? {
                break id;
            }
            number += 1;
        };
        self.drop_order()?;
        Ok(Held { id, chain })
    }

    /// Removes a certificate.
    ///
    /// # Errors
    ///
    /// When it can't be removed.
    pub fn drop_certificate(&self, id: &str) -> Result<(), StorageError> {
        self.remove(&format!("certificate-{id}.pem"))
    }
}

fn key_pem(der: &[u8]) -> Zeroizing<String> {
    Zeroizing::new(pem::encode(&pem::Pem::new("PRIVATE KEY", der)))
}

/// Decodes the first private key in a PEM text.
fn pem_key(text: &str) -> Result<Zeroizing<Vec<u8>>, String> {
    let blocks = pem::parse_many(text).map_err(|error| format!("invalid PEM: {error}"))?;
    let key = blocks.into_iter().find(|block| block.tag() == "PRIVATE KEY");
    key.map(|block| Zeroizing::new(block.into_contents())).ok_or_else(|| "no private key in PEM".to_owned())
}
