//! Callers: connections to an access node, and what became of each call.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::record::{now, record};
use crate::sip::{request, response, Reader};

/// What callers see of one call.
#[derive(Clone, Default, Debug)]
pub struct Seen {
    pub stands: Option<f64>,
    /// The description in the answer.
    pub description: String,
    /// The group of the server whose description the answer carries.
    pub server: i64,
    pub refused: Option<(f64, u16)>,
    pub answers: u32,
    /// Releases by the access node: when, and the cause.
    pub released: Vec<(f64, u16)>,
}

pub type Calls = Arc<Mutex<BTreeMap<String, Seen>>>;

/// A caller's connection.
pub struct Caller {
    name: String,
    stream: TcpStream,
    calls: Calls,
    pub open: Arc<Mutex<bool>>,
    pub passed: Arc<Mutex<Option<u16>>>,
}

impl Caller {
    pub fn connect(name: &str, node: SocketAddr, calls: &Calls) -> Option<Caller> {
        let stream = TcpStream::connect_timeout(&node, Duration::from_millis(500)).ok()?;
        let _ = stream.set_nodelay(true);
        let caller = Caller {
            name: name.to_owned(),
            stream,
            calls: calls.clone(),
            open: Arc::new(Mutex::new(true)),
            passed: Arc::default(),
        };
        let (mut stream, name) = (caller.stream.try_clone().ok()?, name.to_owned());
        let (calls, open, passed) = (calls.clone(), caller.open.clone(), caller.passed.clone());
        thread::spawn(move || {
            let mut reader = Reader::default();
            while reader.fill(&mut stream).unwrap_or(false) {
                while let Some(message) = reader.next() {
                    let id = message.id();
                    if message.method() == "BYE" {
                        record(format!(
                            "{name}: {id} released by the access node, cause {}",
                            message.cause()
                        ));
                        calls
                            .lock()
                            .expect("calls")
                            .entry(id)
                            .or_default()
                            .released
                            .push((now(), message.cause()));
                        let _ = stream.write_all(&response(200, "OK", &message, "", ""));
                    } else if message.cseq_method() == "OPTIONS" {
                        *passed.lock().expect("passed") = Some(message.code());
                    } else if message.cseq_method() == "INVITE" && message.code() >= 200 {
                        record(format!("{name}: {id} answered {}", message.code()));
                        let mut calls = calls.lock().expect("calls");
                        let seen = calls.entry(id.clone()).or_default();
                        seen.answers += 1;
                        if message.code() < 300 {
                            seen.stands = Some(now());
                            seen.description = String::from_utf8_lossy(&message.body).into_owned();
                            let name = String::from_utf8_lossy(message.body.get(..16).unwrap_or_default())
                                .into_owned();
                            seen.server = i64::from_str_radix(&name, 16).map_or(-1, |name| name - 0xa000);
                        } else {
                            seen.refused = Some((now(), message.code()));
                        }
                        let _ = stream.write_all(&request("ACK", "called", &id, &[], ""));
                    }
                }
            }
            record(format!("{name}: connection closed by the access node"));
            *open.lock().expect("open") = false;
        });
        Some(caller)
    }

    pub fn is_open(&self) -> bool {
        *self.open.lock().expect("open")
    }

    fn send(&self, bytes: &[u8]) -> bool {
        (&self.stream).write_all(bytes).is_ok()
    }

    pub fn test(&self) -> Option<u16> {
        self.send(&request("OPTIONS", "ping", "00000000000000aa", &[], ""));
        for _ in 0..100 {
            if let Some(code) = *self.passed.lock().expect("passed") {
                return Some(code);
            }
            thread::sleep(Duration::from_millis(10));
        }
        None
    }

    /// Sends a set-up whose caller waits this many seconds.
    pub fn set_up(&self, id: &str, class: &str, timer: f64, first_choice: i64) {
        self.calls.lock().expect("calls").insert(id.to_owned(), Seen::default());
        record(format!("{}: set-up {id}, class {class}, first choice {first_choice}", self.name));
        self.send(&set_up(id, class, timer, first_choice));
    }

    /// Names a call that stands at a call server.
    pub fn name_call(&self, id: &str, class: &str, server: &str, first_choice: i64) {
        record(format!("{}: names {id}, which stands at {server}", self.name));
        let headers = [
            ("X-Cos", class.to_owned()),
            ("X-Timer-Ms", "3000".to_owned()),
            ("X-Legs", format!("dest:{first_choice};width:1;via:-1;at:{server}")),
        ];
        let body = format!("{id}\r\nc=IN IP4 127.0.0.1\r\nm=audio 7000 RTP/AVP 0\r\n");
        self.send(&request("INVITE", &id[..8], id, &headers, &body));
    }
}

/// The bytes of a set-up.
pub fn set_up(id: &str, class: &str, timer: f64, first_choice: i64) -> Vec<u8> {
    let headers = [
        ("X-Cos", class.to_owned()),
        ("X-Timer-Ms", format!("{}", (timer * 1e3) as u64)),
        ("X-Legs", format!("dest:{first_choice};width:1;via:-1")),
    ];
    let body = format!("{id}\r\nc=IN IP4 127.0.0.1\r\nm=audio 7000 RTP/AVP 0\r\n");
    request("INVITE", &id[..8], id, &headers, &body)
}
