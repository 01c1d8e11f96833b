//! Tests of the command line: exit codes, messages, a running node and `lab up`.

use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};

use lemoncleat_diameter::dictionary as d;
use lemoncleat_diameter::{FrameReader, MessageBuilder, MessageRef};

fn lemoncleat(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_lemoncleat")).args(args).output().expect("the command runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// A file used by one test and deleted when dropped.
struct TempFile(PathBuf);

impl TempFile {
    fn new(name: &str, content: &str) -> TempFile {
        let path = std::env::temp_dir().join(format!("lemoncleat-{}-{name}", std::process::id()));
        std::fs::write(&path, content).expect("written");
        TempFile(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().expect("a UTF-8 path")
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

const SETTINGS: &str = "(plain yes) (host n1.example) (realm example) (listen 127.0.0.1:0)
(servers (server (host s1.example) (address 127.0.0.1:9)))
(clients c.example)
(classes (class (name browse) (aim 1500ms) (deadline 9s) (worth 1)))
(plan (prefix (digits 351) (class browse)))
";

#[test]
fn check_distinguishes_valid_and_invalid_settings() {
    let valid = TempFile::new("good", SETTINGS);
    let output = lemoncleat(&["check", valid.path()]);
    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stderr));
    assert!(text(&output.stdout).contains("node n1.example of realm example"));
    let invalid = TempFile::new("bad", &SETTINGS.replace("1500ms", "soon"));
    let output = lemoncleat(&["check", invalid.path()]);
    assert_eq!(output.status.code(), Some(2));
    let error_text = text(&output.stderr);
    assert!(
        error_text.contains(":4:36: classes[0].aim: \"soon\", expected a span such as 300ms or 2s"),
        "{error_text}"
    );
    assert_eq!(error_text.lines().count(), 1, "exactly one line");
}

#[test]
fn invalid_usage_exits_with_2_and_help_with_0() {
    for args in [&["rehearse", "no-such-day"][..], &["nonsense"], &["judge", "/nowhere/at/all"], &["load"]] {
        assert_eq!(lemoncleat(args).status.code(), Some(2), "{args:?}");
    }
    let help = lemoncleat(&["--help"]);
    assert_eq!(help.status.code(), Some(0));
    for command in ["node", "check", "rehearse", "judge", "load", "lab"] {
        assert!(text(&help.stdout).contains(command));
    }
}

#[test]
fn judge_rejects_file_that_is_not_a_capture() {
    let file = TempFile::new("no-capture", "not a capture");
    let output = lemoncleat(&["judge", file.path()]);
    assert_eq!(output.status.code(), Some(2));
    assert!(text(&output.stderr).contains("no capture of lemoncleat"));
}

fn stop(mut child: Child) -> i32 {
    let pid = child.id().to_string();
    Command::new("kill").args(["-TERM", &pid]).status().expect("a signal is sent");
    child.wait().expect("an exit status").code().unwrap_or(-1)
}

#[test]
fn node_prints_listening_address_and_stops_on_sigterm() {
    let settings = TempFile::new("node", SETTINGS);
    let mut child = Command::new(env!("CARGO_BIN_EXE_lemoncleat"))
        .args(["node", "--config", settings.path()])
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("a started process");
    let mut lines = BufReader::new(child.stdout.take().expect("standard output")).lines();
    let first = lines.next().expect("a line").expect("readable output");
    let address = first.strip_prefix("listening on ").expect("the listening address");
    TcpStream::connect(address).expect("a connection");
    assert_eq!(stop(child), 0);
    assert!(lines.next().expect("a line").expect("readable output").starts_with("stopped: 0 calls"));
}

/// Reads one message from a blocking connection.
fn message(stream: &mut TcpStream, reader: &mut FrameReader) -> Vec<u8> {
    use std::io::Read;
    let mut buffer = [0; 4096];
    loop {
        if let Some(frame) = reader.next_frame().expect("Diameter") {
            return frame.to_vec();
        }
        let count = stream.read(&mut buffer).expect("an answer");
        assert!(count > 0, "the connection closed");
        reader.push(&buffer[..count]);
    }
}

#[test]
fn external_client_sets_up_call_in_lab() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_lemoncleat"))
        .args(["lab", "up", "--json"])
        .stdout(Stdio::piped())
        .spawn()
        .expect("a started process");
    let mut line = String::new();
    BufReader::new(child.stdout.take().expect("standard output")).read_line(&mut line).expect("a line");
    let ready: serde_json::Value = serde_json::from_str(&line).expect("JSON");
    assert_eq!(ready["ready"], true);
    let string = |key: &str| ready[key].as_str().expect("a string").to_owned();
    let client = ready["clients"][0].as_str().expect("a client").to_owned();
    let mut stream = TcpStream::connect(string("node")).expect("a connection");
    let mut reader = FrameReader::new(1 << 16);
    let add_origin = |message: MessageBuilder| {
        message.add_str(d::ORIGIN_HOST, &client).add_str(d::ORIGIN_REALM, &string("realm"))
    };
    let cer = add_origin(MessageBuilder::request(d::CMD_CAPABILITIES, 0, false, 1, 1))
        .add_u32(d::VENDOR_ID, 0)
        .add_str(d::PRODUCT_NAME, "a test")
        .add_u32(d::AUTH_APPLICATION_ID, d::APP_NAS)
        .build();
    stream.write_all(&cer).expect("written");
    let cea = message(&mut stream, &mut reader);
    assert_eq!(MessageRef::parse(&cea).expect("a CEA").result_code(), 2001);
    let aar = MessageBuilder::request(d::CMD_AA, d::APP_NAS, true, 2, 2).add_str(d::SESSION_ID, "outside;1");
    let aar = add_origin(aar)
        .add_u32(d::AUTH_APPLICATION_ID, d::APP_NAS)
        .add_str(d::DESTINATION_REALM, &string("realm"))
        .add_u32(d::AUTH_REQUEST_TYPE, 1)
        .add_str(d::CALLED_STATION_ID, &string("called"))
        .build();
    stream.write_all(&aar).expect("written");
    let aaa = message(&mut stream, &mut reader);
    let aaa = MessageRef::parse(&aaa).expect("an AAA");
    assert_eq!((aaa.header.command, aaa.result_code()), (d::CMD_AA, 2001));
    assert_eq!(stop(child), 0);
}

#[test]
fn circuits_are_listed_blocked_audited_and_reset_over_control_port() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_lemoncleat"))
        .args(["lab", "up", "--json", "--circuits", "8"])
        .stdout(Stdio::piped())
        .spawn()
        .expect("a started process");
    let mut line = String::new();
    BufReader::new(child.stdout.take().expect("standard output")).read_line(&mut line).expect("a line");
    let ready: serde_json::Value = serde_json::from_str(&line).expect("JSON");
    let control = ready["control"].as_str().expect("a control port").to_owned();
    let circuits = |args: &[&str]| {
        let output = lemoncleat(&[&["circuits", "--control", &control, "--json"], args].concat());
        let answer: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
        (output.status.code(), answer)
    };
    // A trunk group starts with a reset; ask until both groups have finished it.
    let free = |list: &serde_json::Value| {
        list["groups"].as_array().is_some_and(|all| all.iter().all(|g| g["free"] == 8))
    };
    let (code, list) =
        std::iter::repeat_with(|| circuits(&[])).find(|(_, list)| free(list)).expect("an endless iterator");
    assert_eq!((code, list["groups"].as_array().map(Vec::len)), (Some(0), Some(2)));
    assert_eq!(list["groups"][0]["size"], 8);
    let server = list["groups"][0]["server"].as_str().expect("a name").to_owned();
    assert_eq!(circuits(&["block", &server, "2", "3"]).0, Some(0));
    let (_, shown) = circuits(&["show", &server]);
    let blocked: Vec<u64> = shown["circuits"]
        .as_array()
        .expect("circuits")
        .iter()
        .filter_map(|c| c["circuit"].as_u64())
        .collect();
    assert_eq!(blocked, [2, 3, 4]);
    assert_eq!(shown["circuits"][0]["blocked"], "maintenance");
    assert_eq!(circuits(&["unblock", &server, "2", "3"]).0, Some(0));
    assert_eq!(circuits(&["show", &server]).1["circuits"].as_array().map(Vec::len), Some(0));
    assert_eq!(circuits(&["reset", &server, "0", "8"]).0, Some(0));
    assert_eq!(circuits(&["audit", &server]).0, Some(0));
    let (code, answer) = circuits(&["reset", &server, "7", "2"]);
    assert_eq!((code, answer["ok"].as_bool()), (Some(1), Some(false)));
    assert!(answer["error"].as_str().expect("an error").contains("which has 8"), "{answer}");
    assert_eq!(circuits(&["show", "nobody.lab"]).0, Some(1));
    // An invalid order is answered with an error line, and the connection remains usable.
    let mut stream = TcpStream::connect(&control).expect("a connection");
    stream.write_all(b"nonsense\n{\"op\":\"list\"}\n").expect("written");
    let mut lines = BufReader::new(stream).lines().map_while(Result::ok);
    assert!(lines.next().expect("an answer").contains("\"ok\":false"));
    assert!(lines.next().expect("an answer").contains("\"ok\":true"));
    assert_eq!(stop(child), 0);
}
