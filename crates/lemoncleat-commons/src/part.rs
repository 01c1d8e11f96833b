//! Connects the state machines of membership, agreement, configuration and rules check to one carrier.

use std::collections::BTreeMap;
use std::sync::Arc;

use lemoncleat_agreement::Batch;
use lemoncleat_configuration::{self as distribution, Calls};
use lemoncleat_consistency::{self as consistency, Decider};
use lemoncleat_fleet::{Fleet, Input, Kind, Member, MemberId, Notice, Output, State, Timing, Transport};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

use crate::configuration::Configuration;
use crate::fragments::{Fragmenter, PeerMessage};
use crate::rules::{RulesCheck, RulesWatch};
use crate::seat::{Action, Agreement, VoterRole};
use crate::Micros;

/// Maximum length of a message between nodes: the limit of the node's core.
const MAX_MESSAGE_BYTES: usize = 32 * 1024;
/// The fact with a node's call figures, its minimum interval, and the interval after which unchanged figures
/// are published again.
const FIGURES_FACT: Kind = Kind(1);
const FIGURES_INTERVAL_US: Micros = 5_000_000;
const FIGURES_REFRESH_US: Micros = 20_000_000;
/// The fact with a node's rules.
const RULES_FACT: Kind = Kind(2);
/// Minimum tick of the agreement. A write to the store has to finish within a few ticks.
const MIN_TICK_US: Micros = 10_000;

/// The call figures that a node publishes to all others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Figures {
    /// The number of established calls.
    pub standing: u64,
    /// The number of calls in set-up.
    pub setting_up: u64,
    /// The number of calls accepted since the start.
    pub calls: u64,
}

/// The settings of a part.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of this node, one of the members.
    pub own: Arc<str>,
    /// All members. The carrier identifies them by their place in this list.
    pub members: Vec<Member>,
    /// The members that vote in the agreement: none, three or five.
    pub voters: Vec<Arc<str>>,
    /// The length of a round of the fleet, in microseconds. All time-outs scale with it.
    pub round: Micros,
    /// Whether the fleet agrees on a common configuration.
    pub configuration: bool,
}

/// The members' names.
pub(crate) type Names = Arc<BTreeMap<MemberId, Arc<str>>>;

pub(crate) fn name(names: &Names, id: MemberId) -> String {
    names.get(&id).map_or_else(|| id.to_string(), |name| name.to_string())
}

/// An action for the driver. Actions are carried out in order. Members are given by their place in the
/// settings.
#[derive(Debug)]
pub enum Said {
    /// Connect to this member, and reconnect whenever the connection is lost.
    Connect(usize),
    /// Stop connecting to this member, and close the connection if this node opened it.
    Disconnect(usize),
    /// Send this message to this member, or drop it.
    Send(usize, Vec<u8>),
    /// Store this batch and call [`FleetNode::stored`].
    Store(Batch),
    /// Answer the operator on this connection.
    Answer(u64, Value),
    /// Refuse new calls, with this retry time in microseconds; or accept them again if there is none.
    Fence(Option<Micros>),
    /// Log this line; the flag marks a warning.
    Log(bool, String),
    /// Put this version of the configuration in force atomically and call [`FleetNode::version_applied`].
    /// Number 0 with an empty text stands for the settings of the node's file.
    ApplyConfiguration {
        /// The number of the version.
        number: u64,
        /// The text of the version.
        text: String,
    },
    /// Durably replace the saved copy by these bytes and call [`FleetNode::kept`].
    Persist(Vec<u8>),
    /// The version in force at the start is decided: calls may be accepted.
    Ready,
}

/// The fleet side of one node.
pub struct FleetNode {
    pub(crate) fleet: Fleet,
    /// The members by place, including removed ones.
    pub(crate) ids: Vec<MemberId>,
    /// The places of the current members.
    pub(crate) places: BTreeMap<MemberId, usize>,
    pub(crate) names: Names,
    pub(crate) fragmenter: Fragmenter,
    pub(crate) agreement: Option<Agreement>,
    rules_watch: Option<RulesWatch>,
    pub(crate) configuration: Option<Configuration>,
    start: u32,
    /// The figures published last, and the time at which they are published again even if unchanged.
    published: Option<(Figures, Micros)>,
    figures_due: Micros,
    pub(crate) outputs: Vec<Output>,
    actions: Vec<Action>,
    check_outputs: Vec<consistency::Output>,
}

impl FleetNode {
    /// Creates the part of a node. `start` increases with each start of the process, as Origin-State-Id does
    /// (RFC 6733 section 8.16). The seed determines the random choices.
    ///
    /// # Errors
    ///
    /// If two members have the same name or identifier, the node is not a member, or a duration is zero.
    pub fn new(
        settings: &Settings,
        seat: VoterRole,
        start: u32,
        seed: u64,
    ) -> Result<FleetNode, lemoncleat_fleet::SettingsError> {
        let mut core =
            lemoncleat_fleet::Settings::new(&settings.own, settings.members.clone(), Transport::Connections);
        core.max_message = MAX_MESSAGE_BYTES;
        core.timing = timing(settings.round);
        let fleet = Fleet::new(core, start, seed)?;
        let ids: Vec<MemberId> = settings.members.iter().map(|member| MemberId::of(&member.name)).collect();
        let voters: Vec<MemberId> = settings.voters.iter().map(|name| MemberId::of(name)).collect();
        let tick = (settings.round / 4).max(MIN_TICK_US);
        let known = settings.members.iter().map(|member| member.name.clone());
        let names: Names = Arc::new(ids.iter().copied().zip(known).collect());
        let mut agreement = (!voters.is_empty())
            .then(|| Agreement::new(names.clone(), fleet.own(), voters, seat, tick, seed));
        let configuration =
            settings.configuration.then(|| Configuration::new(settings, names.clone(), start, seed));
        if let (Some(agreement), Some(_)) = (&mut agreement, &configuration) {
            agreement.follow_on_demand();
        }
        let mut actions = Vec::new();
        if let Some(why) = agreement.as_ref().and_then(Agreement::store_error) {
            actions
                .push(Action::Log(true, format!("this voter does not vote, its store can't be used: {why}")));
        }
        Ok(FleetNode {
            fleet,
            places: ids.iter().copied().enumerate().map(|(place, id)| (id, place)).collect(),
            names,
            ids,
            fragmenter: Fragmenter::default(),
            agreement,
            rules_watch: None,
            configuration,
            start,
            published: None,
            figures_due: 0,
            outputs: Vec::new(),
            actions,
            check_outputs: Vec::new(),
        })
    }

    /// Starts to check that all members with the same rules make the same decisions. `D` is the decider of
    /// this node.
    pub fn watch<D: Decider + 'static>(&mut self, now: Micros, check: RulesCheck, out: &mut Vec<Said>) {
        let members = self.places.keys().map(|id| id.0).collect();
        let mut watch = RulesWatch::new::<D>(self.fleet.own().0, self.start, members, &check);
        watch.handle(now, consistency::Input::Rules(check.rules), &mut self.check_outputs);
        self.rules_watch = Some(watch);
        self.process_outputs(now, out);
    }

    /// Returns the time from which background work is allowed; none while there is no work.
    pub fn work_at(&self) -> Option<Micros> {
        self.rules_watch.as_ref()?.work_at()
    }

    /// Does a piece of the background work, which takes a few milliseconds at most. It is to be called while
    /// no call waits, and followed by [`FleetNode::worked`] with the time spent.
    pub fn work(&mut self, now: Micros, out: &mut Vec<Said>) {
        if let Some(watch) = &mut self.rules_watch {
            watch.work(now, &mut self.check_outputs);
        }
        self.process_outputs(now, out);
    }

    /// Takes the time spent on the last piece of work. The next one is delayed to keep to the share of
    /// processor time.
    pub fn worked(&mut self, now: Micros, spent: Micros) {
        if let Some(watch) = &mut self.rules_watch {
            watch.worked(now, spent);
        }
    }

    /// Returns the latest time at which [`FleetNode::timeout`] is due.
    pub fn wake(&self) -> Option<Micros> {
        let agreement = self.agreement.as_ref().and_then(Agreement::wake);
        let watch = self.rules_watch.as_ref().and_then(RulesWatch::wake);
        let configuration = self.configuration.as_ref().and_then(Configuration::wake);
        self.fleet
            .wake()
            .into_iter()
            .chain(agreement)
            .chain(watch)
            .chain(configuration)
            .chain([self.figures_due])
            .min()
    }

    /// Handles a timeout, with the current figures of the node.
    pub fn timeout(&mut self, now: Micros, figures: Figures, out: &mut Vec<Said>) {
        if self.figures_due <= now {
            self.figures_due = now + FIGURES_INTERVAL_US;
            let current = self.published.filter(|(published, until)| *published == figures && now < *until);
            if let (Ok(bytes), None) = (postcard::to_allocvec(&figures), current) {
                self.fleet.handle(now, Input::Publish { kind: FIGURES_FACT, bytes }, &mut self.outputs);
                self.published = Some((figures, now + FIGURES_REFRESH_US));
            }
        }
        if self.fleet.wake().is_none_or(|wake| wake <= now) {
            self.fleet.handle(now, Input::Timeout, &mut self.outputs);
        }
        if let Some(agreement) = &mut self.agreement {
            agreement.timeout(now, &mut self.actions);
        }
        if let Some(configuration) = &mut self.configuration {
            configuration.handle(now, distribution::Input::Calls(configuration.calls));
        }
        if self.rules_watch.as_ref().and_then(RulesWatch::wake).is_some_and(|wake| wake <= now) {
            self.check_input(now, consistency::Input::Timeout);
        }
        self.process_outputs(now, out);
    }

    /// Handles that the connection with a member was established or closed.
    pub fn linked(&mut self, now: Micros, place: usize, linked: bool, out: &mut Vec<Said>) {
        let Some(id) = self.ids.get(place).copied() else { return };
        if !linked {
            self.fragmenter.forget(id);
        }
        let input = if linked { Input::Linked(id) } else { Input::Unlinked(id) };
        self.fleet.handle(now, input, &mut self.outputs);
        if let Some(configuration) = &mut self.configuration {
            use distribution::Input::{Connected, Disconnected};
            configuration.handle(now, if linked { Connected(id.0) } else { Disconnected(id.0) });
        }
        self.process_outputs(now, out);
    }

    /// Handles a message of a member.
    pub fn heard(&mut self, now: Micros, place: usize, bytes: &[u8], out: &mut Vec<Said>) {
        let Some(from) = self.ids.get(place).copied() else { return };
        self.fleet.handle(now, Input::Received { from, bytes }, &mut self.outputs);
        self.process_outputs(now, out);
    }

    /// Handles the result of [`Said::Store`].
    pub fn stored(&mut self, now: Micros, batch: u64, result: Result<(), String>, out: &mut Vec<Said>) {
        if let Some(agreement) = &mut self.agreement {
            agreement.stored(now, batch, result, &mut self.actions);
        }
        self.process_outputs(now, out);
    }

    pub(crate) fn process_outputs(&mut self, now: Micros, out: &mut Vec<Said>) {
        self.update_ledger(now);
        while !self.outputs.is_empty()
            || !self.actions.is_empty()
            || !self.check_outputs.is_empty()
            || self.configuration.as_ref().is_some_and(|own| !own.outputs.is_empty())
        {
            for output in std::mem::take(&mut self.outputs) {
                self.fleet_output(now, output, out);
            }
            for action in std::mem::take(&mut self.actions) {
                self.perform(now, action, out);
            }
            for output in std::mem::take(&mut self.check_outputs) {
                self.check_output(now, output, out);
            }
            let outputs = self.configuration.as_mut().map(|own| std::mem::take(&mut own.outputs));
            for output in outputs.into_iter().flatten() {
                self.distributor_output(now, output, out);
            }
            self.update_ledger(now);
        }
    }

    /// Passes the state of the ledger to the configuration.
    fn update_ledger(&mut self, now: Micros) {
        if let (Some(configuration), Some(agreement)) = (&mut self.configuration, &mut self.agreement) {
            let (ledger, leading) = agreement.ledger();
            configuration.ledger_updated(now, ledger, leading);
        }
    }

    /// Carries out an output of the configuration.
    fn distributor_output(&mut self, now: Micros, output: distribution::Output, out: &mut Vec<Said>) {
        let Some(configuration) = &self.configuration else { return };
        match output {
            distribution::Output::Send { to, bytes } => {
                self.actions.push(Action::Send(MemberId(to), PeerMessage::Configuration(bytes)));
            }
            distribution::Output::Apply { number, text } => {
                out.push(Said::ApplyConfiguration { number, text })
            }
            distribution::Output::Persist(bytes) => out.push(Said::Persist(bytes)),
            distribution::Output::Ready => out.push(Said::Ready),
            distribution::Output::Propose(command) => {
                if let Some(agreement) = &mut self.agreement {
                    agreement.propose_configuration(now, command, &mut self.actions);
                }
            }
            distribution::Output::Answer { conn, answer } => {
                out.push(Said::Answer(conn, configuration.answer(answer)));
            }
            distribution::Output::Notice(notice) => {
                let (bad, text) = configuration.describe(&notice);
                out.push(Said::Log(bad, text));
            }
        }
    }

    fn distributor_input(
        &mut self,
        now: Micros,
        input: distribution::Input<'_>,
        out: &mut Vec<Said>,
    ) -> bool {
        let Some(configuration) = &mut self.configuration else { return false };
        configuration.handle(now, input);
        self.process_outputs(now, out);
        true
    }

    fn check_input(&mut self, now: Micros, input: consistency::Input) {
        if let Some(watch) = &mut self.rules_watch {
            // A suspected member may still be making decisions.
            let present = self.fleet.members().filter(|(_, _, state, _)| *state != State::Gone);
            let alive = consistency::Input::Alive(present.map(|(id, ..)| id.0).collect());
            watch.handle(now, alive, &mut self.check_outputs);
            watch.handle(now, input, &mut self.check_outputs);
        }
    }

    /// Carries out an output of the rules check.
    fn check_output(&mut self, now: Micros, output: consistency::Output, out: &mut Vec<Said>) {
        match output {
            consistency::Output::Publish(bytes) => {
                self.fleet.handle(now, Input::Publish { kind: RULES_FACT, bytes }, &mut self.outputs);
            }
            consistency::Output::SendMessage { to, bytes } => {
                self.actions.push(Action::Send(MemberId(to), PeerMessage::Rules(bytes)));
            }
            consistency::Output::Fence(retry_after) => out.push(Said::Fence(retry_after)),
            consistency::Output::Notice(notice) => {
                out.extend(
                    crate::rules::describe(&self.names, &notice).map(|(bad, text)| Said::Log(bad, text)),
                );
            }
            // Cases are run by the watch itself, and windows are not sealed yet.
            consistency::Output::Cases | consistency::Output::PlayWindow { .. } => {}
        }
    }

    fn fleet_output(&mut self, now: Micros, output: Output, out: &mut Vec<Said>) {
        let place = |id: MemberId| self.places.get(&id).copied();
        match output {
            Output::Send { to, bytes } => out.extend(place(to).map(|place| Said::Send(place, bytes))),
            Output::Connect(id) => out.extend(place(id).map(Said::Connect)),
            Output::Disconnect(id) => out.extend(place(id).map(Said::Disconnect)),
            Output::Direct { from, bytes } => {
                match (self.fragmenter.reassemble(from, &bytes), &mut self.agreement, &mut self.rules_watch) {
                    (Some(PeerMessage::Configuration(bytes)), ..) => {
                        if let Some(configuration) = &mut self.configuration {
                            let input = distribution::Input::Received { from: from.0, bytes: &bytes };
                            configuration.handle(now, input);
                        }
                    }
                    (Some(PeerMessage::Rules(bytes)), _, Some(watch)) => watch.direct(from, bytes),
                    (Some(message), Some(agreement), _) => {
                        agreement.message_received(now, from, message, &mut self.actions)
                    }
                    _ => {}
                }
            }
            Output::State { member, state, .. } => {
                let (alive, of, member) = (self.fleet.alive(), self.places.len(), self.name(member));
                out.push(match state {
                    State::Alive => Said::Log(false, format!("{member} is there, {alive} of {of} are")),
                    State::Suspect => Said::Log(false, format!("{member} is suspected")),
                    State::Gone => Said::Log(true, format!("{member} is gone, {alive} of {of} are there")),
                });
                self.check_input(now, consistency::Input::Timeout);
            }
            Output::Fact(fact) if fact.kind == RULES_FACT => {
                let incarnation = u64::from(lemoncleat_fleet::start_of(fact.incarnation));
                let (from, age, bytes) = (fact.origin.0, fact.age, fact.bytes);
                self.check_input(now, consistency::Input::FactReceived { from, incarnation, age, bytes });
            }
            Output::Notice(notice) => out.push(self.describe_notice(notice)),
            // Facts are read on demand.
            Output::Fact(_) => {}
        }
    }

    fn perform(&mut self, now: Micros, action: Action, out: &mut Vec<Said>) {
        match action {
            Action::Send(to, message) => {
                let frames = self.fragmenter.split(&message);
                if frames.is_empty() {
                    out.push(Said::Log(true, format!("a message for {} is too long", self.name(to))));
                }
                for bytes in frames {
                    self.fleet.handle(now, Input::Direct { to, bytes }, &mut self.outputs);
                }
            }
            Action::Answer(conn, answer) => out.push(Said::Answer(conn, answer)),
            Action::Store(batch) => out.push(Said::Store(batch)),
            Action::Log(bad, text) => out.push(Said::Log(bad, text)),
        }
    }

    fn describe_notice(&self, notice: Notice) -> Said {
        let text = match notice {
            Notice::Stranger(id) => format!("a word of a process that is no member: {id}"),
            Notice::ForgedSender(id) => {
                format!("{} sends messages in the name of another member", self.name(id))
            }
            Notice::Unreadable(id) => format!("a word of {} can't be read", self.name(id)),
            Notice::IncarnationRaised => {
                "the fleet remembers a later start of this node: clock set back?".to_owned()
            }
            Notice::Paused(span) => format!("the process was paused for {:.1} s", span as f64 / 1e6),
            Notice::DirectDropped(id) => format!("words for {} were dropped", self.name(id)),
            Notice::FactDropped(id) => {
                format!("facts of {} exceed the limits and were dropped", self.name(id))
            }
            Notice::MembersRefused(count) => format!("a list of {count} members was refused"),
        };
        Said::Log(!matches!(notice, Notice::DirectDropped(_)), text)
    }

    pub(crate) fn name(&self, id: MemberId) -> String {
        name(&self.names, id)
    }

    // ---- Operators ----

    /// Returns the members with their state and figures, for an operator.
    pub fn members(&self, now: Micros) -> Value {
        let figures: BTreeMap<MemberId, (Micros, Figures)> = self
            .fleet
            .facts(now, FIGURES_FACT)
            .filter_map(|fact| Some((fact.origin, (fact.age, postcard::from_bytes(&fact.bytes).ok()?))))
            .collect();
        let rules = self.fleet.facts(now, RULES_FACT);
        let rules: BTreeMap<MemberId, _> =
            rules.filter_map(|fact| Some((fact.origin, consistency::told(&fact.bytes)?))).collect();
        let members: Vec<Value> = self
            .fleet
            .members()
            .map(|(id, member, state, incarnation)| {
                let state = match state {
                    State::Alive => "alive",
                    State::Suspect => "suspect",
                    State::Gone => "gone",
                };
                let start = lemoncleat_fleet::start_of(incarnation);
                let mut entry =
                    json!({"host": &*member.name, "zone": &*member.zone, "state": state, "start": start});
                if let Some((version, root)) = rules.get(&id) {
                    entry["rules"] = version.to_string().into();
                    entry["decides"] = root.map(|root| root.to_string()).into();
                }
                if let Some((age, figures)) = figures.get(&id) {
                    entry["age_ms"] = (age / 1_000).into();
                    entry["standing"] = figures.standing.into();
                    entry["setting_up"] = figures.setting_up.into();
                    entry["calls"] = figures.calls.into();
                }
                entry
            })
            .collect();
        let stats = self.fleet.stats();
        json!({
            "ok": true, "alive": self.fleet.alive(), "of": self.places.len(), "members": members,
            "told": stats.told, "told_bytes": stats.told_bytes, "heard": stats.heard,
            "not_heard": stats.strangers + stats.impostors + stats.unreadable + stats.stale,
            "suspicions": stats.suspicions, "refuted": stats.refuted,
        })
    }

    /// Returns the state of the agreement; none without voters.
    pub fn agreement(&self) -> Option<Value> {
        Some(self.agreement.as_ref()?.status())
    }

    /// Returns the marks after a log index; none without voters.
    pub fn marks(&self, after: u64) -> Option<Value> {
        Some(self.agreement.as_ref()?.marks(after))
    }

    /// Proposes an operator's mark. It is answered by [`Said::Answer`] when it is agreed. Returns false
    /// without voters.
    pub fn mark(&mut self, now: Micros, conn: u64, order: &str, text: &str, out: &mut Vec<Said>) -> bool {
        let Some(agreement) = &mut self.agreement else { return false };
        agreement.mark(now, conn, order, text, &mut self.actions);
        self.process_outputs(now, out);
        true
    }

    /// Changes the rules in force at this node, which it publishes and checks.
    pub fn rules(&mut self, now: Micros, rules: consistency::Rules, out: &mut Vec<Said>) {
        self.check_input(now, consistency::Input::Rules(rules));
        self.process_outputs(now, out);
    }

    /// Takes the saved copy of the configuration read from disk (none if there is no copy), or the reason why
    /// it can't be read. To be called once, before all other input.
    pub fn found(&mut self, now: Micros, kept: Result<Option<Vec<u8>>, String>, out: &mut Vec<Said>) {
        self.distributor_input(now, distribution::Input::Loaded(kept), out);
    }

    /// Handles the result of [`Said::ApplyConfiguration`].
    pub fn version_applied(
        &mut self,
        now: Micros,
        number: u64,
        result: Result<(), String>,
        out: &mut Vec<Said>,
    ) {
        self.distributor_input(now, distribution::Input::Applied { number, result }, out);
    }

    /// Handles the result of [`Said::Persist`].
    pub fn kept(&mut self, now: Micros, result: Result<(), String>, out: &mut Vec<Said>) {
        self.distributor_input(now, distribution::Input::Persisted(result), out);
    }

    /// Takes the node's cumulative call counters since its start. To be called before [`FleetNode::timeout`].
    pub fn calls(&mut self, calls: Calls) {
        if let Some(configuration) = &mut self.configuration {
            configuration.calls = calls;
        }
    }

    /// Proposes an operator's change, whose text the driver has validated. It is answered by [`Said::Answer`]
    /// within 10 s. Returns false without a configuration.
    pub fn configure(
        &mut self,
        now: Micros,
        conn: u64,
        order: &str,
        parent: u64,
        text: &str,
        out: &mut Vec<Said>,
    ) -> bool {
        self.distributor_input(now, distribution::Input::Change { conn, order, parent, text }, out)
    }

    /// Returns the configuration state of this node; none without a configuration.
    pub fn configuration(&self, now: Micros) -> Option<Value> {
        Some(self.configuration.as_ref()?.status(now))
    }

    /// Queries the versions in force at all members. It is answered by [`Said::Answer`] within 3 s. Returns
    /// false without a configuration.
    pub fn configurations(&mut self, now: Micros, conn: u64, out: &mut Vec<Said>) -> bool {
        self.distributor_input(now, distribution::Input::Query { conn }, out)
    }

    /// Drops the pending requests of an operator whose connection was closed.
    pub fn operator_left(&mut self, conn: u64) {
        if let Some(agreement) = &mut self.agreement {
            agreement.operator_left(conn);
        }
        if let Some(configuration) = &mut self.configuration {
            configuration.operator_left(conn);
        }
    }
}

/// Scales the fleet's time-outs with the length of its rounds.
fn timing(round: Micros) -> Timing {
    let usual = Timing::default();
    let scaled = |span: Micros| (span.saturating_mul(round) / usual.round).max(1_000);
    Timing {
        round,
        answer: scaled(usual.answer),
        suspicion_timeout: scaled(usual.suspicion_timeout),
        gossip: scaled(usual.gossip),
        sync: scaled(usual.sync),
        retry: scaled(usual.retry),
        meet: scaled(usual.meet).max(1_000_000),
        ..usual
    }
}
