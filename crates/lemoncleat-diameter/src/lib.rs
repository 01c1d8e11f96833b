//! The Diameter base protocol (RFC 6733) without I/O.
//!
//! - [`MessageRef`] and [`AvpRef`] read a message in place; [`MessageBuilder`] writes one.
//! - [`FrameReader`] cuts a byte stream into messages, whatever the pieces it arrives in.
//! - [`dictionary`] names commands and AVPs: the base protocol, NAS (RFC 7155), Load (RFC 8583),
//!   overload (RFC 7683), priority (RFC 7944), and this project's own under the documentation enterprise
//!   number of RFC 5612.
//! - [`check_request`] finds what is wrong with a request and the Result-Code that says so.
//! - [`Peer`] is the peer state machine of RFC 6733 section 5.6 with the watchdog of RFC 3539.
//! - [`Duplicates`] and [`HopByHop`] match answers to requests and repeats to their first.
//!
//! Everything takes the time as an argument, in microseconds of a monotonic clock.

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

/// A span or a moment in microseconds.
pub type Micros = i64;
