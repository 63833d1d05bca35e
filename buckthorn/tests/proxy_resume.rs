//! Downloads that break off go on at another backend server, or are errors.

mod proxy_kit;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use buckthorn::counter::Counter;
use proxy_kit::{Answer, Caller, Node, limits, node, scripted};

/// Bytes of the download.
const LENGTH: usize = 300_000;
/// Bytes after which the first answer breaks off.
const BREAK: usize = 123_456;

/// How the second backend server answers the request for the rest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rest {
    /// As asked.
    Good,
    /// With another entity tag.
    OtherTag,
    /// From another position.
    OtherStart,
    /// With the whole body, as one that knows no ranges.
    Whole,
}

/// Byte of the download at a position.
const fn byte(at: usize) -> u8 {
    (at % 251) as u8
}

/// Backend server whose first answer breaks off.
async fn breaking(tag: &'static str, rest: Rest) -> std::net::SocketAddr {
    let asked = Arc::new(AtomicU64::new(0));
    scripted(move |mut exchange| {
        let asked = asked.clone();
        async move {
            let body: Vec<u8> = (0..LENGTH).map(byte).collect();
            while let Some(request) = exchange.request().await {
                if asked.fetch_add(1, Ordering::SeqCst) == 0 {
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
                    Rest::OtherStart => (at + 1, tag),
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
async fn download(tag: &'static str, rest: Rest) -> (Answer, Node) {
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
    let answer = caller.call("GET", "/proof", "", "").await;
    (answer, ingress)
}

#[tokio::test(flavor = "multi_thread")]
async fn broken_download_goes_on_at_another_backend_server() {
    let (answer, ingress) = download("\"tag\"", Rest::Good).await;
    assert!(answer.is_whole);
    assert_eq!(answer.body.len(), LENGTH);
    let is_right = answer.body.iter().enumerate().all(|(at, b)| *b == byte(at));
    assert!(is_right, "the parts do not fit together");
    assert_eq!(ingress.count(Counter::DownloadsResumed), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn download_is_an_error_when_the_rest_does_not_fit() {
    for rest in [Rest::OtherTag, Rest::OtherStart, Rest::Whole] {
        let (answer, ingress) = download("\"tag\"", rest).await;
        assert!(!answer.is_whole, "{rest:?}");
        // Bytes on their way when the connection is cut may be lost; none may be wrong.
        let is_prefix = answer.body.iter().enumerate().all(|(at, b)| *b == byte(at));
        assert!(is_prefix && answer.body.len() <= BREAK, "{rest:?}");
        assert_eq!(ingress.count(Counter::DownloadsResumed), 0, "{rest:?}");
    }
    let (answer, _) = download("W/\"weak\"", Rest::Good).await;
    assert!(!answer.is_whole, "a weak tag was taken");
}
