//! A client of the control port.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};

use serde_json::Value;

use super::LIMIT;

/// Longest answer taken.
const LONGEST: u64 = 16 << 20;

/// A connection to a node's control port: one JSON object a line in, one out.
pub struct Control {
    line: BufReader<TcpStream>,
}

impl Control {
    /// Connects.
    ///
    /// # Errors
    ///
    /// When nobody listens there.
    pub fn connect(address: SocketAddr) -> io::Result<Control> {
        let stream = TcpStream::connect_timeout(&address, LIMIT)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(LIMIT))?;
        stream.set_write_timeout(Some(LIMIT))?;
        Ok(Control { line: BufReader::new(stream) })
    }

    /// Gives an order and waits for its answer, which may tell that it failed (`"ok":false`).
    ///
    /// # Errors
    ///
    /// When the node is gone, its answer is no JSON, or none comes within [`LIMIT`].
    pub fn ask(&mut self, order: &Value) -> io::Result<Value> {
        self.say(order)?;
        self.hear()
    }

    /// Gives an order, whose answer may be heard after others were given.
    ///
    /// # Errors
    ///
    /// When the node is gone, or takes nothing for [`LIMIT`].
    pub fn say(&mut self, order: &Value) -> io::Result<()> {
        let mut text = order.to_string();
        text.push('\n');
        self.line.get_mut().write_all(text.as_bytes())
    }

    /// Waits for the next answer. Orders may be answered in another order than they were given.
    ///
    /// # Errors
    ///
    /// As [`Control::ask`].
    pub fn hear(&mut self) -> io::Result<Value> {
        let mut answer = Vec::new();
        (&mut self.line).take(LONGEST).read_until(b'\n', &mut answer)?;
        if answer.is_empty() {
            return Err(io::Error::new(io::ErrorKind::UnexpectedEof, "the control port closed"));
        }
        Ok(serde_json::from_slice(&answer)?)
    }
}
