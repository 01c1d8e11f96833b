//! Checks the invariants over many seeds and in special cases.

mod common;

use common::*;
use lemoncleat_credit::*;

#[test]
fn keeps_invariants_over_many_seeds() {
    let seeds = if cfg!(debug_assertions) { 60 } else { 600 };
    let (mut admitted, mut refused, mut checks) = (0, 0, 0);
    for seed in 0..seeds {
        let config = SimulationConfig {
            nodes: 2 + seed as usize % 5,
            loss: if seed % 3 == 0 { 0.2 } else { 0.0 },
            duplication: if seed % 4 == 0 { 0.3 } else { 0.0 },
            skew: if seed % 2 == 0 { 60 * SECOND } else { 0 },
            ..SimulationConfig::default()
        };
        let sim = random_run(seed, config, 30 * SECOND);
        assert_eq!(sim.violation, None, "seed {seed}");
        admitted += sim.admitted();
        refused += sim.refused(RefusalReason::CreditLimitReached);
        checks += sim.checks;
    }
    println!(
        "{seeds} seeds: {admitted} calls admitted, {refused} refused for lack of funds, \
         invariants checked {checks} times"
    );
    assert!(admitted > 0 && refused > 0);
}

#[test]
fn serves_funded_calls_with_three_hundred_nodes() {
    let mut sim = Simulation::new(1, SimulationConfig { nodes: 300, ..SimulationConfig::default() });
    // A call of 2 seconds costs 14 units.
    sim.fund(1, 1400, 0);
    for call in 0..3000u64 {
        sim.call(call as Micros * 3 * MS, call, (call as usize * 7) % 300, VOICE, 2 * SECOND - 1);
    }
    sim.run(20 * SECOND);
    assert_eq!(sim.violation, None);
    sim.settle_all();
    assert_eq!(sim.violation, None);
    let served = sim.calls.values().filter(|call| call.established.is_some()).count();
    println!("300 nodes, funds for 100 calls: {served} served");
    assert!(served >= 98);
    assert!(sim.ledger.account(CUSTOMER).unwrap().granted == 0);
}

#[test]
fn ends_standing_calls_once_when_balance_is_used_up() {
    let mut sim = Simulation::new(2, SimulationConfig { nodes: 9, ..SimulationConfig::default() });
    sim.fund(1, 1200, 0);
    for call in 0..45 {
        sim.call(call as Micros * MS, call, call as usize % 9, VOICE, 600 * SECOND);
    }
    sim.input(0, 0, Input::SetUp { call: 999, customer: CUSTOMER, class: FREE });
    sim.run(30 * SECOND);
    sim.settle_all();
    assert_eq!(sim.violation, None);
    let ended = sim.calls.values().filter(|call| call.end_count == 1).count();
    assert_eq!(ended, sim.admitted());
    let account = sim.ledger.account(CUSTOMER).unwrap();
    println!("{ended} calls ended for lack of funds, {} units of 1200 spent", account.spent);
    assert!(account.spent >= 1176);
}

#[test]
fn ends_and_refuses_calls_when_customer_is_removed() {
    let mut sim = Simulation::new(3, SimulationConfig::default());
    sim.fund(1, 5000, 0);
    for call in 0..9 {
        sim.call(call as Micros * MS, call, call as usize % 3, VOICE, 600 * SECOND);
    }
    sim.run(5 * SECOND);
    sim.order(Command::CloseAccount { customer: CUSTOMER });
    sim.call(sim.now + SECOND, 100, 0, VOICE, SECOND);
    sim.run(12 * SECOND);
    assert!(sim
        .calls
        .values()
        .all(|call| call.end_count == 1 || call.refused == Some(RefusalReason::CustomerRemoved)));
    assert_eq!(sim.refused(RefusalReason::CustomerRemoved), 1);
    sim.settle_all();
    assert_eq!(sim.violation, None);
    assert!(sim.ledger.account(CUSTOMER).is_none());
}

#[test]
fn overspends_only_when_clock_lags_beyond_drift() {
    // Returns whether the holder spends from a grant that was written off, with its clock behind by this
    // much.
    let overspends = |behind: Micros| {
        let mut sim = Simulation::new(4, SimulationConfig { nodes: 1, ..SimulationConfig::default() });
        sim.fund(1, 4000, 0);
        sim.call(SECOND, 1, 0, VOICE, 100 * MS);
        sim.run(1500 * MS);
        // The node holds a grant with units left that it cannot settle.
        let local_time = sim.now;
        let mut holder = sim.members[0].holder.clone().unwrap();
        let held: Vec<u64> = holder.held_grants().map(|(grant, _, _)| grant).collect();
        assert!(!held.is_empty() || behind == 0);
        let mut out = Vec::new();
        holder.handle(local_time, Input::LedgerUnreachable, &mut out);
        out.clear();
        let then = local_time + 11 * SECOND - behind;
        holder.handle(then, Input::SetUp { call: 2, customer: CUSTOMER, class: VOICE }, &mut out);
        out.contains(&Output::Admit { call: 2 })
    };
    assert!(!overspends(SECOND / 2));
    assert!(overspends(11 * SECOND));
}

#[test]
fn limits_overdraft_while_ledger_is_unreachable() {
    let holder = HolderSettings { offline_policy: OfflinePolicy::AllowOverdraft(140), ..holder_settings() };
    let mut sim = Simulation::new(5, SimulationConfig { nodes: 1, holder, ..SimulationConfig::default() });
    sim.allowed_overdraft = 140;
    sim.fund(1, 50, 0);
    sim.at(SECOND, Event::Cut(0, true, true));
    for call in 0..50 {
        sim.call(2 * SECOND + call as Micros * 100 * MS, call, 0, VOICE, SECOND);
    }
    sim.at(20 * SECOND, Event::Cut(0, false, false));
    sim.run(30 * SECOND);
    assert_eq!(sim.violation, None);
    let account = sim.ledger.account(CUSTOMER).unwrap();
    assert!(account.owed > 0 && account.spent <= 190 && account.owed <= 140, "{account:?}");
}
