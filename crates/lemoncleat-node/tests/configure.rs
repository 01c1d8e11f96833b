//! Settings changed in place during calls, checked by what each end received.

mod common;

use common::{aar_builder, settings, str_request, Harness, MS, SECOND};
use lemoncleat_diameter::dictionary as d;
use lemoncleat_diameter::result_code as code;
use lemoncleat_node::{Input, NodeSettings, Notice, NumberingPlan, Route};

/// Applies settings and carries out the node's outputs, as for any other input.
fn configure(harness: &mut Harness, settings: NodeSettings) -> Result<(), String> {
    let mut out = Vec::new();
    let done = harness.node.configure(harness.now, settings, &mut out);
    harness.carry_out(out);
    done
}

/// Settings with a watchdog interval so long that no watchdog request is sent.
fn without_watchdog_requests() -> NodeSettings {
    let mut settings = settings();
    settings.timing.watchdog = 30 * SECOND;
    settings
}

fn state(harness: &Harness) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(harness.node.module(), &mut bytes).expect("the state is serializable");
    bytes
}

fn plan(entries: &[(&str, usize)]) -> NumberingPlan {
    let mut plan = NumberingPlan::new();
    for (prefix, class) in entries {
        plan.add(prefix, Route { class: *class, place: 0 }).expect("a prefix");
    }
    plan
}

/// Sends a set-up to a number.
fn call_to(harness: &mut Harness, conn: lemoncleat_node::ConnId, host: &str, session: &str, number: &str) {
    let id = harness.new_id();
    let request = aar_builder(host, session, id, id).add_str(d::CALLED_STATION_ID, number).build();
    harness.bytes(conn, &request);
}

#[test]
fn unchanged_settings_have_no_visible_effect() {
    let run_calls = |changed: bool| {
        let mut harness = Harness::new(settings());
        let (a, b) = (harness.connect_server("a.example"), harness.connect_server("b.example"));
        let client = harness.connect_client("front.example");
        let mut seen = Vec::new();
        for step in 0..60 {
            harness.call(client, &format!("s;{step}"));
            harness.advance(37 * MS);
            for server in [a, b] {
                for got in harness.answer_watchdogs(server) {
                    if got.name() == "AAR" && step % 5 != 0 {
                        let result = if step % 7 == 0 { code::TOO_BUSY } else { code::SUCCESS };
                        harness.answer(server, &got, result);
                    }
                    seen.push((server, got));
                }
            }
            seen.extend(harness.answer_watchdogs(client).into_iter().map(|got| (client, got)));
            if changed && step % 3 == 0 {
                assert_eq!(configure(&mut harness, settings()), Ok(()));
            }
        }
        (seen, state(&harness), harness.node.stats())
    };
    assert_eq!(run_calls(false), run_calls(true));
}

#[test]
fn applies_new_worth_and_plan_to_the_next_call() {
    let mut harness = Harness::new(without_watchdog_requests());
    let server = harness.connect_server("a.example");
    let client = harness.connect_client("front.example");
    harness.call(client, "s;1");
    harness.expect_one(server, "AAR");
    let mut new = without_watchdog_requests();
    new.module.classes[0].worth = 0.0;
    configure(&mut harness, new).expect("good settings");
    // The call is worth too little to be sent: it is held, and then refused.
    harness.call(client, "s;2");
    harness.advance(3 * SECOND - 50 * MS);
    assert!(harness.answer_watchdogs(server).iter().all(|got| got.session() != "s;2"));
    let answers = harness.take(client);
    let refused = answers.iter().find(|got| got.name() == "AAA" && got.session() == "s;2");
    assert_eq!(refused.expect("it is answered").result(), code::TOO_BUSY);
    let mut new = without_watchdog_requests();
    new.plan = plan(&[("44", 1)]);
    configure(&mut harness, new).expect("good settings");
    harness.call(client, "s;3");
    assert_eq!(harness.expect_one(client, "AAA").result(), code::UNABLE_TO_DELIVER, "no route any more");
    call_to(&mut harness, client, "front.example", "s;4", "4499");
    assert_eq!(harness.expect_one(server, "AAR").session(), "s;4");
}

#[test]
fn applies_limits_at_once_and_keeps_standing_calls() {
    let mut harness = Harness::new(settings());
    let server = harness.connect_server("a.example");
    let client = harness.connect_client("front.example");
    harness.call(client, "s;1");
    let attempt = harness.expect_one(server, "AAR");
    harness.answer(server, &attempt, code::SUCCESS);
    assert_eq!(harness.expect_one(client, "AAA").result(), code::SUCCESS);
    configure(&mut harness, NodeSettings { max_calls: 1, ..settings() }).expect("good settings");
    assert_eq!(harness.node.stats().standing, 1);
    harness.call(client, "s;2");
    assert_eq!(harness.expect_one(client, "AAA").result(), code::TOO_BUSY);
    configure(&mut harness, settings()).expect("good settings");
    harness.call(client, "s;3");
    assert_eq!(harness.expect_one(server, "AAR").session(), "s;3");
    harness.bytes(client, &str_request("front.example", "s;1", 9));
    assert_eq!(harness.expect_one(client, "STA").result(), code::SUCCESS);
    assert_eq!(harness.expect_one(server, "STR").session(), "s;1");
}

#[test]
fn refuses_fixed_fields_by_name_and_changes_nothing() {
    type Change = fn(&mut NodeSettings);
    let cases: [(&str, Change); 12] = [
        ("host: can't", |new| new.host = "other.example".into()),
        ("realm: can't", |new| new.realm = "other".into()),
        ("listen: can't", |new| new.addresses.clear()),
        ("timing: can't", |new| new.timing.drain += 1),
        ("log.calls: can't", |new| new.trace_calls = true),
        ("limits.duplicates: can't", |new| new.max_duplicates += 1),
        ("number: can't", |new| (new.module.balancers, new.module.own_number) = (2, 1)),
        ("classes: \"0\" stands twice", |new| new.class_names[1] = "0".into()),
        ("classes: 1 names of 2", |new| new.class_names.truncate(1)),
        ("clients: \"a.example\" is a server", |new| new.clients.push("a.example".into())),
        ("members: \"front.example\" is a client", |new| {
            let address = common::address("front.example");
            new.clients.remove(0);
            new.members.push(lemoncleat_node::MemberPeer { host: "front.example".into(), address });
        }),
        ("unusable settings: a class needs", |new| new.module.classes[0].worth = -1.0),
    ];
    let mut harness = Harness::new(settings());
    let server = harness.connect_server("a.example");
    let client = harness.connect_client("front.example");
    harness.call(client, "s;1");
    let before = state(&harness);
    for (expected, change) in cases {
        let mut new = settings();
        new.max_calls = 0;
        new.plan = plan(&[("44", 0)]);
        change(&mut new);
        let error = configure(&mut harness, new).expect_err(expected);
        assert!(error.starts_with(expected), "error {error:?}, expected {expected:?}");
        assert_eq!(state(&harness), before, "{expected}");
    }
    harness.expect_one(server, "AAR");
    harness.call(client, "s;2");
    assert_eq!(
        harness.expect_one(server, "AAR").session(),
        "s;2",
        "the plan and the limits are the old ones"
    );
}

#[test]
fn keeps_release_time_and_deadline_of_a_pending_call() {
    let mut harness = Harness::new(settings());
    let (a, b) = (harness.connect_server("a.example"), harness.connect_server("b.example"));
    let client = harness.connect_client("front.example");
    harness.call(client, "s;1");
    let (at_a, at_b) = (harness.take(a), harness.take(b));
    let (lost, other) = if at_a.is_empty() { (b, a) } else { (a, b) };
    assert_eq!(at_a.len() + at_b.len(), 1);
    harness.input(Input::Closed(lost));
    harness.advance(100 * MS);
    // The classes are swapped, and the release time of later attempts is shorter.
    let mut new = settings();
    new.module.classes.reverse();
    new.class_names.reverse();
    new.plan = plan(&[("3510", 1), ("3511", 0)]);
    new.module.release = 10 * MS;
    configure(&mut harness, new).expect("good settings");
    harness.advance(190 * MS);
    assert!(harness.answer_watchdogs(other).is_empty(), "the release time runs");
    harness.advance(30 * MS);
    let retry = harness.answer_watchdogs(other);
    assert_eq!(retry.iter().map(|got| got.name()).collect::<Vec<_>>(), ["AAR"]);
    harness.advance(500 * MS);
    harness.answer(other, &retry[0], code::SUCCESS);
    let answers: Vec<_> =
        harness.answer_watchdogs(client).into_iter().filter(|got| got.name() == "AAA").collect();
    assert_eq!(answers.iter().map(|got| got.result()).collect::<Vec<_>>(), [code::SUCCESS]);
    // An attempt without an answer: the node answers the caller in time.
    harness.call(client, "s;2");
    configure(&mut harness, settings()).expect("good settings");
    harness.advance(3 * SECOND);
    let answers: Vec<_> =
        harness.answer_watchdogs(client).into_iter().filter(|got| got.name() == "AAA").collect();
    assert_eq!(answers.len(), 1, "exactly one final answer");
    assert!(!harness.notices.iter().any(|notice| matches!(notice, Notice::AnswerWithheld { .. })));
}

#[test]
fn keeps_a_removed_class_until_its_pending_calls_end() {
    let mut harness = Harness::new(settings());
    let server = harness.connect_server("a.example");
    let client = harness.connect_client("front.example");
    call_to(&mut harness, client, "front.example", "s;1", "35110000");
    let attempt = harness.expect_one(server, "AAR");
    let fewer = || {
        let mut new = settings();
        new.module.classes.truncate(1);
        new.class_names.truncate(1);
        new.plan = plan(&[("351", 0)]);
        new
    };
    configure(&mut harness, fewer()).expect("good settings");
    harness.advance(200 * MS);
    harness.answer(server, &attempt, code::SUCCESS);
    assert_eq!(harness.expect_one(client, "AAA").result(), code::SUCCESS);
    call_to(&mut harness, client, "front.example", "s;2", "35110000");
    let attempt = harness.expect_one(server, "AAR");
    harness.answer(server, &attempt, code::SUCCESS);
    assert_eq!(harness.expect_one(client, "AAA").result(), code::SUCCESS);
    let classes = |harness: &Harness| {
        let value = ciborium::Value::serialized(harness.node.module()).expect("the state is serializable");
        let fields = value.into_map().expect("fields");
        let settings = fields.into_iter().find(|(name, _)| name.as_text() == Some("settings"));
        let settings = settings.expect("settings").1.into_map().expect("fields");
        let classes = settings.into_iter().find(|(name, _)| name.as_text() == Some("classes"));
        classes.expect("classes").1.into_array().expect("a list").len()
    };
    assert_eq!(classes(&harness), 2);
    harness.advance(3 * SECOND);
    assert_eq!(classes(&harness), 1);
}

#[test]
fn disconnects_a_removed_client_after_its_last_call() {
    let mut harness = Harness::new(settings());
    let server = harness.connect_server("a.example");
    let (front, other) = (harness.connect_client("front.example"), harness.connect_client("other.example"));
    harness.call(front, "s;1");
    let attempt = harness.expect_one(server, "AAR");
    harness.answer(server, &attempt, code::SUCCESS);
    assert_eq!(harness.expect_one(front, "AAA").result(), code::SUCCESS);
    let clients = vec!["third.example".into()];
    configure(&mut harness, NodeSettings { clients, ..settings() }).expect("good settings");
    assert_eq!(harness.names(other), ["DPR"], "it has no calls");
    assert!(harness.take(front).is_empty());
    harness.call(front, "s;2");
    assert_eq!(harness.expect_one(front, "AAA").result(), code::UNABLE_TO_DELIVER, "and gets no new one");
    let third = harness.connect_client("third.example");
    call_to(&mut harness, third, "third.example", "s;3", "35100000");
    assert_eq!(harness.expect_one(server, "AAR").session(), "s;3");
    harness.bytes(front, &str_request("front.example", "s;1", 9));
    let names = harness.names(front);
    assert!(names.contains(&"STA") && names.contains(&"DPR"), "{names:?}");
    harness.input(Input::Closed(front));
    let conn = harness.new_conn();
    harness.input(Input::Accepted(conn));
    let cer = harness.cer("front.example", 1);
    harness.bytes(conn, &cer);
    assert_eq!(harness.expect_one(conn, "CEA").result(), code::UNKNOWN_PEER);
    assert_eq!(harness.expect_one(server, "STR").session(), "s;1");
    // Listed again, the client is accepted again.
    configure(&mut harness, settings()).expect("good settings");
    let front = harness.connect_client("front.example");
    harness.call(front, "s;4");
    assert_eq!(harness.expect_one(server, "AAR").session(), "s;4");
}

#[test]
fn applies_new_settings_to_requests_deferred_by_a_gap() {
    let mut harness = Harness::new(settings());
    let server = harness.connect_server("a.example");
    let client = harness.connect_client("front.example");
    harness.begin_gap(200 * MS);
    harness.call(client, "s;1");
    let mut new = settings();
    new.module.classes.reverse();
    new.class_names.reverse();
    new.plan = plan(&[("3510", 1), ("3511", 0)]);
    configure(&mut harness, new).expect("good settings");
    harness.end_gap();
    let attempt = harness.answer_watchdogs(server).into_iter().find(|got| got.name() == "AAR");
    let attempt = attempt.expect("it is sent");
    harness.answer(server, &attempt, code::SUCCESS);
    let answers = harness.answer_watchdogs(client);
    assert!(answers.iter().any(|got| got.name() == "AAA" && got.result() == code::SUCCESS));
}

#[test]
fn answers_held_clients_under_the_current_settings() {
    let mut harness = Harness::new(settings());
    harness.input(Input::HoldClients(true));
    let server = harness.connect_server("a.example");
    let (front, other) = (harness.new_conn(), harness.new_conn());
    for (conn, host) in [(front, "front.example"), (other, "other.example")] {
        harness.input(Input::Accepted(conn));
        let cer = harness.cer(host, 1);
        harness.bytes(conn, &cer);
    }
    for _ in 0..10 {
        harness.advance(SECOND / 2);
        harness.answer_watchdogs(server);
    }
    assert!(
        harness.take(front).is_empty() && harness.closed.is_empty(),
        "they wait, beyond the time for a CER too"
    );
    let mut new = settings();
    new.clients.pop();
    new.plan = plan(&[("44", 1)]);
    configure(&mut harness, new).expect("good settings");
    harness.input(Input::HoldClients(false));
    assert_eq!(harness.expect_one(front, "CEA").result(), code::SUCCESS);
    assert_eq!(harness.expect_one(other, "CEA").result(), code::UNKNOWN_PEER, "named no more");
    call_to(&mut harness, front, "front.example", "s;1", "4499");
    assert_eq!(harness.expect_one(server, "AAR").session(), "s;1", "by the new plan");
    harness.connect_client("front.example");
}

#[test]
fn closes_a_held_client_that_sends_a_second_message() {
    let mut harness = Harness::new(settings());
    harness.input(Input::HoldClients(true));
    let conn = harness.new_conn();
    harness.input(Input::Accepted(conn));
    for _ in 0..2 {
        let cer = harness.cer("front.example", 1);
        harness.bytes(conn, &cer);
    }
    assert_eq!(harness.closed, [conn]);
    harness.input(Input::HoldClients(false));
    assert!(harness.take(conn).is_empty());
}
