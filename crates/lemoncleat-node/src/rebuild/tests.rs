//! The module's state across a change of settings.

use lemoncleat::{
    Action, Availability, Call, CallId, Event, Member, MemberNews, Outcome, Reason, Report, ServerId,
};

use super::*;

const MS: Micros = 1_000;

fn class(aim: Micros, worth: f64) -> Class {
    Class { aim, deadline: 9_000 * MS, worth, late_worth: 0.2, length: 8_000 * MS, ..Class::default() }
}

fn settings() -> Settings {
    Settings {
        classes: vec![class(1_500 * MS, 1.0), class(1_000 * MS, 8.0), class(1_200 * MS, 2.5)],
        balancers: 3,
        repeat: 400 * MS,
        release: 300 * MS,
        max_attempts: 4,
        may_cancel: true,
        cold_from: 0.3,
        cold_span: 15_000 * MS,
        fall_multiple: 4.0,
        fall_span: 1_000 * MS,
        ..Settings::default()
    }
}

fn names(all: &[&str]) -> Vec<Arc<str>> {
    all.iter().map(|name| Arc::from(*name)).collect()
}

fn abc() -> Vec<Arc<str>> {
    names(&["a", "b", "c"])
}

fn bytes(controller: &Controller) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(controller, &mut bytes).expect("it has a form");
    bytes
}

fn of(controller: &Controller, name: &str) -> Value {
    field(&mut serialized_fields(controller).expect("known"), name).expect("there").clone()
}

fn change<'a>(from: &'a [Arc<str>], to: &'a [Arc<str>], settings: &'a Settings) -> SettingsChange<'a> {
    SettingsChange { from, to, settings, queued: &[] }
}

/// A module and what it was told, under a clock and draws of its own.
struct Played {
    controller: Controller,
    now: Micros,
    drawn: u64,
    next: u64,
    out: Vec<(u64, u32, ServerId, Micros)>,
    timer: Option<Micros>,
    told: Vec<Action>,
}

impl Played {
    fn new(seed: u64) -> Played {
        let controller = Controller::new(settings(), seed).expect("good settings");
        let mut played = Played {
            controller,
            now: 0,
            drawn: seed,
            next: 1,
            out: Vec::new(),
            timer: None,
            told: Vec::new(),
        };
        let members = (0..4).map(|server| Member {
            server: ServerId(server),
            availability: Availability::Ready,
            started_at: (server == 3).then_some(0),
            place: i64::from(server) % 3,
            zone: server % 2,
            kind: 0,
        });
        played.event(Event::Members(MemberNews::Complete(members.collect())));
        played
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.drawn =
            self.drawn.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.drawn >> 33) % below
    }

    fn event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.controller.handle(self.now, event, &mut actions);
        for action in &actions {
            match action {
                Action::Send { call, server, .. } => {
                    let number = self.out.iter().filter(|(id, ..)| *id == call.0).count() as u32;
                    self.out.push((call.0, number, *server, self.now));
                }
                Action::Timer { delay, .. } => self.timer = Some(self.now + delay),
                _ => {}
            }
        }
        self.told.extend(actions);
    }

    fn call(&mut self, class: usize) -> u64 {
        let id = self.next;
        self.next += 1;
        let call = Call { id: CallId(id), class, patience: 3_000 * MS, width: 1.0, ..Call::default() };
        self.event(Event::Call(call));
        id
    }

    /// No line is free at any server: calls wait.
    fn fill(&mut self) {
        for server in 0..4 {
            let report = Report { free: Some(0.0), lines: Some(30.0), ..Report::default() };
            self.event(Event::Probed { server: ServerId(server), outcome: Outcome::Ok, lag: 0, report });
        }
    }

    fn turn(&mut self) {
        self.now += 1 + self.draw(20) as Micros * MS;
        if self.timer.is_some_and(|due| due <= self.now) {
            self.timer = None;
            self.event(Event::Timer(1));
        }
        match self.draw(8) {
            0..=2 => {
                let class = self.draw(3) as usize;
                self.call(class);
            }
            3 => {
                let (server, free) = (ServerId(self.draw(4) as u32), self.draw(30) as f64);
                let report = Report { free: Some(free), lines: Some(30.0), ..Report::default() };
                self.event(Event::Probed { server, outcome: Outcome::Ok, lag: 0, report });
            }
            4 if self.next > 1 => {
                let gone = 1 + self.draw(self.next - 1);
                self.event(Event::CallerGone(CallId(gone)));
            }
            _ if !self.out.is_empty() => {
                let at = self.draw(self.out.len() as u64) as usize;
                let (call, attempt, server, sent) = self.out.swap_remove(at);
                let (call, lag) = (CallId(call), self.now - sent);
                let outcome = match self.draw(5) {
                    0 => Outcome::Full,
                    1 => Outcome::TimedOut,
                    _ => return self.event(Event::Started { call, attempt, server, lag }),
                };
                let (reason, report) = (Reason::None, Report::default());
                self.event(Event::Ended {
                    call,
                    attempt,
                    server,
                    outcome,
                    lag,
                    closed: false,
                    reason,
                    report,
                });
            }
            _ => {}
        }
    }
}

#[test]
fn a_change_that_changes_nothing_gives_the_same_bytes_and_the_same_decisions() {
    for seed in 0..20 {
        let (mut plain, mut changed) = (Played::new(seed), Played::new(seed));
        let mut waited = 0;
        for turn in 0..400 {
            plain.turn();
            changed.turn();
            waited += plain.controller.sizes().waiting;
            if turn % 7 == 0 {
                let rebuilt = rebuild(&changed.controller, &change(&abc(), &abc(), &settings()));
                let rebuilt = rebuilt.expect("the same settings");
                assert_eq!((rebuilt.names, rebuilt.pending_until), (abc(), None));
                changed.controller = rebuilt.controller;
                assert_eq!(bytes(&plain.controller), bytes(&changed.controller), "seed {seed}, turn {turn}");
            }
        }
        assert!(waited > 0, "calls wait in it");
        assert_eq!(plain.told, changed.told, "seed {seed}");
    }
}

#[test]
fn classes_in_another_order_keep_their_calls_and_what_was_learned_of_them() {
    let mut played = Played::new(1);
    played.call(1);
    played.fill();
    let waiting = [played.call(0), played.call(1), played.call(2)];
    let learned = of(&played.controller, "usual").into_array().expect("a list");
    let old = settings();
    let new = Settings { classes: [2, 1, 0].map(|at| old.classes[at].clone()).to_vec(), ..settings() };
    let rebuilt = rebuild(&played.controller, &change(&abc(), &names(&["c", "b", "a"]), &new));
    let rebuilt = rebuilt.expect("good settings");
    assert_eq!(rebuilt.new_indexes, [Some(2), Some(1), Some(0)]);
    let moved = of(&rebuilt.controller, "usual").into_array().expect("a list");
    assert_eq!(moved, [2, 1, 0].map(|at| learned[at].clone()));
    assert_eq!(of(&rebuilt.controller, "waiting"), of(&played.controller, "waiting"), "worths are the same");
    // Back again, all is as it was.
    let back = rebuild(&rebuilt.controller, &change(&names(&["c", "b", "a"]), &abc(), &settings()));
    assert_eq!(bytes(&back.expect("good").controller), bytes(&played.controller));
    played.controller = rebuilt.controller;
    for call in waiting {
        played.event(Event::CallerGone(CallId(call)));
    }
    assert_eq!(played.controller.sizes().waiting, 0);
}

#[test]
fn a_new_worth_ranks_the_calls_that_wait_and_their_ends_take_them_off() {
    let mut played = Played::new(2);
    played.fill();
    let (cheap, dear) = (played.call(0), played.call(1));
    let mut new = settings();
    new.classes[0].worth = 20.0;
    played.controller = rebuild(&played.controller, &change(&abc(), &abc(), &new)).expect("good").controller;
    assert_eq!(played.controller.sizes().waiting, 2);
    // The first line that comes free is for the call that is worth more now.
    let report = Report { free: Some(1.0), lines: Some(30.0), ..Report::default() };
    for server in 0..4 {
        played.event(Event::Probed { server: ServerId(server), outcome: Outcome::Ok, lag: 0, report });
    }
    played.now = played.timer.expect("it looks again");
    played.event(Event::Timer(1));
    assert_eq!(played.out.first().map(|(call, ..)| *call), Some(cheap));
    played.event(Event::CallerGone(CallId(cheap)));
    played.event(Event::CallerGone(CallId(dear)));
    assert_eq!(played.controller.sizes().waiting, 0);
}

#[test]
fn what_is_derived_is_that_of_a_fresh_module() {
    let mut played = Played::new(3);
    (0..50).for_each(|_| played.turn());
    let mut new = settings();
    new.classes[0] = Class { length: 30_000 * MS, worth: 0.5, ..new.classes[0].clone() };
    (new.repeat, new.balancers) = (900 * MS, 9);
    let rebuilt = rebuild(&played.controller, &change(&abc(), &abc(), &new)).expect("good").controller;
    let fresh = Controller::new(new, 0).expect("good");
    for name in ["settings", "longest", "pressed", "cheapest"] {
        assert_eq!(of(&rebuilt, name), of(&fresh, name), "{name}");
    }
    assert_eq!(of(&rebuilt, "rates"), Value::Null, "judged again from the new settings");
    assert_eq!(of(&rebuilt, "servers"), of(&played.controller, "servers"));
}

#[test]
fn a_class_that_went_stays_for_its_pending_calls_and_decides_for_nothing_else() {
    let mut played = Played::new(4);
    played.now = 5_000 * MS;
    played.fill();
    let call = played.call(1);
    let mut new = settings();
    new.classes.remove(1);
    let to = names(&["a", "c"]);
    let rebuilt = rebuild(&played.controller, &change(&abc(), &to, &new)).expect("good");
    assert_eq!(rebuilt.names, names(&["a", "c", "b"]));
    assert_eq!(rebuilt.new_indexes, [Some(0), Some(2), Some(1)]);
    assert_eq!(rebuilt.pending_until, Some(8_000 * MS), "the end of its caller's patience");
    let fresh = Controller::new(new.clone(), 0).expect("good");
    for name in ["longest", "pressed", "cheapest"] {
        assert_eq!(of(&rebuilt.controller, name), of(&fresh, name), "{name}");
    }
    played.controller = rebuilt.controller;
    let again = rebuild(&played.controller, &change(&names(&["a", "c", "b"]), &to, &new)).expect("good");
    assert_eq!(bytes(&again.controller), bytes(&played.controller), "it is still pending");
    played.event(Event::CallerGone(CallId(call)));
    let over = rebuild(&played.controller, &change(&names(&["a", "c", "b"]), &to, &new)).expect("good");
    assert_eq!((over.names, over.pending_until), (to, None));
    assert_eq!(of(&over.controller, "settings"), of(&fresh, "settings"));
    // Without a call it goes at once.
    let empty = Played::new(4).controller;
    let gone = rebuild(&empty, &change(&abc(), &names(&["a", "c"]), &new)).expect("good");
    assert_eq!((gone.names, gone.pending_until), (names(&["a", "c"]), None));
    let (from, to) = (abc(), names(&["a", "c"]));
    let kept = rebuild(&empty, &SettingsChange { queued: &[1], ..change(&from, &to, &new) }).expect("good");
    assert!(kept.names.len() == 3 && kept.pending_until.is_some(), "a call of it is yet to be heard of");
}

#[test]
fn settings_that_no_module_can_work_with_are_refused() {
    let played = Played::new(5);
    let before = bytes(&played.controller);
    let new = Settings { classes: Vec::new(), ..settings() };
    let told = rebuild(&played.controller, &change(&abc(), &[], &new)).err().expect("no classes");
    assert!(told.contains("no classes"), "{told}");
    assert_eq!(bytes(&played.controller), before);
}

/// A field that comes to the module may hang on a class: it has to be looked at here before this list grows.
#[test]
fn the_fields_below_the_modules_own_are_those_that_were_looked_at() {
    let mut played = Played::new(6);
    played.call(0);
    let keys = |value: &Value| -> Vec<String> {
        let fields = value.as_map().expect("fields");
        fields.iter().map(|(name, _)| name.as_text().expect("a name").to_owned()).collect()
    };
    let first = |name: &str| of(&played.controller, name).as_map().expect("a map")[0].1.clone();
    let pending = first("calls");
    assert_eq!(
        keys(&pending),
        [
            "call",
            "arrived",
            "ends",
            "attempts",
            "out",
            "released",
            "may_have_run",
            "withdrawn",
            "used_before"
        ]
    );
    assert_eq!(
        keys(&pending.as_map().expect("fields")[0].1),
        ["id", "class", "patience", "width", "destination", "advised", "in_transit", "redialled", "cut"]
    );
    assert_eq!(keys(&first("servers")).len(), 29);
}
