//! The lab: stand-in call servers, callers and server list on loopback, scripted troubles, and a judge that
//! reads only what was sent and received on the sockets.
//!
//! - [`Day`] is a script: fleet, traffic and troubles with their times. Some are built in; any day of the
//!   operators' bench can be read with [`bench_day`].
//! - [`rehearse`] runs a day against access nodes and returns the [`Capture`] of its frames.
//! - [`judge`] checks the five rules and computes the service from a capture; it shares no state machine with the
//!   node.
//! - [`stage`] starts real processes and disturbs their links; [`rehearse_agree`] tests and judges their agreement.
//! - [`scale`] runs a fleet of a thousand nodes: hollow nodes together with real ones.
//! - [`load`] offers calls at a steady rate and measures set-up times.

mod agree;
mod bench_day;
mod caller;
pub mod capacity;
mod capture;
mod credentials;
mod day;
mod echo;
mod far;
mod glare;
mod judge;
mod list;
mod load;
mod processor;
mod rehearse;
mod relay;
mod renewals;
mod report;
pub mod scale;
mod script;
mod server;
pub mod stage;
mod wire;
mod world;

pub use agree::{rehearse_agree, AgreePlan, AgreeVerdict, Check};
pub use bench_day::{bench_day, BenchDay, BenchDayError};
pub use capture::{Capture, CaptureError, ClassFacts, End, Facts, Record};
pub use credentials::Credentials;
pub use day::{
    builtin, builtin_names, CallerDay, CertificateDay, CircuitDay, ClassDay, Day, ListDay, ProcessorDay,
    ServerDay, Trouble, TroubleKind,
};
pub use echo::Echo;
pub use glare::{glare_run, GlareResult, GlareRun};
pub use judge::{judge, Handshakes, LiveJudge, Rule, RuleVerdict, TroubleRow, Verdict, Violation};
pub use load::{load, saturate, LoadReport, LoadSettings};
pub use processor::{Job, Processor, ProcessorSettings};
pub use rehearse::{lab_up, rehearse, rehearse_until, LabReady, Rehearsal};
pub use relay::{spawn_relay, Relay};
pub use renewals::{fleet_run, FleetPlan, FleetResult, FleetRun};
pub use report::{table, TableOptions};
pub use script::node_settings;
pub use wire::Wire;
pub use world::{LabMessage, NodeControl, RehearseError, StartNode, World};

pub use lemoncleat_net::ClientConfig;

/// A duration or point in time in microseconds.
pub type Micros = i64;
