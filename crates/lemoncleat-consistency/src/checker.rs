//! Compares nodes of one version and says what follows for the own one.

mod descent;
mod fence;
mod verdict;
mod windows;

use std::collections::{BTreeMap, BTreeSet};
use std::marker::PhantomData;

use lemoncleat::Micros;

use crate::cases::CASES;
use crate::tree::Tree;
use crate::version::{arithmetic, Digest, Rules};
use crate::window::{Decider, Difference, Played, Unplayable};
use crate::words::{read, write, Message, Word, MOST_DIRECT, MOST_FACT};

use descent::Descent;
use fence::Fencing;
use verdict::Verdicts;
use windows::{Incoming, Outgoing};

/// Time between two looks, in microseconds.
pub(crate) const LOOK: Micros = 1_000_000;

/// What the operator allows. Times in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Whether a node may fence itself.
    pub fences: bool,
    /// Most of the fleet's members fenced at once, in hundredths. Rounded down; eight nodes at most.
    pub share: u32,
    /// What a refused caller is told about when to come back.
    pub come_back: Micros,
    /// How long a word counts. A node without a turn for half of it hears all others anew.
    pub life: Micros,
    /// Time between two tellings of an unchanged word.
    pub every: Micros,
    /// Most bytes of another's window.
    pub window: usize,
}

impl Default for Limits {
    /// No fence, a tenth of the fleet, words of 30 s told every 10 s, windows of 4 MiB.
    fn default() -> Self {
        Limits {
            fences: false,
            share: 10,
            come_back: 30_000_000,
            life: 30_000_000,
            every: 10_000_000,
            window: 4 << 20,
        }
    }
}

/// What a checker is told.
#[derive(Clone, Debug)]
pub enum Input {
    /// The rules in force from now on: at the start, and after a reload.
    Rules(Rules),
    /// The tree that [`Output::Cases`] asked for.
    Proved(Tree),
    /// The members taken for alive, the own node left out or not.
    Alive(BTreeSet<u32>),
    /// A fact of another node.
    Heard {
        /// Whose.
        from: u32,
        /// Which of its lives.
        incarnation: u64,
        /// How long ago it was said, in microseconds.
        age: Micros,
        /// What it holds.
        bytes: Vec<u8>,
    },
    /// A message of another node.
    Direct {
        /// Whose.
        from: u32,
        /// What it holds.
        bytes: Vec<u8>,
    },
    /// A window of the own work was sealed.
    Sealed {
        /// Its number.
        number: u32,
        /// It, as bytes.
        window: Vec<u8>,
    },
    /// What came of [`Output::Play`].
    Played {
        /// Whose window.
        from: u32,
        /// Its name there.
        id: u64,
        /// The result.
        result: Result<Played, Unplayable>,
    },
    /// Nothing but that time passed.
    Timeout,
}

/// What a checker wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Make this the node's fact; 160 bytes at most.
    Publish(Vec<u8>),
    /// Send this to a node; 16 KiB at most. It may be lost.
    Direct {
        /// To whom.
        to: u32,
        /// What.
        bytes: Vec<u8>,
    },
    /// Play the generated cases of the rules in force, from a fresh start, where no call waits.
    Cases,
    /// Play a window by the rules in force, where no call waits. It may be the own one.
    Play {
        /// Whose window.
        from: u32,
        /// Its name, for [`Input::Played`].
        id: u64,
        /// It, as bytes.
        window: Vec<u8>,
    },
    /// Refuse new calls from now on, with this time to come back; or take them again. Standing ones live on.
    Fence(Option<Micros>),
    /// Something for the log.
    Notice(Notice),
}

/// Something that the operator should know.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// The version that is in force here.
    Version(Digest),
    /// The fleet holds several versions, and since how long, in microseconds.
    Versions {
        /// How many.
        count: usize,
        /// For how long.
        held: Micros,
    },
    /// It holds one again, after this long.
    OneVersion {
        /// For how long it held several.
        held: Micros,
    },
    /// A node of the own version came to another root than most.
    Odd {
        /// Which; it may be the own one.
        node: u32,
        /// How many agree against it.
        against: usize,
        /// Its mathematics library or processor computes otherwise, too: the likely cause.
        arithmetic: bool,
    },
    /// Nodes of the own version came to several roots, and no majority to one. Nobody is fenced.
    Undecided {
        /// How many roots.
        roots: usize,
        /// How many nodes.
        nodes: usize,
    },
    /// All nodes of the own version agree again.
    Agreed,
    /// The first case and step at which another node decides otherwise than this one.
    Differs {
        /// The other node.
        node: u32,
        /// The generated case.
        case: u32,
        /// Its first step with other actions.
        step: u32,
        /// What came and what this node did.
        ours: String,
        /// What came and what the other did.
        theirs: String,
    },
    /// Another node's window came out otherwise here.
    Window {
        /// Whose.
        node: u32,
        /// Its name: the first eight bytes of its digest.
        id: u64,
        /// Where it parts.
        difference: Difference,
    },
    /// Two others agree on where a window of this node's work parts from theirs.
    OwnWindow {
        /// Its number.
        number: u32,
        /// Where it parts.
        difference: Difference,
        /// Who says so.
        judges: [u32; 2],
        /// What came of playing it again here.
        again: Result<Played, Unplayable>,
    },
    /// The judges of an own window don't agree: one of them may be wrong.
    Split {
        /// Its number.
        number: u32,
    },
    /// A window could not be played. It says nothing against its node.
    Unplayable {
        /// Whose.
        node: u32,
        /// Its name: the first eight bytes of its digest.
        id: u64,
        /// Why.
        why: Unplayable,
    },
    /// The own cases were played a second time, before anything is made of a difference.
    Checked {
        /// They came to the same root as the first time.
        same: bool,
    },
    /// This node refuses new calls from now on.
    Fenced,
    /// It ought to, but as many do so already as may.
    NotFenced,
    /// It takes calls again.
    Unfenced,
}

/// What another node last said.
pub(crate) struct Said {
    incarnation: u64,
    /// When it said so, on the own clock.
    at: Micros,
    word: Word,
}

/// The checker of one node. `D` is what decides there.
pub struct Checker<D> {
    me: u32,
    incarnation: u64,
    members: BTreeSet<u32>,
    limits: Limits,
    now: Micros,
    started: Option<Micros>,
    next_look: Micros,
    rules: Option<Rules>,
    version: Digest,
    tree: Option<Tree>,
    /// Cases are being played a second time.
    checking: bool,
    arithmetic: u32,
    alive: BTreeSet<u32>,
    said: BTreeMap<u32, Said>,
    published: Option<(Micros, Word)>,
    verdicts: Verdicts,
    descent: Option<Descent>,
    /// Descents that ended, by node and its root.
    descended: BTreeMap<u32, Digest>,
    /// Questions answered since the last look.
    asked: u32,
    outgoing: Option<Outgoing>,
    incoming: BTreeMap<u32, Incoming>,
    /// The last window of each node that was played, and what came of it.
    judged: BTreeMap<u32, (u64, Result<Played, Unplayable>)>,
    fencing: Fencing,
    unread: u64,
    decider: PhantomData<fn() -> D>,
}

impl<D: Decider> Checker<D> {
    /// The checker of the node `me` in this incarnation. `members` are all nodes of the settings.
    pub fn new(me: u32, incarnation: u64, members: BTreeSet<u32>, limits: Limits) -> Self {
        let fencing = Fencing::new(&limits, members.len());
        Checker {
            me,
            incarnation,
            members,
            limits,
            now: Micros::MIN,
            started: None,
            next_look: Micros::MIN,
            rules: None,
            version: Digest::default(),
            tree: None,
            checking: false,
            arithmetic: arithmetic(),
            alive: BTreeSet::new(),
            said: BTreeMap::new(),
            published: None,
            verdicts: Verdicts::default(),
            descent: None,
            descended: BTreeMap::new(),
            asked: 0,
            outgoing: None,
            incoming: BTreeMap::new(),
            judged: BTreeMap::new(),
            fencing,
            unread: 0,
            decider: PhantomData,
        }
    }

    /// Takes in what happened at the moment `now`.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        self.turn(now);
        match input {
            Input::Rules(rules) => self.rules(rules, out),
            Input::Proved(tree) => self.proved(tree, out),
            Input::Alive(alive) => self.alive = alive,
            Input::Heard { from, incarnation, age, bytes } => self.heard(from, incarnation, age, &bytes),
            Input::Direct { from, bytes } => self.direct(from, &bytes, out),
            Input::Sealed { number, window } => self.sealed(number, window, out),
            Input::Played { from, id, result } => self.played(from, id, result, out),
            Input::Timeout => {}
        }
        if self.now >= self.next_look {
            self.next_look = self.now.saturating_add(LOOK);
            self.look(out);
        }
        self.publish(out);
    }

    /// When it wants the next turn at the latest.
    pub fn wake(&self) -> Option<Micros> {
        self.started.map(|_| self.next_look)
    }

    /// The version in force.
    pub fn version(&self) -> Digest {
        self.version
    }

    /// Whether the node is fenced.
    pub fn fenced(&self) -> bool {
        self.fencing.fenced
    }

    /// Messages and facts that could not be read, came from no member, or were beyond a limit.
    pub fn unread(&self) -> u64 {
        self.unread
    }

    fn turn(&mut self, now: Micros) {
        let now = now.max(self.now);
        let started = *self.started.get_or_insert(now);
        if self.now >= started && now - self.now > self.limits.life / 2 {
            // All that it knows of others is as old as its sleep was long.
            self.said.values_mut().for_each(|said| said.at = Micros::MIN);
        }
        self.now = now;
    }

    fn rules(&mut self, rules: Rules, out: &mut Vec<Output>) {
        self.version = rules.version();
        self.rules = Some(rules);
        self.tree = None;
        self.checking = false;
        self.descent = None;
        self.descended.clear();
        self.outgoing = None;
        self.verdicts.reset();
        self.fencing.withdraw();
        out.push(Output::Notice(Notice::Version(self.version)));
        out.push(Output::Cases);
    }

    fn proved(&mut self, tree: Tree, out: &mut Vec<Output>) {
        let before = self.tree.replace(tree).map(|tree| tree.root());
        if std::mem::take(&mut self.checking) {
            let same = before == self.root();
            out.push(Output::Notice(Notice::Checked { same }));
            self.verdicts.checked = true;
        }
    }

    fn heard(&mut self, from: u32, incarnation: u64, age: Micros, bytes: &[u8]) {
        let word = read::<Word>(bytes, MOST_FACT).filter(|_| self.members.contains(&from) && from != self.me);
        let Some(word) = word else {
            self.unread += 1;
            return;
        };
        let at = self.now.saturating_sub(age.max(0));
        if let Some(said) = self.said.get(&from) {
            if (said.incarnation, said.at) > (incarnation, at) {
                return; // A late word of an earlier life, or an earlier one of this.
            }
        }
        if word.version == self.version {
            lemoncleat_faults::point!(RULES_ROOT);
        }
        self.consent(from, incarnation, &word);
        self.said.insert(from, Said { incarnation, at, word });
    }

    fn direct(&mut self, from: u32, bytes: &[u8], out: &mut Vec<Output>) {
        let known = self.members.contains(&from) && from != self.me;
        let Some(message) = read::<Message>(bytes, MOST_DIRECT).filter(|_| known) else {
            self.unread += 1;
            return;
        };
        match message {
            Message::Ask { .. } | Message::AskCase { .. } | Message::AskStep { .. } => {
                self.asked(from, message, out)
            }
            Message::Children { .. } | Message::Case { .. } | Message::Step { .. } => {
                self.answered(from, message, out)
            }
            Message::Piece { id, index, of, bytes } => self.piece(from, id, index, of, bytes, out),
            Message::Got { id, index } => self.got(from, id, index, out),
            Message::Judged { id, result } => self.judged(from, id, Some(result), out),
            Message::Busy { id } => self.judged(from, id, None, out),
        }
    }

    fn look(&mut self, out: &mut Vec<Output>) {
        self.asked = 0;
        self.weigh(out);
        self.descend(out);
        self.resend(out);
        self.mind_fence(out);
    }

    fn root(&self) -> Option<Digest> {
        self.tree.as_ref().map(Tree::root)
    }

    /// What others that are alive said of late.
    fn fresh(&self) -> impl Iterator<Item = (u32, &Said)> {
        let since = self.now.saturating_sub(self.limits.life);
        let fresh =
            self.said.iter().filter(move |(node, said)| said.at >= since && self.alive.contains(node));
        fresh.map(|(&node, said)| (node, said))
    }

    fn publish(&mut self, out: &mut Vec<Output>) {
        if self.rules.is_none() {
            return;
        }
        let word = Word {
            version: self.version,
            root: self.root(),
            arithmetic: self.arithmetic,
            claim: self.fencing.claim(),
            fenced: self.fencing.fenced,
            consents: self.fencing.consents.clone(),
        };
        let due = |(at, before): &(Micros, Word)| *before != word || self.now - at >= self.limits.every;
        if self.published.as_ref().is_none_or(due) {
            lemoncleat_faults::point!(RULES_VERSION);
            out.push(Output::Publish(write(&word)));
            self.published = Some((self.now, word));
        }
    }

    fn say(&self, to: u32, message: &Message, out: &mut Vec<Output>) {
        out.push(Output::Direct { to, bytes: write(message) });
    }

    /// Whether a tree of another build could be meant.
    fn case_in_range(case: u32) -> bool {
        case < CASES
    }
}
