//! Operators' policy and orders in force at a node.

use std::sync::Arc;
use std::time::Duration;

use buckthorn::clock::Time;
use buckthorn::config::order::{Decision, Entry, Order, OrderBatch, Orders, Phase};
use buckthorn::config::policy::{Kind, Policy, Route, SplitPart};
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
        end: end.unwrap_or(0),
        follows_failure: false,
        entries: entries
            .into_iter()
            .map(|(offset, order)| Entry { offset, order })
            .collect(),
    }
}

fn complete(end: u64, entries: Vec<(u64, Order)>) -> OrderBatch {
    OrderBatch {
        is_complete: true,
        end,
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
        order,
        phase,
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
    let find = |host, path| Some(&**policy.route(host, path)?.next_service());
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
        let span: Vec<&str> = (0..40).map(|_| &**route.next_service()).collect();
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
    assert!(!orders.end_move("rungs", 2, Phase::RolledBack));
    assert!(orders.end_move("rungs", 3, Phase::RolledBack));
    assert!(!orders.end_move("rungs", 3, Phase::Completed));
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
