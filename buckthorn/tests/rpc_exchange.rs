//! Exchange of control messages over loopback.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use buckthorn::counter::{Counter, Counters};
use buckthorn::rpc::client::{Client, Timeouts};
use buckthorn::rpc::message::{Digest, Envelope, Message};
use buckthorn::rpc::server::{self, Handle, Inbound, Limits};
use buckthorn::rpc::{MAX_MESSAGE_BYTES, depth};
use buckthorn::secret::Secrets;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Server and its counters.
struct Fixture {
    /// Handle of the server.
    handle: Handle,
    /// Counters of the server.
    counters: Arc<Counters>,
}

/// Starts a server that replies to every envelope with the same messages.
fn echo(secret: Secrets) -> Fixture {
    let (sender, receiver) = crossbeam::channel::bounded::<Inbound>(8);
    std::thread::spawn(move || {
        for inbound in receiver {
            // The client may have disconnected.
            let _ = inbound.reply.send(inbound.envelope.messages);
        }
    });
    fixture(secret, sender, Limits::default())
}

/// Starts a server that sends envelopes to a channel.
fn fixture(
    secret: Secrets,
    sender: crossbeam::channel::Sender<Inbound>,
    limits: Limits,
) -> Fixture {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let counters = Arc::new(Counters::new());
    let handle = server::serve(
        "server".into(),
        listener,
        secret,
        limits,
        counters.clone(),
        sender,
    )
    .unwrap();
    Fixture { handle, counters }
}

/// Creates a client and its counters.
fn client(secret: &Secrets) -> (Client, Arc<Counters>) {
    let counters = Arc::new(Counters::new());
    let client = Client::new(secret, Timeouts::default(), counters.clone()).unwrap();
    (client, counters)
}

/// Creates an envelope with one ping.
fn envelope() -> Envelope {
    Envelope {
        from: "client".into(),
        messages: vec![Message::Ping(Digest::default())],
    }
}

/// Sends a request with the given headers and body, and returns the raw response.
async fn send_raw(address: SocketAddr, head: &str, body: &str) -> String {
    let mut stream = tokio::net::TcpStream::connect(address).await.unwrap();
    let request = format!(
        "POST / HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-type: application/json\r\n{head}content-length: {}\r\n\r\n{body}",
        body.len()
    );
    // The server may close the connection before it has read the whole request.
    let _ = stream.write_all(request.as_bytes()).await;
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response).await;
    String::from_utf8_lossy(&response).into_owned()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn exchange_returns_the_reply_and_counts_bytes() {
    let secret = Secrets::new("s1", None);
    let server = echo(secret.clone());
    let (client, counters) = client(&secret);
    for _ in 0..3 {
        let reply = client
            .exchange(server.handle.address(), &envelope())
            .await
            .unwrap();
        assert_eq!(&*reply.from, "server");
        assert_eq!(reply.messages, envelope().messages);
    }
    assert_eq!(counters.get(Counter::ConnectionsOpened), 1);
    let (out, received) = (
        counters.get(Counter::ControlBytesOut),
        server.counters.get(Counter::ControlBytesIn),
    );
    // The client estimates the size of its headers; the server counts it.
    assert!(out.abs_diff(received) < 3 * 40, "{out} {received}");
    let (sent, back) = (
        server.counters.get(Counter::ControlBytesOut),
        counters.get(Counter::ControlBytesIn),
    );
    assert!(sent.abs_diff(back) < 3 * 40, "{sent} {back}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn peers_without_the_secret_are_refused_and_counted() {
    let server = echo(Secrets::new("new", Some("old".into())));
    let address = server.handle.address();
    for accepted in ["new", "old"] {
        let (client, _) = client(&Secrets::new(accepted, None));
        client.exchange(address, &envelope()).await.unwrap();
    }
    for refused in ["ne", "neww", "other", ""] {
        let (client, _) = client(&Secrets::new(refused, None));
        client.exchange(address, &envelope()).await.unwrap_err();
    }
    assert!(
        send_raw(address, "", "{}")
            .await
            .starts_with("HTTP/1.1 401")
    );
    assert_eq!(server.counters.get(Counter::RefusedUnauthenticated), 5);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn oversized_and_deep_messages_are_refused_and_counted() {
    let server = echo(Secrets::new("s", None));
    let address = server.handle.address();
    let head = "authorization: Bearer s\r\n";
    let large = " ".repeat(MAX_MESSAGE_BYTES as usize + 1);
    assert!(
        send_raw(address, head, &large)
            .await
            .starts_with("HTTP/1.1 413")
    );
    assert_eq!(server.counters.get(Counter::MessagesRefused), 1);

    let (open, close) = (
        "[".repeat(depth::MAX_DEPTH + 1),
        "]".repeat(depth::MAX_DEPTH + 1),
    );
    let deep = format!(r#"{{"jsonrpc":"2.0","id":1,"method":"exchange","params":{open}{close}}}"#);
    assert!(send_raw(address, head, &deep).await.contains("too deep"));
    assert_eq!(server.counters.get(Counter::MessagesRefused), 2);

    let wrong = r#"{"jsonrpc":"2.0","id":1,"method":"exchange","params":[{"from":1}]}"#;
    assert!(send_raw(address, head, wrong).await.contains("error"));
    assert_eq!(server.counters.get(Counter::MessagesRefused), 3);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_with_a_full_queue_replies_busy() {
    let secret = Secrets::new("s", None);
    let (sender, receiver) = crossbeam::channel::bounded(1);
    let server = fixture(secret.clone(), sender, Limits::default());
    let address = server.handle.address();
    let timeouts = Timeouts {
        exchange: Duration::from_millis(200),
        ..Timeouts::default()
    };
    let client = Client::new(&secret, timeouts, Arc::new(Counters::new())).unwrap();
    // The first envelope waits in the queue and gets no reply; the second finds the queue full.
    client.exchange(address, &envelope()).await.unwrap_err();
    let error = client.exchange(address, &envelope()).await.unwrap_err();
    assert!(format!("{error:#}").contains("busy"), "{error:#}");
    assert_eq!(server.counters.get(Counter::MessagesRefused), 1);
    drop(receiver);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_over_the_limit_are_closed() {
    let secret = Secrets::new("s", None);
    let (sender, _receiver) = crossbeam::channel::bounded(1);
    let limits = Limits {
        connections: 2,
        ..Limits::default()
    };
    let server = fixture(secret, sender, limits);
    let address = server.handle.address();
    let _first = tokio::net::TcpStream::connect(address).await.unwrap();
    let _second = tokio::net::TcpStream::connect(address).await.unwrap();
    let mut third = tokio::net::TcpStream::connect(address).await.unwrap();
    let mut buffer = [0; 1];
    assert!(matches!(third.read(&mut buffer).await, Ok(0) | Err(_)));
    assert_eq!(server.counters.get(Counter::RefusedConnections), 1);
}

#[test]
fn depth_ignores_brackets_in_strings() {
    assert!(depth::is_within(r#"{"a":"[[[[\"[[["}"#, 1));
    assert!(depth::is_within("[[]]", 2));
    assert!(!depth::is_within("[[[]]]", 2));
}
