//! Settings changed in place under calls, judged by what each end received.

mod common;

use common::{aar_builder, settings, str_of, Bench, MS, SECOND};
use lemoncleat_diameter::dictionary as d;
use lemoncleat_diameter::result_code as code;
use lemoncleat_node::{Input, NodeSettings, Notice, NumberingPlan, Route};

/// Puts settings in force; what the node did in that turn is handed on as at any other input.
fn configure(bench: &mut Bench, settings: NodeSettings) -> Result<(), String> {
    let mut out = Vec::new();
    let done = bench.node.configure(bench.now, settings, &mut out);
    bench.carry_out(out);
    done
}

/// Settings under which nobody is asked whether he is there.
fn calm() -> NodeSettings {
    let mut settings = settings();
    settings.timing.watchdog = 30 * SECOND;
    settings
}

fn state(bench: &Bench) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(bench.node.module(), &mut bytes).expect("it has a form");
    bytes
}

fn plan(entries: &[(&str, usize)]) -> NumberingPlan {
    let mut plan = NumberingPlan::new();
    for (prefix, class) in entries {
        plan.add(prefix, Route { class: *class, place: 0 }).expect("a prefix");
    }
    plan
}

/// A set-up of a caller at a number.
fn call_to(bench: &mut Bench, conn: lemoncleat_node::ConnId, host: &str, session: &str, number: &str) {
    let id = bench.id();
    let request = aar_builder(host, session, id, id).add_str(d::CALLED_STATION_ID, number).build();
    bench.bytes(conn, &request);
}

#[test]
fn a_change_that_changes_nothing_is_seen_by_nobody() {
    let day = |changed: bool| {
        let mut bench = Bench::new(settings());
        let (a, b) = (bench.server("a.example"), bench.server("b.example"));
        let client = bench.client("front.example");
        let mut seen = Vec::new();
        for step in 0..60 {
            bench.call(client, &format!("s;{step}"));
            bench.pass(37 * MS);
            for server in [a, b] {
                for got in bench.answer_watchdogs(server) {
                    if got.name() == "AAR" && step % 5 != 0 {
                        let result = if step % 7 == 0 { code::TOO_BUSY } else { code::SUCCESS };
                        bench.answer(server, &got, result);
                    }
                    seen.push((server, got));
                }
            }
            seen.extend(bench.answer_watchdogs(client).into_iter().map(|got| (client, got)));
            if changed && step % 3 == 0 {
                assert_eq!(configure(&mut bench, settings()), Ok(()));
            }
        }
        (seen, state(&bench), bench.node.stats())
    };
    assert_eq!(day(false), day(true));
}

#[test]
fn a_new_worth_and_a_new_plan_hold_for_the_next_call() {
    let mut bench = Bench::new(calm());
    let server = bench.server("a.example");
    let client = bench.client("front.example");
    bench.call(client, "s;1");
    bench.one(server, "AAR");
    let mut new = calm();
    new.module.classes[0].worth = 0.0;
    configure(&mut bench, new).expect("good settings");
    // Nothing is gained by sending it: it is held, and then refused.
    bench.call(client, "s;2");
    bench.pass(3 * SECOND - 50 * MS);
    assert!(bench.answer_watchdogs(server).iter().all(|got| got.session() != "s;2"));
    let answers = bench.take(client);
    let refused = answers.iter().find(|got| got.name() == "AAA" && got.session() == "s;2");
    assert_eq!(refused.expect("it is answered").result(), code::TOO_BUSY);
    let mut new = calm();
    new.plan = plan(&[("44", 1)]);
    configure(&mut bench, new).expect("good settings");
    bench.call(client, "s;3");
    assert_eq!(bench.one(client, "AAA").result(), code::UNABLE_TO_DELIVER, "no route any more");
    call_to(&mut bench, client, "front.example", "s;4", "4499");
    assert_eq!(bench.one(server, "AAR").session(), "s;4");
}

#[test]
fn limits_hold_at_once_and_standing_calls_stay() {
    let mut bench = Bench::new(settings());
    let server = bench.server("a.example");
    let client = bench.client("front.example");
    bench.call(client, "s;1");
    let attempt = bench.one(server, "AAR");
    bench.answer(server, &attempt, code::SUCCESS);
    assert_eq!(bench.one(client, "AAA").result(), code::SUCCESS);
    configure(&mut bench, NodeSettings { max_calls: 1, ..settings() }).expect("good settings");
    assert_eq!(bench.node.stats().standing, 1);
    bench.call(client, "s;2");
    assert_eq!(bench.one(client, "AAA").result(), code::TOO_BUSY);
    configure(&mut bench, settings()).expect("good settings");
    bench.call(client, "s;3");
    assert_eq!(bench.one(server, "AAR").session(), "s;3");
    bench.bytes(client, &str_of("front.example", "s;1", 9));
    assert_eq!(bench.one(client, "STA").result(), code::SUCCESS);
    assert_eq!(bench.one(server, "STR").session(), "s;1");
}

#[test]
fn what_can_not_change_is_refused_with_its_field_and_nothing_changes() {
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
    let mut bench = Bench::new(settings());
    let server = bench.server("a.example");
    let client = bench.client("front.example");
    bench.call(client, "s;1");
    let before = state(&bench);
    for (expected, change) in cases {
        let mut new = settings();
        new.max_calls = 0;
        new.plan = plan(&[("44", 0)]);
        change(&mut new);
        let told = configure(&mut bench, new).expect_err(expected);
        assert!(told.starts_with(expected), "told {told:?}, expected {expected:?}");
        assert_eq!(state(&bench), before, "{expected}");
    }
    bench.one(server, "AAR");
    bench.call(client, "s;2");
    assert_eq!(bench.one(server, "AAR").session(), "s;2", "the plan and the limits are the old ones");
}

#[test]
fn a_pending_call_keeps_its_release_time_and_its_deadline_across_a_change() {
    let mut bench = Bench::new(settings());
    let (a, b) = (bench.server("a.example"), bench.server("b.example"));
    let client = bench.client("front.example");
    bench.call(client, "s;1");
    let (at_a, at_b) = (bench.take(a), bench.take(b));
    let (lost, other) = if at_a.is_empty() { (b, a) } else { (a, b) };
    assert_eq!(at_a.len() + at_b.len(), 1);
    bench.input(Input::Closed(lost));
    bench.pass(100 * MS);
    // The classes change places, and the release time of later attempts is shorter.
    let mut new = settings();
    new.module.classes.reverse();
    new.class_names.reverse();
    new.plan = plan(&[("3510", 1), ("3511", 0)]);
    new.module.release = 10 * MS;
    configure(&mut bench, new).expect("good settings");
    bench.pass(190 * MS);
    assert!(bench.answer_watchdogs(other).is_empty(), "the release time runs");
    bench.pass(30 * MS);
    let again = bench.answer_watchdogs(other);
    assert_eq!(again.iter().map(|got| got.name()).collect::<Vec<_>>(), ["AAR"]);
    bench.pass(500 * MS);
    bench.answer(other, &again[0], code::SUCCESS);
    let answers: Vec<_> =
        bench.answer_watchdogs(client).into_iter().filter(|got| got.name() == "AAA").collect();
    assert_eq!(answers.iter().map(|got| got.result()).collect::<Vec<_>>(), [code::SUCCESS]);
    // One that nobody answers is answered by the node in its caller's time.
    bench.call(client, "s;2");
    configure(&mut bench, settings()).expect("good settings");
    bench.pass(3 * SECOND);
    let answers: Vec<_> =
        bench.answer_watchdogs(client).into_iter().filter(|got| got.name() == "AAA").collect();
    assert_eq!(answers.len(), 1, "exactly one final answer");
    assert!(!bench.notices.iter().any(|notice| matches!(notice, Notice::AnswerWithheld { .. })));
}

#[test]
fn a_class_that_went_serves_its_pending_calls_and_is_then_forgotten() {
    let mut bench = Bench::new(settings());
    let server = bench.server("a.example");
    let client = bench.client("front.example");
    call_to(&mut bench, client, "front.example", "s;1", "35110000");
    let attempt = bench.one(server, "AAR");
    let fewer = || {
        let mut new = settings();
        new.module.classes.truncate(1);
        new.class_names.truncate(1);
        new.plan = plan(&[("351", 0)]);
        new
    };
    configure(&mut bench, fewer()).expect("good settings");
    bench.pass(200 * MS);
    bench.answer(server, &attempt, code::SUCCESS);
    assert_eq!(bench.one(client, "AAA").result(), code::SUCCESS);
    call_to(&mut bench, client, "front.example", "s;2", "35110000");
    let attempt = bench.one(server, "AAR");
    bench.answer(server, &attempt, code::SUCCESS);
    assert_eq!(bench.one(client, "AAA").result(), code::SUCCESS);
    let classes = |bench: &Bench| {
        let value = ciborium::Value::serialized(bench.node.module()).expect("a form");
        let fields = value.into_map().expect("fields");
        let settings = fields.into_iter().find(|(name, _)| name.as_text() == Some("settings"));
        let settings = settings.expect("settings").1.into_map().expect("fields");
        let classes = settings.into_iter().find(|(name, _)| name.as_text() == Some("classes"));
        classes.expect("classes").1.into_array().expect("a list").len()
    };
    assert_eq!(classes(&bench), 2);
    bench.pass(3 * SECOND);
    assert_eq!(classes(&bench), 1);
}

#[test]
fn a_client_that_went_ends_its_calls_and_then_loses_its_connection() {
    let mut bench = Bench::new(settings());
    let server = bench.server("a.example");
    let (front, other) = (bench.client("front.example"), bench.client("other.example"));
    bench.call(front, "s;1");
    let attempt = bench.one(server, "AAR");
    bench.answer(server, &attempt, code::SUCCESS);
    assert_eq!(bench.one(front, "AAA").result(), code::SUCCESS);
    let clients = vec!["third.example".into()];
    configure(&mut bench, NodeSettings { clients, ..settings() }).expect("good settings");
    assert_eq!(bench.names(other), ["DPR"], "it has no call");
    assert!(bench.take(front).is_empty());
    bench.call(front, "s;2");
    assert_eq!(bench.one(front, "AAA").result(), code::UNABLE_TO_DELIVER, "and gets no new one");
    let third = bench.client("third.example");
    call_to(&mut bench, third, "third.example", "s;3", "35100000");
    assert_eq!(bench.one(server, "AAR").session(), "s;3");
    bench.bytes(front, &str_of("front.example", "s;1", 9));
    let names = bench.names(front);
    assert!(names.contains(&"STA") && names.contains(&"DPR"), "{names:?}");
    bench.input(Input::Closed(front));
    let conn = bench.conn();
    bench.input(Input::Accepted(conn));
    let cer = bench.cer("front.example", 1);
    bench.bytes(conn, &cer);
    assert_eq!(bench.one(conn, "CEA").result(), code::UNKNOWN_PEER);
    assert_eq!(bench.one(server, "STR").session(), "s;1");
    // Named again, it is taken again.
    configure(&mut bench, settings()).expect("good settings");
    let front = bench.client("front.example");
    bench.call(front, "s;4");
    assert_eq!(bench.one(server, "AAR").session(), "s;4");
}

#[test]
fn requests_that_wait_for_the_end_of_a_gap_come_under_the_new_settings() {
    let mut bench = Bench::new(settings());
    let server = bench.server("a.example");
    let client = bench.client("front.example");
    bench.away(200 * MS);
    bench.call(client, "s;1");
    let mut new = settings();
    new.module.classes.reverse();
    new.class_names.reverse();
    new.plan = plan(&[("3510", 1), ("3511", 0)]);
    configure(&mut bench, new).expect("good settings");
    bench.caught_up();
    let attempt = bench.answer_watchdogs(server).into_iter().find(|got| got.name() == "AAR");
    let attempt = attempt.expect("it is sent");
    bench.answer(server, &attempt, code::SUCCESS);
    let answers = bench.answer_watchdogs(client);
    assert!(answers.iter().any(|got| got.name() == "AAA" && got.result() == code::SUCCESS));
}

#[test]
fn clients_that_are_held_are_answered_under_what_came_in_force_meanwhile() {
    let mut bench = Bench::new(settings());
    bench.input(Input::HoldClients(true));
    let server = bench.server("a.example");
    let (front, other) = (bench.conn(), bench.conn());
    for (conn, host) in [(front, "front.example"), (other, "other.example")] {
        bench.input(Input::Accepted(conn));
        let cer = bench.cer(host, 1);
        bench.bytes(conn, &cer);
    }
    for _ in 0..10 {
        bench.pass(SECOND / 2);
        bench.answer_watchdogs(server);
    }
    assert!(
        bench.take(front).is_empty() && bench.closed.is_empty(),
        "they wait, beyond the time for a CER too"
    );
    let mut new = settings();
    new.clients.pop();
    new.plan = plan(&[("44", 1)]);
    configure(&mut bench, new).expect("good settings");
    bench.input(Input::HoldClients(false));
    assert_eq!(bench.one(front, "CEA").result(), code::SUCCESS);
    assert_eq!(bench.one(other, "CEA").result(), code::UNKNOWN_PEER, "named no more");
    call_to(&mut bench, front, "front.example", "s;1", "4499");
    assert_eq!(bench.one(server, "AAR").session(), "s;1", "by the new plan");
    bench.client("front.example");
}

#[test]
fn a_client_that_is_held_and_says_more_is_hung_up_on() {
    let mut bench = Bench::new(settings());
    bench.input(Input::HoldClients(true));
    let conn = bench.conn();
    bench.input(Input::Accepted(conn));
    for _ in 0..2 {
        let cer = bench.cer("front.example", 1);
        bench.bytes(conn, &cer);
    }
    assert_eq!(bench.closed, [conn]);
    bench.input(Input::HoldClients(false));
    assert!(bench.take(conn).is_empty());
}
