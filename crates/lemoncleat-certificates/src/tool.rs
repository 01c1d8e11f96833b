//! What an operator asks for by command: how things stand, revocation, another account key.

use std::sync::Arc;

use lemoncleat_acme::{
    AcmeError, Errand, ErrandKind, ErrandResult, ErrandStep, Held, KeyKind, Stored, Tried,
};

use crate::fetch::Fetcher;
use crate::keeper::KeeperSettings;
use crate::storage::Storage;

/// How things stand.
#[derive(Clone, Debug)]
pub struct Status {
    /// Certificates, the one that lasts longest first.
    pub certificates: Vec<Held>,
    /// What came of the latest tries.
    pub tried: Tried,
    /// An order under way.
    pub order: Option<Stored>,
    /// The account's URL.
    pub account: Option<String>,
    /// Files that are of no use.
    pub complaints: Vec<String>,
}

fn open(settings: &KeeperSettings) -> Result<Storage, String> {
    Storage::open(&settings.state, &settings.names).map_err(|error| error.to_string())
}

/// Looks at storage.
///
/// # Errors
///
/// When it can't be read.
pub fn status(settings: &KeeperSettings) -> Result<Status, String> {
    let storage = open(settings)?;
    let stocked = storage.stock().map_err(|error| error.to_string())?;
    let mut certificates = stocked.snapshot.certificates;
    certificates.sort_by_key(|held| -held.chain.validity.until);
    Ok(Status {
        certificates,
        tried: stocked.snapshot.tried,
        order: stocked.snapshot.order,
        account: storage.account_url(&settings.directory),
        complaints: stocked.complaints,
    })
}

enum Ended {
    /// The authority refused: it knows, and nothing changed.
    Refused(AcmeError),
    /// Whether it did what was asked is not known.
    Unknown(String),
}

impl Ended {
    fn text(self) -> String {
        match self {
            Ended::Refused(error) => error.to_string(),
            Ended::Unknown(why) => why,
        }
    }
}

fn errand(settings: &KeeperSettings, errand: &mut Errand) -> Result<ErrandResult, Ended> {
    let fetcher = Fetcher::new(settings.roots.as_deref(), settings.answer_time).map_err(Ended::Unknown)?;
    let mut step = errand.go_on().map_err(Ended::Refused)?;
    loop {
        match step {
            ErrandStep::Done(result) => return Ok(result),
            ErrandStep::Send(request) => {
                let response = async_io::block_on(fetcher.fetch(&request)).map_err(Ended::Unknown)?;
                step = errand.answered(&response).map_err(|error| match response.status {
                    500.. => Ended::Unknown(error.to_string()),
                    _ => Ended::Refused(error),
                })?;
            }
        }
    }
}

/// Revokes a stored certificate for a reason (RFC 5280 section 5.3.1) and forgets it, so that it is not shown again.
///
/// # Errors
///
/// When it is not there or the authority refuses.
pub fn revoke(settings: &KeeperSettings, id: &str, reason: u32) -> Result<(), String> {
    let storage = open(settings)?;
    let stocked = storage.stock().map_err(|error| error.to_string())?;
    let held = stocked.snapshot.certificates.into_iter().find(|held| held.id == id);
    let held = held.ok_or_else(|| format!("no certificate {id:?} is stored"))?;
    let account = settings.account(&storage)?;
    let mut work = Errand::new(account, ErrandKind::Revoke(held.chain.leaf, reason));
    errand(settings, &mut work).map_err(Ended::text)?;
    storage.drop_certificate(id).map_err(|error| error.to_string())
}

/// Puts a new key in place of the account's. A roll-over that was cut off is ended first: the authority is asked
/// which of the two keys it knows.
///
/// # Errors
///
/// When another process is ordering, or the authority refuses.
pub fn roll_key(settings: &KeeperSettings, kind: KeyKind) -> Result<String, String> {
    let told = |error: crate::StorageError| error.to_string();
    let storage = open(settings)?;
    let Some(_lock) = storage.lock().map_err(told)? else {
        return Err("another process is ordering a certificate; try again in a while".to_owned());
    };
    if let Some(next) = storage.next_key().map_err(told)? {
        let mut account = settings.account(&storage)?;
        (account.key, account.url) = (Arc::new(next), None);
        let known = match errand(settings, &mut Errand::new(account, ErrandKind::Find)) {
            Ok(_) => true,
            Err(Ended::Refused(error)) if error.is("accountDoesNotExist") => false,
            Err(ended) => return Err(ended.text()),
        };
        storage.end_roll_over(known).map_err(told)?;
        if known {
            return Ok("the roll-over that was cut off is done".to_owned());
        }
    }
    let account = settings.account(&storage)?;
    let next = Arc::new(storage.make_next_key(kind).map_err(told)?);
    let print = next.thumbprint();
    match errand(settings, &mut Errand::new(account, ErrandKind::RollOver(next))) {
        Ok(_) => {}
        Err(Ended::Refused(error)) => {
            storage.end_roll_over(false).map_err(told)?;
            return Err(error.to_string());
        }
        Err(ended) => {
            let why = ended.text();
            return Err(format!("{why}; whether the authority has the new key is asked next time"));
        }
    }
    storage.end_roll_over(true).map_err(told)?;
    Ok(format!("the account's key is {print} now"))
}
