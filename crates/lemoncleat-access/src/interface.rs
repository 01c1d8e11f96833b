//! What crosses the border between core and driver.

use std::net::SocketAddr;

use lemoncleat::CallId;
use lemoncleat_core::Micros;

use crate::notice::Notice;

/// A connection, as the driver names it. Never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u64);

/// A dial, as the core names it. Never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DialId(pub u64);

/// What the core is told.
#[derive(Clone, Copy, Debug)]
pub enum Input<'a> {
    /// A caller connected.
    Accepted(ConnId),
    /// A connection that was to be closed if it was quiet is not: it stays as it was, with what was read of
    /// it.
    NotQuiet(ConnId),
    /// A dial came about.
    Dialled(DialId, ConnId),
    /// A dial failed; `refused` when the machine answered that nobody listens.
    DialFailed {
        /// Which dial.
        dial: DialId,
        /// The machine refused it, at once.
        refused: bool,
    },
    /// A dial failed for want of something here, as of descriptors: it tells nothing of the other side.
    NotDialled(DialId),
    /// Bytes came.
    Bytes(ConnId, &'a [u8]),
    /// Bytes came that may have waited to be read for as long as this, while the loop was at work.
    Waited(ConnId, &'a [u8], Micros),
    /// The far side has ended its half of the connection: a FIN or a reset was seen. Bytes that it sent
    /// before may still be given, and [`Input::Closed`] follows at the end.
    ///
    /// A caller is taken as gone by this, also one that only half-closed (RFC 9293 section 3.6) and may still
    /// read: its open set-ups are given up at once, and none that comes on the connection afterwards is
    /// begun. Each is answered 480, which a caller that still reads may take as a refusal. Whatever else it
    /// sent before is heard, calls that stand go on standing, and releases take other connections.
    ///
    /// Nothing for connections to call servers and the journal service, until they are closed: what was sent
    /// before the end, answers and releases among it, is still to be read, and an attempt that ends then has
    /// not been proven to have ended any sooner.
    Leaving(ConnId),
    /// The other side closed, or the connection broke, and all that it sent before was given.
    ///
    /// A caller's open set-ups are given up, and a call answered there in the last half second without an ACK
    /// is released on both sides: the answer crossed the close. Other calls that stand belong to no
    /// connection.
    Closed(ConnId),
    /// A note of another node.
    Datagram(SocketAddr, &'a [u8]),
    /// A moment that [`AccessNode::wake`](crate::AccessNode::wake) named may have come.
    Timeout,
    /// The configuration was read anew: the journal service is now there.
    JournalAt(SocketAddr),
    /// The node is to end in order.
    Terminate,
}

/// What the core asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Connect, and give it up after the time.
    Dial(DialId, SocketAddr, Micros),
    /// Give a dial up.
    StopDial(DialId),
    /// Write bytes.
    Send(ConnId, Vec<u8>),
    /// Write the INVITE of a call's attempt. For as long as none of it has begun to leave, it can be taken back.
    Invite(ConnId, CallId, Vec<u8>),
    /// The attempt of a call on a connection is over: if nothing of its INVITE has begun to leave, that never goes
    /// out. Else write these bytes, the CANCEL; there are none where none is owed.
    Withdraw(ConnId, CallId, Vec<u8>),
    /// Close once what was given is written.
    Close(ConnId),
    /// Close at once, unless bytes wait there to be read; then say [`Input::NotQuiet`], before the next
    /// [`Input::Timeout`], with which the connection counts as closed.
    CloseIfQuiet(ConnId),
    /// Close gently, so that what was written is read although the other side goes on sending: write, end the
    /// writing half, read and drop for a bounded while.
    HangUp(ConnId),
    /// Send a datagram.
    Tell(SocketAddr, Vec<u8>),
    /// A line for the log.
    Notice(Notice),
    /// All is done after [`Input::Terminate`]. Said again at each look at the connections for as long as it
    /// is so: a set-up that still arrives is taken, and this waits for it.
    Stopped,
}

/// What a node has done and holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Set-ups taken.
    pub calls: u64,
    /// Answered: the call stood.
    pub stood: u64,
    /// Refused (503).
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Given up by their callers.
    pub gone: u64,
    /// Stood and were cut.
    pub cut: u64,
    /// Attempts written to call servers.
    pub attempts: u64,
    /// Messages and streams that could not be read or used, from callers.
    pub bad_callers: u64,
    /// The same from call servers.
    pub bad_servers: u64,
    /// Calls that the guard at the deadline had to answer; 0 unless something is wrong.
    pub overdue: u64,
    /// Notes of other nodes that the module was told.
    pub notes: u64,
}
