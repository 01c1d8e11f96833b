//! What members tell each other, in postcard: a header and a body, then news to the end of the message.

use serde::{Deserialize, Serialize};

use crate::MemberId;

/// What a node holds of a member. Of two claims with one incarnation the later in this order stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    /// It answers, or nobody has said that it doesn't.
    Alive,
    /// It didn't answer somebody, and may still refute that.
    Suspect,
    /// It didn't refute in time, or was never heard of.
    Gone,
}

/// An incarnation: a start and how often a suspicion was refuted since, which needs fewer bytes than their sum.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct Life(u32, u32);

impl From<u64> for Life {
    fn from(incarnation: u64) -> Self {
        Life((incarnation >> 32) as u32, incarnation as u32)
    }
}

impl From<Life> for u64 {
    fn from(Life(start, refuted): Life) -> Self {
        u64::from(start) << 32 | u64::from(refuted)
    }
}

/// Names one piece of news: a member, and 0 for its state or a kind of fact and 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct Key(pub MemberId, pub u16);

impl Key {
    pub const LAST: Key = Key(MemberId(u32::MAX), u16::MAX);
}

/// How new a piece of news is: an incarnation, then a fact's number or a state's rank.
pub(crate) type Version = (u64, u64);

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct Header {
    pub from: MemberId,
    pub incarnation: Life,
    /// How the sender holds the receiver, so that it can refute that or jump above it.
    pub you: Option<(State, Life)>,
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Body<'a> {
    /// Nothing but news.
    News,
    /// News that was asked for, or that a comparison found missing.
    Filled,
    Ping(u32),
    Ack(u32),
    /// Please probe this member for me.
    Ask(u32, MemberId),
    /// The member that you asked about has answered.
    Relayed(u32),
    /// What I hold from the first key to the last: send me what I lack. The number is a digest of all states.
    Digest(Key, Key, Vec<(Key, Life, u64)>, u32),
    /// I lack these.
    Want(Vec<Key>),
    /// The connection ends because I need it no longer.
    Bye,
    Direct(&'a [u8]),
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) enum News<'a> {
    State { member: MemberId, state: State, incarnation: Life, by: MemberId },
    Fact { origin: MemberId, kind: u8, incarnation: Life, number: u64, age_ms: u32, bytes: &'a [u8] },
}

/// Appends a part of a message. Nothing in it can fail to be written.
pub(crate) fn append(bytes: &mut Vec<u8>, part: &impl Serialize) {
    if let Ok(encoded) = postcard::to_allocvec(part) {
        bytes.extend_from_slice(&encoded);
    }
}

/// A whole message.
pub(crate) fn read(bytes: &[u8]) -> Option<(Header, Body<'_>, Vec<News<'_>>)> {
    let (header, rest) = postcard::take_from_bytes::<Header>(bytes).ok()?;
    let (body, mut rest) = postcard::take_from_bytes::<Body<'_>>(rest).ok()?;
    let mut news = Vec::new();
    while !rest.is_empty() {
        let (one, after) = postcard::take_from_bytes::<News<'_>>(rest).ok()?;
        news.push(one);
        rest = after;
    }
    Some((header, body, news))
}
