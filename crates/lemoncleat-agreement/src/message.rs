//! Messages between members. The engine's own encoding (protobuf) is never parsed from the network: its
//! messages are converted to [`EngineMessage`], which has a field for each one that is used here.

use raft::eraftpb::{Entry as RaftEntry, Message, MessageType};
use serde::{Deserialize, Serialize};

use crate::log::{from_engine_entries, to_engine_snapshot};
use crate::{Entry, Kept, Mark};

/// Maximum size of an accepted message in bytes.
pub(crate) const MAX_MESSAGE: usize = 16 * 1024 * 1024;

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Envelope {
    /// The identity of the sender's store; 0 for a follower.
    pub store: u64,
    pub payload: Payload,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Payload {
    /// Asks whether this new store is accepted as the sender's.
    AdmissionRequest,
    /// The voter's answer: whether it knows the requesting voter under the store `requested`, and no other.
    AdmissionResponse { requested: u64, accepted: bool },
    /// A message of the engine.
    Engine(EngineMessage),
    /// Requests the commands decided after this index.
    FetchDecided { after: u64 },
    /// The commands decided after `after` and up to `upto`. Indexes without a command are left out.
    Decided { after: u64, upto: u64, commands: Vec<(u64, Vec<u8>)> },
    /// The requested entries have been removed; this is the state after them.
    DecidedSnapshot(Kept),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Kind {
    Propose,
    Append,
    AppendResponse,
    RequestVote,
    RequestVoteResponse,
    Snapshot,
    Heartbeat,
    HeartbeatResponse,
    RequestPreVote,
    RequestPreVoteResponse,
}

const KINDS: [(Kind, MessageType); 10] = [
    (Kind::Propose, MessageType::MsgPropose),
    (Kind::Append, MessageType::MsgAppend),
    (Kind::AppendResponse, MessageType::MsgAppendResponse),
    (Kind::RequestVote, MessageType::MsgRequestVote),
    (Kind::RequestVoteResponse, MessageType::MsgRequestVoteResponse),
    (Kind::Snapshot, MessageType::MsgSnapshot),
    (Kind::Heartbeat, MessageType::MsgHeartbeat),
    (Kind::HeartbeatResponse, MessageType::MsgHeartbeatResponse),
    (Kind::RequestPreVote, MessageType::MsgRequestPreVote),
    (Kind::RequestPreVoteResponse, MessageType::MsgRequestPreVoteResponse),
];

/// A message of the engine. The fields are Raft's.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct EngineMessage {
    pub kind: Kind,
    pub term: u64,
    pub log_term: u64,
    pub index: u64,
    pub commit: u64,
    pub commit_term: u64,
    pub entries: Vec<Entry>,
    pub snapshot: Option<Kept>,
    pub reject: bool,
    pub reject_hint: u64,
}

impl EngineMessage {
    /// Converts an engine message. Returns none for a kind that is not used here.
    pub fn from_engine(mut message: Message) -> Option<EngineMessage> {
        let kind = KINDS.iter().find(|(_, kind)| *kind == message.get_msg_type())?.0;
        let snapshot = (kind == Kind::Snapshot).then(|| {
            let mut snapshot = message.take_snapshot();
            let metadata = snapshot.take_metadata();
            Kept { at: Mark { index: metadata.index, term: metadata.term }, bytes: snapshot.data.to_vec() }
        });
        Some(EngineMessage {
            kind,
            term: message.term,
            log_term: message.log_term,
            index: message.index,
            commit: message.commit,
            commit_term: message.commit_term,
            entries: from_engine_entries(message.take_entries().into()),
            snapshot,
            reject: message.reject,
            reject_hint: message.reject_hint,
        })
    }

    pub fn into_engine(self, from: u64, to: u64, voters: &[u64]) -> Message {
        let mut message = Message::default();
        if let Some((_, kind)) = KINDS.iter().find(|(kind, _)| *kind == self.kind) {
            message.set_msg_type(*kind);
        }
        message.from = from;
        message.to = to;
        message.term = self.term;
        message.log_term = self.log_term;
        message.index = self.index;
        message.commit = self.commit;
        message.commit_term = self.commit_term;
        message.set_entries(self.entries.into_iter().map(to_engine_entry).collect::<Vec<_>>().into());
        if let Some(kept) = self.snapshot {
            message.set_snapshot(to_engine_snapshot(kept, voters));
        }
        message.reject = self.reject;
        message.reject_hint = self.reject_hint;
        message
    }
}

pub(crate) fn from_engine_entry(entry: RaftEntry) -> Entry {
    Entry {
        at: Mark { index: entry.index, term: entry.term },
        command: entry.data.to_vec(),
        origin: entry.context.to_vec(),
    }
}

pub(crate) fn to_engine_entry(entry: Entry) -> RaftEntry {
    RaftEntry {
        index: entry.at.index,
        term: entry.at.term,
        data: entry.command.into(),
        context: entry.origin.into(),
        ..RaftEntry::default()
    }
}

impl Envelope {
    pub fn decode(bytes: &[u8]) -> Option<Envelope> {
        if bytes.len() > MAX_MESSAGE {
            return None;
        }
        postcard::from_bytes(bytes).ok()
    }

    pub fn encode(store: u64, payload: Payload) -> Option<Vec<u8>> {
        postcard::to_allocvec(&Envelope { store, payload }).ok().filter(|bytes| bytes.len() <= MAX_MESSAGE)
    }
}
