//! Idempotency keys: repeats at any node get the first outcome, and the call runs once.

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

/// Key header of the tests.
const KEY: &str = "idempotency-key: order-1\r\n";

/// Backend server that counts its executions and answers each when a permit is free.
async fn counting(runs: Arc<AtomicU64>, gate: Arc<Semaphore>) -> std::net::SocketAddr {
    scripted(move |mut exchange| {
        let (runs, gate) = (runs.clone(), gate.clone());
        async move {
            while exchange.request().await.is_some() {
                let run = runs.fetch_add(1, Ordering::SeqCst) + 1;
                gate.acquire().await.unwrap().forget();
                let body = format!("run {run}");
                let answer = format!(
                    "HTTP/1.1 201 Created\r\ncontent-length: {}\r\n\r\n{body}",
                    body.len()
                );
                if !exchange.send(answer).await {
                    return;
                }
            }
        }
    })
    .await
}

/// Three nodes, each with the same backend server behind it.
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
        let answer = caller.call("POST", "/orders", KEY, "two cards").await;
        assert_eq!(answer.status, 201, "{answer:?}");
        assert_eq!(answer.body, b"run 1");
    }
    assert_eq!(runs.load(Ordering::SeqCst), 1);
    let replayed: u64 = nodes
        .iter()
        .map(|node| node.count(Counter::ReplayedFromKey))
        .sum();
    assert_eq!(replayed, 5);
    let mut caller = Caller::connect(nodes[0].callers).await;
    let answer = caller.call("POST", "/orders", KEY, "three cards").await;
    assert_eq!((answer.status, answer.reason()), (422, "key-reused"));
    let other = "idempotency-key: order-2\r\n";
    let answer = caller.call("POST", "/orders", other, "two cards").await;
    assert_eq!(answer.body, b"run 2");
}

#[tokio::test(flavor = "multi_thread")]
async fn repeat_during_the_first_is_told_so_and_a_lost_caller_loses_nothing() {
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
    let answer = second.call("POST", "/orders", KEY, "").await;
    assert_eq!((answer.status, answer.reason()), (409, "key-in-progress"));
    drop(first);
    nodes[0].until(Counter::CallerGone, 1).await;
    gate.add_permits(1);
    let answer = loop {
        let answer = second.call("POST", "/orders", KEY, "").await;
        if answer.status != 409 {
            break answer;
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    };
    assert_eq!((answer.status, &answer.body[..]), (201, &b"run 1"[..]));
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
    let answer = caller.call("POST", "/orders", KEY, "").await;
    assert_eq!(answer.body, b"run 1");
    holder.handle.drain(Duration::ZERO).await;
    for node in &nodes {
        // A call that went into the connection as it broke is answered as unknown, and repeated.
        let answer = loop {
            let mut caller = Caller::connect(node.callers).await;
            let answer = caller.call("POST", "/orders", KEY, "").await;
            if (answer.status, answer.ran()) != (502, "unknown") {
                break answer;
            }
        };
        assert_eq!((answer.status, &answer.body[..]), (201, &b"run 1"[..]));
    }
    assert_eq!(runs.load(Ordering::SeqCst), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn ingresses_with_different_views_run_a_key_once() {
    let runs = Arc::new(AtomicU64::new(0));
    let gate = Arc::new(Semaphore::new(0));
    let nodes = mesh(&runs, &gate).await;
    // Each of two nodes has the other two in its view; one holder is common to both.
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
        let answer = call.await.unwrap();
        let is_known = answer.status == 201 || answer.reason() == "key-in-progress";
        assert!(is_known, "{answer:?}");
        bodies.push(answer.body);
    }
    for pair in bodies.chunks(2) {
        let both_ran = pair.iter().all(|body| body.starts_with(b"run"));
        assert!(!both_ran || pair[0] == pair[1], "{pair:?}");
    }
    assert!(runs.load(Ordering::SeqCst) <= keys.len() as u64);
}

/// Outcome with a body.
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
