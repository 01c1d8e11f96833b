//! The control port: operators on the node's host send one JSON object per line and get one per line back.
//!
//! `{"op":"list"}`, `{"op":"circuits","server":S}`, and `{"op":"block"|"unblock"|"reset"|"audit","server":S,
//! "first":N,"count":N,"hardware":BOOL}`, and `{"op":"renew"}` for a new certificate. `{"op":"spent"}`
//! returns the messages and bytes of control sent and received since the start. In a fleet
//! `{"op":"members"}`, `{"op":"agreement"}`, `{"op":"mark","order":O,"text":T}` (answered once it is agreed)
//! and `{"op":"marks","after":N}`. Where the fleet has one configuration for all,
//! `{"op":"configure","order":O,"parent":N,"text":T}` (answered once it is agreed, or refused),
//! `{"op":"configuration"}` and `{"op":"configurations"}` (answered when the fleet was asked). The answer has
//! `"ok":true`, or `"ok":false` and `"error"`.

use lemoncleat_certificates::Keeper;
use lemoncleat_commons::Said;
use lemoncleat_node::circuits::{Blocks, Range, State};
use lemoncleat_node::{CircuitOrder, Micros, Node, Output};
use serde::Deserialize;
use serde_json::{json, Value};

use crate::fleet::FleetDriver;

/// Maximum length of a line in bytes.
pub(crate) const MAX_LINE_BYTES: usize = 1024 * 1024;

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

/// The parts of a node that control requests act on.
pub(crate) struct ControlContext<'a> {
    pub(crate) node: &'a mut Node,
    pub(crate) keeper: Option<&'a Keeper>,
    pub(crate) fleet: Option<&'a mut FleetDriver>,
    pub(crate) now: Micros,
    /// The operator's connection.
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

/// Handles a line and returns the answer; `None` if the answer follows later.
pub(crate) fn answer(
    context: &mut ControlContext<'_>,
    line: &[u8],
    outputs: &mut Vec<Output>,
    actions: &mut Vec<Said>,
) -> Option<Value> {
    let order = match serde_json::from_slice::<Order>(line) {
        Ok(order) => order,
        Err(error) => return Some(json!({"ok": false, "error": error.to_string()})),
    };
    Some(match order.op {
        Op::Renew => match context.keeper {
            Some(keeper) => {
                keeper.renew_now();
                json!({"ok": true})
            }
            None => json!({"ok": false, "error": "this node's certificates do not come by ACME"}),
        },
        Op::Spent => {
            let stats = context.node.stats();
            json!({
                "ok": true,
                "control_sent_messages": stats.control_sent_messages,
                "control_sent_bytes": stats.control_sent_bytes,
                "control_received_messages": stats.control_received_messages,
                "control_received_bytes": stats.control_received_bytes,
            })
        }
        Op::Members | Op::Agreement | Op::Mark | Op::Marks => return ask_fleet(context, &order, actions),
        Op::Configure | Op::Configuration | Op::Configurations => {
            return handle_configuration_order(context, order, actions)
        }
        _ => perform_circuit_order(context.node, context.now, &order, outputs)
            .unwrap_or_else(|error| json!({"ok": false, "error": error})),
    })
}

fn ask_fleet(context: &mut ControlContext<'_>, order: &Order, actions: &mut Vec<Said>) -> Option<Value> {
    let Some(driver) = &mut context.fleet else {
        return Some(json!({"ok": false, "error": "this node is in no fleet"}));
    };
    let fleet = &mut driver.part;
    let answer = match order.op {
        Op::Members => Some(fleet.members(context.now)),
        Op::Marks => fleet.marks(order.after),
        Op::Mark if fleet.mark(context.now, context.conn, &order.order, &order.text, actions) => return None,
        Op::Mark => None,
        _ => fleet.agreement(),
    };
    Some(
        answer
            .unwrap_or_else(|| json!({"ok": false, "error": "this fleet has no voters: nothing is agreed"})),
    )
}

/// Handles requests about the fleet configuration. A text is checked on a separate thread before it is
/// proposed.
fn handle_configuration_order(
    context: &mut ControlContext<'_>,
    order: Order,
    actions: &mut Vec<Said>,
) -> Option<Value> {
    let none = "this node has no configuration that its fleet agrees on";
    let Some(driver) = context.fleet.as_mut() else {
        return Some(json!({"ok": false, "error": "this node is in no fleet"}));
    };
    let Some(threads) = &mut driver.configuration else { return Some(json!({"ok": false, "error": none})) };
    let error = match order.op {
        Op::Configure if threads.check(context.conn, order.order.clone(), order.parent, order.text) => {
            return None
        }
        Op::Configure => "too many configuration texts are waiting for a check",
        Op::Configurations if driver.part.configurations(context.now, context.conn, actions) => return None,
        Op::Configurations => none,
        _ => match driver.part.configuration(context.now) {
            Some(answer) => return Some(answer),
            None => none,
        },
    };
    Some(json!({"ok": false, "order": order.order, "error": error}))
}

fn perform_circuit_order(
    node: &mut Node,
    now: Micros,
    order: &Order,
    outputs: &mut Vec<Output>,
) -> Result<Value, String> {
    let hardware = order.hardware;
    let circuit_order = match order.op {
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
        _ => return Err("not a circuit operation".to_owned()),
    };
    let range = Range { first: order.first, count: order.count };
    node.order(now, &order.server, range, circuit_order, outputs)?;
    Ok(json!({"ok": true}))
}
