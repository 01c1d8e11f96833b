//! The peer state machine of RFC 6733 section 5.6, with capabilities exchange, election, watchdog,
//! graceful disconnect and reconnection.

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

/// Identifier of a transport connection, assigned by the driver and never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u64);

/// Identity and capabilities that this node sends to its peers.
#[derive(Clone, Debug)]
pub struct Local {
    /// Origin-Host.
    pub host: Arc<str>,
    /// Origin-Realm.
    pub realm: Arc<str>,
    /// Product-Name.
    pub product: Arc<str>,
    /// Host-IP-Address, one AVP for each address.
    pub addresses: Vec<IpAddr>,
    /// Auth-Application-Id, one AVP for each application.
    pub applications: Vec<u32>,
    /// Origin-State-Id: increases at each start that lost the session state.
    pub state_id: u32,
    /// Additional AVPs of CER and CEA, with their values.
    pub further: Vec<(d::Key, Vec<u8>)>,
}

impl Local {
    /// Adds Origin-Host and Origin-Realm, which every message carries.
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

    /// Builds the CEA that rejects a CER.
    pub fn refuse_capabilities(&self, cer: &MessageRef<'_>, fault: &Fault) -> Vec<u8> {
        refusal(cer, fault, &self.host, &self.realm)
    }
}

/// Delays between connection attempts: they double from `first` to `most`, each randomly reduced by up to a
/// half.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// Delay after the first failure.
    pub first: Micros,
    /// Maximum delay.
    pub most: Micros,
}

impl Backoff {
    /// Returns the delay after the given number of earlier consecutive failures.
    pub fn wait(&self, failures: u32, rng: &mut SmallRng) -> Micros {
        let upper_bound = self.first.saturating_mul(1 << failures.min(30)).min(self.most).max(1);
        upper_bound - rng.random_range(0..=upper_bound / 2)
    }
}

/// Settings of a peer.
#[derive(Clone, Debug)]
pub struct PeerSettings {
    /// Origin-Host of the peer.
    pub host: Arc<str>,
    /// Whether this node connects to the peer; otherwise it only accepts connections from it.
    pub dial: bool,
    /// A new connection from the peer replaces one that has been open for at least this long, in
    /// microseconds: a peer that lost its connection reconnects long before the local watchdog detects the
    /// loss. With 0 the new connection is trusted immediately. With `None` it is rejected while one is open,
    /// as section 5.6 requires.
    pub replace: Option<Micros>,
    /// Watchdog interval Tw (RFC 3539).
    pub watchdog: Micros,
    /// Delays between connection attempts.
    pub backoff: Backoff,
    /// Time limit for connecting and exchanging capabilities, together.
    pub open_timeout: Micros,
    /// Time limit for the peer to close the connection after DPR and DPA.
    pub close_timeout: Micros,
}

/// States of the peer state machine (section 5.6).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// No connection.
    Closed,
    /// A connection is being established.
    WaitConnAck,
    /// CER was sent on the initiated connection.
    WaitICea,
    /// The peer connected while this node's own connection is being established.
    WaitConnAckElect,
    /// The election was lost; the peer decides about the initiated connection.
    WaitReturns,
    /// Open on the connection that the peer initiated.
    ROpen,
    /// Open on the connection that this node initiated.
    IOpen,
    /// DPR was sent or received.
    Closing,
}

/// Disconnect-Cause (section 5.4.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisconnectCause {
    /// The peer restarts and will be available again soon.
    Rebooting,
    /// The peer is short of resources.
    Busy,
    /// The peer does not need the connection.
    DoNotWantToTalkToYou,
}

impl DisconnectCause {
    /// Returns the value on the wire.
    pub fn code(self) -> u32 {
        match self {
            DisconnectCause::Rebooting => 0,
            DisconnectCause::Busy => 1,
            DisconnectCause::DoNotWantToTalkToYou => 2,
        }
    }

    /// Converts a value from the wire; unknown values are read as [`DisconnectCause::DoNotWantToTalkToYou`].
    pub fn from_code(code: u32) -> Self {
        match code {
            0 => DisconnectCause::Rebooting,
            1 => DisconnectCause::Busy,
            _ => DisconnectCause::DoNotWantToTalkToYou,
        }
    }
}

/// Reason why a peer went down.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DownReason {
    /// The connection was lost.
    Lost,
    /// The watchdog closed the connection.
    Watchdog,
    /// Either side disconnected gracefully.
    Disconnected,
    /// A newer connection from the same peer replaced it.
    Replaced,
}

/// Inputs of the peer state machine.
#[derive(Clone, Copy, Debug)]
pub enum PeerInput<'a> {
    /// Start connecting, if no connection exists or is in progress; also allows connecting again after a
    /// requested disconnect.
    Start,
    /// The initiated connection is established.
    Dialled(ConnId),
    /// The connection attempt failed.
    DialFailed,
    /// The peer connected and sent this CER.
    Accepted(ConnId, &'a MessageRef<'a>),
    /// A message was received on one of the peer's connections.
    Message(ConnId, &'a MessageRef<'a>),
    /// A connection was closed by the peer or the network.
    Closed(ConnId),
    /// Disconnect gracefully with a DPR.
    Disconnect(DisconnectCause),
    /// The time returned by [`Peer::due`] was reached.
    Timeout,
    /// This process did not run for this long (microseconds): the time is not counted towards any timeout of
    /// the peer.
    Away(Micros),
}

/// Outputs of the peer state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerOutput {
    /// Connect to the peer and report [`PeerInput::Dialled`] or [`PeerInput::DialFailed`].
    Dial,
    /// Abort the connection attempt, or close the connection if it has been established meanwhile.
    StopDial,
    /// Send bytes on a connection.
    Send(ConnId, Vec<u8>),
    /// Close a connection.
    Close(ConnId),
    /// Capabilities were exchanged on this connection, which may not be usable yet. Carries the CER or CEA
    /// that the peer sent.
    Open(ConnId, Vec<u8>),
    /// Requests may be sent to the peer.
    Usable,
    /// No requests may be sent to the peer for now; the connection remains open.
    Suspect,
    /// The peer sent a DPR: no new requests may be sent.
    Draining(DisconnectCause),
    /// The open connection was closed or lost.
    Down(DownReason),
    /// A connection could not be opened, with the reason.
    Refused(String),
    /// The message of this input must be passed to the application.
    Deliver,
}

/// State machine of one peer.
#[derive(Debug)]
pub struct Peer {
    local: Arc<Local>,
    settings: PeerSettings,
    state: State,
    initiator: Option<ConnId>,
    responder: Option<ConnId>,
    pending_cer: Option<Vec<u8>>,
    /// Time at which the connection was opened.
    opened_at: Micros,
    watchdog: Watchdog,
    usable: bool,
    failures: u32,
    dial_at: Option<Micros>,
    deadline_at: Option<Micros>,
    dialling: bool,
    graceful: bool,
    /// Stopped by this node: no connection attempt until [`PeerInput::Start`].
    stopped: bool,
    next_identifier: u32,
    rng: SmallRng,
}

impl fmt::Display for Peer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({:?}, {:?})", self.settings.host, self.state, self.watchdog.state())
    }
}

impl Peer {
    /// Creates a peer without a connection. The seed randomises its timers.
    pub fn new(local: Arc<Local>, settings: PeerSettings, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let watchdog = Watchdog::new(settings.watchdog);
        let next_identifier = rng.random();
        Peer {
            local,
            settings,
            state: State::Closed,
            initiator: None,
            responder: None,
            pending_cer: None,
            opened_at: 0,
            watchdog,
            usable: false,
            failures: 0,
            dial_at: None,
            deadline_at: None,
            dialling: false,
            graceful: false,
            stopped: false,
            next_identifier,
            rng,
        }
    }

    /// Stops connecting until [`PeerInput::Start`]. An open connection and an attempt in progress are kept,
    /// and connections from the peer are still accepted.
    pub fn rest(&mut self) {
        self.stopped = true;
        self.dial_at = None;
    }

    /// Returns the peer's Origin-Host.
    pub fn host(&self) -> &Arc<str> {
        &self.settings.host
    }

    /// Returns the state of the connection.
    pub fn state(&self) -> State {
        self.state
    }

    /// Returns the state of the watchdog.
    pub fn watchdog(&self) -> WatchdogState {
        self.watchdog.state()
    }

    /// Returns whether requests may be sent to the peer.
    pub fn is_usable(&self) -> bool {
        self.usable && self.is_open()
    }

    /// Returns whether a connection is open.
    pub fn is_open(&self) -> bool {
        matches!(self.state, State::ROpen | State::IOpen)
    }

    /// Returns whether there is no connection and no attempt is in progress or scheduled.
    pub fn is_idle(&self) -> bool {
        self.state == State::Closed && self.dial_at.is_none()
    }

    /// Returns the connection in use: open, or being closed after a DPR.
    pub fn connection(&self) -> Option<ConnId> {
        match self.state {
            State::ROpen | State::IOpen | State::Closing => self.initiator.or(self.responder),
            _ => None,
        }
    }

    /// Returns the time at which [`PeerInput::Timeout`] is due.
    pub fn due(&self) -> Option<Micros> {
        [self.dial_at, self.deadline_at, self.watchdog.due()].into_iter().flatten().min()
    }

    fn allocate_identifier(&mut self) -> u32 {
        // The lower half of the identifier range is used by the application.
        self.next_identifier = self.next_identifier.wrapping_add(1) | 0x8000_0000;
        self.next_identifier
    }

    fn base_request(&mut self, command: u32) -> MessageBuilder {
        let (hop_by_hop, end_to_end) = (self.allocate_identifier(), self.allocate_identifier());
        MessageBuilder::request(command, d::APP_BASE, false, hop_by_hop, end_to_end)
    }

    fn dial(&mut self, now: Micros, out: &mut Vec<PeerOutput>) {
        self.state = State::WaitConnAck;
        self.dialling = true;
        self.dial_at = None;
        self.deadline_at = Some(now + self.settings.open_timeout);
        out.push(PeerOutput::Dial);
    }

    /// Schedules the next attempt after a failed or lost connection, if this node initiates connections.
    fn schedule_redial(&mut self, now: Micros) {
        self.state = State::Closed;
        self.deadline_at = None;
        if self.settings.dial && !self.stopped {
            self.dial_at = Some(now + self.settings.backoff.wait(self.failures, &mut self.rng));
            self.failures = self.failures.saturating_add(1);
        }
    }

    fn close_initiated(&mut self, out: &mut Vec<PeerOutput>) {
        if self.dialling {
            self.dialling = false;
            out.push(PeerOutput::StopDial);
        }
        if let Some(conn) = self.initiator.take() {
            out.push(PeerOutput::Close(conn));
        }
    }

    fn abort_opening(&mut self, now: Micros, why: String, out: &mut Vec<PeerOutput>) {
        self.close_initiated(out);
        if let Some(conn) = self.responder.take() {
            out.push(PeerOutput::Close(conn));
        }
        out.push(PeerOutput::Refused(why));
        self.schedule_redial(now);
    }

    fn enter_open(&mut self, now: Micros, state: State, message: &MessageRef<'_>, out: &mut Vec<PeerOutput>) {
        self.state = state;
        self.opened_at = now;
        self.deadline_at = None;
        self.dial_at = None;
        self.failures = 0;
        self.graceful = false;
        if let Some(conn) = self.connection() {
            out.push(PeerOutput::Open(conn, message.bytes.to_vec()));
        }
        let action = self.watchdog.connected(now, &mut self.rng);
        self.apply_watchdog_action(now, action, out);
    }

    fn apply_watchdog_action(
        &mut self,
        now: Micros,
        action: Option<WatchdogAction>,
        out: &mut Vec<PeerOutput>,
    ) {
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
                self.enter_closed(now, DownReason::Watchdog, out);
            }
            None => {}
        }
    }

    fn enter_closed(&mut self, now: Micros, reason: DownReason, out: &mut Vec<PeerOutput>) {
        let reason =
            if self.graceful && reason == DownReason::Lost { DownReason::Disconnected } else { reason };
        self.initiator = None;
        self.responder = None;
        self.usable = false;
        let replaced = reason == DownReason::Replaced && self.settings.replace == Some(0);
        self.watchdog.disconnected(replaced || reason == DownReason::Disconnected);
        out.push(PeerOutput::Down(reason));
        self.schedule_redial(now);
        self.graceful = false;
    }

    fn send_cea(&mut self, conn: ConnId, cer: &MessageRef<'_>, out: &mut Vec<PeerOutput>) {
        let answer = MessageBuilder::answer(cer, result_code::SUCCESS);
        out.push(PeerOutput::Send(conn, self.local.capabilities(answer).build()));
    }

    /// Checks that a CER or CEA offers an application in common.
    fn check_common_application(&self, message: &MessageRef<'_>) -> Result<(), Fault> {
        let is_common =
            |application: u32| application == d::APP_RELAY || self.local.applications.contains(&application);
        let has_common = message.avps().map_while(Result::ok).any(|avp| {
            if avp.code == d::AUTH_APPLICATION_ID.code && avp.vendor.is_none() {
                return avp.as_u32().is_some_and(is_common);
            }
            avp.code == d::VENDOR_SPECIFIC_APPLICATION_ID.code
                && avp
                    .group()
                    .find(d::AUTH_APPLICATION_ID.code, None)
                    .and_then(|a| a.as_u32())
                    .is_some_and(is_common)
        });
        if has_common {
            return Ok(());
        }
        let text = "no application in common".to_owned();
        Err(Fault { result: result_code::NO_COMMON_APPLICATION, text, failed: Vec::new() })
    }

    /// Processes an input and appends the resulting outputs. [`PeerOutput::Deliver`] means that the message
    /// of this input is for the application.
    pub fn handle(&mut self, now: Micros, input: PeerInput<'_>, out: &mut Vec<PeerOutput>) {
        match input {
            PeerInput::Start => {
                // In state Closing, clearing `stopped` is enough: a new attempt is scheduled once the
                // connection closes.
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
                        self.schedule_redial(now);
                    }
                    // I-Rcv-Conn-Nack: the connection from the peer is used.
                    State::WaitConnAckElect => self.open_responder(now, out),
                    _ => {}
                }
            }
            PeerInput::Accepted(conn, cer) => self.accepted(now, conn, cer, out),
            PeerInput::Message(conn, message) => self.message(now, conn, message, out),
            PeerInput::Closed(conn) => self.closed(now, conn, out),
            PeerInput::Disconnect(cause) => self.disconnect(now, cause, out),
            PeerInput::Timeout => self.timeout(now, out),
            PeerInput::Away(time) => {
                self.deadline_at = self.deadline_at.map(|at| at + time);
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
                self.run_election(now, out);
            }
            _ => out.push(PeerOutput::Close(conn)),
        }
    }

    /// Holds the election (section 5.6.4): the node with the greater Origin-Host keeps the connection that
    /// its peer initiated.
    fn run_election(&mut self, now: Micros, out: &mut Vec<PeerOutput>) {
        if self.local.host.as_bytes() > self.settings.host.as_bytes() {
            self.open_responder(now, out);
        } else {
            self.state = State::WaitReturns;
        }
    }

    /// Win-Election: closes this node's own connection and opens the peer's with a CEA.
    fn open_responder(&mut self, now: Micros, out: &mut Vec<PeerOutput>) {
        self.close_initiated(out);
        let cer = self.pending_cer.take();
        let parsed = cer.as_deref().and_then(|bytes| MessageRef::parse(bytes).ok());
        match (self.responder, parsed) {
            (Some(conn), Some(cer)) => {
                self.send_cea(conn, &cer, out);
                self.enter_open(now, State::ROpen, &cer, out);
            }
            _ => self.schedule_redial(now),
        }
    }

    /// Returns whether a new connection may replace the open one. If both ends initiate connections, a CER
    /// received right after the other connection opened belongs to the loser of that election and must not
    /// replace it.
    fn may_replace_connection(&self, now: Micros) -> bool {
        self.settings.replace.is_some_and(|min_age| now - self.opened_at >= min_age)
    }

    fn accepted(&mut self, now: Micros, conn: ConnId, cer: &MessageRef<'_>, out: &mut Vec<PeerOutput>) {
        if let Err(fault) = check_request(cer).and_then(|()| self.check_common_application(cer)) {
            out.push(PeerOutput::Send(conn, self.local.refuse_capabilities(cer, &fault)));
            out.push(PeerOutput::Close(conn));
            out.push(PeerOutput::Refused(fault.text));
            return;
        }
        match self.state {
            State::Closed => {
                self.responder = Some(conn);
                self.send_cea(conn, cer, out);
                self.enter_open(now, State::ROpen, cer, out);
            }
            State::WaitConnAck => {
                self.responder = Some(conn);
                self.pending_cer = Some(cer.bytes.to_vec());
                self.state = State::WaitConnAckElect;
            }
            State::WaitICea => {
                self.responder = Some(conn);
                self.pending_cer = Some(cer.bytes.to_vec());
                self.run_election(now, out);
            }
            State::ROpen | State::IOpen | State::Closing if self.may_replace_connection(now) => {
                if let Some(old) = self.connection() {
                    out.push(PeerOutput::Close(old));
                }
                self.enter_closed(now, DownReason::Replaced, out);
                self.responder = Some(conn);
                self.send_cea(conn, cer, out);
                self.enter_open(now, State::ROpen, cer, out);
            }
            _ => out.push(PeerOutput::Close(conn)),
        }
    }

    fn message(&mut self, now: Micros, conn: ConnId, message: &MessageRef<'_>, out: &mut Vec<PeerOutput>) {
        let header = &message.header;
        if self.connection() == Some(conn) {
            self.open_message(now, conn, message, out);
        } else if self.initiator == Some(conn)
            && header.command == d::CMD_CAPABILITIES
            && !header.is_request()
            && matches!(self.state, State::WaitICea | State::WaitReturns)
        {
            self.capabilities_answer(now, message, out);
        } else if self.initiator == Some(conn) {
            self.abort_opening(now, "received another message before the CEA".to_owned(), out);
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
                self.open_responder(now, out);
            } else {
                self.abort_opening(now, why, out);
            }
            return;
        }
        let host = cea.text(d::ORIGIN_HOST).unwrap_or_default();
        if !host.eq_ignore_ascii_case(&self.settings.host) {
            let why = format!("the peer calls itself {host:?}, expected {:?}", &*self.settings.host);
            return self.abort_opening(now, why, out);
        }
        if let Err(fault) = self.check_common_application(cea) {
            return self.abort_opening(now, fault.text, out);
        }
        if let Some(conn) = self.responder.take() {
            out.push(PeerOutput::Close(conn));
        }
        self.pending_cer = None;
        self.enter_open(now, State::IOpen, cea, out);
    }

    fn open_message(
        &mut self,
        now: Micros,
        conn: ConnId,
        message: &MessageRef<'_>,
        out: &mut Vec<PeerOutput>,
    ) {
        let header = message.header;
        if header.command == d::CMD_WATCHDOG && !header.is_request() {
            let action = self.watchdog.answered(now, &mut self.rng);
            return self.apply_watchdog_action(now, action, out);
        }
        let action = self.watchdog.heard(now, &mut self.rng);
        self.apply_watchdog_action(now, action, out);
        match (header.command, header.is_request()) {
            (d::CMD_WATCHDOG | d::CMD_DISCONNECT | d::CMD_CAPABILITIES, true) => {
                if let Err(fault) = check_request(message) {
                    out.push(PeerOutput::Send(
                        conn,
                        refusal(message, &fault, &self.local.host, &self.local.realm),
                    ));
                    return;
                }
                let answer = MessageBuilder::answer(message, result_code::SUCCESS);
                if header.command == d::CMD_CAPABILITIES {
                    // R-Rcv-CER on an open connection: answer with the same capabilities.
                    out.push(PeerOutput::Send(conn, self.local.capabilities(answer).build()));
                    return;
                }
                let answer = self.local.sign(answer);
                if header.command == d::CMD_WATCHDOG {
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
                self.graceful = true;
                self.deadline_at = Some(now + self.settings.close_timeout);
                if cause != DisconnectCause::Rebooting {
                    // Sections 5.4 and 5.4.3: do not reconnect soon after a cause other than REBOOTING.
                    self.failures = self.failures.max(16);
                }
                out.push(PeerOutput::Draining(cause));
            }
            (d::CMD_DISCONNECT, false) => {
                if self.state == State::Closing {
                    out.push(PeerOutput::Close(conn));
                    self.graceful = true;
                    self.enter_closed(now, DownReason::Disconnected, out);
                }
            }
            (d::CMD_CAPABILITIES, false) => {}
            // While closing, answers to outstanding requests are still delivered. Requests from a peer that
            // sent a DPR are dropped; requests that the peer sent before it received this node's DPR are
            // delivered.
            (_, true) if self.state == State::Closing && !self.stopped => {}
            _ => out.push(PeerOutput::Deliver),
        }
    }

    fn closed(&mut self, now: Micros, conn: ConnId, out: &mut Vec<PeerOutput>) {
        if self.connection() == Some(conn) {
            return self.enter_closed(now, DownReason::Lost, out);
        }
        if self.responder == Some(conn) {
            self.responder = None;
            self.pending_cer = None;
            match self.state {
                State::WaitConnAckElect => self.state = State::WaitConnAck,
                State::WaitReturns => self.state = State::WaitICea,
                _ => {}
            }
        } else if self.initiator == Some(conn) {
            self.initiator = None;
            match self.state {
                State::WaitReturns => self.open_responder(now, out),
                State::WaitICea => {
                    out.push(PeerOutput::Refused("connection closed before the CEA".to_owned()));
                    self.schedule_redial(now);
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
                self.graceful = true;
                self.deadline_at = Some(now + self.settings.close_timeout);
            }
            State::Closing => {}
            _ => {
                self.dial_at = None;
                self.abort_opening(now, "stopped locally".to_owned(), out);
            }
        }
    }

    fn timeout(&mut self, now: Micros, out: &mut Vec<PeerOutput>) {
        if self.deadline_at.is_some_and(|at| at <= now) {
            self.deadline_at = None;
            if self.state == State::Closing {
                if let Some(conn) = self.connection() {
                    out.push(PeerOutput::Close(conn));
                }
                return self.enter_closed(now, DownReason::Disconnected, out);
            }
            return self.abort_opening(now, "opening the connection timed out".to_owned(), out);
        }
        if self.dial_at.is_some_and(|at| at <= now) {
            return self.dial(now, out);
        }
        let action = self.watchdog.timeout(now, &mut self.rng);
        self.apply_watchdog_action(now, action, out);
    }
}
