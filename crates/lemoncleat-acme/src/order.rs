//! State machine of an order (RFC 8555 section 7.4): returns the next request and interprets each response.

use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

use crate::jose::encode;
use crate::session::{problem, Account, AcmeError, HttpRequest, HttpResponse, ResponseKind, Session, Step};

/// Maximum number of alternate chains fetched for a certificate.
const MAX_ALTERNATE_CHAINS: usize = 4;

/// The challenge by which control of a name is proven.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChallengeKind {
    /// A file under a well-known path (section 8.3).
    #[default]
    Http01,
    /// A certificate presented in a TLS handshake (RFC 8737).
    TlsAlpn01,
}

impl ChallengeKind {
    /// Returns the challenge type's name on the wire.
    pub fn name(self) -> &'static str {
        match self {
            ChallengeKind::Http01 => "http-01",
            ChallengeKind::TlsAlpn01 => "tls-alpn-01",
        }
    }
}

/// The challenge response that the authority must find when it validates a name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proof {
    /// The challenge type.
    pub kind: ChallengeKind,
    /// The DNS name to be validated.
    pub name: String,
    /// The challenge's token, base64url characters only.
    pub token: String,
    /// The key authorization: the content of the file, or the value whose digest the certificate contains.
    pub authorization: String,
}

/// The part of an order's state that is stored between two steps.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stored {
    /// The names that the order is for.
    pub names: Vec<String>,
    /// The account's URL.
    pub account: Option<String>,
    /// The order's URL.
    pub order: Option<String>,
}

/// The next step of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Send this request and pass the response to [`Order::answered`].
    Send(HttpRequest),
    /// Send this request after the given number of seconds.
    Wait(i64, HttpRequest),
    /// Provision the challenge response, then call [`Order::proven`].
    Prove(Proof),
    /// The certificate's chains, PEM: the authority's default chain first, then the alternates.
    Done(Vec<String>),
}

/// An order in progress.
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
    /// Creates an order. The CSR is DER and contains the names.
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

    /// Resumes a stored order: its status is fetched from the authority, so that no order is placed twice.
    #[must_use]
    pub fn resume(mut self, stored: &Stored) -> Self {
        self.session.account.url = stored.account.clone().or(self.session.account.url.take());
        if stored.names == self.names {
            self.order = stored.order.clone();
        }
        self
    }

    /// Returns the state to store after each step.
    pub fn stored(&self) -> Stored {
        Stored {
            names: self.names.clone(),
            account: self.session.account.url.clone(),
            order: self.order.clone(),
        }
    }

    /// Returns the current step.
    pub fn step(&self) -> Step {
        self.session.step().unwrap_or(self.step)
    }

    fn error(&self, detail: impl Into<String>) -> AcmeError {
        self.session.error(self.step, detail)
    }

    fn require(&self, url: &Option<String>, what: &str) -> Result<String, AcmeError> {
        url.clone().ok_or_else(|| self.error(format!("the authority sent no {what}")))
    }

    /// Returns the next step.
    ///
    /// # Errors
    ///
    /// When the authority has omitted something that the step needs.
    pub fn go_on(&mut self) -> Result<Progress, AcmeError> {
        if let Some(request) = self.session.prerequisite(true)? {
            return Ok(Progress::Send(request));
        }
        if std::mem::take(&mut self.session.account_lost) {
            (self.order, self.step) = (None, Step::NewOrder);
        }
        let (url, payload) = match self.step {
            // The order was placed before a restart: fetch its status.
            Step::NewOrder if self.order.is_some() => (self.require(&self.order, "order URL")?, None),
            Step::NewOrder => {
                let named = |name: &String| json!({"type": "dns", "value": name});
                let identifiers: Vec<Value> = self.names.iter().map(named).collect();
                (self.session.url("newOrder")?, Some(json!({"identifiers": identifiers})))
            }
            Step::Authorization | Step::Validation => (self.require(&self.current, "authorization")?, None),
            Step::Challenge => (self.require(&self.challenge, "challenge")?, Some(json!({}))),
            Step::Finalize => {
                (self.require(&self.finalize, "finalize URL")?, Some(json!({"csr": encode(&self.csr)})))
            }
            Step::Download if !self.chains.is_empty() => {
                let Some(url) = self.alternates.pop() else { return Ok(self.done()) };
                (url, None)
            }
            Step::Download => (self.require(&self.certificate, "certificate URL")?, None),
            Step::Done => return Ok(self.done()),
            _ => (self.require(&self.order, "order URL")?, None),
        };
        Ok(Progress::Send(self.session.post(url, payload.as_ref())?))
    }

    fn done(&mut self) -> Progress {
        self.step = Step::Done;
        Progress::Done(self.chains.clone())
    }

    /// Continues once the challenge response is provisioned.
    ///
    /// # Errors
    ///
    /// As [`Order::go_on`].
    pub fn proven(&mut self) -> Result<Progress, AcmeError> {
        self.step = Step::Challenge;
        self.go_on()
    }

    /// Processes the authority's response to the last request.
    ///
    /// # Errors
    ///
    /// When the authority refused the request, or its response is not valid in this step.
    pub fn answered(&mut self, response: &HttpResponse) -> Result<Progress, AcmeError> {
        match self.session.process_response(response, self.step) {
            Ok(ResponseKind::Session) => return self.go_on(),
            Ok(ResponseKind::ForOwner) => {}
            Err(error) => return self.handle_refusal(error, response.status),
        }
        let body = || serde_json::from_slice::<Value>(&response.body).unwrap_or(Value::Null);
        match self.step {
            Step::NewOrder => {
                if self.order.is_none() {
                    self.order = Some(self.require(&response.location, "order URL")?);
                }
                self.handle_order(&body(), response.retry_after)
            }
            Step::Authorization => self.handle_authorization(&body()),
            Step::Challenge => {
                self.step = Step::Validation;
                let request = self.go_on()?;
                Ok(after_delay(request, response.retry_after.unwrap_or(1)))
            }
            Step::Validation => match body()["status"].as_str() {
                Some("valid") => self.next_authorization(),
                Some("pending" | "processing") => {
                    let request = self.go_on()?;
                    Ok(after_delay(request, response.retry_after.unwrap_or(1)))
                }
                other => {
                    let detail = problem(&body()["challenges"]).1;
                    Err(self.fatal_error(format!(
                        "authorization {}: {detail}",
                        other.unwrap_or("without status")
                    )))
                }
            },
            Step::Download => {
                let text = String::from_utf8_lossy(&response.body).into_owned();
                if !text.contains("BEGIN CERTIFICATE") {
                    return Err(self.error("what was fetched is no certificate in PEM"));
                }
                if self.chains.is_empty() {
                    self.alternates =
                        response.alternates.iter().take(MAX_ALTERNATE_CHAINS).rev().cloned().collect();
                }
                self.chains.push(text);
                self.go_on()
            }
            Step::Done => Ok(self.done()),
            _ => self.handle_order(&body(), response.retry_after),
        }
    }

    fn fatal_error(&mut self, detail: String) -> AcmeError {
        let error = AcmeError { fatal: true, ..self.error(detail) };
        self.order = None;
        error
    }

    fn handle_refusal(&mut self, error: AcmeError, status: u16) -> Result<Progress, AcmeError> {
        if self.step == Step::NewOrder && self.order.is_some() && status == 404 {
            // The authority no longer knows the stored order: place a new one.
            self.order = None;
            return self.go_on();
        }
        if self.step == Step::Download && !self.chains.is_empty() {
            // An alternate chain can't be fetched: the chains already fetched suffice.
            return self.go_on();
        }
        if error.is("orderNotReady") && self.step == Step::Finalize {
            // Section 7.4: fetch the order's status.
            self.step = Step::Issuance;
            return self.go_on();
        }
        if error.fatal {
            self.order = None;
        }
        Err(error)
    }

    fn handle_order(&mut self, order: &Value, retry_after: Option<i64>) -> Result<Progress, AcmeError> {
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
                Ok(after_delay(request, retry_after.unwrap_or(1)))
            }
            Some("valid") => {
                self.step = Step::Download;
                self.go_on()
            }
            other => {
                let (_, detail) = problem(&order["error"]);
                Err(self.fatal_error(format!("the order is {}: {detail}", other.unwrap_or("without status"))))
            }
        }
    }

    fn next_authorization(&mut self) -> Result<Progress, AcmeError> {
        match self.authorizations.pop() {
            Some(url) => {
                self.current = Some(url);
                self.step = Step::Authorization;
            }
            // All authorizations are valid: fetch the order to see whether it is ready.
            None => self.step = Step::Issuance,
        }
        self.go_on()
    }

    fn handle_authorization(&mut self, authorization: &Value) -> Result<Progress, AcmeError> {
        match authorization["status"].as_str() {
            Some("valid") => return self.next_authorization(),
            Some("pending") => {}
            other => {
                return Err(self.fatal_error(format!("authorization {}", other.unwrap_or("without status"))))
            }
        }
        let challenges = authorization["challenges"].as_array().cloned().unwrap_or_default();
        let wanted = self.kind.name();
        let Some(challenge) = challenges.iter().find(|challenge| challenge["type"] == wanted) else {
            return Err(self.fatal_error(format!("the authority offers no {wanted} challenge")));
        };
        let (url, token) = (challenge["url"].as_str(), challenge["token"].as_str());
        let (Some(url), Some(token)) = (url, token) else {
            return Err(self.error("a challenge without URL or token"));
        };
        let fits = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
        if token.is_empty() || !token.chars().all(fits) {
            // The token becomes part of a path, so only base64url characters are accepted (section 8.3).
            return Err(
                self.error(format!("the challenge token has characters outside base64url: {token:?}"))
            );
        }
        self.challenge = Some(url.to_owned());
        if challenge["status"] == "processing" {
            // The challenge was answered before a restart: poll for its outcome.
            self.step = Step::Validation;
            let request = self.go_on()?;
            return Ok(after_delay(request, 1));
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

fn after_delay(progress: Progress, seconds: i64) -> Progress {
    match progress {
        Progress::Send(request) => Progress::Wait(seconds.max(0), request),
        other => other,
    }
}
