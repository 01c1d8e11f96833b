//! SIP messages (RFC 3261) without I/O: read from a stream in pieces, under hard limits, and written.
//!
//! A [`Reader`] is given bytes as they come and yields whole [`Message`]s, the same ones however the bytes
//! were split. What can't be read is told once as a [`Malformed`], after which the stream is of no use: its
//! framing is lost. [`request`] and [`response`] write messages.
//!
//! ```
//! use lemoncleat_sip::{request, response, Method, Reader};
//!
//! let invite = request(Method::Invite, "sip:42@net").header("Call-ID", "9b1f").header("CSeq", "1 INVITE").finish(b"hello");
//! let mut reader = Reader::new();
//! reader.push(&invite);
//! let message = reader.next_message().expect("well formed").expect("whole");
//! assert_eq!((message.method(), message.call_id(), message.body()), (Some(&Method::Invite), Some("9b1f"), &b"hello"[..]));
//!
//! let busy = response(486, "Busy Here", &message).finish(b"");
//! assert!(busy.starts_with(b"SIP/2.0 486 Busy Here\r\n"));
//! ```

mod message;
mod reader;
mod write;

pub use message::{CSeq, Message, Method, Start};
pub use reader::{Fault, Malformed, Reader, MAX_HEADERS, MAX_MESSAGE};
pub use write::{refusal, request, response, Builder};
