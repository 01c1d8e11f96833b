//! Runs an access node: listeners, connections, the feed of the list of servers, the clock and the log
//! around the core of `lemoncleat-node`. Nothing is decided here.

mod config;
mod control;
mod feed;
mod log;
mod service;

pub use config::{read as read_config, Config, ConfigError, LogConfig};
pub use feed::{parse_line, FeedError, FeedLine};
pub use log::{init as init_log, LogFormat};
pub use service::{
    serve, spawn, Control, Running, ServiceError, ServiceSettings, Started, TlsSettings, TlsSource,
};

pub use lemoncleat_net::{MinVersion, TlsFiles};
