//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args as ClapArgs, Parser, Subcommand};
use lemoncleat_settings::{Rate, Span};

/// A call router: sets up calls over Diameter in front of shared call servers.
///
/// Exit codes: 0 done and rules kept, 1 a rule broken or something failed, 2 bad usage.
#[derive(Parser)]
#[command(version, max_term_width = 100)]
pub struct Args {
    #[command(subcommand)]
    pub command: Command,
}

#[derive(Subcommand)]
pub enum Command {
    /// Run an access node until it is stopped (SIGTERM or SIGINT).
    Node(NodeArgs),
    /// Run an access node on the operators' platform, as its environment says.
    ///
    /// BALANCER_CONFIG names the file of the configuration, BALANCER_LISTEN and BALANCER_NAME may stand in for what
    /// it says. The log goes to standard output; LEMONCLEAT_LOG sets its level (debug tells of every call).
    Access,
    /// Check a settings file and say what is wrong with it.
    Check(CheckArgs),
    /// Play a day of trouble against access nodes on loopback, and judge it.
    ///
    /// The nodes are real, call servers, callers and list are stand-ins of the project. The judge reads only
    /// what crossed the sockets.
    Rehearse(RehearseArgs),
    /// Play whole days under a virtual clock, one a seed, with every rule judged at every step.
    Simulate(SimulateArgs),
    /// Judge a capture that a rehearsal wrote.
    Judge(JudgeArgs),
    /// Offer calls to a running node at a steady rate and measure set-up times.
    Load(LoadArgs),
    /// Show and mind the circuits of a running node, over its control port.
    Circuits(CircuitsArgs),
    /// Show and mind the certificates that a node gets by ACME.
    Cert(CertArgs),
    /// Hold nodes without calls for `rehearse scale`, which starts this and says what to do on standard input.
    #[command(hide = true)]
    Hollow,
    /// The laboratory: stand-ins to try clients against, and measurements.
    Lab(LabArgs),
}

#[derive(ClapArgs)]
pub struct NodeArgs {
    /// The settings file (S-expressions; see docs/operate/node.md).
    #[arg(long, value_name = "FILE")]
    pub config: PathBuf,
    /// Log lines as JSON, whatever the settings say.
    #[arg(long)]
    pub log_json: bool,
}

#[derive(ClapArgs)]
pub struct CheckArgs {
    /// The settings file.
    pub file: PathBuf,
    /// A text of the configuration that a fleet agrees on: whether a node with those settings could put it in force.
    #[arg(long, value_name = "FILE")]
    pub shared: Option<PathBuf>,
}

#[derive(ClapArgs)]
pub struct RehearseArgs {
    /// A built-in day (payday, glare, renewals, renewals-hard, calm, short and others), `agree`, `scale`, or the file
    /// of a script.
    ///
    /// `agree` starts real processes that agree on operators' marks while voters are killed, paused and cut off.
    /// `scale` plays a large fleet, most of it nodes without calls, many to a process.
    #[arg(default_value = "payday", conflicts_with = "bench_day")]
    pub day: String,
    /// A day of the operators' bench, as JSON, in place of a script.
    #[arg(long, value_name = "FILE")]
    pub bench_day: Option<PathBuf>,
    /// How many times faster a bench day runs.
    #[arg(long, default_value_t = 2.0, requires = "bench_day")]
    pub speed: f64,
    /// How many times as large a bench day's fleet and traffic are.
    #[arg(long, default_value_t = 0.25, requires = "bench_day")]
    pub size: f64,
    /// How long calls arrive, in place of the script's; its troubles come over and over.
    #[arg(long, value_name = "SPAN")]
    pub length: Option<Span>,
    /// How many nodes the rehearsals of a fleet start: 3 to 64 for `agree`, 24 to 1,024 for `scale`.
    #[arg(long, default_value_t = 9, value_parser = clap::value_parser!(u32).range(3..=1_024))]
    pub nodes: u32,
    /// How many nodes of `scale` are processes of their own and have calls.
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u32).range(1..=64))]
    pub real: u32,
    /// How often a node of `scale` looks after others; by default 1s, in a fleet below 300 nodes 500ms.
    #[arg(long, value_name = "SPAN")]
    pub round: Option<Span>,
    /// How many changes of configuration `scale` plays; 0 for none.
    #[arg(long, default_value_t = 0)]
    pub changes: u32,
    /// Seed of the stand-ins and nodes; by default the script's.
    #[arg(long)]
    pub seed: Option<u64>,
    /// Write the verdict as JSON.
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
    /// Write the capture of what crossed the sockets.
    #[arg(long, value_name = "FILE")]
    pub capture: Option<PathBuf>,
    /// Show the nodes' log at this level (warn, info, debug).
    #[arg(long, value_name = "LEVEL")]
    pub log: Option<String>,
}

#[derive(ClapArgs)]
#[command(args_conflicts_with_subcommands = true)]
pub struct SimulateArgs {
    #[command(subcommand)]
    pub command: Option<SimulateCommand>,
    /// Seeds to play, as FIRST..END (END is not played).
    #[arg(long, default_value = "0..1000", value_parser = seeds, conflicts_with = "seed")]
    pub seeds: (u64, u64),
    /// Threads; by default as many as there are processors.
    #[arg(long)]
    pub jobs: Option<usize>,
    /// Begin no seed after so many minutes.
    #[arg(long, default_value_t = 60.0)]
    pub minutes: f64,
    /// Play one seed and tell what it drew and came to.
    #[arg(long)]
    pub seed: Option<u64>,
    /// Print every record of that seed.
    #[arg(long, requires = "seed")]
    pub trace: bool,
    /// Look for a smaller run that shows the same.
    #[arg(long, requires = "seed", conflicts_with = "fleet")]
    pub shrink: bool,
    /// Play the nodes' parts in a fleet in place of calls: who is there, facts, and the agreed log.
    #[arg(long)]
    pub fleet: bool,
    /// Give every such fleet a configuration that operators change, not half of them.
    #[arg(long, requires = "fleet")]
    pub configuration: bool,
    /// How many nodes such a fleet has, 3 to 1,024.
    #[arg(long, default_value_t = 9, requires = "fleet", value_parser = clap::value_parser!(u32).range(3..=1_024))]
    pub nodes: u32,
}

#[derive(Subcommand)]
pub enum SimulateCommand {
    /// Play a chain of services whose last one fails for a while, by settings of attempts.
    Chain(ChainArgs),
}

#[derive(ClapArgs)]
pub struct ChainArgs {
    /// Services, one below the other.
    #[arg(long, default_value_t = 29, value_parser = clap::value_parser!(u32).range(1..=64))]
    pub depth: u32,
    /// Share that fails at the last, 0 to 1, or as a fraction (1/3).
    #[arg(long, default_value = "1", value_parser = share)]
    pub fails: f64,
    /// How it fails.
    #[arg(long, value_enum, default_value_t = FailingArg::Error)]
    pub how: FailingArg,
    /// What fails.
    #[arg(long, value_enum, default_value_t = PartArg::Servers)]
    pub part: PartArg,
    /// Seeds to play, as FIRST..END (END is not played).
    #[arg(long, default_value = "0..2", value_parser = seeds)]
    pub seeds: (u64, u64),
    /// Settings to play, by name; all by default.
    #[arg(long = "variant", value_name = "NAME")]
    pub variants: Vec<String>,
    /// Threads; by default as many as there are processors.
    #[arg(long)]
    pub jobs: Option<usize>,
    /// Write the figures as JSON.
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
}

#[derive(Clone, Copy, Debug, clap::ValueEnum)]
pub enum FailingArg {
    /// Worked on and answered with an error.
    Error,
    /// Worked on and never answered.
    Silence,
    /// Refused at once.
    Refusal,
}

#[derive(Clone, Copy, Debug, clap::ValueEnum)]
pub enum PartArg {
    /// Some servers, with all their set-ups.
    Servers,
    /// Set-ups by chance, at every server.
    SetUps,
}

/// A share, as a number or a fraction.
fn share(text: &str) -> Result<f64, String> {
    let number = |text: &str| text.parse::<f64>().map_err(|_| format!("{text:?} is no number"));
    let share = match text.split_once('/') {
        Some((part, whole)) => number(part)? / number(whole)?,
        None => number(text)?,
    };
    if (0.0..=1.0).contains(&share) {
        Ok(share)
    } else {
        Err("expected a share from 0 to 1".to_owned())
    }
}

/// Two numbers with `..` between.
fn seeds(text: &str) -> Result<(u64, u64), String> {
    let (first, end) = text.split_once("..").ok_or("expected FIRST..END")?;
    let number = |text: &str| text.parse::<u64>().map_err(|_| format!("{text:?} is no number"));
    let (first, end) = (number(first)?, number(end)?);
    if first < end {
        Ok((first, end))
    } else {
        Err("expected FIRST below END".to_owned())
    }
}

#[derive(ClapArgs)]
pub struct JudgeArgs {
    /// The capture.
    pub file: PathBuf,
    /// Write the verdict as JSON.
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
}

#[derive(ClapArgs)]
pub struct LoadArgs {
    /// Where the node listens.
    #[arg(long, value_name = "ADDRESS")]
    pub address: SocketAddr,
    /// The node's Origin-Host.
    #[arg(long, default_value = "node-0.lab")]
    pub node: String,
    /// Its realm.
    #[arg(long, default_value = "lab")]
    pub realm: String,
    /// An Origin-Host to connect as; may be given several times, one connection each.
    #[arg(long = "client", value_name = "HOST", required = true)]
    pub clients: Vec<String>,
    /// A number to call; may be given several times, called in turn.
    #[arg(long = "called", value_name = "NUMBER", required = true)]
    pub called: Vec<String>,
    /// Calls a second.
    #[arg(long, default_value = "100/s")]
    pub rate: Rate,
    /// How long the rate takes to grow to that.
    #[arg(long, default_value = "2s")]
    pub ramp: Span,
    /// How long calls are offered, the ramp included.
    #[arg(long, default_value = "10s")]
    pub duration: Span,
    /// Mean length of a call.
    #[arg(long, default_value = "2s")]
    pub length: Span,
    /// How long a caller waits.
    #[arg(long, default_value = "3s")]
    pub patience: Span,
    /// Seed of the arrivals.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Print the figures as JSON.
    #[arg(long)]
    pub json: bool,
}

#[derive(ClapArgs)]
pub struct CircuitsArgs {
    /// The node's control port, as it said at its start.
    #[arg(long, value_name = "ADDRESS")]
    pub control: SocketAddr,
    /// Print the node's answer as JSON.
    #[arg(long)]
    pub json: bool,
    #[command(subcommand)]
    pub command: Option<CircuitsCommand>,
}

#[derive(Subcommand)]
pub enum CircuitsCommand {
    /// All trunk groups (the default).
    List,
    /// The circuits toward a server that are not simply idle.
    Show {
        /// The server's Origin-Host.
        server: String,
    },
    /// Block circuits: calls on them go on, unless it is for a hardware failure.
    Block(RangeArgs),
    /// Take a block back.
    Unblock(RangeArgs),
    /// Reset circuits: whatever they hold is over.
    Reset(RangeArgs),
    /// Audit a group now.
    Audit {
        /// The server's Origin-Host.
        server: String,
    },
}

#[derive(ClapArgs)]
pub struct RangeArgs {
    /// The server's Origin-Host.
    pub server: String,
    /// The first circuit.
    pub first: u32,
    /// How many.
    #[arg(default_value_t = 1)]
    pub count: u32,
    /// For a hardware failure: calls there are over at once.
    #[arg(long)]
    pub hardware: bool,
}

#[derive(ClapArgs)]
pub struct CertArgs {
    /// The node's settings file, with (tls ... (acme ...)).
    #[arg(long, value_name = "FILE")]
    pub config: PathBuf,
    #[command(subcommand)]
    pub command: Option<CertCommand>,
}

#[derive(Subcommand)]
pub enum CertCommand {
    /// What is stored, and how the latest tries went (the default).
    Show {
        /// Print it as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Order a certificate now, where no node runs that would.
    ///
    /// It serves http-01 by itself; tls-alpn-01 is answered by a running node alone.
    Request,
    /// Have a running node order a new certificate now, over its control port.
    Renew {
        /// The node's control port, as it said at its start; by default that of the settings.
        #[arg(long, value_name = "ADDRESS")]
        control: Option<SocketAddr>,
    },
    /// Revoke a stored certificate and forget it. A running node shows another, or orders one.
    Revoke {
        /// Its name, as `show` tells it.
        id: String,
        /// The reason (RFC 5280 section 5.3.1): 0 unspecified, 1 key compromise, 4 superseded, 5 cessation.
        #[arg(long, default_value_t = 0, value_parser = clap::value_parser!(u32).range(0..=10))]
        reason: u32,
    },
    /// Put a new key in place of the account's.
    RollKey {
        /// The new key's kind.
        #[arg(long, value_enum, default_value_t = KeyArg::Es256)]
        kind: KeyArg,
    },
}

#[derive(Clone, Copy, clap::ValueEnum)]
pub enum KeyArg {
    /// ECDSA on P-256.
    Es256,
    /// Ed25519.
    Eddsa,
}

#[derive(ClapArgs)]
pub struct LabArgs {
    #[command(subcommand)]
    pub command: LabCommand,
}

#[derive(Subcommand)]
pub enum LabCommand {
    /// Keep one node with stand-in servers and list up until signalled.
    Up(UpArgs),
    /// Play dual seizure by selection order and load: a table and a plot.
    Glare(GlareArgs),
    /// Play a fleet's renewals over months: a table and a plot.
    Renewals(RenewalsArgs),
    /// Measure a node against a bare relay on the same drivers, in one run.
    Measure(MeasureArgs),
}

#[derive(ClapArgs)]
pub struct UpArgs {
    /// Print one JSON object in the first line, once all is up.
    #[arg(long)]
    pub json: bool,
    /// Stand-in servers.
    #[arg(long, default_value_t = 2)]
    pub servers: u16,
    /// Calls a second that each of them can carry.
    #[arg(long, default_value = "1000/s")]
    pub capacity: Rate,
    /// Give each server a trunk group of so many circuits, and the node a control port.
    #[arg(long, value_name = "CIRCUITS")]
    pub circuits: Option<u32>,
    /// Origin-Hosts that the node accepts as clients, beside client-1.lab to client-8.lab.
    #[arg(long = "client", value_name = "HOST")]
    pub clients: Vec<String>,
    /// Show the node's log at this level.
    #[arg(long, value_name = "LEVEL")]
    pub log: Option<String>,
}

#[derive(ClapArgs)]
pub struct GlareArgs {
    /// Circuits of the group.
    #[arg(long, default_value_t = 30)]
    pub circuits: u32,
    /// Seeds that each figure is the mean of.
    #[arg(long, default_value_t = 10)]
    pub seeds: u64,
    /// How long calls arrive in each run, in the run's own time.
    #[arg(long, default_value = "5min")]
    pub duration: Span,
    /// Write the plot (SVG).
    #[arg(long, value_name = "FILE")]
    pub plot: Option<PathBuf>,
}

#[derive(ClapArgs)]
pub struct RenewalsArgs {
    /// Nodes of the fleet.
    #[arg(long, default_value_t = 1_000)]
    pub nodes: u64,
    /// Seed of the fleet's nodes.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Write the plot (SVG).
    #[arg(long, value_name = "FILE")]
    pub plot: Option<PathBuf>,
}

#[derive(ClapArgs)]
pub struct MeasureArgs {
    /// How long each measurement takes.
    #[arg(long, default_value = "6s")]
    pub duration: Span,
    /// The steady rate at which added time is measured.
    #[arg(long, default_value = "810/s")]
    pub rate: Rate,
    /// Print the figures as JSON.
    #[arg(long)]
    pub json: bool,
}
