//! The Diameter base protocol (RFC 6733) without I/O.
//!
//! - [`MessageRef`] and [`AvpRef`] read a message in place; [`MessageBuilder`] writes one.
//! - [`FrameReader`] splits a byte stream into messages, however it is fragmented.
//! - [`dictionary`] defines commands and AVPs: the base protocol, NAS (RFC 7155), Load (RFC 8583),
//!   overload (RFC 7683), priority (RFC 7944), and this project's own AVPs under the documentation enterprise
//!   number of RFC 5612.
//! - [`check_request`] validates a request and determines the Result-Code of an invalid one.
//! - [`Peer`] is the peer state machine of RFC 6733 section 5.6 with the watchdog of RFC 3539.
//! - [`HopByHop`] matches answers to requests; [`Duplicates`] recognises repeated requests.
//!
//! The current time is passed as an argument, in microseconds of a monotonic clock.

mod avp;
mod check;
pub mod dictionary;
mod frame;
mod message;
mod peer;
pub mod result_code;
mod transactions;
mod value;
mod watchdog;

pub use avp::{AvpError, AvpRef, Avps, GroupBuilder, FLAG_MANDATORY, FLAG_PROTECTED, FLAG_VENDOR};
pub use check::{check_member_request, check_request, refusal, Fault};
pub use frame::{FrameError, FrameReader};
pub use message::{
    Header, HeaderError, MessageBuilder, MessageRef, COMMAND_ERROR, COMMAND_PROXIABLE, COMMAND_REQUEST,
    COMMAND_RETRANSMITTED, HEADER_LEN,
};
pub use peer::{
    Backoff, ConnId, DisconnectCause, DownReason, Local, Peer, PeerInput, PeerOutput, PeerSettings, State,
};
pub use transactions::{Duplicates, EndToEnd, HopByHop, Seen};
pub use value::{Address, Value, ValueError};
pub use watchdog::{Watchdog, WatchdogAction, WatchdogState, WATCHDOG_FLOOR};

/// A duration or a point in time in microseconds.
pub type Micros = i64;
