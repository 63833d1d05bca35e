//! Backend servers that divide the calls of a version on trial.

use std::sync::Arc;
use std::time::Duration;

use buckthorn::clock::Time;
use buckthorn::config::order::{Entry, Order, OrderBatch, Orders};
use buckthorn::config::policy::{Policy, Service};
use buckthorn::membership::member::{BackendServer, Member, Status};
use buckthorn::membership::view::View;
use buckthorn::name::Name;
use buckthorn::routing::load::Registry;
use buckthorn::routing::table::Table;

const NOW: Time = Time::from_secs(1_000);
const SERVICE: &str = "rungs";

/// Orders that move the service to v2, which has a share in thousandths.
fn orders(share: u16) -> Orders {
    let service = Service {
        name: SERVICE.into(),
        connections: 10,
        cold_rate: None,
    };
    let policy = Policy::new(1, Vec::new(), vec![service]);
    let orders = [
        Order::Policy(Arc::new(policy)),
        Order::Move {
            service: SERVICE.into(),
            version: "v2".into(),
            window: Duration::from_secs(12),
        },
    ];
    let batch = OrderBatch {
        is_complete: true,
        end: 3.into(),
        follows_failure: false,
        entries: (1..)
            .zip(orders)
            .map(|(offset, order)| Entry {
                position: offset.into(),
                order,
            })
            .collect(),
    };
    let mut orders = Orders::default();
    assert!(orders.apply(&batch, NOW));
    orders.moves_mut()[0].share = share;
    orders
}

/// Hosts that get calls of v2 at a share, by the table of a node in a failure domain, while each
/// version has this many backend servers.
fn hosts(servers: usize, share: u16, failure_domain: &str) -> Vec<Name> {
    let mut view = View::new();
    for index in 0..2 * servers {
        let address = ([127, 0, 0, 1], 1_000 + index as u16).into();
        let member = Member {
            host: format!("h{index}").into(),
            incarnation: 1,
            sequence: 1,
            region: "region".into(),
            failure_domain: ["a", "b", "c"][index % 3].into(),
            rpc: address,
            hop: address,
            status: Status::Alive,
            departure: None,
            backend_server: Some(BackendServer {
                service: SERVICE.into(),
                version: ["v1", "v2"][index % 2].into(),
                slots: 9,
                connections: 18,
                is_draining: false,
            }),
        };
        view.merge(&member, NOW);
    }
    let mut registry = Registry::default();
    let (domain, region) = (failure_domain.into(), "region".into());
    let table = Table::from_orders(&orders(share), &view, &mut registry, &domain, &region);
    let shares = &table.service(SERVICE).unwrap().routes[0].shares;
    let new = shares.iter().find(|share| &*share.version == "v2");
    let endpoints = new.into_iter().flat_map(|share| &share.endpoints);
    let mut hosts: Vec<Name> = endpoints.map(|endpoint| endpoint.host.clone()).collect();
    hosts.sort();
    hosts
}

/// The load of a version under trial is that of the busiest server, at a share of the calls.
#[test]
fn all_nodes_try_a_version_on_the_same_few_servers() {
    for (servers, share) in [(2, 750), (3, 500), (4, 375), (8, 187)] {
        let tried = hosts(servers, share, "a");
        assert_eq!(tried.len(), 1, "{servers} servers");
        assert_eq!(hosts(servers, share, "b"), tried);
    }
}

#[test]
fn all_servers_of_a_version_serve_at_the_first_and_at_the_full_share() {
    for servers in [1, 3, 8] {
        for share in [15, 1_000] {
            assert_eq!(hosts(servers, share, "a").len(), servers);
        }
    }
}

/// A fault of one server must be told from one of the version.
#[test]
fn a_version_with_many_servers_is_not_tried_on_some() {
    assert_eq!(hosts(12, 500, "a").len(), 12);
}
