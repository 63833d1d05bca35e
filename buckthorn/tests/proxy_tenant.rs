//! Calls of tenants: the key stays at the ingress, the tenant's name goes on, and a key that was
//! taken away stops working on connections that are open.

mod proxy_kit;

use std::sync::Arc;

use buckthorn::config::policy::{Kind, Policy, Route, SplitPart};
use buckthorn::counter::Counter;
use buckthorn::routing::table::Table;
use buckthorn::tenant::directory::{Directory, Tenant};
use proxy_kit::{
    Caller, Exchange, Node, SERVICE, contract, limits, node_under, scripted, settled, table,
};

const KEY: &str = "key-of-north";

/// Policy with a route for tenants, a public one, and one tenant with the given keys.
fn policy(version: u64, keys: &[&str]) -> Policy {
    let route = |prefix: &str, is_public| {
        let part = SplitPart {
            service: SERVICE.into(),
            weight: 1,
        };
        let split = vec![part];
        let kind = Kind::Idempotent;
        let mut route = Route::new(prefix.into(), "shop.example", prefix.into(), kind, split);
        route.urgency = 5;
        route.is_public = is_public;
        route
    };
    let routes = vec![route("/own/", false), route("/open/", true)];
    let tenant = Tenant {
        name: "north".into(),
        urgency: Some(1),
    };
    let mut policy = Policy::new(version, routes, Vec::new());
    policy.tenants = Some(Directory::new([(tenant, keys.to_vec())]).unwrap());
    policy
}

fn apply(nodes: [&Node; 2], owner: &Node, policy: Policy) {
    let policy = Some(Arc::new(policy));
    for node in nodes {
        let table = Table {
            policy: policy.clone(),
            ..table(&[owner.endpoint()])
        };
        node.plane.table.store(Arc::new(table));
    }
}

/// Starts an ingress and an owner whose backend server returns the request that it received.
async fn pair() -> (Node, Node) {
    let backend = scripted(|mut exchange: Exchange| async move {
        while let Some(request) = exchange.request().await {
            let response = format!(
                "HTTP/1.1 200 OK\r\ntest-signature: s\r\ncontent-length: {}\r\n\r\n{request}",
                request.len()
            );
            if !exchange.send(response).await {
                return;
            }
        }
    })
    .await;
    let ingress = node_under(Some(contract()), "ingress", None, limits()).await;
    let owner = node_under(Some(contract()), "owner", Some(backend), limits()).await;
    apply([&ingress, &owner], &owner, policy(1, &[KEY, "key-2"]));
    (ingress, owner)
}

fn request(path: &str, headers: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: shop.example\r\ntest-id: r-1\r\n{headers}\r\n")
}

#[tokio::test(flavor = "multi_thread")]
async fn the_name_of_the_tenant_goes_on_and_the_key_does_not() {
    let (ingress, _owner) = pair().await;
    let forged = format!("test-tenant: south\r\nTest-Key: {KEY}\r\ntest-tenant: east\r\n");
    let cases = [
        ("/own/1", forged.as_str(), Some("north")),
        ("/open/1", forged.as_str(), Some("north")),
        ("/open/1", "test-tenant: south\r\ntest-key: other\r\n", None),
        ("/open/1", "test-tenant: south\r\n", None),
    ];
    let mut caller = Caller::connect(ingress.callers).await;
    for (path, headers, tenant) in cases {
        caller.send(request(path, headers)).await;
        let response = caller.response("GET").await;
        let seen = String::from_utf8(response.body).unwrap().to_lowercase();
        assert_eq!(response.status, 200, "{headers}");
        let lines = seen
            .lines()
            .filter_map(|line| line.strip_prefix("test-tenant: "));
        assert_eq!(lines.collect::<Vec<_>>(), Vec::from_iter(tenant));
        assert!(!seen.contains("test-key") && !seen.contains(KEY), "{seen}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_without_a_known_key_is_refused_at_once_and_runs_nowhere() {
    let (ingress, owner) = pair().await;
    let twice = format!("test-key: {KEY}\r\ntest-key: {KEY}\r\n");
    let mut caller = Caller::connect(ingress.callers).await;
    for headers in ["", "test-key: other\r\n", "test-key: \r\n", &twice] {
        caller.send(request("/own/1", headers)).await;
        let response = caller.response("GET").await;
        assert_eq!((response.status, response.reason()), (401, "unknown-key"));
        assert_eq!(response.ran(), "not-run");
    }
    assert_eq!(ingress.count(Counter::RefusedUnknownKey), 4);
    assert_eq!(settled(|| owner.count(Counter::ConnectionsOpened)).await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_that_is_taken_away_stops_working_on_open_connections() {
    let (ingress, owner) = pair().await;
    let with_key = request("/own/1", &format!("test-key: {KEY}\r\n"));
    let mut kept = Caller::connect(ingress.callers).await;
    kept.send(&with_key).await;
    assert_eq!(kept.response("GET").await.status, 200);
    apply([&ingress, &owner], &owner, policy(2, &["key-2"]));
    // Requests that are sent ahead are checked one by one, each when its turn comes.
    let other = request("/own/1", "test-key: key-2\r\n");
    kept.send(format!("{with_key}{other}{with_key}")).await;
    for status in [401, 200, 401] {
        assert_eq!(kept.response("GET").await.status, status);
    }
}
