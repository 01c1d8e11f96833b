//! The authority's state machine: accounts, orders, authorizations and certificates.

use std::collections::HashSet;

use lemoncleat_http::Message;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rcgen::{CertificateSigningRequestParams, SanType};
use ring::hmac;
use serde_json::{json, Value};
use time::format_description::well_known::Rfc3339;
use time::OffsetDateTime;

use crate::faults::{Faults, Stage, Wrong};
use crate::issuer::IssuerKeys;
use crate::jws::{decode, encode, thumbprint, Jws};

/// Seconds since 1970.
type Seconds = i64;

/// Settings of an authority.
#[derive(Clone, Debug)]
pub struct AuthoritySettings {
    /// Base of its URLs, without a trailing slash.
    pub base: String,
    /// Lifetime of its certificates, in seconds.
    pub lifetime: Seconds,
    /// Seconds by which notBefore precedes the time of issue.
    pub backdate: Seconds,
    /// The external account that new accounts must be bound to: key identifier and key.
    pub external: Option<(String, Vec<u8>)>,
    /// The suggested renewal window as fractions of a certificate's lifetime; `None` offers no renewal
    /// information.
    pub window: Option<(f64, f64)>,
    /// Seed for tokens, nonces and random failures.
    pub seed: u64,
}

/// A validation that the driver must perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ToValidate {
    /// The authorization's number, to be passed to [`Authority::validated`].
    pub authorization: usize,
    /// http-01 or tls-alpn-01.
    pub kind: String,
    /// The name.
    pub name: String,
    /// The challenge's token.
    pub token: String,
    /// The expected key authorization.
    pub expected: String,
}

/// An issued certificate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Issued {
    /// Its names.
    pub names: Vec<String>,
    /// Time of issue by the caller's clock, without [`Faults::ahead`].
    pub at: Seconds,
    /// Its validity period.
    pub validity: (Seconds, Seconds),
    /// Its chains, PEM.
    pub chains: [String; 2],
    /// Whether it was revoked.
    pub revoked: bool,
}

#[derive(Debug)]
struct Order {
    account: usize,
    names: Vec<String>,
    authorizations: Vec<usize>,
    status: &'static str,
    certificate: Option<usize>,
    /// Number of times it will still be reported as processing.
    processing: u32,
}

#[derive(Debug)]
struct Authorization {
    account: usize,
    name: String,
    status: &'static str,
    /// The challenge type that the client answered and that is not validated yet.
    answered: Option<&'static str>,
    token: String,
    problem: Option<String>,
}

/// A test authority without I/O.
pub struct Authority {
    settings: AuthoritySettings,
    /// Scripted failures; may be changed at any time.
    pub faults: Faults,
    keys: IssuerKeys,
    rng: SmallRng,
    nonces: HashSet<String>,
    accounts: Vec<(Value, bool)>,
    orders: Vec<Order>,
    authorizations: Vec<Authorization>,
    issued: Vec<Issued>,
    order_times: Vec<Seconds>,
    complaints: Vec<String>,
    requests: Vec<(Seconds, String)>,
}

type HandlerResult = Result<Message, Message>;

const CHALLENGE_TYPES: [&str; 2] = ["http-01", "tls-alpn-01"];

fn json_message(status: u16, body: &Value) -> Message {
    Message::response(status).with_body("application/json", body.to_string())
}

impl Authority {
    /// Creates an authority without accounts.
    ///
    /// # Errors
    ///
    /// When its own keys or certificates can't be generated.
    pub fn new(settings: AuthoritySettings, now: Seconds) -> Result<Authority, String> {
        let keys = IssuerKeys::new(now).map_err(|error| error.to_string())?;
        Ok(Authority {
            rng: SmallRng::seed_from_u64(settings.seed),
            settings,
            faults: Faults::default(),
            keys,
            nonces: HashSet::new(),
            accounts: Vec::new(),
            orders: Vec::new(),
            authorizations: Vec::new(),
            issued: Vec::new(),
            order_times: Vec::new(),
            complaints: Vec::new(),
            requests: Vec::new(),
        })
    }

    /// Returns its root certificates, PEM: the root of the default chains first.
    pub fn roots(&self) -> &[String; 2] {
        &self.keys.roots
    }

    /// Returns the URL of its directory.
    pub fn directory(&self) -> String {
        self.url("directory")
    }

    /// Returns the issued certificates, oldest first.
    pub fn issued(&self) -> &[Issued] {
        &self.issued
    }

    /// Returns the number of orders placed.
    pub fn orders_placed(&self) -> usize {
        self.orders.len()
    }

    /// Returns the protocol violations by clients, such as bad signatures, unknown nonces or wrong URLs.
    pub fn complaints(&self) -> &[String] {
        &self.complaints
    }

    /// Returns the time and path of every request received.
    pub fn requests(&self) -> &[(Seconds, String)] {
        &self.requests
    }

    /// Issues a certificate from the intermediate without an order, for use in tests; returns chain and key,
    /// PEM.
    ///
    /// # Errors
    ///
    /// When it can't be generated.
    pub fn issue_plainly(
        &mut self,
        names: &[String],
        validity: (Seconds, Seconds),
    ) -> Result<(String, String), String> {
        let detail = |error: rcgen::Error| error.to_string();
        let key = rcgen::KeyPair::generate().map_err(detail)?;
        let params = rcgen::CertificateParams::new(names.to_vec()).map_err(detail)?;
        let csr = params.serialize_request(&key).map_err(detail)?;
        let csr = CertificateSigningRequestParams::from_der(csr.der()).map_err(detail)?;
        let serial = self.rng.random();
        let [chain, _] = self.keys.issue(csr, serial, validity, None).map_err(detail)?;
        Ok((chain, key.serialize_pem()))
    }

    fn url(&self, path: &str) -> String {
        format!("{}/{path}", self.settings.base)
    }

    fn nonce(&mut self) -> String {
        let bytes: [u8; 12] = self.rng.random();
        let nonce = encode(&bytes);
        self.nonces.insert(nonce.clone());
        nonce
    }

    fn problem(&mut self, status: u16, kind: &str, detail: &str) -> Message {
        let body = json!({
            "type": format!("urn:ietf:params:acme:error:{kind}"),
            "detail": detail,
            "subproblems": [],
        });
        let mut message = Message::response(status).with_body("application/problem+json", body.to_string());
        if let (429 | 503, Some(seconds)) = (status, self.faults.retry_after) {
            message = message.with("Retry-After", &seconds.to_string());
        }
        message
    }

    fn complain(&mut self, status: u16, kind: &str, detail: &str) -> Message {
        self.complaints.push(detail.to_owned());
        self.problem(status, kind, detail)
    }

    /// Answers a request.
    pub fn handle(&mut self, now: Seconds, request: &Message) -> Message {
        let (method, path) = match request.path() {
            Some((method, path)) => (method.to_owned(), path.to_owned()),
            None => return Message::response(400),
        };
        self.requests.push((now, path.clone()));
        let answer = self.answer(now, &method, &path, request).unwrap_or_else(|refusal| refusal);
        let directory = self.directory();
        let answer = match method == "POST" || path.ends_with("new-nonce") {
            true => answer.with("Replay-Nonce", &self.nonce()),
            false => answer,
        };
        answer.with("Link", &format!("<{directory}>;rel=\"index\"")).with("Cache-Control", "no-store")
    }

    fn check_scripted_refusal(&mut self, stage: Stage) -> Result<(), Message> {
        let Some(at) = self.faults.refuse.iter().position(|(on, ..)| *on == stage) else { return Ok(()) };
        let (_, status, kind, left) = &mut self.faults.refuse[at];
        let (status, kind) = (*status, *kind);
        *left = left.saturating_sub(1);
        if *left == 0 {
            self.faults.refuse.remove(at);
        }
        Err(self.problem(status, kind, "refused by the script"))
    }

    fn answer(&mut self, now: Seconds, method: &str, path: &str, request: &Message) -> HandlerResult {
        let path = path.trim_start_matches('/');
        let (kind, rest) = path.split_once('/').unwrap_or((path, ""));
        match (method, kind) {
            ("GET", "directory") => {
                self.check_scripted_refusal(Stage::Directory)?;
                let url = |name: &str| self.url(name);
                let mut directory = json!({
                    "newNonce": url("new-nonce"), "newAccount": url("new-account"), "newOrder": url("new-order"),
                    "revokeCert": url("revoke-cert"), "keyChange": url("key-change"),
                    "meta": {"externalAccountRequired": self.settings.external.is_some()},
                });
                if self.settings.window.is_some() {
                    directory["renewalInfo"] = json!(url("renewal-info"));
                }
                return Ok(json_message(200, &directory));
            }
            ("HEAD" | "GET", "new-nonce") => {
                self.check_scripted_refusal(Stage::Nonce)?;
                return Ok(Message::response(if method == "HEAD" { 200 } else { 204 }));
            }
            ("GET", "renewal-info") => return self.renewal_info(rest),
            ("POST", _) => {}
            _ => return Err(Message::response(405)),
        }
        let media = request.headers.get("Content-Type").unwrap_or_default();
        if media != "application/jose+json" {
            return Err(self.complain(415, "malformed", &format!("content type {media:?}")));
        }
        let jws = serde_json::from_slice(&request.body).ok().and_then(|value| Jws::parse(&value));
        let Some(jws) = jws else {
            return Err(self.complain(400, "malformed", "the body is not a flattened JWS"));
        };
        let url = self.url(path);
        if jws.protected["url"] != url.as_str() {
            let detail = format!("signed for {}, sent to {url}", jws.protected["url"]);
            return Err(self.complain(401, "unauthorized", &detail));
        }
        let fresh = jws.protected["nonce"].as_str().is_some_and(|nonce| self.nonces.remove(nonce));
        if !fresh {
            return Err(self.complain(400, "badNonce", "the nonce was not issued or has been used"));
        }
        if self.faults.bad_nonces > 0.0 && self.rng.random_bool(self.faults.bad_nonces.min(1.0)) {
            return Err(self.problem(400, "badNonce", "refused by the script"));
        }
        if kind == "new-account" {
            return self.new_account(&jws);
        }
        let account = match (jws.protected["kid"].as_str(), &jws.protected["jwk"]) {
            (Some(kid), Value::Null) => {
                let number = kid.strip_prefix(&self.url("account/")).and_then(|n| n.parse::<usize>().ok());
                match number.filter(|number| self.accounts.get(*number).is_some_and(|(_, valid)| *valid)) {
                    Some(number) => number,
                    None => return Err(self.problem(400, "accountDoesNotExist", "no such account")),
                }
            }
            _ => return Err(self.complain(400, "malformed", "expected kid alone")),
        };
        let jwk = self.accounts[account].0.clone();
        if !jws.verify(&jwk) {
            return Err(self.complain(401, "unauthorized", "the signature does not verify"));
        }
        let number = || rest.split('/').next().and_then(|number| number.parse::<usize>().ok());
        match (kind, jws.payload.as_ref()) {
            ("new-order", Some(payload)) => self.new_order(now, account, payload),
            ("order", None) => {
                self.check_scripted_refusal(Stage::Order)?;
                self.order(number(), account)
            }
            ("authorization", None) => {
                self.check_scripted_refusal(Stage::Authorization)?;
                self.authorization(number(), account)
            }
            ("challenge", Some(payload)) => {
                self.check_scripted_refusal(Stage::Challenge)?;
                if payload != &json!({}) {
                    return Err(self.complain(400, "malformed", "expected {} as the payload of a challenge"));
                }
                let kind = rest
                    .split('/')
                    .nth(1)
                    .and_then(|name| CHALLENGE_TYPES.into_iter().find(|kind| *kind == name));
                self.challenge(number(), kind, account)
            }
            ("finalize", Some(payload)) => self.finalize(now, number(), account, payload),
            ("certificate", None) => {
                self.check_scripted_refusal(Stage::Download)?;
                self.download(number(), account, rest.ends_with("/other"))
            }
            ("revoke-cert", Some(payload)) => self.revoke(payload),
            ("key-change", Some(payload)) => self.key_change(account, payload, &url),
            (kind, payload) => {
                let detail =
                    format!("{kind} {} a payload", if payload.is_some() { "with" } else { "without" });
                Err(self.complain(404, "malformed", &detail))
            }
        }
    }

    fn new_account(&mut self, jws: &Jws) -> HandlerResult {
        self.check_scripted_refusal(Stage::Account)?;
        let jwk = jws.protected["jwk"].clone();
        if jwk.is_null() || !jws.protected["kid"].is_null() || !jws.verify(&jwk) {
            return Err(self.complain(
                401,
                "unauthorized",
                "a new account must be signed by its key, with jwk",
            ));
        }
        let payload = jws.payload.clone().unwrap_or(Value::Null);
        let existing = self.accounts.iter().position(|(existing, valid)| *valid && *existing == jwk);
        if let Some(number) = existing {
            let url = self.url(&format!("account/{number}"));
            return Ok(json_message(200, &json!({"status": "valid"})).with("Location", &url));
        }
        if payload["onlyReturnExisting"] == true {
            return Err(self.problem(400, "accountDoesNotExist", "no account has this key"));
        }
        if payload["termsOfServiceAgreed"] != true {
            return Err(self.problem(403, "userActionRequired", "the terms of service are not agreed to"));
        }
        if let Some((key_id, secret)) = self.settings.external.clone() {
            let binding = &payload["externalAccountBinding"];
            let protected: Option<Value> =
                decode(&binding["protected"]).and_then(|bytes| serde_json::from_slice(&bytes).ok());
            let protected = protected.unwrap_or(Value::Null);
            let signed = format!(
                "{}.{}",
                binding["protected"].as_str().unwrap_or_default(),
                binding["payload"].as_str().unwrap_or_default()
            );
            let key = hmac::Key::new(hmac::HMAC_SHA256, &secret);
            let tag = decode(&binding["signature"]).unwrap_or_default();
            let inner: Option<Value> =
                decode(&binding["payload"]).and_then(|bytes| serde_json::from_slice(&bytes).ok());
            let fits = protected["kid"] == key_id.as_str()
                && protected["alg"] == "HS256"
                && protected["url"] == self.url("new-account").as_str()
                && inner.as_ref() == Some(&jwk)
                && hmac::verify(&key, signed.as_bytes(), &tag).is_ok();
            if !fits {
                return Err(self.problem(
                    403,
                    "externalAccountRequired",
                    "no valid external account binding",
                ));
            }
        }
        self.accounts.push((jwk, true));
        let url = self.url(&format!("account/{}", self.accounts.len() - 1));
        Ok(json_message(201, &json!({"status": "valid"})).with("Location", &url))
    }

    fn new_order(&mut self, now: Seconds, account: usize, payload: &Value) -> HandlerResult {
        self.check_scripted_refusal(Stage::NewOrder)?;
        if let Some((most, span)) = self.faults.orders_within {
            self.order_times.retain(|at| now - at < span);
            if self.order_times.len() >= most {
                let wait = self.order_times.first().map_or(span, |first| first + span - now);
                let message = self.problem(429, "rateLimited", "too many orders");
                return Err(message.with("Retry-After", &wait.max(1).to_string()));
            }
        }
        let identifiers = payload["identifiers"].as_array().cloned().unwrap_or_default();
        let names: Vec<String> = identifiers
            .iter()
            .filter(|identifier| identifier["type"] == "dns")
            .filter_map(|identifier| identifier["value"].as_str().map(str::to_owned))
            .collect();
        if names.is_empty() || names.len() != identifiers.len() {
            return Err(self.complain(400, "malformed", "the order has invalid identifiers"));
        }
        self.order_times.push(now);
        let authorizations = names.iter().map(|name| {
            let bytes: [u8; 16] = self.rng.random();
            Authorization {
                account,
                name: name.clone(),
                status: "pending",
                answered: None,
                token: encode(&bytes),
                problem: None,
            }
        });
        let first = self.authorizations.len();
        self.authorizations.extend(authorizations.collect::<Vec<_>>());
        self.orders.push(Order {
            account,
            authorizations: (first..self.authorizations.len()).collect(),
            names,
            status: "pending",
            certificate: None,
            processing: 0,
        });
        let number = self.orders.len() - 1;
        let url = self.url(&format!("order/{number}"));
        Ok(json_message(201, &self.order_body(number)).with("Location", &url))
    }

    fn order_body(&self, number: usize) -> Value {
        let order = &self.orders[number];
        let named = |name: &String| json!({"type": "dns", "value": name});
        let urls: Vec<String> =
            order.authorizations.iter().map(|at| self.url(&format!("authorization/{at}"))).collect();
        let mut body = json!({
            "status": order.status,
            "identifiers": order.names.iter().map(named).collect::<Vec<_>>(),
            "authorizations": urls,
            "finalize": self.url(&format!("finalize/{number}")),
        });
        if let (Some(certificate), "valid") = (order.certificate, order.status) {
            body["certificate"] = json!(self.url(&format!("certificate/{certificate}")));
        }
        body
    }

    fn own_order(&mut self, number: Option<usize>, account: usize) -> Result<usize, Message> {
        let number = number.filter(|n| self.orders.get(*n).is_some_and(|order| order.account == account));
        number.ok_or_else(|| self.problem(404, "malformed", "no such order"))
    }

    fn order(&mut self, number: Option<usize>, account: usize) -> HandlerResult {
        let number = self.own_order(number, account)?;
        let order = &mut self.orders[number];
        if order.status == "processing" {
            order.processing = order.processing.saturating_sub(1);
            if order.processing == 0 {
                order.status = "valid";
            }
        }
        let processing = order.status == "processing";
        let message = json_message(200, &self.order_body(number));
        Ok(match self.faults.retry_after.filter(|_| processing) {
            Some(seconds) => message.with("Retry-After", &seconds.to_string()),
            None => message,
        })
    }

    fn own_authorization(&mut self, number: Option<usize>, account: usize) -> Result<usize, Message> {
        let number =
            number.filter(|n| self.authorizations.get(*n).is_some_and(|entry| entry.account == account));
        number.ok_or_else(|| self.problem(404, "malformed", "no such authorization"))
    }

    fn challenge_body(&self, number: usize, kind: &str) -> Value {
        let entry = &self.authorizations[number];
        let status = match (entry.status, entry.answered) {
            ("pending", Some(answered)) if answered == kind => "processing",
            ("pending", _) => "pending",
            (status, _) => status,
        };
        let url = self.url(&format!("challenge/{number}/{kind}"));
        let mut body = json!({"type": kind, "url": url, "token": entry.token, "status": status});
        if let Some(problem) = &entry.problem {
            body["error"] =
                json!({"type": "urn:ietf:params:acme:error:incorrectResponse", "detail": problem});
        }
        body
    }

    fn authorization(&mut self, number: Option<usize>, account: usize) -> HandlerResult {
        let number = self.own_authorization(number, account)?;
        let entry = &self.authorizations[number];
        let body = json!({
            "status": entry.status,
            "identifier": {"type": "dns", "value": entry.name},
            "challenges": CHALLENGE_TYPES.map(|kind| self.challenge_body(number, kind)),
        });
        let message = json_message(200, &body);
        Ok(match self.faults.retry_after.filter(|_| entry.answered.is_some()) {
            Some(seconds) => message.with("Retry-After", &seconds.to_string()),
            None => message,
        })
    }

    fn challenge(
        &mut self,
        number: Option<usize>,
        kind: Option<&'static str>,
        account: usize,
    ) -> HandlerResult {
        let number = self.own_authorization(number, account)?;
        let Some(kind) = kind else { return Err(self.problem(404, "malformed", "no such challenge")) };
        let entry = &mut self.authorizations[number];
        if entry.status == "pending" && entry.answered.is_none() {
            entry.answered = Some(kind);
        }
        Ok(json_message(200, &self.challenge_body(number, kind)))
    }

    /// Returns the validations to perform now; each is returned once.
    pub fn to_validate(&mut self) -> Vec<ToValidate> {
        let mut all = Vec::new();
        for (number, entry) in self.authorizations.iter_mut().enumerate() {
            let Some(kind) = entry.answered.filter(|_| entry.status == "pending") else { continue };
            entry.answered = None;
            // Validation is in progress.
            entry.status = "processing";
            let jwk = &self.accounts[entry.account].0;
            all.push(ToValidate {
                authorization: number,
                kind: kind.to_owned(),
                name: entry.name.clone(),
                token: entry.token.clone(),
                expected: format!("{}.{}", entry.token, thumbprint(jwk)),
            });
        }
        all
    }

    /// Reports the result of a validation.
    pub fn validated(&mut self, authorization: usize, found: Result<(), String>) {
        let scripted = self.faults.failing_validations > 0;
        self.faults.failing_validations = self.faults.failing_validations.saturating_sub(1);
        let Some(entry) = self.authorizations.get_mut(authorization) else { return };
        match found {
            Ok(()) if !scripted => entry.status = "valid",
            found => {
                entry.status = "invalid";
                entry.problem = Some(found.err().unwrap_or_else(|| "failed by the script".to_owned()));
            }
        }
        for order in self.orders.iter_mut().filter(|order| order.authorizations.contains(&authorization)) {
            let statuses: Vec<&str> =
                order.authorizations.iter().map(|at| self.authorizations[*at].status).collect();
            if statuses.contains(&"invalid") {
                order.status = "invalid";
            } else if statuses.iter().all(|status| *status == "valid") && order.status == "pending" {
                order.status = "ready";
            }
        }
    }

    fn finalize(
        &mut self,
        now: Seconds,
        number: Option<usize>,
        account: usize,
        payload: &Value,
    ) -> HandlerResult {
        let number = self.own_order(number, account)?;
        self.check_scripted_refusal(Stage::Finalize)?;
        if self.orders[number].status != "ready" {
            return Err(self.problem(403, "orderNotReady", self.orders[number].status));
        }
        let der = decode(&payload["csr"]).unwrap_or_default();
        let csr = match CertificateSigningRequestParams::from_der(&der.into()) {
            Ok(csr) => csr,
            Err(error) => return Err(self.complain(400, "badCSR", &error.to_string())),
        };
        let mut names: Vec<String> = csr
            .params
            .subject_alt_names
            .iter()
            .filter_map(|name| match name {
                SanType::DnsName(name) => Some(name.to_string()),
                _ => None,
            })
            .collect();
        let mut wanted = self.orders[number].names.clone();
        names.sort();
        wanted.sort();
        if names != wanted {
            return Err(self.complain(400, "badCSR", &format!("names {names:?}, ordered {wanted:?}")));
        }
        let wrong: Option<Wrong> = (!self.faults.wrong.is_empty()).then(|| self.faults.wrong.remove(0));
        let from = now + self.faults.ahead - self.settings.backdate;
        let validity = (from, from + self.settings.backdate + self.settings.lifetime);
        let serial = self.rng.random();
        let chains = match self.keys.issue(csr, serial, validity, wrong) {
            Ok(chains) => chains,
            Err(error) => return Err(self.problem(500, "serverInternal", &error.to_string())),
        };
        self.issued.push(Issued { names, at: now, validity, chains, revoked: false });
        let processing = self.faults.processing;
        let order = &mut self.orders[number];
        order.certificate = Some(self.issued.len() - 1);
        order.processing = processing;
        order.status = if processing > 0 { "processing" } else { "valid" };
        let url = self.url(&format!("order/{number}"));
        Ok(json_message(200, &self.order_body(number)).with("Location", &url))
    }

    fn download(&mut self, number: Option<usize>, account: usize, other: bool) -> HandlerResult {
        let own = |number: &usize| {
            self.orders.iter().any(|order| order.certificate == Some(*number) && order.account == account)
        };
        let Some(number) = number.filter(own) else {
            return Err(self.problem(404, "malformed", "no such certificate"));
        };
        let url = self.url(&format!("certificate/{number}/other"));
        let body = self.issued[number].chains[usize::from(other)].clone();
        let message = Message::response(200).with_body("application/pem-certificate-chain", body);
        Ok(if other { message } else { message.with("Link", &format!("<{url}>;rel=\"alternate\"")) })
    }

    fn revoke(&mut self, payload: &Value) -> HandlerResult {
        let der = decode(&payload["certificate"]).unwrap_or_default();
        let is = |issued: &Issued| {
            let (_, pem) = x509_parser::pem::parse_x509_pem(issued.chains[0].as_bytes()).ok()?;
            Some(pem.contents == der)
        };
        match self.issued.iter().position(|issued| is(issued) == Some(true)) {
            None => Err(self.problem(404, "malformed", "not issued here")),
            Some(at) if self.issued[at].revoked => {
                Err(self.problem(400, "alreadyRevoked", "the certificate is already revoked"))
            }
            Some(at) => {
                self.issued[at].revoked = true;
                Ok(Message::response(200))
            }
        }
    }

    fn key_change(&mut self, account: usize, payload: &Value, url: &str) -> HandlerResult {
        let Some(inner) = Jws::parse(payload) else {
            return Err(self.complain(400, "malformed", "the inner request is not a JWS"));
        };
        let (jwk, inner_payload) =
            (inner.protected["jwk"].clone(), inner.payload.clone().unwrap_or(Value::Null));
        let kid = self.url(&format!("account/{account}"));
        let fits = inner.verify(&jwk)
            && inner.protected["url"] == url
            && inner.protected["nonce"].is_null()
            && inner_payload["account"] == kid.as_str()
            && inner_payload["oldKey"] == self.accounts[account].0;
        if !fits {
            return Err(self.complain(400, "malformed", "the inner request does not match the outer one"));
        }
        if let Some(existing) = self.accounts.iter().position(|(existing, _)| *existing == jwk) {
            let message = self.problem(409, "malformed", "the key is another account's");
            return Err(message.with("Location", &self.url(&format!("account/{existing}"))));
        }
        self.accounts[account].0 = jwk;
        Ok(json_message(200, &json!({"status": "valid"})))
    }

    fn renewal_info(&mut self, id: &str) -> HandlerResult {
        let Some((from, to)) = self.settings.window else { return Err(Message::response(404)) };
        let serial = id.split_once('.').and_then(|(_, serial)| decode(&json!(serial)));
        let found = self.issued.iter().find(|issued| {
            let parsed = x509_parser::pem::parse_x509_pem(issued.chains[0].as_bytes()).ok();
            parsed.is_some_and(|(_, pem)| {
                pem.parse_x509().is_ok_and(|certificate| Some(certificate.raw_serial().to_vec()) == serial)
            })
        });
        let Some(issued) = found else { return Err(Message::response(404)) };
        let (start, end) = issued.validity;
        // A revoked certificate is to be renewed at once (RFC 9773 section 4.2).
        let at = |share: f64| match issued.revoked {
            true => start + share as i64,
            false => start + ((end - start) as f64 * share) as i64,
        };
        let text =
            |at: i64| OffsetDateTime::from_unix_timestamp(at).ok().and_then(|at| at.format(&Rfc3339).ok());
        let window = json!({"start": text(at(from)), "end": text(at(to).max(at(from) + 1))});
        Ok(json_message(200, &json!({"suggestedWindow": window})).with("Retry-After", "60"))
    }
}
