//! What an operator asks for by command: how things stand, revocation, another account key.

use std::sync::Arc;

use lemoncleat_acme::{
    AcmeError, Errand, ErrandKind, ErrandResult, ErrandStep, Held, KeyKind, Stored, Tried,
};

use crate::fetch::Fetcher;
use crate::keeper::KeeperSettings;
use crate::storage::Storage;

/// State of a node's certificates.
#[derive(Clone, Debug)]
pub struct Status {
    /// Certificates, the one that expires last first.
    pub certificates: Vec<Held>,
    /// The outcome of the latest attempts.
    pub tried: Tried,
    /// An order in progress.
    pub order: Option<Stored>,
    /// The account's URL.
    pub account: Option<String>,
    /// Complaints about unusable files.
    pub complaints: Vec<String>,
}

fn open(settings: &KeeperSettings) -> Result<Storage, String> {
    Storage::open(&settings.state, &settings.names).map_err(|error| error.to_string())
}

/// Reads the state from storage.
///
/// # Errors
///
/// When it can't be read.
pub fn status(settings: &KeeperSettings) -> Result<Status, String> {
    let storage = open(settings)?;
    let state = storage.read_state().map_err(|error| error.to_string())?;
    let mut certificates = state.snapshot.certificates;
    certificates.sort_by_key(|held| -held.chain.validity.until);
    Ok(Status {
        certificates,
        tried: state.snapshot.tried,
        order: state.snapshot.order,
        account: storage.account_url(&settings.directory),
        complaints: state.complaints,
    })
}

enum ErrandFailure {
    /// The authority refused the request and nothing changed.
    Refused(AcmeError),
    /// It is not known whether the authority carried out the request.
    Unknown(String),
}

impl ErrandFailure {
    fn text(self) -> String {
        match self {
            ErrandFailure::Refused(error) => error.to_string(),
            ErrandFailure::Unknown(why) => why,
        }
    }
}

fn errand(settings: &KeeperSettings, errand: &mut Errand) -> Result<ErrandResult, ErrandFailure> {
    let fetcher =
        Fetcher::new(settings.roots.as_deref(), settings.answer_time).map_err(ErrandFailure::Unknown)?;
    let mut step = errand.go_on().map_err(ErrandFailure::Refused)?;
    loop {
        match step {
            ErrandStep::Done(result) => return Ok(result),
            ErrandStep::Send(request) => {
                let response = async_io::block_on(fetcher.fetch(&request)).map_err(ErrandFailure::Unknown)?;
                step = errand.answered(&response).map_err(|error| match response.status {
                    500.. => ErrandFailure::Unknown(error.to_string()),
                    _ => ErrandFailure::Refused(error),
                })?;
            }
        }
    }
}

/// Revokes a stored certificate for a reason (RFC 5280 section 5.3.1) and removes it, so that it is not
/// presented again.
///
/// # Errors
///
/// When it is not stored or the authority refuses.
pub fn revoke(settings: &KeeperSettings, id: &str, reason: u32) -> Result<(), String> {
    let storage = open(settings)?;
    let state = storage.read_state().map_err(|error| error.to_string())?;
    let held = state.snapshot.certificates.into_iter().find(|held| held.id == id);
    let held = held.ok_or_else(|| format!("no certificate {id:?} is stored"))?;
    let account = settings.account(&storage)?;
    let mut work = Errand::new(account, ErrandKind::Revoke(held.chain.leaf, reason));
    errand(settings, &mut work).map_err(ErrandFailure::text)?;
    storage.drop_certificate(id).map_err(|error| error.to_string())
}

/// Replaces the account's key with a new one. An interrupted roll-over is finished first: the authority is
/// asked which of the two keys it knows.
///
/// # Errors
///
/// When another process is ordering, or the authority refuses.
pub fn roll_key(settings: &KeeperSettings, kind: KeyKind) -> Result<String, String> {
    let describe = |error: crate::StorageError| error.to_string();
    let storage = open(settings)?;
    let Some(_lock) = storage.lock().map_err(describe)? else {
        return Err("another process is ordering a certificate; try again in a while".to_owned());
    };
    if let Some(next) = storage.next_key().map_err(describe)? {
        let mut account = settings.account(&storage)?;
        (account.key, account.url) = (Arc::new(next), None);
        let known = match errand(settings, &mut Errand::new(account, ErrandKind::Find)) {
            Ok(_) => true,
            Err(ErrandFailure::Refused(error)) if error.is("accountDoesNotExist") => false,
            Err(failure) => return Err(failure.text()),
        };
        storage.end_roll_over(known).map_err(describe)?;
        if known {
            return Ok("the roll-over that was cut off is done".to_owned());
        }
    }
    let account = settings.account(&storage)?;
    let next = Arc::new(storage.make_next_key(kind).map_err(describe)?);
    let print = next.thumbprint();
    match errand(settings, &mut Errand::new(account, ErrandKind::RollOver(next))) {
        Ok(_) => {}
        Err(ErrandFailure::Refused(error)) => {
            storage.end_roll_over(false).map_err(describe)?;
            return Err(error.to_string());
        }
        Err(failure) => {
            let why = failure.text();
            return Err(format!("{why}; whether the authority has the new key is asked next time"));
        }
    }
    storage.end_roll_over(true).map_err(describe)?;
    Ok(format!("the account's key is {print} now"))
}
