//! Client of a running node's control port.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use serde_json::Value;

use crate::Failure;

/// Sends a request to a node and waits for its answer.
pub fn send_request(control: SocketAddr, request: &Value) -> Result<Value, Failure> {
    let connection_error = |error| Failure::Failed(format!("{control}: {error}"));
    let mut stream =
        TcpStream::connect_timeout(&control, Duration::from_secs(5)).map_err(connection_error)?;
    stream.set_read_timeout(Some(Duration::from_secs(10))).map_err(connection_error)?;
    stream.write_all(format!("{request}\n").as_bytes()).map_err(connection_error)?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).map_err(connection_error)?;
    serde_json::from_str(&line).map_err(Failure::failed)
}
