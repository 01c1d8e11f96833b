//! Requests common to all exchanges with an authority: directory, nonce and account (RFC 8555 sections 7.1.1,
//! 7.2, 7.3), and the interpretation of its errors.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use zeroize::Zeroizing;

use crate::jose::{AccountKey, Signer};

/// Maximum number of times a request is signed again after the authority refused its nonce.
const MAX_BAD_NONCE_RETRIES: u32 = 10;

/// A request to the authority.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpRequest {
    /// GET, HEAD or POST.
    pub method: &'static str,
    /// The URL.
    pub url: String,
    /// The body of a POST (application/jose+json).
    pub body: String,
}

impl HttpRequest {
    pub(crate) fn get(url: String) -> HttpRequest {
        HttpRequest { method: "GET", url, body: String::new() }
    }
}

/// The parts of the authority's response that the protocol uses.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HttpResponse {
    /// The HTTP status code.
    pub status: u16,
    /// The Location field.
    pub location: Option<String>,
    /// The Replay-Nonce field.
    pub nonce: Option<String>,
    /// The Retry-After field, in seconds.
    pub retry_after: Option<i64>,
    /// Links to other chains of the certificate (rel "alternate", section 7.4.2).
    pub alternates: Vec<String>,
    /// The body.
    pub body: Vec<u8>,
}

/// The step of an exchange with the authority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Step {
    /// The directory is to be fetched.
    Directory,
    /// A nonce is to be fetched.
    Nonce,
    /// The account is to be created or looked up.
    Account,
    /// The order is to be placed.
    NewOrder,
    /// The next authorization is to be fetched.
    Authorization,
    /// Its challenge is to be answered, once the challenge response is provisioned.
    Challenge,
    /// The outcome of the validation is awaited.
    Validation,
    /// The order is to be finalized with the CSR.
    Finalize,
    /// The certificate's issuance is awaited.
    Issuance,
    /// The certificate or an alternate chain is to be fetched.
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
    /// The problem's detail, with its subproblems.
    pub detail: String,
    /// Seconds after which the request may be repeated.
    pub retry_after: Option<i64>,
    /// Whether the order has failed for good: the next attempt starts a new one.
    pub fatal: bool,
}

impl AcmeError {
    /// Returns whether the problem has this ACME error type, given without its URN prefix.
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

/// An external account at the authority to which a new account is bound (section 7.3.4).
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

/// The authority and the account used with it.
#[derive(Clone, Debug)]
pub struct Account {
    /// URL of the authority's directory.
    pub directory: String,
    /// The account's key.
    pub key: Arc<AccountKey>,
    /// Contact URLs, usually `mailto:`.
    pub contact: Vec<String>,
    /// The external account to bind to.
    pub external: Option<External>,
    /// The account's URL, once known.
    pub url: Option<String>,
}

/// Who handles a response.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ResponseKind {
    /// The session handled it, or the request must be repeated: ask for the next request.
    Session,
    /// The owner of the session (order or operation) must handle it.
    ForOwner,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PendingRequest {
    Nothing,
    Directory,
    Nonce,
    Account,
    ForOwner,
}

#[derive(Debug)]
pub(crate) struct Session {
    pub account: Account,
    directory: Option<Value>,
    nonce: Option<String>,
    bad_nonce_retries: u32,
    pending: PendingRequest,
    /// The authority no longer knows the account, so orders placed under it are lost too.
    pub account_lost: bool,
    /// Whether only an existing account may be used (`onlyReturnExisting`).
    pub only_existing: bool,
}

impl Session {
    pub fn new(account: Account) -> Session {
        Session {
            account,
            directory: None,
            nonce: None,
            bad_nonce_retries: 0,
            pending: PendingRequest::Nothing,
            account_lost: false,
            only_existing: false,
        }
    }

    /// Returns the step of the pending request if it is one of the session's own.
    pub fn step(&self) -> Option<Step> {
        match self.pending {
            PendingRequest::Directory => Some(Step::Directory),
            PendingRequest::Nonce => Some(Step::Nonce),
            PendingRequest::Account => Some(Step::Account),
            PendingRequest::Nothing | PendingRequest::ForOwner => None,
        }
    }

    pub fn error(&self, step: Step, detail: impl Into<String>) -> AcmeError {
        let step = self.step().unwrap_or(step);
        AcmeError { step, kind: None, detail: detail.into(), retry_after: None, fatal: false }
    }

    /// Returns a URL of the directory.
    pub fn url(&self, name: &str) -> Result<String, AcmeError> {
        let url = self.directory.as_ref().and_then(|directory| directory[name].as_str());
        url.map(str::to_owned)
            .ok_or_else(|| self.error(Step::Directory, format!("the directory has no {name}")))
    }

    /// Returns the request that must be answered before the owner's next one, or `None` if there is none.
    pub fn prerequisite(&mut self, signed: bool) -> Result<Option<HttpRequest>, AcmeError> {
        if self.directory.is_none() {
            self.pending = PendingRequest::Directory;
            return Ok(Some(HttpRequest::get(self.account.directory.clone())));
        }
        if !signed {
            return Ok(None);
        }
        if self.nonce.is_none() {
            self.pending = PendingRequest::Nonce;
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
        self.pending = PendingRequest::Account;
        Ok(Some(request))
    }

    /// Returns a request of the owner, signed by the account. An empty payload is POST-as-GET.
    pub fn post(&mut self, url: String, payload: Option<&Value>) -> Result<HttpRequest, AcmeError> {
        let account = self.account.url.clone().unwrap_or_default();
        let request = self.signed(Signer::Account(&account), url, payload)?;
        self.pending = PendingRequest::ForOwner;
        Ok(request)
    }

    /// Returns an unsigned GET request of the owner.
    pub fn get(&mut self, url: String) -> HttpRequest {
        self.pending = PendingRequest::ForOwner;
        HttpRequest::get(url)
    }

    fn signed(
        &mut self,
        signer: Signer<'_>,
        url: String,
        payload: Option<&Value>,
    ) -> Result<HttpRequest, AcmeError> {
        let nonce = self.nonce.take().ok_or_else(|| self.error(Step::Nonce, "no nonce is available"))?;
        let body = self.account.key.sign(&signer, &nonce, &url, payload);
        let body = body.map_err(|error| self.error(Step::Nonce, error))?;
        Ok(HttpRequest { method: "POST", url, body })
    }

    /// Processes a response; returns `ForOwner` if the session's owner must handle it.
    pub fn process_response(
        &mut self,
        response: &HttpResponse,
        step: Step,
    ) -> Result<ResponseKind, AcmeError> {
        if let Some(nonce) = &response.nonce {
            self.nonce = Some(nonce.clone());
        }
        if response.status >= 400 {
            return self.handle_refusal(response, step);
        }
        match self.pending {
            PendingRequest::Directory => {
                let directory = serde_json::from_slice(&response.body)
                    .map_err(|error| self.error(step, format!("the directory is not valid JSON: {error}")))?;
                self.directory = Some(directory);
            }
            PendingRequest::Nonce if self.nonce.is_none() => {
                return Err(self.error(step, "the response has no Replay-Nonce"))
            }
            PendingRequest::Nonce | PendingRequest::Nothing => {}
            PendingRequest::Account => {
                let url = response.location.clone();
                self.account.url =
                    Some(url.ok_or_else(|| self.error(step, "the authority sent no account URL"))?);
                self.bad_nonce_retries = 0;
            }
            PendingRequest::ForOwner => {
                self.bad_nonce_retries = 0;
                return Ok(ResponseKind::ForOwner);
            }
        }
        Ok(ResponseKind::Session)
    }

    fn handle_refusal(&mut self, response: &HttpResponse, step: Step) -> Result<ResponseKind, AcmeError> {
        let body: Value = serde_json::from_slice(&response.body).unwrap_or(Value::Null);
        let (kind, detail) = problem(&body);
        let mut error = self.error(step, format!("{} {detail}", response.status));
        (error.kind, error.retry_after) = (kind, response.retry_after);
        if error.is("badNonce") && self.bad_nonce_retries < MAX_BAD_NONCE_RETRIES {
            // Section 6.5: repeat the request with the nonce that came with the refusal.
            self.bad_nonce_retries += 1;
            return Ok(ResponseKind::Session);
        }
        if error.is("accountDoesNotExist")
            && self.pending == PendingRequest::ForOwner
            && self.account.url.is_some()
        {
            self.account.url = None;
            self.account_lost = true;
            return Ok(ResponseKind::Session);
        }
        let retryable = error.is("rateLimited") || error.is("badNonce") || response.status >= 500;
        error.fatal = self.pending == PendingRequest::ForOwner && !retryable;
        Err(error)
    }
}

/// Returns a problem document's type and its detail with subproblems (sections 6.7 and 6.7.1). For an array
/// of challenges, returns the first error found.
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
