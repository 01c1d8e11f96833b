//! Driver of a node's fleet logic: opens the voter's store, runs its storage thread and supplies the node's
//! figures.

use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::path::Path;

use lemoncleat::Controller;
use lemoncleat_agreement::{Store, Writer};
use lemoncleat_commons::{Calls, Figures, FleetNode, RulesCheck, Said, Settings, VoterRole};
use lemoncleat_consistency::{Limits, Rules};
use lemoncleat_node::Stats;

use crate::configuration::ConfigurationDriver;
use crate::fleet_settings::RulesSettings;
use crate::FleetSettings;

/// File name of a voter's store in its directory.
const STORE_FILE: &str = "agreement.redb";

/// Number of a batch and the result of storing it.
pub(crate) type Stored = (u64, Result<(), String>);

/// The fleet logic of a node with its storage thread.
pub(crate) struct FleetDriver {
    pub(crate) part: FleetNode,
    writer: Option<Writer>,
    /// The configuration threads, if the fleet has a common configuration.
    pub(crate) configuration: Option<ConfigurationDriver>,
}

/// Returns a random identifier for a new store.
fn random_store_id() -> u64 {
    RandomState::new().build_hasher().finish()
}

/// Opens a voter's store.
fn open_store(
    directory: &Path,
    mut stored: impl FnMut(Stored) + Send + 'static,
) -> Result<(VoterRole, Writer), String> {
    std::fs::create_dir_all(directory).map_err(|error| format!("{}: {error}", directory.display()))?;
    let store =
        Store::open(&directory.join(STORE_FILE), random_store_id()).map_err(|error| error.to_string())?;
    let found = store.read_all().map_err(|error| error.to_string())?;
    let writer = Writer::start(store, move |batch, result| stored((batch, result)));
    Ok((
        VoterRole::Voter(found),
        writer.map_err(|error| format!("could not start the storage thread: {error}"))?,
    ))
}

impl FleetDriver {
    /// Creates the fleet logic of the node with this name. A store that can't be used is reported, and the
    /// node still handles calls.
    pub(crate) fn new(
        host: &str,
        settings: &FleetSettings,
        start: u32,
        seed: u64,
        stored: impl FnMut(Stored) + Send + 'static,
    ) -> Result<FleetDriver, String> {
        let (seat, writer) = match settings.store.as_deref().map(|directory| open_store(directory, stored)) {
            Some(Ok((seat, writer))) => (seat, Some(writer)),
            Some(Err(why)) => (VoterRole::Broken(why), None),
            None => (VoterRole::Follower, None),
        };
        let settings = Settings {
            own: host.into(),
            members: settings.fleet_members(),
            voters: settings.voters.clone(),
            round: settings.round,
            configuration: settings.configuration.is_some(),
        };
        let part = FleetNode::new(&settings, seat, start, seed).map_err(|error| error.to_string())?;
        Ok(FleetDriver { part, writer, configuration: None })
    }

    /// Starts the check that all members with these rules make the same decisions.
    pub(crate) fn watch(&mut self, rules: Rules, settings: &RulesSettings, actions: &mut Vec<Said>) {
        let limits = Limits { fences: settings.fence, share: settings.share, ..Limits::default() };
        let check = RulesCheck { rules, limits, processor: settings.processor };
        self.part.watch::<Controller>(0, check, actions);
    }

    /// Queues a batch for storage; returns false if there is no storage thread.
    pub(crate) fn store(&self, batch: lemoncleat_agreement::Batch) -> bool {
        self.writer.as_ref().is_some_and(|writer| writer.write(batch))
    }
}

/// Returns the call figures that a node reports to the other members.
pub(crate) fn fleet_figures(stats: &Stats) -> Figures {
    Figures { standing: stats.standing as u64, setting_up: stats.setting_up as u64, calls: stats.calls }
}

/// Returns the outcomes of a node's calls, by which the first nodes with a new configuration are compared
/// with the others.
pub(crate) fn call_outcomes(stats: &Stats) -> Calls {
    Calls { calls: stats.calls, refused: stats.refused, lost: stats.cut + stats.last_moment + stats.failed }
}
