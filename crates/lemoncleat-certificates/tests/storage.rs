//! The directory: whole files whatever byte a crash comes at, damage told and nothing lost.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};

use lemoncleat_acme::{KeyKind, Stored, Tried};
use lemoncleat_certificates::Storage;

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("lemoncleat-storage-{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn names() -> Vec<String> {
    vec!["n.example".to_owned()]
}

fn open(folder: &Folder) -> Storage {
    Storage::open(&folder.0, &names()).expect("a directory")
}

fn order(number: u32) -> Stored {
    Stored {
        names: names(),
        account: Some("http://a/1".to_owned()),
        order: Some(format!("http://a/{number}")),
    }
}

/// A certificate by the authority for a request, as a chain.
fn certified(csr: &[u8]) -> String {
    let csr = rcgen::CertificateSigningRequestParams::from_der(&csr.to_vec().into()).expect("a CSR");
    let mut params = rcgen::CertificateParams::default();
    params.is_ca = rcgen::IsCa::Ca(rcgen::BasicConstraints::Unconstrained);
    let issuer = rcgen::Issuer::new(params, rcgen::KeyPair::generate().expect("a key"));
    csr.signed_by(&issuer).expect("a certificate").pem()
}

#[test]
fn what_is_put_is_found_again_and_files_are_the_owners_alone() {
    let folder = Folder::new("put");
    let storage = open(&folder);
    let key = storage.account_key(KeyKind::EdDsa).expect("a key");
    storage.put_account_url("http://a/directory", "http://a/account/1").expect("stored");
    let prepared = storage.prepare(true).expect("prepared");
    storage.put_order(&order(1)).expect("stored");
    let tried = Tried { failures: 3, error: "why".to_owned(), ..Tried::default() };
    storage.put_tried(&tried).expect("stored");
    let again = open(&folder);
    assert_eq!(again.account_key(KeyKind::Es256).expect("the key").thumbprint(), key.thumbprint());
    assert_eq!(again.account_url("http://a/directory").as_deref(), Some("http://a/account/1"));
    assert_eq!(again.account_url("http://other"), None, "an account is one authority's");
    let found = again.stock().expect("it is read");
    assert_eq!((found.snapshot.order, found.snapshot.tried), (Some(order(1)), tried));
    assert_eq!(again.prepare(false).expect("the same key").public_key, prepared.public_key);
    let held = again.put_certificate(&certified(&prepared.csr)).expect("stored");
    let found = again.stock().expect("it is read");
    assert_eq!((found.snapshot.certificates, found.snapshot.order), (vec![held.clone()], None));
    let text = again.certificate_text(&held.id).expect("its text");
    assert!(text.contains("PRIVATE KEY") && text.contains("BEGIN CERTIFICATE"));
    for entry in fs::read_dir(&folder.0).expect("a directory") {
        let entry = entry.expect("an entry");
        let mode = entry.metadata().expect("known").permissions().mode();
        assert_eq!(mode & 0o077, 0, "{:?} is for its owner alone", entry.file_name());
    }
    assert_eq!(fs::metadata(&folder.0).expect("known").permissions().mode() & 0o077, 0);
    again.drop_certificate(&held.id).expect("removed");
    assert!(again.stock().expect("it is read").snapshot.certificates.is_empty());
}

/// Every state that a crash within a put can leave: the old file, and a draft of any length beside it.
#[test]
fn a_crash_at_any_byte_of_a_put_leaves_the_old_file_or_the_new_one() {
    let folder = Folder::new("crash");
    let storage = open(&folder);
    storage.prepare(true).expect("prepared");
    storage.put_order(&order(1)).expect("stored");
    let old = fs::read(folder.0.join("order.json")).expect("it is there");
    storage.put_order(&order(2)).expect("stored");
    let new = fs::read(folder.0.join("order.json")).expect("it is there");
    fs::write(folder.0.join("order.json"), &old).expect("as before");
    for length in 0..=new.len() {
        // As another process would have left it that was killed while it wrote.
        let draft = folder.0.join("order.json.1.0.tmp");
        fs::write(&draft, &new[..length]).expect("written");
        let found = open(&folder).stock().expect("it is read");
        assert_eq!(found.snapshot.order, Some(order(1)), "cut after {length} bytes");
        assert!(found.complaints.is_empty());
        let lock = storage.lock().expect("it can be taken");
        assert!(lock.is_some() && !draft.exists(), "the draft is gone with the next order");
    }
    // Between the steps of a fresh key: an order without its key is none.
    storage.put_order(&order(3)).expect("stored");
    fs::remove_file(folder.0.join("order.key")).expect("removed");
    assert_eq!(storage.stock().expect("it is read").snapshot.order, None);
}

#[test]
fn a_file_that_is_cut_off_is_told_and_nothing_else_is_lost() {
    let folder = Folder::new("cut");
    let storage = open(&folder);
    storage.account_key(KeyKind::Es256).expect("a key");
    let mut ids = Vec::new();
    for _ in 0..2 {
        let prepared = storage.prepare(true).expect("prepared");
        ids.push(storage.put_certificate(&certified(&prepared.csr)).expect("stored").id);
    }
    let path = folder.0.join(format!("certificate-{}.pem", ids[0]));
    let whole = fs::read(&path).expect("it is there");
    for length in [0, 10, whole.len() / 2, whole.len() - 30] {
        fs::write(&path, &whole[..length]).expect("cut");
        let found = storage.stock().expect("it is read");
        let left: Vec<&str> = found.snapshot.certificates.iter().map(|held| &*held.id).collect();
        assert_eq!(left, [&*ids[1]], "cut after {length}");
        assert_eq!(found.complaints.len(), 1);
        assert!(found.complaints[0].contains(&ids[0]), "{:?}", found.complaints);
        assert!(path.exists(), "it is left for whoever looks into it");
    }
    for name in ["account.key", "tried.json", "order.json"] {
        fs::write(folder.0.join(name), "{\"fail").expect("written");
    }
    let found = storage.stock().expect("it is read");
    assert_eq!(found.complaints.len(), 3, "{:?}", found.complaints);
    let told = storage.account_key(KeyKind::Es256).expect_err("a cut key").to_string();
    assert!(told.contains("account.key") && told.contains("put a good copy back"), "{told}");
}

#[test]
fn a_certificate_beside_another_key_or_for_other_names_is_not_used() {
    let folder = Folder::new("mismatch");
    let storage = open(&folder);
    let first = storage.prepare(true).expect("prepared");
    let chain = certified(&first.csr);
    storage.prepare(true).expect("another key");
    storage.put_certificate(&chain).expect("the core checks before; storage checks when it reads");
    let found = storage.stock().expect("it is read");
    assert!(found.snapshot.certificates.is_empty());
    assert!(found.complaints[0].contains("do not belong together"), "{:?}", found.complaints);
    let prepared = storage.prepare(true).expect("prepared");
    storage.put_certificate(&certified(&prepared.csr)).expect("stored");
    let other = Storage::open(&folder.0, &["other.example".to_owned()]).expect("a directory");
    assert!(other.stock().expect("it is read").snapshot.certificates.is_empty());
}

#[test]
fn one_of_several_holds_the_lock_and_all_use_one_account_key() {
    let folder = Folder::new("lock");
    let (one, other) = (open(&folder), open(&folder));
    let lock = one.lock().expect("it can be tried");
    assert!(lock.is_some() && other.lock().expect("it can be tried").is_none());
    drop(lock);
    assert!(other.lock().expect("it can be tried").is_some());
    let prints: Vec<String> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..8)
            .map(|_| scope.spawn(|| open(&folder).account_key(KeyKind::Es256).expect("a key").thumbprint()))
            .collect();
        threads.into_iter().map(|thread| thread.join().expect("no panic")).collect()
    });
    assert!(prints.iter().all(|print| *print == prints[0]), "{prints:?}");
}

#[test]
fn a_directory_that_cannot_be_made_is_told() {
    let told = Storage::open(Path::new("/proc/nowhere/certificates"), &names()).expect_err("it can't be");
    assert!(told.to_string().contains("/proc/nowhere"), "{told}");
}
