//! A node's configuration file, as written by the operators' platform.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::journal::EventConfig;
use crate::list::ServerNews;
use crate::settings::{SettingsConfig, SiteSettings};

#[derive(Deserialize)]
struct Config {
    name: String,
    listen: SocketAddr,
    #[serde(default)]
    seed: Seed,
    #[serde(default)]
    limits: LimitsConfig,
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    peers_all: Option<SocketAddr>,
    journal: Option<SocketAddr>,
    #[serde(default)]
    known: KnownConfig,
    settings: SettingsConfig,
}

/// A seed, given as a string of hex digits or as a number.
#[derive(Deserialize)]
#[serde(untagged)]
enum Seed {
    Number(u64),
    Text(String),
}

impl Default for Seed {
    fn default() -> Self {
        Seed::Number(0)
    }
}

#[derive(Default, Deserialize)]
struct LimitsConfig {
    memory_mb: Option<f64>,
    sockets: Option<f64>,
}

#[derive(Default, Deserialize)]
struct KnownConfig {
    #[serde(default)]
    pos: u64,
    #[serde(default)]
    entries: Vec<EventConfig>,
}

/// The resource limits of a node's machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Memory, in MB.
    pub memory_mb: u32,
    /// File descriptors.
    pub sockets: u32,
}

/// The configuration of one node.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeConfig {
    /// The name of the node, unchanged after a restart.
    pub name: String,
    /// The address that callers connect to.
    pub listen: SocketAddr,
    /// Seed of the node's random choices.
    pub seed: u64,
    /// The resource limits of its machine.
    pub limits: Limits,
    /// The address at which messages of other nodes arrive.
    pub peer_listen: Option<SocketAddr>,
    /// The addresses for messages to each node of the tier, by node number, this node included.
    pub peers: Vec<SocketAddr>,
    /// The address for a message to all of them.
    pub peers_all: Option<SocketAddr>,
    /// The address of the journal service.
    pub journal: Option<SocketAddr>,
    /// The number of the last event included in `known`.
    pub known_to: u64,
    /// The updates that the journal service published before the start.
    pub known: Vec<ServerNews>,
    /// The site's settings.
    pub site: SiteSettings,
}

/// Lower bounds for the configured limits. No node can work with less.
const MIN_MEMORY_MB: f64 = 16.0;
const MIN_SOCKETS: f64 = 64.0;
const DEFAULT_MEMORY_MB: f64 = 192.0;
const DEFAULT_SOCKETS: f64 = 256.0;

impl NodeConfig {
    /// Reads a configuration. Unknown keys are ignored.
    ///
    /// # Errors
    ///
    /// Fails if the text is not JSON, or if a field is missing or invalid. The error gives line, column and
    /// the path of the field.
    pub fn read(text: &str) -> Result<Self, String> {
        let config: Config = crate::json::read(text)?;
        config.settings.check().map_err(|error| format!("settings.{error}"))?;
        let seed = match config.seed {
            Seed::Number(seed) => seed,
            Seed::Text(text) => u64::from_str_radix(&text, 16)
                .map_err(|_| format!("seed: expected hex digits, got {text:?}"))?,
        };
        let mut known: Vec<_> = config.known.entries.into_iter().map(EventConfig::translate).collect();
        known.sort_by_key(|(pos, _)| *pos);
        let last = known.last().map_or(0, |(pos, _)| *pos);
        let bounded = |value: Option<f64>, default: f64, min: f64| {
            value.filter(|value| value.is_finite()).unwrap_or(default).clamp(min, 1e6) as u32
        };
        Ok(NodeConfig {
            name: config.name,
            listen: config.listen,
            seed,
            limits: Limits {
                memory_mb: bounded(config.limits.memory_mb, DEFAULT_MEMORY_MB, MIN_MEMORY_MB),
                sockets: bounded(config.limits.sockets, DEFAULT_SOCKETS, MIN_SOCKETS),
            },
            peer_listen: config.peer_listen,
            peers: config.peers,
            peers_all: config.peers_all,
            journal: config.journal,
            known_to: config.known.pos.max(last),
            known: known.into_iter().filter_map(|(_, update)| update).collect(),
            site: config.settings.translate(),
        })
    }
}
