//! The peer state machine of RFC 6733 section 5.6, with capabilities exchange, election, watchdog,
//! orderly disconnect and reconnection.

use std::fmt;
use std::net::IpAddr;
use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::check::{check_request, refusal, Fault};
use crate::dictionary::{self as d};
use crate::message::{MessageBuilder, MessageRef};
use crate::value::{Address, Value};
use crate::watchdog::{Watchdog, WatchdogAction, WatchdogState};
use crate::{result_code, Micros};

/// A transport connection, as named by the driver. Never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u64);

/// What this node says of itself.
#[derive(Clone, Debug)]
pub struct Local {
    /// Origin-Host.
    pub host: Arc<str>,
    /// Origin-Realm.
    pub realm: Arc<str>,
    /// Product-Name.
    pub product: Arc<str>,
    /// Host-IP-Address, once for each.
    pub addresses: Vec<IpAddr>,
    /// Auth-Application-Id, once for each.
    pub applications: Vec<u32>,
    /// Origin-State-Id: grows at each start that lost its sessions.
    pub state_id: u32,
    /// Further AVPs of its CER and CEA, with their values.
    pub further: Vec<(d::Key, Vec<u8>)>,
}

impl Local {
    /// Origin-Host and Origin-Realm, which every message carries.
    #[must_use]
    pub fn sign(&self, message: MessageBuilder) -> MessageBuilder {
        message.add_str(d::ORIGIN_HOST, &self.host).add_str(d::ORIGIN_REALM, &self.realm)
    }

    fn capabilities(&self, mut message: MessageBuilder) -> MessageBuilder {
        message = self.sign(message);
        for address in &self.addresses {
            let mut bytes = Vec::new();
            Value::Address(Address::Ip(*address)).encode(&mut bytes);
            message = message.add(d::HOST_IP_ADDRESS, &bytes);
        }
        message = message.add_u32(d::VENDOR_ID, d::VENDOR).add_str(d::PRODUCT_NAME, &self.product);
        message =
            message.add_u32(d::ORIGIN_STATE_ID, self.state_id).add_u32(d::SUPPORTED_VENDOR_ID, d::VENDOR);
        for application in &self.applications {
            message = message.add_u32(d::AUTH_APPLICATION_ID, *application);
        }
        for (avp, value) in &self.further {
            message = message.add(*avp, value);
        }
        message
    }

    /// The CEA that turns a CER away.
    pub fn refuse_capabilities(&self, cer: &MessageRef<'_>, fault: &Fault) -> Vec<u8> {
        refusal(cer, fault, &self.host, &self.realm)
    }
}

/// Waits between attempts to connect: doubling from `first` to `most`, each cut by up to a half at random.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// The first wait.
    pub first: Micros,
    /// The longest wait.
    pub most: Micros,
}

impl Backoff {
    /// The wait after `failures` failures in a row.
    pub fn wait(&self, failures: u32, rng: &mut SmallRng) -> Micros {
        let full = self.first.saturating_mul(1 << failures.min(30)).min(self.most).max(1);
        full - rng.random_range(0..=full / 2)
    }
}

/// How a peer is dealt with.
#[derive(Clone, Debug)]
pub struct PeerSettings {
    /// Its Origin-Host.
    pub host: Arc<str>,
    /// This node dials it; otherwise it is only waited for.
    pub dial: bool,
    /// A new connection from it replaces one that has stood for at least this long, in microseconds: a peer that
    /// lost its connection needs that, long before the watchdog here tells that it is lost. With 0 the new one is
    /// trusted at once. `None`: it is turned away while one is open, as section 5.6 has it.
    pub replace: Option<Micros>,
    /// Tw.
    pub watchdog: Micros,
    /// Waits between dials.
    pub backoff: Backoff,
    /// How long connecting and the capabilities exchange may take together.
    pub open_timeout: Micros,
    /// How long the peer may take to close after DPR and DPA.
    pub close_timeout: Micros,
}

/// The states of section 5.6.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// No connection.
    Closed,
    /// A connection is being dialled.
    WaitConnAck,
    /// CER was sent on the dialled connection.
    WaitICea,
    /// The peer connected while the own connection is being dialled.
    WaitConnAckElect,
    /// The election is lost; the peer decides on the dialled connection.
    WaitReturns,
    /// Open on the connection that the peer made.
    ROpen,
    /// Open on the connection that was dialled.
    IOpen,
    /// DPR was sent or received.
    Closing,
}

/// Disconnect-Cause (section 5.4.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisconnectCause {
    /// It will be back soon.
    Rebooting,
    /// It is short of resources.
    Busy,
    /// It sees no need for the connection.
    DoNotWantToTalkToYou,
}

impl DisconnectCause {
    /// Its number on the wire.
    pub fn code(self) -> u32 {
        match self {
            DisconnectCause::Rebooting => 0,
            DisconnectCause::Busy => 1,
            DisconnectCause::DoNotWantToTalkToYou => 2,
        }
    }

    /// Unknown numbers count as a peer that does not want to talk.
    pub fn from_code(code: u32) -> Self {
        match code {
            0 => DisconnectCause::Rebooting,
            1 => DisconnectCause::Busy,
            _ => DisconnectCause::DoNotWantToTalkToYou,
        }
    }
}

/// Why a peer is down.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DownReason {
    /// The connection was lost.
    Lost,
    /// The watchdog gave up.
    Watchdog,
    /// It was ended in order, by either side.
    Disconnected,
    /// A newer connection from the same peer took its place.
    Replaced,
}

/// What a peer is told.
#[derive(Clone, Copy, Debug)]
pub enum PeerInput<'a> {
    /// Begin to dial, if nothing is under way; after an end that was asked for, dial again.
    Start,
    /// The dialled connection stands.
    Dialled(ConnId),
    /// Dialling failed.
    DialFailed,
    /// The peer connected, and this is its CER.
    Accepted(ConnId, &'a MessageRef<'a>),
    /// A message came on one of its connections.
    Message(ConnId, &'a MessageRef<'a>),
    /// A connection was closed by the peer or the network.
    Closed(ConnId),
    /// End the connection in order.
    Disconnect(DisconnectCause),
    /// The time at [`Peer::due`] has come.
    Timeout,
    /// This end got no turn for so long (microseconds): that time counts for no wait for the peer.
    Away(Micros),
}

/// What a peer asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerOutput {
    /// Dial; answer with [`PeerInput::Dialled`] or [`PeerInput::DialFailed`].
    Dial,
    /// Stop dialling, or close the connection if it came to stand meanwhile.
    StopDial,
    /// Send bytes.
    Send(ConnId, Vec<u8>),
    /// Close a connection.
    Close(ConnId),
    /// The capabilities were exchanged on this connection; the peer may not be usable yet. With the CER or CEA
    /// that the peer sent.
    Open(ConnId, Vec<u8>),
    /// The peer may be sent requests.
    Usable,
    /// It must not be sent requests for now; the connection stands.
    Suspect,
    /// It asked to end the connection: send nothing new.
    Draining(DisconnectCause),
    /// The open connection is gone.
    Down(DownReason),
    /// A connection did not come to be open, and why.
    Refused(String),
    /// The message is for the application.
    Deliver,
}

/// The machine of one peer.
#[derive(Debug)]
pub struct Peer {
    local: Arc<Local>,
    settings: PeerSettings,
    state: State,
    initiator: Option<ConnId>,
    responder: Option<ConnId>,
    waiting_cer: Option<Vec<u8>>,
    /// When the connection was opened.
    opened: Micros,
    watchdog: Watchdog,
    usable: bool,
    failures: u32,
    dial_at: Option<Micros>,
    limit_at: Option<Micros>,
    dialling: bool,
    in_order: bool,
    /// Ended from this side: not dialled until [`PeerInput::Start`].
    stopped: bool,
    next_id: u32,
    rng: SmallRng,
}

impl fmt::Display for Peer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({:?}, {:?})", self.settings.host, self.state, self.watchdog.state())
    }
}

impl Peer {
    /// A peer without a connection. The seed spreads its waits.
    pub fn new(local: Arc<Local>, settings: PeerSettings, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let watchdog = Watchdog::new(settings.watchdog);
        let next_id = rng.random();
        Peer {
            local,
            settings,
            state: State::Closed,
            initiator: None,
            responder: None,
            waiting_cer: None,
            opened: 0,
            watchdog,
            usable: false,
            failures: 0,
            dial_at: None,
            limit_at: None,
            dialling: false,
            in_order: false,
            stopped: false,
            next_id,
            rng,
        }
    }

    /// Dials no more until [`PeerInput::Start`]. A connection that stands stays, and the peer may still make
    /// one; a dial that is under way is seen through.
    pub fn rest(&mut self) {
        self.stopped = true;
        self.dial_at = None;
    }

    /// The peer's Origin-Host.
    pub fn host(&self) -> &Arc<str> {
        &self.settings.host
    }

    /// Its state.
    pub fn state(&self) -> State {
        self.state
    }

    /// How far it is trusted.
    pub fn watchdog(&self) -> WatchdogState {
        self.watchdog.state()
    }

    /// Whether it may be sent requests.
    pub fn is_usable(&self) -> bool {
        self.usable && self.is_open()
    }

    /// Whether it is open.
    pub fn is_open(&self) -> bool {
        matches!(self.state, State::ROpen | State::IOpen)
    }

    /// Whether nothing goes on and nothing is planned.
    pub fn is_idle(&self) -> bool {
        self.state == State::Closed && self.dial_at.is_none()
    }

    /// The connection in use: open, or about to be closed in order.
    pub fn connection(&self) -> Option<ConnId> {
        match self.state {
            State::ROpen | State::IOpen | State::Closing => self.initiator.or(self.responder),
            _ => None,
        }
    }

    /// When to call with [`PeerInput::Timeout`].
    pub fn due(&self) -> Option<Micros> {
        [self.dial_at, self.limit_at, self.watchdog.due()].into_iter().flatten().min()
    }

    fn id(&mut self) -> u32 {
        // The lower half of the identifiers is the application's.
        self.next_id = self.next_id.wrapping_add(1) | 0x8000_0000;
        self.next_id
    }

    fn base_request(&mut self, command: u32) -> MessageBuilder {
        let (hop, end) = (self.id(), self.id());
        MessageBuilder::request(command, d::APP_BASE, false, hop, end)
    }

    fn dial(&mut self, now: Micros, out: &mut Vec<PeerOutput>) {
        self.state = State::WaitConnAck;
        self.dialling = true;
        self.dial_at = None;
        self.limit_at = Some(now + self.settings.open_timeout);
        out.push(PeerOutput::Dial);
    }

    /// After a failed or lost connection: dial again after a wait, if this side dials.
    fn retry(&mut self, now: Micros) {
        self.state = State::Closed;
        self.limit_at = None;
        if self.settings.dial && !self.stopped {
            self.dial_at = Some(now + self.settings.backoff.wait(self.failures, &mut self.rng));
            self.failures = self.failures.saturating_add(1);
        }
    }

    fn stop_initiating(&mut self, out: &mut Vec<PeerOutput>) {
        if self.dialling {
            self.dialling = false;
            out.push(PeerOutput::StopDial);
        }
        if let Some(conn) = self.initiator.take() {
            out.push(PeerOutput::Close(conn));
        }
    }

    fn refuse(&mut self, now: Micros, why: String, out: &mut Vec<PeerOutput>) {
        self.stop_initiating(out);
        if let Some(conn) = self.responder.take() {
            out.push(PeerOutput::Close(conn));
        }
        out.push(PeerOutput::Refused(why));
        self.retry(now);
    }

    fn open(&mut self, now: Micros, state: State, message: &MessageRef<'_>, out: &mut Vec<PeerOutput>) {
        self.state = state;
        self.opened = now;
        self.limit_at = None;
        self.dial_at = None;
        self.failures = 0;
        self.in_order = false;
        if let Some(conn) = self.connection() {
            out.push(PeerOutput::Open(conn, message.bytes.to_vec()));
        }
        let action = self.watchdog.connected(now, &mut self.rng);
        self.watch(now, action, out);
    }

    fn watch(&mut self, now: Micros, action: Option<WatchdogAction>, out: &mut Vec<PeerOutput>) {
        match action {
            Some(WatchdogAction::Send) => {
                if let Some(conn) = self.connection() {
                    let request = self.base_request(d::CMD_WATCHDOG);
                    let request = self.local.sign(request).add_u32(d::ORIGIN_STATE_ID, self.local.state_id);
                    out.push(PeerOutput::Send(conn, request.build()));
                }
            }
            Some(WatchdogAction::Failover) => {
                self.usable = false;
                out.push(PeerOutput::Suspect);
            }
            Some(WatchdogAction::Failback) => {
                self.usable = true;
                out.push(PeerOutput::Usable);
            }
            Some(WatchdogAction::Close) => {
                if let Some(conn) = self.connection() {
                    out.push(PeerOutput::Close(conn));
                }
                self.down(now, DownReason::Watchdog, out);
            }
            None => {}
        }
    }

    fn down(&mut self, now: Micros, reason: DownReason, out: &mut Vec<PeerOutput>) {
        let reason =
            if self.in_order && reason == DownReason::Lost { DownReason::Disconnected } else { reason };
        self.initiator = None;
        self.responder = None;
        self.usable = false;
        let replaced = reason == DownReason::Replaced && self.settings.replace == Some(0);
        self.watchdog.disconnected(replaced || reason == DownReason::Disconnected);
        out.push(PeerOutput::Down(reason));
        self.retry(now);
        self.in_order = false;
    }

    fn send_cea(&mut self, conn: ConnId, cer: &MessageRef<'_>, out: &mut Vec<PeerOutput>) {
        let answer = MessageBuilder::answer(cer, result_code::SUCCESS);
        out.push(PeerOutput::Send(conn, self.local.capabilities(answer).build()));
    }

    /// What a CER or CEA must have: an application in common.
    fn capabilities_fit(&self, message: &MessageRef<'_>) -> Result<(), Fault> {
        let common =
            |application: u32| application == d::APP_RELAY || self.local.applications.contains(&application);
        let offered = message.avps().map_while(Result::ok).any(|avp| {
            if avp.code == d::AUTH_APPLICATION_ID.code && avp.vendor.is_none() {
                return avp.as_u32().is_some_and(common);
            }
            avp.code == d::VENDOR_SPECIFIC_APPLICATION_ID.code
                && avp
                    .group()
                    .find(d::AUTH_APPLICATION_ID.code, None)
                    .and_then(|a| a.as_u32())
                    .is_some_and(common)
        });
        if offered {
            return Ok(());
        }
        let text = "no application in common".to_owned();
        Err(Fault { result: result_code::NO_COMMON_APPLICATION, text, failed: Vec::new() })
    }

    /// Takes an input. A [`PeerOutput::Deliver`] says that the message of this input is the application's.
    pub fn handle(&mut self, now: Micros, input: PeerInput<'_>, out: &mut Vec<PeerOutput>) {
        match input {
            PeerInput::Start => {
                // While a connection is being ended it is enough that the end leads to a new one.
                self.stopped = false;
                if self.state == State::Closed && self.settings.dial && self.dial_at.is_none() {
                    self.failures = 0;
                    self.dial(now, out);
                }
            }
            PeerInput::Dialled(conn) => self.dialled(now, conn, out),
            PeerInput::DialFailed => {
                if !std::mem::take(&mut self.dialling) {
                    return;
                }
                match self.state {
                    State::WaitConnAck => {
                        out.push(PeerOutput::Refused("connection failed".to_owned()));
                        self.retry(now);
                    }
                    // I-Rcv-Conn-Nack: the peer's connection is taken.
                    State::WaitConnAckElect => self.take_responder(now, out),
                    _ => {}
                }
            }
            PeerInput::Accepted(conn, cer) => self.accepted(now, conn, cer, out),
            PeerInput::Message(conn, message) => self.message(now, conn, message, out),
            PeerInput::Closed(conn) => self.closed(now, conn, out),
            PeerInput::Disconnect(cause) => self.disconnect(now, cause, out),
            PeerInput::Timeout => self.timeout(now, out),
            PeerInput::Away(time) => {
                self.limit_at = self.limit_at.map(|at| at + time);
                self.watchdog.away(time);
            }
        }
    }

    fn dialled(&mut self, now: Micros, conn: ConnId, out: &mut Vec<PeerOutput>) {
        if !std::mem::take(&mut self.dialling) {
            out.push(PeerOutput::Close(conn));
            return;
        }
        let request = self.base_request(d::CMD_CAPABILITIES);
        let cer = self.local.capabilities(request).build();
        match self.state {
            State::WaitConnAck => {
                self.initiator = Some(conn);
                self.state = State::WaitICea;
                out.push(PeerOutput::Send(conn, cer));
            }
            State::WaitConnAckElect => {
                self.initiator = Some(conn);
                out.push(PeerOutput::Send(conn, cer));
                self.elect(now, out);
            }
            _ => out.push(PeerOutput::Close(conn)),
        }
    }

    /// Section 5.6.4: the responder whose Origin-Host comes later keeps the peer's connection.
    fn elect(&mut self, now: Micros, out: &mut Vec<PeerOutput>) {
        if self.local.host.as_bytes() > self.settings.host.as_bytes() {
            self.take_responder(now, out);
        } else {
            self.state = State::WaitReturns;
        }
    }

    /// Win-Election: the own connection goes, the peer's is answered and opened.
    fn take_responder(&mut self, now: Micros, out: &mut Vec<PeerOutput>) {
        self.stop_initiating(out);
        let cer = self.waiting_cer.take();
        let parsed = cer.as_deref().and_then(|bytes| MessageRef::parse(bytes).ok());
        match (self.responder, parsed) {
            (Some(conn), Some(cer)) => {
                self.send_cea(conn, &cer, out);
                self.open(now, State::ROpen, &cer, out);
            }
            _ => self.retry(now),
        }
    }

    /// Whether a new connection takes the place of the one that stands. Where both ends dial, a CER that comes right
    /// after the other connection opened belongs to an election that is over, and is the loser.
    fn replaces(&self, now: Micros) -> bool {
        self.settings.replace.is_some_and(|span| now - self.opened >= span)
    }

    fn accepted(&mut self, now: Micros, conn: ConnId, cer: &MessageRef<'_>, out: &mut Vec<PeerOutput>) {
        if let Err(fault) = check_request(cer).and_then(|()| self.capabilities_fit(cer)) {
            out.push(PeerOutput::Send(conn, self.local.refuse_capabilities(cer, &fault)));
            out.push(PeerOutput::Close(conn));
            out.push(PeerOutput::Refused(fault.text));
            return;
        }
        match self.state {
            State::Closed => {
                self.responder = Some(conn);
                self.send_cea(conn, cer, out);
                self.open(now, State::ROpen, cer, out);
            }
            State::WaitConnAck => {
                self.responder = Some(conn);
                self.waiting_cer = Some(cer.bytes.to_vec());
                self.state = State::WaitConnAckElect;
            }
            State::WaitICea => {
                self.responder = Some(conn);
                self.waiting_cer = Some(cer.bytes.to_vec());
                self.elect(now, out);
            }
            State::ROpen | State::IOpen | State::Closing if self.replaces(now) => {
                if let Some(old) = self.connection() {
                    out.push(PeerOutput::Close(old));
                }
                self.down(now, DownReason::Replaced, out);
                self.responder = Some(conn);
                self.send_cea(conn, cer, out);
                self.open(now, State::ROpen, cer, out);
            }
            _ => out.push(PeerOutput::Close(conn)),
        }
    }

    fn message(&mut self, now: Micros, conn: ConnId, message: &MessageRef<'_>, out: &mut Vec<PeerOutput>) {
        let head = &message.header;
        if self.connection() == Some(conn) {
            self.open_message(now, conn, message, out);
        } else if self.initiator == Some(conn)
            && head.command == d::CMD_CAPABILITIES
            && !head.is_request()
            && matches!(self.state, State::WaitICea | State::WaitReturns)
        {
            self.capabilities_answer(now, message, out);
        } else if self.initiator == Some(conn) {
            self.refuse(now, "something other than a CEA came first".to_owned(), out);
        } else {
            out.push(PeerOutput::Close(conn));
        }
    }

    fn capabilities_answer(&mut self, now: Micros, cea: &MessageRef<'_>, out: &mut Vec<PeerOutput>) {
        let result = cea.result_code();
        if result != result_code::SUCCESS {
            let name = result_code::name(result).unwrap_or("unknown");
            let why = format!("the peer answered the CER with {result} ({name})");
            if self.state == State::WaitReturns && result == result_code::ELECTION_LOST {
                self.take_responder(now, out);
            } else {
                self.refuse(now, why, out);
            }
            return;
        }
        let host = cea.text(d::ORIGIN_HOST).unwrap_or_default();
        if !host.eq_ignore_ascii_case(&self.settings.host) {
            let why = format!("the peer calls itself {host:?}, expected {:?}", &*self.settings.host);
            return self.refuse(now, why, out);
        }
        if let Err(fault) = self.capabilities_fit(cea) {
            return self.refuse(now, fault.text, out);
        }
        if let Some(conn) = self.responder.take() {
            out.push(PeerOutput::Close(conn));
        }
        self.waiting_cer = None;
        self.open(now, State::IOpen, cea, out);
    }

    fn open_message(
        &mut self,
        now: Micros,
        conn: ConnId,
        message: &MessageRef<'_>,
        out: &mut Vec<PeerOutput>,
    ) {
        let head = message.header;
        if head.command == d::CMD_WATCHDOG && !head.is_request() {
            let action = self.watchdog.answered(now, &mut self.rng);
            return self.watch(now, action, out);
        }
        let action = self.watchdog.heard(now, &mut self.rng);
        self.watch(now, action, out);
        match (head.command, head.is_request()) {
            (d::CMD_WATCHDOG | d::CMD_DISCONNECT | d::CMD_CAPABILITIES, true) => {
                if let Err(fault) = check_request(message) {
                    out.push(PeerOutput::Send(
                        conn,
                        refusal(message, &fault, &self.local.host, &self.local.realm),
                    ));
                    return;
                }
                let answer = MessageBuilder::answer(message, result_code::SUCCESS);
                if head.command == d::CMD_CAPABILITIES {
                    // R-Rcv-CER on an open connection: answered with the same capabilities.
                    out.push(PeerOutput::Send(conn, self.local.capabilities(answer).build()));
                    return;
                }
                let answer = self.local.sign(answer);
                if head.command == d::CMD_WATCHDOG {
                    let answer = answer.add_u32(d::ORIGIN_STATE_ID, self.local.state_id);
                    out.push(PeerOutput::Send(conn, answer.build()));
                    return;
                }
                out.push(PeerOutput::Send(conn, answer.build()));
                let cause = DisconnectCause::from_code(message.number(d::DISCONNECT_CAUSE).unwrap_or(2));
                if self.state == State::Closing {
                    return;
                }
                self.state = State::Closing;
                self.usable = false;
                self.in_order = true;
                self.limit_at = Some(now + self.settings.close_timeout);
                if cause != DisconnectCause::Rebooting {
                    // Sections 5.4.3 and 5.4: not to be dialled again soon.
                    self.failures = self.failures.max(16);
                }
                out.push(PeerOutput::Draining(cause));
            }
            (d::CMD_DISCONNECT, false) => {
                if self.state == State::Closing {
                    out.push(PeerOutput::Close(conn));
                    self.in_order = true;
                    self.down(now, DownReason::Disconnected, out);
                }
            }
            (d::CMD_CAPABILITIES, false) => {}
            // While closing, answers to what is out still count. A peer that asked for the end asks for
            // nothing new; what it wrote before it read this end's DPR is the application's to answer.
            (_, true) if self.state == State::Closing && !self.stopped => {}
            _ => out.push(PeerOutput::Deliver),
        }
    }

    fn closed(&mut self, now: Micros, conn: ConnId, out: &mut Vec<PeerOutput>) {
        if self.connection() == Some(conn) {
            return self.down(now, DownReason::Lost, out);
        }
        if self.responder == Some(conn) {
            self.responder = None;
            self.waiting_cer = None;
            match self.state {
                State::WaitConnAckElect => self.state = State::WaitConnAck,
                State::WaitReturns => self.state = State::WaitICea,
                _ => {}
            }
        } else if self.initiator == Some(conn) {
            self.initiator = None;
            match self.state {
                State::WaitReturns => self.take_responder(now, out),
                State::WaitICea => {
                    out.push(PeerOutput::Refused("closed before the CEA".to_owned()));
                    self.retry(now);
                }
                _ => {}
            }
        }
    }

    fn disconnect(&mut self, now: Micros, cause: DisconnectCause, out: &mut Vec<PeerOutput>) {
        self.stopped = true;
        match self.state {
            State::ROpen | State::IOpen => {
                let request = self.base_request(d::CMD_DISCONNECT);
                let request = self.local.sign(request).add_u32(d::DISCONNECT_CAUSE, cause.code());
                if let Some(conn) = self.connection() {
                    out.push(PeerOutput::Send(conn, request.build()));
                }
                self.state = State::Closing;
                self.usable = false;
                self.in_order = true;
                self.limit_at = Some(now + self.settings.close_timeout);
            }
            State::Closing => {}
            _ => {
                self.dial_at = None;
                self.refuse(now, "stopped".to_owned(), out);
            }
        }
    }

    fn timeout(&mut self, now: Micros, out: &mut Vec<PeerOutput>) {
        if self.limit_at.is_some_and(|at| at <= now) {
            self.limit_at = None;
            if self.state == State::Closing {
                if let Some(conn) = self.connection() {
                    out.push(PeerOutput::Close(conn));
                }
                return self.down(now, DownReason::Disconnected, out);
            }
            return self.refuse(now, "opening took too long".to_owned(), out);
        }
        if self.dial_at.is_some_and(|at| at <= now) {
            return self.dial(now, out);
        }
        let action = self.watchdog.timeout(now, &mut self.rng);
        self.watch(now, action, out);
    }
}
