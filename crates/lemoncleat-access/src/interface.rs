//! Inputs and outputs between the core and its driver.

use std::net::SocketAddr;

use lemoncleat::CallId;
use lemoncleat_core::Micros;

use crate::notice::Notice;

/// Identifier of a connection, assigned by the driver. Never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u64);

/// Identifier of a dial, assigned by the core. Never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DialId(pub u64);

/// An event that the driver reports to the core.
#[derive(Clone, Copy, Debug)]
pub enum Input<'a> {
    /// A caller connected.
    Accepted(ConnId),
    /// The answer to [`Output::CloseIfNothingUnread`]: the connection has unread bytes and was not closed.
    /// It stays as it was, including the part of a message already read from it.
    CloseDeclined(ConnId),
    /// A dial succeeded.
    Dialled(DialId, ConnId),
    /// A dial failed.
    DialFailed {
        /// The dial.
        dial: DialId,
        /// Whether the remote machine refused the connection because nothing listens there.
        refused: bool,
    },
    /// A dial failed for a local reason, such as a lack of file descriptors; it says nothing about the other
    /// side.
    DialNotStarted(DialId),
    /// Bytes were received.
    Bytes(ConnId, &'a [u8]),
    /// Bytes were received that may have waited this long in the socket while the event loop was busy.
    DelayedBytes(ConnId, &'a [u8], Micros),
    /// The other side has ended its half of the connection: a FIN or a reset was seen. Bytes that it sent
    /// before may still follow, and [`Input::Closed`] follows at the end.
    ///
    /// A caller is considered gone from this point, even if it has only half-closed the connection (RFC 9293
    /// section 3.6) and may still read: its open set-ups are given up at once, and no set-up that is read
    /// from the connection afterwards is started. Each of them is answered with 480, which a caller that
    /// still reads may take as a refusal. Anything else that it sent before is processed, established calls
    /// continue, and releases use other connections.
    ///
    /// Has no effect on connections to call servers and the journal service until they are closed: answers
    /// and releases that were sent before the end are still to be read, and an attempt that ends then has not
    /// been shown to have ended earlier.
    PeerHalfClosed(ConnId),
    /// The other side closed the connection, or it broke, and everything received on it was passed on.
    ///
    /// A caller's open set-ups are given up. A call that was answered on this connection within the last half
    /// second and has not been acknowledged is released on both sides, because the answer crossed the close.
    /// Other established calls are not tied to a connection.
    Closed(ConnId),
    /// A datagram arrived from this address.
    Datagram(SocketAddr, &'a [u8]),
    /// The time returned by [`AccessNode::wake`](crate::AccessNode::wake) may have been reached.
    Timeout,
    /// The configuration was reloaded: the journal service is now at this address.
    JournalMoved(SocketAddr),
    /// The node is to shut down in an orderly way.
    Terminate,
}

/// An operation that the core requests from the driver.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Connect to this address, with a time limit.
    Dial(DialId, SocketAddr, Micros),
    /// Cancel a dial.
    StopDial(DialId),
    /// Write bytes to a connection.
    Send(ConnId, Vec<u8>),
    /// Write the INVITE of a call's attempt. Until its first byte has been sent, it can still be withdrawn.
    Invite(ConnId, CallId, Vec<u8>),
    /// The attempt of a call on a connection has ended. If no byte of its INVITE has been sent yet, the
    /// INVITE must be discarded. Otherwise these bytes, the CANCEL, are to be written; they are empty if no
    /// CANCEL is needed.
    WithdrawInvite(ConnId, CallId, Vec<u8>),
    /// Close the connection once all pending bytes are written.
    Close(ConnId),
    /// Close the connection at once, unless it has unread bytes. In that case the driver must report
    /// [`Input::CloseDeclined`] before the next [`Input::Timeout`], at which the connection counts as closed.
    CloseIfNothingUnread(ConnId),
    /// Close gracefully, so that the other side can read what was written although it goes on sending: write,
    /// shut down the sending half, then read and discard for a limited time.
    HangUp(ConnId),
    /// Send a datagram to this address.
    SendDatagram(SocketAddr, Vec<u8>),
    /// Write a log message.
    Notice(Notice),
    /// The shutdown after [`Input::Terminate`] is complete. Repeated at every maintenance run while this
    /// holds: a set-up that still arrives is accepted, and `Stopped` is withheld until it is answered.
    Stopped,
}

/// Counters of a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Set-ups received.
    pub calls: u64,
    /// Calls that were established.
    pub stood: u64,
    /// Calls that were refused with 503.
    pub refused: u64,
    /// Calls that failed.
    pub failed: u64,
    /// Set-ups that were given up by their callers.
    pub given_up: u64,
    /// Established calls that were cut off.
    pub cut: u64,
    /// Attempts sent to call servers.
    pub attempts: u64,
    /// Messages and streams from callers that could not be parsed or used.
    pub bad_caller_messages: u64,
    /// Messages and streams from call servers that could not be parsed or used.
    pub bad_server_messages: u64,
    /// Calls that the deadline timer had to answer; 0 unless there is a fault.
    pub overdue: u64,
    /// Messages of other access nodes that were passed to the module.
    pub peer_messages: u64,
}
