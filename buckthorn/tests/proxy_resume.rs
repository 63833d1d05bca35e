//! Interrupted downloads resume at another backend server or end with an error.

mod proxy_kit;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use buckthorn::config::policy::{Kind, Policy, Route, SplitPart};
use buckthorn::counter::Counter;
use buckthorn::routing::table::Table;
use proxy_kit::{
    Caller, Node, Response, SERVICE, contract, limits, node, node_under, scripted, table,
};

/// Length of the download in bytes.
const LENGTH: usize = 300_000;
/// Bytes after which the first response is interrupted.
const BREAK: usize = 123_456;

/// Response to the request for the remainder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rest {
    /// The requested range.
    Good,
    /// A range with another entity tag.
    OtherTag,
    /// A range with another offset.
    OtherOffset,
    /// The whole body, as from a server without support for ranges.
    Whole,
}

/// Returns the byte of the download at an offset.
const fn byte(at: usize) -> u8 {
    (at % 251) as u8
}

/// Starts a backend server whose first response is interrupted.
async fn breaking(tag: &'static str, rest: Rest) -> std::net::SocketAddr {
    let requests = Arc::new(AtomicU64::new(0));
    scripted(move |mut exchange| {
        let requests = requests.clone();
        async move {
            let body: Vec<u8> = (0..LENGTH).map(byte).collect();
            while let Some(request) = exchange.request().await {
                if requests.fetch_add(1, Ordering::SeqCst) == 0 {
                    let head = format!(
                        "HTTP/1.1 200 OK\r\netag: {tag}\r\ncontent-length: {LENGTH}\r\n\r\n"
                    );
                    exchange.send(head).await;
                    exchange.send(&body[..BREAK]).await;
                    return;
                }
                let range = request
                    .lines()
                    .find_map(|line| line.strip_prefix("range: bytes="))
                    .and_then(|range| range.strip_suffix('-')?.parse::<usize>().ok());
                let (Some(at), true) = (range, request.contains(&format!("if-range: {tag}")))
                else {
                    return;
                };
                let (at, tag) = match rest {
                    Rest::OtherOffset => (at + 1, tag),
                    Rest::OtherTag => (at, "\"other\""),
                    Rest::Good | Rest::Whole => (at, tag),
                };
                let head = match rest {
                    Rest::Whole => format!(
                        "HTTP/1.1 200 OK\r\netag: {tag}\r\ncontent-length: {LENGTH}\r\n\r\n"
                    ),
                    _ => format!(
                        "HTTP/1.1 206 Partial\r\netag: {tag}\r\ncontent-length: {}\r\n\
                         content-range: bytes {at}-{}/{LENGTH}\r\n\r\n",
                        LENGTH - at,
                        LENGTH - 1
                    ),
                };
                exchange.send(head).await;
                let at = if rest == Rest::Whole { 0 } else { at };
                if !exchange.send(&body[at..]).await {
                    return;
                }
            }
        }
    })
    .await
}

/// Downloads through an ingress with two owners.
async fn download(tag: &'static str, rest: Rest) -> (Response, Node) {
    let backend = breaking(tag, rest).await;
    let ingress = node("ingress", None, limits()).await;
    let owners = [
        node("owner-1", Some(backend), limits()).await,
        node("owner-2", Some(backend), limits()).await,
    ];
    let endpoints: Vec<_> = owners.iter().map(Node::endpoint).collect();
    for node in owners.iter().chain([&ingress]) {
        node.route_to(&endpoints);
    }
    let mut caller = Caller::connect(ingress.callers).await;
    let response = caller.call("GET", "/proof", "", "").await;
    (response, ingress)
}

#[tokio::test(flavor = "multi_thread")]
async fn broken_download_goes_on_at_another_backend_server() {
    let (response, ingress) = download("\"tag\"", Rest::Good).await;
    assert!(response.is_complete);
    assert_eq!(response.body.len(), LENGTH);
    let is_right = response
        .body
        .iter()
        .enumerate()
        .all(|(at, b)| *b == byte(at));
    assert!(is_right, "the parts do not fit together");
    assert_eq!(ingress.count(Counter::DownloadsResumed), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn download_is_an_error_when_the_rest_does_not_fit() {
    for rest in [Rest::OtherTag, Rest::OtherOffset, Rest::Whole] {
        let (response, ingress) = download("\"tag\"", rest).await;
        assert!(!response.is_complete, "{rest:?}");
        // Bytes in transit when the connection is closed may be lost, but none may be wrong.
        let is_prefix = response
            .body
            .iter()
            .enumerate()
            .all(|(at, b)| *b == byte(at));
        assert!(is_prefix && response.body.len() <= BREAK, "{rest:?}");
        assert_eq!(ingress.count(Counter::DownloadsResumed), 0, "{rest:?}");
    }
    let (response, _) = download("W/\"weak\"", Rest::Good).await;
    assert!(!response.is_complete, "a weak tag was accepted");
}

/// Starts a backend server under the contract that breaks off each response and counts the requests.
async fn breaking_under_contract() -> (std::net::SocketAddr, Arc<AtomicU64>) {
    let requests = Arc::new(AtomicU64::new(0));
    let counted = requests.clone();
    let address = scripted(move |mut exchange| {
        let counted = counted.clone();
        async move {
            if exchange.request().await.is_some() {
                counted.fetch_add(1, Ordering::SeqCst);
                let head = format!(
                    "HTTP/1.1 200 OK\r\ntest-id: r-1\r\ntest-signature: s\r\netag: \"tag\"\r\n\
                     content-length: {LENGTH}\r\n\r\n"
                );
                exchange.send(head).await;
                exchange.send(&vec![b'a'; BREAK]).await;
            }
        }
    })
    .await;
    (address, requests)
}

/// Sends a request under a policy to three owners whose responses break off, and returns how many
/// requests reached their backend server.
async fn runs(kind: Kind, attempts: u32, request: &str) -> u64 {
    let (backend, requests) = breaking_under_contract().await;
    let ingress = node_under(Some(contract()), "ingress", None, limits()).await;
    let mut owners = Vec::new();
    for host in ["owner-1", "owner-2", "owner-3"] {
        owners.push(node_under(Some(contract()), host, Some(backend), limits()).await);
    }
    let endpoints: Vec<_> = owners.iter().map(Node::endpoint).collect();
    for node in owners.iter().chain([&ingress]) {
        let part = SplitPart {
            service: SERVICE.into(),
            weight: 1,
        };
        let split = vec![part];
        let mut route = Route::new("r".into(), "shop.example", "/r/".into(), kind, split);
        route.attempts = attempts;
        route.timeout = std::time::Duration::from_secs(5);
        node.plane.table.store(Arc::new(Table {
            policy: Some(Arc::new(Policy::new(1, vec![route], Vec::new()))),
            ..table(&endpoints)
        }));
    }
    let mut caller = Caller::connect(ingress.callers).await;
    caller.send(request).await;
    assert!(!caller.response("GET").await.is_complete);
    requests.load(Ordering::SeqCst)
}

#[tokio::test(flavor = "multi_thread")]
async fn the_kind_and_the_attempts_of_a_route_limit_how_often_a_response_is_resumed() {
    let plain = "GET /r/1 HTTP/1.1\r\nhost: shop.example\r\ntest-id: r-1\r\n\r\n";
    let with_body = "GET /r/1 HTTP/1.1\r\nhost: shop.example\r\ntest-id: r-1\r\n\
                     content-length: 2\r\n\r\nab";
    for (kind, attempts, request, expected) in [
        (Kind::NonIdempotent, 3, plain, 1),
        (Kind::Idempotent, 1, plain, 1),
        (Kind::Bulk, 2, plain, 2),
        (Kind::Idempotent, 3, with_body, 1),
    ] {
        let runs = runs(kind, attempts, request).await;
        assert_eq!(runs, expected, "{kind:?}, {attempts} attempts, {request:?}");
    }
}
