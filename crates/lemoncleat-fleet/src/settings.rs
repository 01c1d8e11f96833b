//! Settings: the members, and the intervals and timeouts of a node.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::Micros;

/// Largest number of members of a fleet.
const MAX_MEMBERS: usize = 1_024;
/// Smallest permitted message limit, which is the limit of a platform note.
const MIN_MESSAGE_BYTES: usize = 256;

/// Identifies a member by a digest of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub u32);

impl MemberId {
    /// Returns the digest of a name: FNV-1a, 32 bits.
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

/// A member as named in the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The member's name, the same in the settings of all nodes.
    pub name: Arc<str>,
    /// The zone that the member is located in.
    pub zone: Arc<str>,
}

/// How messages are transported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transport {
    /// Over connections: a member must be linked before messages can be sent to it.
    Connections,
    /// As datagrams: any member can be sent to at any time, and any message may be lost.
    Notes,
}

/// Intervals and timeouts of a node, all in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Interval between probes. A probe without an answer after this time, direct or through others, raises a
    /// suspicion.
    pub round: Micros,
    /// How long a direct answer may take before other members are asked to probe.
    pub answer: Micros,
    /// How long a suspicion confirmed by several nodes lasts before the member is held to be gone, for ten
    /// members or fewer. It grows with the logarithm of the number of members, and is three times as long for
    /// a suspicion by a single node.
    pub suspicion_timeout: Micros,
    /// Interval between gossip messages while there are updates to send.
    pub gossip: Micros,
    /// Interval between comparisons of state with another member.
    pub sync: Micros,
    /// Interval between attempts to reach a member that is gone.
    pub retry: Micros,
    /// How long a requested connection may take to be established, and how long a connection that was
    /// requested for a message is kept.
    pub meet: Micros,
    /// How long a fact is valid. Its origin publishes it again before it expires.
    pub life: Micros,
    /// Minimum interval between two notices of the same sort.
    pub notice: Micros,
}

impl Default for Timing {
    fn default() -> Self {
        Timing {
            round: 1_000_000,
            answer: 300_000,
            suspicion_timeout: 2_000_000,
            gossip: 100_000,
            sync: 1_000_000,
            retry: 2_000_000,
            meet: 3_000_000,
            life: 60_000_000,
            notice: 60_000_000,
        }
    }
}

/// Settings of a node.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The node's own name, which is one of the members.
    pub own: Arc<str>,
    /// All members, in any order.
    pub members: Vec<Member>,
    /// How messages are transported.
    pub carrier: Transport,
    /// Maximum size of a message in bytes; at least 256.
    pub max_message: usize,
    /// How many connections the node initiates; about as many more are initiated by others.
    pub links: usize,
    /// Intervals and timeouts.
    pub timing: Timing,
}

impl Settings {
    /// Returns default settings for a fleet of this size: messages of 256 bytes as notes and 4,096 over
    /// connections; 3 connections, or 4 from 64 members on.
    pub fn new(own: &str, members: Vec<Member>, carrier: Transport) -> Settings {
        let links = default_links(members.len());
        let max_message = if carrier == Transport::Notes { MIN_MESSAGE_BYTES } else { 4_096 };
        Settings { own: own.into(), members, carrier, max_message, links, timing: Timing::default() }
    }

    /// Checks the settings and returns the members by digest.
    pub(crate) fn by_id(&self) -> Result<BTreeMap<MemberId, Member>, SettingsError> {
        if self.max_message < MIN_MESSAGE_BYTES {
            return Err(SettingsError::MessageLimitTooSmall(self.max_message));
        }
        let timing = &self.timing;
        let spans =
            [timing.round, timing.answer, timing.suspicion_timeout, timing.gossip, timing.sync, timing.retry];
        if spans.iter().chain(&[timing.meet, timing.life]).any(|span| *span <= 0) {
            return Err(SettingsError::NonPositiveSpan);
        }
        by_id(&self.own, &self.members)
    }
}

/// Returns the default number of connections that a node initiates in a fleet of this size.
pub(crate) fn default_links(members: usize) -> usize {
    if members < 64 {
        3
    } else {
        4
    }
}

/// Returns the members by digest. Fails if there are too many, if two have the same digest, or if the node is
/// not among them.
pub(crate) fn by_id(own: &Arc<str>, members: &[Member]) -> Result<BTreeMap<MemberId, Member>, SettingsError> {
    if members.len() > MAX_MEMBERS {
        return Err(SettingsError::TooManyMembers(members.len()));
    }
    let mut by_id = BTreeMap::<MemberId, Member>::new();
    for member in members {
        if let Some(other) = by_id.insert(MemberId::of(&member.name), member.clone()) {
            return Err(SettingsError::DuplicateId(other.name, member.name.clone()));
        }
    }
    if by_id.get(&MemberId::of(own)).is_none_or(|member| member.name != *own) {
        return Err(SettingsError::NotAMember(own.clone()));
    }
    Ok(by_id)
}

/// Why settings are rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// Two members have the same digest, or the same name.
    DuplicateId(Arc<str>, Arc<str>),
    /// The node is not among the members.
    NotAMember(Arc<str>),
    /// There are more than 1,024 members.
    TooManyMembers(usize),
    /// The message limit is below 256 bytes.
    MessageLimitTooSmall(usize),
    /// A time span is zero or negative.
    NonPositiveSpan,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::DuplicateId(one, other) if one == other => {
                write!(f, "member {one} is named twice")
            }
            SettingsError::DuplicateId(one, other) => {
                let id = MemberId::of(one);
                write!(f, "members {one} and {other} have one digest ({id}); rename one of them")
            }
            SettingsError::NotAMember(own) => write!(f, "{own} is not among the members"),
            SettingsError::TooManyMembers(count) => write!(f, "{count} members; at most {MAX_MEMBERS}"),
            SettingsError::MessageLimitTooSmall(bytes) => {
                write!(
                    f,
                    "message limit of {bytes} bytes is too small; at least {MIN_MESSAGE_BYTES} are required"
                )
            }
            SettingsError::NonPositiveSpan => {
                write!(f, "every interval and timeout of the fleet must be above 0")
            }
        }
    }
}

impl std::error::Error for SettingsError {}
