//! The admin API over real sockets.

use std::io::{Read as _, Write as _};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use buckthorn::admin::server::MAX_HEADER_BYTES;
use buckthorn::admin::{self, Access, Announcement, Handle, Handler, Refusal, announcement};
use buckthorn::counter::{Counter, Counters};
use buckthorn::secret::Secrets;
use expect_test::{Expect, expect};
use serde_json::{Value, json};
use tokio::runtime::Runtime;

/// Handler that records the calls it receives.
#[derive(Clone, Default)]
struct Node {
    /// Counters of refused requests.
    counters: Arc<Counters>,
    /// Announcements and leaves in the order in which they were received.
    received: Arc<Mutex<Vec<String>>>,
}

impl Handler for Node {
    fn announce(&self, announcement: Announcement) -> Result<(), Refusal> {
        match &*announcement.version {
            "leaving" => return Err(Refusal::Leaving),
            "busy" => return Err(Refusal::Busy),
            _ => {}
        }
        let received = format!("{} {}", announcement.service, announcement.slots);
        self.received.lock().unwrap().push(received);
        Ok(())
    }

    fn leave(&self) {
        self.received.lock().unwrap().push("leave".into());
    }

    fn leave_instance(&self, instance: &str, _: Option<u64>) -> Result<(), Refusal> {
        self.received
            .lock()
            .unwrap()
            .push(format!("leave {instance}"));
        Ok(())
    }

    fn status(&self) -> Option<Value> {
        Some(json!({ "version": 7 }))
    }

    fn is_ready(&self) -> bool {
        !self.received.lock().unwrap().is_empty()
    }

    fn counters(&self) -> &Arc<Counters> {
        &self.counters
    }
}

/// Admin API of a node and the runtime that serves it.
struct TestServer {
    /// Handler of the requests.
    node: Node,
    /// Address that the server listens on.
    address: SocketAddr,
    /// Stops the server when dropped.
    handle: Option<Handle>,
    /// Runtime of the server.
    _runtime: Runtime,
}

/// Starts a server with the given access control.
fn start(access: Access) -> TestServer {
    let runtime = Runtime::new().unwrap();
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let node = Node::default();
    let handle = {
        let _guard = runtime.enter();
        admin::serve(listener, access, node.clone()).unwrap()
    };
    TestServer {
        node,
        address: handle.address(),
        handle: Some(handle),
        _runtime: runtime,
    }
}

/// Waits until a condition holds that a task of the runtime brings about.
fn eventually(mut condition: impl FnMut() -> bool) {
    for _ in 0..2_000 {
        if condition() {
            return;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    panic!("the condition did not hold in time");
}

/// Sends a raw request and returns the status and body of the response.
fn send(address: SocketAddr, request: &str) -> (u16, String) {
    let mut stream = TcpStream::connect((Ipv4Addr::LOCALHOST, address.port())).unwrap();
    stream.write_all(request.as_bytes()).unwrap();
    let mut response = String::new();
    // A connection that is reset after the response has still delivered the response.
    let _ = stream.read_to_string(&mut response);
    let status = response.split(' ').nth(1).unwrap_or("0").parse().unwrap();
    let body = response.split_once("\r\n\r\n").unwrap_or_default().1;
    (status, body.to_owned())
}

/// Sends a request without a body; `line` is its method and path.
fn get(address: SocketAddr, line: &str) -> (u16, String) {
    send(
        address,
        &format!("{line} HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\r\n"),
    )
}

/// Posts an announcement and returns the status and body of the response.
fn announce(address: SocketAddr, body: &str) -> (u16, String) {
    let request = format!(
        "POST /v1/announce HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    send(address, &request)
}

/// Valid announcement.
const VALID: &str = r#"{"service":"card-desk","version":"v1","address":"127.0.0.1:9000",
    "slots":10,"connections":130,"from_a_newer_release":[1]}"#;

#[test]
fn an_announcement_and_a_leave_reach_the_handler() {
    let server = start(Access::Loopback);
    let node = &server.node;
    let address = server.address;
    assert_eq!(
        get(address, "GET /v1/ready"),
        (503, r#"{"ready":false}"#.into())
    );
    assert_eq!(
        announce(address, VALID),
        (200, r#"{"announced":true}"#.into())
    );
    assert_eq!(get(address, "GET /v1/ready").0, 200);
    assert_eq!(
        get(address, "POST /v1/leave"),
        (200, r#"{"leaving":true}"#.into())
    );
    assert_eq!(*node.received.lock().unwrap(), ["card-desk 10", "leave"]);
    assert_eq!(get(address, "GET /v1/live").0, 200);
    assert_eq!(
        get(address, "GET /v1/status"),
        (200, r#"{"version":7}"#.into())
    );
    assert_eq!(get(address, "GET /v1/announce").0, 405);
    assert_eq!(get(address, "DELETE /v1/status").0, 405);
    assert_eq!(get(address, "GET /v2").0, 404);
}

#[test]
fn every_counter_is_listed_zero_included() {
    let server = start(Access::Loopback);
    let node = &server.node;
    node.counters.increment(Counter::Calls);
    let (_, body) = get(server.address, "GET /v1/counters");
    let listed: Value = serde_json::from_str(&body).unwrap();
    assert_eq!(listed.as_object().unwrap().len(), Counter::ALL.len());
    assert_eq!(listed["call.total"], 1);
    assert_eq!(listed["announce.refused"], 0);
}

#[test]
fn an_invalid_announcement_is_refused_and_counted() {
    let server = start(Access::Loopback);
    let node = &server.node;
    let check = |body: &str, expected: Expect| {
        let before = node.counters.get(Counter::AnnouncementsRefused);
        let (status, text) = announce(server.address, body);
        expected.assert_eq(&format!("{status} {text}"));
        let after = node.counters.get(Counter::AnnouncementsRefused);
        assert_eq!(after, before + 1);
    };
    check(
        "",
        expect![[
            r#"400 {"error":"malformed announcement: EOF while parsing a value at line 1 column 0"}"#
        ]],
    );
    check(
        "{}",
        expect![[
            r#"400 {"error":"malformed announcement: missing field `service` at line 1 column 2"}"#
        ]],
    );
    check(
        &VALID.replace("10", "0"),
        expect![[r#"400 {"error":"slots: expected a number between 1 and 10000"}"#]],
    );
    check(
        &VALID.replace("10", "-1"),
        expect![[
            r#"400 {"error":"malformed announcement: invalid value: integer `-1`, expected u32 at line 2 column 14"}"#
        ]],
    );
    check(
        &VALID.replace("card-desk", ""),
        expect![[
            r#"400 {"error":"service: expected a host name of 1 to 128 letters, digits, -, . and _"}"#
        ]],
    );
    check(
        &VALID.replace("v1", "v 1"),
        expect![[r#"400 {"error":"version: expected 1 to 128 visible characters"}"#]],
    );
    check(
        &VALID.replace("v1", "leaving"),
        expect![[r#"409 {"error":"the backend server has just left"}"#]],
    );
    check(
        &VALID.replace(":9000", ""),
        expect![[
            r#"400 {"error":"malformed announcement: invalid socket address syntax at line 1 column 59"}"#
        ]],
    );
    check(
        &VALID.replace("127.0.0.1", "0.0.0.0"),
        expect![[
            r#"400 {"error":"address: expected an IP address and port that the node can connect to"}"#
        ]],
    );
    check(
        &VALID.replace("[1]", &"[".repeat(99)),
        expect![[r#"400 {"error":"malformed announcement: nested deeper than 16 levels"}"#]],
    );
    check(
        &" ".repeat(announcement::MAX_BYTES + 1),
        expect![[r#"413 {"error":"longer than 16384 bytes"}"#]],
    );
    assert_eq!(node.counters.get(Counter::RefusedBodySize), 1);
    assert!(node.received.lock().unwrap().is_empty());
}

#[test]
fn an_endless_body_is_refused_without_being_read() {
    let server = start(Access::Loopback);
    let node = &server.node;
    let head = "POST /v1/announce HTTP/1.1\r\nhost: node\r\n";
    let (status, _) = send(
        server.address,
        &format!(
            "{head}transfer-encoding: chunked\r\n\r\n{}",
            "fff\r\n".to_owned() + &"x".repeat(4095) + "\r\n8000\r\n" + &"x".repeat(0x8000)
        ),
    );
    assert_eq!(status, 413);
    assert_eq!(node.counters.get(Counter::RefusedBodySize), 1);
}

#[test]
fn a_stalled_body_ends_in_a_timeout() {
    let server = start(Access::Loopback);
    let node = &server.node;
    let head = "POST /v1/announce HTTP/1.1\r\nhost: node\r\ncontent-length: 10\r\n\r\n{";
    assert_eq!(send(server.address, head).0, 408);
    assert_eq!(node.counters.get(Counter::RefusedBodyTimeout), 1);
    assert_eq!(node.counters.get(Counter::AnnouncementsRefused), 1);
}

#[test]
fn a_server_off_loopback_requires_the_secret() {
    let loopback = "127.0.0.1:1".parse().unwrap();
    let other = "10.0.0.7:1".parse().unwrap();
    let secrets = || Secrets::new("hush", Some("before".into()));
    assert!(matches!(
        Access::for_address(loopback, secrets()),
        Access::Loopback
    ));
    let access = Access::for_address(other, secrets());
    assert!(matches!(access, Access::Secret(_)));

    let server = start(access);
    let with = |header: &str| {
        let head = "GET /v1/live HTTP/1.1\r\nhost: n\r\nconnection: close\r\n";
        send(server.address, &format!("{head}{header}\r\n")).0
    };
    assert_eq!(with("authorization: Bearer hush\r\n"), 200);
    assert_eq!(with("authorization: Bearer before\r\n"), 200);
    for header in [
        "",
        "authorization: Bearer hus\r\n",
        "authorization: hush\r\n",
    ] {
        assert_eq!(with(header), 401, "{header}");
    }
    assert_eq!(server.node.counters.get(Counter::RefusedUnauthenticated), 3);
    let empty = start(Access::for_address(other, Secrets::new("", None)));
    let request = "GET /v1/live HTTP/1.1\r\nhost: n\r\nconnection: close\r\n\
                   authorization: Bearer \r\n\r\n";
    assert_eq!(send(empty.address, request).0, 401);
}

#[test]
fn headers_over_the_limit_are_refused_and_counted() {
    let server = start(Access::Loopback);
    let header = "x".repeat(MAX_HEADER_BYTES);
    let (status, _) = get(server.address, &format!("GET /v1/live?{header}"));
    assert!(matches!(status, 414 | 431), "{status}");
    eventually(|| server.node.counters.get(Counter::RefusedHeaderSize) == 1);
}

#[test]
fn stalled_or_malformed_headers_are_refused_and_counted() {
    let server = start(Access::Loopback);
    let counters = &server.node.counters;
    send(server.address, "GET /v1/live HTTP/1.1\r\nhost: n");
    eventually(|| counters.get(Counter::RefusedHeaderTimeout) == 1);
    assert_eq!(send(server.address, "\u{1}\u{2} nonsense\r\n\r\n").0, 400);
    eventually(|| counters.get(Counter::RefusedBadRequest) == 1);
    // A connection that idles after its response is closed without being counted.
    assert_eq!(
        send(server.address, "GET /v1/live HTTP/1.1\r\nhost: n\r\n\r\n").0,
        200
    );
    assert_eq!(counters.get(Counter::RefusedHeaderTimeout), 1);
}

#[test]
fn a_dropped_handle_frees_the_port() {
    let mut server = start(Access::Loopback);
    assert_eq!(get(server.address, "GET /v1/live").0, 200);
    drop(server.handle.take());
    eventually(|| TcpStream::connect(server.address).is_err());
}
