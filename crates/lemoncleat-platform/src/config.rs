//! The configuration that the platform gives a node.

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

/// A seed, as hex digits or as a number.
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

/// What a node's machine gives it.
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
    /// Its name, the same after a restart.
    pub name: String,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// For its random choices.
    pub seed: u64,
    /// What its machine gives it.
    pub limits: Limits,
    /// Where notes of other nodes arrive.
    pub peer_listen: Option<SocketAddr>,
    /// Where notes to each node of the tier go, by number, this one included.
    pub peers: Vec<SocketAddr>,
    /// Where a note to all of them goes.
    pub peers_all: Option<SocketAddr>,
    /// The journal service.
    pub journal: Option<SocketAddr>,
    /// The number of the last event that `known` holds.
    pub known_to: u64,
    /// What the journal service had told before the start.
    pub known: Vec<ServerNews>,
    /// The site's settings.
    pub site: SiteSettings,
}

/// Bounds of the limits that are believed: below them no node can work.
const LEAST_MEMORY_MB: f64 = 16.0;
const LEAST_SOCKETS: f64 = 64.0;
const DEFAULT_MEMORY_MB: f64 = 192.0;
const DEFAULT_SOCKETS: f64 = 256.0;

impl NodeConfig {
    /// Reads a configuration; keys that are not known are passed over.
    ///
    /// # Errors
    ///
    /// When it is no JSON or lacks something, with the place and the path of the field.
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
        let figure = |value: Option<f64>, usual: f64, least: f64| {
            value.filter(|value| value.is_finite()).unwrap_or(usual).clamp(least, 1e6) as u32
        };
        Ok(NodeConfig {
            name: config.name,
            listen: config.listen,
            seed,
            limits: Limits {
                memory_mb: figure(config.limits.memory_mb, DEFAULT_MEMORY_MB, LEAST_MEMORY_MB),
                sockets: figure(config.limits.sockets, DEFAULT_SOCKETS, LEAST_SOCKETS),
            },
            peer_listen: config.peer_listen,
            peers: config.peers,
            peers_all: config.peers_all,
            journal: config.journal,
            known_to: config.known.pos.max(last),
            known: known.into_iter().filter_map(|(_, news)| news).collect(),
            site: config.settings.translate(),
        })
    }
}
