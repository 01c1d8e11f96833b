//! A call's record.

use std::sync::Arc;

use lemoncleat::ServerId;
use lemoncleat_diameter::EndToEnd;

use crate::node::PeerId;
use crate::{ConnId, Micros, TimerKey};
use lemoncleat_core::Deadline;

/// A call that came from a client and has not ended.
#[derive(Debug)]
pub(crate) struct Call {
    /// Its Session-Id.
    pub session: Arc<str>,
    /// The client, and the connection and Hop-by-Hop Identifier of its latest transmission.
    pub client: PeerId,
    pub conn: ConnId,
    pub hop_by_hop: u32,
    pub request: EndToEnd,
    /// The request's bytes, from which attempts are made; dropped once the call stands.
    pub bytes: Box<[u8]>,
    /// When the caller gives up.
    pub deadline: Deadline,
    pub deadline_timer: Option<TimerKey>,
    pub attempts: u32,
    pub out: Option<Attempt>,
    pub standing: Option<(ServerId, PeerId)>,
    /// The circuit that it stands on.
    pub circuit: Option<u32>,
    /// Its answer was given while the client was away.
    pub unheard: bool,
}

/// An attempt that is out.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub server: ServerId,
    pub peer: PeerId,
    pub hop_by_hop: u32,
    pub number: u32,
    pub sent: Micros,
    pub timer: TimerKey,
    /// The circuit that is seized for it, on servers with a trunk group.
    pub circuit: Option<u32>,
    /// How often it lost a circuit to the other end.
    pub yields: u32,
}

/// A request of the node that a peer has not answered yet.
#[derive(Clone, Debug)]
pub(crate) enum Request {
    /// An attempt that is out.
    SetUp { call: u64, token: Option<u32> },
    /// An attempt that was given up; a success that comes late is released.
    GivenUp { session: Arc<str>, token: Option<u32> },
    /// A release. One that stays unanswered is sent again: nobody else would end the session.
    Release { session: Arc<str>, cause: u32, tries: u32 },
    /// A release or supervision of circuits; the group waits for its reply.
    Circuits { token: u32 },
    /// The set-up of a server's call, at a client.
    Incoming { server: PeerId, circuit: u32, call: u64 },
    /// A word for a member of the fleet; its answer only makes room for the next ones.
    Word,
    /// A client was told that its call is cut; nothing depends on its answer.
    Abort,
}
