//! Revocation, account key roll-over and renewal information against the test authority.

mod common;

use std::sync::Arc;

use common::{account, authority, settings, Node, Serve, Storage, START};
use lemoncleat_acme::{Account, AccountKey, Errand, ErrandKind, ErrandResult, ErrandStep, KeyKind};
use lemoncleat_authority::{Authority, Stage};

fn errand(authority: &mut Authority, account: &Account, kind: ErrandKind) -> Result<ErrandResult, String> {
    let mut errand = Errand::new(account.clone(), kind);
    let mut step = errand.go_on().map_err(|error| error.to_string())?;
    loop {
        match step {
            ErrandStep::Done(result) => return Ok(result),
            ErrandStep::Send(request) => {
                let response = authority.serve(START, &request, &[])?;
                step = errand.answered(&response).map_err(|error| error.to_string())?;
            }
        }
    }
}

fn authority_with_certificate() -> (Authority, Storage, Account) {
    let (mut authority, mut storage, account) = (authority(), Storage::default(), account());
    let mut node = Node::start(0, settings(1), &account, &storage);
    for now in START..START + 5 {
        node.second(now, &mut storage, &mut authority);
    }
    assert_eq!(storage.certificates.len(), 1);
    (authority, storage, account)
}

#[test]
fn revoking_a_revoked_certificate_succeeds() {
    let (mut authority, storage, account) = authority_with_certificate();
    let leaf = storage.certificates[0].chain.leaf.clone();
    assert!(errand(&mut authority, &account, ErrandKind::Revoke(leaf.clone(), 1)).is_ok());
    assert!(authority.issued()[0].revoked);
    assert!(errand(&mut authority, &account, ErrandKind::Revoke(leaf, 1)).is_ok(), "revoking again succeeds");
    let message =
        errand(&mut authority, &account, ErrandKind::Revoke(vec![1, 2, 3], 1)).expect_err("not issued");
    assert!(message.contains("not issued here"), "{message}");
}

#[test]
fn roll_over_replaces_account_key_and_old_key_is_rejected() {
    let (mut authority, _, account) = authority_with_certificate();
    let bytes = AccountKey::generate(KeyKind::EdDsa).expect("a key");
    let new = Arc::new(AccountKey::read(&bytes).expect("a key"));
    let kind = ErrandKind::RollOver(new.clone());
    let ErrandResult::Done(url) = errand(&mut authority, &account, kind).expect("no error") else {
        panic!("expected the account's URL")
    };
    assert!(url.ends_with("/account/0"));
    let rolled = Account { key: new, ..account.clone() };
    assert_eq!(errand(&mut authority, &rolled, ErrandKind::Find), Ok(ErrandResult::Done(url)));
    let message = errand(&mut authority, &account, ErrandKind::Find).expect_err("the old key");
    assert!(message.contains("no account has this key"), "{message}");
    assert_eq!(authority.complaints(), [""; 0]);
}

#[test]
fn old_key_stays_valid_when_roll_over_is_refused() {
    let (mut authority, _, account) = authority_with_certificate();
    // The new key already belongs to another account.
    let bytes = AccountKey::generate(KeyKind::Es256).expect("a key");
    let other = Arc::new(AccountKey::read(&bytes).expect("a key"));
    let mut storage = Storage::default();
    let mut node = Node::start(0, settings(2), &Account { key: other.clone(), ..account.clone() }, &storage);
    node.second(START, &mut storage, &mut authority);
    let message = errand(&mut authority, &account, ErrandKind::RollOver(other)).expect_err("refused");
    assert!(message.contains("another account's"), "{message}");
    assert!(errand(&mut authority, &account, ErrandKind::Find).is_ok());
}

#[test]
fn no_window_when_authority_lacks_renewal_information() {
    let (mut authority, storage, account) = authority_with_certificate();
    let id = storage.certificates[0].chain.id.clone().expect("an identifier");
    assert_eq!(
        errand(&mut authority, &account, ErrandKind::RenewalInfo(id)),
        Ok(ErrandResult::Window(None, None))
    );
    authority.faults.refuse = vec![(Stage::Directory, 503, "serverInternal", 1)];
    assert!(errand(&mut authority, &account, ErrandKind::Find).is_err());
}
