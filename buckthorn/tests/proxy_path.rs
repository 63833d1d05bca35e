//! Calls over loopback sockets: responses, refusals and their reasons.

mod proxy_kit;

use buckthorn::counter::Counter;
use buckthorn::proxy::Drained;
use proxy_kit::{Caller, GUARD, echo, limits, node, pair};

#[tokio::test(flavor = "multi_thread")]
async fn call_goes_through_ingress_and_owner() {
    let (ingress, owner) = pair(echo().await, limits()).await;
    let mut caller = Caller::connect(ingress.callers).await;
    for path in ["/cards/1", "/cards/2?x=y"] {
        let response = caller.call("GET", path, "", "").await;
        assert_eq!(response.status, 200, "{response:?}");
        assert_eq!(response.body, format!("GET {path} HTTP/1.1").into_bytes());
        assert!(!response.head.contains("x-buckthorn"), "{response:?}");
    }
    let mut caller = Caller::connect(owner.callers).await;
    let response = caller.call("GET", "/cards/3", "", "").await;
    assert_eq!(response.status, 200, "{response:?}");
    ingress.until(Counter::CallsOk, 2).await;
    owner.until(Counter::CallsOk, 1).await;
    for node in [ingress, owner] {
        assert_eq!(node.handle.drain(GUARD).await, Drained::Clean);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn refusals_name_their_reason() {
    let node = node("alone", None, limits()).await;
    let mut caller = Caller::connect(node.callers).await;
    let response = caller.call("GET", "/", "", "").await;
    assert_eq!((response.status, response.reason()), (503, "not-ready"));
    node.route_to(&[]);
    let response = caller.call("POST", "/", "", "{}").await;
    assert_eq!(
        (response.status, response.reason()),
        (503, "no-backend-server")
    );
    assert_eq!(response.ran(), "not-run");
    assert_eq!(
        String::from_utf8_lossy(&response.body),
        r#"{"reason":"no-backend-server","ran":"not-run"}"#
    );
    caller.send("GET / HTTP/1.1\r\nhost: nowhere\r\n\r\n").await;
    let response = caller.response("GET").await;
    assert_eq!((response.status, response.reason()), (404, "no-route"));
    assert_eq!(node.count(Counter::RefusedNoRoute), 1);
    assert_eq!(node.count(Counter::RefusedNoBackendServer), 1);
    assert_eq!(node.count(Counter::RefusedNotReady), 1);
}
