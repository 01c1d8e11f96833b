//! Hosts controllers on the simulator's wire: reads batches of events, prints one reply a batch.

mod wire;

use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut input = io::stdin().lock();
    let mut output = BufWriter::new(io::stdout().lock());
    match serve(&mut input, &mut output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(Stop::Io(error)) if error.kind() == io::ErrorKind::BrokenPipe => ExitCode::SUCCESS,
        Err(stop) => {
            eprintln!("lemoncleat-wirehost: {stop}");
            ExitCode::FAILURE
        }
    }
}

/// Why serving ended early.
enum Stop {
    Io(io::Error),
    Input { line: u64, text: String },
}

impl std::fmt::Display for Stop {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Stop::Io(error) => write!(f, "{error}"),
            Stop::Input { line, text } => write!(f, "line {line}: {text}"),
        }
    }
}

impl From<io::Error> for Stop {
    fn from(error: io::Error) -> Self {
        Stop::Io(error)
    }
}

/// Answers batch after batch until the input ends. A batch in error gets no reply at all.
fn serve(input: &mut impl BufRead, output: &mut impl Write) -> Result<(), Stop> {
    let mut host = wire::Host::default();
    let mut reply = String::new();
    let mut bytes = Vec::new();
    let mut line = 0;
    let mut open = false;
    loop {
        bytes.clear();
        if input.read_until(b'\n', &mut bytes)? == 0 {
            if open {
                let text = "the input ends inside a batch, expected 'eof_batch'".to_owned();
                return Err(Stop::Input { line, text });
            }
            return Ok(());
        }
        line += 1;
        let text = std::str::from_utf8(&bytes)
            .map_err(|_| Stop::Input { line, text: "expected UTF-8 text".to_owned() })?;
        let text = text.trim_end_matches(['\n', '\r']);
        if text.is_empty() && !open {
            continue;
        }
        open = true;
        let done = host.line(text, &mut reply).map_err(|text| Stop::Input { line, text })?;
        if done {
            output.write_all(reply.as_bytes())?;
            output.flush()?;
            reply.clear();
            open = false;
        }
    }
}
