//! Versions whose order is over get no share by the orders that come after it.

use std::sync::Arc;
use std::time::Duration;

use buckthorn::clock::Time;
use buckthorn::config::order::{Decision, Entry, Order, OrderBatch, Orders, Phase};
use buckthorn::config::policy::{Policy, Service};
use buckthorn::membership::member::{BackendServer, Member, Status};
use buckthorn::membership::view::View;
use buckthorn::routing::load::Registry;
use buckthorn::routing::table::Table;

const NOW: Time = Time::from_secs(1_000);
const SERVICE: &str = "rungs";

/// Applies an order at an offset.
fn ordered(orders: &mut Orders, offset: u64, order: Order) {
    let batch = OrderBatch {
        is_complete: false,
        end: (offset + 1).into(),
        follows_failure: false,
        entries: vec![Entry {
            position: offset.into(),
            order,
        }],
    };
    assert!(orders.apply(&batch, NOW));
}

fn with_policy() -> Orders {
    let service = Service {
        name: SERVICE.into(),
        connections: 10,
        cold_rate: None,
    };
    let mut orders = Orders::default();
    let policy = Policy::new(1, Vec::new(), vec![service]);
    ordered(&mut orders, 1, Order::Policy(Arc::new(policy)));
    orders
}

fn move_to(version: &str) -> Order {
    Order::Move {
        service: SERVICE.into(),
        version: version.into(),
        window: Duration::from_secs(12),
    }
}

fn withdrawal() -> Order {
    Order::Withdraw {
        service: SERVICE.into(),
    }
}

fn decision(version: &str, order: u64, phase: Phase) -> Decision {
    Decision {
        service: SERVICE.into(),
        version: version.into(),
        order: order.into(),
        phase,
        faulty: Vec::new(),
    }
}

/// Versions that get calls while one server of each of these is there, with their shares.
fn shares(orders: &Orders, versions: &[&str]) -> Vec<(String, u16)> {
    let mut view = View::new();
    for (index, version) in versions.iter().enumerate() {
        let address = ([127, 0, 0, 1], 1_000 + index as u16).into();
        let member = Member {
            host: format!("h{index}").into(),
            incarnation: 1,
            sequence: 1,
            region: "region".into(),
            failure_domain: "a".into(),
            rpc: address,
            hop: address,
            status: Status::Alive,
            departure: None,
            backend_server: Some(BackendServer {
                service: SERVICE.into(),
                version: (*version).into(),
                slots: 9,
                connections: 18,
                is_draining: false,
            }),
        };
        view.merge(&member, NOW);
    }
    let mut registry = Registry::default();
    let table = Table::from_orders(orders, &view, &mut registry, &"a".into(), &"region".into());
    let shares = &table.service(SERVICE).unwrap().routes[0].shares;
    let shares = shares.iter().filter(|share| !share.endpoints.is_empty());
    shares
        .map(|share| (share.version.to_string(), share.permille))
        .collect()
}

fn only(version: &str) -> Vec<(String, u16)> {
    vec![(version.into(), 1_000)]
}

#[test]
fn a_version_that_was_rolled_back_gets_no_share_by_the_next_order() {
    let mut orders = with_policy();
    ordered(&mut orders, 2, move_to("v2"));
    assert!(orders.end_move(SERVICE, 2.into(), Phase::RolledBack));
    assert_eq!(shares(&orders, &["v1", "v2"]), only("v1"));
    ordered(&mut orders, 3, move_to("v3"));
    assert_eq!(shares(&orders, &["v1", "v2", "v3"]), only("v1"));
    assert!(shares(&orders, &["v2"]).is_empty());
    ordered(&mut orders, 4, withdrawal());
    assert_eq!(shares(&orders, &["v1", "v2"]), only("v1"));
    // Without an order and another version, operators accept what there is.
    assert_eq!(shares(&orders, &["v2"]), only("v2"));
    // Ordered and completed, it serves like any other.
    ordered(&mut orders, 5, move_to("v2"));
    orders.end_move(SERVICE, 5.into(), Phase::Completed);
    ordered(&mut orders, 6, move_to("v4"));
    assert_eq!(shares(&orders, &["v2", "v4"]), only("v2"));
}

#[test]
fn a_version_that_was_not_judged_gets_no_share_beside_one_that_serves() {
    for next in [move_to("v3"), withdrawal()] {
        let mut orders = with_policy();
        ordered(&mut orders, 2, move_to("v2"));
        ordered(&mut orders, 3, next);
        assert_eq!(shares(&orders, &["v1", "v2"]), only("v1"));
        assert_eq!(shares(&orders, &["v2"]), only("v2"));
    }
}

#[test]
fn a_node_that_has_just_started_learns_it_from_the_published_decisions() {
    let mut orders = with_policy();
    ordered(&mut orders, 9, move_to("v4"));
    let published = Decision {
        faulty: vec!["v2".into()],
        ..decision("v3", 8, Phase::RolledBack)
    };
    assert!(orders.apply_decisions(&[published]));
    assert_eq!(shares(&orders, &["v1", "v2", "v3", "v4"]), only("v1"));
    assert_eq!(orders.faulty(SERVICE), ["v2".into(), "v3".into()]);
}
