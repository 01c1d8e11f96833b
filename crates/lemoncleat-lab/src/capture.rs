//! What crossed the sockets, with its moments, and the facts that the rules are measured by.
//!
//! A file begins with a line that names its format; each record is its length (four bytes, little end first)
//! and its postcard encoding.

use std::fmt;
use std::fs::File;
use std::io::{self, BufReader, BufWriter, Read, Write};
use std::path::Path;

use lemoncleat_diameter::dictionary as d;
use lemoncleat_diameter::MessageRef;
use serde::{Deserialize, Serialize};

use crate::Micros;

const MAGIC: &[u8] = b"lemoncleat capture 1\n";
/// Longest record taken from a file.
const MAX_RECORD: usize = 32 << 20;

/// Which stand-in's end of a connection a record is from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum End {
    /// A front-end with callers.
    Client(u16),
    /// A call server.
    Server(u16),
}

/// A class of calls, as far as the judge needs it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassFacts {
    /// Its name.
    pub name: String,
    /// What its numbers begin with.
    pub prefix: String,
    /// A call that stands within this time earns its full worth.
    pub aim: Micros,
    /// How long a caller goes on, from the first try.
    pub deadline: Micros,
    /// Worth of a call.
    pub worth: f64,
    /// Share of it earned after the aim.
    pub late_worth: f64,
}

/// The figures of the rules.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Facts {
    /// Name of the day.
    pub day: String,
    /// The classes.
    pub classes: Vec<ClassFacts>,
    /// Rule 1: how long past the deadline an answer still counts as in time.
    pub answer_grace: Micros,
    /// Rule 3: how long after a drain is told sends must have ended.
    pub drain_grace: Micros,
    /// Rule 4: multiple of the present capacity.
    pub fall_multiple: f64,
    /// Rule 4: over how long.
    pub fall_span: Micros,
    /// Rule 5: the release time.
    pub release: Micros,
    /// How far two stand-ins' moments may be apart: both are read by one loop, a little after the fact.
    pub skew: Micros,
}

/// One thing that happened. Moments are microseconds of one clock.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// The figures; first.
    Facts(Facts),
    /// A whole frame, read from or written to a connection of a stand-in.
    Frame {
        /// When.
        at: Micros,
        /// The stand-in's end.
        end: End,
        /// The access node at the other end; `u16::MAX` before it is known.
        node: u16,
        /// The connection.
        conn: u64,
        /// Sent to the node, or read from it.
        to_node: bool,
        /// Its bytes.
        bytes: Vec<u8>,
    },
    /// A connection of a stand-in ended.
    Closed {
        /// When.
        at: Micros,
        /// The stand-in's end.
        end: End,
        /// The connection.
        conn: u64,
    },
    /// A line of the list was sent to a node.
    Listed {
        /// When.
        at: Micros,
        /// To which node.
        node: u16,
        /// About which server.
        server: u16,
        /// It may be sent new work.
        ready: bool,
        /// It tells a start of its process.
        started: bool,
    },
    /// A server's process started cold.
    Started {
        /// When.
        at: Micros,
        /// Which server.
        server: u16,
        /// Calls a second that it can carry when warm.
        capacity: f64,
        /// Share of that at the start.
        from: f64,
        /// Time to warm up.
        span: Micros,
    },
    /// A handshake with a node in which it showed a certificate.
    Handshake {
        /// When.
        at: Micros,
        /// The node.
        node: u16,
        /// When by the wall clock, in seconds since 1970.
        wall: i64,
        /// From when to when the certificate is valid, in seconds since 1970.
        validity: (i64, i64),
    },
    /// A handshake with a node that came to nothing.
    NoHandshake {
        /// When.
        at: Micros,
        /// The node.
        node: u16,
    },
    /// A server fell over under a cold start, as its model has it.
    Fell {
        /// When.
        at: Micros,
        /// Which server.
        server: u16,
    },
    /// A trouble of the script began or ended.
    Trouble {
        /// When.
        at: Micros,
        /// Its number in the script.
        number: u16,
        /// What it is.
        text: String,
        /// It began, or ended.
        begins: bool,
    },
    /// A node gets no turn for a while, by the script.
    Stall {
        /// From when.
        at: Micros,
        /// Which node.
        node: u16,
        /// For how long.
        time: Micros,
    },
    /// The stand-ins' own loop got no turn between two moments: what was read at the second may have come
    /// at any time since the first.
    Behind {
        /// From when.
        from: Micros,
        /// Until when.
        at: Micros,
    },
    /// Nodes are being stopped: what they leave undone from here on is no fault.
    End {
        /// When.
        at: Micros,
    },
}

impl Record {
    /// When it happened; facts hold from the beginning.
    pub fn at(&self) -> Micros {
        match self {
            Record::Facts(_) => Micros::MIN,
            Record::Frame { at, .. }
            | Record::Closed { at, .. }
            | Record::Listed { at, .. }
            | Record::Started { at, .. }
            | Record::Fell { at, .. }
            | Record::Trouble { at, .. }
            | Record::Handshake { at, .. }
            | Record::NoHandshake { at, .. }
            | Record::Stall { at, .. }
            | Record::Behind { at, .. }
            | Record::End { at } => *at,
        }
    }
}

impl Record {
    /// One line for people: when, between whom, what.
    pub fn text(&self) -> String {
        let at = self.at() as f64 / 1e6;
        match self {
            Record::Frame { end, node, conn, to_node, bytes, .. } => {
                let Ok(message) = MessageRef::parse(bytes) else { return format!("{at:.6} a broken frame") };
                let head = message.header;
                let name = d::short_name(head.command, head.is_request());
                let way = if *to_node { "to" } else { "from" };
                let session = message.text(d::SESSION_ID).unwrap_or("-");
                let result = match message.result_code() {
                    0 => String::new(),
                    code => format!(" {code}"),
                };
                let hop = head.hop_by_hop;
                // What circuits and deadlines are explained by.
                let told = [
                    ("operation", d::CIRCUIT_OPERATION),
                    ("circuit", d::CIRCUIT_ID),
                    ("count", d::CIRCUIT_COUNT),
                    ("reason", d::SETUP_REASON),
                    ("patience", d::SETUP_PATIENCE),
                ];
                let told = told.map(|(name, avp)| {
                    message.number(avp).map_or(String::new(), |number| format!(" {name} {number}"))
                });
                let told = told.concat();
                format!(
                    "{at:.6} {end:?} {way} node {node}, connection {conn}: {name}{result} {session} ({hop:#x}){told}"
                )
            }
            Record::Closed { end, conn, .. } => format!("{at:.6} {end:?}: connection {conn} closed"),
            other => format!("{at:.6} {other:?}"),
        }
    }
}

/// A file that is no capture.
#[derive(Debug)]
pub enum CaptureError {
    /// It can't be read or written.
    Io(io::Error),
    /// It does not begin as a capture does.
    Format,
    /// A record can't be read.
    Record(usize, String),
}

impl fmt::Display for CaptureError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CaptureError::Io(error) => write!(f, "{error}"),
            CaptureError::Format => write!(f, "this is no capture of lemoncleat, version 1"),
            CaptureError::Record(number, why) => write!(f, "record {number}: {why}"),
        }
    }
}

impl std::error::Error for CaptureError {}

impl From<io::Error> for CaptureError {
    fn from(error: io::Error) -> Self {
        CaptureError::Io(error)
    }
}

/// All that happened in one rehearsal, in order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Capture {
    /// The records.
    pub records: Vec<Record>,
}

impl Capture {
    /// Writes it to a file.
    ///
    /// # Errors
    ///
    /// When the file can't be written.
    pub fn write(&self, path: &Path) -> Result<(), CaptureError> {
        let mut file = BufWriter::new(File::create(path)?);
        file.write_all(MAGIC)?;
        for (number, record) in self.records.iter().enumerate() {
            let bytes =
                postcard::to_stdvec(record).map_err(|e| CaptureError::Record(number, e.to_string()))?;
            file.write_all(&(bytes.len() as u32).to_le_bytes())?;
            file.write_all(&bytes)?;
        }
        file.flush()?;
        Ok(())
    }

    /// Reads it from a file.
    ///
    /// # Errors
    ///
    /// When the file can't be read, is no capture, or is cut off.
    pub fn read(path: &Path) -> Result<Capture, CaptureError> {
        Capture::read_from(BufReader::new(File::open(path)?))
    }

    /// Reads it from anything.
    ///
    /// # Errors
    ///
    /// As [`Capture::read`].
    pub fn read_from(mut input: impl Read) -> Result<Capture, CaptureError> {
        let mut magic = [0; MAGIC.len()];
        input.read_exact(&mut magic).map_err(|_| CaptureError::Format)?;
        if magic != MAGIC {
            return Err(CaptureError::Format);
        }
        let mut records = Vec::new();
        loop {
            let number = records.len();
            let cut = |_| CaptureError::Record(number, "the file ends inside it".to_owned());
            let mut length = [0; 4];
            match input.read(&mut length[..1])? {
                0 => return Ok(Capture { records }),
                _ => input.read_exact(&mut length[1..]).map_err(cut)?,
            }
            let length = u32::from_le_bytes(length) as usize;
            if length > MAX_RECORD {
                return Err(CaptureError::Record(number, format!("{length} bytes are too many")));
            }
            let mut bytes = vec![0; length];
            input.read_exact(&mut bytes).map_err(cut)?;
            let record =
                postcard::from_bytes(&bytes).map_err(|e| CaptureError::Record(number, e.to_string()))?;
            records.push(record);
        }
    }
}
