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

/// Reason for a non-zero exit code.
enum Failure {
    /// The command finished and reported a broken rule or a failure on its output: exit code 1.
    Reported,
    /// The command failed with this message: exit code 1.
    Failed(String),
    /// The arguments or settings are unusable, with this message: exit code 2.
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
        eprintln!("lemoncleat: cannot connect to the stage: {error}");
        return ExitCode::from(1);
    }
    let result = match Args::parse().command {
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
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failure::Reported) => ExitCode::from(1),
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
