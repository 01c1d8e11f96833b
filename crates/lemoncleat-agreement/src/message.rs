//! What members say to each other. The engine's own encoding (protobuf) is never read from outside: its messages
//! are turned into [`Said`], which has a field for each that is used here.

use raft::eraftpb::{Entry as RaftEntry, Message, MessageType};
use serde::{Deserialize, Serialize};

use crate::log::{entries_of, snapshot_to};
use crate::{Entry, Kept, Mark};

/// The longest message that is read, in bytes.
pub(crate) const MAX_MESSAGE: usize = 16 * 1024 * 1024;

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Envelope {
    /// The sender's store; 0 for a follower.
    pub store: u64,
    pub word: Word,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Word {
    /// May this new store be the sender's?
    Ask,
    /// Whether the asked voter knows the asker under the store it asked for, and no other.
    Answer { asked: u64, welcome: bool },
    /// From the engine.
    Engine(Said),
    /// What was decided after this place?
    Pull { after: u64 },
    /// Decided from after `after` up to `upto`; places without a command are left out.
    Learn { after: u64, upto: u64, commands: Vec<(u64, Vec<u8>)> },
    /// The entries asked for are gone; this is the state after them.
    LearnSnapshot(Kept),
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
pub(crate) struct Said {
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

impl Said {
    /// The engine's message in our form; none for a kind that is not used here.
    pub fn of(mut message: Message) -> Option<Said> {
        let kind = KINDS.iter().find(|(_, kind)| *kind == message.get_msg_type())?.0;
        let snapshot = (kind == Kind::Snapshot).then(|| {
            let mut snapshot = message.take_snapshot();
            let metadata = snapshot.take_metadata();
            Kept { at: Mark { index: metadata.index, term: metadata.term }, bytes: snapshot.data.to_vec() }
        });
        Some(Said {
            kind,
            term: message.term,
            log_term: message.log_term,
            index: message.index,
            commit: message.commit,
            commit_term: message.commit_term,
            entries: entries_of(message.take_entries().into()),
            snapshot,
            reject: message.reject,
            reject_hint: message.reject_hint,
        })
    }

    pub fn into_message(self, from: u64, to: u64, voters: &[u64]) -> Message {
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
        message.set_entries(self.entries.into_iter().map(entry_to).collect::<Vec<_>>().into());
        if let Some(kept) = self.snapshot {
            message.set_snapshot(snapshot_to(kept, voters));
        }
        message.reject = self.reject;
        message.reject_hint = self.reject_hint;
        message
    }
}

pub(crate) fn entry_of(entry: RaftEntry) -> Entry {
    Entry {
        at: Mark { index: entry.index, term: entry.term },
        command: entry.data.to_vec(),
        origin: entry.context.to_vec(),
    }
}

pub(crate) fn entry_to(entry: Entry) -> RaftEntry {
    RaftEntry {
        index: entry.at.index,
        term: entry.at.term,
        data: entry.command.into(),
        context: entry.origin.into(),
        ..RaftEntry::default()
    }
}

impl Envelope {
    pub fn read(bytes: &[u8]) -> Option<Envelope> {
        if bytes.len() > MAX_MESSAGE {
            return None;
        }
        postcard::from_bytes(bytes).ok()
    }

    pub fn write(store: u64, word: Word) -> Option<Vec<u8>> {
        postcard::to_allocvec(&Envelope { store, word }).ok().filter(|bytes| bytes.len() <= MAX_MESSAGE)
    }
}
