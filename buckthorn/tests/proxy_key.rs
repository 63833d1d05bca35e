//! Idempotency keys: repeats at any node receive the first outcome, and the call runs once.

mod proxy_kit;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use buckthorn::clock::Time;
use buckthorn::counter::Counter;
use buckthorn::proxy::key::{self, Outcome, Start, Store};
use http::{HeaderMap, StatusCode};
use proxy_kit::{Caller, Node, limits, node, scripted};
use tokio::sync::Semaphore;

/// Header line with the idempotency key of the tests.
const KEY: &str = "idempotency-key: order-1\r\n";

/// Starts a backend server that counts its runs and responds to each when a permit is available.
async fn counting(runs: Arc<AtomicU64>, gate: Arc<Semaphore>) -> std::net::SocketAddr {
    scripted(move |mut exchange| {
        let (runs, gate) = (runs.clone(), gate.clone());
        async move {
            while exchange.request().await.is_some() {
                let run = runs.fetch_add(1, Ordering::SeqCst) + 1;
                gate.acquire().await.unwrap().forget();
                let body = format!("run {run}");
                let response = format!(
                    "HTTP/1.1 201 Created\r\ncontent-length: {}\r\n\r\n{body}",
                    body.len()
                );
                if !exchange.send(response).await {
                    return;
                }
            }
        }
    })
    .await
}

/// Starts three nodes that share one backend server.
async fn mesh(runs: &Arc<AtomicU64>, gate: &Arc<Semaphore>) -> Vec<Node> {
    let backend = counting(runs.clone(), gate.clone()).await;
    let mut nodes = Vec::new();
    for host in ["a", "b", "c"] {
        nodes.push(node(host, Some(backend), limits()).await);
    }
    let endpoints: Vec<_> = nodes.iter().map(Node::endpoint).collect();
    for node in &nodes {
        node.route_to(&endpoints);
    }
    nodes
}

#[tokio::test(flavor = "multi_thread")]
async fn repeats_at_different_nodes_get_the_first_outcome() {
    let runs = Arc::new(AtomicU64::new(0));
    let nodes = mesh(&runs, &Arc::new(Semaphore::new(100))).await;
    for node in nodes.iter().chain(&nodes) {
        let mut caller = Caller::connect(node.callers).await;
        let response = caller.call("POST", "/orders", KEY, "two cards").await;
        assert_eq!(response.status, 201, "{response:?}");
        assert_eq!(response.body, b"run 1");
    }
    assert_eq!(runs.load(Ordering::SeqCst), 1);
    let replayed: u64 = nodes
        .iter()
        .map(|node| node.count(Counter::ReplayedFromKey))
        .sum();
    assert_eq!(replayed, 5);
    let mut caller = Caller::connect(nodes[0].callers).await;
    let response = caller.call("POST", "/orders", KEY, "three cards").await;
    assert_eq!((response.status, response.reason()), (422, "key-reused"));
    let other = "idempotency-key: order-2\r\n";
    let response = caller.call("POST", "/orders", other, "two cards").await;
    assert_eq!(response.body, b"run 2");
}

#[tokio::test(flavor = "multi_thread")]
async fn repeat_during_the_first_call_is_refused_and_a_disconnect_keeps_the_outcome() {
    let runs = Arc::new(AtomicU64::new(0));
    let gate = Arc::new(Semaphore::new(0));
    let nodes = mesh(&runs, &gate).await;
    let mut first = Caller::connect(nodes[0].callers).await;
    let request = format!(
        "POST /orders HTTP/1.1\r\nhost: {}\r\ncontent-length: 0\r\n{KEY}\r\n",
        proxy_kit::SERVICE
    );
    first.send(request).await;
    while runs.load(Ordering::SeqCst) == 0 {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    let mut second = Caller::connect(nodes[1].callers).await;
    let response = second.call("POST", "/orders", KEY, "").await;
    assert_eq!(
        (response.status, response.reason()),
        (409, "key-in-progress")
    );
    drop(first);
    nodes[0].until(Counter::CallerGone, 1).await;
    gate.add_permits(1);
    let response = loop {
        let response = second.call("POST", "/orders", KEY, "").await;
        if response.status != 409 {
            break response;
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    };
    assert_eq!((response.status, &response.body[..]), (201, &b"run 1"[..]));
    assert_eq!(runs.load(Ordering::SeqCst), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn key_outlives_the_node_that_held_it() {
    let runs = Arc::new(AtomicU64::new(0));
    let mut nodes = mesh(&runs, &Arc::new(Semaphore::new(100))).await;
    let id = key::id(proxy_kit::SERVICE, "order-1");
    let holder = (0..3)
        .max_by_key(|i| buckthorn::name::rendezvous(&id, &nodes[*i].host))
        .unwrap();
    let holder = nodes.swap_remove(holder);
    let mut caller = Caller::connect(nodes[0].callers).await;
    let response = caller.call("POST", "/orders", KEY, "").await;
    assert_eq!(response.body, b"run 1");
    holder.handle.drain(Duration::ZERO).await;
    for node in &nodes {
        // A call that was sent while the connection broke has an unknown outcome and is repeated.
        let response = loop {
            let mut caller = Caller::connect(node.callers).await;
            let response = caller.call("POST", "/orders", KEY, "").await;
            if (response.status, response.ran()) != (502, "unknown") {
                break response;
            }
        };
        assert_eq!((response.status, &response.body[..]), (201, &b"run 1"[..]));
    }
    assert_eq!(runs.load(Ordering::SeqCst), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn ingresses_with_different_views_run_a_key_once() {
    let runs = Arc::new(AtomicU64::new(0));
    let gate = Arc::new(Semaphore::new(0));
    let nodes = mesh(&runs, &gate).await;
    // The nodes route to different pairs of endpoints, which have one holder in common.
    let endpoints: Vec<_> = nodes.iter().map(Node::endpoint).collect();
    nodes[0].route_to(&endpoints[..2]);
    nodes[1].route_to(&endpoints[..2]);
    nodes[2].route_to(&endpoints[1..]);
    let keys = (0..20).map(|n| format!("idempotency-key: both-{n}\r\n"));
    let keys: Vec<String> = keys.collect();
    let mut calls = Vec::new();
    for key in &keys {
        for node in [&nodes[0], &nodes[2]] {
            let (address, key) = (node.callers, key.clone());
            calls.push(tokio::spawn(async move {
                let mut caller = Caller::connect(address).await;
                caller.call("POST", "/orders", &key, "").await
            }));
        }
    }
    gate.add_permits(100);
    let mut bodies = Vec::new();
    for call in calls {
        let response = call.await.unwrap();
        let is_known = response.status == 201 || response.reason() == "key-in-progress";
        assert!(is_known, "{response:?}");
        bodies.push(response.body);
    }
    for pair in bodies.chunks(2) {
        let both_ran = pair.iter().all(|body| body.starts_with(b"run"));
        assert!(!both_ran || pair[0] == pair[1], "{pair:?}");
    }
    assert!(runs.load(Ordering::SeqCst) <= keys.len() as u64);
}

/// Creates an outcome with a body.
fn outcome(body: &'static str) -> Outcome {
    Outcome {
        status: StatusCode::OK,
        headers: HeaderMap::new(),
        body: Some(body.into()),
    }
}

#[test]
fn store_is_bounded_and_forgets_only_after_the_window() {
    let store = Store::new(16, Duration::from_secs(10));
    let id = key::id("card-desk", "k");
    let at = |secs: u64| Time::from_secs(1_000 + secs);
    assert!(matches!(store.start(at(0), &id, 1), Start::Run));
    assert!(matches!(store.start(at(60), &id, 1), Start::InProgress));
    assert!(matches!(store.start(at(60), &id, 2), Start::Reused));
    store.end(at(60), &id, outcome("first"));
    store.end(at(61), &id, outcome("second"));
    let Start::Ended(kept) = store.start(at(69), &id, 1) else {
        panic!("the outcome is kept");
    };
    assert_eq!(kept.body.as_deref(), Some(&b"first"[..]));
    assert!(matches!(store.start(at(71), &id, 1), Start::Run));
    store.forget(at(71), &id);
    assert!(store.is_empty());
    let full = (0..1_000)
        .map(|i| store.start(at(80), &key::id("card-desk", &format!("{i}")), 1))
        .filter(|start| matches!(start, Start::Full))
        .count();
    assert_eq!(store.len(), 16);
    assert_eq!(full, 984);
}
