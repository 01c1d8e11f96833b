//! The cores joined to one carrier.

use std::collections::BTreeMap;
use std::sync::Arc;

use lemoncleat_agreement::Batch;
use lemoncleat_configuration::{self as configured, Calls};
use lemoncleat_consistency::{self as consistency, Decider};
use lemoncleat_fleet::{Carrier, Fleet, Input, Kind, Member, MemberId, Notice, Output, State, Timing};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

use crate::configuration::Configuration;
use crate::pieces::{Errand, Pieces};
use crate::rules::{RulesCheck, Watch};
use crate::seat::{Agreed, Ask, Seat};
use crate::Micros;

/// The longest message between nodes: as long as the node's core carries.
const LONGEST: usize = 32 * 1024;
/// What a node tells of its calls, and how often at the most.
const FIGURES: Kind = Kind(1);
const FIGURES_EVERY: Micros = 5_000_000;
const FIGURES_LIFE: Micros = 20_000_000;
/// What a node tells of its rules.
const RULES: Kind = Kind(2);
/// The shortest tick of the agreement: a store has to be written within a few.
const LEAST_TICK: Micros = 10_000;

/// What a node tells all others of its calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Figures {
    /// Calls standing now.
    pub standing: u64,
    /// Calls being set up now.
    pub setting_up: u64,
    /// Calls accepted since the start.
    pub calls: u64,
}

/// What a part has to know.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The node's own name, one of the members.
    pub own: Arc<str>,
    /// All members. The carrier knows them by their place here.
    pub members: Vec<Member>,
    /// The members that agree for all: none, three or five.
    pub voters: Vec<Arc<str>>,
    /// The length of a round of the fleet, in microseconds; all its patience follows from it.
    pub round: Micros,
    /// Whether one configuration is agreed for all.
    pub configuration: bool,
}

/// The members' names.
pub(crate) type Names = Arc<BTreeMap<MemberId, Arc<str>>>;

pub(crate) fn name(names: &Names, id: MemberId) -> String {
    names.get(&id).map_or_else(|| id.to_string(), |name| name.to_string())
}

/// What a part asks of its driver, in this order. Members by their place in the settings.
#[derive(Debug)]
pub enum Said {
    /// Connect to this member, and again whenever the connection is lost.
    Meet(usize),
    /// Do so no more, and end the connection if this node made it.
    Part(usize),
    /// Say this to this member, or drop it.
    Word(usize, Vec<u8>),
    /// Store this, and tell [`Part::stored`].
    Store(Batch),
    /// Answer the operator on this connection.
    Answer(u64, Value),
    /// Refuse new calls from now on, with this time to come back in microseconds; or take them again.
    Fence(Option<Micros>),
    /// For the log: whether it is bad news, and what.
    Log(bool, String),
    /// Put this version of the configuration in force, whole or not at all, and tell [`Part::configured`]. Number 0
    /// and no text: what the node's file says.
    Configure {
        /// Its number.
        number: u64,
        /// Its text.
        text: String,
    },
    /// Keep these bytes in place of those before, durably, and tell [`Part::kept`].
    Keep(Vec<u8>),
    /// What is in force at the start is decided: calls may be taken.
    Settled,
}

/// A node's part in its fleet.
pub struct Part {
    pub(crate) fleet: Fleet,
    /// By place, those that went among them.
    pub(crate) ids: Vec<MemberId>,
    /// Of the members in force.
    pub(crate) places: BTreeMap<MemberId, usize>,
    pub(crate) names: Names,
    pub(crate) pieces: Pieces,
    pub(crate) agreed: Option<Agreed>,
    watch: Option<Watch>,
    pub(crate) configuration: Option<Configuration>,
    start: u32,
    /// The figures told last, and when they are told again though they are the same.
    told: Option<(Figures, Micros)>,
    tell_at: Micros,
    pub(crate) outputs: Vec<Output>,
    asks: Vec<Ask>,
    judged: Vec<consistency::Output>,
}

impl Part {
    /// The part of a node. `start` grows with each start, as Origin-State-Id does (RFC 6733 section 8.16); its random
    /// choices come from the seed.
    ///
    /// # Errors
    ///
    /// When the members can't be told apart, the node is none of them, or a span is nothing.
    pub fn new(
        settings: &Settings,
        seat: Seat,
        start: u32,
        seed: u64,
    ) -> Result<Part, lemoncleat_fleet::SettingsError> {
        let mut core =
            lemoncleat_fleet::Settings::new(&settings.own, settings.members.clone(), Carrier::Connections);
        core.max_message = LONGEST;
        core.timing = timing(settings.round);
        let fleet = Fleet::new(core, start, seed)?;
        let ids: Vec<MemberId> = settings.members.iter().map(|member| MemberId::of(&member.name)).collect();
        let voters: Vec<MemberId> = settings.voters.iter().map(|name| MemberId::of(name)).collect();
        let tick = (settings.round / 4).max(LEAST_TICK);
        let known = settings.members.iter().map(|member| member.name.clone());
        let names: Names = Arc::new(ids.iter().copied().zip(known).collect());
        let mut agreed =
            (!voters.is_empty()).then(|| Agreed::new(names.clone(), fleet.own(), voters, seat, tick, seed));
        let configuration =
            settings.configuration.then(|| Configuration::new(settings, names.clone(), start, seed));
        if let (Some(agreed), Some(_)) = (&mut agreed, &configuration) {
            agreed.learn_on_demand();
        }
        let mut asks = Vec::new();
        if let Some(why) = agreed.as_ref().and_then(Agreed::broken) {
            asks.push(Ask::Log(true, format!("this voter does not vote, its store can't be used: {why}")));
        }
        Ok(Part {
            fleet,
            places: ids.iter().copied().enumerate().map(|(place, id)| (id, place)).collect(),
            names,
            ids,
            pieces: Pieces::default(),
            agreed,
            watch: None,
            configuration,
            start,
            told: None,
            tell_at: 0,
            outputs: Vec::new(),
            asks,
            judged: Vec::new(),
        })
    }

    /// Watches from now on that all members of the same rules decide alike. `D` is what decides at this node.
    pub fn watch<D: Decider + 'static>(&mut self, now: Micros, check: RulesCheck, said: &mut Vec<Said>) {
        let members = self.places.keys().map(|id| id.0).collect();
        let mut watch = Watch::new::<D>(self.fleet.own().0, self.start, members, &check);
        watch.handle(now, consistency::Input::Rules(check.rules), &mut self.judged);
        self.watch = Some(watch);
        self.settle(now, said);
    }

    /// From when on it has work that nobody waits for; none while there is none.
    pub fn work_at(&self) -> Option<Micros> {
        self.watch.as_ref()?.work_at()
    }

    /// Does a piece of that work: a few milliseconds at the most, for a moment in which no call waits. How long it
    /// took is to be told by [`Part::worked`].
    pub fn work(&mut self, now: Micros, said: &mut Vec<Said>) {
        if let Some(watch) = &mut self.watch {
            watch.work(now, &mut self.judged);
        }
        self.settle(now, said);
    }

    /// The work that ended now took so long: no more of it until its share of the time allows.
    pub fn worked(&mut self, now: Micros, spent: Micros) {
        if let Some(watch) = &mut self.watch {
            watch.worked(now, spent);
        }
    }

    /// When it wants a turn at the latest.
    pub fn wake(&self) -> Option<Micros> {
        let agreed = self.agreed.as_ref().and_then(Agreed::wake);
        let watch = self.watch.as_ref().and_then(Watch::wake);
        let configuration = self.configuration.as_ref().and_then(Configuration::wake);
        self.fleet
            .wake()
            .into_iter()
            .chain(agreed)
            .chain(watch)
            .chain(configuration)
            .chain([self.tell_at])
            .min()
    }

    /// Time has passed, and this is what the node has done so far.
    pub fn timeout(&mut self, now: Micros, figures: Figures, said: &mut Vec<Said>) {
        if self.tell_at <= now {
            self.tell_at = now + FIGURES_EVERY;
            let told = self.told.filter(|(told, until)| *told == figures && now < *until);
            if let (Ok(bytes), None) = (postcard::to_allocvec(&figures), told) {
                self.fleet.handle(now, Input::Publish { kind: FIGURES, bytes }, &mut self.outputs);
                self.told = Some((figures, now + FIGURES_LIFE));
            }
        }
        if self.fleet.wake().is_none_or(|wake| wake <= now) {
            self.fleet.handle(now, Input::Timeout, &mut self.outputs);
        }
        if let Some(agreed) = &mut self.agreed {
            agreed.timeout(now, &mut self.asks);
        }
        if let Some(configuration) = &mut self.configuration {
            configuration.handle(now, configured::Input::Calls(configuration.calls));
        }
        if self.watch.as_ref().and_then(Watch::wake).is_some_and(|wake| wake <= now) {
            self.tell_watch(now, consistency::Input::Timeout);
        }
        self.settle(now, said);
    }

    /// A connection with a member stands, or stands no more.
    pub fn linked(&mut self, now: Micros, place: usize, linked: bool, said: &mut Vec<Said>) {
        let Some(id) = self.ids.get(place).copied() else { return };
        if !linked {
            self.pieces.forget(id);
        }
        let input = if linked { Input::Linked(id) } else { Input::Unlinked(id) };
        self.fleet.handle(now, input, &mut self.outputs);
        if let Some(configuration) = &mut self.configuration {
            use configured::Input::{Linked, Unlinked};
            configuration.handle(now, if linked { Linked(id.0) } else { Unlinked(id.0) });
        }
        self.settle(now, said);
    }

    /// A member said something.
    pub fn heard(&mut self, now: Micros, place: usize, bytes: &[u8], said: &mut Vec<Said>) {
        let Some(from) = self.ids.get(place).copied() else { return };
        self.fleet.handle(now, Input::Heard { from, bytes }, &mut self.outputs);
        self.settle(now, said);
    }

    /// A batch is stored, or could not be, and why.
    pub fn stored(&mut self, now: Micros, batch: u64, result: Result<(), String>, said: &mut Vec<Said>) {
        if let Some(agreed) = &mut self.agreed {
            agreed.stored(now, batch, result, &mut self.asks);
        }
        self.settle(now, said);
    }

    pub(crate) fn settle(&mut self, now: Micros, said: &mut Vec<Said>) {
        self.tell_agreed(now);
        while !self.outputs.is_empty()
            || !self.asks.is_empty()
            || !self.judged.is_empty()
            || self.configuration.as_ref().is_some_and(|own| !own.outputs.is_empty())
        {
            for output in std::mem::take(&mut self.outputs) {
                self.output(now, output, said);
            }
            for ask in std::mem::take(&mut self.asks) {
                self.ask(now, ask, said);
            }
            for judged in std::mem::take(&mut self.judged) {
                self.judge(now, judged, said);
            }
            let outputs = self.configuration.as_mut().map(|own| std::mem::take(&mut own.outputs));
            for output in outputs.into_iter().flatten() {
                self.distribute(now, output, said);
            }
            self.tell_agreed(now);
        }
    }

    /// Tells the configuration what became of its commands.
    fn tell_agreed(&mut self, now: Micros) {
        if let (Some(configuration), Some(agreed)) = (&mut self.configuration, &mut self.agreed) {
            let (ledger, leading) = agreed.ledger();
            configuration.agreed(now, ledger, leading);
        }
    }

    /// Carries out what the configuration says.
    fn distribute(&mut self, now: Micros, output: configured::Output, said: &mut Vec<Said>) {
        let Some(configuration) = &self.configuration else { return };
        match output {
            configured::Output::Tell { to, bytes } => {
                self.asks.push(Ask::Say(MemberId(to), Errand::Configuration(bytes)));
            }
            configured::Output::Try { number, text } => said.push(Said::Configure { number, text }),
            configured::Output::Keep(bytes) => said.push(Said::Keep(bytes)),
            configured::Output::Settled => said.push(Said::Settled),
            configured::Output::Propose(command) => {
                if let Some(agreed) = &mut self.agreed {
                    agreed.command(now, command, &mut self.asks);
                }
            }
            configured::Output::Answer { conn, answer } => {
                said.push(Said::Answer(conn, configuration.answer(answer)));
            }
            configured::Output::Notice(notice) => {
                let (bad, text) = configuration.told(&notice);
                said.push(Said::Log(bad, text));
            }
        }
    }

    fn tell_configuration(
        &mut self,
        now: Micros,
        input: configured::Input<'_>,
        said: &mut Vec<Said>,
    ) -> bool {
        let Some(configuration) = &mut self.configuration else { return false };
        configuration.handle(now, input);
        self.settle(now, said);
        true
    }

    fn tell_watch(&mut self, now: Micros, input: consistency::Input) {
        if let Some(watch) = &mut self.watch {
            // One that is only suspected may well decide.
            let there = self.fleet.members().filter(|(_, _, state, _)| *state != State::Gone);
            let alive = consistency::Input::Alive(there.map(|(id, ..)| id.0).collect());
            watch.handle(now, alive, &mut self.judged);
            watch.handle(now, input, &mut self.judged);
        }
    }

    /// Carries out what the check of the rules says.
    fn judge(&mut self, now: Micros, output: consistency::Output, said: &mut Vec<Said>) {
        match output {
            consistency::Output::Publish(bytes) => {
                self.fleet.handle(now, Input::Publish { kind: RULES, bytes }, &mut self.outputs);
            }
            consistency::Output::Direct { to, bytes } => {
                self.asks.push(Ask::Say(MemberId(to), Errand::Rules(bytes)));
            }
            consistency::Output::Fence(come_back) => said.push(Said::Fence(come_back)),
            consistency::Output::Notice(notice) => {
                said.extend(crate::rules::told(&self.names, &notice).map(|(bad, text)| Said::Log(bad, text)));
            }
            // Played by the watch itself; and nobody seals windows yet.
            consistency::Output::Cases | consistency::Output::Play { .. } => {}
        }
    }

    fn output(&mut self, now: Micros, output: Output, said: &mut Vec<Said>) {
        let place = |id: MemberId| self.places.get(&id).copied();
        match output {
            Output::Tell { to, bytes } => said.extend(place(to).map(|place| Said::Word(place, bytes))),
            Output::Meet(id) => said.extend(place(id).map(Said::Meet)),
            Output::Part(id) => said.extend(place(id).map(Said::Part)),
            Output::Direct { from, bytes } => {
                match (self.pieces.join(from, &bytes), &mut self.agreed, &mut self.watch) {
                    (Some(Errand::Configuration(bytes)), ..) => {
                        if let Some(configuration) = &mut self.configuration {
                            let input = configured::Input::Heard { from: from.0, bytes: &bytes };
                            configuration.handle(now, input);
                        }
                    }
                    (Some(Errand::Rules(bytes)), _, Some(watch)) => watch.direct(from, bytes),
                    (Some(errand), Some(agreed), _) => agreed.errand(now, from, errand, &mut self.asks),
                    _ => {}
                }
            }
            Output::State { member, state, .. } => {
                let (alive, of, member) = (self.fleet.alive(), self.places.len(), self.name(member));
                said.push(match state {
                    State::Alive => Said::Log(false, format!("{member} is there, {alive} of {of} are")),
                    State::Suspect => Said::Log(false, format!("{member} is suspected")),
                    State::Gone => Said::Log(true, format!("{member} is gone, {alive} of {of} are there")),
                });
                self.tell_watch(now, consistency::Input::Timeout);
            }
            Output::Fact(fact) if fact.kind == RULES => {
                let incarnation = u64::from(lemoncleat_fleet::start_of(fact.incarnation));
                let (from, age, bytes) = (fact.origin.0, fact.age, fact.bytes);
                self.tell_watch(now, consistency::Input::Heard { from, incarnation, age, bytes });
            }
            Output::Notice(notice) => said.push(self.told(notice)),
            // Read when they are needed.
            Output::Fact(_) => {}
        }
    }

    fn ask(&mut self, now: Micros, ask: Ask, said: &mut Vec<Said>) {
        match ask {
            Ask::Say(to, errand) => {
                let words = self.pieces.split(&errand);
                if words.is_empty() {
                    said.push(Said::Log(true, format!("a word for {} is too long", self.name(to))));
                }
                for bytes in words {
                    self.fleet.handle(now, Input::Direct { to, bytes }, &mut self.outputs);
                }
            }
            Ask::Answer(conn, answer) => said.push(Said::Answer(conn, answer)),
            Ask::Store(batch) => said.push(Said::Store(batch)),
            Ask::Log(bad, text) => said.push(Said::Log(bad, text)),
        }
    }

    fn told(&self, notice: Notice) -> Said {
        let text = match notice {
            Notice::Stranger(id) => format!("a word of a process that is no member: {id}"),
            Notice::Impostor(id) => format!("{} says words in another's name", self.name(id)),
            Notice::Unreadable(id) => format!("a word of {} can't be read", self.name(id)),
            Notice::Jumped => "the fleet remembers a later start of this node: clock set back?".to_owned(),
            Notice::Paused(span) => format!("no turn for {:.1} s", span as f64 / 1e6),
            Notice::DirectDropped(id) => format!("words for {} were dropped", self.name(id)),
            Notice::FactDropped(id) => format!("facts of {} beyond the limits", self.name(id)),
            Notice::MembersRefused(count) => format!("a list of {count} members can't be used"),
        };
        Said::Log(!matches!(notice, Notice::DirectDropped(_)), text)
    }

    pub(crate) fn name(&self, id: MemberId) -> String {
        name(&self.names, id)
    }

    // ---- The operators ----

    /// Who is there.
    pub fn members(&self, now: Micros) -> Value {
        let figures: BTreeMap<MemberId, (Micros, Figures)> = self
            .fleet
            .facts(now, FIGURES)
            .filter_map(|fact| Some((fact.origin, (fact.age, postcard::from_bytes(&fact.bytes).ok()?))))
            .collect();
        let rules = self.fleet.facts(now, RULES);
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
                let mut told =
                    json!({"host": &*member.name, "zone": &*member.zone, "state": state, "start": start});
                if let Some((version, root)) = rules.get(&id) {
                    told["rules"] = version.to_string().into();
                    told["decides"] = root.map(|root| root.to_string()).into();
                }
                if let Some((age, figures)) = figures.get(&id) {
                    told["age_ms"] = (age / 1_000).into();
                    told["standing"] = figures.standing.into();
                    told["setting_up"] = figures.setting_up.into();
                    told["calls"] = figures.calls.into();
                }
                told
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

    /// How the agreement stands.
    pub fn agreement(&self) -> Option<Value> {
        Some(self.agreed.as_ref()?.status())
    }

    /// The marks after an entry.
    pub fn marks(&self, after: u64) -> Option<Value> {
        Some(self.agreed.as_ref()?.marks(after))
    }

    /// An operator's mark; answered when it is agreed. False where nothing is ever agreed.
    pub fn mark(&mut self, now: Micros, conn: u64, order: &str, text: &str, said: &mut Vec<Said>) -> bool {
        let Some(agreed) = &mut self.agreed else { return false };
        agreed.mark(now, conn, order, text, &mut self.asks);
        self.settle(now, said);
        true
    }

    /// Other rules are in force at this node from now on: what it tells and checks follows.
    pub fn rules(&mut self, now: Micros, rules: consistency::Rules, said: &mut Vec<Said>) {
        self.tell_watch(now, consistency::Input::Rules(rules));
        self.settle(now, said);
    }

    /// What the disk held of the configuration at the start (none: nothing), or why it can't be read. Once, before the
    /// first turn.
    pub fn found(&mut self, now: Micros, kept: Result<Option<Vec<u8>>, String>, said: &mut Vec<Said>) {
        self.tell_configuration(now, configured::Input::Found(kept), said);
    }

    /// What became of [`Said::Configure`].
    pub fn configured(&mut self, now: Micros, number: u64, result: Result<(), String>, said: &mut Vec<Said>) {
        self.tell_configuration(now, configured::Input::Configured { number, result }, said);
    }

    /// What became of [`Said::Keep`].
    pub fn kept(&mut self, now: Micros, result: Result<(), String>, said: &mut Vec<Said>) {
        self.tell_configuration(now, configured::Input::Kept(result), said);
    }

    /// The node's calls since its start, cumulative; to be told before [`Part::timeout`].
    pub fn calls(&mut self, calls: Calls) {
        if let Some(configuration) = &mut self.configuration {
            configuration.calls = calls;
        }
    }

    /// An operator's change, its text checked by the driver. Answered by [`Said::Answer`] within 10 s. False where there
    /// is no configuration.
    pub fn configure(
        &mut self,
        now: Micros,
        conn: u64,
        order: &str,
        parent: u64,
        text: &str,
        said: &mut Vec<Said>,
    ) -> bool {
        self.tell_configuration(now, configured::Input::Change { conn, order, parent, text }, said)
    }

    /// This node's own state of the configuration; none where there is none.
    pub fn configuration(&self, now: Micros) -> Option<Value> {
        Some(self.configuration.as_ref()?.status(now))
    }

    /// Asks the fleet who has what in force. Answered by [`Said::Answer`] within 3 s. False where there is no
    /// configuration.
    pub fn configurations(&mut self, now: Micros, conn: u64, said: &mut Vec<Said>) -> bool {
        self.tell_configuration(now, configured::Input::Query { conn }, said)
    }

    /// The operator's connection is gone.
    pub fn operator_left(&mut self, conn: u64) {
        if let Some(agreed) = &mut self.agreed {
            agreed.operator_left(conn);
        }
        if let Some(configuration) = &mut self.configuration {
            configuration.operator_left(conn);
        }
    }
}

/// The fleet's patience, from the length of its rounds.
fn timing(round: Micros) -> Timing {
    let usual = Timing::default();
    let scaled = |span: Micros| (span.saturating_mul(round) / usual.round).max(1_000);
    Timing {
        round,
        answer: scaled(usual.answer),
        suspect: scaled(usual.suspect),
        gossip: scaled(usual.gossip),
        sync: scaled(usual.sync),
        retry: scaled(usual.retry),
        meet: scaled(usual.meet).max(1_000_000),
        ..usual
    }
}
