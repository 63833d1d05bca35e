//! Answers: whole or an error, never another request's, and at most one run of a call that is not
//! idempotent.

mod proxy_kit;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use buckthorn::counter::Counter;
use proxy_kit::{Answer, Caller, GUARD, SERVICE, echo, limits, node, pair, scripted, settled};
use tokio::io::AsyncReadExt;
use tokio::sync::Notify;

/// Calls once through two nodes and once through the owner alone; returns both answers and the
/// broken answers that the owner counted.
async fn both_ways(answer: &'static str) -> (Vec<Answer>, u64) {
    let backend = scripted(move |mut exchange| async move {
        if exchange.request().await.is_some() {
            exchange.send(answer).await;
        }
    })
    .await;
    let (ingress, owner) = pair(backend, limits()).await;
    let mut answers = Vec::new();
    for address in [ingress.callers, owner.callers] {
        let mut caller = Caller::connect(address).await;
        answers.push(caller.call("POST", "/", "", "").await);
    }
    let ok = ingress.count(Counter::CallsOk) + owner.count(Counter::CallsOk);
    assert_eq!(ok, 0, "a broken answer counted as ok");
    (answers, owner.count(Counter::BrokenResponses))
}

#[tokio::test(flavor = "multi_thread")]
async fn broken_answers_are_errors() {
    let broken = [
        "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nshort",
        "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nlonger than that",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhel",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\nmore",
        "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nends when the connection does",
    ];
    for answer in broken {
        let (answers, counted) = both_ways(answer).await;
        for got in &answers {
            let is_error = !got.is_whole || got.status == 502;
            assert!(is_error, "{answer:?} became {got:?}");
            assert_ne!(got.ran(), "not-run", "{answer:?} became {got:?}");
        }
        assert!(counted >= 2, "{answer:?} was counted {counted} times");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn reset_at_any_byte_runs_once_and_is_never_called_not_run() {
    const ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello";
    let runs: Arc<Vec<AtomicU64>> = Arc::new((0..ANSWER.len()).map(|_| 0.into()).collect());
    let counted = runs.clone();
    let backend = scripted(move |mut exchange| {
        let runs = counted.clone();
        async move {
            let Some(request) = exchange.request().await else {
                return;
            };
            let path = request.split(' ').nth(1).unwrap();
            let at: usize = path[1..].parse().unwrap();
            runs[at].fetch_add(1, Ordering::SeqCst);
            exchange.send(&ANSWER[..at]).await;
            exchange.reset();
        }
    })
    .await;
    let ingress = node("ingress", None, limits()).await;
    let owners = [
        node("owner-1", Some(backend), limits()).await,
        node("owner-2", Some(backend), limits()).await,
    ];
    let endpoints: Vec<_> = owners.iter().map(|owner| owner.endpoint()).collect();
    for node in owners.iter().chain([&ingress]) {
        node.route_to(&endpoints);
    }
    for (at, run) in runs.iter().enumerate() {
        let mut caller = Caller::connect(ingress.callers).await;
        let answer = caller.call("POST", &format!("/{at}"), "", "{}").await;
        let is_error = !answer.is_whole || answer.ran() == "unknown";
        assert!(is_error, "reset at byte {at} became {answer:?}");
        assert_eq!(run.load(Ordering::SeqCst), 1, "reset at byte {at}");
    }
    let denied = ingress.count(Counter::RetryDeniedNotIdempotent);
    assert!(denied > 0, "no retry was denied");
    assert!(ingress.count(Counter::CallsUnknown) > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn idempotent_call_is_tried_again_after_a_reset() {
    let runs = Arc::new(AtomicU64::new(0));
    let counted = runs.clone();
    let backend = scripted(move |mut exchange| {
        let runs = counted.clone();
        async move {
            while exchange.request().await.is_some() {
                if runs.fetch_add(1, Ordering::SeqCst) == 0 {
                    return exchange.reset();
                }
                exchange
                    .send("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")
                    .await;
            }
        }
    })
    .await;
    let ingress = node("ingress", None, limits()).await;
    let owners = [
        node("owner-1", Some(backend), limits()).await,
        node("owner-2", Some(backend), limits()).await,
    ];
    let endpoints: Vec<_> = owners.iter().map(|owner| owner.endpoint()).collect();
    for node in owners.iter().chain([&ingress]) {
        node.route_to(&endpoints);
    }
    let mut caller = Caller::connect(ingress.callers).await;
    let answer = caller.call("PUT", "/", "", "body").await;
    assert_eq!((answer.status, &answer.body[..]), (200, &b"ok"[..]));
    assert_eq!(ingress.count(Counter::RetryReset), 1);
    assert_eq!(runs.load(Ordering::SeqCst), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn late_answer_never_goes_to_another_request() {
    let backend = scripted(|mut exchange| async move {
        while let Some(request) = exchange.request().await {
            let path = request.split(' ').nth(1).unwrap().to_owned();
            if path.starts_with("/late") {
                tokio::time::sleep(Duration::from_millis(80)).await;
            }
            let length = path.len();
            let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{path}");
            if !exchange.send(answer).await {
                return;
            }
        }
    })
    .await;
    let (ingress, owner) = pair(backend, limits()).await;
    let calls = (0..8).map(|n| {
        let address = if n % 2 == 0 {
            ingress.callers
        } else {
            owner.callers
        };
        tokio::spawn(async move {
            for i in 0..12 {
                let mut caller = Caller::connect(address).await;
                let late = format!("/late/{n}/{i}");
                if i % 2 == 0 {
                    let deadline = "x-buckthorn-deadline-ms: 30\r\n";
                    let answer = caller.call("POST", &late, deadline, "").await;
                    assert_eq!(answer.status, 504, "{answer:?}");
                } else {
                    let request = format!("GET {late} HTTP/1.1\r\nhost: {SERVICE}\r\n\r\n");
                    caller.send(request).await;
                    drop(caller);
                    caller = Caller::connect(address).await;
                }
                for j in 0..5 {
                    let path = format!("/soon/{n}/{i}/{j}");
                    let answer = caller.call("GET", &path, "", "").await;
                    assert_eq!(answer.status, 200, "{answer:?}");
                    assert_eq!(String::from_utf8_lossy(&answer.body), path);
                }
            }
        })
    });
    for call in calls.collect::<Vec<_>>() {
        call.await.unwrap();
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_that_leaves_cancels_inward() {
    let (started, closed) = (Arc::new(Notify::new()), Arc::new(Notify::new()));
    let (start, close) = (started.clone(), closed.clone());
    let backend = scripted(move |mut exchange| {
        let (started, closed) = (start.clone(), close.clone());
        async move {
            exchange.request().await;
            started.notify_one();
            // No answer is given; only the other end can end this.
            let _ = exchange.stream.read(&mut [0; 16]).await;
            closed.notify_one();
        }
    })
    .await;
    let (ingress, owner) = pair(backend, limits()).await;
    for node in [&ingress, &owner] {
        let mut caller = Caller::connect(node.callers).await;
        let request = format!("GET /wait HTTP/1.1\r\nhost: {SERVICE}\r\n\r\n");
        caller.send(request).await;
        tokio::time::timeout(GUARD, started.notified())
            .await
            .unwrap();
        drop(caller);
        tokio::time::timeout(GUARD, closed.notified())
            .await
            .unwrap();
        node.until(Counter::CallerGone, 1).await;
    }
}

/// Bytes of the large bodies.
const LARGE: usize = 48 * 1024 * 1024;
/// Bytes that sockets and nodes may hold of one body that nobody reads.
const MAX_HELD: u64 = 24 * 1024 * 1024;

#[tokio::test(flavor = "multi_thread")]
async fn download_waits_for_its_reader_and_holds_up_no_other() {
    let written = Arc::new(AtomicU64::new(0));
    let counted = written.clone();
    let backend = scripted(move |mut exchange| {
        let written = counted.clone();
        async move {
            while let Some(request) = exchange.request().await {
                if !request.contains("/large") {
                    exchange
                        .send("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")
                        .await;
                    continue;
                }
                let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {LARGE}\r\n\r\n");
                exchange.send(head).await;
                let chunk = [7; 64 * 1024];
                for _ in 0..LARGE / chunk.len() {
                    if !exchange.send(chunk).await {
                        return;
                    }
                    written.fetch_add(chunk.len() as u64, Ordering::SeqCst);
                }
            }
        }
    })
    .await;
    let (ingress, _owner) = pair(backend, limits()).await;
    let mut reader = Caller::connect(ingress.callers).await;
    let request = format!("GET /large HTTP/1.1\r\nhost: {SERVICE}\r\n\r\n");
    reader.send(request).await;
    let held = settled(|| written.load(Ordering::SeqCst)).await;
    assert!(held < MAX_HELD, "{held} bytes were taken without a reader");
    let mut other = Caller::connect(ingress.callers).await;
    let answer = other.call("GET", "/small", "", "").await;
    assert_eq!(answer.body, b"ok");
    let answer = reader.answer("GET").await;
    assert!(answer.is_whole);
    assert_eq!(answer.body.len(), LARGE);
}

#[tokio::test(flavor = "multi_thread")]
async fn upload_waits_for_the_backend_server() {
    let go = Arc::new(Notify::new());
    let gate = go.clone();
    let backend = scripted(move |mut exchange| {
        let gate = gate.clone();
        async move {
            gate.notified().await;
            let request = exchange.request().await.unwrap();
            let body = request.len().to_string();
            let length = body.len();
            exchange
                .send(format!(
                    "HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}"
                ))
                .await;
        }
    })
    .await;
    let (ingress, _owner) = pair(backend, limits()).await;
    let caller = Caller::connect(ingress.callers).await;
    let (mut read, mut write) = caller.stream.into_split();
    let sent = Arc::new(AtomicU64::new(0));
    let counted = sent.clone();
    tokio::spawn(async move {
        use tokio::io::AsyncWriteExt;

        let head =
            format!("POST /upload HTTP/1.1\r\nhost: {SERVICE}\r\ncontent-length: {LARGE}\r\n\r\n");
        write.write_all(head.as_bytes()).await.unwrap();
        let chunk = [b'x'; 64 * 1024];
        for _ in 0..LARGE / chunk.len() {
            write.write_all(&chunk).await.unwrap();
            counted.fetch_add(chunk.len() as u64, Ordering::SeqCst);
        }
        std::future::pending::<()>().await;
    });
    let held = settled(|| sent.load(Ordering::SeqCst)).await;
    assert!(held < MAX_HELD, "{held} bytes were taken without a reader");
    go.notify_one();
    let mut answer = vec![0; 16];
    let read = tokio::time::timeout(GUARD, read.read_exact(&mut answer)).await;
    read.unwrap().unwrap();
    assert_eq!(&answer[..15], b"HTTP/1.1 200 OK");
}

#[tokio::test(flavor = "multi_thread")]
async fn own_headers_of_a_backend_server_are_not_believed() {
    let (answers, _) = {
        let backend = scripted(|mut exchange| async move {
            exchange.request().await;
            exchange
                .send(
                    "HTTP/1.1 503 Busy\r\nx-buckthorn-ran: not-run\r\n\
                     x-buckthorn-reason: draining\r\ncontent-length: 0\r\n\r\n",
                )
                .await;
        })
        .await;
        let (ingress, owner) = pair(backend, limits()).await;
        let mut caller = Caller::connect(ingress.callers).await;
        (caller.call("POST", "/", "", "").await, owner)
    };
    assert_eq!((answers.status, answers.ran()), (503, ""));
    assert_eq!(answers.reason(), "");
}

#[tokio::test(flavor = "multi_thread")]
async fn heads_without_bodies_keep_their_length() {
    let (ingress, _owner) = pair(echo().await, limits()).await;
    let backend = scripted(|mut exchange| async move {
        while exchange.request().await.is_some() {
            exchange
                .send("HTTP/1.1 200 OK\r\ncontent-length: 77\r\n\r\n")
                .await;
        }
    })
    .await;
    drop(ingress);
    let (ingress, owner) = pair(backend, limits()).await;
    for node in [&ingress, &owner] {
        let mut caller = Caller::connect(node.callers).await;
        for _ in 0..3 {
            let answer = caller.call("HEAD", "/", "", "").await;
            assert_eq!(answer.status, 200, "{answer:?}");
            assert_eq!(answer.header("content-length"), Some("77"));
        }
    }
}
