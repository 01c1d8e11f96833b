//! Connections between nodes as their carrier gives them: in order within one, lost with it, held while a way is cut.

use std::collections::{BTreeMap, VecDeque};

use crate::Micros;

/// What comes along a connection.
#[derive(Clone, Debug)]
pub(super) enum Item {
    Open,
    Word { said: Micros, bytes: Vec<u8> },
    Close,
}

/// A connection; its sides are the one that dialled and the other.
pub(super) struct Conn {
    pub ends: [usize; 2],
    /// What comes to each side, and when.
    pub pipes: [VecDeque<(Micros, Item)>; 2],
    /// The side's node holds it for linked.
    pub linked: [bool; 2],
    /// The side has given it up.
    pub lost: [bool; 2],
    pub closing: bool,
}

impl Conn {
    pub fn new(ends: [usize; 2]) -> Conn {
        Conn { ends, pipes: Default::default(), linked: [false; 2], lost: [false; 2], closing: false }
    }

    pub fn side(&self, node: usize) -> usize {
        usize::from(self.ends[1] == node)
    }

    /// Puts something on its way to a side; it overtakes nothing. When it is due.
    pub fn put(&mut self, side: usize, due: Micros, item: Item) -> Micros {
        let due = self.pipes[side].back().map_or(due, |(last, _)| due.max(*last));
        self.pipes[side].push_back((due, item));
        due
    }
}

/// All connections; at most one between two nodes.
#[derive(Default)]
pub(super) struct Links {
    pub conns: BTreeMap<u64, Conn>,
    between: BTreeMap<(usize, usize), u64>,
    next: u64,
}

impl Links {
    pub fn between(&self, a: usize, b: usize) -> Option<u64> {
        self.between.get(&(a.min(b), a.max(b))).copied()
    }

    pub fn add(&mut self, dialler: usize, other: usize) -> (u64, &mut Conn) {
        self.next += 1;
        self.between.insert((dialler.min(other), dialler.max(other)), self.next);
        (self.next, self.conns.entry(self.next).or_insert(Conn::new([dialler, other])))
    }

    pub fn remove(&mut self, id: u64) {
        if let Some(conn) = self.conns.remove(&id) {
            let [a, b] = conn.ends;
            self.between.remove(&(a.min(b), a.max(b)));
        }
    }

    pub fn of(&self, node: usize) -> Vec<u64> {
        self.conns.iter().filter(|(_, conn)| conn.ends.contains(&node)).map(|(id, _)| *id).collect()
    }
}
