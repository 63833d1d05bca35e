//! Backend servers that send bytes without end in a head or in a body. The node must bound the
//! memory and time that they take, close their connections, and serve other calls meanwhile.

mod proxy_kit;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use buckthorn::config::policy::{Kind, Policy, Route, SplitPart};
use buckthorn::routing::table::Table;
use proxy_kit::{Caller, Exchange, Node, SERVICE, contract, limits, node_under, scripted, table};
use tokio::time::Instant;

/// Bytes that an endless backend server may get rid of: buffers of the node and of its sockets.
const MAX_ACCEPTED_BYTES: u64 = 16 * 1024 * 1024;

/// Time within which the node closes the connection of a backend server that its caller has left.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout of the route.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(1);

/// Starts a backend server that sends `start` and then `rest` until its connection is closed.
/// Returns its address, the bytes that it could send, and the connections that were closed.
async fn endless(
    start: &'static str,
    rest: &'static str,
) -> (SocketAddr, Arc<AtomicU64>, Arc<AtomicU64>) {
    let (sent, closed) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let (counted, ended) = (sent.clone(), closed.clone());
    let address = scripted(move |mut exchange: Exchange| {
        let (counted, ended) = (counted.clone(), ended.clone());
        async move {
            if exchange.request().await.is_some() && exchange.send(start).await {
                while exchange.send(rest).await {
                    counted.fetch_add(rest.len() as u64, Ordering::SeqCst);
                }
            }
            ended.fetch_add(1, Ordering::SeqCst);
        }
    })
    .await;
    (address, sent, closed)
}

/// Starts an ingress and the owner of a backend server, with one idempotent route to it.
async fn mesh(backend: SocketAddr) -> (Node, Node) {
    let ingress = node_under(Some(contract()), "ingress", None, limits()).await;
    let owner = node_under(Some(contract()), "owner", Some(backend), limits()).await;
    for node in [&ingress, &owner] {
        let part = SplitPart {
            service: SERVICE.into(),
            weight: 1,
        };
        let mut route = Route::new(
            "read".into(),
            "shop.example",
            "/read/".into(),
            Kind::Idempotent,
            vec![part],
        );
        route.timeout = ROUTE_TIMEOUT;
        let policy = Policy::new(1, vec![route], Vec::new());
        node.plane.table.store(Arc::new(Table {
            policy: Some(Arc::new(policy)),
            ..table(&[owner.endpoint()])
        }));
    }
    (ingress, owner)
}

/// Sends a request that the endless backend server takes.
async fn request(node: &Node) -> Caller {
    let mut caller = Caller::connect(node.callers).await;
    caller
        .send("GET /read/1 HTTP/1.1\r\nhost: shop.example\r\ntest-id: r-1\r\n\r\n")
        .await;
    caller
}

async fn wait_until_closed(closed: &AtomicU64, case: &str) {
    let started = Instant::now();
    while closed.load(Ordering::SeqCst) == 0 {
        assert!(
            started.elapsed() < CLOSE_TIMEOUT,
            "{case}: the connection stays open"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_head_without_end_is_an_error_in_time_and_closes_the_connection() {
    let heads = [
        (
            "a line",
            "HTTP/1.1 200 OK\r\ntest-signature: ",
            "aaaaaaaaaaaaaaaa",
        ),
        ("lines", "HTTP/1.1 200 OK\r\n", "x-more: of the same\r\n"),
        ("no answer", "", "these bytes are no answer "),
        (
            "interim responses",
            "HTTP/1.1 100 Continue\r\n\r\n",
            "HTTP/1.1 100 Continue\r\n\r\n",
        ),
    ];
    for (case, start, rest) in heads {
        let (address, sent, closed) = endless(start, rest).await;
        let (ingress, _owner) = mesh(address).await;
        let started = Instant::now();
        let response = request(&ingress).await.response("GET").await;
        let took = started.elapsed();
        assert!(matches!(response.status, 502 | 504), "{case}: {response:?}");
        assert!(
            took < ROUTE_TIMEOUT + Duration::from_millis(500),
            "{case}: {took:?}"
        );
        wait_until_closed(&closed, case).await;
        // Interim responses are read and dropped, as many as arrive until the timeout.
        if case != "interim responses" {
            let sent = sent.load(Ordering::SeqCst);
            assert!(sent <= MAX_ACCEPTED_BYTES, "{case}: {sent} bytes");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_without_end_takes_bounded_memory_until_its_caller_leaves() {
    let bodies = [
        (
            "chunks",
            "HTTP/1.1 200 OK\r\ntest-id: r-1\r\ntest-signature: s\r\ntransfer-encoding: chunked\r\n\r\n",
            "10\r\n0123456789abcdef\r\n",
        ),
        (
            "until the connection closes",
            "HTTP/1.1 200 OK\r\ntest-id: r-1\r\ntest-signature: s\r\n\r\n",
            "0123456789abcdef",
        ),
        (
            "one chunk's size",
            "HTTP/1.1 200 OK\r\ntest-id: r-1\r\ntest-signature: s\r\ntransfer-encoding: chunked\r\n\r\n",
            "0000000000000000",
        ),
    ];
    for (case, start, rest) in bodies {
        let (address, sent, closed) = endless(start, rest).await;
        let (ingress, _owner) = mesh(address).await;
        let caller = request(&ingress).await;
        // The caller reads nothing, and another service's calls go on meanwhile.
        tokio::time::sleep(Duration::from_millis(500)).await;
        let mut other = Caller::connect(ingress.callers).await;
        other
            .send("GET /other/ HTTP/1.1\r\nhost: shop.example\r\ntest-id: r-2\r\n\r\n")
            .await;
        assert_eq!(other.response("GET").await.status, 404, "{case}");
        let accepted = sent.load(Ordering::SeqCst);
        assert!(accepted <= MAX_ACCEPTED_BYTES, "{case}: {accepted} bytes");
        drop(caller);
        wait_until_closed(&closed, case).await;
    }
}

/// Head of an answer with a body without end, and more of the body than a node buffers.
fn unbuffered_start() -> &'static str {
    let head = "HTTP/1.1 200 OK\r\ntest-id: r-1\r\ntest-signature: s\r\n\
                transfer-encoding: chunked\r\n\r\n";
    format!("{head}20000\r\n{}\r\n", "a".repeat(0x20000)).leak()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_without_end_ends_at_the_timeout_of_its_route() {
    let chunk: &str = format!("4000\r\n{}\r\n", "a".repeat(0x4000)).leak();
    let bodies = [
        ("a fast body", chunk, Duration::ZERO),
        (
            "a body that trickles",
            "1\r\na\r\n",
            Duration::from_millis(50),
        ),
        ("a body that stops", "", Duration::from_millis(50)),
    ];
    for ((case, rest, pause), reads) in bodies.iter().flat_map(|b| [(*b, true), (*b, false)]) {
        let closed = Arc::new(AtomicU64::new(0));
        let ended = closed.clone();
        let start = unbuffered_start();
        let address = scripted(move |mut exchange: Exchange| {
            let ended = ended.clone();
            async move {
                if exchange.request().await.is_some() && exchange.send(start).await {
                    while !rest.is_empty() && exchange.send(rest).await {
                        tokio::time::sleep(pause).await;
                    }
                    if rest.is_empty() {
                        exchange.request().await;
                    }
                }
                ended.fetch_add(1, Ordering::SeqCst);
            }
        })
        .await;
        let (ingress, _owner) = mesh(address).await;
        let started = Instant::now();
        let mut caller = request(&ingress).await;
        if reads {
            let response = caller.response("GET").await;
            assert!(!response.is_complete, "{case}");
            let took = started.elapsed();
            assert!(took >= ROUTE_TIMEOUT.mul_f64(0.8), "{case}: {took:?}");
            let limit = ROUTE_TIMEOUT + Duration::from_millis(500);
            assert!(took < limit, "{case}: {took:?}");
        }
        wait_until_closed(&closed, case).await;
        let took = started.elapsed();
        assert!(
            took < ROUTE_TIMEOUT + Duration::from_secs(1),
            "{case}, read by its caller: {reads}: {took:?}"
        );
    }
}
