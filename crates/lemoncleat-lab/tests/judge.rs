//! The judge on captures written by hand: a good one, and the same with each rule broken by one frame.

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

fn aar(session: &str, hop: u32, again: bool) -> Vec<u8> {
    MessageBuilder::request(d::CMD_AA, d::APP_NAS, true, hop, 70)
        .add_str(d::SESSION_ID, session)
        .add_str(d::ORIGIN_HOST, "front-0.lab")
        .add_str(d::CALLED_STATION_ID, "3511000000000")
        .add_str(d::CALLING_STATION_ID, session)
        .add_u32(d::SETUP_PATIENCE, 3_000)
        .retransmitted(again)
        .build()
}

fn answer(request: &[u8], result: u32) -> Vec<u8> {
    MessageBuilder::answer(&MessageRef::parse(request).expect("a request"), result).build()
}

fn release(session: &str) -> Vec<u8> {
    MessageBuilder::request(d::CMD_SESSION_TERMINATION, d::APP_NAS, true, 9, 9)
        .add_str(d::SESSION_ID, session)
        .build()
}

/// The request of the caller, an attempt at server 0 that is given up after a second, another at server 1
/// after the release time, and the answer.
fn good() -> Vec<Record> {
    let (asked, first, second) = (aar("s", 1, false), aar("s", 11, false), aar("s", 12, true));
    vec![
        facts(),
        frame(0, CLIENT, 1, true, asked.clone()),
        frame(1, End::Server(0), 2, false, first),
        frame(1_000, End::Server(0), 2, false, release("s")),
        frame(1_300, End::Server(1), 3, false, second.clone()),
        frame(1_310, End::Server(1), 3, true, answer(&second, code::SUCCESS)),
        frame(1_311, CLIENT, 1, false, answer(&asked, code::SUCCESS)),
        frame(4_000, CLIENT, 1, true, release("s")),
        frame(4_001, End::Server(1), 3, false, release("s")),
        Record::End { at: 20_000 * MS },
    ]
}

fn verdict(mut records: Vec<Record>) -> Verdict {
    records.sort_by_key(Record::at);
    judge(&Capture { records }).expect("it has its facts")
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
fn a_good_capture_keeps_every_rule_and_earns_its_worth() {
    let verdict = verdict(good());
    assert!(verdict.kept(), "{verdict:?}");
    let cases: Vec<usize> = verdict.rules.iter().map(|rule| rule.cases).collect();
    assert_eq!(cases, [1, 1, 0, 0, 1]);
    assert_eq!((verdict.callers, verdict.tries, verdict.attempts, verdict.stood), (1, 1, 2, 1));
    assert!((verdict.service - 1.0).abs() < 1e-9);
}

#[test]
fn rule_1_no_answer_a_late_one_a_second_one_and_one_to_nobody() {
    let mut records = good();
    records.remove(6);
    assert_eq!(broken(records), [(Rule::OneAnswer, 1)]);

    let mut records = good();
    records[6] = frame(3_030, CLIENT, 1, false, answer(&aar("s", 1, false), code::SUCCESS));
    assert_eq!(broken(records), [(Rule::OneAnswer, 1)]);

    let mut records = good();
    records.push(frame(1_500, CLIENT, 1, false, answer(&aar("s", 1, false), code::TOO_BUSY)));
    assert_eq!(broken(records), [(Rule::OneAnswer, 1)]);

    let mut records = good();
    records.push(frame(1_500, CLIENT, 1, false, answer(&aar("s", 8, false), code::SUCCESS)));
    assert_eq!(broken(records), [(Rule::OneAnswer, 1)]);
}

#[test]
fn rule_1_a_repeat_may_have_the_same_answer_once_more_but_no_other() {
    let repeat = aar("s", 2, true);
    let with = |result| {
        let mut records = good();
        records.push(frame(1_400, CLIENT, 5, true, repeat.clone()));
        records.push(frame(1_401, CLIENT, 5, false, answer(&repeat, result)));
        records
    };
    assert_eq!(broken(with(code::SUCCESS)), []);
    assert_eq!(broken(with(code::TOO_BUSY)), [(Rule::OneAnswer, 1)]);
}

#[test]
fn rule_1_owes_nothing_to_a_caller_that_left_or_during_a_stall_of_the_script() {
    let mut records = good();
    records.remove(6);
    records.push(frame(1_200, CLIENT, 1, true, release("s")));
    let verdict_left = verdict(records);
    assert!(verdict_left.kept());
    assert_eq!(verdict_left.left, 1);

    let mut records = good();
    records.remove(6);
    records.push(Record::Closed { at: 1_250 * MS, end: CLIENT, conn: 1 });
    assert_eq!(broken(records), []);

    let mut records = good();
    records.remove(6);
    records.push(Record::Stall { at: 2_900 * MS, node: 0, time: 300 * MS });
    let stalled = verdict(records);
    assert!(stalled.kept());
    assert_eq!(stalled.excused, 1);
}

#[test]
fn rule_1_a_call_that_came_in_a_stall_is_reckoned_from_its_beginning_and_a_late_answer_is_late_all_the_same()
{
    // The call comes at 0 with three seconds; its node stalls from -500 ms on, so that it reckons with 2,500.
    let first = Record::Stall { at: -500 * MS, node: 0, time: 600 * MS };
    let second = Record::Stall { at: 2_400 * MS, node: 0, time: 200 * MS };
    let with = |stalls: &[&Record], answered: Option<i64>| {
        let mut records = good();
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
    let both = verdict(with(&[&first, &second], None));
    assert!(both.kept());
    assert_eq!((both.in_doubt, both.excused), (1, 0));
    // Another right before the first: the node may have had a turn in between.
    let before = Record::Stall { at: -1_110 * MS, node: 0, time: 600 * MS };
    assert_eq!(verdict(with(&[&second, &first, &before], None)).in_doubt, 1);
    assert_eq!(broken(with(&[&first], None)), [(Rule::OneAnswer, 1)], "one stall is no excuse");
    assert_eq!(broken(with(&[&second], None)), [(Rule::OneAnswer, 1)]);
    assert_eq!(
        broken(with(&[&first, &second], Some(3_030))),
        [(Rule::OneAnswer, 1)],
        "nor is it one for late"
    );
}

#[test]
fn rule_2_an_attempt_while_one_is_out_or_the_call_stands() {
    let mut records = good();
    records.remove(3); // The first attempt is not given up before the second.
    assert_eq!(broken(records), [(Rule::OneAttempt, 1)]);

    let mut records = good();
    records.push(frame(2_000, End::Server(0), 2, false, aar("s", 13, true)));
    assert_eq!(broken(records.clone()), [(Rule::OneAttempt, 1)]);
    let first = verdict(records).rules[1].first.clone().expect("a violation");
    assert!(first.frames[0].contains("Server(0) from node 0, connection 2: AAR s"), "{:?}", first.frames);
}

#[test]
fn rule_2_an_attempt_that_crosses_a_seizure_of_the_controlling_server_is_not_out() {
    let with = |circuit: u32, offered: bool| {
        let seizure = |session: &str, hop: u32, circuit: u32| {
            MessageBuilder::request(d::CMD_AA, d::APP_NAS, true, hop, 70)
                .add_str(d::SESSION_ID, session)
                .add_u32(d::CIRCUIT_ID, circuit)
                .build()
        };
        let mut records = good();
        records.remove(3);
        records[2] = frame(1, End::Server(0), 2, false, seizure("s", 11, circuit));
        if offered {
            let theirs = seizure("server-0.lab;0;1", 11, circuit);
            records.insert(2, frame(0, End::Server(0), 2, true, theirs));
        }
        broken(records)
    };
    assert_eq!(with(8, true), []);
    assert_eq!(with(8, false), [(Rule::OneAttempt, 1)]);
    assert_eq!(with(9, true), [(Rule::OneAttempt, 1)], "the node controls it: the server yields");
}

#[test]
fn rule_2_an_answer_written_right_before_its_connection_was_lost_may_not_have_been_read() {
    let with = |closed: i64, told: bool| {
        let (asked, first, second) = (aar("s", 1, false), aar("s", 11, false), aar("s", 12, true));
        let mut records = vec![
            facts(),
            frame(0, CLIENT, 1, true, asked.clone()),
            frame(1, End::Server(0), 2, false, first.clone()),
            frame(10, End::Server(0), 2, true, answer(&first, code::SUCCESS)),
            Record::Closed { at: closed * MS, end: End::Server(0), conn: 2 },
            frame(330, End::Server(1), 3, false, second.clone()),
            frame(340, End::Server(1), 3, true, answer(&second, code::SUCCESS)),
        ];
        records.push(frame(if told { 20 } else { 341 }, CLIENT, 1, false, answer(&asked, code::SUCCESS)));
        records.push(Record::End { at: 20_000 * MS });
        broken(records)
    };
    assert_eq!(with(12, false), [], "lost with the connection");
    assert_eq!(with(12, true), [(Rule::OneAttempt, 1)], "the client was told: it had been read");
    assert_eq!(with(20, false), [(Rule::OneAttempt, 1)], "there was time to read it");
}

#[test]
fn rule_3_a_send_after_the_grace_whether_the_list_or_the_server_told() {
    let listed = |at: i64| {
        let mut records = good();
        records.push(Record::Listed { at: at * MS, node: 0, server: 1, ready: false, started: false });
        records
    };
    assert_eq!(broken(listed(1_040)), [(Rule::Drains, 1)], "260 ms after it was told");
    assert_eq!(broken(listed(1_060)), [], "within the grace");
    let mut records = listed(800);
    records.push(Record::Listed { at: 900 * MS, node: 0, server: 1, ready: true, started: false });
    assert_eq!(broken(records), [], "it was told that the server is back");

    let dpr =
        MessageBuilder::request(d::CMD_DISCONNECT, 0, false, 1, 1).add_u32(d::DISCONNECT_CAUSE, 0).build();
    let mut records = good();
    records.push(frame(1_000, End::Server(1), 3, true, dpr));
    assert_eq!(broken(records), [(Rule::Drains, 1)]);
}

#[test]
fn rule_4_more_set_ups_than_a_cold_server_bears_from_nodes_that_know() {
    // Ten calls a second, three of them when cold: six in a second are borne, with slack for chance 12.
    let cold = |count: u32, told: bool| {
        let mut records = vec![facts()];
        records.push(Record::Started { at: 0, server: 0, capacity: 10.0, from: 0.3, span: 100_000_000 });
        if told {
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
    assert_eq!(broken(cold(20, false)), [], "nodes that were not told could not know");
}

#[test]
fn rule_5_a_send_before_the_release_time_is_over_after_a_release_or_a_lost_connection() {
    let mut records = good();
    records[3] = frame(1_020, End::Server(0), 2, false, release("s"));
    assert_eq!(broken(records), [(Rule::Release, 1)]);

    let lost = |at: i64| {
        let mut records = good();
        records[3] = Record::Closed { at: at * MS, end: End::Server(0), conn: 2 };
        records
    };
    assert_eq!(broken(lost(1_020)), [(Rule::Release, 1)]);
    assert_eq!(broken(lost(1_000)), []);
    // After an answer there is nothing to await.
    let mut records = good();
    records[3] = frame(1_290, End::Server(0), 2, true, answer(&aar("s", 11, false), code::TOO_BUSY));
    assert_eq!(broken(records), []);
}

#[test]
fn service_counts_calls_that_stood_in_time_and_were_not_cut() {
    let abort =
        MessageBuilder::request(d::CMD_ABORT_SESSION, d::APP_NAS, true, 1, 1).add_str(d::SESSION_ID, "s");
    let mut records = good();
    records.push(frame(2_000, CLIENT, 1, false, abort.build()));
    let cut = verdict(records);
    assert_eq!((cut.service, cut.cut), (0.0, 1));
    let mut records = good();
    records[6] = frame(1_600, CLIENT, 1, false, answer(&aar("s", 1, false), code::SUCCESS));
    assert_eq!(verdict(records).service, 0.0, "after its aim");
}

#[test]
fn a_capture_reads_back_from_its_file_and_a_cut_one_says_where() {
    let capture = Capture { records: good() };
    let path = std::env::temp_dir().join(format!("lemoncleat-judge-test-{}", std::process::id()));
    capture.write(&path).expect("it is written");
    let bytes = std::fs::read(&path).expect("it is there");
    std::fs::remove_file(&path).expect("it can go");
    assert_eq!(Capture::read_from(&bytes[..]).expect("it reads"), capture);
    for cut in 0..bytes.len() {
        match Capture::read_from(&bytes[..cut]) {
            Ok(part) => assert!(part.records.len() < capture.records.len(), "cut between two records"),
            Err(CaptureError::Format) => assert!(cut < 30),
            Err(CaptureError::Record(number, why)) => {
                assert!(number < capture.records.len() && why.contains("ends inside"), "{why}");
            }
            Err(other) => panic!("{other}"),
        }
    }
    assert!(judge(&Capture::default()).is_none());
}
