//! State machine that keeps a node's certificate valid: decides when to check storage, order, wait or give
//! up, and which certificate to present.
//!
//! It does no I/O. A driver executes the outputs in order and reports their results; each output that stores
//! something must be on disk before the next one is started, so that a process killed between any two can
//! recover (see [`Renewer::new`]). Nodes that share their storage also share the outcome of attempts, and
//! hold a lock while they order, so that there is one order for their names.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::certificate::{choose, Chain};
use crate::errand::{Errand, ErrandKind, ErrandResult, ErrandStep};
use crate::order::{ChallengeKind, Order, Progress, Proof, Stored};
use crate::planner::{self, NodeSeed, Policy, Seconds, Situation, Validity};
use crate::session::{Account, AcmeError, HttpRequest, HttpResponse, Step};

/// Certificates kept however long ago they expired, in case the clock is set back.
const MIN_CERTIFICATES_KEPT: usize = 3;
/// Interval between notices that no valid certificate is available.
const NOTHING_VALID_NOTICE_INTERVAL_S: Seconds = 60;
/// Upper limit applied to an authority's Retry-After: a day.
const MAX_RETRY_AFTER_S: Seconds = 86_400;
/// Shortest and longest interval between requests for renewal information.
const RENEWAL_INFO_INTERVAL_S: (Seconds, Seconds) = (60, 86_400);

/// Settings of a renewer.
#[derive(Clone, Debug)]
pub struct RenewerSettings {
    /// The names that a certificate must cover.
    pub names: Vec<String>,
    /// The challenge type used to prove them.
    pub challenge: ChallengeKind,
    /// Prefer the chain whose last issuer's name contains this.
    pub preferred_chain: Option<String>,
    /// When certificates are renewed.
    pub policy: Policy,
    /// Seed that spreads this node's renewals from those of others.
    pub seed: NodeSeed,
    /// Time after which an attempt is given up.
    pub order_time: Seconds,
    /// Interval at which storage is checked for changes by other processes.
    pub look_every: Seconds,
}

/// The stored outcome of the latest attempts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tried {
    /// Failures in a row.
    pub failures: u32,
    /// Time of the last failure.
    pub failed_at: Seconds,
    /// The authority asked for no request before this time.
    pub not_before: Option<Seconds>,
    /// The error of the last failure.
    pub error: String,
}

/// A certificate in storage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Held {
    /// Its identifier in storage.
    pub id: String,
    /// The parsed chain.
    pub chain: Chain,
}

/// The state read from storage.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Certificates that have their key; those for other names are left out.
    pub certificates: Vec<Held>,
    /// The outcome of the latest attempts.
    pub tried: Tried,
    /// An order in progress whose key is stored.
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

/// Inputs of a renewer.
#[derive(Clone, Debug)]
pub enum RenewerInput {
    /// Time has passed: at or after [`Renewer::due`], or sooner.
    Tick,
    /// Storage was read.
    Looked(Snapshot),
    /// The lock is held; contains the state of storage.
    Locked(Snapshot),
    /// Another process holds the lock.
    Busy,
    /// The requested key and CSR.
    Prepared(Prepared),
    /// The authority answered.
    Answered(HttpResponse),
    /// No response: connection failure, time-out or invalid HTTP.
    NoAnswer(String),
    /// The challenge response is provisioned.
    Proven,
    /// The certificate is stored.
    Stored(Held),
    /// Something could not be stored, prepared or provisioned.
    Failed(String),
    /// An operator requests a new certificate regardless of the plan.
    RenewNow,
}

/// Outputs of a renewer.
#[derive(Clone, Debug, PartialEq)]
pub enum RenewerOutput {
    /// Read storage: answered with [`RenewerInput::Looked`].
    Look,
    /// Take the lock: answered with [`RenewerInput::Locked`] or [`RenewerInput::Busy`].
    Lock,
    /// Release the lock.
    Unlock,
    /// Load the key of the order in progress, or create and store a new one: answered with
    /// [`RenewerInput::Prepared`].
    Prepare {
        /// Whether to create a new key.
        fresh: bool,
    },
    /// Store the order's state.
    StoreOrder(Stored),
    /// Delete the order and its key.
    DropOrder,
    /// Store this chain with the order's key and delete the order: answered with [`RenewerInput::Stored`].
    StoreCertificate(String),
    /// Delete a certificate that expired long ago.
    DropCertificate(String),
    /// Store the outcome of the latest attempts.
    StoreTried(Tried),
    /// Send to the authority: answered with [`RenewerInput::Answered`] or [`RenewerInput::NoAnswer`].
    Send(HttpRequest),
    /// Provision a challenge response: answered with [`RenewerInput::Proven`].
    Prove(Proof),
    /// Remove all challenge responses.
    Unprove,
    /// Present this certificate in new handshakes, or none.
    Present(Option<String>),
    /// An event to log.
    Notice(RenewerNotice),
}

/// Events reported to the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RenewerNotice {
    /// A new certificate was stored; contains the end of its validity.
    Renewed(Seconds),
    /// An attempt failed.
    TryFailed {
        /// The error.
        error: String,
        /// When the next attempt is due.
        again: Seconds,
    },
    /// No valid certificate is available: new handshakes are refused.
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

/// Keeps a valid certificate for one set of names.
#[derive(Debug)]
pub struct Renewer {
    settings: RenewerSettings,
    account: Account,
    certificates: Vec<Held>,
    tried: Tried,
    stored: Option<Stored>,
    /// Certificate identifier and suggested window from the latest renewal information.
    suggested: Option<(String, (Seconds, Seconds))>,
    info_at: Seconds,
    storage_check_at: Seconds,
    work: Work,
    order_started_at: Seconds,
    presented: Option<Option<String>>,
    nothing_valid_notice_at: Seconds,
    renew_requested: bool,
}

impl Renewer {
    /// Creates a renewer from the state read from storage. After a kill that is the only state left: the
    /// status of a stored order is fetched; an order that was not stored was never placed or will expire at
    /// the authority.
    pub fn new(settings: RenewerSettings, account: Account, found: Snapshot) -> Renewer {
        let mut renewer = Renewer {
            settings,
            account,
            certificates: Vec::new(),
            tried: Tried::default(),
            stored: None,
            suggested: None,
            info_at: Seconds::MIN,
            storage_check_at: Seconds::MIN,
            work: Work::Idle,
            order_started_at: Seconds::MIN,
            presented: None,
            nothing_valid_notice_at: Seconds::MIN,
            renew_requested: false,
        };
        renewer.load_snapshot(found);
        renewer
    }

    fn load_snapshot(&mut self, found: Snapshot) {
        self.certificates = found.certificates;
        self.tried = found.tried;
        self.stored = found.order;
    }

    /// Returns the certificate whose end determines the next renewal: the last of those that are valid now or
    /// follow them without a gap. If none is valid now, a certificate that becomes valid later does not delay
    /// the renewal.
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
            not_before: self.tried.not_before.map(|at| at.min(now + MAX_RETRY_AFTER_S)),
        }
    }

    /// Returns when the next certificate is due to be ordered.
    pub fn next_order(&self, now: Seconds) -> Seconds {
        if self.renew_requested {
            return now;
        }
        planner::next_try(&self.situation(now), &self.settings.policy, self.settings.seed)
    }

    /// Returns the outcome of the latest attempts.
    pub fn tried(&self) -> &Tried {
        &self.tried
    }

    /// Returns whether nothing is in progress.
    pub fn is_idle(&self) -> bool {
        matches!(self.work, Work::Idle)
    }

    /// Returns the latest time at which to call with [`RenewerInput::Tick`]. The wall clock may jump, so a
    /// driver should sleep in short intervals.
    pub fn due(&self, now: Seconds) -> Seconds {
        let work = match &self.work {
            Work::Idle => self.next_order(now).min(self.storage_check_at),
            Work::Ordering { waiting: Some((since, until, _)), .. } if now >= *since => *until,
            _ => now + 1,
        };
        let change = |validity: Validity| [validity.from, validity.until].into_iter().find(|at| *at > now);
        let changes = self.certificates.iter().filter_map(|held| change(held.chain.validity)).min();
        work.min(changes.unwrap_or(Seconds::MAX)).max(now)
    }

    /// Processes an input and appends the resulting outputs.
    pub fn handle(&mut self, now: Seconds, input: RenewerInput, out: &mut Vec<RenewerOutput>) {
        if self.tried.failed_at > now {
            // If the clock was set back, a back-off of minutes must not become one of days.
            self.tried.failed_at = now;
            out.push(RenewerOutput::StoreTried(self.tried.clone()));
        }
        match input {
            RenewerInput::Tick => self.tick(now, out),
            RenewerInput::RenewNow => {
                self.renew_requested = true;
                self.tick(now, out);
            }
            RenewerInput::Looked(found) => {
                // While ordering, this process holds the lock and only it changes storage.
                if matches!(self.work, Work::Idle | Work::Asking(_)) {
                    self.load_snapshot(found);
                }
            }
            RenewerInput::Locked(found) => self.locked(now, found, out),
            RenewerInput::Busy => {
                if matches!(self.work, Work::Locking) {
                    self.work = Work::Idle;
                    // Check storage soon for the result of the other process.
                    self.storage_check_at = now + 1;
                }
            }
            RenewerInput::Prepared(prepared) => self.prepared(now, prepared, out),
            RenewerInput::Answered(response) => self.answered(now, &response, out),
            RenewerInput::NoAnswer(why) => match &self.work {
                Work::Ordering { order, .. } => {
                    let step = order.step();
                    self.failed(now, local_error(step, why), out);
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
                _ => self.failed(now, local_error(Step::Done, why), out),
            },
        }
        self.present(now, out);
    }

    fn tick(&mut self, now: Seconds, out: &mut Vec<RenewerOutput>) {
        match &mut self.work {
            Work::Idle => {
                if now >= self.storage_check_at || self.storage_check_at > now + self.settings.look_every {
                    self.storage_check_at = now + self.settings.look_every;
                    out.push(RenewerOutput::Look);
                }
                if now >= self.next_order(now) {
                    self.work = Work::Locking;
                    out.push(RenewerOutput::Lock);
                } else if now >= self.info_at || self.info_at > now + RENEWAL_INFO_INTERVAL_S.1 {
                    self.request_renewal_info(now, out);
                }
            }
            Work::Ordering { waiting, .. } => {
                if let Some((since, until, request)) = waiting.take() {
                    // If the clock was set back, the wait ends at once.
                    if now >= until || now < since {
                        out.push(RenewerOutput::Send(request));
                    } else {
                        *waiting = Some((since, until, request));
                    }
                }
                if now > self.order_started_at + self.settings.order_time {
                    let why = format!("not done after {} s", self.settings.order_time);
                    self.failed(now, local_error(Step::Issuance, why), out);
                }
            }
            _ => {}
        }
    }

    /// Requests renewal information for the newest certificate.
    fn request_renewal_info(&mut self, now: Seconds, out: &mut Vec<RenewerOutput>) {
        self.info_at = now + RENEWAL_INFO_INTERVAL_S.1 / 4;
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
        self.load_snapshot(found);
        if now < self.next_order(now) {
            // Another node has already renewed the certificate.
            self.work = Work::Idle;
            return out.push(RenewerOutput::Unlock);
        }
        self.order_started_at = now;
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
                    let again = again
                        .unwrap_or(RENEWAL_INFO_INTERVAL_S.1 / 4)
                        .clamp(RENEWAL_INFO_INTERVAL_S.0, RENEWAL_INFO_INTERVAL_S.1);
                    self.info_at = now + again;
                    self.work = Work::Idle;
                }
                // Without renewal information the policy alone determines the renewal.
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
        // The state from the last response must be on disk before the next request is sent.
        if self.stored.as_ref() != Some(&stored) && !matches!(next, Err(AcmeError { fatal: true, .. })) {
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
                match self.select_chain(now, chains, &public_key) {
                    Ok(pem) => {
                        self.work = Work::Storing;
                        out.push(RenewerOutput::StoreCertificate(pem));
                    }
                    // Repeating the order would return the same certificate.
                    Err(why) => {
                        self.failed(now, AcmeError { fatal: true, ..local_error(Step::Done, why) }, out)
                    }
                }
            }
            Err(error) => self.failed(now, error, out),
        }
    }

    /// Returns the chain to use, if one of those received matches the order.
    fn select_chain(&self, now: Seconds, chains: Vec<String>, public_key: &[u8]) -> Result<String, String> {
        let mut read = Vec::new();
        let mut wrong = String::new();
        for pem in chains {
            let fits = Chain::read(&pem).and_then(|chain| {
                chain.matches_order(&self.settings.names, public_key, now)?;
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
        (self.stored, self.renew_requested) = (None, false);
        self.info_at = now;
        let failures = std::mem::take(&mut self.tried).failures;
        let useful = now < self.next_order(now);
        let tried = match useful {
            true => Tried::default(),
            // The certificate does not take effect in time, so the next attempt backs off as after a failure.
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
        // An expired certificate is kept for the length of its lifetime, to show what was presented.
        let long_over = |validity: Validity| validity.until + (validity.until - validity.from).max(0) < now;
        self.certificates.sort_by_key(|held| held.chain.validity.until);
        let old = self.certificates.len().saturating_sub(MIN_CERTIFICATES_KEPT);
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
        let again = error.retry_after.map(|seconds| now + seconds.clamp(0, MAX_RETRY_AFTER_S));
        self.tried = Tried {
            failures: self.tried.failures.saturating_add(1),
            failed_at: now,
            not_before: again,
            error: error.to_string(),
        };
        self.work = Work::Idle;
        self.renew_requested = false;
        out.push(RenewerOutput::StoreTried(self.tried.clone()));
        if error.fatal {
            self.stored = None;
            out.push(RenewerOutput::DropOrder);
        }
        out.push(RenewerOutput::Unprove);
        out.push(RenewerOutput::Unlock);
        let again = self.next_order(now);
        out.push(RenewerOutput::Notice(RenewerNotice::TryFailed { error: error.to_string(), again }));
    }

    /// Updates the presented certificate and emits a notice when none is valid.
    fn present(&mut self, now: Seconds, out: &mut Vec<RenewerOutput>) {
        let all: Vec<Validity> = self.certificates.iter().map(|held| held.chain.validity).collect();
        let which = planner::present(&all, now).map(|index| self.certificates[index].id.clone());
        if which.is_none()
            && (now >= self.nothing_valid_notice_at.saturating_add(NOTHING_VALID_NOTICE_INTERVAL_S)
                || self.nothing_valid_notice_at > now)
        {
            self.nothing_valid_notice_at = now;
            out.push(RenewerOutput::Notice(RenewerNotice::NothingValid));
        }
        if self.presented.as_ref() != Some(&which) {
            self.presented = Some(which.clone());
            out.push(RenewerOutput::Present(which));
        }
    }

    /// Returns the account, with its URL once it is known.
    pub fn account(&self) -> &Account {
        &self.account
    }

    /// Replaces the account's key after a roll-over.
    pub fn rolled_over(&mut self, key: Arc<crate::AccountKey>) {
        self.account.key = key;
    }
}

fn local_error(step: Step, detail: String) -> AcmeError {
    AcmeError { step, kind: None, detail, retry_after: None, fatal: false }
}
