//! The event loop that drives a node's core.

use std::collections::HashMap;
use std::fmt;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::{mpsc, Arc};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use lemoncleat_certificates::{Keeper, KeeperEvent, KeeperSettings};
use lemoncleat_consistency::{Digest, Rules};
use lemoncleat_net::{
    client_config, server_config, Authorities, ClientConfig, Event, Identity, Mailbox, MinVersion, Net,
    ServerName, TlsFiles,
};
use lemoncleat_node::{
    ConnId, Input, ListEntry, ListNews, Micros, Node, NodeSettings, Output, PeerId, Stats,
};

use lemoncleat_commons::{FleetNode, Said};
use serde_json::json;

use crate::config::Config;
use crate::configuration::{ConfigurationDriver, ConfigurationEvent, ConfigurationResult};
use crate::fleet::{call_outcomes, fleet_figures, FleetDriver, Stored};
use crate::{control, feed, log, FleetMember};

/// Maximum number of events per batch and maximum duration of a batch, after which the output is written.
const MAX_BATCH_EVENTS: usize = 128;
const MAX_BATCH_US: Micros = 2_000;
/// Maximum number of bytes passed to the core per reading of the clock.
const INPUT_CHUNK_BYTES: usize = 8 * 1024;
/// Time limit for reading the input that arrived during a gap.
const CATCH_UP_LIMIT_US: Micros = 200_000;
/// Time that closed connections may take to write their remaining bytes after the core has stopped.
const CLOSE_LIMIT_US: Micros = 2_000_000;
/// Maximum time that clients are held at the start until the configuration in force is known. The core
/// normally decides well before.
const MAX_CLIENT_HOLD_US: Micros = 8_000_000;
/// Tags of the peer listeners and of the control port.
const PEER_LISTENER: u64 = 0;
const CONTROL_LISTENER: u64 = 1;

/// Settings of a running node.
#[derive(Clone, Debug)]
pub struct ServiceSettings {
    /// The core's settings.
    pub node: NodeSettings,
    /// Address of the server list feed.
    pub feed: Option<SocketAddr>,
    /// Servers known at the start; a feed replaces them.
    pub servers: Vec<ListEntry>,
    /// TLS settings for all peer connections; `None` for connections without TLS.
    pub tls: Option<TlsSettings>,
    /// Address of the control port, bound when the node starts.
    pub control: Option<SocketAddr>,
    /// Seed of the node's random choices; taken from the clock by default.
    pub seed: Option<u64>,
    /// The rules that determine its decisions: the decision module's settings and the numbering plan, as
    /// read.
    pub rules: Rules,
    /// Fleet settings; `None` for a node outside a fleet.
    pub fleet: Option<crate::FleetSettings>,
    /// The text of the settings file, which is merged with a configuration that the fleet agrees on.
    pub text: Arc<str>,
}

/// The source of a node's certificate.
#[derive(Clone, Debug)]
pub enum TlsSource {
    /// Files that are maintained outside the node.
    Files(TlsFiles),
    /// A certificate authority, through ACME.
    Acme(Box<KeeperSettings>),
}

/// TLS settings of a node.
#[derive(Clone, Debug)]
pub struct TlsSettings {
    /// The source of its certificate.
    pub source: TlsSource,
    /// File with the certificates of the authorities that are trusted for peers.
    pub authorities: PathBuf,
    /// The oldest TLS version that is accepted.
    pub min: MinVersion,
    /// Maximum number of concurrent handshakes.
    pub handshakes: usize,
    /// Time limit of a handshake.
    pub time: Duration,
}

/// A request or event for a running node.
#[derive(Debug)]
pub enum Control {
    /// A change of the server list.
    List(ListNews),
    /// Reload the certificate files. New handshakes use them; open connections are not affected.
    ReloadTls,
    /// An event of the certificate keeper.
    Certificates(KeeperEvent),
    /// Request a new certificate now.
    Renew,
    /// Shut down in an orderly way.
    Stop,
    /// Block the loop for a while, as in a process that is not scheduled; for rehearsals.
    Stall(Duration),
    /// The storage thread of a voter has written a batch, or failed to.
    Stored(u64, Result<(), String>),
    /// A result of the fleet configuration threads.
    Configuration(ConfigurationEvent),
    /// Report the counters so far.
    Stats(mpsc::Sender<Stats>),
}

/// The reason why a node can't run.
#[derive(Debug)]
pub enum ServiceError {
    /// The settings are invalid, or a part of the node could not be started.
    Settings(String),
    /// A socket failed.
    Io(io::Error),
}

impl fmt::Display for ServiceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ServiceError::Settings(why) => f.write_str(why),
            ServiceError::Io(error) => write!(f, "{error}"),
        }
    }
}

impl std::error::Error for ServiceError {}

impl From<io::Error> for ServiceError {
    fn from(error: io::Error) -> Self {
        ServiceError::Io(error)
    }
}

/// A node that runs on its own thread.
pub struct Running {
    /// The address on which it accepts peers.
    pub address: SocketAddr,
    /// The address of its control port.
    pub control_address: Option<SocketAddr>,
    /// The address that serves http-01 challenges.
    pub challenge_address: Option<SocketAddr>,
    mailbox: Mailbox<Control>,
    thread: JoinHandle<Result<Stats, ServiceError>>,
}

impl Running {
    /// Sends it a request; has no effect once it has ended.
    pub fn control(&self, control: Control) {
        let _ = self.mailbox.send_blocking(control);
    }

    /// Returns its counters; `None` once it has ended.
    pub fn stats(&self) -> Option<Stats> {
        let (sender, answer) = mpsc::channel();
        self.mailbox.send_blocking(Control::Stats(sender)).ok()?;
        answer.recv().ok()
    }

    /// Shuts it down in an orderly way and waits for its end.
    ///
    /// # Errors
    ///
    /// The error that ended it.
    pub fn stop(self) -> Result<Stats, ServiceError> {
        self.control(Control::Stop);
        self.thread
            .join()
            .unwrap_or_else(|_| Err(ServiceError::Settings("the node's thread panicked".to_owned())))
    }
}

/// Information about a node that has started.
pub struct Started {
    /// Mailbox for requests to the node.
    pub mailbox: Mailbox<Control>,
    /// The address of its control port.
    pub control: Option<SocketAddr>,
    /// The address that serves http-01 challenges.
    pub challenge: Option<SocketAddr>,
}

/// Starts a node on its own thread.
///
/// # Errors
///
/// When the listener has no address, the thread can't be started or the node fails at its start.
pub fn spawn(settings: ServiceSettings, listener: TcpListener) -> Result<Running, ServiceError> {
    let address = listener.local_addr()?;
    let (sender, ready) = mpsc::channel();
    let name = format!("node {}", settings.node.host);
    let thread = std::thread::Builder::new().name(name).spawn(move || {
        serve(settings, vec![listener], move |started| {
            let _ = sender.send(started);
        })
    })?;
    match ready.recv() {
        Ok(Started { mailbox, control, challenge }) => {
            Ok(Running { address, control_address: control, challenge_address: challenge, mailbox, thread })
        }
        Err(_) => match thread.join() {
            Ok(Err(error)) => Err(error),
            _ => Err(ServiceError::Settings("the node ended during its start".to_owned())),
        },
    }
}

/// Runs a node on the current thread until it is stopped. Calls `ready` once the node has started.
///
/// # Errors
///
/// When its settings or sockets are unusable.
pub fn serve(
    settings: ServiceSettings,
    listeners: Vec<TcpListener>,
    ready: impl FnOnce(Started),
) -> Result<Stats, ServiceError> {
    lemoncleat_net::run(async |mut net: Net<Control>| {
        let base = settings.clone();
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let seed = settings.seed.unwrap_or(since_epoch.as_nanos() as u64);
        let host = settings.node.host.clone();
        let open = Duration::from_micros(settings.node.timing.open.max(1) as u64);
        let gap = settings.node.timing.gap;
        // The start time in seconds increases with each start, as RFC 6733 section 8.16 suggests.
        let state_id = since_epoch.as_secs() as u32;
        let active = ActiveConfiguration {
            members: settings.fleet.as_ref().map(|fleet| fleet.members.clone()).unwrap_or_default(),
            servers: settings.servers.clone(),
            rules: settings.rules.version(),
        };
        let node =
            Node::new(settings.node, state_id, seed).map_err(|e| ServiceError::Settings(e.to_string()))?;
        for listener in listeners {
            listener.set_nonblocking(true)?;
            net.listen(listener, PEER_LISTENER)?;
        }
        if let Some(address) = settings.feed {
            net.spawn(feed::follow(address, net.sender()));
        }
        let mut control_address = None;
        if let Some(address) = settings.control {
            let listener = TcpListener::bind(address)?;
            control_address = Some(listener.local_addr()?);
            net.listen(listener, CONTROL_LISTENER)?;
        }
        let mailbox = net.sender();
        let start = Instant::now();
        let tls = settings.tls;
        let mut service = Service {
            tls,
            identity: None,
            client_tls: None,
            node,
            net,
            start,
            host,
            open,
            outputs: Vec::new(),
            operators: HashMap::new(),
            gap,
            last_clock: 0,
            gap_pending: false,
            stopping: false,
            stopped: None,
            closing: Vec::new(),
            keeper: None,
            fleet: None,
            actions: Vec::new(),
            active,
            clients_held: false,
        };
        service.load_tls().map_err(ServiceError::Settings)?;
        let rules = settings.rules;
        tracing::info!(node = &*service.host, "rules {}", rules.version());
        if let Some(settings) = &settings.fleet {
            let mailbox = service.net.sender();
            let stored = move |(batch, result): Stored| {
                // Fails only once the loop has ended, when the result no longer matters.
                let _ = mailbox.send_blocking(Control::Stored(batch, result));
            };
            let driver = FleetDriver::new(&service.host, settings, state_id, seed, stored);
            let mut driver = driver.map_err(ServiceError::Settings)?;
            driver.watch(rules, &settings.rules, &mut service.actions);
            if let Some(directory) = &settings.configuration {
                let mailbox = service.net.sender();
                let done = move |event| {
                    // Fails only once the loop has ended, when the result no longer matters.
                    let _ = mailbox.send_blocking(Control::Configuration(event));
                };
                let threads = ConfigurationDriver::start(directory, base, done);
                driver.configuration = Some(threads.map_err(ServiceError::Settings)?);
                service.clients_held = true;
                service.node.handle(0, Input::HoldClients(true), &mut service.outputs);
            }
            service.fleet = Some(driver);
        }
        service.start_keeper().map_err(ServiceError::Settings)?;
        let challenge = service.keeper.as_ref().and_then(Keeper::challenge_address);
        ready(Started { mailbox, control: control_address, challenge });
        service.last_clock = service.clock();
        if !settings.servers.is_empty() {
            service.handle(Input::List(ListNews::Complete(settings.servers)));
        }
        service.load_stored_configuration();
        Ok(service.run().await)
    })
}

struct Service {
    tls: Option<TlsSettings>,
    /// The certificate presented to peers.
    identity: Option<Identity>,
    client_tls: Option<Arc<ClientConfig>>,
    node: Node,
    net: Net<Control>,
    start: Instant,
    host: Arc<str>,
    open: Duration,
    outputs: Vec<Output>,
    /// Connections of the control port with their unprocessed input.
    operators: HashMap<u64, Vec<u8>>,
    /// Time between two clock readings from which on it counts as a gap in processing.
    gap: Micros,
    /// The last reading of the clock.
    last_clock: Micros,
    /// The input that arrived during a gap has not been read yet.
    gap_pending: bool,
    /// The core was asked to stop.
    stopping: bool,
    /// When the core stopped, if it has.
    stopped: Option<Micros>,
    /// Connections closed by the stopping core that still have bytes to write. The loop ends after them.
    closing: Vec<u64>,
    /// Obtains and renews certificates through ACME, if so configured.
    keeper: Option<Keeper>,
    /// Driver of the fleet logic, for a node in a fleet.
    fleet: Option<FleetDriver>,
    actions: Vec<Said>,
    /// The parts of the configuration in force that are compared with a new version.
    active: ActiveConfiguration,
    /// Whether clients are held until the configuration in force at the start is known.
    clients_held: bool,
}

struct ActiveConfiguration {
    members: Vec<FleetMember>,
    servers: Vec<ListEntry>,
    rules: Digest,
}

impl Service {
    fn clock(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    /// Reads the clock and reports to the core if the loop did not run for longer than the gap limit.
    fn update_clock(&mut self) -> Micros {
        let now = self.clock();
        if now - self.last_clock > self.gap {
            self.node.handle(now, Input::Away(self.last_clock), &mut self.outputs);
            self.gap_pending = true;
        }
        self.last_clock = now;
        now
    }

    fn handle(&mut self, input: Input<'_>) {
        let now = self.update_clock();
        self.node.handle(now, input, &mut self.outputs);
    }

    /// Loads the TLS files. If they are invalid, the previous configuration remains in use.
    fn load_tls(&mut self) -> Result<(), String> {
        let Some(tls) = &self.tls else { return Ok(()) };
        let identity = match &tls.source {
            TlsSource::Files(files) => Some(Identity::read(files).map_err(|error| error.to_string())?),
            TlsSource::Acme(_) => self.identity.clone(),
        };
        let authorities = Authorities::read(&tls.authorities).map_err(|error| error.to_string())?;
        let server =
            server_config(identity.clone(), &authorities, tls.min).map_err(|error| error.to_string())?;
        let client =
            client_config(identity.clone(), &authorities, tls.min).map_err(|error| error.to_string())?;
        self.net.listen_with_tls(PEER_LISTENER, server, tls.handshakes, tls.time);
        (self.identity, self.client_tls) = (identity, Some(client));
        Ok(())
    }

    fn start_keeper(&mut self) -> Result<(), String> {
        let Some(TlsSource::Acme(settings)) = self.tls.as_ref().map(|tls| &tls.source) else { return Ok(()) };
        let mailbox = self.net.sender();
        let keeper = Keeper::start((**settings).clone(), move |event| {
            // Fails only once the loop has ended, when the event no longer matters.
            let _ = mailbox.send_blocking(Control::Certificates(event));
        });
        self.keeper = Some(keeper?);
        Ok(())
    }

    /// Applies an event of the certificate keeper to new handshakes; open connections are not affected.
    fn handle_certificate_event(&mut self, event: KeeperEvent) {
        match event {
            KeeperEvent::Present(identity) => {
                self.identity = identity;
                if let Err(why) = self.load_tls() {
                    tracing::error!(node = &*self.host, %why, "could not apply the new certificate");
                }
            }
            KeeperEvent::Prove(config, confirmation) => {
                self.net.set_acme_challenge(PEER_LISTENER, config);
                // The keeper waits for the confirmation, unless it has given up.
                let _ = confirmation.try_send(());
            }
            KeeperEvent::Notice(notice) => log::certificate(&self.host, &notice),
            KeeperEvent::Complaint(why) => tracing::warn!(node = &*self.host, "{why}"),
        }
    }

    fn dial(&mut self, peer: PeerId, address: SocketAddr) {
        let tag = u64::from(peer.0);
        if let (Some(tls), Some(config)) = (&self.tls, &self.client_tls) {
            let host = self.node.peer_host(peer).unwrap_or_else(|| "".into());
            match ServerName::try_from(host.to_string()) {
                Ok(name) => self.net.dial_with_tls(tag, name, config.clone(), tls.time),
                Err(_) => {
                    tracing::error!(node = &*self.host, %host, "not a name that a certificate can hold");
                    return self.handle(Input::DialFailed(peer));
                }
            }
        }
        self.net.dial(address, tag, self.open);
    }

    /// Executes the outputs of the core.
    fn perform(&mut self) {
        for output in std::mem::take(&mut self.outputs) {
            match output {
                Output::Dial(peer, address) => self.dial(peer, address),
                Output::StopDial(peer) => self.net.stop_dial(u64::from(peer.0)),
                Output::Send(conn, bytes) => self.net.send(conn.0, &bytes),
                Output::Close(conn) if self.stopping && self.net.waiting(conn.0) > 0 => {
                    self.closing.push(conn.0);
                }
                Output::Close(conn) => self.net.close(conn.0),
                Output::Notice(notice) => log::emit(&self.host, &notice),
                Output::Stopped => self.stopped = Some(self.clock()),
                Output::MemberConnected(member) => {
                    self.with_fleet(|part, now, actions| part.linked(now, member, true, actions))
                }
                Output::MemberDisconnected(member) => {
                    self.with_fleet(|part, now, actions| part.linked(now, member, false, actions))
                }
                Output::MemberMessage(member, bytes) => {
                    self.with_fleet(|part, now, actions| part.heard(now, member, &bytes, actions));
                }
            }
        }
    }

    /// Calls the fleet logic and executes the actions that it returns.
    fn with_fleet(&mut self, call: impl FnOnce(&mut FleetNode, Micros, &mut Vec<Said>)) {
        let now = self.clock();
        let Some(driver) = &mut self.fleet else { return };
        call(&mut driver.part, now, &mut self.actions);
        while !self.actions.is_empty() {
            for action in std::mem::take(&mut self.actions) {
                self.perform_fleet_action(now, action);
            }
        }
    }

    fn perform_fleet_action(&mut self, now: Micros, action: Said) {
        match action {
            Said::Connect(member) => self.handle(Input::DialMember(member)),
            Said::Disconnect(member) => self.handle(Input::StopDiallingMember(member)),
            Said::Send(member, bytes) => self.handle(Input::SendToMember(member, &bytes)),
            Said::Answer(conn, answer) if self.operators.contains_key(&conn) => {
                self.net.send(conn, format!("{answer}\n").as_bytes());
            }
            Said::Answer(..) => {}
            Said::Store(batch) => {
                let number = batch.number;
                let Some(driver) = &mut self.fleet else { return };
                if !driver.store(batch) {
                    let why = Err("the storage thread has ended".to_owned());
                    driver.part.stored(now, number, why, &mut self.actions);
                }
            }
            Said::Fence(come_back) => self.handle(Input::Fence(come_back)),
            Said::ApplyConfiguration { number, text } => {
                let Some(driver) = &mut self.fleet else { return };
                if !driver.configuration.as_ref().is_some_and(|threads| threads.read(number, text)) {
                    let why = Err("the configuration reader thread has ended".to_owned());
                    driver.part.version_applied(now, number, why, &mut self.actions);
                }
            }
            Said::Persist(bytes) => {
                let Some(driver) = &mut self.fleet else { return };
                if !driver.configuration.as_ref().is_some_and(|threads| threads.store(bytes)) {
                    let why = Err("the thread that keeps the configuration has ended".to_owned());
                    driver.part.kept(now, why, &mut self.actions);
                }
            }
            Said::Ready => self.release_clients(),
            Said::Log(true, text) => tracing::warn!(node = &*self.host, "{text}"),
            Said::Log(false, text) => tracing::info!(node = &*self.host, "{text}"),
        }
    }

    /// Runs due timers of the fleet logic. Called after all work for calls in a loop iteration.
    fn run_fleet_timers(&mut self) {
        let now = self.clock();
        let due = self.fleet.as_ref().and_then(|driver| driver.part.wake());
        if due.is_some_and(|due| due <= now) {
            let stats = self.node.stats();
            self.with_fleet(|part, now, actions| {
                part.calls(call_outcomes(&stats));
                part.timeout(now, fleet_figures(&stats), actions);
            });
        }
    }

    /// Passes the stored configuration to the fleet logic. Called before its first timer.
    fn load_stored_configuration(&mut self) {
        let threads = self.fleet.as_ref().and_then(|driver| driver.configuration.as_ref());
        let Some(found) = threads.map(ConfigurationDriver::read_stored) else { return };
        self.with_fleet(|part, now, actions| part.found(now, found, actions));
    }

    /// Stops holding clients: calls are accepted from now on.
    fn release_clients(&mut self) {
        if std::mem::take(&mut self.clients_held) {
            self.handle(Input::HoldClients(false));
        }
    }

    fn handle_configuration_event(&mut self, event: ConfigurationEvent) {
        match event.0 {
            ConfigurationResult::Stored(result) => {
                self.with_fleet(|part, now, actions| part.kept(now, result, actions))
            }
            ConfigurationResult::Read { number, result } => {
                let result = result.and_then(|config| self.apply_configuration(number, *config));
                self.with_fleet(|part, now, actions| part.version_applied(now, number, result, actions));
            }
            ConfigurationResult::Checked { conn, order, parent, text, result } => {
                if let Some(threads) = self.fleet.as_mut().and_then(|driver| driver.configuration.as_mut()) {
                    threads.checked();
                }
                if !self.operators.contains_key(&conn) {
                    return;
                }
                self.with_fleet(|part, now, actions| {
                    let error = match result {
                        Ok(()) if part.configure(now, conn, &order, parent, &text, actions) => return,
                        Ok(()) => "this fleet agrees on no configuration".to_owned(),
                        Err(why) => why,
                    };
                    actions.push(Said::Answer(conn, json!({"ok": false, "order": order, "error": error})));
                });
            }
        }
    }

    /// Puts a configuration version in force within this loop iteration, completely or not at all.
    fn apply_configuration(&mut self, number: u64, config: Config) -> Result<(), String> {
        let Config { service: new, differs, .. } = config;
        let Some((fleet, driver)) = new.fleet.zip(self.fleet.as_ref()) else {
            return Err("this node is in no fleet".to_owned());
        };
        let members = (fleet.members != self.active.members).then(|| fleet.fleet_members());
        if let Some(members) = &members {
            driver.part.check_members(members)?;
        }
        let now = self.update_clock();
        self.node.configure(now, new.node, &mut self.outputs)?;
        if let Some(members) = members {
            self.with_fleet(|part, now, actions| part.set_members(now, members, actions));
            self.handle(Input::Members(fleet.peers()));
            self.active.members = fleet.members;
        }
        if new.feed.is_none() && new.servers != self.active.servers {
            self.handle(Input::List(ListNews::Complete(new.servers.clone())));
            self.active.servers = new.servers;
        }
        let version = new.rules.version();
        if std::mem::replace(&mut self.active.rules, version) != version {
            tracing::info!(node = &*self.host, "rules {version}");
            self.with_fleet(|part, now, actions| part.rules(now, new.rules, actions));
        }
        if self.clients_held && !differs.is_empty() {
            let fields = differs.join(", ");
            tracing::info!(
                node = &*self.host,
                "configuration {number} wins over this node's file in {fields}"
            );
        }
        tracing::info!(node = &*self.host, number, "configuration in force");
        Ok(())
    }

    /// Runs background work of the fleet logic: only while the loop is idle, and within its share of
    /// processor time.
    fn run_fleet_background_work(&mut self) {
        let now = self.clock();
        let idle = self.node.wake().is_none_or(|wake| wake > now) && self.outputs.is_empty();
        let due = self.fleet.as_ref().and_then(|driver| driver.part.work_at());
        if idle && due.is_some_and(|due| due <= now) {
            self.with_fleet(|part, now, actions| part.work(now, actions));
            let ended = self.clock();
            if let Some(driver) = &mut self.fleet {
                driver.part.worked(ended, ended - now);
            }
        }
    }

    async fn run(mut self) -> Stats {
        let to_instant = |start: Instant, at: Micros| start + Duration::from_micros(at.max(0) as u64);
        loop {
            // Reads the clock at least every half gap, so that a longer pause is recognised as a gap.
            let latest_check = self.last_clock + self.gap / 2;
            let fleet = self.fleet.as_ref().map(|driver| &driver.part);
            let fleet_timers =
                fleet.into_iter().flat_map(|part| part.wake().into_iter().chain(part.work_at()));
            let wake = self.node.wake().into_iter().chain(fleet_timers).fold(latest_check, Micros::min);
            let event = self.net.next(Some(to_instant(self.start, wake))).await;
            self.update_clock();
            let drained = self.process_batch(event).await;
            self.handle(Input::Timeout);
            self.run_fleet_timers();
            if self.clients_held && self.last_clock > MAX_CLIENT_HOLD_US {
                tracing::warn!(
                    node = &*self.host,
                    "what is in force is not decided: calls are taken as the file says"
                );
                self.release_clients();
            }
            self.write();
            if self.gap_pending {
                self.catch_up().await;
            } else if drained {
                self.run_fleet_background_work();
                self.write();
            }
            if self.is_finished() {
                return self.node.stats();
            }
        }
    }

    /// Reports whether the core has stopped and its remaining bytes are written or their time limit has
    /// passed.
    fn is_finished(&self) -> bool {
        let timed_out = |at: Micros| self.clock() > at + CLOSE_LIMIT_US;
        self.stopped.is_some_and(|at| self.closing.is_empty() || timed_out(at))
    }

    /// Handles an event and those queued behind it, within the limits of a batch. Returns whether the queue
    /// is empty.
    async fn process_batch(&mut self, mut event: Option<Event<Control>>) -> bool {
        let until = self.clock() + MAX_BATCH_US;
        for _ in 0..MAX_BATCH_EVENTS {
            match event.take() {
                Some(event) => self.handle_event(event).await,
                None => return true,
            }
            if self.clock() > until {
                return false;
            }
            event = self.net.try_next();
        }
        if let Some(event) = event {
            self.handle_event(event).await;
        }
        false
    }

    /// Passes all input that arrived during a gap to the core, and reports to it when that is done.
    async fn catch_up(&mut self) {
        while std::mem::take(&mut self.gap_pending) {
            let until = self.clock() + CATCH_UP_LIMIT_US;
            // The first poll may accept a connection, whose bytes only the second one finds.
            for _ in 0..2 {
                self.net.look().await;
                while let Some(event) = self.net.ready().await {
                    self.process_batch(Some(event)).await;
                    self.write();
                    if self.clock() > until {
                        break;
                    }
                }
            }
            // After a further gap during the reading, the input of that gap must be read too.
            self.update_clock();
        }
        self.handle(Input::BacklogDelivered);
    }

    /// Writes all output and reports to the core how many bytes were written.
    fn write(&mut self) {
        self.perform();
        for (conn, count) in self.net.flush() {
            self.handle(Input::Written(ConnId(conn), count));
            self.perform();
        }
        for conn in std::mem::take(&mut self.closing) {
            match self.net.waiting(conn) {
                0 => self.net.close(conn),
                _ => self.closing.push(conn),
            }
        }
    }

    /// Handles input on the control port: answers each complete line.
    fn handle_operator_input(&mut self, conn: u64, bytes: &[u8]) {
        let Some(mut buffer) = self.operators.remove(&conn) else { return };
        buffer.extend_from_slice(bytes);
        while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = buffer.drain(..=end).collect();
            let now = self.update_clock();
            let keeper = self.keeper.as_ref();
            let mut context = control::ControlContext {
                node: &mut self.node,
                keeper,
                fleet: self.fleet.as_mut(),
                now,
                conn,
            };
            if let Some(answer) = control::answer(&mut context, &line, &mut self.outputs, &mut self.actions) {
                self.net.send(conn, format!("{answer}\n").as_bytes());
            }
        }
        if buffer.len() > control::MAX_LINE_BYTES {
            return self.net.close(conn);
        }
        self.operators.insert(conn, buffer);
        self.with_fleet(|_, _, _| {});
    }

    async fn handle_event(&mut self, event: Event<Control>) {
        match event {
            Event::Accepted { tag: CONTROL_LISTENER, conn } => {
                self.operators.insert(conn, Vec::new());
            }
            Event::Accepted { conn, .. } => {
                self.handle(Input::Accepted(ConnId(conn)));
                if let Some(names) = self.net.peer_names(conn) {
                    self.handle(Input::Secured(ConnId(conn), names));
                }
            }
            Event::Bytes { conn, bytes } if self.operators.contains_key(&conn) => {
                self.handle_operator_input(conn, &bytes)
            }
            Event::Closed { conn } if self.operators.remove(&conn).is_some() => {
                self.with_fleet(|part, _, _| part.operator_left(conn));
            }
            Event::Dialled { tag, conn } => self.handle(Input::Dialled(PeerId(tag as u32), ConnId(conn))),
            Event::DialFailed { tag, .. } => self.handle(Input::DialFailed(PeerId(tag as u32))),
            Event::Bytes { conn, bytes } => {
                for slice in bytes.chunks(INPUT_CHUNK_BYTES) {
                    self.handle(Input::Bytes(ConnId(conn), slice));
                }
            }
            Event::Closed { conn } => self.handle(Input::Closed(ConnId(conn))),
            Event::Message(Control::List(news)) => self.handle(Input::List(news)),
            Event::Message(Control::ReloadTls) => match self.load_tls() {
                Ok(()) => tracing::info!(node = &*self.host, "certificate read again"),
                Err(why) => tracing::error!(node = &*self.host, %why, "the old certificate stays in force"),
            },
            Event::Message(Control::Certificates(event)) => self.handle_certificate_event(event),
            Event::Message(Control::Renew) => {
                if let Some(keeper) = &self.keeper {
                    keeper.renew_now();
                }
            }
            Event::Message(Control::Stored(batch, result)) => {
                self.with_fleet(|part, now, actions| part.stored(now, batch, result, actions));
            }
            Event::Message(Control::Configuration(event)) => self.handle_configuration_event(event),
            Event::Message(Control::Stop) => {
                self.stopping = true;
                self.handle(Input::Stop);
            }
            Event::Message(Control::Stats(answer)) => {
                let _ = answer.send(self.node.stats());
            }
            Event::Message(Control::Stall(time)) => {
                // Writes earlier decisions first, so that only input during the stall is delayed.
                self.write();
                std::thread::sleep(time);
            }
        }
    }
}
