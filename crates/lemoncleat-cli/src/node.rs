//! `lemoncleat node` and `lemoncleat check`.

use std::net::TcpListener;
use std::path::Path;

use async_signal::Signal;
use lemoncleat_service::{
    fits_in_place, init_log, read_config, read_config_with, serve, Config, Control, LogFormat, LogTo,
};

use crate::args::{CheckArgs, NodeArgs};
use crate::{signals, Failure};

fn read_text(file: &Path) -> Result<(String, String), Failure> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|error| Failure::Usage(format!("{name}: {error}")))?;
    Ok((name, text))
}

pub fn read_settings(file: &Path) -> Result<Config, Failure> {
    let (name, text) = read_text(file)?;
    read_config(&text).map_err(|error| Failure::Usage(error.in_file(&name)))
}

pub fn check(args: &CheckArgs) -> Result<(), Failure> {
    let (mut name, own) = read_text(&args.file)?;
    let mut config = read_config(&own).map_err(|error| Failure::Usage(error.in_file(&name)))?;
    if let Some(file) = &args.shared {
        let (shared, text) = read_text(file)?;
        let merged = read_config_with(&own, &text).map_err(|error| Failure::Usage(error.in_file(&shared)))?;
        fits_in_place(&config.service, &merged.service)
            .map_err(|why| Failure::Usage(format!("{shared}: {why}")))?;
        (name, config) = (shared, merged);
    }
    let node = &config.service.node;
    println!(
        "{name}: good: node {} of realm {}, {} classes, {} prefixes, {} clients",
        node.host,
        node.realm,
        node.module.classes.len(),
        node.plan.len(),
        node.clients.len()
    );
    println!("rules {}", config.service.rules.version());
    if args.shared.is_some() {
        let fields = if config.differs.is_empty() { "nothing".to_owned() } else { config.differs.join(", ") };
        println!("differs from {} in {fields}", args.file.display());
    }
    Ok(())
}

pub fn run(args: &NodeArgs) -> Result<(), Failure> {
    let config = read_settings(&args.config)?;
    let format = if args.log_json { LogFormat::Json } else { config.log.format };
    init_log(LogTo::Error, format, &config.log.filter).map_err(Failure::Usage)?;
    // Signals are handled before the listening address is printed.
    let signal_stream = signals::register()?;
    let mut listeners = Vec::new();
    for address in &config.listen {
        let listener =
            TcpListener::bind(address).map_err(|error| Failure::Failed(format!("{address}: {error}")))?;
        let bound = listener.local_addr().map_err(Failure::failed)?;
        // Printed on standard output for callers that start the node with port 0.
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
        signals::forward(signal_stream, started.mailbox, |signal| match signal {
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
