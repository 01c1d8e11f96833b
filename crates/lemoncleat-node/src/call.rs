//! The state that the node keeps for each call.

use std::sync::Arc;

use lemoncleat::ServerId;
use lemoncleat_diameter::EndToEnd;

use crate::node::PeerId;
use crate::{ConnId, Micros, TimerKey};
use lemoncleat_core::Deadline;

/// A call received from a client that has not ended.
#[derive(Debug)]
pub(crate) struct Call {
    /// The call's Session-Id.
    pub session: Arc<str>,
    /// The client, and the connection and Hop-by-Hop Identifier of the latest transmission of its request.
    pub client: PeerId,
    pub conn: ConnId,
    pub hop_by_hop: u32,
    pub request: EndToEnd,
    /// The encoded request, from which the attempts are built; dropped once the call is established.
    pub bytes: Box<[u8]>,
    /// When the caller gives up.
    pub deadline: Deadline,
    pub deadline_timer: Option<TimerKey>,
    pub attempts: u32,
    pub pending: Option<Attempt>,
    pub standing: Option<(ServerId, PeerId)>,
    /// The circuit that the established call occupies.
    pub circuit: Option<u32>,
    /// Whether the answer was produced while the client was disconnected.
    pub answer_undelivered: bool,
}

/// An attempt that the server has not answered yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub server: ServerId,
    pub peer: PeerId,
    pub hop_by_hop: u32,
    pub number: u32,
    pub sent: Micros,
    pub timer: TimerKey,
    /// The circuit that is seized for the attempt, on servers with a trunk group.
    pub circuit: Option<u32>,
    /// How many times the attempt lost a circuit to a dual seizure by the other end.
    pub yields: u32,
}

/// A request sent by this node that the peer has not answered yet.
#[derive(Clone, Debug)]
pub(crate) enum Request {
    /// The set-up of an attempt, unanswered so far.
    SetUp { call: u64, token: Option<u32> },
    /// An attempt that was given up. If a success arrives late, the session is released.
    Abandoned { session: Arc<str>, token: Option<u32> },
    /// A release. It is sent again while it stays unanswered, because nothing else would end the session.
    Release { session: Arc<str>, cause: u32, tries: u32 },
    /// A release or supervision request for circuits; the trunk group waits for its reply.
    Circuits { token: u32 },
    /// The set-up of a server's call, sent to a client.
    Incoming { server: PeerId, circuit: u32, call: u64 },
    /// A message to a member of the fleet. Its answer only frees a slot for further messages.
    FleetWord,
    /// An Abort-Session-Request to a client; nothing depends on its answer.
    Abort,
}
