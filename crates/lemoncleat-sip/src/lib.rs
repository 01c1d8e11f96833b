//! SIP messages (RFC 3261) without I/O: an incremental stream parser with hard limits, and a writer.
//!
//! A [`Reader`] takes bytes as they arrive and yields complete [`Message`]s, which do not depend on how the
//! bytes were split. An input that cannot be parsed is reported as [`StreamError`]; the framing is then lost,
//! and the stream cannot be read any further. [`request`] and [`response`] write messages. Section numbers in
//! the comments refer to RFC 3261.
//!
//! ```
//! use lemoncleat_sip::{request, response, Method, Reader};
//!
//! let invite = request(Method::Invite, "sip:42@net")
//!     .header("Call-ID", "9b1f")
//!     .header("CSeq", "1 INVITE")
//!     .finish(b"hello");
//! let mut reader = Reader::new();
//! reader.push(&invite);
//! let message = reader.next_message().expect("well formed").expect("complete");
//! assert_eq!(message.method(), Some(&Method::Invite));
//! assert_eq!(message.call_id(), Some("9b1f"));
//! assert_eq!(message.body(), b"hello");
//!
//! let busy = response(486, "Busy Here", &message).finish(b"");
//! assert!(busy.starts_with(b"SIP/2.0 486 Busy Here\r\n"));
//! ```

mod embedded;
mod message;
mod reader;
mod writer;

pub use message::{CSeq, Message, Method, Start};
pub use reader::{Fault, Reader, StreamError, MAX_HEADERS, MAX_MESSAGE};
pub use writer::{refusal, request, response, Builder};
