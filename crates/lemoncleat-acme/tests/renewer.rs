//! Renewals against the test authority under a virtual clock. Failure cases are checked by the requests that
//! the authority received and by the certificate presented at every second.

mod common;

use common::{account, authority, authority_settings, settings, Node, Serve, Storage, Unreachable, START};
use lemoncleat_acme::{ChallengeKind, KeyKind, RenewerNotice, RenewerOutput};
use lemoncleat_authority::{Authority, AuthoritySettings, Faults, Stage, Wrong};
use proptest::prelude::*;

/// Runs one node until `to`; returns for how many seconds after the first certificate none was presented.
fn run(node: &mut Node, storage: &mut Storage, transport: &mut dyn Serve, from: i64, to: i64) -> i64 {
    let mut seconds_without = 0;
    for now in from..to {
        node.second(now, storage, transport);
        seconds_without += i64::from(node.presented.is_none() && !storage.certificates.is_empty());
    }
    seconds_without
}

#[test]
fn renewals_leave_no_second_without_certificate() {
    for (kind, bad_nonces, processing) in
        [(ChallengeKind::Http01, 0.0, 0), (ChallengeKind::TlsAlpn01, 0.3, 0), (ChallengeKind::Http01, 0.3, 3)]
    {
        let (mut authority, mut storage, account) = (authority(), Storage::default(), account());
        authority.faults = Faults { bad_nonces, processing, retry_after: Some(2), ..Faults::default() };
        let mut settings = settings(1);
        settings.challenge = kind;
        let mut node = Node::start(0, settings, &account, &storage);
        let seconds_without = run(&mut node, &mut storage, &mut authority, START, START + 3_600);
        assert_eq!(seconds_without, 0, "a certificate is presented without interruption");
        assert!((8..=11).contains(&authority.issued().len()), "{} in an hour", authority.issued().len());
        assert_eq!(authority.complaints(), [""; 0]);
        let (placed, issued) = (authority.orders_placed(), authority.issued().len());
        assert!(placed <= issued + 1, "{placed} orders for {issued} certificates");
        assert!(storage.certificates.len() <= 5, "certificates that expired long ago are dropped");
    }
}

#[test]
fn renewal_succeeds_when_authority_returns_shortly_before_expiry() {
    let (mut authority, mut storage, account) = (authority(), Storage::default(), account());
    let mut node = Node::start(0, settings(1), &account, &storage);
    // The certificate is valid from START to START + 600; renewal starts at about START + 400.
    let mut transport = Unreachable(&mut authority, START + 300, START + 590);
    assert_eq!(run(&mut node, &mut storage, &mut transport, START, START + 900), 0);
    assert_eq!(authority.issued().len(), 2);
    let failed = |(_, notice): &&(i64, RenewerNotice)| matches!(notice, RenewerNotice::TryFailed { .. });
    let tries = node.notices.iter().filter(failed).count();
    assert!((5..60).contains(&tries), "{tries} attempts while the authority was unreachable");
}

#[test]
fn nothing_is_presented_and_notice_sent_when_authority_stays_unreachable() {
    let (mut authority, mut storage, account) = (authority(), Storage::default(), account());
    let mut node = Node::start(0, settings(1), &account, &storage);
    let mut transport = Unreachable(&mut authority, START + 300, START + 700);
    let seconds_without = run(&mut node, &mut storage, &mut transport, START, START + 900);
    assert!(
        (95..=125).contains(&seconds_without),
        "no certificate for {seconds_without} s, expected the time from expiry to the authority's return"
    );
    assert!(node.notices.iter().any(|(at, notice)| {
        *notice == RenewerNotice::NothingValid && (START + 599..START + 605).contains(at)
    }));
}

#[test]
fn recovers_from_refusal_at_any_step() {
    for stage in Stage::ALL {
        for (status, kind) in [(403, "unauthorized"), (500, "serverInternal"), (429, "rateLimited")] {
            let (mut authority, mut storage, account) = (authority(), Storage::default(), account());
            authority.faults.refuse = vec![(stage, status, kind, 2)];
            authority.faults.retry_after = Some(7);
            authority.faults.processing = 1;
            let mut node = Node::start(0, settings(1), &account, &storage);
            run(&mut node, &mut storage, &mut authority, START, START + 120);
            assert_eq!(storage.certificates.len(), 1, "{stage:?} {kind}");
            let failures = node.notices.iter().filter(|(_, n)| matches!(n, RenewerNotice::TryFailed { .. }));
            let messages: Vec<String> = failures.map(|(_, notice)| format!("{notice:?}")).collect();
            assert!(
                messages.iter().all(|text| text.contains("refused by the script")),
                "{stage:?}: {messages:?}"
            );
            assert!(!messages.is_empty(), "{stage:?} {kind}: the failure is reported");
            let reached = if stage as usize > Stage::NewOrder as usize { 3 } else { 1 };
            let most = if status == 403 { reached } else { 1 };
            assert!(
                authority.orders_placed() <= most,
                "{stage:?} {kind}: {} orders",
                authority.orders_placed()
            );
            assert_eq!(authority.complaints(), [""; 0], "{stage:?} {kind}");
        }
    }
}

#[test]
fn next_order_succeeds_after_failed_validation() {
    let (mut authority, mut storage, account) = (authority(), Storage::default(), account());
    authority.faults.failing_validations = 1;
    let mut node = Node::start(0, settings(1), &account, &storage);
    run(&mut node, &mut storage, &mut authority, START, START + 60);
    assert_eq!((authority.orders_placed(), storage.certificates.len()), (2, 1));
    assert!(node.notices.iter().any(|(_, n)| format!("{n:?}").contains("failed by the script")));
}

#[test]
fn resumes_stored_order_when_killed_between_any_two_steps() {
    let mut whole = false;
    for cut in 1..60 {
        let (mut authority, mut storage, account) = (authority(), Storage::default(), account());
        authority.faults.processing = 2;
        let mut first = Node::start(0, settings(1), &account, &storage);
        let mut now = START;
        'life: while now < START + 60 {
            first.input(now, lemoncleat_acme::RenewerInput::Tick);
            loop {
                if first.steps == cut {
                    break 'life;
                }
                if !first.step(now, &mut storage, &mut authority) {
                    break;
                }
            }
            now += 1;
        }
        whole |= storage.certificates.len() == 1;
        let stored = storage.order.as_ref().is_some_and(|order| order.order.is_some());
        let placed = authority.orders_placed();
        // The kernel releases the lock of a killed process; its challenge responses are lost too.
        storage.locked = None;
        let mut second = Node::start(1, settings(1), &account, &storage);
        run(&mut second, &mut storage, &mut authority, now, now + 100);
        assert_eq!(storage.certificates.len(), 1, "cut after {cut}");
        let expected = if stored || placed == 0 || storage.next > 0 && whole { 1 } else { 2 };
        assert!(
            authority.orders_placed() <= expected.max(1),
            "cut after {cut}: {} orders, stored {stored}",
            authority.orders_placed()
        );
        assert_eq!(authority.complaints(), [""; 0]);
    }
    assert!(whole, "some cuts come after the order is complete");
}

#[test]
fn nodes_sharing_storage_place_one_order_per_renewal() {
    let (mut authority, mut storage, account) = (authority(), Storage::default(), account());
    let mut nodes: Vec<Node> =
        (0..5).map(|number| Node::start(number, settings(number as u64), &account, &storage)).collect();
    for now in START..START + 3_600 {
        for node in &mut nodes {
            node.second(now, &mut storage, &mut authority);
        }
    }
    assert!(authority.orders_placed() <= 12, "{} orders in an hour for one name", authority.orders_placed());
    let newest = storage.certificates.last().map(|held| held.id.clone());
    assert!(nodes.iter().all(|node| node.presented == newest), "all present the newest");
}

#[test]
fn wrong_certificate_is_rejected_and_old_one_kept() {
    for (wrong, expected_text) in [
        (Wrong::Key, "another key"),
        (Wrong::Names, "lacks the names"),
        (Wrong::Expired, "the certificate expired"),
        (Wrong::Chain, "the chain is broken"),
    ] {
        let (mut authority, mut storage, account) = (authority(), Storage::default(), account());
        let mut node = Node::start(0, settings(1), &account, &storage);
        run(&mut node, &mut storage, &mut authority, START, START + 10);
        authority.faults.wrong = vec![wrong];
        let seconds_without = run(&mut node, &mut storage, &mut authority, START + 10, START + 600);
        assert_eq!(seconds_without, 0, "{wrong:?}");
        assert!(
            node.notices.iter().any(|(_, n)| format!("{n:?}").contains(expected_text)),
            "{wrong:?}: {:?}",
            node.notices
        );
        assert_eq!(storage.certificates.len(), 2, "{wrong:?}: the next attempt succeeded");
    }
}

#[test]
fn old_certificate_is_presented_while_new_one_is_not_yet_valid() {
    let (mut authority, mut storage, account) = (authority(), Storage::default(), account());
    let mut node = Node::start(0, settings(1), &account, &storage);
    run(&mut node, &mut storage, &mut authority, START, START + 10);
    let first = node.presented.clone();
    authority.faults.wrong = vec![Wrong::NotYet; 200];
    run(&mut node, &mut storage, &mut authority, START + 10, START + 595);
    assert!(storage.certificates.len() > 1);
    assert_eq!(node.presented, first, "the certificate that is valid now is presented");
    // All further certificates are not yet valid: none is presented after the first expires, and back-off
    // doubles.
    run(&mut node, &mut storage, &mut authority, START + 600, START + 1_200);
    assert_eq!(node.presented, None);
    let placed = authority.orders_placed();
    assert!((4..=30).contains(&placed), "{placed} orders in twenty minutes");
    assert!(node.notices.iter().any(|(_, n)| format!("{n:?}").contains("is not valid before")));
}

#[test]
fn tolerates_authority_clock_skew_within_backdating() {
    for ahead in [-50, 50] {
        let settings_of = AuthoritySettings { backdate: 60, ..authority_settings() };
        let mut authority = Authority::new(settings_of, START).expect("an authority");
        authority.faults.ahead = ahead;
        let (mut storage, account) = (Storage::default(), account());
        let mut node = Node::start(0, settings(1), &account, &storage);
        assert_eq!(run(&mut node, &mut storage, &mut authority, START, START + 3_000), 0, "ahead {ahead}");
    }
}

#[test]
fn clock_jumps_neither_present_expired_certificate_nor_stop_renewal() {
    let (mut authority, mut storage, account) = (authority(), Storage::default(), account());
    let mut node = Node::start(0, settings(1), &account, &storage);
    run(&mut node, &mut storage, &mut authority, START, START + 100);
    // The clock jumps ahead by a day: the old certificate has expired and a new one is ordered at once.
    let day = 86_400;
    run(&mut node, &mut storage, &mut authority, START + day, START + day + 10);
    assert_eq!(storage.certificates.len(), 2);
    let ahead = node.presented.clone();
    assert!(ahead.is_some());
    // The clock jumps back: the first certificate is valid again and presented (checked in `second`).
    run(&mut node, &mut storage, &mut authority, START + 110, START + 120);
    assert!(node.presented.is_some() && node.presented != ahead);
    // When it expires the other is not yet valid: a third is ordered instead of waiting for a day.
    assert!(run(&mut node, &mut storage, &mut authority, START + 120, START + 700) < 10);
    let placed = authority.orders_placed();
    assert!((3..=5).contains(&placed), "{placed} orders");
    // While the authority is unreachable, an attempt fails at a time that lies ahead once the clock is set
    // back.
    let mut away = Unreachable(&mut authority, START + day, START + 2 * day);
    run(&mut node, &mut storage, &mut away, START + day + 1_000, START + day + 1_010);
    let placed = authority.orders_placed();
    run(&mut node, &mut storage, &mut authority, START + 700, START + 1_500);
    assert!(
        authority.orders_placed() > placed,
        "back-off from the clock's earlier setting does not delay the renewal"
    );
}

#[test]
fn rate_limit_is_honoured() {
    let (mut authority, mut storage, account) = (authority(), Storage::default(), account());
    authority.faults.orders_within = Some((1, 300));
    let mut node = Node::start(0, settings(1), &account, &storage);
    run(&mut node, &mut storage, &mut authority, START, START + 10);
    // The operator requests another: it is refused with Retry-After, and not attempted again before that.
    node.input(START + 10, lemoncleat_acme::RenewerInput::RenewNow);
    run(&mut node, &mut storage, &mut authority, START + 10, START + 299);
    let orders = authority.requests().iter().filter(|(_, path)| path.contains("new-order")).count();
    assert_eq!(orders, 2, "the first order and the refused one");
    assert!(node.renewer.tried().not_before.is_some_and(|at| at >= START + 300));
}

#[test]
fn renewals_fall_within_renewal_information_window() {
    let settings_of = AuthoritySettings { window: Some((0.2, 0.3)), ..authority_settings() };
    let mut authority = Authority::new(settings_of, START).expect("an authority");
    let (mut storage, account) = (Storage::default(), account());
    let mut node = Node::start(0, settings(1), &account, &storage);
    run(&mut node, &mut storage, &mut authority, START, START + 600);
    let at: Vec<i64> = authority.issued().iter().map(|issued| issued.at - START).collect();
    assert!(at.len() >= 3, "{at:?}");
    for pair in at.windows(2) {
        assert!((115..=190).contains(&(pair[1] - pair[0])), "within a fifth and three tenths of 600: {at:?}");
    }
}

#[test]
fn chain_of_preferred_root_is_selected() {
    let (mut authority, mut storage, account) = (authority(), Storage::default(), account());
    let mut settings = settings(1);
    settings.preferred_chain = Some("other root".to_owned());
    let mut node = Node::start(0, settings, &account, &storage);
    run(&mut node, &mut storage, &mut authority, START, START + 10);
    assert!(storage.certificates[0].chain.top.contains("Stand-in other root"));
}

#[test]
fn external_account_binding_works_with_both_key_kinds() {
    for kind in [KeyKind::Es256, KeyKind::EdDsa] {
        let external = Some(("kid-1".to_owned(), b"a shared secret".to_vec()));
        let settings_of = AuthoritySettings { external, ..authority_settings() };
        let mut authority = Authority::new(settings_of, START).expect("an authority");
        let bytes = lemoncleat_acme::AccountKey::generate(kind).expect("a key");
        let mut account = account();
        account.key = std::sync::Arc::new(lemoncleat_acme::AccountKey::read(&bytes).expect("a key"));
        let mut storage = Storage::default();
        let mut node = Node::start(0, settings(1), &account, &storage);
        run(&mut node, &mut storage, &mut authority, START, START + 4);
        assert!(storage.certificates.is_empty(), "an account without external binding is refused");
        account.external = Some(lemoncleat_acme::External {
            key_id: "kid-1".to_owned(),
            secret: b"a shared secret".to_vec().into(),
        });
        (storage.tried, storage.locked) = Default::default();
        let mut node = Node::start(0, settings(1), &account, &storage);
        run(&mut node, &mut storage, &mut authority, START + 10, START + 20);
        assert_eq!(storage.certificates.len(), 1, "{kind:?}: {:?}", node.notices);
    }
}

#[test]
fn new_account_and_order_when_authority_lost_both() {
    let (mut old, mut storage, account) = (authority(), Storage::default(), account());
    let mut node = Node::start(0, settings(1), &account, &storage);
    old.faults.processing = 1_000;
    old.faults.retry_after = Some(5);
    run(&mut node, &mut storage, &mut old, START, START + 20);
    assert!(storage.order.is_some() && storage.account.is_some());
    storage.locked = None;
    let mut new = Authority::new(AuthoritySettings { seed: 8, ..authority_settings() }, START).expect("one");
    let mut node = Node::start(0, settings(1), &account, &storage);
    run(&mut node, &mut storage, &mut new, START + 20, START + 60);
    assert_eq!((storage.certificates.len(), new.orders_placed()), (1, 1));
}

#[test]
fn failed_writes_end_the_attempt_and_later_attempt_succeeds() {
    let (mut authority, mut storage, account) = (authority(), Storage::default(), account());
    storage.failing_writes = 3;
    let mut node = Node::start(0, settings(1), &account, &storage);
    run(&mut node, &mut storage, &mut authority, START, START + 120);
    assert!(node.notices.iter().any(|(_, n)| format!("{n:?}").contains("the disk is full")));
    assert_eq!(storage.certificates.len(), 1);
}

#[test]
fn order_is_stored_before_requests_that_depend_on_it() {
    let (mut authority, mut storage, account) = (authority(), Storage::default(), account());
    let mut node = Node::start(0, settings(1), &account, &storage);
    node.input(START, lemoncleat_acme::RenewerInput::Tick);
    let mut stored = false;
    while let Some(next) = node.pending_outputs.front().cloned() {
        if let RenewerOutput::Send(request) = &next {
            let about_an_order =
                request.url.contains("/authorization/") || request.url.contains("/finalize/");
            assert!(!about_an_order || stored, "the order is stored before {}", request.url);
        }
        stored |= matches!(&next, RenewerOutput::StoreOrder(order) if order.order.is_some());
        node.step(START, &mut storage, &mut authority);
    }
    assert!(stored);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, failure_persistence: None, ..ProptestConfig::default() })]

    /// Random failures and kills for the first ten minutes: the authority sees no protocol violation, and
    /// once the failures stop there is a valid certificate within 125 s.
    #[test]
    fn valid_certificate_once_random_failures_stop(
        bad_nonces in 0.0..0.6_f64,
        refuse in prop::collection::vec((0..9_usize, 0..3_usize, 1..4_u32), 0..6),
        failing_validations in 0..3_u32,
        processing in 0..4_u32,
        away in 0..500_i64,
        kills in prop::collection::vec(1..600_i64, 0..6),
    ) {
        let (mut authority, mut storage, account) = (authority(), Storage::default(), account());
        let kinds = [(403, "unauthorized"), (500, "serverInternal"), (429, "rateLimited")];
        let refuse = refuse.into_iter().map(|(stage, kind, times)| {
            let (status, kind) = kinds[kind];
            (Stage::ALL[stage], status, kind, times)
        });
        authority.faults = Faults {
            bad_nonces,
            refuse: refuse.collect(),
            failing_validations,
            processing,
            retry_after: Some(3),
            ..Faults::default()
        };
        let mut node = Node::start(0, settings(1), &account, &storage);
        for now in START..START + 600 {
            if kills.contains(&(now - START)) {
                storage.locked = None;
                node = Node::start(0, settings(1), &account, &storage);
            }
            let mut transport = Unreachable(&mut authority, START, START + away);
            node.second(now, &mut storage, &mut transport);
        }
        authority.faults = Faults::default();
        run(&mut node, &mut storage, &mut authority, START + 600, START + 725);
        prop_assert!(node.presented.is_some(), "{:?}", node.notices.last());
        prop_assert_eq!(authority.complaints(), [""; 0]);
    }
}
