//! The way to a running node's control port.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use serde_json::Value;

use crate::Failure;

/// Asks a node something and waits for its answer.
pub fn ask(control: SocketAddr, request: &Value) -> Result<Value, Failure> {
    let reach = |error| Failure::Failed(format!("{control}: {error}"));
    let mut stream = TcpStream::connect_timeout(&control, Duration::from_secs(5)).map_err(reach)?;
    stream.set_read_timeout(Some(Duration::from_secs(10))).map_err(reach)?;
    stream.write_all(format!("{request}\n").as_bytes()).map_err(reach)?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).map_err(reach)?;
    serde_json::from_str(&line).map_err(Failure::failed)
}
