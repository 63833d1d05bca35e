//! A response whose status is none that a backend server may end a call with never reaches a caller
//! as the backend server's response, neither from the local server nor from another node.

mod proxy_kit;

use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Response as HttpResponse, StatusCode};
use http_body_util::Full;
use hyper::server::conn::http2;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use proxy_kit::{
    Caller, Exchange, Node, Response, contract, endpoint, limits, listener, node, node_under, pair,
    scripted,
};

/// Starts a backend server that answers every request with these bytes and keeps its connection.
async fn answering(bytes: String) -> SocketAddr {
    scripted(move |mut exchange: Exchange| {
        let bytes = bytes.clone();
        async move { while exchange.request().await.is_some() && exchange.send(&bytes).await {} }
    })
    .await
}

/// Calls through two nodes and through the owner alone.
async fn call_both_paths(answer: String) -> Vec<Response> {
    let (ingress, owner) = pair(answering(answer).await, limits()).await;
    let mut responses = Vec::new();
    for node in [&ingress, &owner] {
        let mut caller = Caller::connect(node.callers).await;
        responses.push(caller.call("POST", "/", "", "").await);
    }
    responses
}

/// Checks that a response is a failure of the node's own that claims nothing about the call.
fn assert_failure(case: &str, response: &Response) {
    assert_eq!(response.status, 502, "{case} became {response:?}");
    assert_ne!(response.reason(), "", "{case} became {response:?}");
    assert_ne!(response.ran(), "not-run", "{case} became {response:?}");
}

const ODD: [&str; 9] = [
    "000", "099", "20", "2000", "-10", "600", "999", "101", "abc",
];

#[tokio::test(flavor = "multi_thread")]
async fn an_odd_status_is_a_failure() {
    for status in ODD {
        let answer = format!("HTTP/1.1 {status} Odd\r\ncontent-length: 2\r\n\r\nok");
        for response in call_both_paths(answer).await {
            assert_failure(status, &response);
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_odd_status_is_a_failure_under_a_contract_and_with_the_mark_of_a_refusal() {
    for mark in ["", "test-not-executed: 1\r\n"] {
        for status in ODD {
            let answer = format!(
                "HTTP/1.1 {status} Odd\r\ntest-id: r-1\r\ntest-signature: s\r\n{mark}\
                 content-length: 2\r\n\r\nok"
            );
            let backend = answering(answer).await;
            let owner = node_under(Some(contract()), "owner", Some(backend), limits()).await;
            route_by_policy(&owner);
            let mut caller = Caller::connect(owner.callers).await;
            caller
                .send("POST /a/ HTTP/1.1\r\nhost: shop.example\r\ntest-id: r-1\r\ncontent-length: 0\r\n\r\n")
                .await;
            assert_failure(status, &caller.response("POST").await);
        }
    }
}

/// Installs a policy with one route that is not idempotent.
fn route_by_policy(node: &Node) {
    use buckthorn::config::policy::{Kind, Policy, Route, SplitPart};
    use buckthorn::routing::table::Table;

    let part = SplitPart {
        service: proxy_kit::SERVICE.into(),
        weight: 1,
    };
    let (prefix, kind) = ("/a/", Kind::NonIdempotent);
    let mut route = Route::new("a".into(), "shop.example", prefix.into(), kind, vec![part]);
    route.timeout = Duration::from_secs(2);
    node.plane.table.store(std::sync::Arc::new(Table {
        policy: Some(Policy::new(1, vec![route], Vec::new()).into()),
        ..proxy_kit::table(&[node.endpoint()])
    }));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_odd_status_from_another_node_is_a_failure() {
    for status in [600, 999, 101] {
        let hop = odd_node(status).await;
        let ingress = node("ingress", None, limits()).await;
        ingress.route_to(&[endpoint("odd", hop)]);
        let mut caller = Caller::connect(ingress.callers).await;
        let response = caller.call("POST", "/", "", "").await;
        assert_failure(&status.to_string(), &response);
    }
}

/// Starts a node that answers every call with a status.
async fn odd_node(status: u16) -> SocketAddr {
    let listener = listener().await;
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let service = service_fn(move |_| async move {
                let mut response = HttpResponse::new(Full::new(Bytes::from_static(b"ok")));
                *response.status_mut() = StatusCode::from_u16(status).unwrap();
                Ok::<_, Infallible>(response)
            });
            let connection = http2::Builder::new(TokioExecutor::new());
            tokio::spawn(connection.serve_connection(TokioIo::new(stream), service));
        }
    });
    address
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_after_a_response_that_has_none_never_becomes_a_response() {
    for status in ["204 No Content", "304 Not Modified"] {
        let smuggled = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwrong";
        let answer = format!(
            "HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n{smuggled}",
            smuggled.len()
        );
        let (ingress, _owner) = pair(answering(answer).await, limits()).await;
        let mut caller = Caller::connect(ingress.callers).await;
        for _ in 0..3 {
            let response = caller.call("GET", "/", "", "").await;
            let is_bodiless = status.starts_with(&response.status.to_string());
            assert!(
                is_bodiless || response.status == 502,
                "{status}: {response:?}"
            );
            assert!(!response.body.windows(5).any(|part| part == b"wrong"));
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn interim_responses_are_not_final() {
    for interim in ["100 Continue", "102 Processing", "103 Early Hints"] {
        let interim = format!("HTTP/1.1 {interim}\r\n\r\n").repeat(3);
        let answer = format!("{interim}HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
        for response in call_both_paths(answer).await {
            assert_eq!((response.status, &*response.body), (200, &b"ok"[..]));
        }
    }
}
