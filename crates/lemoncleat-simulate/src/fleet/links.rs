//! Connections between nodes: in order within one, lost with it, held back while a way is cut.

use std::collections::{BTreeMap, VecDeque};

use crate::Micros;

/// An item on its way along a connection.
#[derive(Clone, Debug)]
pub(super) enum Item {
    Open,
    Message { sent_at: Micros, bytes: Vec<u8> },
    Close,
}

/// A connection; side 0 is the node that dialled, side 1 the other.
pub(super) struct Conn {
    pub ends: [usize; 2],
    /// Items on their way to each side, with their arrival times.
    pub queues: [VecDeque<(Micros, Item)>; 2],
    /// Whether the side's node takes the connection as linked.
    pub linked: [bool; 2],
    /// Whether the side has given the connection up.
    pub lost: [bool; 2],
    pub closing: bool,
}

impl Conn {
    pub fn new(ends: [usize; 2]) -> Conn {
        Conn { ends, queues: Default::default(), linked: [false; 2], lost: [false; 2], closing: false }
    }

    pub fn side(&self, node: usize) -> usize {
        usize::from(self.ends[1] == node)
    }

    /// Queues an item for a side and returns its arrival time; it never overtakes an earlier item.
    pub fn enqueue(&mut self, side: usize, due: Micros, item: Item) -> Micros {
        let due = self.queues[side].back().map_or(due, |(last, _)| due.max(*last));
        self.queues[side].push_back((due, item));
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

    pub fn of_node(&self, node: usize) -> Vec<u64> {
        self.conns.iter().filter(|(_, conn)| conn.ends.contains(&node)).map(|(id, _)| *id).collect()
    }
}
