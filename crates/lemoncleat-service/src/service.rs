//! The event loop around a node's core.

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

use lemoncleat_commons::{Part, Said};
use serde_json::json;

use crate::config::Config;
use crate::configuration::{ConfigurationDriver, ConfigurationNews, Done};
use crate::fleet::{calls, figures, FleetDriver, Stored};
use crate::{control, feed, log, FleetMember};

/// Events handled before what they led to is written, and how long that may take.
const BATCH: usize = 128;
const BATCH_TIME: Micros = 2_000;
/// Bytes given to the core with one look at the clock.
const SLICE: usize = 8 * 1024;
/// How long reading what came during a gap may take.
const CATCH_UP: Micros = 200_000;
/// How long after the core has stopped connections that it closed may take to write what they still hold.
const LAST_BYTES: Micros = 2_000_000;
/// How long clients are held at the most while it is decided what is in force at the start. The core decides well
/// before.
const LONGEST_HOLD: Micros = 8_000_000;
/// Tags of the listeners for peers and for operators.
const PEERS: u64 = 0;
const CONTROL: u64 = 1;

/// What a running node is told.
#[derive(Clone, Debug)]
pub struct ServiceSettings {
    /// The core's settings.
    pub node: NodeSettings,
    /// Where the list of servers is fed from.
    pub feed: Option<SocketAddr>,
    /// Servers known from the start; a feed replaces them.
    pub servers: Vec<ListEntry>,
    /// TLS on every connection with peers; without it all is plain.
    pub tls: Option<TlsSettings>,
    /// The control port; bound when the node starts.
    pub control: Option<SocketAddr>,
    /// Seed of the node's random choices; by default from the clock.
    pub seed: Option<u64>,
    /// What determines its decisions: the module's settings and the plan of the core's, as read.
    pub rules: Rules,
    /// What it shares with other nodes; `None` for a node on its own.
    pub fleet: Option<crate::FleetSettings>,
    /// The text of the settings file, with which a configuration that the fleet agrees on is read.
    pub text: Arc<str>,
}

/// Where a node's certificate comes from.
#[derive(Clone, Debug)]
pub enum TlsSource {
    /// Files that somebody else keeps.
    Files(TlsFiles),
    /// An authority, by ACME.
    Acme(Box<KeeperSettings>),
}

/// TLS of a node.
#[derive(Clone, Debug)]
pub struct TlsSettings {
    /// Where its certificate comes from.
    pub source: TlsSource,
    /// The file of authorities whose certificates are trusted at peers.
    pub authorities: PathBuf,
    /// The oldest TLS that is spoken.
    pub min: MinVersion,
    /// Most handshakes at once.
    pub handshakes: usize,
    /// How long one may take.
    pub time: Duration,
}

/// What a running node can be asked.
#[derive(Debug)]
pub enum Control {
    /// News of the list.
    List(ListNews),
    /// Read the certificate's files again: new handshakes use them, connections that stand live on.
    ReloadTls,
    /// What the keeper of its certificates tells.
    Certificates(KeeperEvent),
    /// Order a new certificate now.
    Renew,
    /// Stop in order.
    Stop,
    /// Do nothing for a while, as a process that gets no turn; for rehearsals.
    Stall(Duration),
    /// The thread that keeps what a voter promised has written a batch, or failed to.
    Stored(u64, Result<(), String>),
    /// What the threads of the fleet's configuration have done.
    Configuration(ConfigurationNews),
    /// Tell what was done so far.
    Stats(mpsc::Sender<Stats>),
}

/// A node that can't run.
#[derive(Debug)]
pub enum ServiceError {
    /// The decision module can't work with its settings.
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

/// A node on a thread of its own.
pub struct Running {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its control port.
    pub control_address: Option<SocketAddr>,
    /// Where it serves files for http-01.
    pub challenge_address: Option<SocketAddr>,
    mailbox: Mailbox<Control>,
    thread: JoinHandle<Result<Stats, ServiceError>>,
}

impl Running {
    /// Asks it something; nothing happens once it has ended.
    pub fn control(&self, control: Control) {
        let _ = self.mailbox.send_blocking(control);
    }

    /// What it has done so far; `None` once it has ended.
    pub fn stats(&self) -> Option<Stats> {
        let (sender, answer) = mpsc::channel();
        self.mailbox.send_blocking(Control::Stats(sender)).ok()?;
        answer.recv().ok()
    }

    /// Stops it in order and waits for its end.
    ///
    /// # Errors
    ///
    /// What ended it otherwise.
    pub fn stop(self) -> Result<Stats, ServiceError> {
        self.control(Control::Stop);
        self.thread
            .join()
            .unwrap_or_else(|_| Err(ServiceError::Settings("the node's thread panicked".to_owned())))
    }
}

/// What whoever started a node is told once it is there.
pub struct Started {
    /// A way to reach it.
    pub mailbox: Mailbox<Control>,
    /// Its control port.
    pub control: Option<SocketAddr>,
    /// Where it serves files for http-01.
    pub challenge: Option<SocketAddr>,
}

/// Runs a node on a thread of its own.
///
/// # Errors
///
/// When the listener's address can't be told or the thread not be started.
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
            _ => Err(ServiceError::Settings("the node ended at once".to_owned())),
        },
    }
}

/// Runs a node on the present thread until it is stopped. `ready` hears once it is there.
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
        // Seconds grow from start to start, as RFC 6733 section 8.16 suggests.
        let state_id = since_epoch.as_secs() as u32;
        let in_force = InForce {
            members: settings.fleet.as_ref().map(|fleet| fleet.members.clone()).unwrap_or_default(),
            servers: settings.servers.clone(),
            rules: settings.rules.version(),
        };
        let node =
            Node::new(settings.node, state_id, seed).map_err(|e| ServiceError::Settings(e.to_string()))?;
        for listener in listeners {
            listener.set_nonblocking(true)?;
            net.listen(listener, PEERS)?;
        }
        if let Some(address) = settings.feed {
            net.spawn(feed::follow(address, net.sender()));
        }
        let mut control_address = None;
        if let Some(address) = settings.control {
            let listener = TcpListener::bind(address)?;
            control_address = Some(listener.local_addr()?);
            net.listen(listener, CONTROL)?;
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
            looked: 0,
            away: false,
            stopping: false,
            stopped: None,
            closing: Vec::new(),
            keeper: None,
            fleet: None,
            said: Vec::new(),
            in_force,
            held: false,
        };
        service.load_tls().map_err(ServiceError::Settings)?;
        let rules = settings.rules;
        tracing::info!(node = &*service.host, "rules {}", rules.version());
        if let Some(settings) = &settings.fleet {
            let mailbox = service.net.sender();
            let stored = move |(batch, result): Stored| {
                // Once the loop has ended there is nobody to tell.
                let _ = mailbox.send_blocking(Control::Stored(batch, result));
            };
            let driver = FleetDriver::new(&service.host, settings, state_id, seed, stored);
            let mut driver = driver.map_err(ServiceError::Settings)?;
            driver.watch(rules, &settings.rules, &mut service.said);
            if let Some(directory) = &settings.configuration {
                let mailbox = service.net.sender();
                let done = move |news| {
                    // Once the loop has ended there is nobody to tell.
                    let _ = mailbox.send_blocking(Control::Configuration(news));
                };
                let threads = ConfigurationDriver::start(directory, base, done);
                driver.configuration = Some(threads.map_err(ServiceError::Settings)?);
                service.held = true;
                service.node.handle(0, Input::HoldClients(true), &mut service.outputs);
            }
            service.fleet = Some(driver);
        }
        service.start_keeper().map_err(ServiceError::Settings)?;
        let challenge = service.keeper.as_ref().and_then(Keeper::challenge_address);
        ready(Started { mailbox, control: control_address, challenge });
        service.looked = service.clock();
        if !settings.servers.is_empty() {
            service.handle(Input::List(ListNews::Complete(settings.servers)));
        }
        service.find_configuration();
        Ok(service.run().await)
    })
}

struct Service {
    tls: Option<TlsSettings>,
    /// What is shown to peers.
    identity: Option<Identity>,
    client_tls: Option<Arc<ClientConfig>>,
    node: Node,
    net: Net<Control>,
    start: Instant,
    host: Arc<str>,
    open: Duration,
    outputs: Vec<Output>,
    /// Connections of the control port, and what came on them.
    operators: HashMap<u64, Vec<u8>>,
    /// Two looks at the clock further apart than this have a gap between them.
    gap: Micros,
    /// The last look at the clock.
    looked: Micros,
    /// What came during a gap has not been read yet.
    away: bool,
    /// The core was told to stop.
    stopping: bool,
    /// The core has stopped; when.
    stopped: Option<Micros>,
    /// Connections that the stopping core has closed, with bytes left to write. The loop outlives them.
    closing: Vec<u64>,
    /// Keeps it in certificates, where they come by ACME.
    keeper: Option<Keeper>,
    /// Its part in a fleet.
    fleet: Option<FleetDriver>,
    said: Vec<Said>,
    /// Of what is in force, what is compared with a new version.
    in_force: InForce,
    /// Clients wait until it is decided what is in force at the start.
    held: bool,
}

struct InForce {
    members: Vec<FleetMember>,
    servers: Vec<ListEntry>,
    rules: Digest,
}

impl Service {
    fn clock(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    /// Looks at the clock, and tells the core if the loop had no turn for long before that.
    fn turn(&mut self) -> Micros {
        let now = self.clock();
        if now - self.looked > self.gap {
            self.node.handle(now, Input::Away(self.looked), &mut self.outputs);
            self.away = true;
        }
        self.looked = now;
        now
    }

    fn handle(&mut self, input: Input<'_>) {
        let now = self.turn();
        self.node.handle(now, input, &mut self.outputs);
    }

    /// Reads the files of TLS. What is in force stays so if they are not as they should be.
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
        self.net.listen_with_tls(PEERS, server, tls.handshakes, tls.time);
        (self.identity, self.client_tls) = (identity, Some(client));
        Ok(())
    }

    fn start_keeper(&mut self) -> Result<(), String> {
        let Some(TlsSource::Acme(settings)) = self.tls.as_ref().map(|tls| &tls.source) else { return Ok(()) };
        let mailbox = self.net.sender();
        let keeper = Keeper::start((**settings).clone(), move |event| {
            // Once the loop has ended there is nobody to tell.
            let _ = mailbox.send_blocking(Control::Certificates(event));
        });
        self.keeper = Some(keeper?);
        Ok(())
    }

    /// New handshakes show what the keeper says; connections that stand live on.
    fn certificates(&mut self, event: KeeperEvent) {
        match event {
            KeeperEvent::Present(identity) => {
                self.identity = identity;
                if let Err(why) = self.load_tls() {
                    tracing::error!(node = &*self.host, %why, "the new certificate is not shown");
                }
            }
            KeeperEvent::Prove(config, placed) => {
                self.net.prove_with_tls(PEERS, config);
                // The keeper waits for it, unless it has given up.
                let _ = placed.try_send(());
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

    /// Carries out what the core asked for.
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
                Output::Linked(member) => self.part(|part, now, said| part.linked(now, member, true, said)),
                Output::Unlinked(member) => {
                    self.part(|part, now, said| part.linked(now, member, false, said))
                }
                Output::Heard(member, bytes) => {
                    self.part(|part, now, said| part.heard(now, member, &bytes, said));
                }
            }
        }
    }

    /// Gives the fleet's part a turn and carries out what it says.
    fn part(&mut self, turn: impl FnOnce(&mut Part, Micros, &mut Vec<Said>)) {
        let now = self.clock();
        let Some(driver) = &mut self.fleet else { return };
        turn(&mut driver.part, now, &mut self.said);
        while !self.said.is_empty() {
            for said in std::mem::take(&mut self.said) {
                self.carry_out(now, said);
            }
        }
    }

    fn carry_out(&mut self, now: Micros, said: Said) {
        match said {
            Said::Meet(member) => self.handle(Input::Meet(member)),
            Said::Part(member) => self.handle(Input::Part(member)),
            Said::Word(member, bytes) => self.handle(Input::Word(member, &bytes)),
            Said::Answer(conn, answer) if self.operators.contains_key(&conn) => {
                self.net.send(conn, format!("{answer}\n").as_bytes());
            }
            Said::Answer(..) => {}
            Said::Store(batch) => {
                let number = batch.number;
                let Some(driver) = &mut self.fleet else { return };
                if !driver.store(batch) {
                    let why = Err("the thread that stores has ended".to_owned());
                    driver.part.stored(now, number, why, &mut self.said);
                }
            }
            Said::Fence(come_back) => self.handle(Input::Fence(come_back)),
            Said::Configure { number, text } => {
                let Some(driver) = &mut self.fleet else { return };
                if !driver.configuration.as_ref().is_some_and(|threads| threads.read(number, text)) {
                    let why = Err("the thread that reads texts has ended".to_owned());
                    driver.part.configured(now, number, why, &mut self.said);
                }
            }
            Said::Keep(bytes) => {
                let Some(driver) = &mut self.fleet else { return };
                if !driver.configuration.as_ref().is_some_and(|threads| threads.keep(bytes)) {
                    let why = Err("the thread that keeps the configuration has ended".to_owned());
                    driver.part.kept(now, why, &mut self.said);
                }
            }
            Said::Settled => self.admit(),
            Said::Log(true, text) => tracing::warn!(node = &*self.host, "{text}"),
            Said::Log(false, text) => tracing::info!(node = &*self.host, "{text}"),
        }
    }

    /// The fleet's part comes after all that calls want of a turn.
    fn fleet_turn(&mut self) {
        let now = self.clock();
        let due = self.fleet.as_ref().and_then(|driver| driver.part.wake());
        if due.is_some_and(|due| due <= now) {
            let stats = self.node.stats();
            self.part(|part, now, said| {
                part.calls(calls(&stats));
                part.timeout(now, figures(&stats), said);
            });
        }
    }

    /// Tells the fleet's part what was kept of the configuration. Before its first turn.
    fn find_configuration(&mut self) {
        let threads = self.fleet.as_ref().and_then(|driver| driver.configuration.as_ref());
        let Some(found) = threads.map(ConfigurationDriver::found) else { return };
        self.part(|part, now, said| part.found(now, found, said));
    }

    /// Calls are taken from now on.
    fn admit(&mut self) {
        if std::mem::take(&mut self.held) {
            self.handle(Input::HoldClients(false));
        }
    }

    fn configuration(&mut self, news: ConfigurationNews) {
        match news.0 {
            Done::Kept(result) => self.part(|part, now, said| part.kept(now, result, said)),
            Done::Read { number, result } => {
                let result = result.and_then(|config| self.put_in_force(number, *config));
                self.part(|part, now, said| part.configured(now, number, result, said));
            }
            Done::Checked { conn, order, parent, text, result } => {
                if let Some(threads) = self.fleet.as_mut().and_then(|driver| driver.configuration.as_mut()) {
                    threads.checked();
                }
                if !self.operators.contains_key(&conn) {
                    return;
                }
                self.part(|part, now, said| {
                    let error = match result {
                        Ok(()) if part.configure(now, conn, &order, parent, &text, said) => return,
                        Ok(()) => "this fleet agrees on no configuration".to_owned(),
                        Err(why) => why,
                    };
                    said.push(Said::Answer(conn, json!({"ok": false, "order": order, "error": error})));
                });
            }
        }
    }

    /// Puts a version in force within this turn, whole or not at all.
    fn put_in_force(&mut self, number: u64, config: Config) -> Result<(), String> {
        let Config { service: new, differs, .. } = config;
        let Some((fleet, driver)) = new.fleet.zip(self.fleet.as_ref()) else {
            return Err("this node is in no fleet".to_owned());
        };
        let members = (fleet.members != self.in_force.members).then(|| fleet.carried());
        if let Some(members) = &members {
            driver.part.check_members(members)?;
        }
        let now = self.turn();
        self.node.configure(now, new.node, &mut self.outputs)?;
        if let Some(members) = members {
            self.part(|part, now, said| part.set_members(now, members, said));
            self.handle(Input::Members(fleet.peers()));
            self.in_force.members = fleet.members;
        }
        if new.feed.is_none() && new.servers != self.in_force.servers {
            self.handle(Input::List(ListNews::Complete(new.servers.clone())));
            self.in_force.servers = new.servers;
        }
        let version = new.rules.version();
        if std::mem::replace(&mut self.in_force.rules, version) != version {
            tracing::info!(node = &*self.host, "rules {version}");
            self.part(|part, now, said| part.rules(now, new.rules, said));
        }
        if self.held && !differs.is_empty() {
            let fields = differs.join(", ");
            tracing::info!(
                node = &*self.host,
                "configuration {number} wins over this node's file in {fields}"
            );
        }
        tracing::info!(node = &*self.host, number, "configuration in force");
        Ok(())
    }

    /// Work of the fleet's part that nobody waits for: only where nothing else waits, and as much as its share of
    /// the processor allows.
    fn fleet_work(&mut self) {
        let now = self.clock();
        let idle = self.node.wake().is_none_or(|wake| wake > now) && self.outputs.is_empty();
        let due = self.fleet.as_ref().and_then(|driver| driver.part.work_at());
        if idle && due.is_some_and(|due| due <= now) {
            self.part(|part, now, said| part.work(now, said));
            let ended = self.clock();
            if let Some(driver) = &mut self.fleet {
                driver.part.worked(ended, ended - now);
            }
        }
    }

    async fn run(mut self) -> Stats {
        let moment = |start: Instant, at: Micros| start + Duration::from_micros(at.max(0) as u64);
        loop {
            // Between two looks lies at most half a gap, so that a longer pause is seen for what it is.
            let beat = self.looked + self.gap / 2;
            let part = self.fleet.as_ref().map(|driver| &driver.part);
            let part = part.into_iter().flat_map(|part| part.wake().into_iter().chain(part.work_at()));
            let wake = self.node.wake().into_iter().chain(part).fold(beat, Micros::min);
            let event = self.net.next(Some(moment(self.start, wake))).await;
            self.turn();
            let all = self.batch(event).await;
            self.handle(Input::Timeout);
            self.fleet_turn();
            if self.held && self.looked > LONGEST_HOLD {
                tracing::warn!(
                    node = &*self.host,
                    "what is in force is not decided: calls are taken as the file says"
                );
                self.admit();
            }
            self.write();
            if self.away {
                self.catch_up().await;
            } else if all {
                self.fleet_work();
                self.write();
            }
            if self.ended() {
                return self.node.stats();
            }
        }
    }

    /// Whether the core has stopped and what it gave for connections is written, or has had its time.
    fn ended(&self) -> bool {
        let late = |at: Micros| self.clock() > at + LAST_BYTES;
        self.stopped.is_some_and(|at| self.closing.is_empty() || late(at))
    }

    /// Handles an event and those that are there behind it, as far as what they lead to can wait. Tells whether
    /// those were all.
    async fn batch(&mut self, mut event: Option<Event<Control>>) -> bool {
        let until = self.clock() + BATCH_TIME;
        for _ in 0..BATCH {
            match event.take() {
                Some(event) => self.event(event).await,
                None => return true,
            }
            if self.clock() > until {
                return false;
            }
            event = self.net.try_next();
        }
        if let Some(event) = event {
            self.event(event).await;
        }
        false
    }

    /// After a gap: hands over all that came meanwhile, and tells the core when that is done.
    async fn catch_up(&mut self) {
        while std::mem::take(&mut self.away) {
            let until = self.clock() + CATCH_UP;
            // What is met first may be an accepted connection, whose bytes only the second look finds.
            for _ in 0..2 {
                self.net.look().await;
                while let Some(event) = self.net.ready().await {
                    self.batch(Some(event)).await;
                    self.write();
                    if self.clock() > until {
                        break;
                    }
                }
            }
            // A further gap while reading: what came in that is to be read too.
            self.turn();
        }
        self.handle(Input::CaughtUp);
    }

    /// Writes what there is and tells the core how much went out.
    fn write(&mut self) {
        self.perform();
        for (conn, count) in self.net.flush() {
            self.handle(Input::Wrote(ConnId(conn), count));
            self.perform();
        }
        for conn in std::mem::take(&mut self.closing) {
            match self.net.waiting(conn) {
                0 => self.net.close(conn),
                _ => self.closing.push(conn),
            }
        }
    }

    /// Bytes on the control port: each whole line is answered.
    fn operator(&mut self, conn: u64, bytes: &[u8]) {
        let Some(mut held) = self.operators.remove(&conn) else { return };
        held.extend_from_slice(bytes);
        while let Some(end) = held.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = held.drain(..=end).collect();
            let now = self.turn();
            let keeper = self.keeper.as_ref();
            let mut at = control::At { node: &mut self.node, keeper, fleet: self.fleet.as_mut(), now, conn };
            if let Some(answer) = control::answer(&mut at, &line, &mut self.outputs, &mut self.said) {
                self.net.send(conn, format!("{answer}\n").as_bytes());
            }
        }
        if held.len() > control::MAX_LINE {
            return self.net.close(conn);
        }
        self.operators.insert(conn, held);
        self.part(|_, _, _| {});
    }

    async fn event(&mut self, event: Event<Control>) {
        match event {
            Event::Accepted { tag: CONTROL, conn } => {
                self.operators.insert(conn, Vec::new());
            }
            Event::Accepted { conn, .. } => {
                self.handle(Input::Accepted(ConnId(conn)));
                if let Some(names) = self.net.peer_names(conn) {
                    self.handle(Input::Secured(ConnId(conn), names));
                }
            }
            Event::Bytes { conn, bytes } if self.operators.contains_key(&conn) => self.operator(conn, &bytes),
            Event::Closed { conn } if self.operators.remove(&conn).is_some() => {
                self.part(|part, _, _| part.operator_left(conn));
            }
            Event::Dialled { tag, conn } => self.handle(Input::Dialled(PeerId(tag as u32), ConnId(conn))),
            Event::DialFailed { tag, .. } => self.handle(Input::DialFailed(PeerId(tag as u32))),
            Event::Bytes { conn, bytes } => {
                for slice in bytes.chunks(SLICE) {
                    self.handle(Input::Bytes(ConnId(conn), slice));
                }
            }
            Event::Closed { conn } => self.handle(Input::Closed(ConnId(conn))),
            Event::Message(Control::List(news)) => self.handle(Input::List(news)),
            Event::Message(Control::ReloadTls) => match self.load_tls() {
                Ok(()) => tracing::info!(node = &*self.host, "certificate read again"),
                Err(why) => tracing::error!(node = &*self.host, %why, "the old certificate stays in force"),
            },
            Event::Message(Control::Certificates(event)) => self.certificates(event),
            Event::Message(Control::Renew) => {
                if let Some(keeper) = &self.keeper {
                    keeper.renew_now();
                }
            }
            Event::Message(Control::Stored(batch, result)) => {
                self.part(|part, now, said| part.stored(now, batch, result, said));
            }
            Event::Message(Control::Configuration(news)) => self.configuration(news),
            Event::Message(Control::Stop) => {
                self.stopping = true;
                self.handle(Input::Stop);
            }
            Event::Message(Control::Stats(answer)) => {
                let _ = answer.send(self.node.stats());
            }
            Event::Message(Control::Stall(time)) => {
                // What was decided before is on its way; only what comes meanwhile waits.
                self.write();
                std::thread::sleep(time);
            }
        }
    }
}
