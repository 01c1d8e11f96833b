//! The cases: each plays its day and returns a line for every break of its rule.

use std::collections::BTreeSet;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use crate::caller::{set_up, Caller, Calls, Seen};
use crate::journal::Journal;
use crate::platform::{entry, event, first_event, Node, CLASSES};
use crate::record::{now, record, say, until};
use crate::server::CallServer;
use crate::sip::request;
use crate::unable;

type Case = fn(&str, bool) -> Vec<String>;

/// What the pages add to each time limit on sockets.
const SLACK: f64 = 0.05;
/// Time limit for telling a client that its call is over, if no release could be sent.
const END_TOLD: f64 = 8.0;

pub fn named(name: &str) -> Option<Case> {
    Some(match name {
        "slow-discovery" => slow_discovery,
        "vanish-and-restart" => vanish_and_restart,
        "zone-returns" => zone_returns,
        "named-after-restarts" => named_after_restarts,
        "quiet-call" => quiet_call,
        "stops-short" => stops_short,
        "short-description" => short_description,
        "set-up-sent-twice" => set_up_sent_twice,
        "named-after-loss" => named_after_loss,
        _ => return None,
    })
}

fn id(number: u64) -> String {
    // Spread like the ids of clients.
    format!("{:016x}", (number + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

fn seen(calls: &Calls, id: &str) -> Seen {
    calls.lock().expect("calls").get(id).cloned().unwrap_or_default()
}

fn connect(name: &str, node: &Node, calls: &Calls) -> Caller {
    Caller::connect(name, node.listen, calls).unwrap_or_else(|| unable("the access node takes no connection"))
}

/// Calls that stand for their callers and at this server, and were not released on either side.
fn standing_at(server: &CallServer, calls: &Calls) -> BTreeSet<String> {
    let calls = calls.lock().expect("calls");
    let stands =
        |id: &String| calls.get(id).is_some_and(|seen| seen.stands.is_some() && seen.released.is_empty());
    server.held().into_keys().filter(stands).collect()
}

fn expect_running(node: &mut Node) {
    if !node.runs() {
        unable("the access node has ended");
    }
}

/// Discovery moves with a new configuration, and the new service is slow to answer the first requests. A call server
/// drains meanwhile.
fn slow_discovery(folder: &str, trouble: bool) -> Vec<String> {
    const SLOW: f64 = 3.0;
    const SLOW_FOR: f64 = 8.0;
    const GRACE: f64 = 2.0;
    let servers = [0, 1, 2].map(|group| {
        CallServer::start(["s-00000a01", "s-00000a02", "s-00000a03"][group], group as i64, 0.02, 2.0)
    });
    let all: Vec<&CallServer> = servers.iter().collect();
    let first = Journal::start("one", &[first_event(&all)]);
    let mut node = Node::new("n0", folder, &all);
    node.configure(&first);
    node.start();
    let calls = Calls::default();
    let callers = [connect("caller 1", &node, &calls), connect("caller 2", &node, &calls)];
    let began = now();
    let moved_at = began + 4.0;
    let drained_at = moved_at + 1.0;
    let (mut second, mut drained) = (None, false);
    for number in 0..(20 * 12) {
        until(began + number as f64 / 12.0);
        let class = CLASSES[usize::from(number % 16 == 0)];
        callers[number as usize % 2].set_up(&id(number), class, 3.0, number as i64 % 3);
        if second.is_none() && now() >= moved_at {
            let journal = Journal::start("two", &first.events());
            if trouble {
                journal.be_slow(SLOW, moved_at + SLOW_FOR);
            }
            node.configure(&journal);
            first.leave();
            node.signal("HUP");
            second = Some(journal);
        }
        if let (Some(journal), false, true) = (&second, drained, now() >= drained_at) {
            journal.add(&event(2, false, &[entry(&servers[1], "draining", 0)]));
            drained = true;
        }
    }
    thread::sleep(Duration::from_secs(1));
    expect_running(&mut node);
    // It counts as told 4 s after SIGHUP, or when it stands in the service, if that is later.
    let told = (moved_at + 4.0).max(drained_at);
    let last = told + GRACE + SLACK;
    let before = servers[1].set_ups().iter().filter(|(at, _)| *at < drained_at).count();
    say(format!("{} had {before} set-ups before it drained; told at {told:.3}, nothing new is allowed after {last:.3}", servers[1].name));
    if before == 0 {
        unable("the server had no set-ups at all");
    }
    let late = servers[1].set_ups().into_iter().filter(|(at, _)| *at > last);
    late.map(|(at, id)| format!("{at:.3}: set-up {id} to {}, which drains", servers[1].name)).collect()
}

/// Sets calls up that last, half of them through each of two callers, and waits until they stand.
fn place_calls(node: &Node, calls: &Calls, numbers: std::ops::Range<u64>) -> Vec<Caller> {
    let callers = vec![connect("caller 1", node, calls), connect("caller 2", node, calls)];
    for number in numbers.clone() {
        callers[number as usize % 2].set_up(&id(number), "browse", 3.0, number as i64 % 3);
        thread::sleep(Duration::from_millis(60));
    }
    thread::sleep(Duration::from_millis(500));
    let stand = numbers.clone().filter(|number| seen(calls, &id(*number)).stands.is_some()).count();
    record(format!("{stand} of {} calls stand", numbers.count()));
    callers
}

/// Lines for the calls whose callers were not told in time that they were over.
fn told_late(calls: &Calls, over: &BTreeSet<String>, ended_at: f64) -> Vec<String> {
    let mut broken = Vec::new();
    for id in over {
        match seen(calls, id).released.first() {
            Some((at, _)) if *at <= ended_at + END_TOLD + SLACK => {}
            Some((at, _)) => broken.push(format!(
                "call {id}: over at {ended_at:.3}, its caller told {:.3} s later",
                at - ended_at
            )),
            None => broken.push(format!("call {id}: over at {ended_at:.3}, its caller never told")),
        }
    }
    say(format!("{} calls were over, {} callers were told in time", over.len(), over.len() - broken.len()));
    broken
}

/// Lines for the calls that stand at their server and whose callers were told that they are over.
fn released_though_standing(calls: &Calls, standing: &BTreeSet<String>) -> Vec<String> {
    let released = standing.iter().filter(|id| !seen(calls, id).released.is_empty());
    released
        .map(|id| format!("call {id} stands at its server, and its caller was told that it is over"))
        .collect()
}

/// The access node is started again, and callers whose calls stand name them.
fn start_again(
    node: &mut Node,
    journal: &Journal,
    calls: &Calls,
    standing: &[(&CallServer, BTreeSet<String>)],
) -> Caller {
    node.configure(journal);
    node.start();
    thread::sleep(Duration::from_millis(1000));
    let caller = connect("caller 3", node, calls);
    for (server, ids) in standing {
        for id in ids {
            caller.name_call(id, "browse", server.name, server.group);
        }
    }
    caller
}

/// The machine of a call server vanishes; the access node is killed soon after and started again.
fn vanish_and_restart(folder: &str, trouble: bool) -> Vec<String> {
    let servers = [0, 1, 2].map(|group| {
        CallServer::start(["s-00000b01", "s-00000b02", "s-00000b03"][group], group as i64, 0.02, 90.0)
    });
    let all: Vec<&CallServer> = servers.iter().collect();
    let journal = Journal::start("one", &[first_event(&all)]);
    let mut node = Node::new("n0", folder, &all);
    node.configure(&journal);
    node.start();
    let calls = Calls::default();
    let _callers = place_calls(&node, &calls, 0..18);
    let standing: Vec<(&CallServer, BTreeSet<String>)> =
        all.iter().map(|server| (*server, standing_at(server, &calls))).collect();
    let over = standing[1].1.clone();
    if over.is_empty() {
        unable("no call stands at the server");
    }
    let vanished_at = now();
    if trouble {
        servers[1].vanish();
    }
    until(vanished_at + 0.5);
    node.kill();
    until(vanished_at + 3.0);
    let _caller = start_again(&mut node, &journal, &calls, &standing);
    until(vanished_at + 20.0);
    expect_running(&mut node);
    if trouble {
        return told_late(&calls, &over, vanished_at);
    }
    released_though_standing(&calls, &over)
}

/// The machine of a call server is lost for 5 s and returns cold; the list tells of the new process 4 s later.
fn zone_returns(folder: &str, trouble: bool) -> Vec<String> {
    const LOST_FOR: f64 = 5.0;
    const NOTICE: f64 = 4.0;
    let servers = [0, 1, 2].map(|group| {
        CallServer::start(["s-00000c01", "s-00000c02", "s-00000c03"][group], group as i64, 0.02, 90.0)
    });
    let all: Vec<&CallServer> = servers.iter().collect();
    let journal = Journal::start("one", &[first_event(&all)]);
    let mut node = Node::new("n0", folder, &all);
    node.configure(&journal);
    node.start();
    let calls = Calls::default();
    let callers = place_calls(&node, &calls, 0..18);
    let over = standing_at(&servers[1], &calls);
    if over.is_empty() {
        unable("no call stands at the server");
    }
    let vanished_at = now();
    let mut since = None;
    if trouble {
        servers[1].vanish();
    }
    let mut listed = false;
    for number in 0..60_u64 {
        until(vanished_at + number as f64 / 3.0);
        if trouble && since.is_none() && now() >= vanished_at + LOST_FOR {
            since = Some(servers[1].return_as_new_process());
        }
        if let (Some(since), false, true) = (since, listed, now() >= vanished_at + LOST_FOR + NOTICE) {
            journal.add(&event(2, false, &[entry(&servers[1], "up", since)]));
            listed = true;
        }
        callers[number as usize % 2].set_up(&id(1000 + number), "browse", 3.0, number as i64 % 3);
    }
    expect_running(&mut node);
    if trouble {
        return told_late(&calls, &over, vanished_at);
    }
    released_though_standing(&calls, &over)
}

/// A call server is started anew; calls stand at its new process; the access node is killed and started again, and
/// callers name these calls.
fn named_after_restarts(folder: &str, trouble: bool) -> Vec<String> {
    let servers = [0, 1, 2].map(|group| {
        CallServer::start(["s-00000d01", "s-00000d02", "s-00000d03"][group], group as i64, 0.02, 90.0)
    });
    let all: Vec<&CallServer> = servers.iter().collect();
    let journal = Journal::start("one", &[first_event(&all)]);
    let mut node = Node::new("n0", folder, &all);
    node.configure(&journal);
    node.start();
    let calls = Calls::default();
    let mut callers = place_calls(&node, &calls, 0..6);
    let vanished_at = now();
    if trouble {
        servers[1].vanish();
        until(vanished_at + 5.0);
        let since = servers[1].return_as_new_process();
        until(vanished_at + 6.5);
        journal.add(&event(2, false, &[entry(&servers[1], "up", since)]));
    }
    until(vanished_at + 7.0);
    callers.extend(place_calls(&node, &calls, 100..124));
    let standing: Vec<(&CallServer, BTreeSet<String>)> =
        all.iter().map(|server| (*server, standing_at(server, &calls))).collect();
    let new: BTreeSet<String> = standing[1].1.clone();
    record(format!("{} calls stand at {}", new.len(), servers[1].name));
    if new.is_empty() {
        unable("no call stands at the server's new process");
    }
    let killed_at = now();
    node.kill();
    until(killed_at + 1.0);
    let _caller = start_again(&mut node, &journal, &calls, &standing);
    let named_at = now();
    until(named_at + 12.0);
    expect_running(&mut node);
    let held = servers[1].held();
    let released_there: BTreeSet<String> = servers[1].released().into_iter().map(|(_, id)| id).collect();
    let mut broken = Vec::new();
    for id in &new {
        if let Some((at, cause)) = seen(&calls, id).released.first() {
            broken.push(format!(
                "call {id}: named, its caller told at {at:.3} that it is over, cause {cause}; its server {} and {}",
                if held.contains_key(id) { "holds it still" } else { "does not hold it" },
                if released_there.contains(id) { "got a release" } else { "got no release" }
            ));
        }
    }
    say(format!("{} calls stood at {} when the access node was killed", new.len(), servers[1].name));
    broken
}

/// A caller makes one call and holds its connection for good; nobody else calls.
fn quiet_call(folder: &str, trouble: bool) -> Vec<String> {
    let hold = if trouble { 30.0 } else { 8.0 };
    let servers =
        [0, 1].map(|group| CallServer::start(["s-00000f01", "s-00000f02"][group], group as i64, 0.02, hold));
    let all: Vec<&CallServer> = servers.iter().collect();
    let journal = Journal::start("one", &[first_event(&all)]);
    let mut node = Node::new("n0", folder, &all);
    node.configure(&journal);
    node.start();
    let calls = Calls::default();
    let caller = connect("caller 1", &node, &calls);
    let began = now();
    caller.set_up(&id(7), "browse", 3.0, 0);
    until(began + hold + 15.0);
    record(format!("caller 1: its connection is {}", if caller.is_open() { "open" } else { "closed" }));
    expect_running(&mut node);
    let ended: Vec<(f64, String)> = servers.iter().flat_map(CallServer::ended).collect();
    let Some((ended_at, call)) = ended.first().cloned() else { unable("the call did not stand") };
    told_late(&calls, &BTreeSet::from([call]), ended_at)
}

/// Now and then an answer of a call server stops short, and soon after a call that was set up on the same connection
/// comes to its end.
fn stops_short(folder: &str, trouble: bool) -> Vec<String> {
    const ROUNDS: usize = 6;
    const ROUND: f64 = 10.0;
    let servers = [0, 1, 2].map(|group| {
        CallServer::start(["s-00000a11", "s-00000a12", "s-00000a13"][group], group as i64, 0.02, 300.0)
    });
    let all: Vec<&CallServer> = servers.iter().collect();
    let journal = Journal::start("one", &[first_event(&all)]);
    let mut node = Node::new("n0", folder, &all);
    node.configure(&journal);
    node.start();
    let calls = Calls::default();
    let callers = place_calls(&node, &calls, 0..30);
    servers.iter().for_each(|server| server.hold_for(2.17));
    let began = now();
    let mut round = 0;
    // Three short calls a second go on, and every few seconds one answer stops short.
    for number in 0..(ROUNDS as f64 * ROUND * 3.0) as u64 {
        until(began + number as f64 / 3.0);
        if trouble && round < ROUNDS && now() >= began + round as f64 * ROUND {
            servers[round % 3].stop_short_once();
            round += 1;
        }
        callers[number as usize % 2].set_up(
            &id(1000 + number),
            CLASSES[usize::from(number % 16 == 0)],
            3.0,
            number as i64 % 3,
        );
    }
    let last = now();
    until(last + END_TOLD + 1.0);
    expect_running(&mut node);
    let mut broken = Vec::new();
    let mut ends = 0;
    for server in &servers {
        for (ended_at, call) in server.ended() {
            let seen = seen(&calls, &call);
            // A call that never stood for its caller has no end to be told.
            let Some(stands) = seen.stands.filter(|_| seen.server == server.group && ended_at <= last) else {
                continue;
            };
            ends += 1;
            match seen.released.first() {
                Some((at, _)) if *at <= ended_at.max(stands) + END_TOLD + SLACK => {}
                Some((at, _)) => broken.push(format!(
                    "call {call}: released by {} at {ended_at:.3}, its caller told {:.3} s later",
                    server.name,
                    at - ended_at
                )),
                None => broken.push(format!(
                    "call {call}: released by {} at {ended_at:.3}, its caller not told until {:.3}",
                    server.name,
                    now()
                )),
            }
        }
    }
    say(format!("{round} answers stopped short; {ends} calls came to their end"));
    broken
}

/// The machine of a call server is lost for 5 s and returns cold; the access node is killed meanwhile and started
/// again after the list tells of the new process; callers name the calls of the earlier one.
fn named_after_loss(folder: &str, trouble: bool) -> Vec<String> {
    const LOST_FOR: f64 = 5.0;
    const NOTICE: f64 = 1.5;
    let servers = [0, 1, 2].map(|group| {
        CallServer::start(["s-00000a21", "s-00000a22", "s-00000a23"][group], group as i64, 0.02, 90.0)
    });
    let all: Vec<&CallServer> = servers.iter().collect();
    let journal = Journal::start("one", &[first_event(&all)]);
    let mut node = Node::new("n0", folder, &all);
    node.configure(&journal);
    node.start();
    let calls = Calls::default();
    let _callers = place_calls(&node, &calls, 0..18);
    let standing: Vec<(&CallServer, BTreeSet<String>)> =
        all.iter().map(|server| (*server, standing_at(server, &calls))).collect();
    let over = standing[1].1.clone();
    if over.is_empty() {
        unable("no call stands at the server");
    }
    let vanished_at = now();
    let mut since = 0;
    if trouble {
        servers[1].vanish();
    }
    until(vanished_at + 2.0);
    node.kill();
    until(vanished_at + LOST_FOR);
    if trouble {
        since = servers[1].return_as_new_process();
    }
    until(vanished_at + LOST_FOR + NOTICE);
    // Events are counted from 1 at every start of an access node, and the first holds the whole list as it is then.
    let list = [entry(&servers[0], "up", 0), entry(&servers[1], "up", since), entry(&servers[2], "up", 0)];
    journal.count_anew(&event(1, true, &list));
    until(vanished_at + 7.0);
    let _caller = start_again(&mut node, &journal, &calls, &standing);
    let named_at = now();
    until(named_at + 25.0);
    expect_running(&mut node);
    if trouble {
        // No access node could tell them before they named their calls to it: the time counts from there.
        return told_late(&calls, &over, named_at);
    }
    released_though_standing(&calls, &over)
}

/// Some answers carry a length that ends at a line of their description; the rest comes a moment later.
fn short_description(folder: &str, trouble: bool) -> Vec<String> {
    let servers = [0, 1, 2].map(|group| {
        CallServer::start(["s-00000a31", "s-00000a32", "s-00000a33"][group], group as i64, 0.02, 5.0)
    });
    servers.iter().for_each(|server| server.answers_in_two(if trouble { 10 } else { 0 }));
    let all: Vec<&CallServer> = servers.iter().collect();
    let journal = Journal::start("one", &[first_event(&all)]);
    let mut node = Node::new("n0", folder, &all);
    node.configure(&journal);
    node.start();
    let calls = Calls::default();
    let callers = [connect("caller 1", &node, &calls), connect("caller 2", &node, &calls)];
    let began = now();
    for number in 0..200_u64 {
        until(began + number as f64 / 8.0);
        callers[number as usize % 2].set_up(
            &id(number),
            CLASSES[usize::from(number % 16 == 0)],
            3.0,
            number as i64 % 3,
        );
    }
    thread::sleep(Duration::from_secs(4));
    expect_running(&mut node);
    let calls = calls.lock().expect("calls");
    let stood: Vec<_> = calls.iter().filter(|(_, seen)| seen.stands.is_some()).collect();
    say(format!("{} of {} calls were answered as served", stood.len(), calls.len()));
    let foreign = stood
        .iter()
        .filter(|(_, seen)| !servers.iter().any(|server| server.description() == seen.description));
    foreign
        .map(|(id, seen)| format!("call {id}: served with {:?}, which no call server made", seen.description))
        .collect()
}

/// Resting connections of callers are reset just after a set-up was sent on them; their callers send the set-up once
/// more, on a new connection.
fn set_up_sent_twice(folder: &str, trouble: bool) -> Vec<String> {
    const CROSSING: f64 = 0.02;
    const RELEASE: f64 = 0.3;
    let servers = [0, 1, 2].map(|group| {
        CallServer::start(["s-00000a41", "s-00000a42", "s-00000a43"][group], group as i64, 0.15, 3.0)
    });
    let all: Vec<&CallServer> = servers.iter().collect();
    let journal = Journal::start("one", &[first_event(&all)]);
    let mut node = Node::new("n0", folder, &all);
    node.configure(&journal);
    node.start();
    let calls = Calls::default();
    for number in 0..10_u64 {
        let Ok(mut resting) = TcpStream::connect(node.listen) else {
            unable("the access node takes no connection")
        };
        let test = request("OPTIONS", "ping", "00000000000000aa", &[], "");
        let call = id(number);
        let bytes = set_up(&call, "browse", 3.0, number as i64 % 3);
        let mut sent = resting.write_all(&test).is_ok();
        // At rest for a second. The answer to the test stays unread, so that the end of the connection is a reset.
        thread::sleep(Duration::from_secs(1));
        if trouble {
            record(format!("caller {number}: set-up {call} on a resting connection"));
            sent &= resting.write_all(&bytes).is_ok();
            until(now() + CROSSING);
            drop(resting);
            record(format!("caller {number}: the connection is reset"));
        }
        if !sent {
            unable("the access node closed a resting connection");
        }
        let caller = connect(&format!("caller {number}"), &node, &calls);
        caller.set_up(&call, "browse", 3.0, number as i64 % 3);
        thread::sleep(Duration::from_secs(1));
    }
    thread::sleep(Duration::from_secs(4));
    expect_running(&mut node);
    let given_up: Vec<(f64, String)> = servers.iter().flat_map(CallServer::given_up).collect();
    let mut set_ups: Vec<(f64, String)> = servers.iter().flat_map(CallServer::set_ups).collect();
    set_ups.sort_by(|one, other| one.0.total_cmp(&other.0));
    say(format!("{} set-ups reached the servers, {} were given up", set_ups.len(), given_up.len()));
    let mut broken = Vec::new();
    for (ended_at, call) in &given_up {
        let attempts: Vec<f64> = set_ups.iter().filter(|(_, id)| id == call).map(|(at, _)| *at).collect();
        for at in attempts.iter().skip(1).filter(|at| **at < ended_at + RELEASE - SLACK) {
            broken.push(format!("call {call}: given up at {ended_at:.3}, sent again at {at:.3}"));
        }
    }
    broken
}
