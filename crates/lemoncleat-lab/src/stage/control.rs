//! A client of the control port.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};

use serde_json::Value;

use super::LIMIT;

/// Maximum length of an answer.
const MAX_ANSWER_BYTES: u64 = 16 << 20;

/// A connection to a node's control port, which reads one JSON object per line and answers each with one.
pub struct Control {
    reader: BufReader<TcpStream>,
}

impl Control {
    /// Connects to a control port.
    ///
    /// # Errors
    ///
    /// Fails when nothing listens at the address.
    pub fn connect(address: SocketAddr) -> io::Result<Control> {
        let stream = TcpStream::connect_timeout(&address, LIMIT)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(LIMIT))?;
        stream.set_write_timeout(Some(LIMIT))?;
        Ok(Control { reader: BufReader::new(stream) })
    }

    /// Sends an order and waits for its answer, which may report a failure (`"ok":false`).
    ///
    /// # Errors
    ///
    /// Fails when the connection is closed, the answer is not JSON, or none arrives within [`LIMIT`].
    pub fn ask(&mut self, order: &Value) -> io::Result<Value> {
        self.say(order)?;
        self.hear()
    }

    /// Sends an order without waiting for its answer, so that further orders can be sent first.
    ///
    /// # Errors
    ///
    /// Fails when the connection is closed, or the node reads nothing for [`LIMIT`].
    pub fn say(&mut self, order: &Value) -> io::Result<()> {
        let mut text = order.to_string();
        text.push('\n');
        self.reader.get_mut().write_all(text.as_bytes())
    }

    /// Waits for the next answer. Answers may arrive in another order than the orders were sent.
    ///
    /// # Errors
    ///
    /// Fails as [`Control::ask`] does.
    pub fn hear(&mut self) -> io::Result<Value> {
        let mut answer = Vec::new();
        (&mut self.reader).take(MAX_ANSWER_BYTES).read_until(b'\n', &mut answer)?;
        if answer.is_empty() {
            return Err(io::Error::new(io::ErrorKind::UnexpectedEof, "the control port closed"));
        }
        Ok(serde_json::from_slice(&answer)?)
    }
}
