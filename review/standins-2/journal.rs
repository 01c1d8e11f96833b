//! The journal service: numbered events as lines, and the last number every second.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::record::{now, record};

#[derive(Default)]
struct State {
    /// The event lines; the number of an event is its place, from 1.
    events: Vec<String>,
    /// Seconds from a request to its first line, and until when requests wait so long.
    slow: f64,
    slow_until: f64,
    /// The service accepts nothing new from this time on and tells nothing; it closes at the second time.
    left_at: Option<(f64, f64)>,
}

#[derive(Clone)]
pub struct Journal {
    pub address: SocketAddr,
    name: &'static str,
    state: Arc<Mutex<State>>,
}

impl Journal {
    pub fn start(name: &'static str, events: &[String]) -> Journal {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let state = State { events: events.to_vec(), ..State::default() };
        let journal = Journal { address, name, state: Arc::new(Mutex::new(state)) };
        let served = journal.clone();
        thread::spawn(move || served.accept(&listener));
        journal
    }

    fn accept(&self, listener: &TcpListener) {
        for stream in listener.incoming().flatten() {
            if self.state.lock().expect("state").left_at.is_some() {
                continue; // closed at once
            }
            let journal = self.clone();
            thread::spawn(move || journal.serve(stream));
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut line = Vec::new();
        let mut byte = [0];
        while line.last() != Some(&b'\n') {
            match stream.read(&mut byte) {
                Ok(1) => line.push(byte[0]),
                _ => return,
            }
        }
        let text = String::from_utf8_lossy(&line).trim().to_owned();
        let Some(mut told) = text.strip_prefix("tail ").and_then(|n| n.parse::<usize>().ok()) else { return };
        let asked_at = now();
        record(format!("journal {}: asked `{text}`", self.name));
        let _ = stream.set_read_timeout(Some(Duration::from_millis(5)));
        let first_at = {
            let state = self.state.lock().expect("state");
            asked_at + if asked_at < state.slow_until { state.slow } else { 0.0 }
        };
        let mut next_number = first_at;
        loop {
            match stream.read(&mut byte) {
                Ok(0) => {
                    return record(format!(
                        "journal {}: the access node closed the connection asked at {asked_at:.3}",
                        self.name
                    ))
                }
                Err(error)
                    if !matches!(
                        error.kind(),
                        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                    ) =>
                {
                    return record(format!(
                        "journal {}: the access node reset the connection asked at {asked_at:.3}",
                        self.name
                    ));
                }
                _ => {}
            }
            let mut lines = String::new();
            {
                let state = self.state.lock().expect("state");
                if let Some((_, close_at)) = state.left_at {
                    if now() >= close_at {
                        return record(format!("journal {}: closes", self.name));
                    }
                    continue;
                }
                if now() < first_at {
                    continue;
                }
                while told < state.events.len() {
                    lines += &format!("{}\n", state.events[told]);
                    told += 1;
                    record(format!("journal {}: event {told} sent", self.name));
                }
                if now() >= next_number {
                    lines += &format!("{}\n", state.events.len());
                    next_number = now() + 1.0;
                }
            }
            if !lines.is_empty() && stream.write_all(lines.as_bytes()).is_err() {
                return;
            }
        }
    }

    pub fn add(&self, event: &str) {
        self.state.lock().expect("state").events.push(event.to_owned());
        record(format!("journal {}: holds {event}", self.name));
    }

    /// Begins to count anew, with this event as the first.
    pub fn count_anew(&self, event: &str) {
        self.state.lock().expect("state").events = vec![event.to_owned()];
        record(format!("journal {}: counts anew, holds {event}", self.name));
    }

    pub fn len(&self) -> usize {
        self.state.lock().expect("state").events.len()
    }

    pub fn events(&self) -> Vec<String> {
        self.state.lock().expect("state").events.clone()
    }

    /// Makes requests that come before `until` wait this long for their first line.
    pub fn be_slow(&self, seconds: f64, until: f64) {
        let mut state = self.state.lock().expect("state");
        (state.slow, state.slow_until) = (seconds, until);
    }

    /// The service has moved: it accepts nothing new, tells nothing, and closes what is open after 1.5 s.
    pub fn leave(&self) {
        self.state.lock().expect("state").left_at = Some((now(), now() + 1.5));
    }
}
