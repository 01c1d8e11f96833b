//! Logging: emits the node's notices as tracing events, as text or JSON.

use std::time::{Duration, UNIX_EPOCH};

use lemoncleat_certificates::RenewerNotice;
use lemoncleat_node::{Level, Notice};
use tracing_subscriber::EnvFilter;

/// Format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum LogFormat {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Destination of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogTo {
    /// Standard error.
    Error,
    /// Standard output.
    Output,
}

/// Installs the global log output. `filter` is a level or a list of tracing directives (`info`,
/// `lemoncleat=debug`).
///
/// # Errors
///
/// When the filter is invalid, or logging is already initialised.
pub fn init(to: LogTo, format: LogFormat, filter: &str) -> Result<(), String> {
    let filter = EnvFilter::try_new(filter).map_err(|error| format!("log filter {filter:?}: {error}"))?;
    let writer = move || match to {
        LogTo::Error => Box::new(std::io::stderr()) as Box<dyn std::io::Write>,
        LogTo::Output => Box::new(std::io::stdout()),
    };
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(writer)
        .with_target(false)
        .log_internal_errors(false);
    let result = match format {
        LogFormat::Text => builder.try_init(),
        LogFormat::Json => builder.json().flatten_event(true).try_init(),
    };
    result.map_err(|error| error.to_string())
}

/// Writes a notice to the log.
pub(crate) fn emit(host: &str, notice: &Notice) {
    if let Notice::Call(call, session, _) = notice {
        let span = tracing::debug_span!("call", node = host, call, session = &**session);
        let _entered = span.enter();
        tracing::debug!("{notice}");
        return;
    }
    match notice.level() {
        Level::Debug => tracing::debug!(node = host, "{notice}"),
        Level::Info => tracing::info!(node = host, "{notice}"),
        Level::Warn => tracing::warn!(node = host, "{notice}"),
        Level::Error => tracing::error!(node = host, "{notice}"),
    }
}

/// Writes a notice about a node's certificates to the log.
pub(crate) fn certificate(host: &str, notice: &RenewerNotice) {
    let format_time = |at: i64| {
        httpdate::fmt_http_date(UNIX_EPOCH + Duration::from_secs(at.clamp(0, MAX_HTTP_DATE_S) as u64))
    };
    match notice {
        RenewerNotice::Renewed(until) => {
            tracing::info!(node = host, "new certificate, valid until {}", format_time(*until));
        }
        RenewerNotice::TryFailed { error, again } => {
            tracing::warn!(
                node = host,
                "no new certificate: {error}; tried again at {}",
                format_time(*again)
            );
        }
        RenewerNotice::NothingValid => {
            tracing::error!(node = host, "no valid certificate: new handshakes are refused");
        }
    }
}

/// The latest time in seconds since 1970 that an HTTP date can represent: the end of the year 9999.
const MAX_HTTP_DATE_S: i64 = 253_402_300_799;
