//! `lemoncleat circuits`.

use serde_json::{json, Value};

use crate::args::{CircuitsArgs, CircuitsCommand, RangeArgs};
use crate::control::send_request;
use crate::Failure;

fn range_request(op: &str, range: &RangeArgs) -> Value {
    json!({
        "op": op, "server": range.server, "first": range.first, "count": range.count, "hardware": range.hardware,
    })
}

pub fn run(args: &CircuitsArgs) -> Result<(), Failure> {
    let request = match &args.command {
        None | Some(CircuitsCommand::List) => json!({"op": "list"}),
        Some(CircuitsCommand::Show { server }) => json!({"op": "circuits", "server": server}),
        Some(CircuitsCommand::Block(range)) => range_request("block", range),
        Some(CircuitsCommand::Unblock(range)) => range_request("unblock", range),
        Some(CircuitsCommand::Reset(range)) => range_request("reset", range),
        Some(CircuitsCommand::Audit { server }) => json!({"op": "audit", "server": server}),
    };
    let answer = send_request(args.control, &request)?;
    if args.json {
        println!("{answer}");
    }
    if answer["ok"] != true {
        let error = answer["error"].as_str().unwrap_or("no answer");
        return Err(Failure::Failed(error.to_owned()));
    }
    if !args.json {
        print_answer(&answer);
    }
    Ok(())
}

fn print_answer(answer: &Value) {
    if let Some(groups) = answer["groups"].as_array() {
        println!(
            "{:<28} {:>7} {:>7} {:>8} {:>8} {:>9} {:>7} {:>7}",
            "server", "size", "free", "outgoing", "incoming", "transient", "blocked", "waiting"
        );
        for group in groups {
            println!(
                "{:<28} {:>7} {:>7} {:>8} {:>8} {:>9} {:>7} {:>7}",
                group["server"].as_str().unwrap_or("?"),
                group["size"],
                group["free"],
                group["outgoing"],
                group["incoming"],
                group["transient"],
                group["blocked"],
                group["waiting"]
            );
        }
    } else if let Some(circuits) = answer["circuits"].as_array() {
        println!("{:>7} {:<10} {:>8} {:<12} {:<12}", "circuit", "state", "call", "blocked", "blocked there");
        for circuit in circuits {
            let text = |key: &str| circuit[key].as_str().unwrap_or("-").to_owned();
            let call = circuit["call"].as_u64().map_or("-".to_owned(), |call| call.to_string());
            println!(
                "{:>7} {:<10} {call:>8} {:<12} {:<12}",
                circuit["circuit"],
                text("state"),
                text("blocked"),
                text("blocked_there")
            );
        }
    } else {
        println!("done");
    }
}
