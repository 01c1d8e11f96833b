//! Storage directory: files stay complete wherever a crash interrupts a write, and damaged files are reported
//! without losing others.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};

use lemoncleat_acme::{KeyKind, Stored, Tried};
use lemoncleat_certificates::Storage;

struct TempDir(PathBuf);

impl TempDir {
    fn new(name: &str) -> TempDir {
        let path = std::env::temp_dir().join(format!("lemoncleat-storage-{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        TempDir(path)
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn names() -> Vec<String> {
    vec!["n.example".to_owned()]
}

fn open(dir: &TempDir) -> Storage {
    Storage::open(&dir.0, &names()).expect("a directory")
}

fn order(number: u32) -> Stored {
    Stored {
        names: names(),
        account: Some("http://a/1".to_owned()),
        order: Some(format!("http://a/{number}")),
    }
}

/// Issues a certificate for a CSR and returns it as PEM.
fn issue_certificate(csr: &[u8]) -> String {
    let csr = rcgen::CertificateSigningRequestParams::from_der(&csr.to_vec().into()).expect("a CSR");
    let mut params = rcgen::CertificateParams::default();
    params.is_ca = rcgen::IsCa::Ca(rcgen::BasicConstraints::Unconstrained);
    let issuer = rcgen::Issuer::new(params, rcgen::KeyPair::generate().expect("a key"));
    csr.signed_by(&issuer).expect("a certificate").pem()
}

#[test]
fn stored_state_is_read_back_and_files_are_private_to_owner() {
    let dir = TempDir::new("put");
    let storage = open(&dir);
    let key = storage.account_key(KeyKind::EdDsa).expect("a key");
    storage.put_account_url("http://a/directory", "http://a/account/1").expect("stored");
    let prepared = storage.prepare(true).expect("prepared");
    storage.put_order(&order(1)).expect("stored");
    let tried = Tried { failures: 3, error: "why".to_owned(), ..Tried::default() };
    storage.put_tried(&tried).expect("stored");
    let again = open(&dir);
    assert_eq!(again.account_key(KeyKind::Es256).expect("the key").thumbprint(), key.thumbprint());
    assert_eq!(again.account_url("http://a/directory").as_deref(), Some("http://a/account/1"));
    assert_eq!(again.account_url("http://other"), None, "an account URL belongs to one authority");
    let found = again.read_state().expect("it is read");
    assert_eq!((found.snapshot.order, found.snapshot.tried), (Some(order(1)), tried));
    assert_eq!(again.prepare(false).expect("the same key").public_key, prepared.public_key);
    let held = again.put_certificate(&issue_certificate(&prepared.csr)).expect("stored");
    let found = again.read_state().expect("it is read");
    assert_eq!((found.snapshot.certificates, found.snapshot.order), (vec![held.clone()], None));
    let text = again.certificate_text(&held.id).expect("its text");
    assert!(text.contains("PRIVATE KEY") && text.contains("BEGIN CERTIFICATE"));
    for entry in fs::read_dir(&dir.0).expect("a directory") {
        let entry = entry.expect("an entry");
        let mode = entry.metadata().expect("known").permissions().mode();
        assert_eq!(mode & 0o077, 0, "{:?} must be readable by its owner only", entry.file_name());
    }
    assert_eq!(fs::metadata(&dir.0).expect("known").permissions().mode() & 0o077, 0);
    again.drop_certificate(&held.id).expect("removed");
    assert!(again.read_state().expect("it is read").snapshot.certificates.is_empty());
}

/// Covers every state that a crash during a write can leave: the old file, and a temporary file of any
/// length.
#[test]
fn crash_during_write_leaves_old_or_new_file_complete() {
    let dir = TempDir::new("crash");
    let storage = open(&dir);
    storage.prepare(true).expect("prepared");
    storage.put_order(&order(1)).expect("stored");
    let old = fs::read(dir.0.join("order.json")).expect("it is there");
    storage.put_order(&order(2)).expect("stored");
    let new = fs::read(dir.0.join("order.json")).expect("it is there");
    fs::write(dir.0.join("order.json"), &old).expect("as before");
    for length in 0..=new.len() {
        // As left by another process that was killed while writing.
        let temporary = dir.0.join("order.json.1.0.tmp");
        fs::write(&temporary, &new[..length]).expect("written");
        let found = open(&dir).read_state().expect("it is read");
        assert_eq!(found.snapshot.order, Some(order(1)), "cut after {length} bytes");
        assert!(found.complaints.is_empty());
        let lock = storage.lock().expect("it can be taken");
        assert!(
            lock.is_some() && !temporary.exists(),
            "the temporary file is removed when the lock is taken"
        );
    }
    // Crash between the steps of creating a key: an order without its key is ignored.
    storage.put_order(&order(3)).expect("stored");
    fs::remove_file(dir.0.join("order.key")).expect("removed");
    assert_eq!(storage.read_state().expect("it is read").snapshot.order, None);
}

#[test]
fn truncated_file_is_reported_and_others_are_kept() {
    let dir = TempDir::new("cut");
    let storage = open(&dir);
    storage.account_key(KeyKind::Es256).expect("a key");
    let mut ids = Vec::new();
    for _ in 0..2 {
        let prepared = storage.prepare(true).expect("prepared");
        ids.push(storage.put_certificate(&issue_certificate(&prepared.csr)).expect("stored").id);
    }
    let path = dir.0.join(format!("certificate-{}.pem", ids[0]));
    let whole = fs::read(&path).expect("it is there");
    for length in [0, 10, whole.len() / 2, whole.len() - 30] {
        fs::write(&path, &whole[..length]).expect("cut");
        let found = storage.read_state().expect("it is read");
        let left: Vec<&str> = found.snapshot.certificates.iter().map(|held| &*held.id).collect();
        assert_eq!(left, [&*ids[1]], "cut after {length}");
        assert_eq!(found.complaints.len(), 1);
        assert!(found.complaints[0].contains(&ids[0]), "{:?}", found.complaints);
        assert!(path.exists(), "the damaged file is left in place");
    }
    for name in ["account.key", "tried.json", "order.json"] {
        fs::write(dir.0.join(name), "{\"fail").expect("written");
    }
    let found = storage.read_state().expect("it is read");
    assert_eq!(found.complaints.len(), 3, "{:?}", found.complaints);
    let error = storage.account_key(KeyKind::Es256).expect_err("a cut key").to_string();
    assert!(error.contains("account.key") && error.contains("put a good copy back"), "{error}");
}

#[test]
fn certificate_with_wrong_key_or_names_is_not_used() {
    let dir = TempDir::new("mismatch");
    let storage = open(&dir);
    let first = storage.prepare(true).expect("prepared");
    let chain = issue_certificate(&first.csr);
    storage.prepare(true).expect("another key");
    storage.put_certificate(&chain).expect("the core checks before storing; storage checks when reading");
    let found = storage.read_state().expect("it is read");
    assert!(found.snapshot.certificates.is_empty());
    assert!(found.complaints[0].contains("do not belong together"), "{:?}", found.complaints);
    let prepared = storage.prepare(true).expect("prepared");
    storage.put_certificate(&issue_certificate(&prepared.csr)).expect("stored");
    let other = Storage::open(&dir.0, &["other.example".to_owned()]).expect("a directory");
    assert!(other.read_state().expect("it is read").snapshot.certificates.is_empty());
}

#[test]
fn lock_is_exclusive_and_concurrent_starts_share_one_account_key() {
    let dir = TempDir::new("lock");
    let (one, other) = (open(&dir), open(&dir));
    let lock = one.lock().expect("it can be tried");
    assert!(lock.is_some() && other.lock().expect("it can be tried").is_none());
    drop(lock);
    assert!(other.lock().expect("it can be tried").is_some());
    let prints: Vec<String> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..8)
            .map(|_| scope.spawn(|| open(&dir).account_key(KeyKind::Es256).expect("a key").thumbprint()))
            .collect();
        threads.into_iter().map(|thread| thread.join().expect("no panic")).collect()
    });
    assert!(prints.iter().all(|print| *print == prints[0]), "{prints:?}");
}

#[test]
fn error_names_directory_that_cannot_be_created() {
    let error = Storage::open(Path::new("/proc/nowhere/certificates"), &names()).expect_err("it can't be");
    assert!(error.to_string().contains("/proc/nowhere"), "{error}");
}
