//! The `lemoncleat` command.

mod access;
mod args;
mod cert;
mod chain;
mod circuits;
mod control;
mod fleet;
mod glare;
mod hollow;
mod lab;
mod measure;
mod node;
mod rehearse;
mod renewals;
mod scale;
mod signals;
mod simulate;

use std::process::ExitCode;

use clap::Parser;

use args::{Args, Command};

/// Why a command did not do what it was asked to.
enum Failure {
    /// It was done and shows a broken rule or a failure: exit code 1. What there is to say is said.
    Told,
    /// It could not be done: exit code 1.
    Failed(String),
    /// It was asked for in a way that makes no sense: exit code 2.
    Usage(String),
}

impl Failure {
    fn failed(error: impl std::fmt::Display) -> Self {
        Failure::Failed(error.to_string())
    }
}

fn main() -> ExitCode {
    #[cfg(feature = "faults")]
    if let Err(error) = lemoncleat_faults::attend() {
        eprintln!("lemoncleat: no stage: {error}");
        return ExitCode::from(1);
    }
    let done = match Args::parse().command {
        Command::Node(args) => node::run(&args),
        Command::Access => access::run(),
        Command::Check(args) => node::check(&args),
        Command::Rehearse(args) => rehearse::run(&args),
        Command::Simulate(args) => simulate::run(&args),
        Command::Judge(args) => rehearse::judge_file(&args),
        Command::Load(args) => lab::load(&args),
        Command::Circuits(args) => circuits::run(&args),
        Command::Cert(args) => cert::run(&args),
        Command::Hollow => hollow::run(),
        Command::Lab(args) => match args.command {
            args::LabCommand::Up(args) => lab::up(&args),
            args::LabCommand::Glare(args) => glare::run(&args),
            args::LabCommand::Renewals(args) => renewals::run(&args),
            args::LabCommand::Measure(args) => measure::run(&args),
        },
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failure::Told) => ExitCode::from(1),
        Err(Failure::Failed(why)) => {
            eprintln!("lemoncleat: {why}");
            ExitCode::from(1)
        }
        Err(Failure::Usage(why)) => {
            eprintln!("lemoncleat: {why}");
            ExitCode::from(2)
        }
    }
}
