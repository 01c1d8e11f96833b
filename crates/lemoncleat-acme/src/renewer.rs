//! Keeps a node in certificates: when to look, order, wait, give up, and what to present.
//!
//! Decisions and their course only. A driver carries the outputs out in their order and tells what came of them;
//! each that stores something is to be on disk before the next is begun, so that a process that is killed between
//! any two finds its way (see [`Renewer::new`]). Nodes that share their storage share the outcome of tries, too, and
//! hold a lock while they order, so that there is one order for their names.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::certificate::{choose, Chain};
use crate::errand::{Errand, ErrandKind, ErrandResult, ErrandStep};
use crate::order::{ChallengeKind, Order, Progress, Proof, Stored};
use crate::planner::{self, NodeSeed, Policy, Seconds, Situation, Validity};
use crate::session::{Account, AcmeError, HttpRequest, HttpResponse, Step};

/// Certificates that are kept however long they are over, for a clock that goes back.
const KEEP: usize = 3;
/// How often nothing valid to present is said again.
const SAY_AGAIN: Seconds = 60;
/// Longest that an authority's Retry-After is heeded: a day.
const LONGEST_RETRY: Seconds = 86_400;
/// How often renewal information is asked for at the least and at the most.
const INFO_EVERY: (Seconds, Seconds) = (60, 86_400);

/// How a node's certificates are renewed.
#[derive(Clone, Debug)]
pub struct RenewerSettings {
    /// The names that a certificate must hold.
    pub names: Vec<String>,
    /// How they are proven.
    pub challenge: ChallengeKind,
    /// Of several chains, the one whose last issuer's name holds this.
    pub preferred_chain: Option<String>,
    /// When.
    pub policy: Policy,
    /// What tells this node's moments from others'.
    pub seed: NodeSeed,
    /// A try that has lasted so long is given up.
    pub order_time: Seconds,
    /// How often storage is looked at for what others have put there.
    pub look_every: Seconds,
}

/// What came of the latest tries, as it is stored.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tried {
    /// Failures in a row.
    pub failures: u32,
    /// When the last of them was.
    pub failed_at: Seconds,
    /// The authority wants no request before this.
    pub not_before: Option<Seconds>,
    /// What the last one was.
    pub error: String,
}

/// A certificate in storage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Held {
    /// Its name there.
    pub id: String,
    /// What it says.
    pub chain: Chain,
}

/// Storage as it was found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Certificates with their keys, those of other names left out.
    pub certificates: Vec<Held>,
    /// What came of the latest tries.
    pub tried: Tried,
    /// An order under way, with the key that it is for.
    pub order: Option<Stored>,
}

/// A key to be certified, and the request for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prepared {
    /// The CSR, DER.
    pub csr: Vec<u8>,
    /// The key's public half (SubjectPublicKeyInfo, DER).
    pub public_key: Vec<u8>,
}

/// What a renewer is told.
#[derive(Clone, Debug)]
pub enum RenewerInput {
    /// Time has passed: at or after [`Renewer::due`], or sooner.
    Tick,
    /// Storage was looked at.
    Looked(Snapshot),
    /// The lock is held, and this is how storage stands.
    Locked(Snapshot),
    /// Another process holds the lock.
    Busy,
    /// The key and the request that were asked for.
    Prepared(Prepared),
    /// The authority answered.
    Answered(HttpResponse),
    /// No answer came: no connection, no time, no HTTP.
    NoAnswer(String),
    /// The proof is in place.
    Proven,
    /// The certificate is stored.
    Stored(Held),
    /// Something could not be stored, prepared or put in place.
    Failed(String),
    /// An operator wants a new certificate whatever the plan says.
    RenewNow,
}

/// What a renewer asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum RenewerOutput {
    /// Look at storage: answered with [`RenewerInput::Looked`].
    Look,
    /// Take the lock: [`RenewerInput::Locked`] or [`RenewerInput::Busy`].
    Lock,
    /// Give it back.
    Unlock,
    /// Take the key of the order under way, or make and store a new one: [`RenewerInput::Prepared`].
    Prepare {
        /// A new one.
        fresh: bool,
    },
    /// Store how the order stands.
    StoreOrder(Stored),
    /// Forget the order and its key.
    DropOrder,
    /// Store this chain with the order's key, and forget the order: [`RenewerInput::Stored`].
    StoreCertificate(String),
    /// Forget a certificate that is long over.
    DropCertificate(String),
    /// Store what came of the latest tries.
    StoreTried(Tried),
    /// Ask the authority: [`RenewerInput::Answered`] or [`RenewerInput::NoAnswer`].
    Send(HttpRequest),
    /// Put a proof in place: [`RenewerInput::Proven`].
    Prove(Proof),
    /// Take proofs away.
    Unprove,
    /// Present this certificate to new handshakes, or none.
    Present(Option<String>),
    /// Something worth a log line.
    Notice(RenewerNotice),
}

/// What an operator should know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RenewerNotice {
    /// A new certificate is there, until then.
    Renewed(Seconds),
    /// A try failed; the next is due then.
    TryFailed {
        /// Why.
        error: String,
        /// When it is tried again.
        again: Seconds,
    },
    /// There is nothing valid to present: new handshakes are refused.
    NothingValid,
}

#[derive(Debug)]
enum Work {
    Idle,
    Locking,
    Preparing { fresh: bool },
    Ordering { order: Box<Order>, public_key: Vec<u8>, waiting: Option<(Seconds, Seconds, HttpRequest)> },
    Storing,
    Asking(Box<Errand>),
}

/// Keeps one set of names in certificates.
#[derive(Debug)]
pub struct Renewer {
    settings: RenewerSettings,
    account: Account,
    certificates: Vec<Held>,
    tried: Tried,
    stored: Option<Stored>,
    /// Certificate identifier and window of the latest renewal information.
    suggested: Option<(String, (Seconds, Seconds))>,
    info_at: Seconds,
    look_at: Seconds,
    work: Work,
    began: Seconds,
    presented: Option<Option<String>>,
    said: Seconds,
    now_please: bool,
}

impl Renewer {
    /// A renewer that knows nothing but storage as it was found. After a kill that is all there is: an order that
    /// was stored is asked after, one that was not was never placed or will lapse.
    pub fn new(settings: RenewerSettings, account: Account, found: Snapshot) -> Renewer {
        let mut renewer = Renewer {
            settings,
            account,
            certificates: Vec::new(),
            tried: Tried::default(),
            stored: None,
            suggested: None,
            info_at: Seconds::MIN,
            look_at: Seconds::MIN,
            work: Work::Idle,
            began: Seconds::MIN,
            presented: None,
            said: Seconds::MIN,
            now_please: false,
        };
        renewer.adopt(found);
        renewer
    }

    fn adopt(&mut self, found: Snapshot) {
        self.certificates = found.certificates;
        self.tried = found.tried;
        self.stored = found.order;
    }

    /// The certificate after which the next is due: the last of those that hold now or follow them without a gap.
    /// With nothing valid, one of the future is no reason to wait for it.
    fn newest(&self, now: Seconds) -> Option<&Held> {
        let valid = self.certificates.iter().filter(|held| held.chain.validity.holds(now));
        let covered = valid.map(|held| held.chain.validity.until).max()?;
        let following = self.certificates.iter().filter(|held| held.chain.validity.from <= covered);
        following.max_by_key(|held| held.chain.validity.until)
    }

    fn situation(&self, now: Seconds) -> Situation {
        let newest = self.newest(now);
        let suggested = self
            .suggested
            .as_ref()
            .filter(|(id, _)| newest.is_some_and(|held| held.chain.id.as_deref() == Some(id)));
        Situation {
            newest: newest.map(|held| held.chain.validity),
            suggested: suggested.map(|(_, window)| *window),
            failures: self.tried.failures,
            failed_at: self.tried.failed_at,
            not_before: self.tried.not_before.map(|at| at.min(now + LONGEST_RETRY)),
        }
    }

    /// When the next certificate is due to be ordered.
    pub fn next_order(&self, now: Seconds) -> Seconds {
        if self.now_please {
            return now;
        }
        planner::next_try(&self.situation(now), &self.settings.policy, self.settings.seed)
    }

    /// What came of the latest tries.
    pub fn tried(&self) -> &Tried {
        &self.tried
    }

    /// Whether nothing is under way.
    pub fn is_idle(&self) -> bool {
        matches!(self.work, Work::Idle)
    }

    /// When to call with [`RenewerInput::Tick`] at the latest. The wall clock may jump: a driver should not sleep
    /// for long at once.
    pub fn due(&self, now: Seconds) -> Seconds {
        let work = match &self.work {
            Work::Idle => self.next_order(now).min(self.look_at),
            Work::Ordering { waiting: Some((since, until, _)), .. } if now >= *since => *until,
            _ => now + 1,
        };
        let change = |validity: Validity| [validity.from, validity.until].into_iter().find(|at| *at > now);
        let changes = self.certificates.iter().filter_map(|held| change(held.chain.validity)).min();
        work.min(changes.unwrap_or(Seconds::MAX)).max(now)
    }

    /// Takes an input and adds what is to be done.
    pub fn handle(&mut self, now: Seconds, input: RenewerInput, out: &mut Vec<RenewerOutput>) {
        if self.tried.failed_at > now {
            // A clock that went back must not make a wait of days out of minutes.
            self.tried.failed_at = now;
            out.push(RenewerOutput::StoreTried(self.tried.clone()));
        }
        match input {
            RenewerInput::Tick => self.tick(now, out),
            RenewerInput::RenewNow => {
                self.now_please = true;
                self.tick(now, out);
            }
            RenewerInput::Looked(found) => {
                // While ordering, storage is this process's own.
                if matches!(self.work, Work::Idle | Work::Asking(_)) {
                    self.adopt(found);
                }
            }
            RenewerInput::Locked(found) => self.locked(now, found, out),
            RenewerInput::Busy => {
                if matches!(self.work, Work::Locking) {
                    self.work = Work::Idle;
                    // What the other one is doing shows in storage.
                    self.look_at = now + 1;
                }
            }
            RenewerInput::Prepared(prepared) => self.prepared(now, prepared, out),
            RenewerInput::Answered(response) => self.answered(now, &response, out),
            RenewerInput::NoAnswer(why) => match &self.work {
                Work::Ordering { order, .. } => {
                    let step = order.step();
                    self.failed(now, plain(step, why), out);
                }
                Work::Asking(_) => self.work = Work::Idle,
                _ => {}
            },
            RenewerInput::Proven => {
                if let Work::Ordering { order, .. } = &mut self.work {
                    let next = order.proven();
                    self.progress(now, next, out);
                }
            }
            RenewerInput::Stored(held) => self.renewed(now, held, out),
            RenewerInput::Failed(why) => match self.work {
                Work::Idle | Work::Asking(_) => {}
                _ => self.failed(now, plain(Step::Done, why), out),
            },
        }
        self.present(now, out);
    }

    fn tick(&mut self, now: Seconds, out: &mut Vec<RenewerOutput>) {
        match &mut self.work {
            Work::Idle => {
                if now >= self.look_at || self.look_at > now + self.settings.look_every {
                    self.look_at = now + self.settings.look_every;
                    out.push(RenewerOutput::Look);
                }
                if now >= self.next_order(now) {
                    self.work = Work::Locking;
                    out.push(RenewerOutput::Lock);
                } else if now >= self.info_at || self.info_at > now + INFO_EVERY.1 {
                    self.ask(now, out);
                }
            }
            Work::Ordering { waiting, .. } => {
                if let Some((since, until, request)) = waiting.take() {
                    // A clock that went back ends the wait.
                    if now >= until || now < since {
                        out.push(RenewerOutput::Send(request));
                    } else {
                        *waiting = Some((since, until, request));
                    }
                }
                if now > self.began + self.settings.order_time {
                    let why = format!("not done after {} s", self.settings.order_time);
                    self.failed(now, plain(Step::Issuance, why), out);
                }
            }
            _ => {}
        }
    }

    /// Asks when the newest certificate should be renewed.
    fn ask(&mut self, now: Seconds, out: &mut Vec<RenewerOutput>) {
        self.info_at = now + INFO_EVERY.1 / 4;
        let Some(id) = self.newest(now).and_then(|held| held.chain.id.clone()) else { return };
        let mut errand = Errand::new(self.account.clone(), ErrandKind::RenewalInfo(id));
        if let Ok(ErrandStep::Send(request)) = errand.go_on() {
            self.work = Work::Asking(Box::new(errand));
            out.push(RenewerOutput::Send(request));
        }
    }

    fn locked(&mut self, now: Seconds, found: Snapshot, out: &mut Vec<RenewerOutput>) {
        if !matches!(self.work, Work::Locking) {
            return out.push(RenewerOutput::Unlock);
        }
        self.adopt(found);
        if now < self.next_order(now) {
            // Another node was quicker.
            self.work = Work::Idle;
            return out.push(RenewerOutput::Unlock);
        }
        self.began = now;
        let fresh = self.stored.as_ref().is_none_or(|stored| stored.names != self.settings.names);
        self.work = Work::Preparing { fresh };
        out.push(RenewerOutput::Prepare { fresh });
    }

    fn prepared(&mut self, now: Seconds, prepared: Prepared, out: &mut Vec<RenewerOutput>) {
        let Work::Preparing { fresh } = self.work else { return };
        let names = &self.settings.names;
        let mut order = Order::new(self.account.clone(), names, self.settings.challenge, prepared.csr);
        match &self.stored {
            Some(stored) if !fresh => order = order.resume(stored),
            _ => self.stored = None,
        }
        let next = order.go_on();
        self.work = Work::Ordering { order: Box::new(order), public_key: prepared.public_key, waiting: None };
        self.progress(now, next, out);
    }

    fn answered(&mut self, now: Seconds, response: &HttpResponse, out: &mut Vec<RenewerOutput>) {
        match &mut self.work {
            Work::Ordering { order, .. } => {
                let next = order.answered(response);
                self.progress(now, next, out);
            }
            Work::Asking(errand) => match errand.answered(response) {
                Ok(ErrandStep::Send(request)) => out.push(RenewerOutput::Send(request)),
                Ok(ErrandStep::Done(ErrandResult::Window(window, again))) => {
                    let id = self.newest(now).and_then(|held| held.chain.id.clone());
                    self.suggested = id.zip(window);
                    let again = again.unwrap_or(INFO_EVERY.1 / 4).clamp(INFO_EVERY.0, INFO_EVERY.1);
                    self.info_at = now + again;
                    self.work = Work::Idle;
                }
                // Without it the policy plans.
                Ok(ErrandStep::Done(_)) | Err(_) => self.work = Work::Idle,
            },
            _ => {}
        }
    }

    fn progress(&mut self, now: Seconds, next: Result<Progress, AcmeError>, out: &mut Vec<RenewerOutput>) {
        let Work::Ordering { order, waiting, public_key } = &mut self.work else { return };
        let stored = order.stored();
        if let Some(account) = &stored.account {
            self.account.url = Some(account.clone());
        }
        // Before the next request goes out, what the last answer told is on disk.
        if self.stored.as_ref() != Some(&stored) && !matches!(next, Err(AcmeError { dead: true, .. })) {
            out.push(RenewerOutput::StoreOrder(stored.clone()));
            self.stored = Some(stored);
        }
        match next {
            Ok(Progress::Send(request)) => out.push(RenewerOutput::Send(request)),
            Ok(Progress::Wait(seconds, request)) => {
                *waiting = Some((now, now + seconds, request));
            }
            Ok(Progress::Prove(proof)) => out.push(RenewerOutput::Prove(proof)),
            Ok(Progress::Done(chains)) => {
                let public_key = std::mem::take(public_key);
                match self.accepted(now, chains, &public_key) {
                    Ok(pem) => {
                        self.work = Work::Storing;
                        out.push(RenewerOutput::StoreCertificate(pem));
                    }
                    // The same order would give the same certificate again.
                    Err(why) => self.failed(now, AcmeError { dead: true, ..plain(Step::Done, why) }, out),
                }
            }
            Err(error) => self.failed(now, error, out),
        }
    }

    /// The chain to use, if what came is what was ordered.
    fn accepted(&self, now: Seconds, chains: Vec<String>, public_key: &[u8]) -> Result<String, String> {
        let mut read = Vec::new();
        let mut wrong = String::new();
        for pem in chains {
            let fits = Chain::read(&pem).and_then(|chain| {
                chain.fits(&self.settings.names, public_key, now)?;
                Ok(chain)
            });
            match fits {
                Ok(chain) => read.push((pem, chain)),
                Err(why) => wrong = why,
            }
        }
        if read.is_empty() {
            return Err(wrong);
        }
        let chosen = choose(&read, self.settings.preferred_chain.as_deref());
        Ok(read.swap_remove(chosen).0)
    }

    fn renewed(&mut self, now: Seconds, held: Held, out: &mut Vec<RenewerOutput>) {
        if !matches!(self.work, Work::Storing) {
            return;
        }
        let Validity { from, until } = held.chain.validity;
        self.certificates.retain(|known| known.id != held.id);
        self.certificates.push(held);
        self.work = Work::Idle;
        (self.stored, self.now_please) = (None, false);
        self.info_at = now;
        let failures = std::mem::take(&mut self.tried).failures;
        let useful = now < self.next_order(now);
        let tried = match useful {
            true => Tried::default(),
            // It came, and does not follow what is valid now: the next try waits as after a failure.
            false => Tried {
                failures: failures.saturating_add(1),
                failed_at: now,
                not_before: None,
                error: format!("the new certificate is not valid before {from}, now {now}"),
            },
        };
        self.tried = tried;
        if failures > 0 || !useful {
            out.push(RenewerOutput::StoreTried(self.tried.clone()));
        }
        out.push(RenewerOutput::Unprove);
        // Kept for as long as it was valid once it is over, for whoever asks what was presented.
        let long_over = |validity: Validity| validity.until + (validity.until - validity.from).max(0) < now;
        self.certificates.sort_by_key(|held| held.chain.validity.until);
        let old = self.certificates.len().saturating_sub(KEEP);
        for old in self.certificates.extract_if(..old, |held| long_over(held.chain.validity)) {
            out.push(RenewerOutput::DropCertificate(old.id));
        }
        out.push(RenewerOutput::Unlock);
        out.push(RenewerOutput::Notice(match useful {
            true => RenewerNotice::Renewed(until),
            false => {
                let again = self.next_order(now);
                RenewerNotice::TryFailed { error: self.tried.error.clone(), again }
            }
        }));
    }

    fn failed(&mut self, now: Seconds, error: AcmeError, out: &mut Vec<RenewerOutput>) {
        let again = error.retry_after.map(|seconds| now + seconds.clamp(0, LONGEST_RETRY));
        self.tried = Tried {
            failures: self.tried.failures.saturating_add(1),
            failed_at: now,
            not_before: again,
            error: error.to_string(),
        };
        self.work = Work::Idle;
        self.now_please = false;
        out.push(RenewerOutput::StoreTried(self.tried.clone()));
        if error.dead {
            self.stored = None;
            out.push(RenewerOutput::DropOrder);
        }
        out.push(RenewerOutput::Unprove);
        out.push(RenewerOutput::Unlock);
        let again = self.next_order(now);
        out.push(RenewerOutput::Notice(RenewerNotice::TryFailed { error: error.to_string(), again }));
    }

    /// Presents what is to be presented now, and says so loudly when that is nothing.
    fn present(&mut self, now: Seconds, out: &mut Vec<RenewerOutput>) {
        let all: Vec<Validity> = self.certificates.iter().map(|held| held.chain.validity).collect();
        let which = planner::present(&all, now).map(|index| self.certificates[index].id.clone());
        if which.is_none() && (now >= self.said.saturating_add(SAY_AGAIN) || self.said > now) {
            self.said = now;
            out.push(RenewerOutput::Notice(RenewerNotice::NothingValid));
        }
        if self.presented.as_ref() != Some(&which) {
            self.presented = Some(which.clone());
            out.push(RenewerOutput::Present(which));
        }
    }

    /// The account, with its URL once it is known.
    pub fn account(&self) -> &Account {
        &self.account
    }

    /// The key of the account is another from now on.
    pub fn rolled_over(&mut self, key: Arc<crate::AccountKey>) {
        self.account.key = key;
    }
}

fn plain(step: Step, detail: String) -> AcmeError {
    AcmeError { step, kind: None, detail, retry_after: None, dead: false }
}
