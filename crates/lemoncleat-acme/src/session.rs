//! What every conversation with an authority begins with: its directory, a nonce, the account (RFC 8555 sections
//! 7.1.1, 7.2, 7.3), and what its refusals mean.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use zeroize::Zeroizing;

use crate::jose::{AccountKey, Signer};

/// Most times that one request is signed anew for a nonce that the authority refused.
const BAD_NONCES: u32 = 10;

/// A request to the authority.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpRequest {
    /// GET, HEAD or POST.
    pub method: &'static str,
    /// Where to.
    pub url: String,
    /// The body of a POST (application/jose+json).
    pub body: String,
}

impl HttpRequest {
    pub(crate) fn get(url: String) -> HttpRequest {
        HttpRequest { method: "GET", url, body: String::new() }
    }
}

/// An answer of the authority, as far as it matters.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HttpResponse {
    /// Its status.
    pub status: u16,
    /// Location.
    pub location: Option<String>,
    /// Replay-Nonce.
    pub nonce: Option<String>,
    /// Retry-After, in seconds.
    pub retry_after: Option<i64>,
    /// Links to other chains of the certificate (rel "alternate", section 7.4.2).
    pub alternates: Vec<String>,
    /// Its body.
    pub body: Vec<u8>,
}

/// Where a conversation is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Step {
    /// The directory is to be fetched.
    Directory,
    /// A nonce is to be fetched.
    Nonce,
    /// The account is to be made or found.
    Account,
    /// The order is to be placed.
    NewOrder,
    /// The next authorization is to be fetched.
    Authorization,
    /// Its challenge is to be answered, once what proves it is in place.
    Challenge,
    /// Its outcome is awaited.
    Validation,
    /// The request for the certificate is to be sent.
    Finalize,
    /// The certificate's issuance is awaited.
    Issuance,
    /// The certificate is to be fetched, or another chain of it.
    Download,
    /// A certificate is to be revoked.
    Revocation,
    /// The account's key is to be replaced.
    RollOver,
    /// Renewal information is to be fetched.
    RenewalInfo,
    /// It is done.
    Done,
}

/// Why a conversation can't go on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcmeError {
    /// In which step.
    pub step: Step,
    /// The problem's type (`urn:ietf:params:acme:error:...`), where the authority told one.
    pub kind: Option<String>,
    /// What it said, with its subproblems.
    pub detail: String,
    /// Not before so many seconds.
    pub retry_after: Option<i64>,
    /// Whether what was begun is dead: the next try begins anew.
    pub dead: bool,
}

impl AcmeError {
    /// Whether the authority told this type of problem, by the last part of its name.
    pub fn is(&self, name: &str) -> bool {
        self.kind.as_deref().and_then(|kind| kind.strip_prefix("urn:ietf:params:acme:error:")) == Some(name)
    }
}

impl fmt::Display for AcmeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.step, self.detail)
    }
}

impl std::error::Error for AcmeError {}

/// An account that the authority knows otherwise, to which a new one is bound (section 7.3.4).
#[derive(Clone)]
pub struct External {
    /// Its key identifier.
    pub key_id: String,
    /// Its key.
    pub secret: Zeroizing<Vec<u8>>,
}

impl fmt::Debug for External {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "External({})", self.key_id)
    }
}

/// With whom, and as whom, one talks.
#[derive(Clone, Debug)]
pub struct Account {
    /// The authority's directory.
    pub directory: String,
    /// The account's key.
    pub key: Arc<AccountKey>,
    /// Contact URLs, `mailto:` mostly.
    pub contact: Vec<String>,
    /// An account that it is bound to.
    pub external: Option<External>,
    /// Its URL, once known.
    pub url: Option<String>,
}

/// What an answer is for.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Absorbed {
    /// The session itself, or a request that must be made once more: go on.
    Session,
    /// What the session is held for.
    Yours,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Asked {
    Nothing,
    Directory,
    Nonce,
    Account,
    Yours,
}

#[derive(Debug)]
pub(crate) struct Session {
    pub account: Account,
    directory: Option<Value>,
    nonce: Option<String>,
    bad_nonces: u32,
    asked: Asked,
    /// The account was not known there any more: what was begun under it is gone too.
    pub forgotten: bool,
    /// Only an account that exists is wanted.
    pub only_existing: bool,
}

impl Session {
    pub fn new(account: Account) -> Session {
        Session {
            account,
            directory: None,
            nonce: None,
            bad_nonces: 0,
            asked: Asked::Nothing,
            forgotten: false,
            only_existing: false,
        }
    }

    /// In which step a failure now would be, if it is one of the session's.
    pub fn step(&self) -> Option<Step> {
        match self.asked {
            Asked::Directory => Some(Step::Directory),
            Asked::Nonce => Some(Step::Nonce),
            Asked::Account => Some(Step::Account),
            Asked::Nothing | Asked::Yours => None,
        }
    }

    pub fn error(&self, step: Step, detail: impl Into<String>) -> AcmeError {
        let step = self.step().unwrap_or(step);
        AcmeError { step, kind: None, detail: detail.into(), retry_after: None, dead: false }
    }

    /// A URL of the directory.
    pub fn url(&self, name: &str) -> Result<String, AcmeError> {
        let url = self.directory.as_ref().and_then(|directory| directory[name].as_str());
        url.map(str::to_owned)
            .ok_or_else(|| self.error(Step::Directory, format!("the directory has no {name}")))
    }

    /// The request that must be answered before any other; `None` once there is none.
    pub fn before(&mut self, signed: bool) -> Result<Option<HttpRequest>, AcmeError> {
        if self.directory.is_none() {
            self.asked = Asked::Directory;
            return Ok(Some(HttpRequest::get(self.account.directory.clone())));
        }
        if !signed {
            return Ok(None);
        }
        if self.nonce.is_none() {
            self.asked = Asked::Nonce;
            let url = self.url("newNonce")?;
            return Ok(Some(HttpRequest { method: "HEAD", url, body: String::new() }));
        }
        if self.account.url.is_some() {
            return Ok(None);
        }
        let url = self.url("newAccount")?;
        let mut payload = match self.only_existing {
            true => json!({"onlyReturnExisting": true}),
            false => json!({"termsOfServiceAgreed": true, "contact": self.account.contact}),
        };
        if let (Some(external), false) = (&self.account.external, self.only_existing) {
            let binding = self.account.key.external_binding(&external.key_id, &external.secret, &url);
            payload["externalAccountBinding"] = binding;
        }
        let request = self.signed(Signer::Key, url, Some(&payload))?;
        self.asked = Asked::Account;
        Ok(Some(request))
    }

    /// A request of what the session is held for, signed by the account. An empty payload is POST-as-GET.
    pub fn post(&mut self, url: String, payload: Option<&Value>) -> Result<HttpRequest, AcmeError> {
        let account = self.account.url.clone().unwrap_or_default();
        let request = self.signed(Signer::Account(&account), url, payload)?;
        self.asked = Asked::Yours;
        Ok(request)
    }

    /// One that needs no signature.
    pub fn get(&mut self, url: String) -> HttpRequest {
        self.asked = Asked::Yours;
        HttpRequest::get(url)
    }

    fn signed(
        &mut self,
        signer: Signer<'_>,
        url: String,
        payload: Option<&Value>,
    ) -> Result<HttpRequest, AcmeError> {
        let nonce = self.nonce.take().ok_or_else(|| self.error(Step::Nonce, "no nonce is at hand"))?;
        let body = self.account.key.sign(&signer, &nonce, &url, payload);
        let body = body.map_err(|error| self.error(Step::Nonce, error))?;
        Ok(HttpRequest { method: "POST", url, body })
    }

    /// Takes an answer in; `Yours` if it is for what the session is held for.
    pub fn absorb(&mut self, response: &HttpResponse, step: Step) -> Result<Absorbed, AcmeError> {
        if let Some(nonce) = &response.nonce {
            self.nonce = Some(nonce.clone());
        }
        if response.status >= 400 {
            return self.refused(response, step);
        }
        match self.asked {
            Asked::Directory => {
                let directory = serde_json::from_slice(&response.body)
                    .map_err(|error| self.error(step, format!("no directory: {error}")))?;
                self.directory = Some(directory);
            }
            Asked::Nonce if self.nonce.is_none() => return Err(self.error(step, "the answer has no nonce")),
            Asked::Nonce | Asked::Nothing => {}
            Asked::Account => {
                let url = response.location.clone();
                self.account.url =
                    Some(url.ok_or_else(|| self.error(step, "the authority told no account URL"))?);
                self.bad_nonces = 0;
            }
            Asked::Yours => {
                self.bad_nonces = 0;
                return Ok(Absorbed::Yours);
            }
        }
        Ok(Absorbed::Session)
    }

    fn refused(&mut self, response: &HttpResponse, step: Step) -> Result<Absorbed, AcmeError> {
        let body: Value = serde_json::from_slice(&response.body).unwrap_or(Value::Null);
        let (kind, detail) = problem(&body);
        let mut error = self.error(step, format!("{} {detail}", response.status));
        (error.kind, error.retry_after) = (kind, response.retry_after);
        if error.is("badNonce") && self.bad_nonces < BAD_NONCES {
            // Section 6.5: the same request once more, with the nonce that came with the refusal.
            self.bad_nonces += 1;
            return Ok(Absorbed::Session);
        }
        if error.is("accountDoesNotExist") && self.asked == Asked::Yours && self.account.url.is_some() {
            self.account.url = None;
            self.forgotten = true;
            return Ok(Absorbed::Session);
        }
        let later = error.is("rateLimited") || error.is("badNonce") || response.status >= 500;
        error.dead = self.asked == Asked::Yours && !later;
        Err(error)
    }
}

/// A problem document's type and detail, with its subproblems (sections 6.7 and 6.7.1). Of challenges, the first
/// that has one.
pub(crate) fn problem(value: &Value) -> (Option<String>, String) {
    if let Some(all) = value.as_array() {
        return all
            .iter()
            .map(|one| problem(&one["error"]))
            .find(|(_, text)| !text.is_empty())
            .unwrap_or_default();
    }
    let mut detail = value["detail"].as_str().unwrap_or_default().to_owned();
    for sub in value["subproblems"].as_array().into_iter().flatten() {
        let name = sub["identifier"]["value"].as_str().unwrap_or("?");
        detail += &format!("; {name}: {}", sub["detail"].as_str().unwrap_or_default());
    }
    (value["type"].as_str().map(str::to_owned), detail)
}
