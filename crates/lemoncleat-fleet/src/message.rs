//! Messages between members, encoded with postcard: a header and a body, then updates to the end of the
//! message.

use serde::{Deserialize, Serialize};

use crate::MemberId;

/// The state in which a node holds a member. Of two claims with the same incarnation, the later one in this
/// order takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    /// The member answers, or no node has reported that it doesn't.
    Alive,
    /// The member did not answer some node, and may still refute the suspicion.
    Suspect,
    /// The member did not refute the suspicion in time, or was never heard from.
    Gone,
}

/// An incarnation on the wire: the start, and how often a suspicion was refuted since. Two small numbers take
/// fewer bytes than the combined 64-bit value.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct WireIncarnation(u32, u32);

impl From<u64> for WireIncarnation {
    fn from(incarnation: u64) -> Self {
        WireIncarnation((incarnation >> 32) as u32, incarnation as u32)
    }
}

impl From<WireIncarnation> for u64 {
    fn from(WireIncarnation(start, refuted): WireIncarnation) -> Self {
        u64::from(start) << 32 | u64::from(refuted)
    }
}

/// Identifies one item: a member, and 0 for its state or 1 plus the kind of a fact.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct Key(pub MemberId, pub u16);

impl Key {
    pub const LAST: Key = Key(MemberId(u32::MAX), u16::MAX);
}

/// The version of an item: an incarnation, then the number of a fact or the rank of a state.
pub(crate) type Version = (u64, u64);

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct Header {
    pub from: MemberId,
    pub incarnation: WireIncarnation,
    /// How the sender holds the receiver, so that the receiver can refute that or jump above it.
    pub receiver: Option<(State, WireIncarnation)>,
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Body<'a> {
    /// Carries updates only.
    Updates,
    /// Carries updates that were requested, or that a comparison found missing.
    Repair,
    Ping(u32),
    Ack(u32),
    /// Asks the receiver to probe this member for the sender.
    PingRequest(u32, MemberId),
    /// Reports that the member named in the receiver's [`Body::PingRequest`] has answered.
    RelayedAck(u32),
    /// What the sender holds from the first key to the last; the receiver sends what the sender lacks. The
    /// number is a digest of all states.
    Digest(Key, Key, Vec<(Key, WireIncarnation, u64)>, u32),
    /// Requests these items.
    Fetch(Vec<Key>),
    /// Announces that the sender ends the connection because it no longer needs it.
    Closing,
    Direct(&'a [u8]),
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) enum Update<'a> {
    State {
        member: MemberId,
        state: State,
        incarnation: WireIncarnation,
        source: MemberId,
    },
    Fact {
        origin: MemberId,
        kind: u8,
        incarnation: WireIncarnation,
        number: u64,
        age_ms: u32,
        bytes: &'a [u8],
    },
}

/// Appends a part of a message. Encoding these types cannot fail.
pub(crate) fn append(bytes: &mut Vec<u8>, part: &impl Serialize) {
    if let Ok(encoded) = postcard::to_allocvec(part) {
        bytes.extend_from_slice(&encoded);
    }
}

/// Decodes a whole message.
pub(crate) fn read(bytes: &[u8]) -> Option<(Header, Body<'_>, Vec<Update<'_>>)> {
    let (header, rest) = postcard::take_from_bytes::<Header>(bytes).ok()?;
    let (body, mut rest) = postcard::take_from_bytes::<Body<'_>>(rest).ok()?;
    let mut updates = Vec::new();
    while !rest.is_empty() {
        let (one, after) = postcard::take_from_bytes::<Update<'_>>(rest).ok()?;
        updates.push(one);
        rest = after;
    }
    Some((header, body, updates))
}
