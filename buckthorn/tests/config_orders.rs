//! Operators' policy and orders in force at a node.

use std::sync::Arc;
use std::time::Duration;

use buckthorn::clock::Time;
use buckthorn::config::order::{Decision, Entry, Order, OrderBatch, Orders, Phase, RESTORE_GRACE};
use buckthorn::config::policy::{Kind, Policy, Route, SplitPart};
use buckthorn::config::position::Position;
use proptest::prelude::*;

const NOW: Time = Time::from_secs(1_000);

fn part(service: &str, weight: u32) -> SplitPart {
    SplitPart {
        service: service.into(),
        weight,
    }
}

fn route(host: &str, prefix: &str, split: Vec<SplitPart>) -> Route {
    Route::new(prefix.into(), host, prefix.into(), Kind::Idempotent, split)
}

fn policy(version: u64) -> Order {
    Order::Policy(Arc::new(Policy::new(version, Vec::new(), Vec::new())))
}

fn batch(entries: Vec<(u64, Order)>) -> OrderBatch {
    let end = entries.iter().map(|(offset, _)| offset + 1).max();
    OrderBatch {
        is_complete: false,
        end: end.unwrap_or(0).into(),
        follows_failure: false,
        entries: entries
            .into_iter()
            .map(|(offset, order)| Entry {
                position: offset.into(),
                order,
            })
            .collect(),
    }
}

fn complete(end: u64, entries: Vec<(u64, Order)>) -> OrderBatch {
    OrderBatch {
        is_complete: true,
        end: end.into(),
        ..batch(entries)
    }
}

fn out(name: &str, is_out: bool) -> Order {
    Order::Domain {
        name: name.into(),
        is_out,
    }
}

fn to(version: &str) -> Order {
    Order::Move {
        service: "rungs".into(),
        version: version.into(),
        window: Duration::from_secs(12),
    }
}

fn decision(order: u64, phase: Phase) -> Decision {
    Decision {
        service: "rungs".into(),
        version: "v2".into(),
        order: order.into(),
        phase,
        faulty: Vec::new(),
    }
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let routes = vec![
        route("a.example", "/", vec![part("root", 1)]),
        route("a.example", "/deep/er/", vec![part("deeper", 1)]),
        route("a.example", "/deep/", vec![part("deep", 1)]),
        route("B.example", "/deep/", vec![part("other", 1)]),
    ];
    let policy = Policy::new(1, routes, Vec::new());
    let find = |host, path| Some(&**policy.route(host, path)?.next_service(0));
    assert_eq!(find("a.example", "/deep/er/1"), Some("deeper"));
    assert_eq!(find("a.example", "/deep/e"), Some("deep"));
    assert_eq!(find("a.example", "/deeper"), Some("root"));
    assert_eq!(find("b.example", "/deep/"), Some("other"));
    assert_eq!(find("b.example", "/"), None);
    assert_eq!(find("c.example", "/deep/"), None);
}

#[test]
fn a_split_holds_over_any_span_of_requests() {
    let route = route(
        "a.example",
        "/",
        vec![part("a", 90), part("b", 10), part("none", 0)],
    );
    for _ in 0..50 {
        let span: Vec<&str> = (0..40).map(|_| &**route.next_service(0)).collect();
        let count = span.iter().filter(|service| **service == "b").count();
        assert!((3..=5).contains(&count), "{count} of 40");
        assert!(!span.contains(&"none"));
    }
}

#[test]
fn a_policy_never_goes_back() {
    let mut orders = Orders::default();
    assert!(orders.apply(&batch(vec![(5, policy(12))]), NOW));
    assert!(!orders.apply(&batch(vec![(4, policy(13))]), NOW));
    assert!(!orders.apply(&batch(vec![(6, policy(11))]), NOW));
    assert!(!orders.apply(&complete(6, vec![(5, policy(12))]), NOW));
    assert_eq!(orders.policy().unwrap().version, 12);
    assert!(orders.apply(&batch(vec![(7, policy(20))]), NOW));
    assert_eq!(orders.policy().unwrap().version, 20);
}

#[test]
fn failure_domain_orders_apply_by_log_offset() {
    let mut orders = Orders::default();
    orders.apply(&batch(vec![(1, out("b", true)), (2, out("a", true))]), NOW);
    assert_eq!(orders.domains_out(), vec!["a".into(), "b".into()]);
    orders.apply(&batch(vec![(4, out("a", false))]), NOW);
    orders.apply(&batch(vec![(3, out("a", true))]), NOW);
    assert_eq!(orders.domains_out(), vec!["b".into()]);
}

#[test]
fn a_complete_read_withdraws_missing_keys_but_nothing_newer() {
    let mut orders = Orders::default();
    orders.apply(&batch(vec![(1, out("a", true)), (9, out("b", true))]), NOW);
    orders.apply(&batch(vec![(2, to("v2"))]), NOW);
    orders.apply(&complete(6, Vec::new()), NOW);
    assert_eq!(orders.domains_out(), vec!["b".into()]);
    assert!(orders.find_move("rungs").is_none());
}

#[test]
fn a_decision_ends_its_own_move_only() {
    let mut orders = Orders::default();
    orders.apply(&batch(vec![(3, to("v2"))]), NOW);
    assert!(!orders.apply_decisions(&[decision(2, Phase::Completed)]));
    assert_eq!(orders.find_move("rungs").unwrap().phase, Phase::Running);
    assert!(orders.apply_decisions(&[decision(3, Phase::RolledBack)]));
    assert_eq!(orders.find_move("rungs").unwrap().phase, Phase::RolledBack);
    orders.apply(&batch(vec![(8, to("v3"))]), NOW);
    assert_eq!(orders.find_move("rungs").unwrap().phase, Phase::Running);
}

#[test]
fn a_decision_that_is_read_first_ends_the_move_when_it_comes() {
    let mut orders = Orders::default();
    orders.apply_decisions(&[decision(3, Phase::Completed)]);
    orders.apply(&batch(vec![(3, to("v2"))]), NOW);
    assert_eq!(orders.find_move("rungs").unwrap().phase, Phase::Completed);
}

#[test]
fn peer_reports_do_not_change_an_ended_move() {
    let mut orders = Orders::default();
    orders.apply(&batch(vec![(3, to("v2"))]), NOW);
    assert!(!orders.end_move("rungs", 2.into(), Phase::RolledBack));
    assert!(orders.end_move("rungs", 3.into(), Phase::RolledBack));
    assert!(!orders.end_move("rungs", 3.into(), Phase::Completed));
    assert_eq!(orders.find_move("rungs").unwrap().phase, Phase::RolledBack);
}

/// Complete batch of an era; `end` is the offset at which the log ends there.
fn complete_in(era: u16, end: u64, entries: Vec<(u64, Order)>) -> OrderBatch {
    let mut batch = complete(end, entries);
    for entry in &mut batch.entries {
        entry.position.era = era;
    }
    batch.end.era = era;
    batch
}

/// Later batch of an era, as a reader receives it.
fn batch_in(era: u16, entries: Vec<(u64, Order)>) -> OrderBatch {
    let end = entries.iter().map(|(offset, _)| offset + 1).max();
    OrderBatch {
        is_complete: false,
        ..complete_in(era, end.unwrap_or(0), entries)
    }
}

/// Orders of a node that has read three orders in the first era.
fn orders_before_restore() -> Orders {
    let mut orders = Orders::default();
    let read = vec![(2, policy(9)), (3, out("a", true)), (5, to("v2"))];
    orders.apply(&complete_in(1, 6, read), NOW);
    orders
}

#[test]
fn positions_are_ordered_by_era_first_and_keep_their_order_when_encoded() {
    let positions = [
        Position::new(0, 7),
        Position::new(1, 0),
        Position::new(1, 1 << 40),
        Position::new(2, 3),
    ];
    assert!(positions.is_sorted());
    let encoded = positions.map(u64::from);
    assert!(encoded.is_sorted());
    assert_eq!(encoded.map(Position::from), positions);
    assert_eq!(u64::from(Position::new(0, 7)), 7);
}

/// Every node ignored a policy whose offset had been given out before the store was restored.
#[test]
fn a_policy_of_a_later_era_is_in_force_at_any_offset() {
    let mut orders = orders_before_restore();
    orders.apply(&complete_in(2, 1, vec![(0, policy(9))]), NOW);
    assert!(orders.apply(&batch_in(2, vec![(1, policy(12))]), NOW));
    assert_eq!(orders.policy().unwrap().version, 12);
}

#[test]
fn a_policy_that_the_store_lost_stays_in_force() {
    let mut orders = orders_before_restore();
    orders.apply(&complete_in(2, 1, vec![(0, policy(7))]), NOW);
    let later = NOW + RESTORE_GRACE * 10;
    orders.settle(later);
    orders.apply(&complete_in(2, 1, vec![(0, policy(7))]), later);
    assert_eq!(orders.policy().unwrap().version, 9);
}

#[test]
fn orders_of_an_earlier_era_are_ignored() {
    let mut orders = orders_before_restore();
    orders.apply(&complete_in(2, 1, vec![(0, out("a", false))]), NOW);
    orders.settle(NOW + RESTORE_GRACE);
    assert!(orders.domains_out().is_empty());
    assert!(!orders.apply(&complete_in(1, 9, vec![(8, out("a", true))]), NOW));
    assert!(orders.domains_out().is_empty());
    assert_eq!(orders.next(), Position::new(2, 1));
}

#[test]
fn orders_that_the_store_lost_end_only_after_the_grace_period() {
    let mut orders = orders_before_restore();
    let lost = complete_in(2, 1, vec![(0, policy(9))]);
    orders.apply(&lost, NOW);
    orders.settle(NOW + RESTORE_GRACE / 2);
    orders.apply(&lost, NOW + RESTORE_GRACE / 2);
    assert_eq!(orders.domains_out(), vec!["a".into()]);
    assert!(orders.find_move("rungs").is_some());
    assert!(orders.settle(NOW + RESTORE_GRACE));
    assert!(orders.domains_out().is_empty() && orders.find_move("rungs").is_none());
    assert!(!orders.settle(NOW + RESTORE_GRACE * 2));
}

#[test]
fn orders_that_are_written_again_keep_their_state() {
    let mut orders = orders_before_restore();
    let started = orders.find_move("rungs").unwrap().started;
    orders.moves_mut()[0].share = 250;
    let later = NOW + Duration::from_secs(1);
    let again = vec![(0, policy(9)), (1, to("v2")), (2, out("a", true))];
    orders.apply(&complete_in(2, 3, again), later);
    orders.settle(later + RESTORE_GRACE);
    let held = orders.find_move("rungs").unwrap();
    assert_eq!((held.share, held.started), (250, started));
    assert_eq!(held.order, Position::new(2, 1));
    assert!(held.is_of(Position::new(1, 5)));
    assert_eq!(orders.domains_out(), vec!["a".into()]);
}

/// An order that the copy kept, but that was replaced or withdrawn in the part that it lost.
#[test]
fn an_older_order_of_the_copy_takes_effect_only_if_it_is_not_replaced_again() {
    let old = || complete_in(2, 4, vec![(1, to("v1")), (3, out("a", false))]);
    let mut orders = Orders::default();
    let read = vec![(4, out("a", true)), (5, to("v2"))];
    orders.apply(&complete_in(1, 6, read), NOW);
    let mut replaced = Orders::default();
    replaced.apply(
        &complete_in(1, 6, vec![(4, out("a", true)), (5, to("v2"))]),
        NOW,
    );
    orders.apply(&old(), NOW);
    replaced.apply(&old(), NOW);
    assert_eq!(&*orders.find_move("rungs").unwrap().version, "v2");
    let again = vec![(4, to("v2")), (5, out("a", true))];
    replaced.apply(&batch_in(2, again), NOW);
    let later = NOW + RESTORE_GRACE;
    orders.settle(later);
    replaced.settle(later);
    assert_eq!(&*orders.find_move("rungs").unwrap().version, "v1");
    assert!(orders.domains_out().is_empty());
    assert_eq!(&*replaced.find_move("rungs").unwrap().version, "v2");
    assert_eq!(replaced.domains_out(), vec!["a".into()]);
}

/// What operators write after the restore is carried out at once, also at an offset below that of
/// the order in force.
#[test]
fn a_new_order_after_the_restore_does_not_wait_for_the_grace_period() {
    let mut orders = orders_before_restore();
    orders.apply(&complete_in(2, 1, vec![(0, policy(9))]), NOW);
    orders.apply(&batch_in(2, vec![(1, out("a", false)), (2, to("v3"))]), NOW);
    assert!(orders.domains_out().is_empty());
    assert_eq!(&*orders.find_move("rungs").unwrap().version, "v3");
    // The same through a peer, whose excerpts are complete.
    let mut follower = orders_before_restore();
    follower.apply(&complete_in(2, 1, vec![(0, policy(9))]), NOW);
    let excerpt = vec![(1, out("a", false)), (2, to("v3"))];
    follower.apply(&complete_in(2, 3, excerpt), NOW);
    assert!(follower.domains_out().is_empty());
    assert_eq!(&*follower.find_move("rungs").unwrap().version, "v3");
}

#[test]
fn a_second_restore_begins_another_grace_period() {
    let mut orders = orders_before_restore();
    orders.apply(&complete_in(2, 1, vec![(0, policy(9))]), NOW);
    let later = NOW + RESTORE_GRACE / 2;
    orders.apply(&complete_in(3, 1, vec![(0, policy(9))]), later);
    orders.settle(NOW + RESTORE_GRACE);
    assert_eq!(orders.domains_out(), vec!["a".into()]);
    orders.apply(&batch_in(3, vec![(1, out("a", true))]), later);
    orders.settle(later + RESTORE_GRACE);
    assert_eq!(orders.domains_out(), vec!["a".into()]);
    assert!(orders.find_move("rungs").is_none());
}

#[test]
fn a_decision_on_an_order_of_an_earlier_era_does_not_replace_a_later_one() {
    let mut orders = orders_before_restore();
    let decide = |era, offset, phase| Decision {
        order: Position::new(era, offset),
        ..decision(0, phase)
    };
    assert!(orders.apply_decisions(&[decide(1, 5, Phase::RolledBack)]));
    orders.apply(&complete_in(2, 2, vec![(1, to("v2"))]), NOW);
    assert_eq!(orders.find_move("rungs").unwrap().phase, Phase::RolledBack);
    orders.apply_decisions(&[decide(2, 1, Phase::RolledBack)]);
    orders.apply_decisions(&[decide(1, 5, Phase::Completed)]);
    assert_eq!(orders.decision("rungs").unwrap().order, Position::new(2, 1));
    assert_eq!(orders.find_move("rungs").unwrap().phase, Phase::RolledBack);
}

proptest! {
    /// Reads may arrive in any order and repeatedly: the newest order of each key is in force.
    #[test]
    fn reads_in_any_order_end_in_the_same_state(
        entries in prop::collection::vec((0_u64..40, 0_usize..3, any::<bool>()), 1..30),
        seed in any::<u64>(),
    ) {
        let mut entries = entries;
        entries.sort_by_key(|(offset, ..)| *offset);
        entries.dedup_by_key(|(offset, ..)| *offset);
        let names = ["a", "b", "c"];
        let order = |&(offset, name, is_out): &(u64, usize, bool)| {
            (offset, out(names[name], is_out))
        };
        let mut in_order = Orders::default();
        in_order.apply(&batch(entries.iter().map(order).collect()), NOW);
        let mut shuffled = Orders::default();
        let mut rest = entries.clone();
        let mut state = seed | 1;
        while !rest.is_empty() {
            state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            let entry = rest.swap_remove((state >> 33) as usize % rest.len());
            shuffled.apply(&batch(vec![order(&entry)]), NOW);
            shuffled.apply(&batch(vec![order(&entry)]), NOW);
        }
        prop_assert_eq!(in_order.domains_out(), shuffled.domains_out());
    }
}
