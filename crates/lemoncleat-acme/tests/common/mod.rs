//! Test driver for a renewer: virtual clock, in-memory storage and the test authority.

#![allow(dead_code, missing_docs)]

use std::collections::VecDeque;
use std::sync::Arc;

use lemoncleat_acme::planner::{Policy, Seconds};
use lemoncleat_acme::{
    Account, AccountKey, Chain, ChallengeKind, Held, HttpRequest, HttpResponse, KeyKind, Place, Prepared,
    Proof, Renewer, RenewerInput, RenewerNotice, RenewerOutput, RenewerSettings, Snapshot, Stored, Tried,
};
use lemoncleat_authority::{Authority, AuthoritySettings, ToValidate};
use rcgen::{CertificateParams, KeyPair, PublicKeyData};

pub const START: Seconds = 1_800_000_000;
pub const BASE: &str = "http://authority.lab";

pub fn authority_settings() -> AuthoritySettings {
    AuthoritySettings {
        base: BASE.to_owned(),
        lifetime: 600,
        backdate: 0,
        external: None,
        window: None,
        seed: 7,
    }
}

pub fn authority() -> Authority {
    Authority::new(authority_settings(), START).expect("an authority")
}

pub fn names() -> Vec<String> {
    vec!["n.example".to_owned(), "m.example".to_owned()]
}

pub fn settings(seed: u64) -> RenewerSettings {
    RenewerSettings {
        names: names(),
        challenge: ChallengeKind::Http01,
        preferred_chain: None,
        policy: Policy { first_wait: 5, most_wait: 120, least_wait: 2, ..Policy::default() },
        seed,
        order_time: 120,
        look_every: 10,
    }
}

/// Creates an account with a fresh ES256 key.
pub fn account() -> Account {
    let bytes = AccountKey::generate(KeyKind::Es256).expect("a key");
    let key = Arc::new(AccountKey::read(&bytes).expect("the same key"));
    Account { directory: format!("{BASE}/directory"), key, contact: Vec::new(), external: None, url: None }
}

/// In-memory stand-in for one storage directory.
#[derive(Default)]
pub struct Storage {
    pub certificates: Vec<Held>,
    pub tried: Tried,
    pub order: Option<Stored>,
    pub key: Option<KeyPair>,
    pub account: Option<String>,
    /// Number of the node that holds the lock.
    pub locked: Option<usize>,
    pub next: u64,
    /// Number of the next writes that fail before anything is written.
    pub failing_writes: u32,
}

impl Storage {
    pub fn snapshot(&self) -> Snapshot {
        // An order without its key is ignored.
        let order = self.order.clone().filter(|_| self.key.is_some());
        Snapshot { certificates: self.certificates.clone(), tried: self.tried.clone(), order }
    }
}

/// One node's renewer and its driver.
pub struct Node {
    pub number: usize,
    pub renewer: Renewer,
    pub pending_outputs: VecDeque<RenewerOutput>,
    pub proofs: Vec<Proof>,
    pub presented: Option<String>,
    pub notices: Vec<(Seconds, RenewerNotice)>,
    /// Number of outputs executed so far.
    pub steps: usize,
}

impl Node {
    pub fn start(number: usize, settings: RenewerSettings, account: &Account, storage: &Storage) -> Node {
        let mut account = account.clone();
        account.url = storage.account.clone();
        Node {
            number,
            renewer: Renewer::new(settings, account, storage.snapshot()),
            pending_outputs: VecDeque::new(),
            proofs: Vec::new(),
            presented: None,
            notices: Vec::new(),
            steps: 0,
        }
    }

    pub fn input(&mut self, now: Seconds, input: RenewerInput) {
        let mut out = Vec::new();
        self.renewer.handle(now, input, &mut out);
        self.pending_outputs.extend(out);
    }

    /// Executes one output; returns `false` if there is none.
    pub fn step(&mut self, now: Seconds, storage: &mut Storage, transport: &mut dyn Serve) -> bool {
        let Some(output) = self.pending_outputs.pop_front() else { return false };
        self.steps += 1;
        let put = |storage: &mut Storage| {
            let fails = storage.failing_writes > 0;
            storage.failing_writes = storage.failing_writes.saturating_sub(1);
            !fails
        };
        match output {
            RenewerOutput::Look => self.input(now, RenewerInput::Looked(storage.snapshot())),
            RenewerOutput::Lock if storage.locked.is_some_and(|holder| holder != self.number) => {
                self.input(now, RenewerInput::Busy);
            }
            RenewerOutput::Lock => {
                storage.locked = Some(self.number);
                self.input(now, RenewerInput::Locked(storage.snapshot()));
            }
            RenewerOutput::Unlock => {
                if storage.locked == Some(self.number) {
                    storage.locked = None;
                }
            }
            RenewerOutput::Prepare { fresh } => {
                if fresh {
                    storage.key = Some(KeyPair::generate().expect("a key"));
                    storage.order = None;
                }
                let key = storage.key.as_ref().expect("the order's key");
                let csr =
                    CertificateParams::new(names()).expect("names").serialize_request(key).expect("a CSR");
                let prepared =
                    Prepared { csr: csr.der().to_vec(), public_key: key.subject_public_key_info() };
                self.input(now, RenewerInput::Prepared(prepared));
            }
            RenewerOutput::StoreOrder(order) => match put(storage) {
                true => {
                    storage.account = order.account.clone().or(storage.account.take());
                    storage.order = Some(order);
                }
                false => self.fail(now),
            },
            RenewerOutput::DropOrder => (storage.order, storage.key) = (None, None),
            RenewerOutput::StoreCertificate(pem) => match put(storage) {
                true => {
                    storage.next += 1;
                    let id = storage.next.to_string();
                    let held = Held { id, chain: Chain::read(&pem).expect("a chain") };
                    storage.certificates.push(held.clone());
                    (storage.order, storage.key) = (None, None);
                    self.input(now, RenewerInput::Stored(held));
                }
                false => self.fail(now),
            },
            RenewerOutput::DropCertificate(id) => storage.certificates.retain(|held| held.id != id),
            RenewerOutput::StoreTried(tried) => storage.tried = tried,
            RenewerOutput::Send(request) => {
                let input = match transport.serve(now, &request, &self.proofs) {
                    Ok(response) => RenewerInput::Answered(response),
                    Err(why) => RenewerInput::NoAnswer(why),
                };
                self.input(now, input);
            }
            RenewerOutput::Prove(proof) => {
                self.proofs.push(proof);
                self.input(now, RenewerInput::Proven);
            }
            RenewerOutput::Unprove => self.proofs.clear(),
            RenewerOutput::Present(id) => self.presented = id,
            RenewerOutput::Notice(notice) => self.notices.push((now, notice)),
        }
        true
    }

    fn fail(&mut self, now: Seconds) {
        // The remaining outputs depend on the failed one.
        self.pending_outputs.clear();
        self.input(now, RenewerInput::Failed("the disk is full".to_owned()));
    }

    /// Runs the node for one second of the virtual clock.
    pub fn second(&mut self, now: Seconds, storage: &mut Storage, transport: &mut dyn Serve) {
        self.input(now, RenewerInput::Tick);
        let mut steps = 0;
        while self.step(now, storage, transport) {
            steps += 1;
            assert!(steps < 500, "the node keeps producing outputs within one second");
        }
        // A presented certificate must be valid now.
        if let Some(id) = &self.presented {
            let held = storage.certificates.iter().find(|held| held.id == *id).expect("it is stored");
            assert!(held.chain.validity.holds(now), "presents a certificate that is not valid at {now}");
        }
    }
}

/// Transport to the authority.
pub trait Serve {
    fn serve(
        &mut self,
        now: Seconds,
        request: &HttpRequest,
        proofs: &[Proof],
    ) -> Result<HttpResponse, String>;
}

impl Serve for Authority {
    fn serve(
        &mut self,
        now: Seconds,
        request: &HttpRequest,
        proofs: &[Proof],
    ) -> Result<HttpResponse, String> {
        let place = Place::read(&request.url)?;
        let response = self.handle(now, &request.message(&place));
        for validation in self.to_validate() {
            let found = find(&validation, proofs);
            self.validated(validation.authorization, found);
        }
        Ok(HttpResponse::read(&response, now))
    }
}

/// Checks whether the expected challenge response is provisioned.
pub fn find(validation: &ToValidate, proofs: &[Proof]) -> Result<(), String> {
    let proof = proofs.iter().find(|proof| proof.token == validation.token && proof.name == validation.name);
    match proof {
        Some(proof) if proof.authorization == validation.expected && proof.kind.name() == validation.kind => {
            Ok(())
        }
        Some(_) => Err("something else is there".to_owned()),
        None => Err("nothing is there".to_owned()),
    }
}

/// An authority that is unreachable between two times (from, until).
pub struct Unreachable<'a>(pub &'a mut Authority, pub Seconds, pub Seconds);

impl Serve for Unreachable<'_> {
    fn serve(
        &mut self,
        now: Seconds,
        request: &HttpRequest,
        proofs: &[Proof],
    ) -> Result<HttpResponse, String> {
        if (self.1..self.2).contains(&now) {
            return Err("connection refused".to_owned());
        }
        self.0.serve(now, request, proofs)
    }
}
