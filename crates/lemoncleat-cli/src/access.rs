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

// Environment variables defined by the platform and by this program.
const CONFIG: &str = "BALANCER_CONFIG";
const LISTEN: &str = "BALANCER_LISTEN";
const NAME: &str = "BALANCER_NAME";
const LOG: &str = "LEMONCLEAT_LOG";
const FLEET: &str = "LEMONCLEAT_FLEET";

/// Lower bound of the descriptor limit: with fewer, the node's own descriptors would leave none for callers.
const MIN_DESCRIPTORS: u32 = 64;

fn environment_variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}

/// Returns the descriptor limit: the configured one or that of the process, whichever is lower. With a limit
/// above that of the process no connection could be accepted until another caller disconnects.
fn descriptor_limit(configured: u32) -> u32 {
    let process_limit = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
    configured.min(u32::try_from(process_limit).unwrap_or(u32::MAX).max(MIN_DESCRIPTORS))
}

/// Prints a line to standard output. Write errors are ignored: the node keeps serving and shuts down
/// gracefully even if nothing reads its output.
fn print_line(line: &str) {
    let _ = writeln!(std::io::stdout(), "{line}");
}

pub fn run() -> Result<(), Failure> {
    // Handlers are registered first: a signal received while the configuration is read must not kill the
    // process.
    let signal_stream = signals::register()?;
    let Some(file) = environment_variable(CONFIG).map(PathBuf::from) else {
        return Err(Failure::Usage(format!("{CONFIG}: not set, expected the file of the configuration")));
    };
    let mut config = read_access_config(&file).map_err(Failure::Usage)?;
    if let Some(listen) = environment_variable(LISTEN) {
        config.listen = listen.parse::<SocketAddr>().map_err(|_| {
            Failure::Usage(format!("{LISTEN}: expected an address and a port, got {listen:?}"))
        })?;
    }
    if let Some(name) = environment_variable(NAME) {
        config.name = name;
    }
    config.limits.sockets = descriptor_limit(config.limits.sockets);
    let level = environment_variable(LOG).unwrap_or_else(|| "info".to_owned());
    init_log(LogTo::Output, LogFormat::Text, &level)
        .map_err(|error| Failure::Usage(format!("{LOG}: {error}")))?;
    let fleet = match environment_variable(FLEET).as_deref() {
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
        print_line(&format!("listening on {bound}"));
        signals::forward(signal_stream, mailbox, |signal| match signal {
            Signal::Hup => AccessControl::Reload,
            _ => AccessControl::Stop,
        });
    });
    let stats = stats.map_err(|error| match error {
        ServiceError::Settings(why) => Failure::Usage(format!("{name}: settings: {why}")),
        ServiceError::Io(error) => Failure::failed(error),
    })?;
    print_line(&format!(
        "stopped: {} calls, {} stood, {} refused, {} failed, {} cut",
        stats.calls, stats.stood, stats.refused, stats.failed, stats.cut
    ));
    Ok(())
}
