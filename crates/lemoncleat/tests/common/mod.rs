//! Helpers shared by the tests of the decision module.

use lemoncleat::{
    Action, Availability, Call, CallId, Class, Controller, Event, Member, Micros, Outcome, Reason, Report,
    ServerId, ServerListUpdate, Settings,
};

/// A millisecond.
pub const MS: Micros = 1_000;
/// A second.
pub const S: Micros = 1_000_000;

/// Settings of one node before pools. Class 0 has a low worth and class 1 a high worth.
pub fn settings() -> Settings {
    let class = |aim, worth| Class { aim, deadline: 9 * S, worth, late_worth: 0.2, ..Class::default() };
    Settings {
        classes: vec![class(1_500 * MS, 1.0), class(S, 8.0)],
        repeat: 400 * MS,
        release: 300 * MS,
        max_attempts: 4,
        may_cancel: true,
        cold_from: 0.3,
        cold_span: 15 * S,
        fall_multiple: 3.0,
        fall_span: S,
        ..Settings::default()
    }
}

/// A controller and its clock.
pub struct Node {
    pub controller: Controller,
    pub now: Micros,
}

#[allow(dead_code)]
impl Node {
    /// A node with warm servers, numbered from 0, each at the place of its number.
    pub fn new(settings: Settings, servers: u32) -> Self {
        let controller = Controller::new(settings, 1).expect("usable settings");
        let mut node = Node { controller, now: 100 * S };
        let members = (0..servers).map(|number| member(number, Availability::Ready, None)).collect();
        node.handle(Event::Members(ServerListUpdate::Complete(members)));
        node
    }

    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.controller.handle(self.now, event, &mut actions);
        actions
    }

    /// Advances the clock by `span`, with a timer event every 10 ms.
    pub fn advance(&mut self, span: Micros) -> Vec<Action> {
        let (end, mut actions) = (self.now + span, Vec::new());
        while self.now < end {
            self.now = (self.now + 10 * MS).min(end);
            actions.extend(self.handle(Event::Timer(1)));
        }
        actions
    }

    pub fn call(&mut self, id: u64, class: usize, destination: i64) -> Vec<Action> {
        self.handle(Event::Call(call(id, class, destination)))
    }

    pub fn update_member(
        &mut self,
        number: u32,
        availability: Availability,
        started_at: Option<Micros>,
    ) -> Vec<Action> {
        self.handle(Event::Members(ServerListUpdate::Changes(vec![member(number, availability, started_at)])))
    }

    pub fn started(&mut self, id: u64, attempt: u32, server: u32, lag: Micros) -> Vec<Action> {
        self.handle(Event::Started { call: CallId(id), attempt, server: ServerId(server), lag })
    }

    pub fn ended(
        &mut self,
        id: u64,
        attempt: u32,
        server: u32,
        outcome: Outcome,
        reason: Reason,
    ) -> Vec<Action> {
        self.handle(Event::Ended {
            call: CallId(id),
            attempt,
            server: ServerId(server),
            outcome,
            lag: 20 * MS,
            closed: false,
            reason,
            report: Report::default(),
        })
    }

    /// Places calls of class 0 with the first choice `server`. Each is answered after `lag`, and `gap` passes
    /// before the next.
    pub fn serve_calls(&mut self, first: u64, count: u64, server: u32, lag: Micros, gap: Micros) {
        for id in first..first + count {
            let actions = self.call(id, 0, i64::from(server));
            self.advance(lag);
            if sent(&actions).is_some() {
                self.started(id, 0, sent(&actions).unwrap_or(server), lag);
            }
            self.advance(gap);
        }
    }
}

pub fn member(number: u32, availability: Availability, started_at: Option<Micros>) -> Member {
    let (server, place) = (ServerId(number), i64::from(number));
    Member { server, availability, started_at, place, zone: 0, kind: 0 }
}

pub fn call(id: u64, class: usize, destination: i64) -> Call {
    Call { id: CallId(id), class, patience: 3 * S, width: 1.0, destination, ..Call::default() }
}

/// Returns the server of the first send among the actions.
#[allow(dead_code)]
pub fn sent(actions: &[Action]) -> Option<u32> {
    actions.iter().find_map(|action| match action {
        Action::Send { server, .. } => Some(server.0),
        _ => None,
    })
}

/// Whether the actions contain a final answer to the call.
#[allow(dead_code)]
pub fn answered(actions: &[Action], id: u64) -> bool {
    actions.iter().any(|action| match action {
        Action::Refuse { call, .. } | Action::Fail(call) => *call == CallId(id),
        _ => false,
    })
}
