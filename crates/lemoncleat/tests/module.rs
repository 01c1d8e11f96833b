//! The decisions, one test for each failure that was found or feared.

mod common;

use common::{answered, call, member, sent, settings, Node, MS, S};
use lemoncleat::{
    Action, Availability, Call, CallId, Class, Controller, DedupGroup, Effect, Event, Member, MemberNews,
    Membership, Outcome, Reason, Report, ServerId, Settings,
};

#[test]
fn the_first_choice_takes_a_call_while_nothing_speaks_against_it() {
    let mut node = Node::new(settings(), 3);
    for (id, place) in [(1, 0), (2, 1), (3, 2)] {
        assert_eq!(sent(&node.call(id, 0, place)), Some(place as u32));
    }
}

#[test]
fn a_call_is_refused_at_once_where_no_server_can_take_it() {
    let mut empty = Node::new(settings(), 0);
    assert!(answered(&empty.call(1, 0, 0), 1));

    let mut limited = settings();
    limited.classes[0].allowed = Some(vec![7]);
    let mut skilled = Node::new(limited, 3);
    assert!(answered(&skilled.call(1, 0, 0), 1), "no listed pool has the skill");
    assert!(sent(&skilled.call(2, 1, 0)).is_some(), "the other class may go anywhere");
}

#[test]
fn a_call_out_of_attempts_is_answered_at_once() {
    let mut node = Node::new(Settings { max_attempts: 1, ..settings() }, 2);
    let server = sent(&node.call(1, 0, 0)).expect("a send");
    let actions = node.ended(1, 0, server, Outcome::Unreachable, Reason::None);
    assert!(answered(&actions, 1));
}

#[test]
fn a_refused_attempt_goes_to_another_server_at_once() {
    let mut node = Node::new(settings(), 2);
    assert_eq!(sent(&node.call(1, 0, 0)), Some(0));
    let full = Reason::ProcessorFull { wait: 3 * S };
    assert_eq!(sent(&node.ended(1, 0, 0, Outcome::Full, full)), Some(1));
    assert_eq!(sent(&node.call(2, 0, 0)), Some(1), "the told wait keeps later calls away as well");
}

#[test]
fn a_busy_number_ends_the_call() {
    let mut node = Node::new(settings(), 2);
    node.call(1, 0, 0);
    let actions = node.ended(1, 0, 0, Outcome::Error, Reason::LinesBusy);
    assert!(answered(&actions, 1));
    assert_eq!(sent(&actions), None);
}

#[test]
fn under_pressure_cheap_calls_go_first_and_dear_ones_pass() {
    let mut node = Node::new(settings(), 1);
    node.served(1, 5, 0, 20 * MS, 50 * MS);
    for id in 10..16 {
        node.call(id, 1, 0);
    }
    node.pass(200 * MS);
    for id in 10..16 {
        node.started(id, 0, 0, 420 * MS);
    }
    assert_eq!(sent(&node.call(20, 0, 0)), None, "a cheap call does not pay for its work");
    assert!(sent(&node.call(21, 1, 0)).is_some(), "a dear one does");
}

#[test]
fn a_wait_to_send_ends_with_refusal_before_the_aim_is_lost() {
    let mut node = Node::new(settings(), 1);
    node.call(1, 0, 0);
    let full = Reason::ProcessorFull { wait: 20 * S };
    node.ended(1, 0, 0, Outcome::Full, full);
    let actions = node.call(2, 0, 0);
    assert!(sent(&actions).is_none() && !answered(&actions, 2), "it waits at the node");
    assert!(answered(&node.pass(1_200 * MS), 2));
}

#[test]
fn a_hung_server_is_left_and_its_calls_are_saved() {
    let mut node = Node::new(settings(), 2);
    node.served(1, 3, 0, 20 * MS, 20 * MS);
    node.served(11, 3, 1, 20 * MS, 20 * MS);
    assert_eq!(sent(&node.call(20, 1, 0)), Some(0));
    let actions = node.pass(600 * MS);
    let cancel = Action::Cancel { call: CallId(20), attempt: 0 };
    assert!(actions.contains(&cancel), "noticed long before any time-out");
    node.ended(20, 0, 0, Outcome::Cancelled, Reason::None);
    assert_eq!(sent(&node.pass(290 * MS)), None, "the release is awaited");
    assert_eq!(sent(&node.pass(20 * MS)), Some(1));
    assert_eq!(sent(&node.call(21, 1, 0)), Some(1), "dear calls keep away from it");
}

#[test]
fn a_recovered_server_is_found_by_cheap_trials() {
    let mut node = Node::new(settings(), 1);
    node.call(1, 0, 0);
    node.pass(3 * S);
    node.ended(1, 0, 0, Outcome::TimedOut, Reason::None);
    let mut tried = None;
    for id in 10..200 {
        node.pass(100 * MS);
        if sent(&node.call(id, 0, 0)).is_some() {
            tried = Some(id);
            break;
        }
    }
    let id = tried.expect("a trial within 19 s");
    node.pass(20 * MS);
    node.started(id, 0, 0, 20 * MS);
    assert!(sent(&node.call(300, 1, 0)).is_some(), "one answer clears it");
}

#[test]
fn a_lost_set_up_does_not_shut_out_a_server_that_answers_later_ones() {
    let mut node = Node::new(Settings { may_cancel: false, ..settings() }, 1);
    node.served(1, 3, 0, 20 * MS, 20 * MS);
    node.call(10, 0, 0); // never answered
    node.pass(100 * MS);
    node.call(11, 0, 0);
    node.pass(20 * MS);
    node.started(11, 0, 0, 20 * MS);
    node.pass(S);
    assert_eq!(sent(&node.call(12, 1, 0)), Some(0));
}

#[test]
fn a_lost_set_up_is_sent_anew_to_the_server_that_answers_later_ones() {
    // Recorded day re29b41: such calls waited for their callers' patience to end, as no other server had room.
    let mut node = Node::new(settings(), 1);
    node.served(1, 3, 0, 20 * MS, 20 * MS);
    node.call(10, 0, 0); // never answered
    node.pass(100 * MS);
    node.call(11, 0, 0);
    node.pass(20 * MS);
    node.started(11, 0, 0, 20 * MS);
    let cancel = Action::Cancel { call: CallId(10), attempt: 0 };
    assert!(node.pass(200 * MS).contains(&cancel));
    node.ended(10, 0, 0, Outcome::Cancelled, Reason::None);
    assert_eq!(sent(&node.pass(290 * MS)), None, "the release is awaited");
    assert_eq!(sent(&node.pass(20 * MS)), Some(0));
}

#[test]
fn a_lost_set_up_everywhere_does_not_stop_the_node() {
    // Incident if5bc97: one lost set-up at each server, and nothing was sent for nine seconds.
    let mut node = Node::new(Settings { may_cancel: false, ..settings() }, 3);
    for place in 0..3 {
        node.call(place as u64 + 1, 0, place);
    }
    node.pass(S);
    assert!(sent(&node.call(10, 0, 0)).is_some());
}

#[test]
fn a_second_or_later_try_is_worth_less_under_pressure() {
    let mut node = Node::new(settings(), 1);
    node.served(1, 5, 0, 20 * MS, 50 * MS);
    for id in 10..16 {
        node.call(id, 1, 0);
    }
    node.pass(150 * MS);
    for id in 10..16 {
        node.started(id, 0, 0, 200 * MS);
    }
    let again = Call { patience: 7 * S, ..call(20, 0, 0) };
    assert!(answered(&node.handle(Event::Call(again)), 20), "two seconds are gone already");
    assert!(!answered(&node.call(21, 0, 0), 21));
}

#[test]
fn nothing_goes_to_a_draining_or_gone_server() {
    for state in [Availability::Draining, Availability::Gone] {
        let mut node = Node::new(settings(), 2);
        node.change(0, state, None);
        for id in 1..20 {
            assert_ne!(sent(&node.call(id, 0, 0)), Some(0));
        }
    }
    let mut node = Node::new(settings(), 2);
    node.handle(Event::Members(MemberNews::Complete(vec![member(1, Availability::Ready, None)])));
    assert_ne!(sent(&node.call(1, 0, 0)), Some(0), "missing from a complete list is gone");
    node.handle(Event::Members(MemberNews::Complete(Vec::new())));
    assert!(answered(&node.call(2, 0, 0), 2), "a list shrunk to nothing");
}

#[test]
fn servers_that_are_gone_are_forgotten_once_nothing_depends_on_them() {
    let mut node = Node::new(settings(), 2);
    for number in 2..200 {
        node.change(number - 1, Availability::Gone, None);
        node.change(number, Availability::Ready, None);
        node.pass(S);
    }
    assert!(node.controller.sizes().servers <= 14, "{:?}", node.controller.sizes());
    // One with a set-up out stays until that has ended.
    assert_eq!(sent(&node.call(1, 1, 199)), Some(199));
    node.change(199, Availability::Gone, None);
    node.now += 20 * S;
    node.change(200, Availability::Ready, None);
    assert!(node.controller.view(ServerId(199)).is_some());
    node.ended(1, 0, 199, Outcome::Reset, Reason::None);
    node.handle(Event::CallerGone(CallId(1)));
    node.change(201, Availability::Ready, None);
    assert!(node.controller.view(ServerId(199)).is_none());
    assert!(node.controller.view(ServerId(0)).is_some(), "it is listed");
}

#[test]
fn what_a_forgotten_server_could_do_is_known_of_its_successor() {
    let successor = |served: u64| {
        let mut node = Node::new(settings(), 1);
        node.served(1, served, 0, 20 * MS, 10 * MS);
        node.change(0, Availability::Gone, None);
        node.now += 30 * S;
        let (cold, place) = (Some(node.now), 0);
        let next = Member { place, ..member(1, Availability::Ready, cold) };
        node.handle(Event::Members(MemberNews::Changes(vec![next])));
        assert_eq!(node.controller.sizes().servers, 1, "its predecessor is forgotten");
        // How much a cold server is sent at most comes from what the place is known to do.
        let mut sends = 0;
        for id in 1_000..1_200 {
            let mut actions = node.call(id, 0, 0);
            actions.extend(node.pass(10 * MS));
            if sent(&actions).is_some() {
                sends += 1;
                node.pass(20 * MS);
                node.started(id, 0, 1, 20 * MS);
            }
            node.handle(Event::CallerGone(CallId(id)));
        }
        sends
    };
    let (little, much) = (successor(0), successor(400));
    assert!(much > 2 * little, "{little} set-ups where nothing is known, {much} after a busy predecessor");
}

#[test]
fn answers_without_a_wait_take_off_what_their_own_set_ups_added() {
    // Recorded day rbd0e3c: three nodes held waits of four times those met, and refused a tenth of the calls.
    let mut node = Node::new(Settings { balancers: 3, ..settings() }, 1);
    node.served(1, 3, 0, 20 * MS, 20 * MS);
    let mut most = 0;
    for id in 10..110 {
        assert_eq!(sent(&node.call(id, 0, 0)), Some(0), "call {id} pays");
        node.pass(20 * MS);
        node.started(id, 0, 0, 20 * MS);
        let held = node.controller.view(ServerId(0)).expect("it is listed").wait;
        most = most.max(held);
        node.pass(20 * MS);
    }
    // An own send adds half of three nodes' work, 50 to 100 ms here; two thirds of that or all is its own.
    assert!(most > 0 && most <= 60 * MS, "{most} us held where nobody ever waited");
}

#[test]
fn errors_that_a_server_answers_with_leave_no_wait_behind() {
    // Recorded day rbd0e3c: a seventh of the set-ups came from callers whose set-ups no server can use.
    let mut node = Node::new(Settings { balancers: 3, max_attempts: 1, ..settings() }, 1);
    node.served(1, 3, 0, 20 * MS, 20 * MS);
    let wait = |node: &Node| node.controller.view(ServerId(0)).expect("it is listed").wait;
    let before = wait(&node);
    assert_eq!(sent(&node.call(10, 1, 0)), Some(0));
    let out = wait(&node);
    node.ended(10, 0, 0, Outcome::Error, Reason::None);
    assert_eq!(
        (out - before) / MS,
        100,
        "half a pressed wait, as a tenth of a second of work is not known yet"
    );
    assert_eq!(wait(&node), before);
}

#[test]
fn a_drain_stops_further_attempts_and_calls_that_wait() {
    let mut node = Node::new(settings(), 1);
    node.call(1, 0, 0);
    node.change(0, Availability::Draining, None);
    let actions = node.ended(1, 0, 0, Outcome::Unreachable, Reason::None);
    assert!(answered(&actions, 1) && sent(&actions).is_none());
}

#[test]
fn a_cold_server_gets_a_smooth_share() {
    let cold = Settings { balancers: 5, ..settings() };
    let mut node = Node::new(cold, 1);
    let started = Some(node.now);
    node.change(0, Availability::Ready, started);
    let mut sends = 0;
    for id in 1..=300 {
        let actions = node.call(id, 1, 0);
        let late = node.pass(10 * MS);
        for action in actions.iter().chain(&late) {
            if let Action::Send { call, .. } = action {
                sends += 1;
                node.started(call.0, 0, 0, 10 * MS);
            }
        }
    }
    // Three seconds; a node that knows nothing yet takes ten a second for the whole of a warm server.
    assert!((1..=4).contains(&sends), "{sends} sends");
}

#[test]
fn a_restart_under_the_same_name_is_cold_again() {
    let mut node = Node::new(Settings { balancers: 5, ..settings() }, 1);
    assert_eq!(sent(&node.call(1, 1, 0)), Some(0));
    node.started(1, 0, 0, 10 * MS);
    let started = Some(node.now);
    node.change(0, Availability::Ready, started);
    let burst = (10..40).filter(|&id| sent(&node.call(id, 1, 0)).is_some()).count();
    assert!(burst <= 1, "{burst} sends at once");
}

#[test]
fn a_send_before_a_restart_takes_no_turn_after_it() {
    // The first turn at this place comes 0.14 s to 0.25 s after a start, as the one node judges it. The send
    // lies as long before it.
    let mut node = Node::new(settings(), 0);
    node.change(1, Availability::Ready, None);
    assert_eq!(sent(&node.call(1, 1, 1)), Some(1));
    node.started(1, 0, 1, 10 * MS);
    node.pass(200 * MS);
    node.change(1, Availability::Ready, Some(node.now));
    node.pass(200 * MS);
    assert_eq!(sent(&node.call(2, 1, 1)), Some(1));
}

#[test]
fn no_line_free_sends_elsewhere() {
    let mut node = Node::new(settings(), 2);
    let report = Report { free: Some(0.0), lines: Some(10.0), ..Report::default() };
    node.handle(Event::Probed { server: ServerId(0), outcome: Outcome::Ok, lag: 0, report });
    assert_eq!(sent(&node.call(1, 0, 0)), Some(1));
}

#[test]
fn a_mesh_takes_the_direct_route_then_a_tandem_and_never_its_own_exchange() {
    let mut node = Node::new(Settings { home: Some(2), ..settings() }, 4);
    assert_eq!(sent(&node.call(1, 0, 0)), Some(0));
    let none = Report { free: Some(0.0), lines: Some(5.0), ..Report::default() };
    node.handle(Event::Probed { server: ServerId(0), outcome: Outcome::Ok, lag: 0, report: none });
    let tandem = sent(&node.call(2, 0, 0)).expect("a two-leg route");
    assert!(tandem == 1 || tandem == 3);
    let transit = Call { in_transit: true, ..call(3, 0, 0) };
    let actions = node.handle(Event::Call(transit));
    assert!(answered(&actions, 3) && sent(&actions).is_none(), "in transit: the destination or back");
    let transit = Call { in_transit: true, ..call(4, 0, 1) };
    assert_eq!(sent(&node.handle(Event::Call(transit))), Some(1));
    for id in 10..20 {
        assert_ne!(sent(&node.call(id, 0, 2)), Some(2));
    }
}

#[test]
fn what_may_have_run_is_not_run_twice() {
    let with = |effect, dedup_group| {
        let base = settings();
        let class = Class { effect, dedup_group, dedup_window: 5 * S, ..base.classes[0].clone() };
        Node::new(Settings { classes: vec![class], ..base }, 2)
    };
    let mut fragile = with(Effect::Fragile, DedupGroup::All);
    let server = sent(&fragile.call(1, 0, 0)).expect("a send");
    let actions = fragile.ended(1, 0, server, Outcome::Reset, Reason::None);
    assert_eq!(actions.iter().find(|a| !matches!(a, Action::Timer { .. })), Some(&Action::Fail(CallId(1))));

    let mut unrun = with(Effect::Fragile, DedupGroup::All);
    unrun.call(1, 0, 0);
    assert_eq!(sent(&unrun.ended(1, 0, 0, Outcome::Unreachable, Reason::None)), Some(1), "it never ran");

    let mut cell = with(Effect::Dedup, DedupGroup::Cell);
    cell.call(1, 0, 0);
    cell.ended(1, 0, 0, Outcome::Reset, Reason::None);
    let later = cell.pass(2 * S);
    assert_ne!(sent(&later), Some(1), "only its own place discards a repeat");
    assert!(!later.iter().any(|action| matches!(action, Action::Refuse { .. })));
}

#[test]
fn a_failed_subscription_is_asked_again() {
    let settings = Settings { membership: Membership::Subscribe, ..settings() };
    let mut node = Node { controller: Controller::new(settings, 1).expect("usable"), now: 0 };
    let first = node.handle(Event::Members(MemberNews::Complete(Vec::new())));
    assert!(first.contains(&Action::Watch(true)));
    node.handle(Event::Members(MemberNews::Failed));
    node.now = 5 * S;
    assert!(node.handle(Event::Timer(9)).contains(&Action::Watch(true)));
}

#[test]
fn events_about_the_unknown_are_ignored() {
    let mut node = Node::new(settings(), 1);
    assert!(node.started(99, 0, 7, S).is_empty());
    assert!(node.ended(99, 3, 7, Outcome::TimedOut, Reason::None).is_empty());
    assert!(node.handle(Event::CallerGone(CallId(99))).is_empty());
    assert!(node.handle(Event::Note { from: 77, bytes: vec![255; 256] }).is_empty());
    assert!(node.handle(Event::Note { from: 0, bytes: Vec::new() }).is_empty());
    node.call(1, 0, 0);
    node.handle(Event::CallerGone(CallId(1)));
    assert_eq!(sent(&node.ended(1, 0, 0, Outcome::Reset, Reason::None)), None, "the call is over");
    let unclassed = Call { class: 9, ..call(2, 0, 0) };
    assert!(answered(&node.handle(Event::Call(unclassed)), 2));
}

#[test]
fn absurd_figures_leave_decisions_sane() {
    let mut node = Node::new(settings(), 1);
    for figure in [f64::NAN, f64::INFINITY, -5.0, 1e300] {
        let report = Report { queue: Some(figure), busy: Some(figure), ..Report::default() };
        node.handle(Event::Probed { server: ServerId(0), outcome: Outcome::Ok, lag: 0, report });
    }
    let report = Report { wait: Some(i64::MAX), ..Report::default() };
    node.handle(Event::Probed { server: ServerId(0), outcome: Outcome::Ok, lag: 0, report });
    node.now = 0; // a clock that went back
    node.call(1, 0, 0);
    node.started(1, 0, 0, i64::MAX);
    node.now = 400 * S;
    node.pass(20 * MS);
    assert!(sent(&node.call(2, 0, 0)).is_some(), "evidence fades, whatever it said");
    let wide = Call { width: f64::NAN, patience: i64::MAX, ..call(3, 0, 0) };
    node.handle(Event::Call(wide));
    let zero = Call { patience: 0, ..call(4, 0, 0) };
    assert!(answered(&node.handle(Event::Call(zero)), 4));
}

#[test]
fn unusable_settings_are_an_error() {
    assert!(Controller::new(Settings::default(), 0).is_err(), "no classes");
    let spoil: [fn(&mut Settings); 5] = [
        |settings| settings.balancers = 0,
        |settings| settings.classes[0].aim = 0,
        |settings| settings.classes[0].worth = f64::NAN,
        |settings| settings.release = -1,
        |settings| settings.cold_from = 0.0,
    ];
    for change in spoil {
        let mut bad = settings();
        change(&mut bad);
        assert!(Controller::new(bad, 0).is_err());
    }
    assert!(Controller::new(settings(), 0).is_ok());
}

#[test]
fn trials_do_not_jam_a_slow_server() {
    // A server that answers after three seconds: trials on the way must not pile up there.
    let mut node = Node::new(Settings { may_cancel: false, ..settings() }, 1);
    node.served(1, 5, 0, 20 * MS, 20 * MS);
    for id in 6..9 {
        node.call(id, 0, 0);
    }
    node.pass(250 * MS);
    let mut sends = 0;
    for id in 10..2_010 {
        let (now, later) = (node.call(id, 0, 0), node.pass(10 * MS));
        sends += now.iter().chain(&later).filter(|action| matches!(action, Action::Send { .. })).count();
    }
    assert!((1..=7).contains(&sends), "{sends} trials in twenty seconds without an answer");
}

#[test]
fn a_cold_server_is_paced_by_the_past_of_its_place() {
    let sends = |served: u64| {
        let mut node = Node::new(Settings { balancers: 4, ..settings() }, 1);
        node.served(1, served, 0, 10 * MS, 15 * MS);
        let renewed = member(7, Availability::Ready, Some(node.now));
        let renewed = lemoncleat::Member { place: 0, ..renewed };
        node.handle(Event::Members(MemberNews::Complete(vec![renewed])));
        let mut sends = 0;
        for id in 1_000..1_200 {
            let mut actions = node.call(id, 1, 0);
            actions.extend(node.pass(10 * MS));
            for action in actions {
                if let Action::Send { call, .. } = action {
                    sends += 1;
                    node.started(call.0, 0, 7, 10 * MS);
                }
            }
        }
        sends
    };
    let (idle, busy) = (sends(2), sends(300));
    assert!(busy > 3 * idle, "{busy} sends after a busy past, {idle} after an idle one");
}

#[test]
fn a_stale_report_does_not_overrule_own_answers() {
    let mut node = Node::new(settings(), 1);
    node.served(1, 5, 0, 20 * MS, 20 * MS);
    let report = Report { wait: Some(3 * S), ..Report::default() };
    node.handle(Event::Probed { server: ServerId(0), outcome: Outcome::Ok, lag: 5 * MS, report });
    assert!(sent(&node.call(10, 0, 0)).is_some(), "answers a moment old say otherwise");
    node.started(10, 0, 0, 20 * MS);
    node.pass(10 * S);
    node.handle(Event::Probed { server: ServerId(0), outcome: Outcome::Ok, lag: 5 * MS, report });
    assert!(sent(&node.call(11, 0, 0)).is_none(), "with no answers of its own the node believes it");
}

#[test]
fn a_failed_attempt_goes_elsewhere_even_against_the_first_choice() {
    let mut node = Node::new(settings(), 2);
    assert_eq!(sent(&node.call(1, 0, 0)), Some(0));
    assert_eq!(sent(&node.ended(1, 0, 0, Outcome::Error, Reason::None)), Some(1));
}

#[test]
fn a_pool_without_lines_is_tried_as_often_as_lines_come_free() {
    let tries = |balancers| {
        let mut node = one_of(balancers, 40.0);
        let (mut tries, mut dear) = (0, 0);
        for id in 10..210 {
            let class = usize::from(id % 10 == 0);
            let mut actions = node.call(id, class, 0);
            actions.extend(node.pass(50 * MS));
            for action in actions {
                if let Action::Send { call: CallId(call), .. } = action {
                    tries += 1;
                    dear += usize::from(call % 10 == 0);
                    node.ended(call, 0, 0, Outcome::Full, Reason::NoCircuit);
                    node.handle(Event::CallerGone(CallId(call)));
                }
            }
        }
        assert!(dear * 5 >= tries, "{dear} of {tries} tries by dear calls, a tenth of all: they come first");
        tries
    };
    // Ten seconds; forty lines of eight seconds come free five times a second.
    assert!((30..=80).contains(&tries(1)), "{} tries by a node alone", tries(1));
    assert!((5..=25).contains(&tries(70)), "{} tries by one of seventy, a second apart at most", tries(70));
}

#[test]
fn a_reported_queue_counts_where_no_own_answer_is_fresh() {
    let mut node = Node::new(settings(), 2);
    node.pass(10 * S);
    for queue in [f64::NAN, 40.0, 40.0] {
        let report = Report { queue: Some(queue), ..Report::default() };
        node.handle(Event::Probed { server: ServerId(0), outcome: Outcome::Ok, lag: 5 * MS, report });
    }
    assert_eq!(sent(&node.call(1, 0, 0)), Some(1), "forty set-ups wait at the first choice");
}

#[test]
fn a_small_pool_is_not_flooded_with_calls_that_waited() {
    let lengthy = |base: Settings| {
        let classes = base.classes.iter().map(|class| Class { length: 8 * S, ..class.clone() }).collect();
        Settings { classes, balancers: 10, ..base }
    };
    let mut node = Node::new(lengthy(settings()), 1);
    let report = Report { free: Some(30.0), lines: Some(30.0), ..Report::default() };
    node.handle(Event::Probed { server: ServerId(0), outcome: Outcome::Ok, lag: 0, report });
    let burst = (1..20).filter(|&id| sent(&node.call(id, 0, 0)).is_some()).count();
    assert!(burst <= 2, "{burst} sends at once by one of ten nodes to a pool that takes four a second");
}

#[test]
fn a_lone_server_and_node_without_reports_serve_on() {
    let mut node = Node::new(Settings { repeat: 0, ..settings() }, 1);
    for id in 1..200 {
        let actions = node.call(id, 0, 0);
        assert_eq!(sent(&actions), Some(0), "call {id}");
        node.pass(10 * MS);
        node.started(id, 0, 0, 10 * MS);
    }
}

#[test]
fn nodes_with_one_view_do_not_herd() {
    let mut chosen = [0; 4];
    for seed in 0..40 {
        let mut node = Node { controller: Controller::new(settings(), seed).expect("usable"), now: 0 };
        let members = (0..4).map(|number| member(number, Availability::Ready, None)).collect();
        node.handle(Event::Members(MemberNews::Complete(members)));
        let none = Report { free: Some(0.0), lines: Some(9.0), ..Report::default() };
        node.handle(Event::Probed { server: ServerId(0), outcome: Outcome::Ok, lag: 0, report: none });
        chosen[sent(&node.call(1, 0, 0)).expect("a second choice") as usize] += 1;
    }
    assert_eq!(chosen[0], 0);
    assert!(chosen[1..].iter().all(|&times| times >= 5), "all second choices are equal: {chosen:?}");
}

/// Each of three hundred nodes took a server it had never met for idle, and all of them tried it at once.
#[test]
fn a_server_of_which_little_is_known_is_taken_to_be_as_busy_as_the_others() {
    let mut chosen = [0; 3];
    for seed in 0..60 {
        let mut node = Node { controller: Controller::new(settings(), seed).expect("usable"), now: 0 };
        let members = (0..2).map(|number| member(number, Availability::Ready, None)).collect();
        node.handle(Event::Members(MemberNews::Complete(members)));
        for round in 0..6 {
            for server in 0..2 {
                // The way there takes 20 ms, the rest is wait.
                let lag = if round == 0 { 20 * MS } else { 140 * MS };
                node.served(10 * round + u64::from(server) + 1, 1, server, lag, 5 * MS);
            }
        }
        node.change(2, Availability::Ready, None);
        // Its own first choice is no server at all.
        chosen[sent(&node.call(1_000, 0, 9)).expect("a send") as usize] += 1;
    }
    assert!(chosen[2] < 45, "not all at the one that they know nothing of: {chosen:?}");
    assert!(chosen[2] > 0, "it is found all the same: {chosen:?}");
}

/// A node of a fleet of `balancers`, with one server that told its lines.
fn one_of(balancers: u32, lines: f64) -> Node {
    let base = settings();
    let classes = base.classes.iter().map(|class| Class { length: 8 * S, ..class.clone() }).collect();
    let mut node = Node::new(Settings { classes, balancers, may_cancel: false, ..base }, 1);
    told(&mut node, lines, lines);
    node
}

fn told(node: &mut Node, free: f64, lines: f64) {
    let report = Report { free: Some(free), lines: Some(lines), ..Report::default() };
    node.handle(Event::Probed { server: ServerId(0), outcome: Outcome::Ok, lag: 0, report });
}

/// Jams the server in the node's eyes: three answers after two seconds each.
fn jam(node: &mut Node, first: u64) {
    for id in first..first + 3 {
        if sent(&node.call(id, 1, 0)).is_some() {
            node.pass(2 * S);
            node.started(id, 0, 0, 2 * S);
        }
    }
}

#[test]
fn a_quiet_fleet_is_not_refused_for_its_size() {
    // One own send once counted as a send of every node: a second of queue among seventy nodes.
    for balancers in [1, 7, 70, 265] {
        let mut node = one_of(balancers, 300.0);
        for id in 1..=30 {
            assert_eq!(sent(&node.call(id, 0, 0)), Some(0), "call {id} at one of {balancers} nodes");
            node.pass(30 * MS);
            node.started(id, 0, 0, 30 * MS);
            node.pass(2 * S);
        }
    }
}

#[test]
fn a_jam_is_remembered_until_the_next_answer_is_due() {
    // An answer every two seconds: the estimate must not have drained between two of them.
    let mut node = one_of(70, 300.0);
    node.served(1, 4, 0, 30 * MS, 2 * S);
    for (id, free) in [(10, 100.0), (11, 90.0), (12, 80.0)] {
        node.call(id, 1, 0);
        node.pass(S);
        told(&mut node, free, 300.0);
        node.started(id, 0, 0, S);
    }
    node.pass(2 * S);
    assert_eq!(sent(&node.call(20, 0, 0)), None, "a second of wait is not gone after two");
}

#[test]
fn a_server_that_nobody_uses_is_found_again_by_its_free_lines() {
    let mut node = one_of(70, 300.0);
    jam(&mut node, 1);
    assert_eq!(sent(&node.call(10, 0, 0)), None, "jammed");
    for second in 0..6 {
        told(&mut node, (200 + 20 * second) as f64, 300.0);
        node.pass(S);
    }
    told(&mut node, 300.0, 300.0);
    assert_eq!(sent(&node.call(11, 0, 0)), Some(0), "its lines emptied: nothing can wait there");

    let mut used = one_of(70, 300.0);
    jam(&mut used, 1);
    for second in 0..6 {
        told(&mut used, (100 - second) as f64, 300.0);
        used.pass(S);
    }
    assert_eq!(sent(&used.call(11, 0, 0)), None, "lines in use show no relief");
}

#[test]
fn one_lost_set_up_is_no_proof_and_two_are() {
    // Incident i58a0dc: a fifth of the set-ups to idle servers was lost, and each cost its node ten seconds.
    let mut node = one_of(265, 300.0);
    let lose = |node: &mut Node, id: u64| {
        assert_eq!(sent(&node.call(id, 1, 0)), Some(0), "call {id}");
        node.pass(3 * S);
        node.ended(id, 0, 0, Outcome::TimedOut, Reason::None);
        node.handle(Event::CallerGone(CallId(id)));
    };
    lose(&mut node, 1);
    lose(&mut node, 2);
    assert_eq!(sent(&node.call(3, 1, 0)), None, "after the second, only at the pace of all nodes' trials");
    node.handle(Event::CallerGone(CallId(3)));
    // Told lines may be wrong: a pool said to have four would be tried once in an hour.
    told(&mut node, 2.0, 4.0);
    node.pass(20 * S);
    assert_eq!(sent(&node.call(4, 1, 0)), Some(0), "never for good");
}

#[test]
fn the_trials_of_all_nodes_leave_a_silent_server_room() {
    for balancers in [1, 7, 70, 265] {
        let mut node = one_of(balancers, 300.0);
        told(&mut node, 50.0, 300.0);
        node.pass(S);
        told(&mut node, 50.0, 300.0);
        node.call(1, 0, 0);
        node.pass(3 * S);
        node.ended(1, 0, 0, Outcome::TimedOut, Reason::None);
        let mut sends = 0;
        for id in 10..6_010 {
            let (now, later) = (node.call(id, 0, 0), node.pass(30 * MS));
            sends += now.iter().chain(&later).filter(|action| matches!(action, Action::Send { .. })).count();
        }
        // Three minutes; the lines allow 37 calls a second, which the fleet's trials must not take up.
        let fleet = sends as f64 * f64::from(balancers) / 180.0;
        assert!(fleet <= 0.25 * 300.0 / 8.0, "{fleet} trials a second by {balancers} nodes");
        assert!(sends > 0, "it is tried at all by one of {balancers} nodes");
    }
}

/// Lets the node stand still, then gives it `events` at one moment and the timer it had set.
fn stall(node: &mut Node, span: i64, events: Vec<Event>) -> Vec<Action> {
    node.now += span;
    let mut actions: Vec<Action> = events.into_iter().flat_map(|event| node.handle(event)).collect();
    actions.extend(node.handle(Event::Timer(1)));
    actions
}

fn answer(id: u64, server: u32, lag: i64) -> Event {
    Event::Started { call: CallId(id), attempt: 0, server: ServerId(server), lag }
}

#[test]
fn a_stall_of_the_node_blames_no_server() {
    let mut node = Node::new(settings(), 1);
    node.served(1, 5, 0, 20 * MS, 20 * MS);
    assert_eq!(sent(&node.call(10, 0, 0)), Some(0));
    let actions = stall(&mut node, 2 * S, vec![answer(10, 0, 2 * S)]);
    assert!(!actions.iter().any(|action| matches!(action, Action::Log(_))), "nothing to tell of the server");
    node.pass(10 * MS);
    assert_eq!(sent(&node.call(11, 0, 0)), Some(0), "the lag was the node's own");
}

#[test]
fn a_stall_withdraws_nothing_wholesale() {
    let mut node = Node::new(settings(), 2);
    node.served(1, 5, 0, 20 * MS, 20 * MS);
    node.served(11, 5, 1, 20 * MS, 20 * MS);
    let out: Vec<_> = (20..26).filter_map(|id| sent(&node.call(id, 1, 0)).map(|to| (id, to))).collect();
    assert!(out.len() > 1, "some set-ups are out");
    node.now += 1_500 * MS;
    let tick = node.handle(Event::Timer(1));
    assert!(
        !tick.iter().any(|action| matches!(action, Action::Cancel { .. })),
        "answers may lie behind the tick"
    );
    for (id, to) in out {
        node.handle(answer(id, to, 1_500 * MS));
    }
    let later = node.pass(50 * MS);
    assert!(!later.iter().any(|action| matches!(action, Action::Cancel { .. })));
}

#[test]
fn calls_found_after_a_stall_wait_for_the_news_and_go_out_spread() {
    let mut node = Node::new(Settings { balancers: 70, ..settings() }, 2);
    node.served(1, 5, 0, 20 * MS, 200 * MS);
    let to = sent(&node.call(10, 0, 0)).expect("a send");
    node.now += 2 * S;
    let mut early = Vec::new();
    for id in 20..40 {
        early.extend(node.call(id, 0, 0));
    }
    assert_eq!(sent(&early), None, "the list may have changed meanwhile");
    let news = vec![member(0, Availability::Draining, None)];
    node.handle(Event::Members(MemberNews::Changes(news)));
    node.handle(answer(10, to, 2 * S));
    node.handle(Event::Timer(1));
    let sends: Vec<_> = node
        .pass(20 * MS)
        .into_iter()
        .filter_map(|action| match action {
            Action::Send { server, .. } => Some(server.0),
            _ => None,
        })
        .collect();
    assert!(sends.iter().all(|&server| server == 1), "the drain is heard first: {sends:?}");
    assert!((1..=5).contains(&sends.len()), "no burst of what was held: {sends:?}");
}

#[test]
fn a_node_that_stalls_answers_early_enough_for_the_next_stall() {
    let mut node = Node::new(settings(), 1);
    node.served(1, 3, 0, 20 * MS, 20 * MS);
    node.call(10, 0, 0);
    stall(&mut node, 1_200 * MS, vec![answer(10, 0, 1_200 * MS)]);
    node.pass(20 * MS);
    let actions = node.call(11, 0, 0);
    let timeout = actions.iter().find_map(|action| match action {
        Action::Send { timeout, .. } => Some(*timeout),
        _ => None,
    });
    let timeout = timeout.expect("a send");
    assert!(timeout > 0 && timeout <= 1_820 * MS, "{timeout}: the caller waits three seconds");
    assert!(timeout >= 1_500 * MS, "not before the aim is over");

    // A call that waits at the node is answered a stall before its caller leaves.
    let full = Reason::ProcessorFull { wait: 20 * S };
    node.ended(11, 0, 0, Outcome::Full, full);
    let short = Call { patience: 1_600 * MS, ..call(12, 0, 0) };
    node.handle(Event::Call(short));
    assert!(answered(&node.pass(450 * MS), 12));
}

/// A node with six servers, two to each zone; the first four of one kind.
fn grouped() -> Node {
    let mut node = Node::new(Settings { may_cancel: false, ..settings() }, 0);
    let members = (0..6)
        .map(|number| lemoncleat::Member {
            zone: number / 2,
            kind: number / 4,
            ..member(number, Availability::Ready, None)
        })
        .collect();
    node.handle(Event::Members(MemberNews::Complete(members)));
    node
}

fn silence(node: &mut Node, first: u64, places: &[i64]) {
    for (id, &place) in (first..).zip(places) {
        assert_eq!(sent(&node.call(id, 0, place)), Some(place as u32));
    }
    node.pass(3 * S);
    for (id, &place) in (first..).zip(places) {
        node.handle(Event::Ended {
            call: CallId(id),
            attempt: 0,
            server: ServerId(place as u32),
            outcome: Outcome::TimedOut,
            lag: 3 * S,
            closed: true,
            reason: Reason::None,
            report: Report::default(),
        });
    }
    node.pass(20 * MS);
}

#[test]
fn silence_spreading_in_a_group_speaks_against_its_rest_for_a_while() {
    let mut node = grouped();
    silence(&mut node, 1, &[0, 1, 2]); // all of zone 0, half of zone 1, three of the four of kind 0
    let elsewhere = sent(&node.call(20, 0, 3)).expect("a send");
    assert!(elsewhere >= 4, "the fourth of the kind is doubted, the other kind is not: {elsewhere}");
    node.pass(12 * S);
    assert_eq!(sent(&node.call(21, 0, 3)), Some(3), "never for good");
}

#[test]
fn a_silent_server_alone_or_all_servers_together_are_no_group() {
    let mut one = grouped();
    silence(&mut one, 1, &[0]);
    assert_eq!(sent(&one.call(20, 0, 1)), Some(1), "one is no pattern");

    let mut same = Node::new(Settings { may_cancel: false, ..settings() }, 4);
    silence(&mut same, 1, &[0, 1]);
    assert_eq!(sent(&same.call(20, 0, 2)), Some(2), "all servers share zone and kind: it says nothing");
}

#[test]
fn a_server_whose_zone_or_kind_changes_is_taken_up() {
    let mut node = grouped();
    silence(&mut node, 1, &[0, 1, 2]);
    let moved = lemoncleat::Member { zone: 99, kind: 77, ..member(3, Availability::Ready, None) };
    node.handle(Event::Members(MemberNews::Changes(vec![moved])));
    node.pass(20 * MS);
    assert_eq!(sent(&node.call(20, 0, 3)), Some(3), "it shares nothing with the silent ones any more");
}

#[test]
fn an_outcome_for_a_withdrawn_attempt_is_taken_in_any_order() {
    let mut node = Node::new(settings(), 2);
    node.served(1, 3, 0, 20 * MS, 20 * MS);
    node.served(11, 3, 1, 20 * MS, 20 * MS);
    assert_eq!(sent(&node.call(20, 1, 0)), Some(0));
    let cancel = Action::Cancel { call: CallId(20), attempt: 0 };
    assert!(node.pass(600 * MS).contains(&cancel));
    // The answer was on its way already.
    let actions = node.started(20, 0, 0, 600 * MS);
    assert!(sent(&actions).is_none() && !answered(&actions, 20));
    assert!(node.ended(20, 0, 0, Outcome::Cancelled, Reason::None).is_empty(), "it is over");
    assert!(!answered(&node.pass(S), 20));
}

/// Where times are short, the way to another zone is a good part of a pressed wait: it must not count as a queue.
#[test]
fn the_way_to_a_far_server_is_no_wait() {
    let mut node = Node::new(Settings { repeat: 100 * MS, ..settings() }, 1);
    node.served(1, 5, 0, 5 * MS, 20 * MS);
    let far = Member { zone: 1, ..member(1, Availability::Ready, None) };
    node.handle(Event::Members(MemberNews::Complete(vec![far])));
    for id in 10..40 {
        assert_eq!(sent(&node.call(id, 0, 1)), Some(1), "call {id}");
        node.pass(45 * MS);
        node.started(id, 0, 1, 45 * MS);
        node.pass(20 * MS);
    }
}
