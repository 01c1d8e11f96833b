//! The driver of a node's part in its fleet: the thread that stores, and the log.

use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::path::Path;

use lemoncleat::Controller;
use lemoncleat_agreement::{Store, Writer};
use lemoncleat_commons::{Calls, Figures, Part, RulesCheck, Said, Seat, Settings};
use lemoncleat_consistency::{Limits, Rules};
use lemoncleat_node::Stats;

use crate::configuration::ConfigurationDriver;
use crate::fleet_settings::RulesSettings;
use crate::FleetSettings;

/// The name of a voter's file in its directory.
const FILE: &str = "agreement.redb";

/// A batch, and why it could not be stored, if so.
pub(crate) type Stored = (u64, Result<(), String>);

/// A node's part in its fleet, and the thread that stores for it.
pub(crate) struct FleetDriver {
    pub(crate) part: Part,
    writer: Option<Writer>,
    /// The threads of the configuration, where the fleet has one for all.
    pub(crate) configuration: Option<ConfigurationDriver>,
}

/// A number that no other store has.
fn fresh() -> u64 {
    RandomState::new().build_hasher().finish()
}

/// Opens a voter's store.
fn open(directory: &Path, mut stored: impl FnMut(Stored) + Send + 'static) -> Result<(Seat, Writer), String> {
    std::fs::create_dir_all(directory).map_err(|error| format!("{}: {error}", directory.display()))?;
    let store = Store::open(&directory.join(FILE), fresh()).map_err(|error| error.to_string())?;
    let found = store.read_all().map_err(|error| error.to_string())?;
    let writer = Writer::start(store, move |batch, result| stored((batch, result)));
    Ok((Seat::Voter(found), writer.map_err(|error| format!("no thread for the store: {error}"))?))
}

impl FleetDriver {
    /// The part of the node of this name. A store that can't be used is told, and calls go on.
    pub(crate) fn new(
        host: &str,
        settings: &FleetSettings,
        start: u32,
        seed: u64,
        stored: impl FnMut(Stored) + Send + 'static,
    ) -> Result<FleetDriver, String> {
        let (seat, writer) = match settings.store.as_deref().map(|directory| open(directory, stored)) {
            Some(Ok((seat, writer))) => (seat, Some(writer)),
            Some(Err(why)) => (Seat::Broken(why), None),
            None => (Seat::Follower, None),
        };
        let settings = Settings {
            own: host.into(),
            members: settings.carried(),
            voters: settings.voters.clone(),
            round: settings.round,
            configuration: settings.configuration.is_some(),
        };
        let part = Part::new(&settings, seat, start, seed).map_err(|error| error.to_string())?;
        Ok(FleetDriver { part, writer, configuration: None })
    }

    /// Watches that all members of these rules decide alike.
    pub(crate) fn watch(&mut self, rules: Rules, settings: &RulesSettings, said: &mut Vec<Said>) {
        let limits = Limits { fences: settings.fence, share: settings.share, ..Limits::default() };
        let check = RulesCheck { rules, limits, processor: settings.processor };
        self.part.watch::<Controller>(0, check, said);
    }

    /// Gives a batch to the thread; false if there is none that takes it.
    pub(crate) fn store(&self, batch: lemoncleat_agreement::Batch) -> bool {
        self.writer.as_ref().is_some_and(|writer| writer.write(batch))
    }
}

/// What a node tells all others of its calls.
pub(crate) fn figures(stats: &Stats) -> Figures {
    Figures { standing: stats.standing as u64, setting_up: stats.setting_up as u64, calls: stats.calls }
}

/// What became of a node's calls: by this the first nodes under a new configuration are compared with others.
pub(crate) fn calls(stats: &Stats) -> Calls {
    Calls { calls: stats.calls, refused: stats.refused, lost: stats.cut + stats.last_moment + stats.failed }
}
