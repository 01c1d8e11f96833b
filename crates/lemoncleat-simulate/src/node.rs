//! An access node in the simulation: its real core, driven under the virtual clock.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use lemoncleat_lab::NodeControl;
use lemoncleat_node::{ConnId, Input, ListNews, Node, Output, PeerId};
use lemoncleat_service::{parse_line, read_config};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;

use crate::Micros;

/// An event at a node.
#[derive(Debug)]
pub(crate) enum NodeEvent {
    Accepted(u64),
    Dialled(PeerId, u64),
    DialFailed(PeerId),
    Bytes(u64, Vec<u8>),
    Closed(u64),
    List(ListNews),
}

impl NodeEvent {
    fn conn(&self) -> Option<u64> {
        match self {
            NodeEvent::Accepted(conn)
            | NodeEvent::Dialled(_, conn)
            | NodeEvent::Bytes(conn, _)
            | NodeEvent::Closed(conn) => Some(*conn),
            NodeEvent::DialFailed(_) | NodeEvent::List(_) => None,
        }
    }
}

/// The lab's control of a node: stalls are queued here for the simulation.
pub(crate) struct NodeHandle {
    pub address: SocketAddr,
    pub number: usize,
    pub stalls: Arc<Mutex<Vec<(usize, Micros)>>>,
}

impl NodeControl for NodeHandle {
    fn address(&self) -> SocketAddr {
        self.address
    }

    fn control(&self) -> Option<SocketAddr> {
        None
    }

    fn challenge(&self) -> Option<SocketAddr> {
        None
    }

    fn stall(&self, time: Duration) {
        let mut stalls = self.stalls.lock().unwrap_or_else(PoisonError::into_inner);
        stalls.push((self.number, Micros::try_from(time.as_micros()).unwrap_or(Micros::MAX)));
    }

    fn stop(self: Box<Self>) {}
}

pub(crate) struct SimNode {
    pub core: Node,
    pub address: SocketAddr,
    pub feed: Option<SocketAddr>,
    /// The connection of its feed, and the bytes received on it that do not make up a line yet.
    pub feed_conn: Option<u64>,
    partial_line: Vec<u8>,
    gap: Micros,
    /// Beginning and end of a stall.
    stalled: Option<(Micros, Micros)>,
    inbox: Vec<NodeEvent>,
    pub out: Vec<Output>,
}

impl SimNode {
    /// Creates a node from a settings text as an operator would write it.
    pub fn new(text: &str, address: SocketAddr) -> Result<SimNode, String> {
        let config = read_config(text).map_err(|error| error.in_file("settings"))?;
        let seed = config.service.seed.unwrap_or(1);
        let gap = config.service.node.timing.gap;
        let core = Node::new(config.service.node, 1, seed).map_err(|error| error.to_string())?;
        Ok(SimNode {
            core,
            address,
            feed: config.service.feed,
            feed_conn: None,
            partial_line: Vec::new(),
            gap,
            stalled: None,
            inbox: Vec::new(),
            out: Vec::new(),
        })
    }

    /// Returns the time of the next turn.
    pub fn wake(&self) -> Option<Micros> {
        match self.stalled {
            Some((_, until)) => Some(until),
            None => self.core.wake(),
        }
    }

    /// Stalls the node for a while; a stall that begins during another extends it.
    pub fn stall(&mut self, now: Micros, time: Micros) {
        let (since, until) = self.stalled.unwrap_or((now, now));
        self.stalled = Some((since, until.max(now + time)));
    }

    pub fn event(&mut self, now: Micros, event: NodeEvent) {
        match self.stalled {
            Some(_) => self.inbox.push(event),
            None => self.handle(now, event),
        }
    }

    fn handle(&mut self, now: Micros, event: NodeEvent) {
        let input = match &event {
            NodeEvent::Accepted(conn) => Input::Accepted(ConnId(*conn)),
            NodeEvent::Dialled(peer, conn) => Input::Dialled(*peer, ConnId(*conn)),
            NodeEvent::DialFailed(peer) => Input::DialFailed(*peer),
            NodeEvent::Bytes(conn, bytes) => Input::Bytes(ConnId(*conn), bytes),
            NodeEvent::Closed(conn) => Input::Closed(ConnId(*conn)),
            NodeEvent::List(news) => Input::List(news.clone()),
        };
        self.core.handle(now, input, &mut self.out);
    }

    /// Gives the node a turn. After a stall it reads its backlog in random order of the connections, as its
    /// driver would read whichever socket is ready first.
    pub fn turn(&mut self, now: Micros, rng: &mut SmallRng) {
        let Some((since, until)) = self.stalled else {
            return self.core.handle(now, Input::Timeout, &mut self.out);
        };
        if now < until {
            return;
        }
        self.stalled = None;
        let beyond_gap = now - since > self.gap;
        if beyond_gap {
            self.core.handle(now, Input::Away(since), &mut self.out);
        }
        for event in shuffle_connections(std::mem::take(&mut self.inbox), rng) {
            self.handle(now, event);
        }
        let last = if beyond_gap { Input::BacklogDelivered } else { Input::Timeout };
        self.core.handle(now, last, &mut self.out);
    }

    /// Takes bytes of the feed and returns the list news in its complete lines.
    pub fn feed_bytes(&mut self, bytes: &[u8]) -> Vec<ListNews> {
        self.partial_line.extend_from_slice(bytes);
        let mut news = Vec::new();
        while let Some(end) = self.partial_line.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.partial_line.drain(..=end).collect();
            let line = String::from_utf8_lossy(&line);
            news.extend(parse_line(line.trim_end()).map(|line| line.news));
        }
        news
    }

    /// Drops the feed's connection and its incomplete line.
    pub fn feed_closed(&mut self) {
        self.feed_conn = None;
        self.partial_line.clear();
    }
}

/// Shuffles the order of connections; events of one connection keep their order.
fn shuffle_connections(events: Vec<NodeEvent>, rng: &mut SmallRng) -> Vec<NodeEvent> {
    let mut order: Vec<Option<u64>> = events.iter().map(NodeEvent::conn).collect();
    order.shuffle(rng);
    let mut left: Vec<Option<NodeEvent>> = events.into_iter().map(Some).collect();
    let mut sorted = Vec::with_capacity(left.len());
    for conn in order {
        let next = left.iter_mut().find(|event| event.as_ref().is_some_and(|event| event.conn() == conn));
        sorted.extend(next.and_then(Option::take));
    }
    sorted
}
