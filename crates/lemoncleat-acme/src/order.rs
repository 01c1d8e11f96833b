//! The course of an order (RFC 8555 section 7.4): which request comes next, and what each answer means.

use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

use crate::jose::encode;
use crate::session::{problem, Absorbed, Account, AcmeError, HttpRequest, HttpResponse, Session, Step};

/// Most other chains of a certificate that are fetched.
const ALTERNATES: usize = 4;

/// How a name is proven.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChallengeKind {
    /// A file under a well-known path (section 8.3).
    #[default]
    Http01,
    /// A certificate in a handshake (RFC 8737).
    TlsAlpn01,
}

impl ChallengeKind {
    /// Its name on the wire.
    pub fn name(self) -> &'static str {
        match self {
            ChallengeKind::Http01 => "http-01",
            ChallengeKind::TlsAlpn01 => "tls-alpn-01",
        }
    }
}

/// What has to be found by the authority.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proof {
    /// How.
    pub kind: ChallengeKind,
    /// The name to be proven.
    pub name: String,
    /// The challenge's token, nothing but base64url.
    pub token: String,
    /// The key authorization: the file's content, or what the certificate holds the digest of.
    pub authorization: String,
}

/// What is stored of an order between two steps.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stored {
    /// The names that it is for.
    pub names: Vec<String>,
    /// The account's URL.
    pub account: Option<String>,
    /// The order's URL.
    pub order: Option<String>,
}

/// What is to be done next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Send this and tell the answer.
    Send(HttpRequest),
    /// Send this after so many seconds.
    Wait(i64, HttpRequest),
    /// Put the proof in place, then call [`Order::proven`].
    Prove(Proof),
    /// The certificate's chains, PEM: the authority's own first, then the others that it offers.
    Done(Vec<String>),
}

/// An order on its way.
#[derive(Debug)]
pub struct Order {
    session: Session,
    step: Step,
    kind: ChallengeKind,
    names: Vec<String>,
    csr: Vec<u8>,
    order: Option<String>,
    finalize: Option<String>,
    certificate: Option<String>,
    authorizations: Vec<String>,
    current: Option<String>,
    challenge: Option<String>,
    chains: Vec<String>,
    alternates: Vec<String>,
}

impl Order {
    /// A new order. The CSR is DER and holds the names.
    pub fn new(account: Account, names: &[String], kind: ChallengeKind, csr: Vec<u8>) -> Self {
        Order {
            session: Session::new(account),
            step: Step::NewOrder,
            kind,
            names: names.to_vec(),
            csr,
            order: None,
            finalize: None,
            certificate: None,
            authorizations: Vec::new(),
            current: None,
            challenge: None,
            chains: Vec::new(),
            alternates: Vec::new(),
        }
    }

    /// Takes an order up where it was stored: the authority is asked how it stands, so that none is placed twice.
    #[must_use]
    pub fn resume(mut self, stored: &Stored) -> Self {
        self.session.account.url = stored.account.clone().or(self.session.account.url.take());
        if stored.names == self.names {
            self.order = stored.order.clone();
        }
        self
    }

    /// What to store, after each step.
    pub fn stored(&self) -> Stored {
        Stored {
            names: self.names.clone(),
            account: self.session.account.url.clone(),
            order: self.order.clone(),
        }
    }

    /// Where it is.
    pub fn step(&self) -> Step {
        self.session.step().unwrap_or(self.step)
    }

    fn error(&self, detail: impl Into<String>) -> AcmeError {
        self.session.error(self.step, detail)
    }

    fn known(&self, url: &Option<String>, what: &str) -> Result<String, AcmeError> {
        url.clone().ok_or_else(|| self.error(format!("the authority told no {what}")))
    }

    /// The next thing to do.
    ///
    /// # Errors
    ///
    /// When the authority left something out that the step needs.
    pub fn go_on(&mut self) -> Result<Progress, AcmeError> {
        if let Some(request) = self.session.before(true)? {
            return Ok(Progress::Send(request));
        }
        if std::mem::take(&mut self.session.forgotten) {
            (self.order, self.step) = (None, Step::NewOrder);
        }
        let (url, payload) = match self.step {
            // Placed before a restart: how does it stand?
            Step::NewOrder if self.order.is_some() => (self.known(&self.order, "order URL")?, None),
            Step::NewOrder => {
                let named = |name: &String| json!({"type": "dns", "value": name});
                let identifiers: Vec<Value> = self.names.iter().map(named).collect();
                (self.session.url("newOrder")?, Some(json!({"identifiers": identifiers})))
            }
            Step::Authorization | Step::Validation => (self.known(&self.current, "authorization")?, None),
            Step::Challenge => (self.known(&self.challenge, "challenge")?, Some(json!({}))),
            Step::Finalize => {
                (self.known(&self.finalize, "finalize URL")?, Some(json!({"csr": encode(&self.csr)})))
            }
            Step::Download if !self.chains.is_empty() => {
                let Some(url) = self.alternates.pop() else { return Ok(self.done()) };
                (url, None)
            }
            Step::Download => (self.known(&self.certificate, "certificate URL")?, None),
            Step::Done => return Ok(self.done()),
            _ => (self.known(&self.order, "order URL")?, None),
        };
        Ok(Progress::Send(self.session.post(url, payload.as_ref())?))
    }

    fn done(&mut self) -> Progress {
        self.step = Step::Done;
        Progress::Done(self.chains.clone())
    }

    /// The proof asked for is in place.
    ///
    /// # Errors
    ///
    /// As [`Order::go_on`].
    pub fn proven(&mut self) -> Result<Progress, AcmeError> {
        self.step = Step::Challenge;
        self.go_on()
    }

    /// The authority answered the last request.
    ///
    /// # Errors
    ///
    /// When it refused, or said something that makes no sense here.
    pub fn answered(&mut self, response: &HttpResponse) -> Result<Progress, AcmeError> {
        match self.session.absorb(response, self.step) {
            Ok(Absorbed::Session) => return self.go_on(),
            Ok(Absorbed::Yours) => {}
            Err(error) => return self.refused(error, response.status),
        }
        let body = || serde_json::from_slice::<Value>(&response.body).unwrap_or(Value::Null);
        match self.step {
            Step::NewOrder => {
                if self.order.is_none() {
                    self.order = Some(self.known(&response.location, "order URL")?);
                }
                self.order_told(&body(), response.retry_after)
            }
            Step::Authorization => self.authorization_told(&body()),
            Step::Challenge => {
                self.step = Step::Validation;
                let request = self.go_on()?;
                Ok(later(request, response.retry_after.unwrap_or(1)))
            }
            Step::Validation => match body()["status"].as_str() {
                Some("valid") => self.next_authorization(),
                Some("pending" | "processing") => {
                    let request = self.go_on()?;
                    Ok(later(request, response.retry_after.unwrap_or(1)))
                }
                other => {
                    let detail = problem(&body()["challenges"]).1;
                    Err(self.dead(format!("authorization {}: {detail}", other.unwrap_or("without status"))))
                }
            },
            Step::Download => {
                let text = String::from_utf8_lossy(&response.body).into_owned();
                if !text.contains("BEGIN CERTIFICATE") {
                    return Err(self.error("what was fetched is no certificate in PEM"));
                }
                if self.chains.is_empty() {
                    self.alternates = response.alternates.iter().take(ALTERNATES).rev().cloned().collect();
                }
                self.chains.push(text);
                self.go_on()
            }
            Step::Done => Ok(self.done()),
            _ => self.order_told(&body(), response.retry_after),
        }
    }

    fn dead(&mut self, detail: String) -> AcmeError {
        let error = AcmeError { dead: true, ..self.error(detail) };
        self.order = None;
        error
    }

    fn refused(&mut self, error: AcmeError, status: u16) -> Result<Progress, AcmeError> {
        if self.step == Step::NewOrder && self.order.is_some() && status == 404 {
            // The stored order is forgotten there: place a new one.
            self.order = None;
            return self.go_on();
        }
        if self.step == Step::Download && !self.chains.is_empty() {
            // Another chain is not to be had: those that are there do.
            return self.go_on();
        }
        if error.is("orderNotReady") && self.step == Step::Finalize {
            // Section 7.4: it is asked how it stands.
            self.step = Step::Issuance;
            return self.go_on();
        }
        if error.dead {
            self.order = None;
        }
        Err(error)
    }

    fn order_told(&mut self, order: &Value, retry_after: Option<i64>) -> Result<Progress, AcmeError> {
        self.finalize = order["finalize"].as_str().map(str::to_owned).or(self.finalize.take());
        self.certificate = order["certificate"].as_str().map(str::to_owned);
        match order["status"].as_str() {
            Some("pending") => {
                let all = order["authorizations"].as_array().cloned().unwrap_or_default();
                self.authorizations =
                    all.iter().rev().filter_map(|url| url.as_str().map(str::to_owned)).collect();
                if self.authorizations.is_empty() {
                    return Err(self.error("a pending order without authorizations"));
                }
                self.next_authorization()
            }
            Some("ready") => {
                self.step = Step::Finalize;
                self.go_on()
            }
            Some("processing") => {
                self.step = Step::Issuance;
                let request = self.go_on()?;
                Ok(later(request, retry_after.unwrap_or(1)))
            }
            Some("valid") => {
                self.step = Step::Download;
                self.go_on()
            }
            other => {
                let (_, detail) = problem(&order["error"]);
                Err(self.dead(format!("the order is {}: {detail}", other.unwrap_or("without status"))))
            }
        }
    }

    fn next_authorization(&mut self) -> Result<Progress, AcmeError> {
        match self.authorizations.pop() {
            Some(url) => {
                self.current = Some(url);
                self.step = Step::Authorization;
            }
            // All are proven: the order says whether it is ready.
            None => self.step = Step::Issuance,
        }
        self.go_on()
    }

    fn authorization_told(&mut self, authorization: &Value) -> Result<Progress, AcmeError> {
        match authorization["status"].as_str() {
            Some("valid") => return self.next_authorization(),
            Some("pending") => {}
            other => return Err(self.dead(format!("authorization {}", other.unwrap_or("without status")))),
        }
        let challenges = authorization["challenges"].as_array().cloned().unwrap_or_default();
        let wanted = self.kind.name();
        let Some(challenge) = challenges.iter().find(|challenge| challenge["type"] == wanted) else {
            return Err(self.dead(format!("the authority offers no {wanted} challenge")));
        };
        let (url, token) = (challenge["url"].as_str(), challenge["token"].as_str());
        let (Some(url), Some(token)) = (url, token) else {
            return Err(self.error("a challenge without URL or token"));
        };
        let fits = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
        if token.is_empty() || !token.chars().all(fits) {
            // It becomes part of a path: nothing but base64url (section 8.3).
            return Err(self.error(format!("a token of other characters than base64url: {token:?}")));
        }
        self.challenge = Some(url.to_owned());
        if challenge["status"] == "processing" {
            // Answered before a restart: what comes of it?
            self.step = Step::Validation;
            let request = self.go_on()?;
            return Ok(later(request, 1));
        }
        self.step = Step::Challenge;
        Ok(Progress::Prove(Proof {
            kind: self.kind,
            name: authorization["identifier"]["value"].as_str().unwrap_or_default().to_owned(),
            token: token.to_owned(),
            authorization: self.session.account.key.key_authorization(token),
        }))
    }
}

fn later(progress: Progress, seconds: i64) -> Progress {
    match progress {
        Progress::Send(request) => Progress::Wait(seconds.max(0), request),
        other => other,
    }
}
