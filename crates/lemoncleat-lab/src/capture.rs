//! The capture: all messages and events of a run with their times, and the figures by which the rules are
//! judged.
//!
//! A file begins with a line that names its format. Each record is its length (four bytes, little-endian)
//! followed by its postcard encoding.

use std::fmt;
use std::fs::File;
use std::io::{self, BufReader, BufWriter, Read, Write};
use std::path::Path;

use lemoncleat_diameter::dictionary as d;
use lemoncleat_diameter::MessageRef;
use serde::{Deserialize, Serialize};

use crate::Micros;

const MAGIC: &[u8] = b"lemoncleat capture 1\n";
/// Length limit of records in a file.
const MAX_RECORD_BYTES: usize = 32 << 20;

/// The stand-in whose end of a connection a record is from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum End {
    /// A front-end with callers.
    Client(u16),
    /// A call server.
    Server(u16),
}

/// Parameters of a class of calls that the judge needs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassFacts {
    /// Its name.
    pub name: String,
    /// Prefix of its numbers.
    pub prefix: String,
    /// A call established within this time earns its full worth.
    pub aim: Micros,
    /// Time from the first try at which a caller gives up.
    pub deadline: Micros,
    /// Worth of a call.
    pub worth: f64,
    /// Share of it earned after the aim.
    pub late_worth: f64,
}

/// Figures by which the rules are judged.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Facts {
    /// Name of the day.
    pub day: String,
    /// The classes.
    pub classes: Vec<ClassFacts>,
    /// Rule 1: time past the deadline in which an answer still counts as in time.
    pub answer_grace: Micros,
    /// Rule 3: time after the notice of a drain in which sends must end.
    pub drain_grace: Micros,
    /// Rule 4: multiple of the current capacity beyond which a cold server fails.
    pub fall_multiple: f64,
    /// Rule 4: span over which set-ups are counted.
    pub fall_span: Micros,
    /// Rule 5: the release time.
    pub release: Micros,
    /// Upper limit of the difference between recorded times of two stand-ins: one loop reads both, slightly
    /// after the event.
    pub skew: Micros,
}

/// One recorded event. Times are microseconds of one clock.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// The figures of the rules; always the first record.
    Facts(Facts),
    /// A complete frame, read from or written to a connection of a stand-in.
    Frame {
        /// Time of the event.
        at: Micros,
        /// The stand-in's end.
        end: End,
        /// The access node at the other end; `u16::MAX` before it is known.
        node: u16,
        /// The connection.
        conn: u64,
        /// Whether it was sent to the node, rather than read from it.
        to_node: bool,
        /// Its bytes.
        bytes: Vec<u8>,
    },
    /// A connection of a stand-in ended.
    Closed {
        /// Time of the event.
        at: Micros,
        /// The stand-in's end.
        end: End,
        /// The connection.
        conn: u64,
    },
    /// A line of the list was sent to a node.
    Listed {
        /// Time of the event.
        at: Micros,
        /// Node that it was sent to.
        node: u16,
        /// Server that it describes.
        server: u16,
        /// Whether the server accepts new calls.
        ready: bool,
        /// Whether it states the start of the server's process.
        started: bool,
    },
    /// A server's process started cold.
    Started {
        /// Time of the event.
        at: Micros,
        /// The server.
        server: u16,
        /// Calls per second that it can process when warm.
        capacity: f64,
        /// Share of that capacity at the start.
        from: f64,
        /// Time to warm up.
        span: Micros,
    },
    /// A handshake with a node in which it presented a certificate.
    Handshake {
        /// Time of the event.
        at: Micros,
        /// The node.
        node: u16,
        /// Time by the wall clock, in seconds since 1970.
        wall: i64,
        /// Start and end of the certificate's validity, in seconds since 1970.
        validity: (i64, i64),
    },
    /// A failed handshake with a node.
    NoHandshake {
        /// Time of the event.
        at: Micros,
        /// The node.
        node: u16,
    },
    /// A server failed from overload during a cold start, as its model defines.
    Fell {
        /// Time of the event.
        at: Micros,
        /// The server.
        server: u16,
    },
    /// A trouble of the script began or ended.
    Trouble {
        /// Time of the event.
        at: Micros,
        /// Its number in the script.
        number: u16,
        /// Description of the trouble.
        text: String,
        /// Whether it began, rather than ended.
        begins: bool,
    },
    /// A scripted stall of a node.
    Stall {
        /// Start of the stall.
        at: Micros,
        /// The node.
        node: u16,
        /// Duration of the stall.
        time: Micros,
    },
    /// The stand-ins' event loop was delayed between two times: what was read at the second may have arrived
    /// at any time since the first.
    Behind {
        /// Start of the delay.
        from: Micros,
        /// End of the delay.
        at: Micros,
    },
    /// The nodes are being stopped: work left undone from here on is not a violation.
    End {
        /// Time of the event.
        at: Micros,
    },
}

impl Record {
    /// Returns the time of the record; facts have the earliest possible time.
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
    /// Returns a one-line description: time, ends and contents.
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
                // Values that explain circuits and deadlines.
                let details = [
                    ("operation", d::CIRCUIT_OPERATION),
                    ("circuit", d::CIRCUIT_ID),
                    ("count", d::CIRCUIT_COUNT),
                    ("reason", d::SETUP_REASON),
                    ("patience", d::SETUP_PATIENCE),
                ];
                let details = details.map(|(name, avp)| {
                    message.number(avp).map_or(String::new(), |number| format!(" {name} {number}"))
                });
                let details = details.concat();
                format!(
                    "{at:.6} {end:?} {way} node {node}, connection {conn}: {name}{result} {session} ({hop:#x}){details}"
                )
            }
            Record::Closed { end, conn, .. } => format!("{at:.6} {end:?}: connection {conn} closed"),
            other => format!("{at:.6} {other:?}"),
        }
    }
}

/// A reason why a capture can't be read or written.
#[derive(Debug)]
pub enum CaptureError {
    /// The file can't be read or written.
    Io(io::Error),
    /// The file does not begin with the line of a capture.
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

/// All records of one run, in order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Capture {
    /// The records.
    pub records: Vec<Record>,
}

impl Capture {
    /// Writes the capture to a file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be written.
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

    /// Reads a capture from a file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read, is not a capture, or is truncated.
    pub fn read(path: &Path) -> Result<Capture, CaptureError> {
        Capture::read_from(BufReader::new(File::open(path)?))
    }

    /// Reads a capture from a reader.
    ///
    /// # Errors
    ///
    /// Fails under the same conditions as [`Capture::read`].
    pub fn read_from(mut input: impl Read) -> Result<Capture, CaptureError> {
        let mut magic = [0; MAGIC.len()];
        input.read_exact(&mut magic).map_err(|_| CaptureError::Format)?;
        if magic != MAGIC {
            return Err(CaptureError::Format);
        }
        let mut records = Vec::new();
        loop {
            let number = records.len();
            let truncated = |_| CaptureError::Record(number, "the file ends inside it".to_owned());
            let mut length = [0; 4];
            match input.read(&mut length[..1])? {
                0 => return Ok(Capture { records }),
                _ => input.read_exact(&mut length[1..]).map_err(truncated)?,
            }
            let length = u32::from_le_bytes(length) as usize;
            if length > MAX_RECORD_BYTES {
                return Err(CaptureError::Record(number, format!("{length} bytes are too many")));
            }
            let mut bytes = vec![0; length];
            input.read_exact(&mut bytes).map_err(truncated)?;
            let record =
                postcard::from_bytes(&bytes).map_err(|e| CaptureError::Record(number, e.to_string()))?;
            records.push(record);
        }
    }
}
