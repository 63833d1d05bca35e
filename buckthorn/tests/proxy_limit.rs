//! Each limit on connections, requests and responses has a status, a reason and a counter.

mod proxy_kit;

use std::time::Duration;

use buckthorn::counter::Counter;
use buckthorn::proxy::limit::Limits;
use http::{Request, StatusCode};
use http_body_util::Empty;
use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo};
use proxy_kit::{Caller, Node, SERVICE, echo, limits, node, pair, scripted};
use tokio::net::TcpStream;

/// Starts two nodes with tight limits in front of an echoing backend server.
async fn tight(change: impl FnOnce(&mut Limits)) -> (Node, Node) {
    let mut limits = limits();
    change(&mut limits);
    pair(echo().await, limits).await
}

#[tokio::test(flavor = "multi_thread")]
async fn header_size() {
    let (ingress, _owner) = tight(|limits| limits.header_bytes = 8 * 1024).await;
    let mut caller = Caller::connect(ingress.callers).await;
    let long = "x".repeat(9 * 1024);
    let request = format!("GET / HTTP/1.1\r\nhost: {SERVICE}\r\nlong: {long}\r\n\r\n");
    caller.send(request).await;
    let response = caller.response("GET").await;
    assert_eq!(response.status, 431, "{response:?}");
    ingress.until(Counter::RefusedHeaderSize, 1).await;
}

/// The hop counts each field with 32 bytes more than a caller sends (RFC 9113, section 6.5.2).
#[tokio::test(flavor = "multi_thread")]
async fn the_largest_head_of_a_caller_fits_the_hop() {
    const HEADER_BYTES: usize = 8 * 1024;
    for count in [1, 20, 90] {
        let (ingress, _owner) = tight(|limits| limits.header_bytes = HEADER_BYTES).await;
        let start = format!("GET / HTTP/1.1\r\nhost: {SERVICE}\r\n");
        let left = HEADER_BYTES - start.len() - "\r\n".len();
        let value = "x".repeat(left / count - "a00: \r\n".len());
        let fields: String = (0..count)
            .map(|n| format!("a{n:02}: {value}\r\n"))
            .collect();
        let mut caller = Caller::connect(ingress.callers).await;
        caller.send(format!("{start}{fields}\r\n")).await;
        let response = caller.response("GET").await;
        assert_eq!(response.status, 200, "{count} fields: {response:?}");
    }
}

/// The owner's connection may date from before a policy that allows longer heads.
#[tokio::test(flavor = "multi_thread")]
async fn a_head_that_an_owner_refuses_has_not_run() {
    let owner = node("owner", Some(echo().await), limits()).await;
    let mut longer = limits();
    longer.header_bytes = 64 * 1024;
    let ingress = node("ingress", None, longer).await;
    for node in [&ingress, &owner] {
        node.route_to(&[owner.endpoint()]);
    }
    let long = "x".repeat(50 * 1024);
    let request = format!("POST / HTTP/1.1\r\nhost: {SERVICE}\r\nlong: {long}\r\n\r\n");
    let mut caller = Caller::connect(ingress.callers).await;
    caller.send(request).await;
    let response = caller.response("POST").await;
    assert_eq!((response.status, response.reason()), (431, "header-size"));
    assert_eq!(response.ran(), "not-run");
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_header() {
    let (ingress, _owner) =
        tight(|limits| limits.header_timeout = Duration::from_millis(100)).await;
    let mut caller = Caller::connect(ingress.callers).await;
    caller.send("GET / HTTP/1.1\r\nhost:").await;
    let response = caller.response("GET").await;
    assert_eq!(
        (response.status, response.reason()),
        (408, "header-timeout")
    );
    assert_eq!(response.ran(), "not-run");
    ingress.until(Counter::RefusedHeaderTimeout, 1).await;
    // A connection that is idle after a call is closed without a response.
    let mut caller = Caller::connect(ingress.callers).await;
    let response = caller.call("POST", "/", "", "body").await;
    assert_eq!(response.status, 200, "{response:?}");
    let response = caller.response("GET").await;
    assert_eq!(response.status, 0, "{response:?}");
    assert_eq!(ingress.count(Counter::RefusedHeaderTimeout), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_requests() {
    let (ingress, _owner) = tight(|_| {}).await;
    let malformed = [
        "BAD\r\n\r\n".to_owned(),
        "GET / HTTP/1.1\r\n\r\n".to_owned(),
        format!("GET / HTTP/1.1\r\nhost: {SERVICE}\r\nx-buckthorn-deadline-ms: soon\r\n\r\n"),
        format!("GET / HTTP/1.1\r\nhost: {SERVICE}\r\nupgrade: websocket\r\n\r\n"),
        format!("POST / HTTP/1.1\r\nhost: {SERVICE}\r\nidempotency-key: \r\n\r\n"),
    ];
    for (n, request) in malformed.iter().enumerate() {
        let mut caller = Caller::connect(ingress.callers).await;
        caller.send(request).await;
        let response = caller.response("GET").await;
        assert_eq!(response.status, 400, "{request:?} became {response:?}");
        ingress
            .until(Counter::RefusedBadRequest, n as u64 + 1)
            .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn declared_body_size() {
    let (ingress, owner) = tight(|limits| limits.body_bytes = 1_000).await;
    let mut caller = Caller::connect(ingress.callers).await;
    let body = "x".repeat(1_001);
    let response = caller.call("POST", "/", "", &body).await;
    assert_eq!((response.status, response.reason()), (413, "body-size"));
    assert_eq!(response.ran(), "not-run");
    assert_eq!(ingress.count(Counter::RefusedBodySize), 1);
    assert_eq!(owner.count(Counter::ConnectionsOpened), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn undeclared_body_size() {
    // The backend server sends no response before the end of the body, which never arrives.
    let backend = scripted(|mut exchange| async move {
        let mut sink = tokio::io::sink();
        let _ = tokio::io::copy(&mut exchange.stream, &mut sink).await;
    })
    .await;
    let limits = Limits {
        body_bytes: 1_000,
        ..limits()
    };
    let (ingress, owner) = pair(backend, limits).await;
    for node in [&ingress, &owner] {
        let mut caller = Caller::connect(node.callers).await;
        let head =
            format!("POST / HTTP/1.1\r\nhost: {SERVICE}\r\ntransfer-encoding: chunked\r\n\r\n");
        let chunk = "x".repeat(600);
        caller
            .send(format!("{head}258\r\n{chunk}\r\n258\r\n{chunk}\r\n"))
            .await;
        let response = caller.response("POST").await;
        assert_eq!((response.status, response.reason()), (413, "body-size"));
        assert_eq!(response.ran(), "unknown");
        assert_eq!(node.count(Counter::RefusedBodySize), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn idle_body() {
    let (ingress, _owner) = tight(|limits| {
        limits.idle_body_timeout = Duration::from_millis(100);
        limits.kept_body_bytes = 50;
    })
    .await;
    for (length, ran) in [(20, "not-run"), (200, "unknown")] {
        let mut caller = Caller::connect(ingress.callers).await;
        let head =
            format!("POST / HTTP/1.1\r\nhost: {SERVICE}\r\ncontent-length: {length}\r\n\r\n");
        caller.send(head + "part").await;
        let response = caller.response("POST").await;
        assert_eq!((response.status, response.reason()), (408, "body-timeout"));
        assert_eq!(response.ran(), ran);
    }
    assert_eq!(ingress.count(Counter::RefusedBodyTimeout), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn connections() {
    let (ingress, _owner) = tight(|limits| limits.caller_connections = 2).await;
    let mut kept = Vec::new();
    for _ in 0..2 {
        let mut caller = Caller::connect(ingress.callers).await;
        assert_eq!(caller.call("GET", "/", "", "").await.status, 200);
        kept.push(caller);
    }
    let mut caller = Caller::connect(ingress.callers).await;
    let response = caller.response("GET").await;
    assert_eq!((response.status, response.reason()), (503, "connections"));
    assert_eq!(ingress.count(Counter::RefusedConnections), 1);
    assert_eq!(kept[0].call("GET", "/", "", "").await.status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn stalled_response_body() {
    let backend = scripted(|mut exchange| async move {
        exchange.request().await;
        exchange
            .send("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\npart")
            .await;
        std::future::pending::<()>().await;
    })
    .await;
    let mut limits = limits();
    limits.idle_body_timeout = Duration::from_millis(100);
    let (ingress, _owner) = pair(backend, limits).await;
    let mut caller = Caller::connect(ingress.callers).await;
    let response = caller.call("GET", "/", "", "").await;
    assert!(!response.is_complete, "{response:?}");
    ingress.until(Counter::BrokenResponses, 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_that_stops_reading() {
    let backend = scripted(|mut exchange| async move {
        exchange.request().await;
        let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        let chunk = format!("10000\r\n{}\r\n", "x".repeat(0x1_0000));
        let mut is_open = exchange.send(head).await;
        while is_open {
            is_open = exchange.send(&chunk).await;
        }
    })
    .await;
    let mut limits = limits();
    limits.idle_body_timeout = Duration::from_millis(150);
    let (ingress, _owner) = pair(backend, limits).await;
    let mut caller = Caller::connect(ingress.callers).await;
    let request = format!("GET / HTTP/1.1\r\nhost: {SERVICE}\r\n\r\n");
    caller.send(request).await;
    ingress.until(Counter::ConnectionsStalled, 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn peer_without_the_secret() {
    let (_ingress, owner) = tight(|_| {}).await;
    let stream = TcpStream::connect(owner.hop).await.unwrap();
    let (mut sender, driver) = http2::handshake(TokioExecutor::new(), TokioIo::new(stream))
        .await
        .unwrap();
    tokio::spawn(driver);
    for secret in [None, Some("wrong"), Some("correct horse")] {
        let mut request = Request::get(format!("http://{SERVICE}/"));
        request = request.header("x-buckthorn-part", "owner");
        if let Some(secret) = secret {
            request = request.header("x-buckthorn-secret", secret);
        }
        let request = request.body(Empty::<&[u8]>::new()).unwrap();
        let response = sender.send_request(request).await.unwrap();
        let expected = match secret {
            Some("correct horse") => StatusCode::OK,
            _ => StatusCode::UNAUTHORIZED,
        };
        assert_eq!(response.status(), expected, "{secret:?}");
    }
    assert_eq!(owner.count(Counter::RefusedUnauthenticated), 2);
}
