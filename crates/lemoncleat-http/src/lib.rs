//! HTTP/1.1 messages (RFC 9110, RFC 9112) without I/O.
//!
//! A [`Reader`] is fed bytes as they come and gives whole messages; it is strict where leniency lets two readers of
//! one message disagree (line ends, white space around names, two lengths), and holds no more than its [`Limits`].
//! [`Message`]s are written with [`Message::to_bytes`].
//!
//! What a node needs of HTTP and no more: no content coding, no trailers kept, no upgrade by itself.

mod head;
mod message;
mod reader;

pub use head::{Headers, HttpError, Start};
pub use message::Message;
pub use reader::{Limits, Reader, Side};
