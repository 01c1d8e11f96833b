//! The thread that keeps a node in certificates: it carries out what the [`Renewer`] asks for.
//!
//! A thread of its own, because keys are made and files synced on it, which may take longer than a node's loop may
//! be away.

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

/// Longest sleep: the wall clock may be set at any time.
const LONGEST: Duration = Duration::from_secs(1);
/// Shortest.
const SHORTEST: Duration = Duration::from_millis(20);
/// How long a node may take to put a proof in place.
const PLACING: Duration = Duration::from_secs(10);

/// An account that a new one is bound to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct External {
    /// Its key identifier.
    pub key_id: String,
    /// The file that holds its key, base64url.
    pub key_file: PathBuf,
}

/// What a keeper is told.
#[derive(Clone, Debug)]
pub struct KeeperSettings {
    /// The directory in which keys and certificates are kept.
    pub state: PathBuf,
    /// The names that certificates must hold.
    pub names: Vec<String>,
    /// The authority's directory URL.
    pub directory: String,
    /// Authorities that vouch for the ACME authority's own certificate, PEM.
    pub roots: Option<PathBuf>,
    /// Contact URLs.
    pub contact: Vec<String>,
    /// The account that a new one is bound to.
    pub external: Option<External>,
    /// The kind of a new account key.
    pub key: KeyKind,
    /// How names are proven.
    pub challenge: ChallengeKind,
    /// Where files for http-01 are served.
    pub listen: Option<SocketAddr>,
    /// Of several chains, the one whose last issuer's name holds this.
    pub preferred_chain: Option<String>,
    /// When certificates are renewed.
    pub policy: Policy,
    /// What tells this node's moments from others'.
    pub seed: u64,
    /// How long a whole try may take.
    pub try_time: Duration,
    /// How long one request may take.
    pub answer_time: Duration,
    /// How often the directory is looked at for what other nodes have put there.
    pub look: Duration,
}

impl KeeperSettings {
    /// Settings with defaults for all that has one.
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

    /// The account as it is stored, with a new key where there is none.
    ///
    /// # Errors
    ///
    /// When a file is damaged or can't be written.
    pub fn account(&self, storage: &Storage) -> Result<Account, String> {
        let told = |error: crate::StorageError| error.to_string();
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
            key: Arc::new(storage.account_key(self.key).map_err(told)?),
            contact: self.contact.clone(),
            external,
            url: storage.account_url(&self.directory),
        })
    }
}

/// What a keeper tells.
#[derive(Debug)]
pub enum KeeperEvent {
    /// Show this in new handshakes, or nothing.
    Present(Option<Identity>),
    /// Answer handshakes that ask for a proof with this, and say so on the channel; or no more.
    Prove(Option<Arc<ServerConfig>>, Sender<()>),
    /// What an operator should know.
    Notice(RenewerNotice),
    /// A file is of no use, or something could not be done.
    Complaint(String),
}

#[derive(Debug)]
enum Command {
    RenewNow,
    Stop,
}

/// A keeper on its thread.
#[derive(Debug)]
pub struct Keeper {
    commands: Sender<Command>,
    thread: Option<JoinHandle<()>>,
    address: Option<SocketAddr>,
}

impl Keeper {
    /// Starts one. What can be found wrong at once is found before this returns. `sink` is called on the keeper's
    /// thread.
    ///
    /// # Errors
    ///
    /// When storage, keys or the responder's address are of no use.
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
        let address = started.recv().unwrap_or_else(|_| Err("its thread ended at once".to_owned()))?;
        Ok(Keeper { commands, thread: Some(thread), address })
    }

    /// Where files for http-01 are served.
    pub fn challenge_address(&self) -> Option<SocketAddr> {
        self.address
    }

    /// Orders a new certificate whatever the plan says.
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
    complained: Vec<String>,
    todo: VecDeque<RenewerOutput>,
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
        let found = storage.stock().map_err(|error| error.to_string())?;
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
            complained: found.complaints,
            todo: VecDeque::new(),
            sink,
        })
    }

    async fn run(mut self, inbox: Receiver<Command>) {
        loop {
            self.input(RenewerInput::Tick);
            while let Some(output) = self.todo.pop_front() {
                self.carry_out(output).await;
            }
            let due = self.renewer.due(now()) - now();
            let sleep = Duration::from_secs(due.max(0) as u64).clamp(SHORTEST, LONGEST);
            let nothing = async {
                Timer::after(sleep).await;
                Some(None)
            };
            let command = async { inbox.recv().await.ok().map(Some) };
            match command.or(nothing).await {
                Some(Some(Command::RenewNow)) => self.input(RenewerInput::RenewNow),
                Some(None) => {}
                Some(Some(Command::Stop)) | None => return,
            }
        }
    }

    fn input(&mut self, input: RenewerInput) {
        let mut out = Vec::new();
        self.renewer.handle(now(), input, &mut out);
        self.todo.extend(out);
    }

    /// What rests on something that could not be done is not done either.
    fn failed(&mut self, why: impl ToString) {
        let kept = |output: &RenewerOutput| {
            matches!(output, RenewerOutput::Present(_) | RenewerOutput::Notice(_) | RenewerOutput::Unlock)
        };
        self.todo.retain(kept);
        self.input(RenewerInput::Failed(why.to_string()));
    }

    /// Complains once of each thing.
    fn complain(&mut self, complaints: Vec<String>) {
        for complaint in &complaints {
            if !self.complained.contains(complaint) {
                (self.sink)(KeeperEvent::Complaint(complaint.clone()));
            }
        }
        self.complained = complaints;
    }

    fn stock(&mut self) -> Result<lemoncleat_acme::Snapshot, crate::StorageError> {
        let stocked = self.storage.stock()?;
        self.complain(stocked.complaints);
        Ok(stocked.snapshot)
    }

    async fn carry_out(&mut self, output: RenewerOutput) {
        match output {
            RenewerOutput::Look => match self.stock() {
                Ok(found) => self.input(RenewerInput::Looked(found)),
                Err(error) => self.complain(vec![error.to_string()]),
            },
            RenewerOutput::Lock => match self.storage.lock() {
                Ok(Some(lock)) => {
                    self.lock = Some(lock);
                    // An operator may have put another key in the account's place.
                    match self.storage.account_key(self.key) {
                        Ok(key) => self.renewer.rolled_over(Arc::new(key)),
                        Err(error) => return self.failed(error),
                    }
                    match self.stock() {
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
                        Ok(config) => self.place(Some(config)).await,
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
                    let _ = self.place(None).await;
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

    /// Has a proof put in place by whoever answers handshakes.
    async fn place(&self, config: Option<Arc<ServerConfig>>) -> Result<(), String> {
        let (done, placed) = async_channel::bounded(1);
        (self.sink)(KeeperEvent::Prove(config, done));
        let late = async {
            Timer::after(PLACING).await;
            Err("the node did not put the proof in place".to_owned())
        };
        async { placed.recv().await.map_err(|_| "the node did not take the proof".to_owned()) }.or(late).await
    }
}
