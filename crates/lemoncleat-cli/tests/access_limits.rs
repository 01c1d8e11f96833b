//! The program as a process at its limits: few descriptors, a configuration that can't be used, callers that
//! send what is no use.

mod access_common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Stdio;
use std::time::Duration;

use access_common::*;
use lemoncleat_sip::Method;
use rustix::process::Signal;

/// Idle callers, many times as many as there are descriptors, while nobody listens at the journal service's
/// address.
fn crowded(name: &str, number: u8, descriptors: u32, told: u32) {
    let server = CallServer::new();
    let journal = nobody(number);
    let file = path(name);
    std::fs::write(&file, config(server.address, journal, told)).expect("it is written");
    let mut node = Node::run(command(&file, Some(descriptors)), file);
    let _hand = server.serve_from_now_on();
    let crowd: Vec<_> = (0..400).map(|_| node.caller()).collect();
    for call in 0..4 {
        let mut caller = node.caller();
        caller.send(&invite(&id(call)));
        assert_eq!(caller.whole_call(&id(call)), 200, "with {descriptors} descriptors");
    }
    // The crowd is there still as the journal service comes back, and comes anew.
    let asked = journal_on(TcpListener::bind(journal).expect("the address"));
    let more: Vec<_> = (0..200).map(|_| node.caller()).collect();
    assert_eq!(asked.recv_timeout(LONG).as_deref(), Ok("tail 1"), "with {descriptors} descriptors");
    let mut caller = node.caller();
    caller.send(&invite(&id(9)));
    assert_eq!(caller.whole_call(&id(9)), 200);
    node.signal(Signal::TERM);
    assert_eq!(node.ended(), [5, 5, 0, 0, 0]);
    // How many lines a crowd is worth does not grow with it.
    assert!(node.log.len() < 40, "{:#?}", node.log);
    drop((crowd, more));
}

#[test]
fn a_paying_caller_gets_through_a_crowd_of_idle_ones() {
    for (number, descriptors) in [(11, 64), (12, 96), (13, 128)] {
        crowded(&format!("crowd-{descriptors}"), number, descriptors, descriptors);
    }
}

/// The process has fewer descriptors than the configuration says, and those that hold them have been of use:
/// a newcomer gets in within the time that it waits only because one of them is closed for it.
#[test]
fn the_limit_of_the_process_holds_where_it_is_below_the_told_one() {
    let server = CallServer::new();
    let (journal, asked) = journal();
    let file = path("fewer");
    std::fs::write(&file, config(server.address, journal, 1024)).expect("it is written");
    let mut node = Node::run(command(&file, Some(80)), file);
    assert_eq!(asked.recv_timeout(LONG).as_deref(), Ok("tail 1"));
    let _hand = server.serve_from_now_on();
    // Each waits for as long as a caller does, and shows that it was read.
    let patient = || {
        let caller = node.caller();
        caller.stream.set_read_timeout(Some(Duration::from_millis(8_000))).expect("as long as it waits");
        caller
    };
    let mut crowd: Vec<_> = (0..100).map(|_| patient()).collect();
    for wire in &mut crowd {
        assert!(matches!(wire.try_options(), Some(200) | None));
    }
    for call in 0..3 {
        let mut caller = patient();
        caller.send(&invite(&id(call)));
        assert_eq!(caller.whole_call(&id(call)), 200);
    }
    node.signal(Signal::TERM);
    assert_eq!(node.ended(), [3, 3, 0, 0, 0]);
    drop(crowd);
}

/// What it writes, and its exit code.
fn refused(mut command: std::process::Command) -> (Option<i32>, String) {
    let mut child = command.stdout(Stdio::null()).spawn().expect("it runs");
    let code = wait(&mut child).code();
    let mut told = String::new();
    child.stderr.take().expect("its errors").read_to_string(&mut told).expect("text");
    (code, told)
}

#[test]
fn an_unusable_start_ends_with_one_line_that_names_file_place_and_what_was_expected() {
    let any: SocketAddr = "127.0.0.1:9".parse().expect("an address");
    let good = config(any, any, 256);
    let file = path("start");
    let name = file.display().to_string();
    let taken = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = taken.local_addr().expect("bound").to_string();
    let classes = good.find("\"classes\":[").expect("classes") + "\"classes\":[".len();
    let to = classes + good[classes..].find(']').expect("their end");
    let without_classes = format!("{}{}", &good[..classes], &good[to..]);
    let texts = [
        (String::new(), "EOF while parsing a value at line 1 column 0"),
        ("not JSON".to_owned(), "expected ident at line 1 column 2"),
        (good[..good.len() / 3].to_owned(), "EOF while parsing"),
        (format!("{good}}}"), "trailing characters at line"),
        ("[]".to_owned(), "expected"),
        (good.replace("\"name\":\"n1\",", ""), "missing field `name`"),
        (good.replace("\"most_tries\":4", "\"tries\":4"), "settings.limits: missing field `most_tries`"),
        (
            good.replace("\"balancers\":1", "\"balancers\":-1"),
            "settings.balancers: invalid value: integer `-1`",
        ),
        (good.replace("\"worth\":1.0", "\"worth\":[]"), "settings.classes[0].worth: invalid type: sequence"),
        (good.replace("\"127.0.0.1:0\"", "\"somewhere\""), "listen: invalid socket address syntax"),
        (good.replace("\"seed\":\"1f\"", "\"seed\":\"no\""), "seed: expected hex digits, got \"no\""),
        (
            good.replace("\"up\"", "\"sideways\""),
            "known.entries[0].hosts.endpoints[0].status: unknown variant",
        ),
        (without_classes, "class"),
        (good.replace("\"deadline_us\":9000000", "\"deadline_us\":0"), "deadline"),
        (good.replace("\"127.0.0.1:0\"", &format!("{address:?}")), &address),
    ];
    for (text, expected) in &texts {
        std::fs::write(&file, text).expect("written");
        let (code, told) = refused(command(&file, None));
        assert!(code.is_some_and(|code| code == 1 || code == 2), "{code:?} {told}");
        assert!(told.lines().count() == 1 && told.contains(expected), "{told}");
        assert!(told.contains(&name) || *expected == address, "{told}");
    }
    std::fs::write(&file, b"{\"name\":\"\xff\"").expect("written");
    assert!(refused(command(&file, None)).1.contains(&name));
    std::fs::write(&file, &good).expect("written");
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
        let (code, told) = refused(command);
        assert!(code.is_some_and(|code| code == 1 || code == 2), "{code:?} {told}");
        assert!(told.lines().count() == 1 && told.contains(expected), "{variable}={value}: {told}");
    }
    let _ = std::fs::remove_file(&file);
}

/// Whoever reads its output may go; a node goes on and ends in order.
fn without_readers(name: &str, number: u8, errors_too: bool) {
    let server = CallServer::new();
    let (journal, asked) = journal();
    let address = nobody(number);
    let file = path(name);
    std::fs::write(&file, config(server.address, journal, 256)).expect("it is written");
    let (reader, writer) = std::io::pipe().expect("a pipe");
    drop(reader);
    let mut command = command(&file, None);
    let errors = if errors_too { writer.try_clone().expect("a handle").into() } else { Stdio::null() };
    command.env("BALANCER_LISTEN", address.to_string()).stdout(writer).stderr(errors);
    let mut child = command.spawn().expect("it starts");
    // It asks once it runs.
    assert_eq!(asked.recv_timeout(LONG).as_deref(), Ok("tail 1"));
    let _hand = server.serve_from_now_on();
    let mut caller = Wire::to(address);
    caller.send(&invite(&id(1)));
    assert_eq!(caller.whole_call(&id(1)), 200);
    let pid = rustix::process::Pid::from_raw(child.id() as i32).expect("a process");
    rustix::process::kill_process(pid, Signal::TERM).expect("it is there");
    assert!(wait(&mut child).success());
    let _ = std::fs::remove_file(&file);
}

#[test]
fn nobody_has_to_read_its_output() {
    without_readers("output", 15, false);
}

#[test]
fn nobody_has_to_read_its_output_or_its_errors() {
    without_readers("errors", 16, true);
}

/// Reads up to the end of a connection, which comes by itself.
fn read_out(stream: &mut TcpStream) -> Vec<u8> {
    let mut all = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        match stream.read(&mut buffer) {
            Ok(0) => return all,
            Ok(count) => all.extend_from_slice(&buffer[..count]),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => panic!("it stays open"),
            Err(_) => return all,
        }
    }
}

#[test]
fn bytes_that_are_no_use_end_their_connection_and_harm_nobody_else() {
    let server = CallServer::new();
    let (journal, _asked) = journal();
    let mut node = Node::start("hostile", &config(server.address, journal, 1024));
    // Set-ups that are open all the while, on connections of their own.
    let mut others: Vec<_> = (0..4).map(|_| node.caller()).collect();
    for (number, other) in others.iter_mut().enumerate() {
        other.send(&invite(&id(number)));
    }
    let mut held: Vec<_> = (0..4).map(|_| server.next_invite()).collect();

    let head = |length: &str| {
        format!(
            "INVITE sip:42@net SIP/2.0\r\nCall-ID: {}\r\nCSeq: 1 INVITE\r\nX-Cos: voice\r\n\
             X-Timer-Ms: 8000\r\n{length}\r\n",
            id(0xbad)
        )
    };
    // What can't be read, and what it is answered with where anything is.
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
        // A message that never ends is no fault of its bytes: it is closed, in its time.
        (b"INVITE sip:42@net SIP/2.0\r\nCall-ID".to_vec(), ""),
        (head("Content-Length: 500\r\n").into_bytes(), ""),
        (Vec::new(), ""),
    ];
    let mut open = Vec::new();
    for (bytes, expected) in &cases {
        let mut wire = node.caller();
        wire.send(bytes);
        open.push((wire, expected));
    }
    // Half a message, and its caller closes.
    for cut in [1, 20, 120] {
        node.caller().send(&invite(&id(0xbad))[..cut]);
    }
    // Messages that can be read and are no use: each is answered, and the eighth ends the connection.
    let mut useless = node.caller();
    let mut many = Vec::new();
    for number in 0..40 {
        many.extend(about(Method::Other("PUBLISH".to_owned()), &id(0xb00 + number)));
    }
    useless.try_send(&many);
    // An end that never comes: it goes on writing for as long as it can.
    let mut endless = node.caller();
    let (mut writing, body) = (endless.stream.try_clone().expect("a handle"), vec![b'x'; 64 * 1024]);
    let flood = std::thread::spawn(move || {
        let _ = writing.write_all(b"INVITE sip:42@net SIP/2.0\r\nX: ");
        while writing.write_all(&body).is_ok() {}
    });
    // Hundreds in one piece: all are answered.
    let mut pipelined = node.caller();
    let mut many = Vec::new();
    for number in 0..500 {
        many.extend(about(Method::Options, &id(0xc000 + number)));
    }
    pipelined.send(&many);
    for number in 0..500 {
        let answer = pipelined.next().expect("an answer");
        assert_eq!((answer.code(), answer.call_id()), (Some(200), Some(id(0xc000 + number).as_str())));
    }

    for (number, (wire, expected)) in open.iter_mut().enumerate() {
        let told = String::from_utf8_lossy(&read_out(&mut wire.stream)).into_owned();
        let start = if expected.is_empty() { String::new() } else { format!("SIP/2.0 {expected} ") };
        assert!(
            told.starts_with(&start) && (told.is_empty() == expected.is_empty()),
            "case {number}: {told}"
        );
        assert!(told.matches("SIP/2.0 ").count() <= 1, "case {number}: {told}");
    }
    let told = String::from_utf8_lossy(&read_out(&mut useless.stream)).into_owned();
    assert_eq!(told.matches("SIP/2.0 501 ").count(), 8, "{told}");
    assert!(read_out(&mut endless.stream).starts_with(b"SIP/2.0 413 "));
    flood.join().expect("it came to its end");

    // Those that were there all the while.
    for (to, set_up) in &mut held {
        serve(to, set_up);
    }
    for (number, other) in others.iter_mut().enumerate() {
        assert_eq!(other.whole_call(&id(number)), 200);
    }
    node.signal(Signal::TERM);
    assert_eq!(node.ended(), [4, 4, 0, 0, 0]);
    assert!(node.log.len() < 30, "{:#?}", node.log);
    for other in &mut others {
        other.ends();
    }
}

/// Connections that bring much at once are not quiet as room is needed, and nothing is owed to them once it
/// is read.
#[test]
fn a_paying_caller_gets_through_a_crowd_that_is_never_quiet() {
    let server = CallServer::new();
    let (journal, asked) = journal();
    let file = path("busy");
    std::fs::write(&file, config(server.address, journal, 80)).expect("it is written");
    let mut node = Node::run(command(&file, Some(80)), file);
    assert_eq!(asked.recv_timeout(LONG).as_deref(), Ok("tail 1"));
    let _hand = server.serve_from_now_on();
    // More than is read at once lies on each of them before the first is accepted.
    let test = about(Method::Options, &id(0xaa));
    let many = test.repeat(20 * 1024 / test.len());
    node.pause();
    let mut crowd: Vec<_> = (0..100).map(|_| node.caller()).collect();
    for wire in &mut crowd {
        wire.send(&many);
    }
    node.signal(Signal::CONT);
    for call in 0..3 {
        let mut caller = node.caller();
        caller.send(&invite(&id(call)));
        caller.stream.set_read_timeout(Some(Duration::from_millis(8_000))).expect("as long as it waits");
        assert_eq!(caller.whole_call(&id(call)), 200);
    }
    node.signal(Signal::TERM);
    assert_eq!(node.ended(), [3, 3, 0, 0, 0]);
    drop(crowd);
}
