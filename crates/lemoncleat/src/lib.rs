//! Admission and routing decisions of an access node in front of shared call servers.
//!
//! Each node scores every route for a new call as *worth x estimated probability of success - route
//! cost*, sends the call on the best route, and refuses it when none scores above zero (after
//! Milito, Levy and Arian, "Dynamic Algorithms for Distributed Queues with Abandonments").
//!
//! A [`Controller`] receives timestamped events and returns actions. It does no I/O, reads no clock,
//! starts no thread, and is deterministic: the same events and seed give the same actions.
//!
//! ```
//! use lemoncleat::{
//!     Action, Availability, Call, CallId, Class, Controller, Event, Member, ServerId, ServerListUpdate,
//!     Settings,
//! };
//!
//! let class = Class { aim: 1_500_000, deadline: 9_000_000, worth: 1.0, ..Class::default() };
//! let settings = Settings { classes: vec![class], ..Settings::default() };
//! let mut controller = Controller::new(settings, 7)?;
//! let mut actions = Vec::new();
//!
//! let server = ServerId(0);
//! let availability = Availability::Ready;
//! let member = Member { server, availability, started_at: None, place: 0, zone: 0, kind: 0 };
//! controller.handle(0, Event::Members(ServerListUpdate::Complete(vec![member])), &mut actions);
//!
//! let id = CallId(1);
//! let call = Call { id, patience: 3_000_000, width: 1.0, ..Call::default() };
//! controller.handle(10_000, Event::Call(call), &mut actions);
//! let to_server = |action: &Action| {
//!     matches!(action, Action::Send { call, server: to, .. } if *call == id && *to == server)
//! };
//! assert!(actions.iter().any(to_server));
//! # Ok::<(), lemoncleat::SettingsError>(())
//! ```

mod decide;
mod departed;
mod interface;
mod random;
mod state;

/// Compiles the examples of the README as documentation tests.
#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;

pub use decide::Controller;
pub use interface::{
    Action, Availability, Call, CallId, Class, DedupGroup, Effect, Event, Member, Membership, Micros,
    Outcome, Reason, Report, ServerId, ServerListUpdate, ServerView, Settings, SettingsError, Sizes,
};
pub use state::SOURCES;
