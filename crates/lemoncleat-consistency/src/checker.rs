//! Compares nodes of one version and decides what follows for this node.

mod descent;
mod fence;
mod verdict;
mod windows;

use std::collections::{BTreeMap, BTreeSet};
use std::marker::PhantomData;

use lemoncleat::Micros;

use crate::cases::CASES;
use crate::tree::Tree;
use crate::version::{arithmetic_fingerprint, Digest, Rules};
use crate::window::{Decider, Difference, Played, Unplayable};
use crate::words::{decode, encode, Message, Statement, MAX_DIRECT_BYTES, MAX_FACT_BYTES};

use descent::Descent;
use fence::Fencing;
use verdict::Verdicts;
use windows::{IncomingWindow, OutgoingWindow};

/// Time between two checks, in microseconds.
pub(crate) const CHECK_INTERVAL_US: Micros = 1_000_000;

/// Limits set by the operator. Times are in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Whether a node may fence itself.
    pub fences: bool,
    /// Maximum share of the fleet's members fenced at once, in hundredths. Rounded down, and never more than
    /// eight nodes.
    pub share: u32,
    /// The time after which a refused caller is told to come back.
    pub come_back: Micros,
    /// Time for which a statement is valid. A node that was not scheduled for half of it discards the
    /// statements of all others.
    pub statement_lifetime: Micros,
    /// Interval at which an unchanged statement is published again.
    pub publish_interval: Micros,
    /// Maximum size of another node's window, in bytes.
    pub max_window_bytes: usize,
}

impl Default for Limits {
    /// No fencing, a tenth of the fleet, statements valid for 30 s and published every 10 s, windows of
    /// 4 MiB.
    fn default() -> Self {
        Limits {
            fences: false,
            share: 10,
            come_back: 30_000_000,
            statement_lifetime: 30_000_000,
            publish_interval: 10_000_000,
            max_window_bytes: 4 << 20,
        }
    }
}

/// Input to a checker.
#[derive(Clone, Debug)]
pub enum Input {
    /// The rules in force from now on. Sent at the start and after each reload.
    Rules(Rules),
    /// The tree requested by [`Output::Cases`].
    CasesPlayed(Tree),
    /// The members considered alive, with or without this node.
    Alive(BTreeSet<u32>),
    /// A fact published by another node.
    FactReceived {
        /// The node concerned.
        from: u32,
        /// The node's incarnation.
        incarnation: u64,
        /// Age of the fact, in microseconds.
        age: Micros,
        /// The content as bytes.
        bytes: Vec<u8>,
    },
    /// A message from another node.
    MessageReceived {
        /// The node concerned.
        from: u32,
        /// The content as bytes.
        bytes: Vec<u8>,
    },
    /// A window of this node's own work was sealed.
    Sealed {
        /// The window's number.
        number: u32,
        /// The window as bytes.
        window: Vec<u8>,
    },
    /// The result of [`Output::PlayWindow`].
    Played {
        /// The node whose window it is.
        from: u32,
        /// The window's id.
        id: u64,
        /// The result of playing it.
        result: Result<Played, Unplayable>,
    },
    /// Only time has passed.
    Timeout,
}

/// Output of a checker.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Publish this as the node's fact; at most 160 bytes.
    Publish(Vec<u8>),
    /// Send this to a node; at most 16 KiB. The message may be lost.
    SendMessage {
        /// The receiver.
        to: u32,
        /// The message.
        bytes: Vec<u8>,
    },
    /// Play the generated cases of the rules in force from the start, on a thread that delays no calls.
    Cases,
    /// Play a window under the rules in force, on a thread that delays no calls. The window may be this
    /// node's own.
    PlayWindow {
        /// The node whose window it is.
        from: u32,
        /// The window's id, for [`Input::Played`].
        id: u64,
        /// The window as bytes.
        window: Vec<u8>,
    },
    /// Refuse new calls from now on with this time to come back, or accept them again if `None`. Established
    /// calls continue.
    Fence(Option<Micros>),
    /// An event for the log.
    Notice(Notice),
}

/// Events that are reported to the operator.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// The version in force at this node.
    Version(Digest),
    /// The fleet runs several versions.
    Versions {
        /// Number of versions.
        count: usize,
        /// Time for which it has run several, in microseconds.
        held: Micros,
    },
    /// The fleet runs a single version again.
    OneVersion {
        /// Time for which it ran several, in microseconds.
        held: Micros,
    },
    /// A node of the same version has a different root than the majority.
    Odd {
        /// The node; it may be this one.
        node: u32,
        /// Number of nodes that agree on the other root.
        against: usize,
        /// Whether its mathematics library or processor also computes differently, which is the likely cause.
        arithmetic: bool,
    },
    /// Nodes of the same version have several roots, and none has a majority. No node is fenced.
    Undecided {
        /// Number of roots.
        roots: usize,
        /// Number of nodes.
        nodes: usize,
    },
    /// All nodes of the same version agree again.
    Agreed,
    /// The first case and step at which another node decides differently from this one.
    FirstDifference {
        /// The other node.
        node: u32,
        /// The generated case.
        case: u32,
        /// The first step with different actions.
        step: u32,
        /// The event, and the actions of this node.
        ours: String,
        /// The event, and the actions of the other node.
        theirs: String,
    },
    /// Playing another node's window gave a different result here.
    Window {
        /// The node concerned.
        node: u32,
        /// The window's id: the first eight bytes of its digest.
        id: u64,
        /// The first difference.
        difference: Difference,
    },
    /// Two other nodes agree on where a window of this node's work differs from their result.
    OwnWindow {
        /// The window's number.
        number: u32,
        /// The first difference.
        difference: Difference,
        /// The two nodes.
        judges: [u32; 2],
        /// The result of playing the window again at this node.
        again: Result<Played, Unplayable>,
    },
    /// The judges of one of this node's windows disagree: one of them may be wrong.
    JudgesDisagree {
        /// The window's number.
        number: u32,
    },
    /// A window could not be played. This is no evidence against its node.
    Unplayable {
        /// The node concerned.
        node: u32,
        /// The window's id: the first eight bytes of its digest.
        id: u64,
        /// The reason.
        why: Unplayable,
    },
    /// This node's cases were played a second time, before any conclusion is drawn from a difference.
    Checked {
        /// Whether the root was the same as the first time.
        same: bool,
    },
    /// This node refuses new calls from now on.
    Fenced,
    /// This node should be fenced, but the maximum number of nodes already is.
    FenceLimitReached,
    /// This node accepts calls again.
    Unfenced,
}

/// The last statement of another node.
pub(crate) struct PeerState {
    incarnation: u64,
    /// Time at which it was made, on this node's clock.
    at: Micros,
    statement: Statement,
}

/// The checker of one node. `D` makes the decisions there.
pub struct Checker<D> {
    me: u32,
    incarnation: u64,
    members: BTreeSet<u32>,
    limits: Limits,
    now: Micros,
    started: Option<Micros>,
    next_check: Micros,
    rules: Option<Rules>,
    version: Digest,
    tree: Option<Tree>,
    /// Whether the cases are being played a second time.
    checking: bool,
    arithmetic: u32,
    alive: BTreeSet<u32>,
    peers: BTreeMap<u32, PeerState>,
    published: Option<(Micros, Statement)>,
    verdicts: Verdicts,
    descent: Option<Descent>,
    /// Completed descents, by node and its root.
    finished_descents: BTreeMap<u32, Digest>,
    /// Number of questions answered since the last check.
    questions_answered: u32,
    outgoing: Option<OutgoingWindow>,
    incoming: BTreeMap<u32, IncomingWindow>,
    /// The last window of each node that was played, and its result.
    judgements: BTreeMap<u32, (u64, Result<Played, Unplayable>)>,
    fencing: Fencing,
    rejected_inputs: u64,
    decider: PhantomData<fn() -> D>,
}

impl<D: Decider> Checker<D> {
    /// Creates the checker of the node `me` in this incarnation. `members` are all nodes in the settings.
    pub fn new(me: u32, incarnation: u64, members: BTreeSet<u32>, limits: Limits) -> Self {
        let fencing = Fencing::new(&limits, members.len());
        Checker {
            me,
            incarnation,
            members,
            limits,
            now: Micros::MIN,
            started: None,
            next_check: Micros::MIN,
            rules: None,
            version: Digest::default(),
            tree: None,
            checking: false,
            arithmetic: arithmetic_fingerprint(),
            alive: BTreeSet::new(),
            peers: BTreeMap::new(),
            published: None,
            verdicts: Verdicts::default(),
            descent: None,
            finished_descents: BTreeMap::new(),
            questions_answered: 0,
            outgoing: None,
            incoming: BTreeMap::new(),
            judgements: BTreeMap::new(),
            fencing,
            rejected_inputs: 0,
            decider: PhantomData,
        }
    }

    /// Processes one input at the time `now`.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        self.advance_clock(now);
        match input {
            Input::Rules(rules) => self.set_rules(rules, out),
            Input::CasesPlayed(tree) => self.set_tree(tree, out),
            Input::Alive(alive) => self.alive = alive,
            Input::FactReceived { from, incarnation, age, bytes } => {
                self.handle_statement(from, incarnation, age, &bytes)
            }
            Input::MessageReceived { from, bytes } => self.handle_message(from, &bytes, out),
            Input::Sealed { number, window } => self.send_window(number, window, out),
            Input::Played { from, id, result } => self.handle_played(from, id, result, out),
            Input::Timeout => {}
        }
        if self.now >= self.next_check {
            self.next_check = self.now.saturating_add(CHECK_INTERVAL_US);
            self.check(out);
        }
        self.publish(out);
    }

    /// Returns the latest time at which the checker must be called again.
    pub fn wake(&self) -> Option<Micros> {
        self.started.map(|_| self.next_check)
    }

    /// Returns the version in force.
    pub fn version(&self) -> Digest {
        self.version
    }

    /// Returns whether the node is fenced.
    pub fn fenced(&self) -> bool {
        self.fencing.fenced
    }

    /// Returns the number of messages and facts that were malformed, came from a node that is not a member,
    /// or exceeded a limit.
    pub fn rejected_inputs(&self) -> u64 {
        self.rejected_inputs
    }

    fn advance_clock(&mut self, now: Micros) {
        let now = now.max(self.now);
        let started = *self.started.get_or_insert(now);
        if self.now >= started && now - self.now > self.limits.statement_lifetime / 2 {
            // The node was not scheduled for a long time, so its knowledge of the others is at least that
            // old.
            self.peers.values_mut().for_each(|peer| peer.at = Micros::MIN);
        }
        self.now = now;
    }

    fn set_rules(&mut self, rules: Rules, out: &mut Vec<Output>) {
        self.version = rules.version();
        self.rules = Some(rules);
        self.tree = None;
        self.checking = false;
        self.descent = None;
        self.finished_descents.clear();
        self.outgoing = None;
        self.verdicts.reset();
        self.fencing.reset_claim();
        out.push(Output::Notice(Notice::Version(self.version)));
        out.push(Output::Cases);
    }

    fn set_tree(&mut self, tree: Tree, out: &mut Vec<Output>) {
        let before = self.tree.replace(tree).map(|tree| tree.root());
        if std::mem::take(&mut self.checking) {
            let same = before == self.root();
            out.push(Output::Notice(Notice::Checked { same }));
            self.verdicts.checked = true;
        }
    }

    fn handle_statement(&mut self, from: u32, incarnation: u64, age: Micros, bytes: &[u8]) {
        let statement = decode::<Statement>(bytes, MAX_FACT_BYTES)
            .filter(|_| self.members.contains(&from) && from != self.me);
        let Some(statement) = statement else {
            self.rejected_inputs += 1;
            return;
        };
        let at = self.now.saturating_sub(age.max(0));
        if let Some(peer) = self.peers.get(&from) {
            if (peer.incarnation, peer.at) > (incarnation, at) {
                return; // A late statement of an earlier incarnation, or an older one of this.
            }
        }
        if statement.version == self.version {
            lemoncleat_faults::point!(RULES_ROOT);
        }
        self.update_consents(from, incarnation, &statement);
        self.peers.insert(from, PeerState { incarnation, at, statement });
    }

    fn handle_message(&mut self, from: u32, bytes: &[u8], out: &mut Vec<Output>) {
        let known = self.members.contains(&from) && from != self.me;
        let Some(message) = decode::<Message>(bytes, MAX_DIRECT_BYTES).filter(|_| known) else {
            self.rejected_inputs += 1;
            return;
        };
        match message {
            Message::AskChildren { .. } | Message::AskCase { .. } | Message::AskStep { .. } => {
                self.handle_question(from, message, out)
            }
            Message::Children { .. } | Message::Case { .. } | Message::Step { .. } => {
                self.handle_answer(from, message, out)
            }
            Message::Piece { id, index, of, bytes } => self.handle_piece(from, id, index, of, bytes, out),
            Message::PieceReceived { id, index } => self.handle_piece_received(from, id, index, out),
            Message::Judged { id, result } => self.handle_judgement(from, id, Some(result), out),
            Message::Busy { id } => self.handle_judgement(from, id, None, out),
        }
    }

    fn check(&mut self, out: &mut Vec<Output>) {
        self.questions_answered = 0;
        self.evaluate_roots(out);
        self.descend(out);
        self.resend_pieces(out);
        self.update_fence(out);
    }

    fn root(&self) -> Option<Digest> {
        self.tree.as_ref().map(Tree::root)
    }

    /// The valid statements of other nodes that are alive.
    fn fresh(&self) -> impl Iterator<Item = (u32, &PeerState)> {
        let since = self.now.saturating_sub(self.limits.statement_lifetime);
        let fresh =
            self.peers.iter().filter(move |(node, peer)| peer.at >= since && self.alive.contains(node));
        fresh.map(|(&node, peer)| (node, peer))
    }

    fn publish(&mut self, out: &mut Vec<Output>) {
        if self.rules.is_none() {
            return;
        }
        let statement = Statement {
            version: self.version,
            root: self.root(),
            arithmetic: self.arithmetic,
            claim: self.fencing.claim(),
            fenced: self.fencing.fenced,
            consents: self.fencing.consents.clone(),
        };
        let due = |(at, before): &(Micros, Statement)| {
            *before != statement || self.now - at >= self.limits.publish_interval
        };
        if self.published.as_ref().is_none_or(due) {
            lemoncleat_faults::point!(RULES_VERSION);
            out.push(Output::Publish(encode(&statement)));
            self.published = Some((self.now, statement));
        }
    }

    fn send(&self, to: u32, message: &Message, out: &mut Vec<Output>) {
        out.push(Output::SendMessage { to, bytes: encode(message) });
    }

    /// Whether the case number is valid; a node of another build may use other numbers.
    fn case_in_range(case: u32) -> bool {
        case < CASES
    }
}
