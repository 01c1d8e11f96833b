//! Runs controllers behind the simulator's line protocol: reads batches of events from standard input, and
//! writes one reply per batch to standard output.

mod wire;

use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut input = io::stdin().lock();
    let mut output = BufWriter::new(io::stdout().lock());
    match serve(&mut input, &mut output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(ServeError::Io(error)) if error.kind() == io::ErrorKind::BrokenPipe => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lemoncleat-wirehost: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Why serving ended before the end of the input.
enum ServeError {
    Io(io::Error),
    Input { line: u64, text: String },
}

impl std::fmt::Display for ServeError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ServeError::Io(error) => write!(f, "{error}"),
            ServeError::Input { line, text } => write!(f, "line {line}: {text}"),
        }
    }
}

impl From<io::Error> for ServeError {
    fn from(error: io::Error) -> Self {
        ServeError::Io(error)
    }
}

/// Answers one batch after another until the input ends. A malformed batch gets no reply at all.
fn serve(input: &mut impl BufRead, output: &mut impl Write) -> Result<(), ServeError> {
    let mut host = wire::Host::default();
    let mut reply = String::new();
    let mut bytes = Vec::new();
    let mut line = 0;
    let mut in_batch = false;
    loop {
        bytes.clear();
        if input.read_until(b'\n', &mut bytes)? == 0 {
            if in_batch {
                let text = "the input ends inside a batch, expected 'eof_batch'".to_owned();
                return Err(ServeError::Input { line, text });
            }
            return Ok(());
        }
        line += 1;
        let text = std::str::from_utf8(&bytes)
            .map_err(|_| ServeError::Input { line, text: "expected UTF-8 text".to_owned() })?;
        let text = text.trim_end_matches(['\n', '\r']);
        if text.is_empty() && !in_batch {
            continue;
        }
        in_batch = true;
        let complete =
            host.process_line(text, &mut reply).map_err(|text| ServeError::Input { line, text })?;
        if complete {
            output.write_all(reply.as_bytes())?;
            output.flush()?;
            reply.clear();
            in_batch = false;
        }
    }
}
