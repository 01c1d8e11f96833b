//! Forwards signals to a running event loop.

use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use lemoncleat_service::Mailbox;

use crate::Failure;

/// Registers handlers for SIGTERM, SIGINT and SIGHUP and returns the stream of received signals.
pub fn register() -> Result<Signals, Failure> {
    Signals::new([Signal::Term, Signal::Int, Signal::Hup]).map_err(Failure::failed)
}

/// Forwards each signal to the mailbox as the message that `message` maps it to, until the event loop has
/// ended.
pub fn forward<M: Send + 'static>(mut signals: Signals, mailbox: Mailbox<M>, message: fn(Signal) -> M) {
    std::thread::spawn(move || {
        futures_lite::future::block_on(async {
            while let Some(signal) = signals.next().await {
                // A signal that cannot be read is treated as SIGTERM.
                if mailbox.send(message(signal.unwrap_or(Signal::Term))).await.is_err() {
                    return;
                }
            }
        });
    });
}
