//! A call server, as the protocol page describes it: it answers set-ups, holds calls, releases them, and tells its
//! state. It can vanish without a sign and come back as a new process, and its answers can stop short.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::record::{now, record};
use crate::sip::{request, response, Message, Reader};

extern "C" {
    fn listen(descriptor: i32, backlog: i32) -> i32;
}

/// Connections on which a server tells its state.
const REPORTING: usize = 4;
/// A call that is held longer than this many seconds lasts beyond a play.
const LASTING: f64 = 60.0;
/// Seconds from an answer that stops short to the end of a call beside it.
const AFTER_STOP: f64 = 0.1;
/// Seconds between the two pieces of an answer.
const SECOND_PIECE: f64 = 0.03;

#[derive(Clone)]
pub struct Held {
    pub conn: u64,
    pub ends: f64,
    /// It lasts beyond the play unless it is ended.
    lasts: bool,
}

struct Pending {
    due: f64,
    conn: u64,
    invite: Message,
}

#[derive(Default)]
struct State {
    next_conn: u64,
    conns: BTreeMap<u64, TcpStream>,
    pending: Vec<Pending>,
    /// Calls that stand.
    held: BTreeMap<String, Held>,
    /// Releases that are told again on the next connection.
    repeat: Vec<(String, u16)>,
    /// Every set-up that was read: when, and its id.
    set_ups: Vec<(f64, String)>,
    /// Calls that the access node released: when, and the id.
    released: Vec<(f64, String)>,
    /// Calls that this server released: when, and the id.
    ended: Vec<(f64, String)>,
    /// Cut off or without power: nothing is read, written or accepted.
    vanished: bool,
    /// The process; connections belong to one.
    process: u32,
    next_report: f64,
    /// Where the connections come from that fill the listener's queue while the machine is away.
    fillers: Vec<SocketAddr>,
    filling: Vec<TcpStream>,
    answer_after: f64,
    hold: f64,
    /// Whether one of the next answers stops short.
    stops_short: bool,
    /// Answers are written in two pieces, after the second line of the description. Of one in so many the length in its
    /// head counts the first piece only.
    in_two: Option<u64>,
    answers: u64,
    second_pieces: Vec<(f64, u64, Vec<u8>)>,
    /// Set-ups that were given up: when, and the id.
    given_up: Vec<(f64, String)>,
}

#[derive(Clone)]
pub struct CallServer {
    pub name: &'static str,
    pub group: i64,
    pub address: SocketAddr,
    descriptor: i32,
    state: Arc<Mutex<State>>,
}

impl CallServer {
    /// Starts a server that answers after `answer_after` seconds and releases a call after `hold` seconds.
    pub fn start(name: &'static str, group: i64, answer_after: f64, hold: f64) -> CallServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        listener.set_nonblocking(true).expect("no blocking");
        let address = listener.local_addr().expect("an address");
        let descriptor = listener.as_raw_fd();
        let state = State { answer_after, hold, ..State::default() };
        let server = CallServer { name, group, address, descriptor, state: Arc::new(Mutex::new(state)) };
        let (accepting, working) = (server.clone(), server.clone());
        thread::spawn(move || accepting.accept(&listener));
        thread::spawn(move || working.work());
        server
    }

    fn with<T>(&self, body: impl FnOnce(&mut State) -> T) -> T {
        body(&mut self.state.lock().expect("state"))
    }

    fn accept(&self, listener: &TcpListener) {
        loop {
            let accepted = self.with(|state| if state.vanished { None } else { listener.accept().ok() });
            let Some((stream, _)) = accepted else {
                thread::sleep(Duration::from_millis(2));
                continue;
            };
            let Ok(peer) = stream.peer_addr() else { continue };
            if self.with(|state| state.fillers.contains(&peer)) {
                continue;
            }
            let _ = (stream.set_nonblocking(false), stream.set_nodelay(true));
            let Ok(writing) = stream.try_clone() else { continue };
            let (id, process) = self.with(|state| {
                state.next_conn += 1;
                let id = state.next_conn;
                state.conns.insert(id, writing);
                self.tell_state(state, id);
                for (call, cause) in std::mem::take(&mut state.repeat) {
                    Self::write(state, id, &bye(&call, cause));
                }
                (id, state.process)
            });
            record(format!("{}: connection {id} accepted", self.name));
            let server = self.clone();
            thread::spawn(move || server.serve(id, process, stream));
        }
    }

    fn serve(&self, id: u64, process: u32, mut stream: TcpStream) {
        let _ = stream.set_read_timeout(Some(Duration::from_millis(10)));
        let mut reader = Reader::default();
        loop {
            let (vanished, unknown) = self.with(|state| {
                let unknown = state.process != process;
                (state.vanished, unknown)
            });
            if vanished {
                thread::sleep(Duration::from_millis(5));
                continue;
            }
            if unknown {
                // Nobody knows this connection here: silence, and a reset for whatever comes on it.
                match stream.peek(&mut [0]) {
                    Ok(count) => {
                        record(format!(
                            "{}: connection {id} is not known any more and is {}",
                            self.name,
                            if count > 0 { "reset" } else { "closed" }
                        ));
                        self.with(|state| state.conns.remove(&id));
                        return; // closed with unread bytes: a reset
                    }
                    Err(_) => continue,
                }
            }
            let open = reader.fill(&mut stream).unwrap_or(false);
            if self.with(|state| state.vanished) {
                continue;
            }
            while let Some(message) = reader.next() {
                self.with(|state| self.received(state, id, message));
            }
            if !open {
                self.with(|state| {
                    state.conns.remove(&id);
                    state.pending.retain(|pending| pending.conn != id);
                });
                return record(format!("{}: connection {id} closed by the access node", self.name));
            }
        }
    }

    fn received(&self, state: &mut State, conn: u64, message: Message) {
        let id = message.id();
        match message.method() {
            "INVITE" => {
                record(format!("{}: set-up {id} on connection {conn}", self.name));
                state.set_ups.push((now(), id));
                let due = now() + state.answer_after;
                state.pending.push(Pending { due, conn, invite: message });
            }
            "CANCEL" => {
                record(format!("{}: {id} given up on connection {conn}", self.name));
                state.given_up.push((now(), id.clone()));
                state.pending.retain(|pending| pending.invite.id() != id);
                Self::write(state, conn, &response(200, "OK", &message, "", ""));
            }
            "BYE" => {
                let held = state.held.remove(&id).is_some();
                record(format!(
                    "{}: {id} released by the access node, cause {}{}",
                    self.name,
                    message.cause(),
                    if held { "" } else { ", not held" }
                ));
                state.released.push((now(), id));
                Self::write(state, conn, &response(200, "OK", &message, "", ""));
            }
            "OPTIONS" => Self::write(state, conn, &response(200, "OK", &message, "", "")),
            _ => {}
        }
    }

    /// The first two lines of a description.
    fn first_piece(body: &str) -> &str {
        let end = body.match_indices("\r\n").nth(1).map_or(body.len(), |(at, end)| at + end.len());
        &body[..end]
    }

    fn report(state: &State) -> String {
        let (total, busy) = (400, state.held.len());
        format!("x0:{};x1:{total};latency_ms:2", total - busy.min(total))
    }

    fn tell_state(&self, state: &mut State, conn: u64) {
        let bytes =
            request("NOTIFY", "state", "0000000000000000", &[("X-Occupancy", Self::report(state))], "");
        Self::write(state, conn, &bytes);
    }

    fn write(state: &mut State, conn: u64, bytes: &[u8]) {
        if let Some(conn) = state.conns.get_mut(&conn) {
            let _ = conn.write_all(bytes);
        }
    }

    /// Answers set-ups, ends calls and tells the state of the group when it is time.
    fn work(&self) {
        loop {
            thread::sleep(Duration::from_millis(5));
            self.with(|state| {
                if state.vanished {
                    return;
                }
                let (due, later) = std::mem::take(&mut state.pending).into_iter().partition(|one| now() >= one.due);
                state.pending = later;
                let due: Vec<Pending> = due;
                for one in due {
                    let (id, hold) = (one.invite.id(), state.hold);
                    let report = format!("X-Occupancy: {}\r\n", Self::report(state));
                    let body = format!("{:016x}\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n", 0xa000 + self.group);
                    state.held.insert(id.clone(), Held { conn: one.conn, ends: now() + hold, lasts: hold > LASTING });
                    record(format!("{}: {id} stands, set up on connection {}", self.name, one.conn));
                    let answer = response(200, "OK", &one.invite, &report, &body);
                    let mut whole = answer.len();
                    let soon = now() + AFTER_STOP;
                    let beside = state.held.iter_mut().find(|(call, held)| **call != id && held.conn == one.conn && held.lasts);
                    if let (true, Some((call, held))) = (state.stops_short, beside) {
                        // In the middle of its second line.
                        whole = answer.iter().position(|byte| *byte == b'\n').unwrap_or(0) + 12;
                        record(format!("{}: the answer for {id} on connection {} stops short after {whole} bytes; {call} ends soon", self.name, one.conn));
                        (held.ends, held.lasts) = (soon, false);
                        state.stops_short = false;
                    }
                    if let Some(one_in) = state.in_two {
                        state.answers += 1;
                        let wrong = one_in > 0 && state.answers % one_in == 0;
                        let first = Self::first_piece(&body);
                        let head = response(200, "OK", &one.invite, &report, if wrong { first } else { &body });
                        let length = head.len() - if wrong { 0 } else { body.len() - first.len() };
                        record(format!("{}: the answer for {id} comes in two pieces, its length is {}", self.name, if wrong { "wrong" } else { "right" }));
                        let rest = body[first.len()..].as_bytes().to_vec();
                        state.second_pieces.push((now() + SECOND_PIECE, one.conn, rest));
                        Self::write(state, one.conn, &head[..length]);
                        continue;
                    }
                    Self::write(state, one.conn, &answer[..whole]);
                }
                let pieces = std::mem::take(&mut state.second_pieces);
                for (due, conn, bytes) in pieces {
                    if now() >= due {
                        Self::write(state, conn, &bytes);
                    } else {
                        state.second_pieces.push((due, conn, bytes));
                    }
                }
                let over: Vec<(String, u64)> =
                    state.held.iter().filter(|(_, held)| now() >= held.ends).map(|(id, held)| (id.clone(), held.conn)).collect();
                for (id, conn) in over {
                    state.held.remove(&id);
                    state.ended.push((now(), id.clone()));
                    let usable = |id: &u64| state.conns.contains_key(id);
                    let on = Some(conn).filter(usable).or_else(|| state.conns.keys().copied().find(usable));
                    record(format!("{}: {id} has come to its end, released on connection {on:?}", self.name));
                    if let Some(on) = on {
                        Self::write(state, on, &bye(&id, 16));
                    }
                    state.repeat.push((id, 16));
                }
                if now() >= state.next_report {
                    state.next_report = now() + 1.0;
                    let conns: Vec<u64> = state.conns.keys().copied().take(REPORTING).collect();
                    conns.into_iter().for_each(|conn| self.tell_state(state, conn));
                }
            });
        }
    }

    /// Makes one of the next answers stop short: one on a connection on which a call was set up that lasts. That call
    /// comes to its end soon after.
    pub fn stop_short_once(&self) {
        self.with(|state| state.stops_short = true);
    }

    /// Answers come in two pieces from now on; of one in `one_in` (0: none) the length counts the first piece only.
    pub fn answers_in_two(&self, one_in: u64) {
        self.with(|state| state.in_two = Some(one_in));
    }

    /// The description with which this server answers a call.
    pub fn description(&self) -> String {
        format!("{:016x}\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n", 0xa000 + self.group)
    }

    /// The set-ups that were given up, with the time.
    pub fn given_up(&self) -> Vec<(f64, String)> {
        self.with(|state| state.given_up.clone())
    }

    /// Sets how long the calls last that are set up from now on.
    pub fn hold_for(&self, seconds: f64) {
        self.with(|state| state.hold = seconds);
    }

    /// The calls that stand here.
    pub fn held(&self) -> BTreeMap<String, Held> {
        self.with(|state| state.held.clone())
    }

    pub fn set_ups(&self) -> Vec<(f64, String)> {
        self.with(|state| state.set_ups.clone())
    }

    /// The calls that this server released, with the time.
    pub fn ended(&self) -> Vec<(f64, String)> {
        self.with(|state| state.ended.clone())
    }

    pub fn released(&self) -> Vec<(f64, String)> {
        self.with(|state| state.released.clone())
    }

    /// The machine vanishes: its connections stay open and silent, and new ones never come up.
    pub fn vanish(&self) {
        record(format!("{}: its machine vanishes", self.name));
        self.with(|state| {
            state.vanished = true;
            // A queue without room lets no connection come up.
            // SAFETY: the descriptor is a listening socket that lives as long as the program.
            unsafe { listen(self.descriptor, 0) }
        });
        let mut fillers = Vec::new();
        while let Ok(filler) = TcpStream::connect_timeout(&self.address, Duration::from_millis(100)) {
            fillers.push(filler);
        }
        self.with(|state| {
            state.fillers.extend(fillers.iter().filter_map(|filler| filler.local_addr().ok()));
            state.filling = fillers;
        });
    }

    /// The machine is back, with a new process that knows no call and no connection of the earlier one.
    pub fn return_as_new_process(&self) -> u64 {
        let since = crate::record::unix_ms();
        self.with(|state| {
            state.process += 1;
            state.pending.clear();
            state.held.clear();
            state.repeat.clear();
            state.conns.clear();
            for filler in state.filling.drain(..) {
                let _ = filler.shutdown(Shutdown::Both);
            }
            // SAFETY: as above.
            unsafe { listen(self.descriptor, 128) };
            state.vanished = false;
        });
        record(format!("{}: its machine is back, as a new process of {since}", self.name));
        since
    }
}

fn bye(id: &str, cause: u16) -> Vec<u8> {
    request("BYE", "caller", id, &[("Reason", format!("Q.850;cause={cause}"))], "")
}
