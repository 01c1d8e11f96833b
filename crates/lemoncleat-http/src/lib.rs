//! HTTP/1.1 messages (RFC 9110, RFC 9112) without I/O.
//!
//! A [`Reader`] takes bytes as they are received and returns complete messages. It is strict where lenient
//! parsing lets two parsers of one message disagree (line ends, white space around names, several lengths),
//! and buffers no more than its [`Limits`]. [`Message`]s are serialized with [`Message::to_bytes`].
//!
//! The crate covers only what a node needs of HTTP: content codings and upgrades are not handled, and
//! trailers are discarded.

mod head;
mod message;
mod reader;

pub use head::{Headers, HttpError, Start};
pub use message::Message;
pub use reader::{Limits, Reader, Side};
