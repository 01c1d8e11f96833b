//! The members, and how patient a node is.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::Micros;

/// Most members of a fleet.
const MOST_MEMBERS: usize = 1_024;
/// Smallest limit of a message: a note of the platform.
const LEAST_MESSAGE: usize = 256;

/// A member, by a digest of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub u32);

impl MemberId {
    /// The digest of a name: FNV-1a, 32 bits.
    pub fn of(name: &str) -> MemberId {
        let digest = |hash: u32, byte: u8| (hash ^ u32::from(byte)).wrapping_mul(16_777_619);
        MemberId(name.bytes().fold(2_166_136_261, digest))
    }
}

impl fmt::Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

/// A member of the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its name, the same in the settings of all.
    pub name: Arc<str>,
    /// The zone that it stands in.
    pub zone: Arc<str>,
}

/// How messages travel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Carrier {
    /// Over connections: a member must be linked before it can be told anything.
    Connections,
    /// As datagrams: everybody can be told at any time, and anything may be lost.
    Notes,
}

/// How patient a node is. All spans in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// From one probe to the next. A probe with no answer after this, direct or through others, is a suspicion.
    pub round: Micros,
    /// How long a direct answer may take before others are asked to try.
    pub answer: Micros,
    /// How long a suspicion by several stands before the member is gone, for ten members or fewer; it grows with
    /// the logarithm of their number, and is three times this for a suspicion of one node alone.
    pub suspect: Micros,
    /// From one passing on of news to the next, while there is any.
    pub gossip: Micros,
    /// From one comparison with another member to the next.
    pub sync: Micros,
    /// From one try to reach a member that is gone to the next.
    pub retry: Micros,
    /// How long a connection that was asked for may take, and how long one is kept that was needed for a word.
    pub meet: Micros,
    /// How long a fact lives. Its origin sets it out again before.
    pub life: Micros,
    /// Least span between two notices of one sort.
    pub notice: Micros,
}

impl Default for Timing {
    fn default() -> Self {
        Timing {
            round: 1_000_000,
            answer: 300_000,
            suspect: 2_000_000,
            gossip: 100_000,
            sync: 1_000_000,
            retry: 2_000_000,
            meet: 3_000_000,
            life: 60_000_000,
            notice: 60_000_000,
        }
    }
}

/// What a node has to know.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The node's own name, one of the members.
    pub own: Arc<str>,
    /// All members, in any order.
    pub members: Vec<Member>,
    /// How messages travel.
    pub carrier: Carrier,
    /// Most bytes of a message; at least 256.
    pub max_message: usize,
    /// How many connections the node seeks; about as many more come in.
    pub links: usize,
    /// How patient it is.
    pub timing: Timing,
}

impl Settings {
    /// The settings that fit a fleet of this size: messages of 256 bytes as notes, 4,096 over connections; 3
    /// connections, 4 from 64 members on.
    pub fn new(own: &str, members: Vec<Member>, carrier: Carrier) -> Settings {
        let links = usual_links(members.len());
        let max_message = if carrier == Carrier::Notes { LEAST_MESSAGE } else { 4_096 };
        Settings { own: own.into(), members, carrier, max_message, links, timing: Timing::default() }
    }

    /// The members by digest.
    pub(crate) fn by_id(&self) -> Result<BTreeMap<MemberId, Member>, SettingsError> {
        if self.max_message < LEAST_MESSAGE {
            return Err(SettingsError::SmallMessages(self.max_message));
        }
        let timing = &self.timing;
        let spans = [timing.round, timing.answer, timing.suspect, timing.gossip, timing.sync, timing.retry];
        if spans.iter().chain(&[timing.meet, timing.life]).any(|span| *span <= 0) {
            return Err(SettingsError::NoTime);
        }
        by_id(&self.own, &self.members)
    }
}

/// How many connections a node of a fleet of this size seeks, unless it is told otherwise.
pub(crate) fn usual_links(members: usize) -> usize {
    if members < 64 {
        3
    } else {
        4
    }
}

/// The members by digest, if they are not too many, can be told apart, and the node is one of them.
pub(crate) fn by_id(own: &Arc<str>, members: &[Member]) -> Result<BTreeMap<MemberId, Member>, SettingsError> {
    if members.len() > MOST_MEMBERS {
        return Err(SettingsError::TooMany(members.len()));
    }
    let mut by_id = BTreeMap::<MemberId, Member>::new();
    for member in members {
        if let Some(other) = by_id.insert(MemberId::of(&member.name), member.clone()) {
            return Err(SettingsError::SameDigest(other.name, member.name.clone()));
        }
    }
    if by_id.get(&MemberId::of(own)).is_none_or(|member| member.name != *own) {
        return Err(SettingsError::NotAMember(own.clone()));
    }
    Ok(by_id)
}

/// Why settings can't be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// Two members have one digest, or one name.
    SameDigest(Arc<str>, Arc<str>),
    /// The node is not among the members.
    NotAMember(Arc<str>),
    /// More than 1,024 members.
    TooMany(usize),
    /// Messages of fewer than 256 bytes.
    SmallMessages(usize),
    /// A span that is nothing or less.
    NoTime,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::SameDigest(one, other) if one == other => {
                write!(f, "member {one} is named twice")
            }
            SettingsError::SameDigest(one, other) => {
                let id = MemberId::of(one);
                write!(f, "members {one} and {other} have one digest ({id}); rename one of them")
            }
            SettingsError::NotAMember(own) => write!(f, "{own} is not among the members"),
            SettingsError::TooMany(count) => write!(f, "{count} members; at most {MOST_MEMBERS}"),
            SettingsError::SmallMessages(bytes) => {
                write!(f, "messages of at most {bytes} bytes; {LEAST_MESSAGE} are needed")
            }
            SettingsError::NoTime => write!(f, "every span of the fleet's timing must be above 0"),
        }
    }
}

impl std::error::Error for SettingsError {}
