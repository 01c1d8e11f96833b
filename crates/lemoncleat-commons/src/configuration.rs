//! Connects a configuration distributor to a part.

use lemoncleat_configuration::{
    Answer, Calls, Distributor, Input, Ledger, Member, Notice, Output, Phase, Settings,
};
use lemoncleat_fleet::MemberId;
use serde_json::{json, Value};

use crate::part::{name, Names};
use crate::Micros;

fn members(all: &[lemoncleat_fleet::Member]) -> Vec<Member> {
    all.iter().map(|member| Member { id: MemberId::of(&member.name).0, zone: member.zone.clone() }).collect()
}

/// A distributor and its pending outputs.
pub(crate) struct Configuration {
    distributor: Distributor,
    names: Names,
    leading: bool,
    pub(crate) calls: Calls,
    pub(crate) outputs: Vec<Output>,
}

impl Configuration {
    pub(crate) fn new(settings: &crate::Settings, names: Names, start: u32, seed: u64) -> Configuration {
        let id = |name: &str| MemberId::of(name).0;
        let settings = Settings {
            own: id(&settings.own),
            members: members(&settings.members),
            voters: settings.voters.iter().map(|voter| id(voter)).collect(),
            round: settings.round,
        };
        // Query numbers must differ from those before a restart.
        let distributor = Distributor::new(settings, seed ^ u64::from(start) << 32);
        Configuration { distributor, names, leading: false, calls: Calls::default(), outputs: Vec::new() }
    }

    pub(crate) fn handle(&mut self, now: Micros, input: Input<'_>) {
        self.distributor.handle(now, input, &mut self.outputs);
    }

    /// Replaces the members and their names.
    pub(crate) fn set_members(&mut self, now: Micros, all: &[lemoncleat_fleet::Member], names: Names) {
        self.names = names;
        self.handle(now, Input::Members(members(all)));
    }

    pub(crate) fn operator_left(&mut self, conn: u64) {
        self.distributor.operator_left(conn);
    }

    pub(crate) fn wake(&self) -> Option<Micros> {
        self.distributor.wake()
    }

    /// At a voter: passes on a changed ledger and a change of leadership.
    pub(crate) fn ledger_updated(&mut self, now: Micros, ledger: Option<&Ledger>, leading: bool) {
        if let Some(ledger) = ledger {
            self.handle(now, Input::Ledger(ledger));
        }
        if leading != self.leading {
            self.leading = leading;
            self.handle(now, Input::Leading(leading));
        }
    }

    fn name(&self, id: u32) -> String {
        name(&self.names, MemberId(id))
    }

    /// Returns this node's configuration state for an operator.
    pub(crate) fn status(&self, now: Micros) -> Value {
        let status = self.distributor.status(now);
        let phase = match status.phase {
            Phase::None => "none",
            Phase::Trial => "trial",
            Phase::All => "all",
        };
        let source = match (status.in_force, status.confirmed) {
            (0, _) => "file",
            (_, true) => "agreed",
            (_, false) => "kept",
        };
        json!({
            "ok": true, "in_force": status.in_force,
            "digest": status.version.map(|version| version.digest.to_string()),
            "newest": status.newest, "step": status.step, "phase": phase, "canary": status.canary,
            "age_ms": status.age.map(|age| age / 1_000), "refused": status.refused, "source": source,
        })
    }

    /// Encodes an answer to an operator.
    pub(crate) fn answer(&self, answer: Answer) -> Value {
        match answer {
            Answer::Agreed { order, number } => json!({"ok": true, "order": order, "number": number}),
            Answer::Refused { order, error } => json!({"ok": false, "order": order, "error": error}),
            Answer::Counted { newest, answered, of, counts } => {
                let versions: serde_json::Map<String, Value> = counts
                    .versions
                    .iter()
                    .map(|(number, count)| (number.to_string(), (*count).into()))
                    .collect();
                let other = |other: &lemoncleat_configuration::OutdatedMember| json!({"host": self.name(other.member), "number": other.number, "why": other.reason});
                let others: Vec<Value> = counts.others.iter().map(other).collect();
                json!({
                    "ok": true, "newest": newest, "answered": answered, "of": of,
                    "versions": versions, "others": others,
                })
            }
        }
    }

    /// Returns the log line of a notice, and whether it is a warning.
    pub(crate) fn describe(&self, notice: &Notice) -> (bool, String) {
        match notice {
            Notice::InForce(0) => (false, "the settings of the node's file are in force".to_owned()),
            Notice::InForce(number) => (false, format!("version {number} of the configuration is in force")),
            Notice::Refused(number, why) => {
                (true, format!("version {number} of the configuration can't be used: {why}"))
            }
            Notice::Step(held) => {
                let settled = held.settled.map_or(0, |version| version.number);
                let trial = held.trial.map(|trial| format!(", {} under trial", trial.number));
                let trial = trial.unwrap_or_default();
                (false, format!("configuration at step {}: version {settled} for all{trial}", held.step))
            }
            Notice::CopyUnusable(why) => (true, format!("the kept configuration is not used: {why}")),
            Notice::PersistFailed(why) => (true, format!("the configuration can't be kept: {why}")),
            Notice::WrongText(from, number) => {
                (true, format!("{} served a wrong text of version {number}", self.name(*from)))
            }
            Notice::MessageDiscarded(from) => {
                (true, format!("a word of {} on the configuration is not heard", self.name(*from)))
            }
        }
    }
}
