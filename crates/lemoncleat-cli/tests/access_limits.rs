//! Tests of the process at its limits: few descriptors, an unusable configuration, callers that send invalid
//! data.

mod access_common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Stdio;
use std::time::Duration;

use access_common::*;
use lemoncleat_sip::Method;
use rustix::process::Signal;

/// Sets up calls while idle callers, many times as many as there are descriptors, are connected and the
/// journal service is not reachable.
fn set_up_calls_among_idle_callers(name: &str, number: u8, descriptors: u32, configured_limit: u32) {
    let server = CallServer::new();
    let journal = unused_address(number);
    let file = path(name);
    std::fs::write(&file, config(server.address, journal, configured_limit)).expect("written");
    let mut node = Node::run(command(&file, Some(descriptors)), file);
    let _server_thread = server.serve_in_background();
    let idle_callers: Vec<_> = (0..400).map(|_| node.caller()).collect();
    for call in 0..4 {
        let mut caller = node.caller();
        caller.send(&invite(&id(call)));
        assert_eq!(caller.complete_call(&id(call)), 200, "with {descriptors} descriptors");
    }
    // The journal service starts while the idle callers are still connected, and more of them connect.
    let asked = journal_on(TcpListener::bind(journal).expect("the address"));
    let more: Vec<_> = (0..200).map(|_| node.caller()).collect();
    assert_eq!(asked.recv_timeout(TIME_LIMIT).as_deref(), Ok("tail 1"), "with {descriptors} descriptors");
    let mut caller = node.caller();
    caller.send(&invite(&id(9)));
    assert_eq!(caller.complete_call(&id(9)), 200);
    node.signal(Signal::TERM);
    assert_eq!(node.wait_for_exit(), [5, 5, 0, 0, 0]);
    // The number of log lines must not grow with the number of idle callers.
    assert!(node.log.len() < 40, "{:#?}", node.log);
    drop((idle_callers, more));
}

#[test]
fn call_is_set_up_among_idle_callers() {
    for (number, descriptors) in [(11, 64), (12, 96), (13, 128)] {
        set_up_calls_among_idle_callers(&format!("crowd-{descriptors}"), number, descriptors, descriptors);
    }
}

/// The process has fewer descriptors than configured, and all are held by connections that have sent valid
/// requests. A new caller is accepted within its waiting time only if the node closes one of them.
#[test]
fn process_descriptor_limit_applies_when_below_configured_limit() {
    let server = CallServer::new();
    let (journal, asked) = journal();
    let file = path("fewer");
    std::fs::write(&file, config(server.address, journal, 1024)).expect("written");
    let mut node = Node::run(command(&file, Some(80)), file);
    assert_eq!(asked.recv_timeout(TIME_LIMIT).as_deref(), Ok("tail 1"));
    let _server_thread = server.serve_in_background();
    // Each connection waits as long as a caller does.
    let patient_caller = || {
        let caller = node.caller();
        caller.stream.set_read_timeout(Some(Duration::from_millis(8_000))).expect("a timeout");
        caller
    };
    let mut idle_callers: Vec<_> = (0..100).map(|_| patient_caller()).collect();
    for connection in &mut idle_callers {
        assert!(matches!(connection.try_options(), Some(200) | None));
    }
    for call in 0..3 {
        let mut caller = patient_caller();
        caller.send(&invite(&id(call)));
        assert_eq!(caller.complete_call(&id(call)), 200);
    }
    node.signal(Signal::TERM);
    assert_eq!(node.wait_for_exit(), [3, 3, 0, 0, 0]);
    drop(idle_callers);
}

/// Returns the exit code and the standard error of a command that must fail.
fn run_refused(mut command: std::process::Command) -> (Option<i32>, String) {
    let mut child = command.stdout(Stdio::null()).spawn().expect("a started process");
    let code = wait(&mut child).code();
    let mut stderr_text = String::new();
    child.stderr.take().expect("standard error").read_to_string(&mut stderr_text).expect("text");
    (code, stderr_text)
}

#[test]
fn unusable_configuration_exits_with_one_line_naming_file_and_position() {
    let any: SocketAddr = "127.0.0.1:9".parse().expect("an address");
    let valid = config(any, any, 256);
    let file = path("start");
    let name = file.display().to_string();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound").to_string();
    let classes = valid.find("\"classes\":[").expect("classes") + "\"classes\":[".len();
    let to = classes + valid[classes..].find(']').expect("the end of the classes");
    let without_classes = format!("{}{}", &valid[..classes], &valid[to..]);
    let texts = [
        (String::new(), "EOF while parsing a value at line 1 column 0"),
        ("not JSON".to_owned(), "expected ident at line 1 column 2"),
        (valid[..valid.len() / 3].to_owned(), "EOF while parsing"),
        (format!("{valid}}}"), "trailing characters at line"),
        ("[]".to_owned(), "expected"),
        (valid.replace("\"name\":\"n1\",", ""), "missing field `name`"),
        (valid.replace("\"most_tries\":4", "\"tries\":4"), "settings.limits: missing field `most_tries`"),
        (
            valid.replace("\"balancers\":1", "\"balancers\":-1"),
            "settings.balancers: invalid value: integer `-1`",
        ),
        (valid.replace("\"worth\":1.0", "\"worth\":[]"), "settings.classes[0].worth: invalid type: sequence"),
        (valid.replace("\"127.0.0.1:0\"", "\"somewhere\""), "listen: invalid socket address syntax"),
        (valid.replace("\"seed\":\"1f\"", "\"seed\":\"no\""), "seed: expected hex digits, got \"no\""),
        (
            valid.replace("\"up\"", "\"sideways\""),
            "known.entries[0].hosts.endpoints[0].status: unknown variant",
        ),
        (without_classes, "class"),
        (valid.replace("\"deadline_us\":9000000", "\"deadline_us\":0"), "deadline"),
        (valid.replace("\"127.0.0.1:0\"", &format!("{address:?}")), &address),
    ];
    for (text, expected) in &texts {
        std::fs::write(&file, text).expect("written");
        let (code, stderr_text) = run_refused(command(&file, None));
        assert!(code.is_some_and(|code| code == 1 || code == 2), "{code:?} {stderr_text}");
        assert!(stderr_text.lines().count() == 1 && stderr_text.contains(expected), "{stderr_text}");
        assert!(stderr_text.contains(&name) || *expected == address, "{stderr_text}");
    }
    std::fs::write(&file, b"{\"name\":\"\xff\"").expect("written");
    assert!(run_refused(command(&file, None)).1.contains(&name));
    std::fs::write(&file, &valid).expect("written");
    let variables = [
        ("BALANCER_CONFIG", "/nowhere/at/all.json", "/nowhere/at/all.json: No such file"),
        ("BALANCER_CONFIG", "/", "/: Is a directory"),
        ("BALANCER_LISTEN", "nowhere", "BALANCER_LISTEN: expected an address and a port, got \"nowhere\""),
        ("BALANCER_LISTEN", &address, &format!("{address}: Address already in use")),
        ("LEMONCLEAT_LOG", "a=b=c", "LEMONCLEAT_LOG: "),
        ("LEMONCLEAT_FLEET", "perhaps", "LEMONCLEAT_FLEET: expected yes or no, got \"perhaps\""),
    ];
    for (variable, value, expected) in variables {
        let mut command = command(&file, None);
        command.env(variable, value);
        let (code, stderr_text) = run_refused(command);
        assert!(code.is_some_and(|code| code == 1 || code == 2), "{code:?} {stderr_text}");
        assert!(
            stderr_text.lines().count() == 1 && stderr_text.contains(expected),
            "{variable}={value}: {stderr_text}"
        );
    }
    let _ = std::fs::remove_file(&file);
}

/// Guards against a node that stops serving or fails at shutdown because its output is closed.
fn without_readers(name: &str, number: u8, errors_too: bool) {
    let server = CallServer::new();
    let (journal, asked) = journal();
    let address = unused_address(number);
    let file = path(name);
    std::fs::write(&file, config(server.address, journal, 256)).expect("written");
    let (reader, writer) = std::io::pipe().expect("a pipe");
    drop(reader);
    let mut command = command(&file, None);
    let errors = if errors_too { writer.try_clone().expect("a handle").into() } else { Stdio::null() };
    command.env("BALANCER_LISTEN", address.to_string()).stdout(writer).stderr(errors);
    let mut child = command.spawn().expect("a started process");
    // The request to the journal shows that the process runs.
    assert_eq!(asked.recv_timeout(TIME_LIMIT).as_deref(), Ok("tail 1"));
    let _server_thread = server.serve_in_background();
    let mut caller = Connection::to(address);
    caller.send(&invite(&id(1)));
    assert_eq!(caller.complete_call(&id(1)), 200);
    let pid = rustix::process::Pid::from_raw(child.id() as i32).expect("a process id");
    rustix::process::kill_process(pid, Signal::TERM).expect("a running process");
    assert!(wait(&mut child).success());
    let _ = std::fs::remove_file(&file);
}

#[test]
fn closed_standard_output_does_not_stop_node() {
    without_readers("output", 15, false);
}

#[test]
fn closed_standard_output_and_error_do_not_stop_node() {
    without_readers("errors", 16, true);
}

/// Reads a connection until the node closes it.
fn read_until_closed(stream: &mut TcpStream) -> Vec<u8> {
    let mut all = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        match stream.read(&mut buffer) {
            Ok(0) => return all,
            Ok(count) => all.extend_from_slice(&buffer[..count]),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {
                panic!("the connection stays open")
            }
            Err(_) => return all,
        }
    }
}

#[test]
fn invalid_input_closes_only_its_own_connection() {
    let server = CallServer::new();
    let (journal, _asked) = journal();
    let mut node = Node::start("hostile", &config(server.address, journal, 1024));
    // Set-ups that stay open during the test, on separate connections.
    let mut open_callers: Vec<_> = (0..4).map(|_| node.caller()).collect();
    for (number, other) in open_callers.iter_mut().enumerate() {
        other.send(&invite(&id(number)));
    }
    let mut pending: Vec<_> = (0..4).map(|_| server.next_invite()).collect();

    let head = |length: &str| {
        format!(
            "INVITE sip:42@net SIP/2.0\r\nCall-ID: {}\r\nCSeq: 1 INVITE\r\nX-Cos: voice\r\n\
             X-Timer-Ms: 8000\r\n{length}\r\n",
            id(0xbad)
        )
    };
    // Invalid input and the expected status code; empty if the connection is closed without an answer.
    let cases: Vec<(Vec<u8>, &str)> = vec![
        (b"\0\x01\x02garbage\xff\r\n\r\n".to_vec(), "400"),
        (b"GET / HTTP/1.1\r\nHost: x\r\n\r\n".to_vec(), "400"),
        (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03".to_vec(), "400"),
        (format!("INVITE sip:42@net SIP/2.0\r\nX: {}", "a".repeat(17 * 1024)).into_bytes(), "413"),
        (format!("INVITE sip:42@net SIP/2.0\r\n{}", "A: b\r\n".repeat(3 * 1024)).into_bytes(), "413"),
        (format!("INVITE {} SIP/2.0", "s".repeat(17 * 1024)).into_bytes(), "413"),
        (head(&format!("Content-Length: {}\r\n", 16 * 1024)).into_bytes(), "413"),
        (head("Content-Length: 99999999999999999999999999\r\n").into_bytes(), "413"),
        (head("Content-Length: -1\r\n").into_bytes(), "400"),
        (head("Content-Length: 0x10\r\n").into_bytes(), "400"),
        (head("Content-Length: 1 2\r\n").into_bytes(), "400"),
        (head("Content-Length:\r\n").into_bytes(), "400"),
        (head("Content-Length: 0\r\nContent-Length: 7\r\n").into_bytes(), "400"),
        (head("").into_bytes(), "400"),
        (head("No colon here\r\nContent-Length: 0\r\n").into_bytes(), "400"),
        (head(&format!("{}Content-Length: 0\r\n", "A: b\r\n".repeat(70))).into_bytes(), "400"),
        // An incomplete message is not malformed: the connection is closed after a timeout.
        (b"INVITE sip:42@net SIP/2.0\r\nCall-ID".to_vec(), ""),
        (head("Content-Length: 500\r\n").into_bytes(), ""),
        (Vec::new(), ""),
    ];
    let mut open = Vec::new();
    for (bytes, expected) in &cases {
        let mut connection = node.caller();
        connection.send(bytes);
        open.push((connection, expected));
    }
    // A partial message, after which the caller closes.
    for cut in [1, 20, 120] {
        node.caller().send(&invite(&id(0xbad))[..cut]);
    }
    // Valid but unsupported requests: each is answered, and the eighth closes the connection.
    let mut unsupported = node.caller();
    let mut many = Vec::new();
    for number in 0..40 {
        many.extend(bodyless_request(Method::Other("PUBLISH".to_owned()), &id(0xb00 + number)));
    }
    unsupported.try_send(&many);
    // A message without an end, written for as long as the node accepts data.
    let mut endless = node.caller();
    let (mut writing, body) = (endless.stream.try_clone().expect("a handle"), vec![b'x'; 64 * 1024]);
    let flood = std::thread::spawn(move || {
        let _ = writing.write_all(b"INVITE sip:42@net SIP/2.0\r\nX: ");
        while writing.write_all(&body).is_ok() {}
    });
    // Hundreds of pipelined requests: all are answered.
    let mut pipelined = node.caller();
    let mut many = Vec::new();
    for number in 0..500 {
        many.extend(bodyless_request(Method::Options, &id(0xc000 + number)));
    }
    pipelined.send(&many);
    for number in 0..500 {
        let answer = pipelined.next().expect("an answer");
        assert_eq!((answer.code(), answer.call_id()), (Some(200), Some(id(0xc000 + number).as_str())));
    }

    for (number, (connection, expected)) in open.iter_mut().enumerate() {
        let answers = String::from_utf8_lossy(&read_until_closed(&mut connection.stream)).into_owned();
        let start = if expected.is_empty() { String::new() } else { format!("SIP/2.0 {expected} ") };
        assert!(
            answers.starts_with(&start) && (answers.is_empty() == expected.is_empty()),
            "case {number}: {answers}"
        );
        assert!(answers.matches("SIP/2.0 ").count() <= 1, "case {number}: {answers}");
    }
    let answers = String::from_utf8_lossy(&read_until_closed(&mut unsupported.stream)).into_owned();
    assert_eq!(answers.matches("SIP/2.0 501 ").count(), 8, "{answers}");
    assert!(read_until_closed(&mut endless.stream).starts_with(b"SIP/2.0 413 "));
    flood.join().expect("the writer thread finished");

    // The set-ups that were open during the test.
    for (to, set_up) in &mut pending {
        accept_and_release(to, set_up);
    }
    for (number, other) in open_callers.iter_mut().enumerate() {
        assert_eq!(other.complete_call(&id(number)), 200);
    }
    node.signal(Signal::TERM);
    assert_eq!(node.wait_for_exit(), [4, 4, 0, 0, 0]);
    assert!(node.log.len() < 30, "{:#?}", node.log);
    for other in &mut open_callers {
        other.expect_no_more_answers();
    }
}

/// Connections with much unread data are not idle when the node needs a descriptor, and no answer is owed to
/// them once their data is read. Guards against refusing new callers in that case.
#[test]
fn call_is_set_up_among_busy_connections() {
    let server = CallServer::new();
    let (journal, asked) = journal();
    let file = path("busy");
    std::fs::write(&file, config(server.address, journal, 80)).expect("written");
    let mut node = Node::run(command(&file, Some(80)), file);
    assert_eq!(asked.recv_timeout(TIME_LIMIT).as_deref(), Ok("tail 1"));
    let _server_thread = server.serve_in_background();
    // Each connection has more unread data than is read at once before the first is accepted.
    let test = bodyless_request(Method::Options, &id(0xaa));
    let many = test.repeat(20 * 1024 / test.len());
    node.pause();
    let mut idle_callers: Vec<_> = (0..100).map(|_| node.caller()).collect();
    for connection in &mut idle_callers {
        connection.send(&many);
    }
    node.signal(Signal::CONT);
    for call in 0..3 {
        let mut caller = node.caller();
        caller.send(&invite(&id(call)));
        caller.stream.set_read_timeout(Some(Duration::from_millis(8_000))).expect("a timeout");
        assert_eq!(caller.complete_call(&id(call)), 200);
    }
    node.signal(Signal::TERM);
    assert_eq!(node.wait_for_exit(), [3, 3, 0, 0, 0]);
    drop(idle_callers);
}
