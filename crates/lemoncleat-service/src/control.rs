//! The control port: one JSON object a line in, one out, for operators on the node's own machine.
//!
//! `{"op":"list"}`, `{"op":"circuits","server":S}`, and `{"op":"block"|"unblock"|"reset"|"audit","server":S,
//! "first":N,"count":N,"hardware":BOOL}`, and `{"op":"renew"}` for a new certificate. `{"op":"spent"}` tells
//! the messages and bytes of control sent and received since the start. In a fleet `{"op":"members"}`,
//! `{"op":"agreement"}`, `{"op":"mark","order":O,"text":T}` (answered once it is agreed) and `{"op":"marks","after":N}`.
//! Where the fleet has one configuration for all, `{"op":"configure","order":O,"parent":N,"text":T}` (answered once it is
//! agreed, or refused), `{"op":"configuration"}` and `{"op":"configurations"}` (answered when the fleet was asked). The
//! answer has `"ok":true`, or `"ok":false` and `"error"`.

use lemoncleat_certificates::Keeper;
use lemoncleat_commons::Said;
use lemoncleat_node::circuits::{Blocks, Range, State};
use lemoncleat_node::{CircuitOrder, Micros, Node, Output};
use serde::Deserialize;
use serde_json::{json, Value};

use crate::fleet::FleetDriver;

/// Longest line taken.
pub(crate) const MAX_LINE: usize = 1024 * 1024;

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum Op {
    List,
    Circuits,
    Block,
    Unblock,
    Reset,
    Audit,
    Renew,
    Spent,
    Members,
    Agreement,
    Mark,
    Marks,
    Configure,
    Configuration,
    Configurations,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Order {
    op: Op,
    #[serde(default)]
    server: String,
    #[serde(default)]
    first: u32,
    #[serde(default)]
    count: u32,
    #[serde(default)]
    hardware: bool,
    #[serde(default)]
    order: String,
    #[serde(default)]
    text: String,
    #[serde(default)]
    after: u64,
    #[serde(default)]
    parent: u64,
}

/// What an operator can reach at a node.
pub(crate) struct At<'a> {
    pub(crate) node: &'a mut Node,
    pub(crate) keeper: Option<&'a Keeper>,
    pub(crate) fleet: Option<&'a mut FleetDriver>,
    pub(crate) now: Micros,
    /// His connection.
    pub(crate) conn: u64,
}

fn block_text(blocks: Blocks) -> &'static str {
    match (blocks.maintenance, blocks.hardware) {
        (false, false) => "none",
        (true, false) => "maintenance",
        (false, true) => "hardware",
        (true, true) => "both",
    }
}

fn state_text(state: State) -> (&'static str, Option<u64>) {
    match state {
        State::Idle => ("idle", None),
        State::Seizing(call) => ("seizing", Some(call)),
        State::Arriving(call) => ("arriving", Some(call)),
        State::Outgoing(call) => ("outgoing", Some(call)),
        State::Incoming(call) => ("incoming", Some(call)),
        State::Releasing(call) => ("releasing", Some(call)),
        State::Resetting => ("resetting", None),
    }
}

/// Answers a line; nothing if the answer follows later.
pub(crate) fn answer(
    at: &mut At<'_>,
    line: &[u8],
    out: &mut Vec<Output>,
    said: &mut Vec<Said>,
) -> Option<Value> {
    let order = match serde_json::from_slice::<Order>(line) {
        Ok(order) => order,
        Err(error) => return Some(json!({"ok": false, "error": error.to_string()})),
    };
    Some(match order.op {
        Op::Renew => match at.keeper {
            Some(keeper) => {
                keeper.renew_now();
                json!({"ok": true})
            }
            None => json!({"ok": false, "error": "this node's certificates do not come by ACME"}),
        },
        Op::Spent => {
            let stats = at.node.stats();
            json!({
                "ok": true,
                "control_sent_messages": stats.control_sent_messages,
                "control_sent_bytes": stats.control_sent_bytes,
                "control_received_messages": stats.control_received_messages,
                "control_received_bytes": stats.control_received_bytes,
            })
        }
        Op::Members | Op::Agreement | Op::Mark | Op::Marks => return ask_fleet(at, &order, said),
        Op::Configure | Op::Configuration | Op::Configurations => return configuration(at, order, said),
        _ => carry_out(at.node, at.now, &order, out)
            .unwrap_or_else(|error| json!({"ok": false, "error": error})),
    })
}

fn ask_fleet(at: &mut At<'_>, order: &Order, said: &mut Vec<Said>) -> Option<Value> {
    let Some(driver) = &mut at.fleet else {
        return Some(json!({"ok": false, "error": "this node is in no fleet"}));
    };
    let fleet = &mut driver.part;
    let answer = match order.op {
        Op::Members => Some(fleet.members(at.now)),
        Op::Marks => fleet.marks(order.after),
        Op::Mark if fleet.mark(at.now, at.conn, &order.order, &order.text, said) => return None,
        Op::Mark => None,
        _ => fleet.agreement(),
    };
    Some(
        answer
            .unwrap_or_else(|| json!({"ok": false, "error": "this fleet has no voters: nothing is agreed"})),
    )
}

/// Orders about the configuration of the whole fleet. A text is checked on a thread of its own before it is proposed.
fn configuration(at: &mut At<'_>, order: Order, said: &mut Vec<Said>) -> Option<Value> {
    let none = "this node has no configuration that its fleet agrees on";
    let Some(driver) = at.fleet.as_mut() else {
        return Some(json!({"ok": false, "error": "this node is in no fleet"}));
    };
    let Some(threads) = &mut driver.configuration else { return Some(json!({"ok": false, "error": none})) };
    let error = match order.op {
        Op::Configure if threads.check(at.conn, order.order.clone(), order.parent, order.text) => {
            return None
        }
        Op::Configure => "too many texts wait to be checked",
        Op::Configurations if driver.part.configurations(at.now, at.conn, said) => return None,
        Op::Configurations => none,
        _ => match driver.part.configuration(at.now) {
            Some(answer) => return Some(answer),
            None => none,
        },
    };
    Some(json!({"ok": false, "order": order.order, "error": error}))
}

fn carry_out(node: &mut Node, now: Micros, order: &Order, out: &mut Vec<Output>) -> Result<Value, String> {
    let hardware = order.hardware;
    let wanted = match order.op {
        Op::List => {
            let groups: Vec<Value> = node
                .groups()
                .into_iter()
                .map(|group| {
                    let counts = group.counts;
                    json!({
                        "server": &*group.server, "size": counts.size, "free": counts.free, "idle": counts.idle,
                        "outgoing": counts.outgoing, "incoming": counts.incoming, "transient": counts.transient,
                        "blocked": counts.blocked, "waiting": group.waiting,
                    })
                })
                .collect();
            return Ok(json!({"ok": true, "groups": groups}));
        }
        Op::Circuits => {
            let circuits: Vec<Value> = node
                .circuits(&order.server)?
                .into_iter()
                .map(|circuit| {
                    let (state, call) = state_text(circuit.state);
                    json!({
                        "circuit": circuit.circuit, "state": state, "call": call,
                        "blocked": block_text(circuit.blocked.0), "blocked_there": block_text(circuit.blocked.1),
                    })
                })
                .collect();
            return Ok(json!({"ok": true, "circuits": circuits}));
        }
        Op::Block => CircuitOrder::Block { hardware },
        Op::Unblock => CircuitOrder::Unblock { hardware },
        Op::Reset => CircuitOrder::Reset,
        Op::Audit => CircuitOrder::Audit,
        _ => return Err("not about circuits".to_owned()),
    };
    let range = Range { first: order.first, count: order.count };
    node.order(now, &order.server, range, wanted, out)?;
    Ok(json!({"ok": true}))
}
