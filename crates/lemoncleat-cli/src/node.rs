//! `lemoncleat node` and `lemoncleat check`.

use std::net::TcpListener;
use std::path::Path;

use async_signal::Signal;
use lemoncleat_service::{init_log, read_config, serve, Config, Control, LogFormat, LogTo};

use crate::args::{CheckArgs, NodeArgs};
use crate::{signals, Failure};

pub fn read(file: &Path) -> Result<Config, Failure> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|error| Failure::Usage(format!("{name}: {error}")))?;
    read_config(&text).map_err(|error| Failure::Usage(error.in_file(&name)))
}

pub fn check(args: &CheckArgs) -> Result<(), Failure> {
    let config = read(&args.file)?;
    let node = &config.service.node;
    println!(
        "{}: good: node {} of realm {}, {} classes, {} prefixes, {} clients",
        args.file.display(),
        node.host,
        node.realm,
        node.module.classes.len(),
        node.plan.len(),
        node.clients.len()
    );
    println!("rules {}", config.service.rules.version());
    Ok(())
}

pub fn run(args: &NodeArgs) -> Result<(), Failure> {
    let config = read(&args.config)?;
    let format = if args.log_json { LogFormat::Json } else { config.log.format };
    init_log(LogTo::Error, format, &config.log.filter).map_err(Failure::Usage)?;
    // Heeded from before anybody is told that the node is there.
    let heeded = signals::heed()?;
    let mut listeners = Vec::new();
    for address in &config.listen {
        let listener =
            TcpListener::bind(address).map_err(|error| Failure::Failed(format!("{address}: {error}")))?;
        let bound = listener.local_addr().map_err(Failure::failed)?;
        // The one line on standard output, for whoever started the node with port 0.
        println!("listening on {bound}");
        listeners.push(listener);
    }
    let stats = serve(config.service, listeners, |started| {
        if let Some(control) = started.control {
            println!("control on {control}");
        }
        if let Some(challenge) = started.challenge {
            println!("challenges on {challenge}");
        }
        signals::pass_on(heeded, started.mailbox, |signal| match signal {
            Signal::Hup => Control::ReloadTls,
            _ => Control::Stop,
        });
    });
    let stats = stats.map_err(Failure::failed)?;
    println!(
        "stopped: {} calls, {} stood, {} refused, {} failed, {} cut",
        stats.calls, stats.stood, stats.refused, stats.failed, stats.cut
    );
    Ok(())
}
