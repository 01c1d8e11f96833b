//! `lemoncleat lab up` and `lemoncleat load`.

use std::time::Duration;

use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use indicatif::{ProgressBar, ProgressStyle};
use lemoncleat_cli::start_node;
use lemoncleat_lab::{builtin, lab_up, CircuitDay, Day, LabMessage, LoadSettings, NodeControl, ServerDay};
use lemoncleat_service::{init_log, LogFormat, LogTo};
use lemoncleat_settings::{Rate, Span};

use crate::args::{LoadArgs, UpArgs};
use crate::Failure;

/// Returns a calm day with one node and the given number of servers of the given capacity.
pub fn calm_day(servers: u16, capacity: Rate) -> Result<Day, Failure> {
    let mut day = builtin("calm").ok_or_else(|| Failure::Failed("the built-in day is missing".to_owned()))?;
    day.nodes = 1;
    day.servers = vec![ServerDay { capacity, lines: 1_000_000, zone: String::new() }; usize::from(servers)];
    day.check().map_err(|error| Failure::Usage(error.to_string()))?;
    Ok(day)
}

pub fn up(args: &UpArgs) -> Result<(), Failure> {
    if let Some(level) = &args.log {
        init_log(LogTo::Error, LogFormat::Text, level).map_err(Failure::Usage)?;
    }
    let mut day = calm_day(args.servers, args.capacity)?;
    day.circuits = args.circuits.map(|size| CircuitDay {
        size,
        far_size: None,
        far_rate: None,
        far_length: Span(1_000_000),
        meets: 0.0,
    });
    let mut clients: Vec<String> = (1..=8).map(|number| format!("client-{number}.lab")).collect();
    clients.extend(args.clients.iter().cloned());
    let mut signals = Signals::new([Signal::Term, Signal::Int]).map_err(Failure::failed)?;
    let start = |text: &str| start_node(text).map(|node| Box::new(node) as Box<dyn NodeControl>);
    lab_up(&day, &start, &clients, |lab, mailbox| {
        let called = Day::number(0, 0, 0);
        let controls: Vec<String> = lab.controls.iter().map(ToString::to_string).collect();
        if let (true, Some(node)) = (args.json, lab.nodes.first()) {
            let line = serde_json::json!({
                "ready": true, "node": node.to_string(), "host": "node-0.lab", "realm": "lab",
                "called": called, "clients": clients, "servers": lab.servers, "control": controls.first(),
            });
            println!("{line}");
        } else {
            println!("node node-0.lab of realm lab at {:?}, servers {:?}", lab.nodes, lab.servers);
            println!("clients {clients:?}; call {called}");
            controls.iter().for_each(|control| println!("control on {control}"));
        }
        std::thread::spawn(move || {
            futures_lite::future::block_on(async {
                if signals.next().await.is_some() {
                    let _ = mailbox.send(LabMessage::Stop).await;
                }
            });
        });
    })
    .map_err(Failure::failed)
}

pub fn load(args: &LoadArgs) -> Result<(), Failure> {
    if args.rate.0 <= 0.0 || args.duration.0 <= args.ramp.0 {
        return Err(Failure::Usage("expected a rate above zero and a duration above the ramp".to_owned()));
    }
    let settings = LoadSettings {
        address: args.address,
        node: args.node.clone(),
        realm: args.realm.clone(),
        clients: args.clients.clone(),
        called: args.called.clone(),
        rate: args.rate.0,
        ramp: args.ramp.0,
        duration: args.duration.0,
        length: args.length.0,
        patience: args.patience.0,
        seed: args.seed,
        tls: Vec::new(),
    };
    let bar = ProgressBar::new(100).with_style(
        ProgressStyle::with_template("{bar:40} {percent}% {msg}")
            .unwrap_or_else(|_| ProgressStyle::default_bar()),
    );
    bar.enable_steady_tick(Duration::from_secs(1));
    let report = lemoncleat_lab::load(&settings, &mut |part, calls| {
        bar.set_position((part * 100.0) as u64);
        bar.set_message(format!("{calls} calls"));
    });
    bar.finish_and_clear();
    let report = report.map_err(Failure::Failed)?;
    if args.json {
        println!("{}", serde_json::to_string(&report).map_err(Failure::failed)?);
    } else {
        println!("{report}");
    }
    if report.unanswered > 0 {
        return Err(Failure::Failed(format!("{} calls without an answer", report.unanswered)));
    }
    Ok(())
}
