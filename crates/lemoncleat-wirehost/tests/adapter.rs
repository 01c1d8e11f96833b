//! Runs the adapter on hand-written batches.

use std::io::Write;
use std::process::{Command, Stdio};

const CONFIG: &str = r#"{"azs":["a","b"],"balancers":2,"unheard_of":[1,{"x":2}],
"classes":[{"aim_us":1500000,"deadline_us":9000000,"dedup_window_us":5000000,"effect":"retryable","group":"all",
"late_worth":0.25,"name":"browse","stream":true,"worth":1.0}],
"family_info":{"allowed_pools":[[0,1]],"guard_us":300000,"home_no":-1,"layout":"groups","repeat_us":400000,
"tells_wait":true,"widths":[1]},
"invariants":{"cold_from":0.3,"cold_us":15000000,"drain_grace_us":2000000,"fall_us":1000000,"tip_multiple":4.0},
"limits":{"cancelling":true,"most_tries":4,"peer_messages":false,"probes":false,"retry_after":false},
"membership_mode":"automatic","report":{"how":"answers","names":["spare","total","avg_ms"]},
"resolution_us":5000,"slot_no":0}"#;

fn attach(who: u32) -> String {
    let config = CONFIG.replace('\n', "");
    format!("instance\t{who}\nattach\t7\t{config}\n")
}

fn table(number: u32, server: &str) -> String {
    format!("table\t{number}\t1\nserver\t-\thealthy\t0\ta\tsmall\t{server}\t1\n")
}

fn ingress(id: &str) -> String {
    format!("ingress\t{id}\ttel-1\t-\t3000000\t-\t1\tbrowse\t-1\t0\t0\n")
}

fn run(input: &str) -> (bool, String, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_lemoncleat-wirehost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut stdin = child.stdin.take().expect("standard input");
    // Writing may fail: the adapter stops reading at a malformed line.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    let output = child.wait_with_output().expect("the adapter ends");
    let text = |bytes| String::from_utf8(bytes).expect("UTF-8");
    (output.status.success(), text(output.stdout), text(output.stderr))
}

#[test]
fn answers_empty_batches_and_exits_cleanly_at_end_of_input() {
    assert_eq!(run(""), (true, String::new(), String::new()));
    assert_eq!(run("sync\t5\neof_batch\n\nsync\t6\neof_batch\n"), (true, "end\nend\n".into(), String::new()));
}

#[test]
fn routes_call_by_the_addressed_instance() {
    let start =
        format!("sync\t1000\n{}{}members\tC\t0\t1\neof_batch\n", attach(3), table(0, "10.0.0.1:7000"));
    let input = format!("{start}\nsync\t2000\ninstance\t3\n{}eof_batch\n", ingress("r-one"));
    let (ok, out, err) = run(&input);
    assert!(ok, "{err}");
    let reply = out.strip_prefix("end\n").expect("an empty first reply");
    assert!(reply.starts_with("at\t3\ndeliver\tr-one\t0\t10.0.0.1:7000\n"), "{reply}");
    assert!(reply.ends_with("end\n"));
}

#[test]
fn uses_the_latest_table_with_a_given_number() {
    let mut input = format!("sync\t1000\n{}", attach(0));
    input += &table(4, "10.0.0.1:7000");
    input += "members\tF\t4\t1\n";
    input += &table(4, "10.0.0.2:7000");
    input += &format!("{}instance\t1\nmembers\tF\t4\t2\n", attach(1));
    for who in [0, 1] {
        input += &format!("instance\t{who}\n{}", ingress("r-x"));
    }
    let (ok, out, err) = run(&(input + "eof_batch\n"));
    assert!(ok, "{err}");
    assert!(out.contains("at\t0\ndeliver\tr-x\t0\t10.0.0.1:7000"), "{out}");
    assert!(out.contains("at\t1\ndeliver\tr-x\t0\t10.0.0.2:7000"), "{out}");
}

#[test]
fn loses_state_when_halted_and_reattached_in_one_batch() {
    let mut input = format!("sync\t1\n{}{}members\tC\t0\t1\nhalt\n", attach(0), table(0, "10.0.0.1:7000"));
    input += &attach(0);
    input += &ingress("r-y");
    let (ok, out, err) = run(&(input + "eof_batch\n"));
    assert!(ok, "{err}");
    assert!(out.starts_with("at\t0\nnot_now\tr-y\t0\n"), "the new instance has no list yet: {out}");
}

#[test]
fn accepts_all_message_types() {
    let mut input = format!("sync\t1\n{}{}members\tC\t0\t1\n", attach(0), table(0, "10.0.0.1:7000"));
    input += &ingress("r-z");
    input += "eof_batch\nsync\t20000\ninstance\t0\nstarted\tr-z\t0\t19000\t10.0.0.1:7000\n";
    input += "response\tr-z\t0\t10.0.0.1:7000\tOk\t19999\t1\t-\t5,10,3.5\n";
    input += "response\tr-z\t0\t10.0.0.1:7000\tQueueFull\t19999\t1\t19203\t-\n";
    input += "probed\t10.0.0.1:7000\tOk\t0\t5,10,-1\npeer\t1\t00ff\npeer\t1\t-\ntimer\t1\nclient_gone\tr-z\n";
    input += "members\tX\t0\t0\nmembers\tD\t0\t2\neof_batch\n";
    let (ok, out, err) = run(&input);
    assert!(ok, "{err}");
    assert!(out.ends_with("end\n") && err.is_empty());
}

#[test]
fn reports_one_error_and_no_reply_for_malformed_input() {
    let start = format!("sync\t1\n{}", attach(0));
    let cases = [
        ("sync\t1\nnonsense\t1\neof_batch\n".to_owned(), 2),
        ("instance\t1\n".to_owned(), 1),
        ("sync\tsoon\neof_batch\n".to_owned(), 1),
        ("sync\neof_batch\n".to_owned(), 1),
        ("sync\t1\ninstance\t9\ntimer\t1\neof_batch\n".to_owned(), 3),
        ("sync\t1\ntimer\t1\neof_batch\n".to_owned(), 2),
        ("sync\t1\ninstance\t0\nattach\t7\t{\"balancers\":true}\neof_batch\n".to_owned(), 3),
        (format!("{start}members\tF\t9\t1\neof_batch\n"), 4),
        (format!("{start}timer\televen\neof_batch\n"), 4),
        (format!("{start}table\t0\t2\nserver\t-\thealthy\t0\ta\tk\t1.1.1.1:1\t1\neof_batch\n"), 6),
        (format!("{start}response\tr-1\t0\t1.1.1.1:1\tMaybe\t1\t1\t-\t-\neof_batch\n"), 4),
        (format!("{start}peer\t1\tzz\neof_batch\n"), 4),
        (format!("{start}timer\t1\n"), 4),
    ];
    for (input, line) in cases {
        let (ok, out, err) = run(&input);
        assert!(!ok, "{input}");
        assert_eq!(out, "", "no partial reply to {input}");
        assert_eq!(err.lines().count(), 1, "{err}");
        assert!(err.starts_with(&format!("lemoncleat-wirehost: line {line}: ")), "{input} gave {err}");
        assert!(err.contains("expected") || err.contains("needs") || err.contains("lacks"), "{err}");
    }
}
