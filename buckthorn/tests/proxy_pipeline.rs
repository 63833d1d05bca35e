//! Requests that callers send ahead on one connection.

mod proxy_kit;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use buckthorn::counter::Counter;
use buckthorn::proxy::Drained;
use buckthorn::proxy::limit::Limits;
use buckthorn::proxy::pipeline::{Head, Scanner, Window};
use proxy_kit::{Caller, GUARD, Node, SERVICE, limits, node, scripted, settled};
use tokio::sync::Semaphore;

/// Heads of all kinds, with the number of those that are found and of those without a body.
const STREAM: &str = "GET /1 HTTP/1.1\r\nhost: a\r\n\r\n\
    POST /2 HTTP/1.1\r\nhost: a\r\ncontent-length: 30\r\n\r\nGET /body HTTP/1.1\r\nhost: a\r\n\r\n\
    GET /3 HTTP/1.1\r\nhost: a\r\nx: y\r\n\r\n\
    GET /4 HTTP/1.1\r\nhost: a\r\nconnection: Keep-Alive, Close\r\n\r\n\
    GET /behind HTTP/1.1\r\nhost: a\r\n\r\n";

/// Feeds a stream in pieces and returns the index, safety and path of each head.
fn scan(pieces: impl IntoIterator<Item = impl AsRef<[u8]>>) -> Vec<(u64, bool, Option<String>)> {
    let mut scanner = Scanner::new(1_024, 10);
    let mut heads = Vec::new();
    for piece in pieces {
        heads.extend(scanner.feed(piece.as_ref()));
    }
    let path = |head: &Head| Some(head.request.as_ref()?.uri().path().to_owned());
    heads
        .iter()
        .map(|h| (h.index, h.is_safe, path(h)))
        .collect()
}

#[test]
fn heads_are_found_however_their_bytes_are_split() {
    let expected = vec![
        (0, true, Some("/1".to_owned())),
        (1, false, None),
        (2, true, Some("/3".to_owned())),
        // It closes the connection, so it is not dispatched from its head, nor is anything behind it.
        (3, true, None),
    ];
    assert_eq!(scan([STREAM]), expected);
    assert_eq!(scan(STREAM.bytes().map(|byte| [byte])), expected);
    for at in 0..STREAM.len() {
        let (left, right) = STREAM.split_at(at);
        assert_eq!(scan([left, right]), expected, "split at {at}");
    }
}

#[test]
fn nothing_is_looked_for_behind_bytes_that_only_the_library_can_read() {
    let behind = "GET /behind HTTP/1.1\r\nhost: a\r\n\r\n";
    for head in [
        "POST /1 HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n",
        "GET /1 HTTP/1.1\r\nhost: a\r\nupgrade: x\r\n\r\n",
        "POST /1 HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n",
        "POST /1 HTTP/1.1\r\nhost: a\r\ncontent-length: some\r\n\r\n",
        "GET /1 HTTP/1.0\r\nhost: a\r\n\r\n",
    ] {
        assert_eq!(scan([head, behind]).len(), 1, "{head}");
    }
    assert!(scan(["no head at all\r\n\r\n", behind]).is_empty());
    let overlong = format!("GET /1 HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(2_000));
    assert!(scan([&overlong[..1_500], &overlong[1_500..], behind]).is_empty());
}

/// No request.
const NONE: [u64; 0] = [];

/// Adds heads with these methods to a window, none of which the library has taken.
fn window(max_ahead: usize, methods: &[&str]) -> Window {
    let mut window = Window::new(max_ahead);
    let mut scanner = Scanner::new(1_024, 10);
    for method in methods {
        let head = format!("{method} / HTTP/1.1\r\nhost: a\r\n\r\n");
        for head in scanner.feed(head.as_bytes()) {
            window.push(head, 0);
        }
    }
    window
}

/// Indices of the requests that are dispatched at this point.
fn dispatched(window: &mut Window, taken: u64, answered: u64) -> Vec<u64> {
    std::iter::from_fn(|| Some(window.next(taken, answered)?.0)).collect()
}

#[test]
fn a_bounded_number_of_requests_runs_ahead() {
    let mut window = window(3, &["GET"; 10]);
    assert_eq!(dispatched(&mut window, 1, 0), [1, 2, 3]);
    assert_eq!(dispatched(&mut window, 1, 0), NONE);
    assert_eq!(dispatched(&mut window, 2, 1), [4]);
    // The library takes request 7 next, by itself.
    assert_eq!(dispatched(&mut window, 7, 7), [8, 9]);
}

#[test]
fn a_window_of_none_dispatches_nothing_ahead() {
    assert_eq!(dispatched(&mut window(0, &["GET"; 3]), 1, 0), NONE);
}

#[test]
fn nothing_runs_beside_a_request_that_changes_something() {
    let mut window = window(8, &["GET", "GET", "POST", "GET", "GET"]);
    assert_eq!(dispatched(&mut window, 1, 0), [1]);
    assert_eq!(dispatched(&mut window, 3, 2), NONE);
    assert_eq!(dispatched(&mut window, 3, 3), [4]);
}

/// Requests that a backend server holds until it is told to answer.
#[derive(Clone)]
struct Held {
    /// Requests that arrived.
    arrived: Arc<AtomicU64>,
    /// Requests whose connection ended before they were answered.
    left: Arc<AtomicU64>,
    /// Permits to answer.
    permits: Arc<Semaphore>,
}

impl Held {
    /// Starts a backend server that holds its requests.
    async fn start() -> (Self, std::net::SocketAddr) {
        let held = Self {
            arrived: Arc::default(),
            left: Arc::default(),
            permits: Arc::new(Semaphore::new(0)),
        };
        let script = held.clone();
        let address = scripted(move |mut connection| {
            let held = script.clone();
            async move {
                while let Some(request) = connection.request().await {
                    held.arrived.fetch_add(1, Ordering::SeqCst);
                    let path = request.split(' ').nth(1).unwrap_or_default().to_owned();
                    let permit = tokio::select! {
                        permit = held.permits.acquire() => permit,
                        _ = connection.request() => {
                            held.left.fetch_add(1, Ordering::SeqCst);
                            return;
                        }
                    };
                    permit.unwrap().forget();
                    let head = "HTTP/1.1 200 OK\r\ncontent-length";
                    let text = format!("{head}: {}\r\n\r\n{path}", path.len());
                    connection.send(text).await;
                }
            }
        })
        .await;
        (held, address)
    }

    /// Waits until this many requests have arrived and no more do.
    async fn until_arrived(&self, count: u64) {
        let arrived = async {
            while self.arrived.load(Ordering::SeqCst) < count {
                tokio::task::yield_now().await;
            }
            settled(|| self.arrived.load(Ordering::SeqCst)).await
        };
        assert_eq!(tokio::time::timeout(GUARD, arrived).await.unwrap(), count);
    }
}

/// Request for a path.
fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: {SERVICE}\r\n\r\n")
}

/// Starts a node whose backend server holds three requests that a caller has sent ahead.
async fn three_ahead() -> (Held, Node, Caller) {
    let (held, backend) = Held::start().await;
    let node = node("h1", Some(backend), limits()).await;
    node.route_to(&[node.endpoint()]);
    let mut caller = Caller::connect(node.callers).await;
    caller
        .send([get("/1"), get("/2"), get("/3")].concat())
        .await;
    held.until_arrived(3).await;
    (held, node, caller)
}

#[tokio::test]
async fn requests_sent_ahead_run_together_and_are_answered_in_order() {
    let (held, node, mut caller) = three_ahead().await;
    held.permits.add_permits(3);
    for path in ["/1", "/2", "/3"] {
        assert_eq!(caller.response("GET").await.body, path.as_bytes());
    }
    assert_eq!(node.count(Counter::CallsAhead), 2);
    assert_eq!(node.count(Counter::Calls), 3);
    // The connection goes on as before.
    held.permits.add_permits(1);
    assert_eq!(caller.call("GET", "/4", "", "").await.body, b"/4");
}

#[tokio::test]
async fn a_caller_that_reads_nothing_is_held_to_the_bound() {
    let (held, backend) = Held::start().await;
    let limits = Limits {
        requests_ahead: 2,
        ..limits()
    };
    let node = node("h1", Some(backend), limits).await;
    node.route_to(&[node.endpoint()]);
    let mut caller = Caller::connect(node.callers).await;
    let requests: String = (0..50).map(|index| get(&format!("/{index}"))).collect();
    caller.send(requests).await;
    held.until_arrived(3).await;
    held.permits.add_permits(50);
    for index in 0..50 {
        let body = caller.response("GET").await.body;
        assert_eq!(body, format!("/{index}").as_bytes());
    }
}

#[tokio::test]
async fn calls_ahead_are_cancelled_when_their_caller_leaves() {
    let (held, _node, caller) = three_ahead().await;
    drop(caller);
    let left = async {
        while held.left.load(Ordering::SeqCst) < 3 {
            tokio::task::yield_now().await;
        }
    };
    tokio::time::timeout(GUARD, left).await.unwrap();
}

#[tokio::test]
async fn a_draining_node_answers_the_requests_that_run_ahead() {
    let (held, node, mut caller) = three_ahead().await;
    let drained = tokio::spawn(node.handle.drain(GUARD));
    // Longer than the time that connections stay open in a drain.
    tokio::time::sleep(limits().drain_linger * 4).await;
    held.permits.add_permits(3);
    for path in ["/1", "/2"] {
        let response = caller.response("GET").await;
        assert_eq!(
            (&response.body[..], response.header("connection")),
            (path.as_bytes(), None)
        );
    }
    let last = caller.response("GET").await;
    assert_eq!(
        (&last.body[..], last.header("connection")),
        (&b"/3"[..], Some("close"))
    );
    assert_eq!(drained.await.unwrap(), Drained::Clean);
}
