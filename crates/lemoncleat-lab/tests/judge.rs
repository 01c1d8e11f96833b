//! Tests of the judge on hand-written captures: one that keeps every rule, and variants in which a change of
//! one frame breaks one rule.

use lemoncleat_diameter::dictionary as d;
use lemoncleat_diameter::{result_code as code, MessageBuilder, MessageRef};
use lemoncleat_lab::{judge, Capture, CaptureError, ClassFacts, End, Facts, Record, Rule, Verdict};

const MS: i64 = 1_000;
const CLIENT: End = End::Client(0);

fn facts() -> Record {
    Record::Facts(Facts {
        day: "by hand".to_owned(),
        classes: vec![ClassFacts {
            name: "browse".to_owned(),
            prefix: "3511".to_owned(),
            aim: 1_500 * MS,
            deadline: 9_000 * MS,
            worth: 1.0,
            late_worth: 0.25,
        }],
        answer_grace: 20 * MS,
        drain_grace: 250 * MS,
        fall_multiple: 2.0,
        fall_span: 1_000 * MS,
        release: 300 * MS,
        skew: 5 * MS,
    })
}

fn frame(at: i64, end: End, conn: u64, to_node: bool, bytes: Vec<u8>) -> Record {
    Record::Frame { at: at * MS, end, node: 0, conn, to_node, bytes }
}

fn aar(session: &str, hop: u32, retransmitted: bool) -> Vec<u8> {
    MessageBuilder::request(d::CMD_AA, d::APP_NAS, true, hop, 70)
        .add_str(d::SESSION_ID, session)
        .add_str(d::ORIGIN_HOST, "front-0.lab")
        .add_str(d::CALLED_STATION_ID, "3511000000000")
        .add_str(d::CALLING_STATION_ID, session)
        .add_u32(d::SETUP_PATIENCE, 3_000)
        .retransmitted(retransmitted)
        .build()
}

fn answer(request: &[u8], result: u32) -> Vec<u8> {
    MessageBuilder::answer(&MessageRef::parse(request).expect("the bytes are a valid request"), result)
        .build()
}

fn release(session: &str) -> Vec<u8> {
    MessageBuilder::request(d::CMD_SESSION_TERMINATION, d::APP_NAS, true, 9, 9)
        .add_str(d::SESSION_ID, session)
        .build()
}

/// A capture that keeps every rule: the caller's request, an attempt at server 0 that is released after one
/// second, a second attempt at server 1 once the release time is over, and the answer.
fn valid_capture() -> Vec<Record> {
    let (client_request, first, second) = (aar("s", 1, false), aar("s", 11, false), aar("s", 12, true));
    vec![
        facts(),
        frame(0, CLIENT, 1, true, client_request.clone()),
        frame(1, End::Server(0), 2, false, first),
        frame(1_000, End::Server(0), 2, false, release("s")),
        frame(1_300, End::Server(1), 3, false, second.clone()),
        frame(1_310, End::Server(1), 3, true, answer(&second, code::SUCCESS)),
        frame(1_311, CLIENT, 1, false, answer(&client_request, code::SUCCESS)),
        frame(4_000, CLIENT, 1, true, release("s")),
        frame(4_001, End::Server(1), 3, false, release("s")),
        Record::End { at: 20_000 * MS },
    ]
}

fn verdict(mut records: Vec<Record>) -> Verdict {
    records.sort_by_key(Record::at);
    judge(&Capture { records }).expect("the capture contains its facts")
}

fn broken(records: Vec<Record>) -> Vec<(Rule, usize)> {
    verdict(records)
        .rules
        .iter()
        .filter(|rule| rule.broken > 0)
        .map(|rule| (rule.rule, rule.broken))
        .collect()
}

#[test]
fn valid_capture_keeps_every_rule_with_full_service() {
    let verdict = verdict(valid_capture());
    assert!(verdict.kept(), "{verdict:?}");
    let cases: Vec<usize> = verdict.rules.iter().map(|rule| rule.cases).collect();
    assert_eq!(cases, [1, 1, 0, 0, 1]);
    assert_eq!((verdict.callers, verdict.tries, verdict.attempts, verdict.stood), (1, 1, 2, 1));
    assert!((verdict.service - 1.0).abs() < 1e-9);
}

#[test]
fn rule_1_broken_by_missing_late_second_or_unmatched_answer() {
    let mut records = valid_capture();
    records.remove(6);
    assert_eq!(broken(records), [(Rule::OneAnswer, 1)]);

    let mut records = valid_capture();
    records[6] = frame(3_030, CLIENT, 1, false, answer(&aar("s", 1, false), code::SUCCESS));
    assert_eq!(broken(records), [(Rule::OneAnswer, 1)]);

    let mut records = valid_capture();
    records.push(frame(1_500, CLIENT, 1, false, answer(&aar("s", 1, false), code::TOO_BUSY)));
    assert_eq!(broken(records), [(Rule::OneAnswer, 1)]);

    let mut records = valid_capture();
    records.push(frame(1_500, CLIENT, 1, false, answer(&aar("s", 8, false), code::SUCCESS)));
    assert_eq!(broken(records), [(Rule::OneAnswer, 1)]);
}

#[test]
fn rule_1_allows_only_the_same_answer_to_a_retransmission() {
    let repeat = aar("s", 2, true);
    let with = |result| {
        let mut records = valid_capture();
        records.push(frame(1_400, CLIENT, 5, true, repeat.clone()));
        records.push(frame(1_401, CLIENT, 5, false, answer(&repeat, result)));
        records
    };
    assert_eq!(broken(with(code::SUCCESS)), []);
    assert_eq!(broken(with(code::TOO_BUSY)), [(Rule::OneAnswer, 1)]);
}

#[test]
fn rule_1_requires_no_answer_when_caller_left_or_node_was_stalled() {
    let mut records = valid_capture();
    records.remove(6);
    records.push(frame(1_200, CLIENT, 1, true, release("s")));
    let caller_left = verdict(records);
    assert!(caller_left.kept());
    assert_eq!(caller_left.left, 1);

    let mut records = valid_capture();
    records.remove(6);
    records.push(Record::Closed { at: 1_250 * MS, end: CLIENT, conn: 1 });
    assert_eq!(broken(records), []);

    let mut records = valid_capture();
    records.remove(6);
    records.push(Record::Stall { at: 2_900 * MS, node: 0, time: 300 * MS });
    let stalled = verdict(records);
    assert!(stalled.kept());
    assert_eq!(stalled.excused, 1);
}

#[test]
fn rule_1_counts_patience_from_stall_start_and_never_excuses_late_answer() {
    // The call arrives at 0 with a patience of 3 s. Its node is stalled from -500 ms on and so counts on only
    // 2,500 ms.
    let first = Record::Stall { at: -500 * MS, node: 0, time: 600 * MS };
    let second = Record::Stall { at: 2_400 * MS, node: 0, time: 200 * MS };
    let with = |stalls: &[&Record], answered: Option<i64>| {
        let mut records = valid_capture();
        match answered {
            None => drop(records.remove(6)),
            Some(at) => {
                records[6] = frame(at, CLIENT, 1, false, answer(&aar("s", 1, false), code::SUCCESS));
            }
        }
        for stall in stalls {
            records.insert(1, (*stall).clone());
        }
        records
    };
    let both_stalls = verdict(with(&[&first, &second], None));
    assert!(both_stalls.kept());
    assert_eq!((both_stalls.in_doubt, both_stalls.excused), (1, 0));
    // Another stall ends just before the first: the node may have run in between.
    let before = Record::Stall { at: -1_110 * MS, node: 0, time: 600 * MS };
    assert_eq!(verdict(with(&[&second, &first, &before], None)).in_doubt, 1);
    assert_eq!(
        broken(with(&[&first], None)),
        [(Rule::OneAnswer, 1)],
        "one stall alone does not excuse a missing answer"
    );
    assert_eq!(broken(with(&[&second], None)), [(Rule::OneAnswer, 1)]);
    assert_eq!(
        broken(with(&[&first, &second], Some(3_030))),
        [(Rule::OneAnswer, 1)],
        "two stalls do not excuse a late answer"
    );
}

#[test]
fn rule_2_broken_by_attempt_while_another_is_pending_or_call_stands() {
    let mut records = valid_capture();
    records.remove(3); // The first attempt is not released before the second is sent.
    assert_eq!(broken(records), [(Rule::OneAttempt, 1)]);

    let mut records = valid_capture();
    records.push(frame(2_000, End::Server(0), 2, false, aar("s", 13, true)));
    assert_eq!(broken(records.clone()), [(Rule::OneAttempt, 1)]);
    let first = verdict(records).rules[1].first.clone().expect("the verdict reports a first violation");
    assert!(first.frames[0].contains("Server(0) from node 0, connection 2: AAR s"), "{:?}", first.frames);
}

#[test]
fn rule_2_ignores_attempt_that_lost_glare_to_controlling_server() {
    let with = |circuit: u32, offered: bool| {
        let seizure = |session: &str, hop: u32, circuit: u32| {
            MessageBuilder::request(d::CMD_AA, d::APP_NAS, true, hop, 70)
                .add_str(d::SESSION_ID, session)
                .add_u32(d::CIRCUIT_ID, circuit)
                .build()
        };
        let mut records = valid_capture();
        records.remove(3);
        records[2] = frame(1, End::Server(0), 2, false, seizure("s", 11, circuit));
        if offered {
            let server_seizure = seizure("server-0.lab;0;1", 11, circuit);
            records.insert(2, frame(0, End::Server(0), 2, true, server_seizure));
        }
        broken(records)
    };
    assert_eq!(with(8, true), []);
    assert_eq!(with(8, false), [(Rule::OneAttempt, 1)]);
    assert_eq!(with(9, true), [(Rule::OneAttempt, 1)], "the node controls the circuit, so the server yields");
}

#[test]
fn rule_2_allows_answer_to_be_unread_when_connection_closes_right_after() {
    let with = |closed: i64, client_answered: bool| {
        let (client_request, first, second) = (aar("s", 1, false), aar("s", 11, false), aar("s", 12, true));
        let mut records = vec![
            facts(),
            frame(0, CLIENT, 1, true, client_request.clone()),
            frame(1, End::Server(0), 2, false, first.clone()),
            frame(10, End::Server(0), 2, true, answer(&first, code::SUCCESS)),
            Record::Closed { at: closed * MS, end: End::Server(0), conn: 2 },
            frame(330, End::Server(1), 3, false, second.clone()),
            frame(340, End::Server(1), 3, true, answer(&second, code::SUCCESS)),
        ];
        records.push(frame(
            if client_answered { 20 } else { 341 },
            CLIENT,
            1,
            false,
            answer(&client_request, code::SUCCESS),
        ));
        records.push(Record::End { at: 20_000 * MS });
        broken(records)
    };
    assert_eq!(with(12, false), [], "the answer was lost with the connection");
    assert_eq!(
        with(12, true),
        [(Rule::OneAttempt, 1)],
        "the client was answered, so the node had read the answer"
    );
    assert_eq!(with(20, false), [(Rule::OneAttempt, 1)], "the node had time to read the answer");
}

#[test]
fn rule_3_broken_by_send_after_grace_when_list_or_server_announced_drain() {
    let listed = |at: i64| {
        let mut records = valid_capture();
        records.push(Record::Listed { at: at * MS, node: 0, server: 1, ready: false, started: false });
        records
    };
    assert_eq!(broken(listed(1_040)), [(Rule::Drains, 1)], "260 ms after the list reported it as not ready");
    assert_eq!(broken(listed(1_060)), [], "within the drain grace");
    let mut records = listed(800);
    records.push(Record::Listed { at: 900 * MS, node: 0, server: 1, ready: true, started: false });
    assert_eq!(broken(records), [], "the list reported the server as ready again");

    let dpr =
        MessageBuilder::request(d::CMD_DISCONNECT, 0, false, 1, 1).add_u32(d::DISCONNECT_CAUSE, 0).build();
    let mut records = valid_capture();
    records.push(frame(1_000, End::Server(1), 3, true, dpr));
    assert_eq!(broken(records), [(Rule::Drains, 1)]);
}

#[test]
fn rule_4_broken_when_informed_nodes_exceed_cold_server_capacity() {
    // The capacity is 10 calls per second, 3 while cold. Six set-ups within a second are allowed, 12 with the
    // slack for random variation.
    let cold = |count: u32, informed: bool| {
        let mut records = vec![facts()];
        records.push(Record::Started { at: 0, server: 0, capacity: 10.0, from: 0.3, span: 100_000_000 });
        if informed {
            records.push(Record::Listed { at: 1, node: 0, server: 0, ready: true, started: true });
        }
        for number in 0..count {
            let (at, session) = (10 + i64::from(number) * 20, format!("s{number}"));
            let request = aar(&session, number, false);
            records.push(frame(at, End::Server(0), 2, false, request.clone()));
            records.push(frame(at + 1, End::Server(0), 2, true, answer(&request, code::SUCCESS)));
        }
        records
    };
    assert_eq!(broken(cold(20, true)), [(Rule::ColdServers, 1)]);
    assert_eq!(broken(cold(8, true)), []);
    assert_eq!(broken(cold(20, false)), [], "the node was not told that the server had started");
}

#[test]
fn rule_5_broken_by_send_before_release_time_after_release_or_lost_connection() {
    let mut records = valid_capture();
    records[3] = frame(1_020, End::Server(0), 2, false, release("s"));
    assert_eq!(broken(records), [(Rule::Release, 1)]);

    let lost = |at: i64| {
        let mut records = valid_capture();
        records[3] = Record::Closed { at: at * MS, end: End::Server(0), conn: 2 };
        records
    };
    assert_eq!(broken(lost(1_020)), [(Rule::Release, 1)]);
    assert_eq!(broken(lost(1_000)), []);
    // After an answer no release time has to be waited for.
    let mut records = valid_capture();
    records[3] = frame(1_290, End::Server(0), 2, true, answer(&aar("s", 11, false), code::TOO_BUSY));
    assert_eq!(broken(records), []);
}

#[test]
fn service_counts_calls_established_within_aim_and_not_aborted() {
    let abort =
        MessageBuilder::request(d::CMD_ABORT_SESSION, d::APP_NAS, true, 1, 1).add_str(d::SESSION_ID, "s");
    let mut records = valid_capture();
    records.push(frame(2_000, CLIENT, 1, false, abort.build()));
    let aborted = verdict(records);
    assert_eq!((aborted.service, aborted.cut), (0.0, 1));
    let mut records = valid_capture();
    records[6] = frame(1_600, CLIENT, 1, false, answer(&aar("s", 1, false), code::SUCCESS));
    assert_eq!(verdict(records).service, 0.0, "the call was established after its aim");
}

#[test]
fn capture_round_trips_through_file_and_truncation_reports_record() {
    let capture = Capture { records: valid_capture() };
    let path = std::env::temp_dir().join(format!("lemoncleat-judge-test-{}", std::process::id()));
    capture.write(&path).expect("the capture is written");
    let bytes = std::fs::read(&path).expect("the file can be read");
    std::fs::remove_file(&path).expect("the file can be removed");
    assert_eq!(Capture::read_from(&bytes[..]).expect("the capture is read back"), capture);
    for length in 0..bytes.len() {
        match Capture::read_from(&bytes[..length]) {
            Ok(part) => assert!(part.records.len() < capture.records.len(), "truncated between two records"),
            Err(CaptureError::Format) => assert!(length < 30),
            Err(CaptureError::Record(number, why)) => {
                assert!(number < capture.records.len() && why.contains("ends inside"), "{why}");
            }
            Err(other) => panic!("{other}"),
        }
    }
    assert!(judge(&Capture::default()).is_none());
}
