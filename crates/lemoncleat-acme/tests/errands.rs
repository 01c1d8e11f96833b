//! Revocation, the account's new key and renewal information, against the stand-in authority.

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

fn with_a_certificate() -> (Authority, Storage, Account) {
    let (mut authority, mut storage, account) = (authority(), Storage::default(), account());
    let mut node = Node::start(0, settings(1), &account, &storage);
    for now in START..START + 5 {
        node.second(now, &mut storage, &mut authority);
    }
    assert_eq!(storage.certificates.len(), 1);
    (authority, storage, account)
}

#[test]
fn a_certificate_is_revoked_once_and_asking_again_does_no_harm() {
    let (mut authority, storage, account) = with_a_certificate();
    let leaf = storage.certificates[0].chain.leaf.clone();
    assert!(errand(&mut authority, &account, ErrandKind::Revoke(leaf.clone(), 1)).is_ok());
    assert!(authority.issued()[0].revoked);
    assert!(errand(&mut authority, &account, ErrandKind::Revoke(leaf, 1)).is_ok(), "it is revoked already");
    let told =
        errand(&mut authority, &account, ErrandKind::Revoke(vec![1, 2, 3], 1)).expect_err("not issued");
    assert!(told.contains("not issued here"), "{told}");
}

#[test]
fn an_account_gets_another_key_and_the_old_one_is_of_no_more_use() {
    let (mut authority, _, account) = with_a_certificate();
    let bytes = AccountKey::generate(KeyKind::EdDsa).expect("a key");
    let new = Arc::new(AccountKey::read(&bytes).expect("a key"));
    let kind = ErrandKind::RollOver(new.clone());
    let ErrandResult::Done(url) = errand(&mut authority, &account, kind).expect("no error") else {
        panic!("no window was asked for")
    };
    assert!(url.ends_with("/account/0"));
    let rolled = Account { key: new, ..account.clone() };
    assert_eq!(errand(&mut authority, &rolled, ErrandKind::Find), Ok(ErrandResult::Done(url)));
    let told = errand(&mut authority, &account, ErrandKind::Find).expect_err("the old key");
    assert!(told.contains("no account has this key"), "{told}");
    assert_eq!(authority.complaints(), [""; 0]);
}

#[test]
fn a_refused_roll_over_leaves_the_old_key_in_use() {
    let (mut authority, _, account) = with_a_certificate();
    // The new key belongs to another account already.
    let bytes = AccountKey::generate(KeyKind::Es256).expect("a key");
    let other = Arc::new(AccountKey::read(&bytes).expect("a key"));
    let mut storage = Storage::default();
    let mut node = Node::start(0, settings(2), &Account { key: other.clone(), ..account.clone() }, &storage);
    node.second(START, &mut storage, &mut authority);
    let told = errand(&mut authority, &account, ErrandKind::RollOver(other)).expect_err("refused");
    assert!(told.contains("another account's"), "{told}");
    assert!(errand(&mut authority, &account, ErrandKind::Find).is_ok());
}

#[test]
fn an_authority_without_renewal_information_says_nothing_of_it() {
    let (mut authority, storage, account) = with_a_certificate();
    let id = storage.certificates[0].chain.id.clone().expect("an identifier");
    assert_eq!(
        errand(&mut authority, &account, ErrandKind::RenewalInfo(id)),
        Ok(ErrandResult::Window(None, None))
    );
    authority.faults.refuse = vec![(Stage::Directory, 503, "serverInternal", 1)];
    assert!(errand(&mut authority, &account, ErrandKind::Find).is_err());
}
