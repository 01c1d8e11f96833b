//! Runs an access node: provides listeners, connections, the server list feed, the clock and the log to the
//! core of `lemoncleat-node`, or to that of `lemoncleat-access` on the operators' platform. This crate makes
//! no call decisions.

mod access;
mod config;
mod configuration;
mod control;
mod feed;
mod fleet;
mod fleet_settings;
mod in_place;
mod log;
mod service;
mod shared;

pub use access::{listen_for_callers, read_access_config, serve_access, AccessControl, AccessSettings};
pub use config::{read as read_config, read_with as read_config_with, Config, ConfigError, LogConfig};
pub use configuration::ConfigurationEvent;
pub use feed::{parse_line, FeedError, FeedLine};
pub use fleet_settings::{FleetMember, FleetSettings, RulesSettings};
pub use in_place::fits_in_place;
pub use log::{init as init_log, LogFormat, LogTo};
pub use service::{
    serve, spawn, Control, Running, ServiceError, ServiceSettings, Started, TlsSettings, TlsSource,
};
pub use shared::{shared as read_shared, SharedFile, LONGEST_TEXT};

pub use lemoncleat_net::{Mailbox, MinVersion, TlsFiles};
