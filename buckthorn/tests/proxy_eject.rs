//! Ejection of a host that fails, seen from the path of a call.

mod proxy_kit;

use buckthorn::counter::Counter;
use proxy_kit::{Caller, echo, endpoint, limits, node, pair};

/// Calls in which a host that fails every time has to be found.
const CALLS: usize = 60;

/// Calls that may fail until then: five failures in a row eject it.
const MAX_FAILED: u64 = 5;

#[tokio::test(flavor = "multi_thread")]
async fn a_host_that_cannot_be_reached_is_ejected_and_left_alone() {
    let (ingress, good) = pair(echo().await, limits()).await;
    let others = [
        node("other-1", Some(echo().await), limits()).await,
        node("other-2", Some(echo().await), limits()).await,
    ];
    // Nobody listens on the port of a listener that is gone.
    let gone = proxy_kit::listener().await.local_addr().unwrap();
    let endpoints = [
        good.endpoint(),
        others[0].endpoint(),
        others[1].endpoint(),
        endpoint("xgone", gone),
    ];
    for host in [&ingress, &good, &others[0], &others[1]] {
        host.route_to(&endpoints);
    }
    let mut caller = Caller::connect(ingress.callers).await;
    for _ in 0..CALLS {
        // A refused connection is never a run: even orders are tried at another host.
        let answer = caller.call("POST", "/", "", "order").await;
        assert!(
            answer.status == 200 || answer.ran() == "not-run",
            "{answer:?}"
        );
    }
    assert_eq!(ingress.count(Counter::EjectedOutlier), 1);
    let retries = ingress.count(Counter::RetryConnect) + ingress.count(Counter::RetryNotRun);
    assert!(
        retries <= MAX_FAILED,
        "{retries} calls went to the host that is gone"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn the_only_host_is_never_ejected() {
    let gone = proxy_kit::listener().await.local_addr().unwrap();
    let ingress = node("ingress", None, limits()).await;
    ingress.route_to(&[endpoint("gone", gone)]);
    let mut caller = Caller::connect(ingress.callers).await;
    for _ in 0..CALLS {
        let answer = caller.call("GET", "/", "", "").await;
        assert_eq!(answer.ran(), "not-run", "{answer:?}");
    }
    assert_eq!(ingress.count(Counter::EjectedOutlier), 0);
    assert!(ingress.count(Counter::EjectDenied) > 0);
}
