//! The thread that keeps a node's certificate valid: it executes the outputs of the [`Renewer`].
//!
//! It is a separate thread because key generation and file syncs can take longer than a node's event loop may
//! block.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::FutureExt;
use lemoncleat_acme::planner::{Policy, Seconds};
use lemoncleat_acme::{
    Account, ChallengeKind, KeyKind, Renewer, RenewerInput, RenewerNotice, RenewerOutput, RenewerSettings,
};
use lemoncleat_net::{proof_config, Identity, ServerConfig};
use zeroize::Zeroizing;

use crate::fetch::Fetcher;
use crate::proof::{tls_alpn_pem, Responder};
use crate::storage::{Lock, Storage};

/// Longest sleep, kept short because the wall clock may be set at any time.
const MAX_SLEEP: Duration = Duration::from_secs(1);
/// Shortest sleep.
const MIN_SLEEP: Duration = Duration::from_millis(20);
/// Time limit for the node to provision a challenge response.
const PROVISION_TIMEOUT: Duration = Duration::from_secs(10);

/// The external account that a new account is bound to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct External {
    /// Its key identifier.
    pub key_id: String,
    /// The file with its key, base64url.
    pub key_file: PathBuf,
}

/// Settings of a keeper.
#[derive(Clone, Debug)]
pub struct KeeperSettings {
    /// The directory in which keys and certificates are stored.
    pub state: PathBuf,
    /// The names that certificates must cover.
    pub names: Vec<String>,
    /// The authority's directory URL.
    pub directory: String,
    /// Roots that the ACME server's certificate must chain to, PEM.
    pub roots: Option<PathBuf>,
    /// Contact URLs.
    pub contact: Vec<String>,
    /// The external account that a new account is bound to.
    pub external: Option<External>,
    /// The kind of a new account key.
    pub key: KeyKind,
    /// The challenge type used to prove names.
    pub challenge: ChallengeKind,
    /// The address to serve http-01 challenge responses on.
    pub listen: Option<SocketAddr>,
    /// Prefer the chain whose last issuer's name contains this.
    pub preferred_chain: Option<String>,
    /// When certificates are renewed.
    pub policy: Policy,
    /// Seed that spreads this node's renewals from those of others.
    pub seed: u64,
    /// Time limit for a whole attempt.
    pub try_time: Duration,
    /// Time limit for one request.
    pub answer_time: Duration,
    /// Interval at which the directory is checked for changes by other nodes.
    pub look: Duration,
}

impl KeeperSettings {
    /// Creates settings with defaults for everything that has one.
    pub fn new(state: PathBuf, names: Vec<String>, directory: String) -> KeeperSettings {
        KeeperSettings {
            state,
            names,
            directory,
            roots: None,
            contact: Vec::new(),
            external: None,
            key: KeyKind::default(),
            challenge: ChallengeKind::default(),
            listen: None,
            preferred_chain: None,
            policy: Policy::default(),
            seed: 0,
            try_time: Duration::from_secs(600),
            answer_time: Duration::from_secs(30),
            look: Duration::from_secs(10),
        }
    }

    /// Loads the account from storage, creating a key if there is none.
    ///
    /// # Errors
    ///
    /// When a file is damaged or can't be written.
    pub fn account(&self, storage: &Storage) -> Result<Account, String> {
        let describe = |error: crate::StorageError| error.to_string();
        let external = match &self.external {
            None => None,
            Some(external) => {
                let name = external.key_file.display();
                let text = std::fs::read_to_string(&external.key_file).map(Zeroizing::new);
                let text = text.map_err(|error| format!("{name}: {error}"))?;
                let secret = lemoncleat_acme::base64url(text.trim());
                let secret = secret.ok_or_else(|| format!("{name}: expected a key in base64url"))?;
                Some(lemoncleat_acme::External { key_id: external.key_id.clone(), secret: secret.into() })
            }
        };
        Ok(Account {
            directory: self.directory.clone(),
            key: Arc::new(storage.account_key(self.key).map_err(describe)?),
            contact: self.contact.clone(),
            external,
            url: storage.account_url(&self.directory),
        })
    }
}

/// Events of a keeper.
#[derive(Debug)]
pub enum KeeperEvent {
    /// Present this certificate in new handshakes, or none.
    Present(Option<Identity>),
    /// Use this configuration for tls-alpn-01 handshakes, or stop using one if `None`; confirm on the
    /// channel.
    Prove(Option<Arc<ServerConfig>>, Sender<()>),
    /// A notice for the operator.
    Notice(RenewerNotice),
    /// A file can't be used, or an action failed.
    Complaint(String),
}

#[derive(Debug)]
enum Command {
    RenewNow,
    Stop,
}

/// Handle of a keeper thread; dropping it stops the thread.
#[derive(Debug)]
pub struct Keeper {
    commands: Sender<Command>,
    thread: Option<JoinHandle<()>>,
    address: Option<SocketAddr>,
}

impl Keeper {
    /// Starts a keeper. Errors that can be detected at start are returned. `sink` is called on the keeper's
    /// thread.
    ///
    /// # Errors
    ///
    /// When storage, keys or the responder's address can't be used.
    pub fn start(
        settings: KeeperSettings,
        sink: impl Fn(KeeperEvent) + Send + 'static,
    ) -> Result<Keeper, String> {
        let (commands, inbox) = async_channel::bounded(16);
        let (ready, started) = std::sync::mpsc::channel();
        let thread = std::thread::Builder::new().name("certificates".to_owned()).spawn(move || {
            let executor = Rc::new(LocalExecutor::new());
            let worker = match Worker::new(settings, executor.clone(), Box::new(sink)) {
                Ok(worker) => worker,
                Err(why) => return drop(ready.send(Err(why))),
            };
            let address = worker.responder.as_ref().map(Responder::address);
            let _ = ready.send(Ok(address));
            async_io::block_on(executor.run(worker.run(inbox)));
        });
        let thread = thread.map_err(|error| error.to_string())?;
        let address =
            started.recv().unwrap_or_else(|_| Err("the keeper thread ended during start-up".to_owned()))?;
        Ok(Keeper { commands, thread: Some(thread), address })
    }

    /// Returns the address on which http-01 challenge responses are served.
    pub fn challenge_address(&self) -> Option<SocketAddr> {
        self.address
    }

    /// Orders a new certificate regardless of the plan.
    pub fn renew_now(&self) {
        let _ = self.commands.try_send(Command::RenewNow);
    }
}

impl Drop for Keeper {
    fn drop(&mut self) {
        let _ = self.commands.send_blocking(Command::Stop);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

struct Worker {
    renewer: Renewer,
    storage: Storage,
    fetcher: Fetcher,
    responder: Option<Responder>,
    directory: String,
    challenge: ChallengeKind,
    key: KeyKind,
    lock: Option<Lock>,
    reported_complaints: Vec<String>,
    pending_outputs: VecDeque<RenewerOutput>,
    sink: Box<dyn Fn(KeeperEvent) + Send>,
}

fn now() -> Seconds {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_secs() as Seconds)
}

impl Worker {
    fn new(
        settings: KeeperSettings,
        executor: Rc<LocalExecutor<'static>>,
        sink: Box<dyn Fn(KeeperEvent) + Send>,
    ) -> Result<Worker, String> {
        let storage = Storage::open(&settings.state, &settings.names).map_err(|error| error.to_string())?;
        let account = settings.account(&storage)?;
        let fetcher = Fetcher::new(settings.roots.as_deref(), settings.answer_time)?;
        let responder = match (settings.challenge, settings.listen) {
            (ChallengeKind::Http01, Some(address)) => {
                let started = Responder::start(&executor, address);
                Some(started.map_err(|error| format!("{address}: {error}"))?)
            }
            (ChallengeKind::Http01, None) => return Err("http-01 needs an address to serve on".to_owned()),
            (ChallengeKind::TlsAlpn01, _) => None,
        };
        let found = storage.read_state().map_err(|error| error.to_string())?;
        for complaint in &found.complaints {
            sink(KeeperEvent::Complaint(complaint.clone()));
        }
        let seconds = |time: Duration| Seconds::try_from(time.as_secs()).unwrap_or(Seconds::MAX).max(1);
        let renewer = RenewerSettings {
            names: settings.names,
            challenge: settings.challenge,
            preferred_chain: settings.preferred_chain,
            policy: settings.policy,
            seed: settings.seed,
            order_time: seconds(settings.try_time),
            look_every: seconds(settings.look),
        };
        Ok(Worker {
            renewer: Renewer::new(renewer, account, found.snapshot),
            storage,
            fetcher,
            responder,
            directory: settings.directory,
            challenge: settings.challenge,
            key: settings.key,
            lock: None,
            reported_complaints: found.complaints,
            pending_outputs: VecDeque::new(),
            sink,
        })
    }

    async fn run(mut self, inbox: Receiver<Command>) {
        loop {
            self.input(RenewerInput::Tick);
            while let Some(output) = self.pending_outputs.pop_front() {
                self.execute(output).await;
            }
            let due = self.renewer.due(now()) - now();
            let sleep = Duration::from_secs(due.max(0) as u64).clamp(MIN_SLEEP, MAX_SLEEP);
            let timeout = async {
                Timer::after(sleep).await;
                Some(None)
            };
            let command = async { inbox.recv().await.ok().map(Some) };
            match command.or(timeout).await {
                Some(Some(Command::RenewNow)) => self.input(RenewerInput::RenewNow),
                Some(None) => {}
                Some(Some(Command::Stop)) | None => return,
            }
        }
    }

    fn input(&mut self, input: RenewerInput) {
        let mut out = Vec::new();
        self.renewer.handle(now(), input, &mut out);
        self.pending_outputs.extend(out);
    }

    /// Reports a failure and drops the pending outputs that depend on the failed one.
    fn failed(&mut self, why: impl ToString) {
        let kept = |output: &RenewerOutput| {
            matches!(output, RenewerOutput::Present(_) | RenewerOutput::Notice(_) | RenewerOutput::Unlock)
        };
        self.pending_outputs.retain(kept);
        self.input(RenewerInput::Failed(why.to_string()));
    }

    /// Reports each complaint once while it persists.
    fn complain(&mut self, complaints: Vec<String>) {
        for complaint in &complaints {
            if !self.reported_complaints.contains(complaint) {
                (self.sink)(KeeperEvent::Complaint(complaint.clone()));
            }
        }
        self.reported_complaints = complaints;
    }

    fn read_state(&mut self) -> Result<lemoncleat_acme::Snapshot, crate::StorageError> {
        let state = self.storage.read_state()?;
        self.complain(state.complaints);
        Ok(state.snapshot)
    }

    async fn execute(&mut self, output: RenewerOutput) {
        match output {
            RenewerOutput::Look => match self.read_state() {
                Ok(found) => self.input(RenewerInput::Looked(found)),
                Err(error) => self.complain(vec![error.to_string()]),
            },
            RenewerOutput::Lock => match self.storage.lock() {
                Ok(Some(lock)) => {
                    self.lock = Some(lock);
                    // An operator may have replaced the account's key.
                    match self.storage.account_key(self.key) {
                        Ok(key) => self.renewer.rolled_over(Arc::new(key)),
                        Err(error) => return self.failed(error),
                    }
                    match self.read_state() {
                        Ok(found) => self.input(RenewerInput::Locked(found)),
                        Err(error) => self.failed(error),
                    }
                }
                Ok(None) => self.input(RenewerInput::Busy),
                Err(error) => self.failed(error),
            },
            RenewerOutput::Unlock => self.lock = None,
            RenewerOutput::Prepare { fresh } => match self.storage.prepare(fresh) {
                Ok(prepared) => self.input(RenewerInput::Prepared(prepared)),
                Err(error) => self.failed(error),
            },
            RenewerOutput::StoreOrder(order) => {
                let account = order.account.as_deref();
                let put = account.map_or(Ok(()), |url| self.storage.put_account_url(&self.directory, url));
                if let Err(error) = put.and_then(|()| self.storage.put_order(&order)) {
                    self.failed(error);
                }
            }
            RenewerOutput::DropOrder => {
                if let Err(error) = self.storage.drop_order() {
                    self.complain(vec![error.to_string()]);
                }
            }
            RenewerOutput::StoreCertificate(pem) => match self.storage.put_certificate(&pem) {
                Ok(held) => self.input(RenewerInput::Stored(held)),
                Err(error) => self.failed(error),
            },
            RenewerOutput::DropCertificate(id) => {
                if let Err(error) = self.storage.drop_certificate(&id) {
                    self.complain(vec![error.to_string()]);
                }
            }
            RenewerOutput::StoreTried(tried) => {
                if let Err(error) = self.storage.put_tried(&tried) {
                    self.complain(vec![error.to_string()]);
                }
            }
            RenewerOutput::Send(request) => match self.fetcher.fetch(&request).await {
                Ok(response) => self.input(RenewerInput::Answered(response)),
                Err(why) => self.input(RenewerInput::NoAnswer(why)),
            },
            RenewerOutput::Prove(proof) => {
                let done = match (&self.responder, self.challenge) {
                    (Some(responder), _) => {
                        responder.put(&proof);
                        Ok(())
                    }
                    _ => match tls_alpn_pem(&proof)
                        .and_then(|pem| proof_config(&pem).map_err(|e| e.to_string()))
                    {
                        Ok(config) => self.provision_tls_alpn(Some(config)).await,
                        Err(why) => Err(why),
                    },
                };
                match done {
                    Ok(()) => self.input(RenewerInput::Proven),
                    Err(why) => self.failed(why),
                }
            }
            RenewerOutput::Unprove => {
                if let Some(responder) = &self.responder {
                    responder.clear();
                } else {
                    let _ = self.provision_tls_alpn(None).await;
                }
            }
            RenewerOutput::Present(id) => {
                let identity = id.and_then(|id| self.identity(&id));
                (self.sink)(KeeperEvent::Present(identity));
            }
            RenewerOutput::Notice(notice) => (self.sink)(KeeperEvent::Notice(notice)),
        }
    }

    fn identity(&mut self, id: &str) -> Option<Identity> {
        let text = self.storage.certificate_text(id).map_err(|error| error.to_string());
        match text.and_then(|text| Identity::from_pem(&text).map_err(|error| error.to_string())) {
            Ok(identity) => Some(identity),
            Err(why) => {
                (self.sink)(KeeperEvent::Complaint(why));
                None
            }
        }
    }

    /// Passes a tls-alpn-01 configuration to the node and waits until it is in use.
    async fn provision_tls_alpn(&self, config: Option<Arc<ServerConfig>>) -> Result<(), String> {
        let (done, provisioned) = async_channel::bounded(1);
        (self.sink)(KeeperEvent::Prove(config, done));
        let timeout = async {
            Timer::after(PROVISION_TIMEOUT).await;
            Err("the node did not provision the challenge response in time".to_owned())
        };
        async { provisioned.recv().await.map_err(|_| "the node dropped the challenge response".to_owned()) }
            .or(timeout)
            .await
    }
}
