//! The three laws over many seeds, and hard cases by themselves.

mod common;

use common::*;
use lemoncleat_credit::*;

#[test]
fn the_laws_hold_over_many_seeds() {
    let seeds = if cfg!(debug_assertions) { 60 } else { 600 };
    let (mut let_in, mut no_money, mut checks) = (0, 0, 0);
    for seed in 0..seeds {
        let plan = Plan {
            nodes: 2 + seed as usize % 5,
            loss: if seed % 3 == 0 { 0.2 } else { 0.0 },
            double: if seed % 4 == 0 { 0.3 } else { 0.0 },
            skew: if seed % 2 == 0 { 60 * SECOND } else { 0 },
            ..Plan::default()
        };
        let world = any(seed, plan, 30 * SECOND);
        assert_eq!(world.broken, None, "seed {seed}");
        let_in += world.admitted();
        no_money += world.refused(Why::CreditLimitReached);
        checks += world.checks;
    }
    println!(
        "{seeds} seeds: {let_in} calls let in, {no_money} refused for money, laws checked {checks} times"
    );
    assert!(let_in > 0 && no_money > 0);
}

#[test]
fn three_hundred_nodes_and_funds_for_a_hundred_calls() {
    let mut world = World::new(1, Plan { nodes: 300, ..Plan::default() });
    // A call of 2 seconds costs 14.
    world.fund(1, 1400, 0);
    for call in 0..3000u64 {
        world.call(call as Micros * 3 * MS, call, (call as usize * 7) % 300, VOICE, 2 * SECOND - 1);
    }
    world.run(20 * SECOND);
    assert_eq!(world.broken, None);
    world.rest();
    assert_eq!(world.broken, None);
    let served = world.calls.values().filter(|call| call.stood.is_some()).count();
    println!("300 nodes, funds for 100 calls: {served} served");
    assert!(served >= 98);
    assert!(world.ledger.account(CUSTOMER).unwrap().granted == 0);
}

#[test]
fn a_balance_ends_with_calls_standing_on_all_nodes() {
    let mut world = World::new(2, Plan { nodes: 9, ..Plan::default() });
    world.fund(1, 1200, 0);
    for call in 0..45 {
        world.call(call as Micros * MS, call, call as usize % 9, VOICE, 600 * SECOND);
    }
    world.input(0, 0, Input::SetUp { call: 999, customer: CUSTOMER, class: FREE });
    world.run(30 * SECOND);
    world.rest();
    assert_eq!(world.broken, None);
    let ended = world.calls.values().filter(|call| call.told_end == 1).count();
    assert_eq!(ended, world.admitted());
    let account = world.ledger.account(CUSTOMER).unwrap();
    println!("{ended} calls ended by money, {} units of 1200 spent", account.spent);
    assert!(account.spent >= 1176);
}

#[test]
fn a_customer_is_removed_with_calls_standing() {
    let mut world = World::new(3, Plan::default());
    world.fund(1, 5000, 0);
    for call in 0..9 {
        world.call(call as Micros * MS, call, call as usize % 3, VOICE, 600 * SECOND);
    }
    world.run(5 * SECOND);
    world.order(Command::Close { customer: CUSTOMER });
    world.call(world.now + SECOND, 100, 0, VOICE, SECOND);
    world.run(12 * SECOND);
    assert!(world.calls.values().all(|call| call.told_end == 1 || call.refused == Some(Why::Removed)));
    assert_eq!(world.refused(Why::Removed), 1);
    world.rest();
    assert_eq!(world.broken, None);
    assert!(world.ledger.account(CUSTOMER).is_none());
}

#[test]
fn a_clock_that_stands_still_beyond_the_drift_is_found() {
    // Whether the holder spends of a grant that was written off, with its clock behind by so much.
    let broken = |behind: Micros| {
        let mut world = World::new(4, Plan { nodes: 1, ..Plan::default() });
        world.fund(1, 4000, 0);
        world.call(SECOND, 1, 0, VOICE, 100 * MS);
        world.run(1500 * MS);
        // A grant with money left, that the node can't settle.
        let local = world.now;
        let mut holder = world.members[0].holder.clone().unwrap();
        let held: Vec<u64> = holder.books().map(|(grant, _, _)| grant).collect();
        assert!(!held.is_empty() || behind == 0);
        let mut out = Vec::new();
        holder.handle(local, Input::LedgerAway, &mut out);
        out.clear();
        let then = local + 11 * SECOND - behind;
        holder.handle(then, Input::SetUp { call: 2, customer: CUSTOMER, class: VOICE }, &mut out);
        out.contains(&Output::Admit { call: 2 })
    };
    assert!(!broken(SECOND / 2));
    assert!(broken(11 * SECOND));
}

#[test]
fn without_the_ledger_calls_go_on_to_a_stated_bound() {
    let holder = HolderSettings { away: Away::GoOn(140), ..holder_settings() };
    let mut world = World::new(5, Plan { nodes: 1, holder, ..Plan::default() });
    world.allowed = 140;
    world.fund(1, 50, 0);
    world.at(SECOND, Event::Cut(0, true, true));
    for call in 0..50 {
        world.call(2 * SECOND + call as Micros * 100 * MS, call, 0, VOICE, SECOND);
    }
    world.at(20 * SECOND, Event::Cut(0, false, false));
    world.run(30 * SECOND);
    assert_eq!(world.broken, None);
    let account = world.ledger.account(CUSTOMER).unwrap();
    assert!(account.owed > 0 && account.spent <= 190 && account.owed <= 140, "{account:?}");
}
