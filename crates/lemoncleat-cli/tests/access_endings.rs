//! What is owed when something ends, with the program as a process: SIGTERM, SIGKILL and SIGHUP at each
//! moment of a set-up's way, and callers that leave.

mod access_common;

use std::io::Write;
use std::time::Duration;

use access_common::*;
use lemoncleat_sip::{request, response, Method};
use rustix::process::Signal;

#[test]
fn sigterm_leaves_no_set_up_unanswered_wherever_it_is() {
    let server = CallServer::new();
    let (journal, _asked) = journal();
    let mut node = Node::start("term", &config(server.address, journal, 1024));
    assert_eq!(node.caller().options(), Some(200));

    // Out at the server: it holds its answer back.
    let mut out = node.caller();
    out.send(&invite(&id(1)));
    let mut held = server.next_invite();
    // Answered, and its caller does not read yet.
    let mut unread = node.caller();
    unread.send(&invite(&id(2)));
    let (mut to, set_up) = server.next_invite();
    to.write_all(&response(200, "OK", &set_up).finish(ANSWER)).expect("written");
    assert_eq!(server.next_of(&Method::Ack).1.call_id(), Some(id(2).as_str()));
    // Half written, cut at each of its bytes.
    let cuts = 1..invite(&id(3)).len();
    let mut halves: Vec<_> = (0..cuts.len()).map(|_| node.caller()).collect();
    for (number, (half, cut)) in halves.iter_mut().zip(cuts.clone()).enumerate() {
        half.send(&invite(&id(0x1000 + number))[..cut]);
    }
    // A connection that is accepted, and has shown so.
    let mut accepted = node.caller();
    assert_eq!(accepted.options(), Some(200));

    // Unread, and in the listen queue, when the signal is heard.
    node.pause();
    accepted.send(&invite(&id(0x50)));
    let mut queued: Vec<_> = (0..8).map(|_| node.caller()).collect();
    for (number, queued) in queued.iter_mut().enumerate() {
        queued.send(&invite(&id(0x60 + number)));
    }
    node.signal(Signal::TERM);
    node.signal(Signal::CONT);
    node.line_with("ending in order");
    // The rest of what was half written comes now.
    for (number, (half, cut)) in halves.iter_mut().zip(cuts.clone()).enumerate() {
        half.send(&invite(&id(0x1000 + number))[cut..]);
    }
    let mut probe = node.caller();
    assert_eq!(probe.options(), Some(503));
    // It has heard the signal and shown so; callers that have not seen that come all the same.
    let mut late: Vec<_> = (0..8).map(|_| node.caller()).collect();
    for (number, late) in late.iter_mut().enumerate() {
        late.send(&invite(&id(0x70 + number)));
    }
    probe.send(&invite(&id(0x80)));

    // The server has nine lines: what it has none for waits at the node, and goes there as they come free.
    // Its hands are still while the signal is heard, and the first call is held until all others have their
    // answer.
    let hand = server.serve_from_now_on();
    let mut codes = Vec::new();
    for (number, half) in halves.iter_mut().enumerate() {
        codes.push(half.whole_call(&id(0x1000 + number)));
    }
    codes.push(accepted.whole_call(&id(0x50)));
    for (number, queued) in queued.iter_mut().enumerate() {
        codes.push(queued.whole_call(&id(0x60 + number)));
    }
    for (number, late) in late.iter_mut().enumerate() {
        codes.push(late.whole_call(&id(0x70 + number)));
    }
    codes.push(probe.whole_call(&id(0x80)));
    serve(&mut held.0, &held.1);
    codes.push(out.whole_call(&id(1)));
    to.write_all(&release(&id(2))).expect("written");
    codes.push(unread.whole_call(&id(2)));
    let told = node.ended();
    assert_eq!(
        (told[0], told[1]),
        (codes.len() as u64, codes.iter().filter(|code| **code == 200).count() as u64)
    );
    assert_eq!((told[2] + told[3], told[4]), (told[0] - told[1], 0));
    assert!(told[1] > 9, "{codes:?}");
    for mut wire in halves.into_iter().chain(queued).chain(late).chain([out, unread, accepted, probe]) {
        wire.ends();
    }
    drop(hand);
}

/// Bytes in the machine's buffers between the two ports: what one has sent and the other has not read.
fn under_way(from: u16, to: u16) -> usize {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the machine's connections");
    let end = |port: u16| format!(":{port:04X}");
    let (one, other) = (end(from), end(to));
    let mut bytes = 0;
    for line in table.lines().filter(|line| line.contains(&one) && line.contains(&other)) {
        let fields: Vec<_> = line.split_whitespace().collect();
        let [_, local, remote, _, queues, ..] = fields[..] else { continue };
        let Some((sent, unread)) = queues.split_once(':') else { continue };
        if local.ends_with(&one) && remote.ends_with(&other) {
            bytes += usize::from_str_radix(sent, 16).expect("a number");
        } else if local.ends_with(&other) && remote.ends_with(&one) {
            bytes += usize::from_str_radix(unread, 16).expect("a number");
        }
    }
    bytes
}

/// More than the machine takes on top when it looks at its buffers again.
const MUCH: usize = 64 * 1024;

/// Its caller has not read for so long that the last answer does not fit into the machine's buffers.
#[test]
fn an_answer_that_waits_for_a_slow_reader_is_written_before_the_end() {
    let server = CallServer::new();
    let (journal, _asked) = journal();
    let mut node = Node::start("slow", &config(server.address, journal, 256));
    let (mut slow, mut probe) = (node.caller(), node.caller());
    // Answers bear the Via of what they answer: few and long ones fill the buffers soon.
    let test = request(Method::Options, "sip:ping@net")
        .header("Via", "v".repeat(10_000))
        .header("Call-ID", id(0xaa))
        .header("CSeq", "1 OPTIONS")
        .finish(b"");
    let size = {
        let mut one = node.caller();
        one.send(&test);
        let Some(answer) = one.next() else { panic!("it is answered") };
        assert_eq!(answer.code(), Some(200));
        answer.header("Via").map_or(0, str::len)
    };
    let (here, there) = (slow.stream.local_addr().expect("bound").port(), node.address.port());
    let (mut asked, many) = (0, test.repeat(10));
    loop {
        // No more is asked than it has to hold, or it gives the connection up (256 KiB).
        if under_way(there, here) + MUCH >= asked * size {
            slow.send(&many);
            asked += 10;
        }
        // What it read last is handled before what comes on another connection behind it.
        assert_eq!(probe.options(), Some(200));
        while under_way(here, there) > 0 {
            assert_eq!(probe.options(), Some(200));
        }
        assert_eq!(probe.options(), Some(200));
        // The table is not read in one instant: what holds was read several times in the same way.
        let first = under_way(there, here);
        if first + MUCH < asked * size && (0..3).all(|_| under_way(there, here) == first) {
            break;
        }
        assert!(asked < 100_000, "the buffers have no end");
    }
    slow.send(&invite(&id(1)));
    let (mut to, set_up) = server.next_invite();
    node.signal(Signal::TERM);
    node.line_with("ending in order");
    let busy = response(486, "Busy", &set_up).header("X-Diagnosis", "number_busy");
    to.write_all(&busy.finish(b"")).expect("written");
    // The line that it writes when nothing is open any more.
    node.line_with("holds: 2 callers' connections, 0 set-ups");
    for number in 0..asked {
        let answer = slow.next().unwrap_or_else(|| panic!("{number} of {asked} answers came"));
        assert_eq!(answer.code(), Some(200));
    }
    assert_eq!(slow.whole_call(&id(1)), 503);
    slow.ends();
    assert_eq!(node.ended(), [1, 0, 1, 0, 0]);
}

/// A node short of processor time comes to look at its sockets only when its time to end has come.
#[test]
fn set_ups_that_came_while_an_ending_node_had_no_turn_are_answered() {
    let server = CallServer::new();
    let (journal, _asked) = journal();
    let mut node = Node::start("turn", &config(server.address, journal, 1024));
    let mut accepted = node.caller();
    assert_eq!(accepted.options(), Some(200));
    node.signal(Signal::TERM);
    node.line_with("ending in order");
    node.pause();
    accepted.send(&invite(&id(1)));
    let mut queued: Vec<_> = (0..80).map(|_| node.caller()).collect();
    for (number, queued) in queued.iter_mut().enumerate() {
        queued.send(&invite(&id(0x100 + number)));
    }
    // Nothing comes of a stopped process, for longer than it stays after the signal.
    accepted.stream.set_read_timeout(Some(Duration::from_millis(1_200))).expect("a limit");
    assert!(accepted.stream.peek(&mut [0]).is_err(), "it has no turn");
    accepted.stream.set_read_timeout(Some(LONG)).expect("a limit");
    node.signal(Signal::CONT);
    // What reaches the server is served; what does not is answered all the same.
    let hand = server.serve_from_now_on();
    accepted.whole_call(&id(1));
    for (number, queued) in queued.iter_mut().enumerate() {
        queued.whole_call(&id(0x100 + number));
    }
    assert_eq!(node.ended()[0], 81);
    drop(hand);
}

#[test]
fn more_signals_change_nothing_of_an_ending_in_order() {
    let server = CallServer::new();
    let (journal, asked) = journal();
    let mut node = Node::start("again", &config(server.address, journal, 256));
    assert_eq!(asked.recv_timeout(LONG).as_deref(), Ok("tail 1"));
    let mut caller = node.caller();
    caller.send(&invite(&id(1)));
    let held = server.next_invite();
    node.signal(Signal::TERM);
    node.line_with("ending in order");
    node.signal(Signal::TERM);
    node.signal(Signal::INT);
    node.signal(Signal::HUP);
    node.line_with("configuration read again");
    assert_eq!(node.caller().options(), Some(503));
    let (mut to, set_up) = held;
    serve(&mut to, &set_up);
    assert_eq!(caller.whole_call(&id(1)), 200);
    assert_eq!(node.ended(), [1, 1, 0, 0, 0]);
    assert_eq!(node.count("ending in order"), 1);
    caller.ends();
}

/// The file of the configuration is a pipe: the process waits in its start for as long as the test wants.
#[test]
fn signals_before_it_listens_are_heeded() {
    for (name, signal) in [("early-term", Signal::TERM), ("early-hup", Signal::HUP)] {
        let server = CallServer::new();
        let (journal, asked) = journal();
        let file = path(name);
        let _ = std::fs::remove_file(&file);
        assert!(std::process::Command::new("mkfifo").arg(&file).status().expect("it runs").success());
        let (child, writer) = std::thread::scope(|scope| {
            let opening =
                scope.spawn(|| std::fs::OpenOptions::new().write(true).open(&file).expect("opened"));
            let child = command(&file, None).spawn().expect("it starts");
            // A pipe opens for writing when the process has opened it for reading.
            (child, opening.join().expect("opened"))
        });
        let mut writer = writer;
        let pid = rustix::process::Pid::from_raw(child.id() as i32).expect("a process");
        rustix::process::kill_process(pid, signal).expect("it is there");
        writer.write_all(config(server.address, journal, 256).as_bytes()).expect("it reads");
        // What is read anew is a file, and the end of this one is its writer's.
        std::fs::remove_file(&file).expect("removed");
        std::fs::write(&file, config(server.address, journal, 256)).expect("written");
        drop(writer);
        let mut node = Node::running(child, file);
        if signal == Signal::HUP {
            node.line_with("configuration read again");
            assert_eq!(asked.recv_timeout(LONG).as_deref(), Ok("tail 1"));
            let mut caller = node.caller();
            caller.send(&invite(&id(1)));
            let (mut to, set_up) = server.next_invite();
            serve(&mut to, &set_up);
            assert_eq!(caller.whole_call(&id(1)), 200);
            node.signal(Signal::TERM);
        }
        let calls = u64::from(signal == Signal::HUP);
        assert_eq!(node.ended(), [calls, calls, 0, 0, 0]);
    }
}

#[test]
fn a_killed_node_is_back_at_once_and_takes_up_what_stands() {
    let server = CallServer::new();
    let (journal, asked) = journal();
    let file = path("kill");
    std::fs::write(&file, config(server.address, journal, 256)).expect("it is written");
    let address = nobody(1);
    let start = || {
        let mut command = command(&file, None);
        command.env("BALANCER_LISTEN", address.to_string()).env("BALANCER_NAME", "n7");
        Node::run(command, file.clone())
    };
    let mut node = start();
    assert_eq!(node.address, address);
    let mut caller = node.caller();
    caller.send(&invite(&id(1)));
    let (mut to, set_up) = server.next_invite();
    to.write_all(&response(200, "OK", &set_up).finish(ANSWER)).expect("written");
    assert_eq!(caller.next().and_then(|message| message.code()), Some(200));
    caller.send(&about(Method::Ack, &id(1)));
    // One that is out as it dies: its connection breaks, and the caller may try again.
    caller.send(&invite(&id(2)));
    let _second = server.next_invite();
    node.signal(Signal::KILL);
    assert!(!wait(&mut node.child).success());
    assert!(caller.next().is_none());

    let config = std::fs::read(&file).expect("the configuration");
    drop(node);
    std::fs::write(&file, config).expect("it is written");
    let mut node = start();
    let mut caller = node.caller();
    assert_eq!(caller.options(), Some(200));
    while server.heard.try_recv().is_ok() {}
    // The call that stood is told of, with no answer wanted, and a new one comes with it.
    caller.send(&invite_with(&id(1), "dest:0;width:1;via:-1;at:s-a"));
    caller.send(&invite(&id(3)));
    let (mut to, third) = server.next_invite();
    assert_eq!(third.call_id(), Some(id(3).as_str()));
    serve(&mut to, &third);
    assert_eq!(caller.whole_call(&id(3)), 200);
    to.write_all(&release(&id(1))).expect("written");
    let over = caller.next().expect("a release");
    assert_eq!((over.method(), over.call_id()), (Some(&Method::Bye), Some(id(1).as_str())));
    caller.send(&response(200, "OK", &over).finish(b""));
    assert_eq!(asked.recv_timeout(LONG).as_deref(), Ok("tail 1"));
    assert_eq!(asked.recv_timeout(LONG).as_deref(), Ok("tail 1"));
    node.signal(Signal::TERM);
    assert_eq!(node.ended(), [1, 1, 0, 0, 0]);
}

#[test]
fn a_configuration_that_cannot_be_used_leaves_the_one_in_force() {
    let server = CallServer::new();
    let (first, asked) = journal();
    let good = config(server.address, first, 256);
    let mut node = Node::start("reload", &good);
    assert_eq!(asked.recv_timeout(LONG).as_deref(), Ok("tail 1"));
    let mut caller = node.caller();
    caller.send(&invite(&id(1)));
    let held = server.next_invite();
    let bad = [
        (good[..good.len() / 2].to_owned(), "EOF while parsing"),
        (String::new(), "EOF while parsing a value at line 1 column 0"),
        ("not JSON".to_owned(), "at line 1 column 2"),
        (good.replace("\"balancers\":1", "\"balancers\":\"one\""), "settings.balancers: invalid type"),
        (good.replace(&format!("\"journal\":\"{first}\""), "\"journal\":17"), "journal: invalid type"),
        (good.replace("\"name\":\"n1\",", ""), "missing field `name`"),
    ];
    for (text, told) in &bad {
        std::fs::write(&node.file, text).expect("replaced");
        node.signal(Signal::HUP);
        let line = node.line_with("the configuration in force stays so");
        assert!(line.contains(told) && line.contains(&node.file.display().to_string()), "{line}");
        assert_eq!(node.caller().options(), Some(200));
    }
    // Many at once, and what they find in the end is another address.
    for _ in 0..50 {
        node.signal(Signal::HUP);
    }
    let (moved, asked) = journal();
    let whole = node.file.with_extension("new");
    std::fs::write(&whole, config(server.address, moved, 256)).expect("written");
    std::fs::rename(&whole, &node.file).expect("replaced");
    node.signal(Signal::HUP);
    assert_eq!(asked.recv_timeout(LONG).as_deref(), Ok("tail 1"));
    for _ in 0..50 {
        node.signal(Signal::HUP);
    }
    // The call that was out all the while.
    let (mut to, set_up) = held;
    serve(&mut to, &set_up);
    assert_eq!(caller.whole_call(&id(1)), 200);
    node.signal(Signal::TERM);
    assert_eq!(node.ended(), [1, 1, 0, 0, 0]);
}

/// One clear line for each configuration that can't be used, however often it is looked at again.
#[test]
fn a_configuration_that_cannot_be_used_is_told_of_once() {
    let server = CallServer::new();
    let (journal, asked) = journal();
    let good = config(server.address, journal, 256);
    let mut node = Node::start("once", &good);
    assert_eq!(asked.recv_timeout(LONG).as_deref(), Ok("tail 1"));
    std::fs::write(&node.file, "{").expect("replaced");
    for _ in 0..20 {
        node.signal(Signal::HUP);
    }
    node.line_with("the configuration in force stays so");
    // A call that nobody answers holds the process for longer than it goes on looking at the file.
    let mut caller = node.caller();
    caller.send(&invite_for(2_500, &id(1)));
    let held = server.next_invite();
    node.signal(Signal::TERM);
    assert_ne!(caller.whole_call(&id(1)), 200);
    assert_eq!(node.ended()[0], 1);
    drop(held);
    assert_eq!(node.count("the configuration in force stays so"), 1, "{:#?}", node.log);
}

#[test]
fn a_caller_that_leaves_gets_no_attempt_and_is_counted_once() {
    let server = CallServer::new();
    let (journal, _asked) = journal();
    let mut node = Node::start("leaves", &config(server.address, journal, 256));
    assert_eq!(node.caller().options(), Some(200));

    // Writes a set-up and closes, before the node had a turn: the bytes and the end of the stream are there
    // at once.
    node.pause();
    for number in 0..6 {
        let mut caller = node.caller();
        caller.send(&invite(&id(0x10 + number)));
        drop(caller);
    }
    node.signal(Signal::CONT);
    // A CANCEL right behind its set-up, in one piece.
    let mut both = node.caller();
    let mut bytes = invite(&id(0x20));
    bytes.extend(about(Method::Cancel, &id(0x20)));
    both.send(&bytes);
    let codes: Vec<_> = (0..2).map(|_| both.next().and_then(|message| message.code())).collect();
    assert_eq!(codes, [Some(200), Some(487)]);

    // Out at the server: a CANCEL on another connection, once more, and then the connection closes.
    let (mut caller, mut other) = (node.caller(), node.caller());
    caller.send(&invite(&id(0x30)));
    loop {
        let (_, set_up) = server.next_invite();
        if set_up.call_id() == Some(id(0x30).as_str()) {
            break;
        }
        // One that was sent on before its end was seen must be given up.
        let gone = set_up.call_id().expect("an id").to_owned();
        loop {
            if server.next_of(&Method::Cancel).1.call_id() == Some(gone.as_str()) {
                break;
            }
        }
    }
    other.send(&about(Method::Cancel, &id(0x30)));
    assert_eq!(other.next().and_then(|message| message.code()), Some(200));
    assert_eq!(caller.next().and_then(|message| message.code()), Some(487));
    other.send(&about(Method::Cancel, &id(0x30)));
    assert_eq!(other.next().and_then(|message| message.code()), Some(481));
    drop(caller);
    loop {
        if server.next_of(&Method::Cancel).1.call_id() == Some(id(0x30).as_str()) {
            break;
        }
    }
    // Out at the server, and the connection closes.
    let mut caller = node.caller();
    caller.send(&invite(&id(0x40)));
    let (mut to, set_up) = server.next_invite();
    drop(caller);
    assert_eq!(server.next_of(&Method::Cancel).1.call_id(), Some(id(0x40).as_str()));
    // The answer crosses: the call that stands all the same is released, and nobody is told.
    to.write_all(&response(200, "OK", &set_up).finish(ANSWER)).expect("written");
    assert_eq!(server.next_of(&Method::Bye).1.call_id(), Some(id(0x40).as_str()));

    node.signal(Signal::TERM);
    let told = node.ended();
    assert_eq!((told[1], told[2], told[3], told[4]), (0, 0, 0, 0), "{:?}", node.log);
    let tables = node.log.iter().rev().find(|line| line.contains("holds: ")).expect("its tables");
    assert!(tables.contains(&format!("{} given up", told[0])), "{tables}");
    assert!(told[0] >= 3 && told[0] <= 9, "{tables}");
    let after: Vec<_> = server.so_far();
    assert!(after.iter().all(|message| message.method() != Some(&Method::Invite)), "{after:?}");
}
