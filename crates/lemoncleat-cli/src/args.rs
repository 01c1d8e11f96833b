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
    /// Run an access node on the operators' platform, configured by environment variables.
    ///
    /// BALANCER_CONFIG names the configuration file; BALANCER_LISTEN and BALANCER_NAME override its values.
    /// The log goes to standard output; LEMONCLEAT_LOG sets its level (debug logs every call).
    Access,
    /// Check a settings file and report what is wrong with it.
    Check(CheckArgs),
    /// Run a scenario with faults (a day) against access nodes on loopback and check the rules.
    ///
    /// The nodes are real; call servers, callers and server list are simulated. The rules are checked only
    /// against the messages on the sockets.
    Rehearse(RehearseArgs),
    /// Simulate whole days under a virtual clock, one per seed, and check every rule at every step.
    Simulate(SimulateArgs),
    /// Check the rules on a capture written by a rehearsal.
    Judge(JudgeArgs),
    /// Offer calls to a running node at a steady rate and measure set-up times.
    Load(LoadArgs),
    /// Show and manage the circuits of a running node over its control port.
    Circuits(CircuitsArgs),
    /// Show and manage the certificates that a node obtains by ACME.
    Cert(CertArgs),
    /// Run nodes without calls for `rehearse scale`, which starts this process and sends orders on standard
    /// input.
    #[command(hide = true)]
    Hollow,
    /// Laboratory tools: simulated servers for testing clients, and measurements.
    Lab(LabArgs),
}

#[derive(ClapArgs)]
pub struct NodeArgs {
    /// The settings file (S-expressions; see docs/operate/node.md).
    #[arg(long, value_name = "FILE")]
    pub config: PathBuf,
    /// Write log lines as JSON, regardless of the settings.
    #[arg(long)]
    pub log_json: bool,
}

#[derive(ClapArgs)]
pub struct CheckArgs {
    /// The settings file.
    pub file: PathBuf,
    /// Also check whether a node with these settings could apply this text of a fleet's agreed configuration.
    #[arg(long, value_name = "FILE")]
    pub shared: Option<PathBuf>,
}

#[derive(ClapArgs)]
pub struct RehearseArgs {
    /// A built-in day (payday, glare, renewals, renewals-hard, calm, short and others), `agree`, `scale`, or
    /// a script file.
    ///
    /// `agree` starts real processes that agree on operators' marks while voters are killed, paused and
    /// disconnected. `scale` runs a large fleet, most of it nodes without calls, many in one process.
    #[arg(default_value = "payday", conflicts_with = "bench_day")]
    pub day: String,
    /// A day of the operators' bench, as JSON, instead of a script.
    #[arg(long, value_name = "FILE")]
    pub bench_day: Option<PathBuf>,
    /// Factor by which a bench day runs faster.
    #[arg(long, default_value_t = 2.0, requires = "bench_day")]
    pub speed: f64,
    /// Scale factor of a bench day's fleet and traffic.
    #[arg(long, default_value_t = 0.25, requires = "bench_day")]
    pub size: f64,
    /// How long calls arrive, overriding the script; its faults are repeated over that time.
    #[arg(long, value_name = "SPAN")]
    pub length: Option<Span>,
    /// Number of nodes started by the fleet rehearsals: 3 to 64 for `agree`, 24 to 1,024 for `scale`.
    #[arg(long, default_value_t = 9, value_parser = clap::value_parser!(u32).range(3..=1_024))]
    pub nodes: u32,
    /// Number of nodes of `scale` that run as separate processes and carry calls.
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u32).range(1..=64))]
    pub real: u32,
    /// Interval at which a node of `scale` probes other members; by default 1s, in a fleet below 300 nodes
    /// 500ms.
    #[arg(long, value_name = "SPAN")]
    pub round: Option<Span>,
    /// Number of configuration changes in `scale`; 0 for none.
    #[arg(long, default_value_t = 0)]
    pub changes: u32,
    /// Seed of the simulated parties and of the nodes; by default that of the script.
    #[arg(long)]
    pub seed: Option<u64>,
    /// Write the verdict as JSON.
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
    /// Write the capture of the messages on the sockets.
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
    /// Seeds to run, as FIRST..END (END excluded).
    #[arg(long, default_value = "0..1000", value_parser = parse_seed_range, conflicts_with = "seed")]
    pub seeds: (u64, u64),
    /// Number of threads; by default the number of processors.
    #[arg(long)]
    pub jobs: Option<usize>,
    /// Start no further seed after this many minutes.
    #[arg(long, default_value_t = 60.0)]
    pub minutes: f64,
    /// Run one seed and print its scenario and result.
    #[arg(long)]
    pub seed: Option<u64>,
    /// Print every record of this seed.
    #[arg(long, requires = "seed")]
    pub trace: bool,
    /// Search for a smaller scenario with the same finding.
    #[arg(long, requires = "seed", conflicts_with = "fleet")]
    pub shrink: bool,
    /// Simulate fleets instead of calls: membership, facts and the agreed log.
    #[arg(long)]
    pub fleet: bool,
    /// Give every fleet, not only half of them, a configuration that operators change.
    #[arg(long, requires = "fleet")]
    pub configuration: bool,
    /// Number of nodes of a fleet, 3 to 1,024.
    #[arg(long, default_value_t = 9, requires = "fleet", value_parser = clap::value_parser!(u32).range(3..=1_024))]
    pub nodes: u32,
}

#[derive(Subcommand)]
pub enum SimulateCommand {
    /// Simulate a chain of services whose last one fails for a while, with several settings of attempts.
    Chain(ChainArgs),
}

#[derive(ClapArgs)]
pub struct ChainArgs {
    /// Number of services in the chain.
    #[arg(long, default_value_t = 29, value_parser = clap::value_parser!(u32).range(1..=64))]
    pub depth: u32,
    /// Share that fails at the last service, 0 to 1, or as a fraction (1/3).
    #[arg(long, default_value = "1", value_parser = parse_share)]
    pub fails: f64,
    /// How it fails.
    #[arg(long, value_enum, default_value_t = FailingArg::Error)]
    pub how: FailingArg,
    /// What fails.
    #[arg(long, value_enum, default_value_t = PartArg::Servers)]
    pub part: PartArg,
    /// Seeds to run, as FIRST..END (END excluded).
    #[arg(long, default_value = "0..2", value_parser = parse_seed_range)]
    pub seeds: (u64, u64),
    /// Settings to simulate, by name; by default all.
    #[arg(long = "variant", value_name = "NAME")]
    pub variants: Vec<String>,
    /// Number of threads; by default the number of processors.
    #[arg(long)]
    pub jobs: Option<usize>,
    /// Write the figures as JSON.
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
}

#[derive(Clone, Copy, Debug, clap::ValueEnum)]
pub enum FailingArg {
    /// Set-ups are processed and answered with an error.
    Error,
    /// Set-ups are processed and never answered.
    Silence,
    /// Set-ups are refused immediately.
    Refusal,
}

#[derive(Clone, Copy, Debug, clap::ValueEnum)]
pub enum PartArg {
    /// All set-ups at some of the servers.
    Servers,
    /// Random set-ups at every server.
    SetUps,
}

/// Parses a share from 0 to 1, given as a number or a fraction.
fn parse_share(text: &str) -> Result<f64, String> {
    let parse_number = |text: &str| text.parse::<f64>().map_err(|_| format!("{text:?} is not a number"));
    let share = match text.split_once('/') {
        Some((numerator, denominator)) => parse_number(numerator)? / parse_number(denominator)?,
        None => parse_number(text)?,
    };
    if (0.0..=1.0).contains(&share) {
        Ok(share)
    } else {
        Err("expected a share from 0 to 1".to_owned())
    }
}

/// Parses a range of seeds, FIRST..END.
fn parse_seed_range(text: &str) -> Result<(u64, u64), String> {
    let (first, end) = text.split_once("..").ok_or("expected FIRST..END")?;
    let parse_number = |text: &str| text.parse::<u64>().map_err(|_| format!("{text:?} is not a number"));
    let (first, end) = (parse_number(first)?, parse_number(end)?);
    if first < end {
        Ok((first, end))
    } else {
        Err("expected FIRST below END".to_owned())
    }
}

#[derive(ClapArgs)]
pub struct JudgeArgs {
    /// The capture file.
    pub file: PathBuf,
    /// Write the verdict as JSON.
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
}

#[derive(ClapArgs)]
pub struct LoadArgs {
    /// Address on which the node listens.
    #[arg(long, value_name = "ADDRESS")]
    pub address: SocketAddr,
    /// The node's Origin-Host.
    #[arg(long, default_value = "node-0.lab")]
    pub node: String,
    /// The node's realm.
    #[arg(long, default_value = "lab")]
    pub realm: String,
    /// An Origin-Host to connect as; may be given several times, one connection each.
    #[arg(long = "client", value_name = "HOST", required = true)]
    pub clients: Vec<String>,
    /// A number to call; may be given several times, called in turn.
    #[arg(long = "called", value_name = "NUMBER", required = true)]
    pub called: Vec<String>,
    /// Calls per second.
    #[arg(long, default_value = "100/s")]
    pub rate: Rate,
    /// Duration of the ramp from zero to the full rate.
    #[arg(long, default_value = "2s")]
    pub ramp: Span,
    /// How long calls are offered, the ramp included.
    #[arg(long, default_value = "10s")]
    pub duration: Span,
    /// Mean call length.
    #[arg(long, default_value = "2s")]
    pub length: Span,
    /// How long a caller waits for an answer.
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
    /// The node's control port, as printed at its start.
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
    /// List all trunk groups (the default).
    List,
    /// Show the circuits toward a server that are not idle.
    Show {
        /// The server's Origin-Host.
        server: String,
    },
    /// Block circuits; calls on them continue, unless blocked for a hardware failure.
    Block(RangeArgs),
    /// Unblock circuits.
    Unblock(RangeArgs),
    /// Reset circuits; calls on them are released.
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
    /// Number of circuits.
    #[arg(default_value_t = 1)]
    pub count: u32,
    /// Block for a hardware failure; calls on the circuits are released immediately.
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
    /// Show the stored certificates and the latest attempts (the default).
    Show {
        /// Print as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Order a certificate now, without a running node.
    ///
    /// Only http-01 challenges can be answered; tls-alpn-01 requires a running node.
    Request,
    /// Have a running node order a new certificate now, over its control port.
    Renew {
        /// The node's control port, as printed at its start; by default that of the settings.
        #[arg(long, value_name = "ADDRESS")]
        control: Option<SocketAddr>,
    },
    /// Revoke a stored certificate and delete it. A running node uses another one, or orders one.
    Revoke {
        /// Name of the certificate, as printed by `show`.
        id: String,
        /// The reason (RFC 5280 section 5.3.1): 0 unspecified, 1 key compromise, 4 superseded, 5 cessation.
        #[arg(long, default_value_t = 0, value_parser = clap::value_parser!(u32).range(0..=10))]
        reason: u32,
    },
    /// Replace the key of the ACME account.
    RollKey {
        /// Type of the new key.
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
    /// Run one node with simulated servers and server list until a signal is received.
    Up(UpArgs),
    /// Simulate dual seizure by selection order and load; prints a table and writes a plot.
    Glare(GlareArgs),
    /// Simulate a fleet's certificate renewals over months; prints a table and writes a plot.
    Renewals(RenewalsArgs),
    /// Measure a node and a plain relay on the same drivers, in one run.
    Measure(MeasureArgs),
}

#[derive(ClapArgs)]
pub struct UpArgs {
    /// Print one JSON object as the first line, once everything is running.
    #[arg(long)]
    pub json: bool,
    /// Number of simulated servers.
    #[arg(long, default_value_t = 2)]
    pub servers: u16,
    /// Calls per second that each server can carry.
    #[arg(long, default_value = "1000/s")]
    pub capacity: Rate,
    /// Give each server a trunk group of this many circuits, and the node a control port.
    #[arg(long, value_name = "CIRCUITS")]
    pub circuits: Option<u32>,
    /// Origin-Hosts that the node accepts as clients, in addition to client-1.lab to client-8.lab.
    #[arg(long = "client", value_name = "HOST")]
    pub clients: Vec<String>,
    /// Show the node's log at this level.
    #[arg(long, value_name = "LEVEL")]
    pub log: Option<String>,
}

#[derive(ClapArgs)]
pub struct GlareArgs {
    /// Number of circuits of the group.
    #[arg(long, default_value_t = 30)]
    pub circuits: u32,
    /// Number of seeds averaged for each figure.
    #[arg(long, default_value_t = 10)]
    pub seeds: u64,
    /// How long calls arrive in each run, in simulated time.
    #[arg(long, default_value = "5min")]
    pub duration: Span,
    /// Write the plot (SVG).
    #[arg(long, value_name = "FILE")]
    pub plot: Option<PathBuf>,
}

#[derive(ClapArgs)]
pub struct RenewalsArgs {
    /// Number of nodes of the fleet.
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
    /// Duration of each measurement.
    #[arg(long, default_value = "6s")]
    pub duration: Span,
    /// Steady rate at which the added set-up time is measured.
    #[arg(long, default_value = "810/s")]
    pub rate: Rate,
    /// Print the figures as JSON.
    #[arg(long)]
    pub json: bool,
}
