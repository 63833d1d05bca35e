//! Uploads that stop or take their time, and the limits that a policy sets on requests.

mod proxy_kit;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use buckthorn::config::policy::{CallerLimits, Kind, Policy, Route, SplitPart};
use buckthorn::counter::Counter;
use buckthorn::proxy::limit::Limits;
use buckthorn::routing::table::Table;
use proxy_kit::{Caller, Node, SERVICE, contract, limits, node_under, scripted, table};

/// Length of the uploads; they are streamed.
const LENGTH: usize = 2_000;

/// Starts a backend server that reads uploads to their end before it responds.
async fn backend() -> SocketAddr {
    scripted(|mut exchange| async move {
        while exchange.request().await.is_some() {
            let response = "HTTP/1.1 200 OK\r\ntest-id: r-1\r\ntest-signature: s\r\n\
                            content-length: 0\r\n\r\n";
            if !exchange.send(response).await {
                return;
            }
        }
    })
    .await
}

/// Starts an ingress and an owner under a contract, with a policy of these limits.
async fn mesh(limits: Limits, caller_limits: CallerLimits) -> (Node, Node) {
    let limits = Limits {
        kept_body_bytes: 100,
        ..limits
    };
    let ingress = node_under(Some(contract()), "ingress", None, limits.clone()).await;
    let owner = node_under(Some(contract()), "owner", Some(backend().await), limits).await;
    for node in [&ingress, &owner] {
        let part = SplitPart {
            service: SERVICE.into(),
            weight: 1,
        };
        let mut route = Route::new(
            "a".into(),
            "shop.example",
            "/a/".into(),
            Kind::NonIdempotent,
            vec![part],
        );
        route.timeout = Duration::from_secs(10);
        let policy = Policy::new(1, vec![route], Vec::new()).with_limits(caller_limits.clone());
        node.plane.table.store(Arc::new(Table {
            policy: Some(Arc::new(policy)),
            ..table(&[owner.endpoint()])
        }));
    }
    (ingress, owner)
}

/// Returns the head of a request with a body of a length.
fn head(method: &str, length: usize) -> String {
    format!(
        "{method} /a/ HTTP/1.1\r\nhost: shop.example\r\ntest-id: r-1\r\n\
         content-length: {length}\r\n\r\n"
    )
}

#[tokio::test(flavor = "multi_thread")]
async fn an_upload_that_stops_is_no_fault_of_the_host_and_not_reported_as_not_run() {
    let limits = Limits {
        idle_body_timeout: Duration::from_millis(100),
        ..limits()
    };
    let (ingress, owner) = mesh(limits, CallerLimits::default()).await;
    for node in [&ingress, &owner] {
        for _ in 0..12 {
            let mut caller = Caller::connect(node.callers).await;
            caller
                .send(head("POST", LENGTH) + &"x".repeat(LENGTH - 1))
                .await;
            let response = caller.response("POST").await;
            // 408, 421, 429 and 503 would say that it has not run.
            assert!(matches!(response.status, 400 | 502 | 504), "{response:?}");
        }
        let mut caller = Caller::connect(node.callers).await;
        caller.send(head("GET", 0)).await;
        assert_eq!(caller.response("GET").await.status, 200);
        assert_eq!(node.count(Counter::EjectedOutlier), 0);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_upload_takes_its_time_while_nothing_is_short() {
    let (ingress, _owner) = mesh(limits(), CallerLimits::default()).await;
    let mut caller = Caller::connect(ingress.callers).await;
    caller
        .send(head("POST", LENGTH) + &"x".repeat(LENGTH - 20))
        .await;
    for _ in 0..20 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        caller.send("x").await;
    }
    assert_eq!(caller.response("POST").await.status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_limits_of_the_policy_hold() {
    let limits_of_policy = CallerLimits {
        header_bytes: None,
        body_bytes: Some(LENGTH as u64 - 1),
        header_timeout: Some(Duration::from_millis(300)),
        idle_timeout: Some(Duration::from_secs(2)),
    };
    let (ingress, _owner) = mesh(limits(), limits_of_policy).await;
    let mut caller = Caller::connect(ingress.callers).await;
    caller.send(head("POST", LENGTH)).await;
    assert_eq!(caller.response("POST").await.status, 413);
    let mut caller = Caller::connect(ingress.callers).await;
    caller.send("GET /a/ HTTP/1.1\r\nhost:").await;
    let response = caller.response("GET").await;
    assert_eq!((response.status, response.ran()), (408, "not-run"));
    // A connection may be used again after four fifths of the idle timeout.
    let mut caller = Caller::connect(ingress.callers).await;
    for _ in 0..2 {
        caller.send(head("GET", 0)).await;
        assert_eq!(caller.response("GET").await.status, 200);
        tokio::time::sleep(Duration::from_millis(1_600)).await;
    }
    assert_eq!(caller.response("GET").await.status, 0);
}
