//! `lemoncleat access`.

use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;

use async_signal::Signal;
use lemoncleat_service::{
    init_log, listen_for_callers, read_access_config, serve_access, AccessControl, AccessSettings, LogFormat,
    LogTo, ServiceError,
};
use rustix::process::{getrlimit, Resource};

use crate::{signals, Failure};

/// The platform's variables, and the product's own.
const CONFIG: &str = "BALANCER_CONFIG";
const LISTEN: &str = "BALANCER_LISTEN";
const NAME: &str = "BALANCER_NAME";
const LOG: &str = "LEMONCLEAT_LOG";
const FLEET: &str = "LEMONCLEAT_FLEET";

/// With fewer descriptors no configuration is believed either: the node's own would leave nothing for
/// callers.
const LEAST_DESCRIPTORS: u32 = 64;

fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}

/// How many descriptors there are: what the configuration says, or what the machine gives this process where
/// that is less. Beyond that nobody could be accepted until somebody leaves by himself.
fn descriptors(told: u32) -> u32 {
    let given = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
    told.min(u32::try_from(given).unwrap_or(u32::MAX).max(LEAST_DESCRIPTORS))
}

/// A line on standard output. A node serves on, and ends in order, when nobody is there to read it.
fn say(line: &str) {
    let _ = writeln!(std::io::stdout(), "{line}");
}

pub fn run() -> Result<(), Failure> {
    // Before all else: a signal that comes while the configuration is read must not end the process as a
    // fault would.
    let heeded = signals::heed()?;
    let Some(file) = variable(CONFIG).map(PathBuf::from) else {
        return Err(Failure::Usage(format!("{CONFIG}: not set, expected the file of the configuration")));
    };
    let mut config = read_access_config(&file).map_err(Failure::Usage)?;
    if let Some(listen) = variable(LISTEN) {
        config.listen = listen.parse::<SocketAddr>().map_err(|_| {
            Failure::Usage(format!("{LISTEN}: expected an address and a port, got {listen:?}"))
        })?;
    }
    if let Some(name) = variable(NAME) {
        config.name = name;
    }
    config.limits.sockets = descriptors(config.limits.sockets);
    let level = variable(LOG).unwrap_or_else(|| "info".to_owned());
    init_log(LogTo::Output, LogFormat::Text, &level)
        .map_err(|error| Failure::Usage(format!("{LOG}: {error}")))?;
    let fleet = match variable(FLEET).as_deref() {
        None | Some("no") => false,
        Some("yes") => true,
        Some(other) => return Err(Failure::Usage(format!("{FLEET}: expected yes or no, got {other:?}"))),
    };
    let address = config.listen;
    let listener =
        listen_for_callers(address).map_err(|error| Failure::Failed(format!("{address}: {error}")))?;
    let bound = listener.local_addr().map_err(Failure::failed)?;
    let name = file.display().to_string();
    let settings = AccessSettings { config, file, trace: level.contains("debug"), fleet };
    let stats = serve_access(settings, listener, |mailbox| {
        say(&format!("listening on {bound}"));
        signals::pass_on(heeded, mailbox, |signal| match signal {
            Signal::Hup => AccessControl::Reload,
            _ => AccessControl::Stop,
        });
    });
    let stats = stats.map_err(|error| match error {
        ServiceError::Settings(why) => Failure::Usage(format!("{name}: settings: {why}")),
        ServiceError::Io(error) => Failure::failed(error),
    })?;
    say(&format!(
        "stopped: {} calls, {} stood, {} refused, {} failed, {} cut",
        stats.calls, stats.stood, stats.refused, stats.failed, stats.cut
    ));
    Ok(())
}
