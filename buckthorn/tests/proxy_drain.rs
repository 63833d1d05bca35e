//! Graceful shutdown, and detection of connections that go silent.

mod proxy_kit;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use buckthorn::counter::Counter;
use buckthorn::proxy::header::Call;
use buckthorn::proxy::{Drained, body, owner};
use http::Request;
use proxy_kit::{Caller, GUARD, Relay, SERVICE, endpoint, limits, node, pair, scripted};
use tokio::sync::Semaphore;

/// Starts a backend server that counts its runs and responds to each when a permit is available.
async fn gated(runs: Arc<AtomicU64>, gate: Arc<Semaphore>) -> std::net::SocketAddr {
    scripted(move |mut exchange| {
        let (runs, gate) = (runs.clone(), gate.clone());
        async move {
            while exchange.request().await.is_some() {
                runs.fetch_add(1, Ordering::SeqCst);
                gate.acquire().await.unwrap().forget();
                exchange
                    .send("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nall of it")
                    .await;
            }
        }
    })
    .await
}

/// Waits until the given number of runs has started.
async fn until(runs: &AtomicU64, value: u64) {
    while runs.load(Ordering::SeqCst) < value {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_aborts_no_call_in_flight() {
    let (runs, gate) = (Arc::new(AtomicU64::new(0)), Arc::new(Semaphore::new(0)));
    let backend = gated(runs.clone(), gate.clone()).await;
    let (ingress, owner) = pair(backend, limits()).await;
    let mut calls = Vec::new();
    for n in 0..10 {
        let address = [ingress.callers, owner.callers][n % 2];
        calls.push(tokio::spawn(async move {
            let mut caller = Caller::connect(address).await;
            caller.call("POST", "/", "", "order").await
        }));
    }
    let mut idle = Caller::connect(owner.callers).await;
    until(&runs, 10).await;
    let (owner_hop, owner_handle, plane) = (owner.hop, owner.handle, owner.plane);
    let drain = tokio::spawn(owner_handle.drain(GUARD));
    while !plane.is_draining() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    // New calls are refused as not run, both on an open connection and over the hop.
    let response = idle.call("POST", "/", "", "").await;
    assert_eq!((response.status, response.reason()), (503, "draining"));
    assert_eq!(response.ran(), "not-run");
    assert_eq!(response.header("connection"), Some("close"));
    let mut caller = Caller::connect(ingress.callers).await;
    let response = caller.call("POST", "/", "", "").await;
    assert_eq!(response.ran(), "not-run", "{response:?}");
    // A call that was in transit when the drain began still reaches the owner.
    let request = Request::post(format!("http://{SERVICE}/"));
    let (parts, body) = request.body(body::empty()).unwrap().into_parts();
    let call = Call::parse(&parts, plane.clock.now(), GUARD).unwrap();
    let response = owner::run(&plane, &call, Request::from_parts(parts, body)).await;
    assert_eq!(response.headers()["x-buckthorn-reason"], "draining");
    assert_eq!(response.headers()["x-buckthorn-ran"], "not-run");
    assert_eq!(runs.load(Ordering::SeqCst), 10);
    gate.add_permits(10);
    for call in calls {
        let response = call.await.unwrap();
        assert_eq!(
            (response.status, &response.body[..]),
            (200, &b"all of it"[..])
        );
        assert!(response.is_complete);
    }
    assert_eq!(drain.await.unwrap(), Drained::Clean);
    assert!(tokio::net::TcpStream::connect(owner_hop).await.is_err());
    assert_eq!(ingress.handle.drain(GUARD).await, Drained::Clean);
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_reports_when_it_aborted_a_call() {
    let (runs, gate) = (Arc::new(AtomicU64::new(0)), Arc::new(Semaphore::new(0)));
    let backend = gated(runs.clone(), gate).await;
    let (_ingress, owner) = pair(backend, limits()).await;
    let address = owner.callers;
    let call = tokio::spawn(async move {
        let mut caller = Caller::connect(address).await;
        caller.call("POST", "/", "", "order").await
    });
    until(&runs, 1).await;
    let drained = owner.handle.drain(Duration::from_millis(100)).await;
    assert_eq!(drained, Drained::Cut);
    assert!(!call.await.unwrap().is_complete);
}

#[tokio::test(flavor = "multi_thread")]
async fn refused_as_not_run_is_tried_at_another_owner() {
    let (runs, gate) = (Arc::new(AtomicU64::new(0)), Arc::new(Semaphore::new(100)));
    let backend = gated(runs.clone(), gate).await;
    let (ingress, refusing) = pair(backend, limits()).await;
    let other = node("other", Some(backend), limits()).await;
    let endpoints = [refusing.endpoint(), other.endpoint()];
    ingress.route_to(&endpoints);
    other.route_to(&endpoints);
    // Without a table the node refuses every call as not run, while its ports stay open.
    refusing.plane.table.store(Arc::default());
    let mut caller = Caller::connect(ingress.callers).await;
    for _ in 0..10 {
        let response = caller.call("POST", "/", "", "order").await;
        assert_eq!(response.status, 200, "{response:?}");
    }
    assert_eq!(runs.load(Ordering::SeqCst), 10);
    assert!(ingress.count(Counter::RetryNotRun) > 0);
}

/// Limits with which silent connections are detected quickly.
fn quick() -> buckthorn::proxy::limit::Limits {
    buckthorn::proxy::limit::Limits {
        ping_interval: Duration::from_millis(50),
        ping_timeout: Duration::from_millis(150),
        probe_after: Duration::from_millis(100),
        ..limits()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_connection_between_nodes_is_found() {
    let (runs, gate) = (Arc::new(AtomicU64::new(0)), Arc::new(Semaphore::new(1)));
    let backend = gated(runs.clone(), gate.clone()).await;
    let (ingress, owner) = pair(backend, quick()).await;
    let relay = Relay::start(owner.hop).await;
    ingress.route_to(&[endpoint("owner", relay.address)]);
    let mut caller = Caller::connect(ingress.callers).await;
    assert_eq!(caller.call("POST", "/", "", "").await.status, 200);
    // Detected before use: a call that must run only once is not sent on the silent connection.
    relay.silence();
    tokio::time::sleep(Duration::from_millis(150)).await;
    gate.add_permits(1);
    let response = caller.call("POST", "/", "", "").await;
    assert_eq!(response.status, 200, "{response:?}");
    assert_eq!(runs.load(Ordering::SeqCst), 2);
    ingress.until(Counter::ConnectionsSilent, 1).await;
    // Detected in use: a call in flight ends with an unknown outcome and is not run again.
    let address = ingress.callers;
    let call = tokio::spawn(async move {
        let mut caller = Caller::connect(address).await;
        caller.call("POST", "/", "", "").await
    });
    until(&runs, 3).await;
    relay.silence();
    let response = call.await.unwrap();
    assert_eq!((response.status, response.ran()), (502, "unknown"));
    gate.add_permits(2);
    let response = caller.call("POST", "/", "", "").await;
    assert_eq!(response.status, 200, "{response:?}");
    assert_eq!(runs.load(Ordering::SeqCst), 4);
    ingress.until(Counter::ConnectionsSilent, 2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_connection_to_the_backend_server_is_not_used_again() {
    let (runs, gate) = (Arc::new(AtomicU64::new(0)), Arc::new(Semaphore::new(0)));
    let backend = gated(runs.clone(), gate.clone()).await;
    let relay = Relay::start(backend).await;
    let (ingress, _owner) = pair(relay.address, limits()).await;
    // Two connections are open and idle when both go silent.
    let calls = [ingress.callers, ingress.callers].map(|address| {
        tokio::spawn(async move {
            let mut caller = Caller::connect(address).await;
            caller.call("GET", "/", "", "").await.status
        })
    });
    until(&runs, 2).await;
    gate.add_permits(100);
    for call in calls {
        assert_eq!(call.await.unwrap(), 200);
    }
    let mut caller = Caller::connect(ingress.callers).await;
    relay.silence();
    let deadline = "x-buckthorn-deadline-ms: 100\r\n";
    let response = caller.call("GET", "/", deadline, "").await;
    assert_eq!((response.status, response.ran()), (504, "unknown"));
    let response = caller
        .call("GET", "/", "x-buckthorn-deadline-ms: 5000\r\n", "")
        .await;
    assert_eq!(response.status, 200, "{response:?}");
}
