//! `lemoncleat hollow`: runs nodes without calls for a scale rehearsal, controlled by orders on standard
//! input.
//!
//! Each is a complete node on its own thread, as run by `lemoncleat node`. The differences are described in
//! docs/design/scale.md.

use std::collections::HashMap;
use std::fmt;
use std::io::{self, BufRead, Write};
use std::net::TcpListener;
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use lemoncleat_lab::scale::{
    mark_of, now_us, processor_of_threads, resident_bytes, Answer, HollowNode, HollowPlan, NodeFigures,
    NodeView, Order, ThreadTime, Traffic,
};
use lemoncleat_lab::stage::Control;
use lemoncleat_node::Stats;
use lemoncleat_service::{read_config, spawn, Control as NodeControl, Running};
use serde_json::Value;
use tracing::field::{Field, Visit};
use tracing::span::{Attributes, Id, Record};
use tracing::{Event, Level, Metadata, Subscriber};

use crate::Failure;

// Retries and pause for binding the address of a node that has just stopped.
const BIND_RETRIES: u32 = 50;
const BIND_RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Maximum length of a thread name on Linux, in bytes.
const MAX_THREAD_NAME_LEN: usize = 15;

/// State of one node as read from its log: its view, and the members that it considers alive.
#[derive(Default)]
struct ObservedNode {
    view: NodeView,
    /// Numbers of the configurations put in force, with the time.
    configurations: Vec<(u64, i64)>,
    alive: Vec<u64>,
}

impl ObservedNode {
    fn set_alive(&mut self, number: usize, name: &str, alive: bool) {
        let (element, bit) = (number / 64, 1 << (number % 64));
        if self.alive.len() <= element {
            self.alive.resize(element + 1, 0);
        }
        if (self.alive[element] & bit != 0) == alive {
            return;
        }
        self.alive[element] ^= bit;
        self.view.changed = now_us();
        if alive {
            self.view.alive += 1;
            self.view.marks = self.view.marks.wrapping_add(mark_of(name));
        } else {
            self.view.alive -= 1;
            self.view.marks = self.view.marks.wrapping_sub(mark_of(name));
        }
    }
}

/// Observations from the log of all nodes of this process.
#[derive(Default)]
struct LogObserver {
    nodes: HashMap<String, Mutex<ObservedNode>>,
    /// Indices of members, in the order in which they first occur in the log.
    numbers: Mutex<HashMap<String, usize>>,
}

fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

impl LogObserver {
    fn observe(&self, event: &LogEvent) {
        let Some(observed) = self.nodes.get(&event.node) else { return };
        if event.message == "configuration in force" {
            let mut observed = lock(observed);
            observed.view.configuration = event.number;
            observed.configurations.push((event.number, now_us()));
            return;
        }
        let Some((name, rest)) = event.message.split_once(" is ") else { return };
        let alive = match rest.split([',', ' ']).next() {
            Some("there") => true,
            Some("suspected" | "gone") => false,
            _ => return,
        };
        let number = {
            let mut numbers = lock(&self.numbers);
            let next = numbers.len();
            *numbers.entry(name.to_owned()).or_insert(next)
        };
        lock(observed).set_alive(number, name, alive);
    }
}

/// Fields read from a log event.
#[derive(Default)]
struct LogEvent {
    node: String,
    number: u64,
    message: String,
}

impl Visit for LogEvent {
    fn record_str(&mut self, field: &Field, value: &str) {
        match field.name() {
            "node" => value.clone_into(&mut self.node),
            "message" => value.clone_into(&mut self.message),
            _ => {}
        }
    }

    fn record_u64(&mut self, field: &Field, value: u64) {
        if field.name() == "number" {
            self.number = value;
        }
    }

    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        match field.name() {
            "node" => self.node = format!("{value:?}").trim_matches('"').to_owned(),
            "message" => self.message = format!("{value:?}"),
            "number" => self.number = format!("{value:?}").parse().unwrap_or(0),
            _ => {}
        }
    }
}

/// Subscriber that reads the log events instead of writing them.
struct LogReader(Arc<LogObserver>);

impl Subscriber for LogReader {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        *metadata.level() <= Level::INFO
    }

    fn new_span(&self, _: &Attributes<'_>) -> Id {
        Id::from_u64(1)
    }

    fn record(&self, _: &Id, _: &Record<'_>) {}

    fn record_follows_from(&self, _: &Id, _: &Id) {}

    fn event(&self, event: &Event<'_>) {
        let mut fields = LogEvent::default();
        event.record(&mut fields);
        self.0.observe(&fields);
    }

    fn enter(&self, _: &Id) {}

    fn exit(&self, _: &Id) {}
}

struct NodeSlot {
    plan: HollowNode,
    running: Option<Running>,
    starts: u32,
    control: Option<Control>,
}

struct NodeHost {
    nodes: Vec<NodeSlot>,
    tail: String,
    observer: Arc<LogObserver>,
}

fn error_text(error: impl fmt::Display) -> String {
    error.to_string()
}

fn listen(node: &HollowNode) -> Result<TcpListener, String> {
    let mut retries = 0;
    loop {
        match TcpListener::bind(node.address) {
            Ok(listener) => return Ok(listener),
            Err(error) if retries == BIND_RETRIES => return Err(format!("{}: {error}", node.address)),
            Err(_) => std::thread::sleep(BIND_RETRY_PAUSE),
        }
        retries += 1;
    }
}

fn ask_stats(slot: &NodeSlot) -> Receiver<Stats> {
    let (sender, answer) = channel();
    if let Some(running) = &slot.running {
        running.control(NodeControl::Stats(sender));
    }
    answer
}

fn traffic(stats: Stats) -> Traffic {
    Traffic {
        sent: stats.control_sent_messages,
        sent_bytes: stats.control_sent_bytes,
        received: stats.control_received_messages,
        received_bytes: stats.control_received_bytes,
    }
}

fn ask(slot: &mut NodeSlot, order: &Value) -> Result<Value, String> {
    if slot.control.is_none() {
        let address = slot.running.as_ref().and_then(|running| running.control_address);
        slot.control = Some(Control::connect(address.ok_or("the node is not running")?).map_err(error_text)?);
    }
    let control = slot.control.as_mut().ok_or("no connection")?;
    let answer = control.ask(order).map_err(error_text);
    if answer.is_err() {
        slot.control = None;
    }
    answer
}

impl NodeHost {
    fn start(&mut self, index: usize) -> Result<(), String> {
        let slot = self.nodes.get_mut(index).ok_or("no such node")?;
        let text = slot.plan.head.clone() + &self.tail;
        let settings = read_config(&text).map_err(|error| error.in_file(&slot.plan.host))?.service;
        if let Some(observed) = self.observer.nodes.get(&slot.plan.host) {
            *lock(observed) = ObservedNode::default();
        }
        let listener = listen(&slot.plan)?;
        slot.running = Some(spawn(settings, listener).map_err(error_text)?);
        slot.starts += 1;
        Ok(())
    }

    fn stop(&mut self, index: usize) -> Result<(), String> {
        let slot = self.nodes.get_mut(index).ok_or("no such node")?;
        slot.control = None;
        slot.running.take().map_or(Ok(()), |running| running.stop().map(drop).map_err(error_text))
    }

    fn figures(&mut self) -> Result<Answer, String> {
        let process = std::process::id();
        let threads = processor_of_threads(process).map_err(error_text)?;
        let mut answer =
            Answer { memory_bytes: resident_bytes(process).map_err(error_text)?, ..Answer::default() };
        let mut node_processor_us: HashMap<&str, u64> = HashMap::new();
        for ThreadTime { id, name, processor_us } in &threads {
            if name.starts_with("node ") {
                node_processor_us.insert(name, *processor_us);
            } else if *id != process {
                // The main thread serves the rehearsal, not the nodes.
                answer.shared_us += processor_us;
            }
        }
        // All nodes are asked before the first answer is awaited.
        let asked: Vec<_> = self.nodes.iter().map(ask_stats).collect();
        for (slot, stats) in self.nodes.iter().zip(asked) {
            let name = format!("node {}", slot.plan.host);
            let name = name.get(..MAX_THREAD_NAME_LEN).unwrap_or(&name);
            let processor_us = node_processor_us.get(name).copied().unwrap_or(0);
            let traffic = stats.recv().ok().map(traffic);
            answer.figures.push(NodeFigures { start: slot.starts, processor_us, traffic });
        }
        Ok(answer)
    }

    fn execute(&mut self, order: Order) -> Result<Answer, String> {
        match order {
            Order::Start => {
                for index in 0..self.nodes.len() {
                    self.start(index)?;
                }
            }
            Order::Restart { node } => {
                self.stop(node)?;
                self.start(node)?;
            }
            Order::Views => {
                let view = |slot: &NodeSlot| {
                    self.observer
                        .nodes
                        .get(&slot.plan.host)
                        .map_or(NodeView::default(), |observed| lock(observed).view)
                };
                return Ok(Answer { views: self.nodes.iter().map(view).collect(), ..Answer::default() });
            }
            Order::Figures => return self.figures(),
            Order::Configurations => {
                let all = |slot: &NodeSlot| {
                    let observed = self.observer.nodes.get(&slot.plan.host);
                    observed.map_or(Vec::new(), |observed| lock(observed).configurations.clone())
                };
                let configurations = self.nodes.iter().map(all).collect();
                return Ok(Answer { configurations, ..Answer::default() });
            }
            Order::Ask { node, order } => {
                let slot = self.nodes.get_mut(node).ok_or("no such node")?;
                return Ok(Answer { told: ask(slot, &order)?, ..Answer::default() });
            }
        }
        Ok(Answer::default())
    }
}

fn write_answer(answer: Result<Answer, String>) -> Result<(), Failure> {
    let answer = answer.unwrap_or_else(|error| Answer { error: Some(error), ..Answer::default() });
    let text = serde_json::to_string(&answer).map_err(Failure::failed)?;
    let mut out = io::stdout().lock();
    writeln!(out, "{text}").and_then(|()| out.flush()).map_err(Failure::failed)
}

/// Executes orders until standard input closes, which ends all nodes with the process.
pub fn run() -> Result<(), Failure> {
    let mut lines = io::stdin().lock().lines();
    let Some(first) = lines.next() else { return Ok(()) };
    let plan: HollowPlan = serde_json::from_str(&first.map_err(Failure::failed)?).map_err(Failure::failed)?;
    let nodes = plan.nodes.iter().map(|node| (node.host.clone(), Mutex::default())).collect();
    let observer = Arc::new(LogObserver { nodes, ..LogObserver::default() });
    tracing::subscriber::set_global_default(LogReader(observer.clone())).map_err(Failure::failed)?;
    let slot = |plan| NodeSlot { plan, running: None, starts: 0, control: None };
    let mut hollow =
        NodeHost { nodes: plan.nodes.into_iter().map(slot).collect(), tail: plan.tail, observer };
    write_answer(Ok(Answer::default()))?;
    for line in lines {
        let order = serde_json::from_str(&line.map_err(Failure::failed)?).map_err(error_text);
        write_answer(order.and_then(|order| hollow.execute(order)))?;
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn view_follows_latest_log_events() {
        let nodes = [("h1".to_owned(), Mutex::default())].into_iter().collect();
        let observer = LogObserver { nodes, ..LogObserver::default() };
        let log = |message: &str| {
            observer.observe(&LogEvent { node: "h1".to_owned(), number: 7, message: message.to_owned() });
        };
        log("v0 is there, 2 of 9 are");
        log("node-1.lab is there, 3 of 9 are");
        log("v0 is there, 3 of 9 are");
        let view = || lock(&observer.nodes["h1"]).view;
        assert_eq!((view().alive, view().marks), (2, mark_of("v0").wrapping_add(mark_of("node-1.lab"))));
        log("v0 is suspected");
        log("v0 is gone, 2 of 9 are there");
        log("the agreement is led by v1");
        assert_eq!((view().alive, view().marks), (1, mark_of("node-1.lab")));
        assert_eq!(view().configuration, 0);
        log("configuration in force");
        assert_eq!(view().configuration, 7);
    }
}
