//! Callers that have gone: no attempt begins for one, and whatever was out for it is given up.

mod common;

use common::*;
use lemoncleat_access::Notice;
use lemoncleat_sip::{response, Method};

const ID: &str = "9b1f03aa5c7e2d41";
const NEXT: &str = "00000000000000a1";
const LEGS: &str = "dest:0;width:1;via:-1";

/// On two connections the withdrawal of a set-up may be read before the set-up.
#[test]
fn a_set_up_whose_withdrawal_was_read_first_is_never_begun() {
    for (method, same) in [(Method::Cancel, false), (Method::Cancel, true), (Method::Bye, false)] {
        let mut world = World::new();
        let caller = world.caller();
        let other = if same { caller } else { world.caller() };
        world.bytes(other, &about(method.clone(), ID));
        assert_eq!(codes(&world.read(other)), [481], "{method:?}");
        world.pass(50 * MS);
        world.bytes(caller, &invite(ID, "voice", LEGS));
        assert_eq!(codes(&world.read(caller)), [487], "{method:?}");
        // Nor is a copy of it.
        world.bytes(caller, &invite(ID, "voice", LEGS));
        assert_eq!(codes(&world.read(caller)), [487], "{method:?}");
        world.pass(2 * SECOND);
        assert!(world.invites().is_empty(), "{method:?}");
        let stats = world.node.stats();
        assert_eq!((stats.calls, stats.given_up, stats.attempts), (2, 2, 0), "{method:?}");
    }
}

#[test]
fn withdrawals_of_what_never_comes_are_forgotten_and_their_number_is_bounded() {
    let mut world = World::new();
    for call in 0..10_000 {
        let caller = world.caller();
        world.bytes(caller, &about(Method::Cancel, &format!("{:016x}", 0xabc000 + call)));
        world.read(caller);
    }
    world.notices.clear();
    world.pass(11 * SECOND);
    let most = world.notices.iter().filter_map(|notice| match notice {
        Notice::Tables { unknown, .. } => Some(*unknown),
        _ => None,
    });
    assert!(most.max().expect("a line on the tables") <= 4_096);
    world.pass(10 * SECOND);
    let Notice::Tables { unknown, .. } = world.tables() else { panic!("tables") };
    assert_eq!(unknown, 0);
}

#[test]
fn a_copy_of_a_set_up_that_was_withdrawn_is_not_begun() {
    let mut world = World::new();
    let (caller, other) = (world.caller(), world.caller());
    world.bytes(caller, &invite(ID, "voice", LEGS));
    world.invited();
    world.bytes(caller, &about(Method::Cancel, ID));
    world.bytes(other, &invite(ID, "voice", LEGS));
    assert_eq!(codes(&world.read(other)), [487]);
    assert!(world.invites().is_empty());
    assert_eq!(codes(&world.read(caller)), [200, 487]);
}

/// A release instead of a CANCEL: the INVITE is answered all the same.
#[test]
fn a_set_up_released_before_its_answer_is_answered_487() {
    let mut world = World::new();
    let (caller, other) = (world.caller(), world.caller());
    world.bytes(caller, &invite(ID, "voice", LEGS));
    let (_, conn, _) = world.invited();
    world.bytes(other, &bye(ID, 16));
    assert_eq!((codes(&world.read(caller)), codes(&world.read(other))), (vec![487], vec![200]));
    assert_eq!(methods(&world.read(conn)), [Method::Cancel]);
    world.pass(2 * SECOND);
    assert!(world.invites().is_empty());
}

/// Every place in which a set-up may wait when its caller withdraws it or closes: nothing is sent on
/// afterwards, the attempt that is out is given up, and the module's tables are empty.
#[test]
fn whatever_a_set_up_waits_for_nothing_is_sent_on_once_its_caller_has_gone() {
    type Wait = fn(&mut World, lemoncleat_access::ConnId);
    let waits: [(&str, Wait); 4] = [
        ("an answer", |_, _| {}),
        ("the release time", |world, conn| {
            let (_, to, asked) = world.invited();
            world.bytes(to, &refusal(&asked, 504, ""));
            world.read(conn);
        }),
        ("a connection", |world, _| {
            let (first, to, asked) = world.invited();
            // The next server's connections are gone and its machine does not answer.
            let next = if first == server_a() { server_b() } else { server_a() };
            world.up.remove(&next);
            for gone in world.to(next) {
                world.close(gone);
            }
            world.bytes(to, &refusal(&asked, 480, ""));
            assert!(world.dials.iter().any(|(_, address)| *address == next), "it is dialled");
        }),
        ("a server at all", |world, _| {
            let (_, to, asked) = world.invited();
            world.bytes(to, &refusal(&asked, 503, "all_trunks_busy"));
        }),
    ];
    for (place, wait) in waits {
        for how in ["CANCEL", "CANCEL elsewhere", "BYE", "close", "leaving"] {
            let mut world = World::new();
            let (caller, other) = (world.caller(), world.caller());
            world.bytes(caller, &invite_for(ID, "dear", LEGS, "5000"));
            wait(&mut world, caller);
            assert!(!world.answers.contains_key(ID), "it waits for {place}");
            match how {
                "CANCEL" => world.bytes(caller, &about(Method::Cancel, ID)),
                "CANCEL elsewhere" => world.bytes(other, &about(Method::Cancel, ID)),
                "BYE" => world.bytes(other, &bye(ID, 16)),
                "close" => world.close(caller),
                _ => world.input(lemoncleat_access::Input::Leaving(caller)),
            }
            world.invites();
            let before = world.node.stats().attempts;
            world.up.extend([server_a(), server_b()]);
            world.pass(6 * SECOND);
            assert!(world.invites().is_empty(), "{place}, {how}");
            let stats = world.node.stats();
            assert_eq!((stats.attempts, stats.given_up), (before, 1), "{place}, {how}");
            let Notice::Tables { open, standing, module, .. } = world.tables() else { panic!("tables") };
            assert_eq!((open, standing, module.calls, module.waiting), (0, 0, 0, 0), "{place}, {how}");
            let answers = world.answers.get(ID).map_or(0, Vec::len);
            assert_eq!(answers, usize::from(how != "close"), "{place}, {how}");
        }
    }
}

#[test]
fn a_withdrawal_twice_or_after_the_end_changes_nothing() {
    let mut world = World::new();
    let caller = world.caller();
    world.bytes(caller, &invite(ID, "voice", LEGS));
    let (_, conn, asked) = world.invited();
    let twice = [about(Method::Cancel, ID), about(Method::Cancel, ID)].concat();
    world.bytes(caller, &twice);
    assert_eq!(codes(&world.read(caller)), [200, 487, 481]);
    assert_eq!(methods(&world.read(conn)), [Method::Cancel]);
    world.bytes(conn, &refusal(&asked, 487, ""));
    world.bytes(caller, &about(Method::Ack, ID));
    // A call that stands and was acknowledged is ended by BYE, not by CANCEL (RFC 3261 section 9.1).
    world.standing_call(caller, NEXT);
    world.bytes(caller, &about(Method::Cancel, NEXT));
    assert_eq!(codes(&world.read(caller)), [481]);
    let Notice::Tables { open, standing, stats, .. } = world.tables() else { panic!("tables") };
    assert_eq!((open, standing, stats.given_up), (0, 1, 1));
}

/// A caller that stopped waiting has given its set-up up: in a turn that comes late nothing is begun for it.
#[test]
fn nothing_is_begun_in_a_turn_that_comes_after_the_deadline() {
    for late in [1_471, 1_499, 1_501, 3_000] {
        let mut world = World::new();
        let caller = world.caller();
        world.bytes(caller, &invite(ID, "dear", LEGS));
        let (_, conn, asked) = world.invited();
        // The release time is waited out, and the turn at its end comes late.
        world.bytes(conn, &refusal(&asked, 504, ""));
        world.now += late * MS;
        world.input(lemoncleat_access::Input::Timeout);
        assert!(world.invites().is_empty(), "{late} ms");
        world.pass(SECOND);
        assert!(world.invites().is_empty(), "{late} ms");
        assert_eq!(world.answers[ID].len(), 1, "{late} ms");
    }
}

/// An answer that is read when its caller has stopped waiting is nobody's: the call that stands there is
/// released.
#[test]
fn an_answer_read_after_the_deadline_is_released_and_never_passed_on() {
    for (late, code) in [(1_490, 200), (1_499, 504), (1_501, 504), (1_900, 504)] {
        let mut world = World::new();
        let caller = world.caller();
        world.bytes(caller, &invite(ID, "voice", LEGS));
        let (_, conn, asked) = world.invited();
        // A turn that comes late: what was read is taken in before timers are.
        world.now += late * MS;
        world.bytes(conn, &ok(&asked));
        world.input(lemoncleat_access::Input::Timeout);
        world.pass(SECOND);
        assert_eq!(world.answers[ID], [code], "{late} ms");
        let released = methods(&world.read(conn));
        let expected = if code == 200 { vec![Method::Ack] } else { vec![Method::Ack, Method::Bye] };
        assert_eq!(released, expected, "{late} ms");
        let Notice::Tables { open, standing, module, .. } = world.tables() else { panic!("tables") };
        assert_eq!((open, standing, module.calls), (0, usize::from(code == 200), 0));
    }
}

/// The end of an attempt's time and its answer in one turn, in both orders.
#[test]
fn an_answer_in_the_turn_in_which_its_attempt_ends_leads_to_one_final_answer() {
    for first in [true, false] {
        let mut world = World::new();
        let caller = world.caller();
        world.bytes(caller, &invite(ID, "voice", LEGS));
        let (_, conn, asked) = world.invited();
        // Its connection is sound, and the module's margin of 30 ms has begun.
        world.pass(10 * MS);
        world.bytes(conn, &response(180, "Ringing", &asked).finish(b""));
        world.now += 1_462 * MS;
        if first {
            world.bytes(conn, &ok(&asked));
            world.input(lemoncleat_access::Input::Timeout);
            assert_eq!(methods(&world.read(conn)), [Method::Ack]);
        } else {
            world.input(lemoncleat_access::Input::Timeout);
            world.bytes(conn, &ok(&asked));
            assert_eq!(methods(&world.read(conn)), [Method::Cancel, Method::Ack, Method::Bye]);
        }
        world.pass(SECOND);
        assert_eq!(world.answers[ID].len(), 1);
        assert_eq!(world.answers[ID] == [200], first);
    }
}

/// Its caller may have read the answer meanwhile: what stood is released toward it too, and once heard of no
/// more.
#[test]
fn a_withdrawal_that_crossed_the_answer_is_followed_by_a_release() {
    for same in [true, false] {
        let mut world = World::new();
        let caller = world.caller();
        let other = if same { caller } else { world.caller() };
        world.bytes(caller, &invite(ID, "voice", LEGS));
        let (_, conn, asked) = world.invited();
        world.bytes(conn, &ok(&asked));
        assert_eq!(codes(&world.read(caller)), [200]);
        world.read(conn);
        world.bytes(other, &about(Method::Cancel, ID));
        let (mut told, elsewhere) = (world.read(caller), world.read(other));
        assert_eq!(methods(&told), [Method::Bye]);
        assert_eq!(codes(if same { &told } else { &elsewhere }), [200]);
        assert_eq!(methods(&world.read(conn)), [Method::Bye]);
        told.retain(|message| message.method().is_some());
        world.bytes(caller, &response(200, "OK", &told[0]).finish(b""));
        let Notice::Tables { open, standing, releases, module, .. } = world.tables() else {
            panic!("tables")
        };
        assert_eq!((open, standing, releases, module.calls), (0, 0, 0, 0));
    }
}

/// A caller that closes as it is answered has gone: what came to stand all the same is released. Where it
/// acknowledged the answer, or closes later, its call belongs to no connection.
#[test]
fn a_close_that_crossed_the_answer_releases_the_call() {
    for (acked, after, stands) in [(false, 0, 0), (false, 300, 0), (true, 0, 1), (false, 2_000, 1)] {
        let mut world = World::new();
        let caller = world.caller();
        world.bytes(caller, &invite(ID, "voice", LEGS));
        let (_, conn, asked) = world.invited();
        world.bytes(conn, &ok(&asked));
        world.read(conn);
        world.pass(after * MS);
        // The end shows before the ACK ahead of it is read.
        world.input(lemoncleat_access::Input::Leaving(caller));
        if acked {
            world.bytes(caller, &about(Method::Ack, ID));
        }
        assert!(world.read(conn).is_empty(), "what was sent before the end is still to be read");
        world.close(caller);
        let released = methods(&world.read(conn));
        assert_eq!(released.len(), 1 - stands, "{acked}, {after} ms: {released:?}");
        let next = world.caller();
        world.bytes(next, &about(Method::Options, NEXT));
        assert_eq!(methods(&world.read(next)).len(), 1 - stands, "the caller may have read the answer");
        let Notice::Tables { standing, .. } = world.tables() else { panic!("tables") };
        assert_eq!(standing, stands, "{acked}, {after} ms");
        assert_eq!(world.answers[ID], [200]);
    }
}

/// A generator of numbers that are the same each time (SplitMix64).
struct Numbers(u64);

impl Numbers {
    fn below(&mut self, bound: usize) -> usize {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((mixed ^ (mixed >> 31)) % bound as u64) as usize
    }
}

/// Set-ups, answers, withdrawals, half-closes and closes in many orders: no set-up is answered twice, nothing
/// is sent on for a caller that has gone, and nothing is left in any table.
#[test]
fn in_whatever_order_callers_leave_nothing_is_begun_for_them_and_nothing_is_left() {
    for seed in 0..100 {
        let mut numbers = Numbers(seed);
        let mut world = World::new();
        let mut callers: Vec<_> = (0..3).map(|_| world.caller()).collect();
        let mut leaving = std::collections::BTreeSet::new();
        let mut sent: Vec<(String, lemoncleat_access::ConnId)> = Vec::new();
        let mut gone = std::collections::BTreeSet::new();
        let mut out = Vec::new();
        for _ in 0..120 {
            let caller = callers[numbers.below(callers.len())];
            match numbers.below(10) {
                0..3 => {
                    let id = format!("{:016x}", 0xabc000 + sent.len());
                    let class = ["voice", "dear"][numbers.below(2)];
                    if leaving.contains(&caller) {
                        gone.insert(id.clone());
                    }
                    sent.push((id.clone(), caller));
                    world.bytes(caller, &invite_for(&id, class, LEGS, "3000"));
                }
                3 | 4 if !out.is_empty() => {
                    let (conn, asked) = out.swap_remove(numbers.below(out.len()));
                    let answer = match numbers.below(5) {
                        0 | 1 => ok(&asked),
                        2 => refusal(&asked, 503, "all_trunks_busy"),
                        3 => refusal(&asked, 504, ""),
                        _ => refusal(&asked, 480, ""),
                    };
                    if !world.closed.contains(&conn) {
                        world.bytes(conn, &answer);
                    }
                }
                5 => {
                    // Also of set-ups that come only afterwards.
                    let id = format!("{:016x}", 0xabc000 + numbers.below(sent.len() + 2));
                    world.bytes(caller, &about(Method::Cancel, &id));
                    gone.insert(id);
                }
                6 => {
                    world.input(lemoncleat_access::Input::Leaving(caller));
                    leaving.insert(caller);
                    gone.extend(sent.iter().filter(|(_, conn)| *conn == caller).map(|(id, _)| id.clone()));
                }
                7 => {
                    world.close(caller);
                    gone.extend(sent.iter().filter(|(_, conn)| *conn == caller).map(|(id, _)| id.clone()));
                    callers.retain(|conn| *conn != caller);
                    callers.push(world.caller());
                }
                _ => world.pass(numbers.below(200) as i64 * MS),
            }
            // What a caller that left had out stays out until the server hears of it; new ones are its end.
            for (_, conn, asked) in world.invites() {
                let id = asked.call_id().expect("an id");
                assert!(!gone.contains(id), "seed {seed}: {id} sent on after its caller had gone");
                out.push((conn, asked));
            }
        }
        world.pass(10 * SECOND);
        let late = world.invites();
        assert!(
            late.iter().all(|(_, _, asked)| !gone.contains(asked.call_id().expect("an id"))),
            "seed {seed}"
        );
        for (id, codes) in &world.answers {
            assert_eq!(codes.len(), 1, "seed {seed}: {id} was answered {codes:?}");
        }
        assert_eq!(world.node.stats().overdue, 0, "seed {seed}");
        let Notice::Tables { open, module, .. } = world.tables() else { panic!("tables") };
        assert_eq!((open, module.calls, module.waiting), (0, 0, 0), "seed {seed}");
    }
}

/// A server that does not read, and ways in which an attempt there ends before its INVITE has begun to leave.
/// Where the server reads, the same leads to a CANCEL.
#[test]
fn a_set_up_that_waits_for_a_server_that_does_not_read_is_taken_back_when_its_attempt_ends() {
    type End = fn(&mut World, lemoncleat_access::ConnId, lemoncleat_access::ConnId);
    let ends: [(&str, End); 7] = [
        ("CANCEL", |world, caller, _| world.bytes(caller, &about(Method::Cancel, ID))),
        ("BYE", |world, caller, _| world.bytes(caller, &bye(ID, 16))),
        ("close", |world, caller, _| world.close(caller)),
        ("leaving", |world, caller, _| world.input(lemoncleat_access::Input::Leaving(caller))),
        ("the attempt's time is over", |world, _, _| world.pass(1_600 * MS)),
        ("what the server sends can't be read", |world, _, to| world.bytes(to, b"\0\r\n\r\n")),
        ("the server's release", |world, _, to| world.bytes(to, &bye(ID, 41))),
    ];
    for (how, end) in ends {
        for reads in [false, true] {
            let mut world = World::new();
            let caller = world.caller();
            // Both servers, as the module may choose either.
            let all = [world.to(server_a()), world.to(server_b())].concat();
            if !reads {
                world.stalled.extend(&all);
                world.up.clear();
            }
            world.bytes(caller, &invite(ID, "voice", LEGS));
            let to = *all.iter().find(|conn| world.has_written(**conn)).expect("an attempt");
            end(&mut world, caller, to);
            // Until its caller's time is over; further attempts meet the same.
            world.pass(3 * SECOND);
            let servers: Vec<_> = world.every.iter().filter(|(at, _)| *at != journal()).copied().collect();
            let written = servers.into_iter().flat_map(|(_, conn)| methods(&world.read(conn)));
            let written: Vec<_> = written.collect();
            let count = |method| written.iter().filter(|sent| **sent == method).count();
            if reads {
                assert!(count(Method::Invite) > 0, "{how}");
                let cancelled = !how.contains("server");
                assert!(!cancelled || count(Method::Cancel) > 0, "{how}: {written:?}");
            } else {
                assert_eq!(count(Method::Cancel), 0, "{how}: {written:?}");
                assert_eq!(count(Method::Invite), 0, "{how}: {written:?}");
            }
        }
    }
}
