//! Single operations at an authority: revocation (RFC 8555 section 7.6), account key roll-over (section
//! 7.3.5), account look-up (section 7.3.1) and renewal information (RFC 9773).

use std::sync::Arc;

use serde_json::{json, Value};
use time::format_description::well_known::Rfc3339;
use time::OffsetDateTime;

use crate::jose::{encode, AccountKey};
use crate::planner::Seconds;
use crate::session::{Account, AcmeError, HttpRequest, HttpResponse, ResponseKind, Session, Step};

/// The operation.
#[derive(Clone, Debug)]
pub enum ErrandKind {
    /// Revoke a certificate (DER) for a reason (RFC 5280 section 5.3.1).
    Revoke(Vec<u8>, u32),
    /// Replace the account's key with this one.
    RollOver(Arc<AccountKey>),
    /// Look up the account of the key without creating one.
    Find,
    /// Fetch the suggested renewal window of the certificate with this identifier (RFC 9773 section 4.1).
    RenewalInfo(String),
}

/// The result of an operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ErrandResult {
    /// The operation succeeded; holds the account's URL.
    Done(String),
    /// The suggested window in seconds since 1970, and the number of seconds after which to ask again. The
    /// window is `None` when the authority offers no renewal information.
    Window(Option<(Seconds, Seconds)>, Option<Seconds>),
}

/// The next step of an operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ErrandStep {
    /// Send this request and pass the response to [`Errand::answered`].
    Send(HttpRequest),
    /// The operation is complete.
    Done(ErrandResult),
}

/// An operation in progress.
#[derive(Debug)]
pub struct Errand {
    session: Session,
    kind: ErrandKind,
}

impl Errand {
    /// Creates an operation for an account.
    pub fn new(account: Account, kind: ErrandKind) -> Errand {
        let mut session = Session::new(account);
        session.only_existing = true;
        Errand { session, kind }
    }

    fn step(&self) -> Step {
        match self.kind {
            ErrandKind::Revoke(..) => Step::Revocation,
            ErrandKind::RollOver(_) => Step::RollOver,
            ErrandKind::Find => Step::Account,
            ErrandKind::RenewalInfo(_) => Step::RenewalInfo,
        }
    }

    fn done(&self) -> ErrandStep {
        ErrandStep::Done(ErrandResult::Done(self.session.account.url.clone().unwrap_or_default()))
    }

    /// Returns the next step.
    ///
    /// # Errors
    ///
    /// When the authority's directory lacks the resource that the operation needs.
    pub fn go_on(&mut self) -> Result<ErrandStep, AcmeError> {
        let signed = !matches!(self.kind, ErrandKind::RenewalInfo(_));
        if let Some(request) = self.session.prerequisite(signed)? {
            return Ok(ErrandStep::Send(request));
        }
        let request = match &self.kind {
            ErrandKind::Revoke(certificate, reason) => {
                let payload = json!({"certificate": encode(certificate), "reason": reason});
                let url = self.session.url("revokeCert")?;
                self.session.post(url, Some(&payload))?
            }
            ErrandKind::RollOver(new) => {
                let url = self.session.url("keyChange")?;
                let account = self.session.account.url.clone().unwrap_or_default();
                let inner = new.roll_over(&self.session.account.key, &account, &url);
                let inner = inner.map_err(|error| self.session.error(Step::RollOver, error))?;
                self.session.post(url, Some(&inner))?
            }
            ErrandKind::Find => return Ok(self.done()),
            ErrandKind::RenewalInfo(id) => {
                let Ok(url) = self.session.url("renewalInfo") else {
                    return Ok(ErrandStep::Done(ErrandResult::Window(None, None)));
                };
                let url = format!("{}/{id}", url.trim_end_matches('/'));
                self.session.get(url)
            }
        };
        Ok(ErrandStep::Send(request))
    }

    /// Processes the authority's response to the last request.
    ///
    /// # Errors
    ///
    /// When the authority refused the request.
    pub fn answered(&mut self, response: &HttpResponse) -> Result<ErrandStep, AcmeError> {
        match self.session.process_response(response, self.step()) {
            Ok(ResponseKind::Session) => return self.go_on(),
            Ok(ResponseKind::ForOwner) => {}
            // Already revoked, for example by an earlier attempt whose response was lost.
            Err(error) if error.is("alreadyRevoked") => return Ok(self.done()),
            Err(error) => return Err(error),
        }
        if !matches!(self.kind, ErrandKind::RenewalInfo(_)) {
            return Ok(self.done());
        }
        let body: Value = serde_json::from_slice(&response.body).unwrap_or(Value::Null);
        let timestamp = |name: &str| {
            let text = body["suggestedWindow"][name].as_str()?;
            OffsetDateTime::parse(text, &Rfc3339).ok().map(OffsetDateTime::unix_timestamp)
        };
        // RFC 9773 section 4.2: a window whose end is not after its start is treated as absent.
        let window = timestamp("start").zip(timestamp("end")).filter(|(start, end)| start < end);
        Ok(ErrandStep::Done(ErrandResult::Window(window, response.retry_after)))
    }
}
