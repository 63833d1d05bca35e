//! What the tests of the path of a call share: nodes on loopback, scripted backend servers, and a
//! caller that sees every byte.

#![allow(
    dead_code,
    unreachable_pub,
    reason = "each test file uses a part of this module"
)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use buckthorn::admission::gate::Gate;
use buckthorn::admission::semaphore::Semaphore;
use buckthorn::clock::Clock;
use buckthorn::counter::{Counter, Counters};
use buckthorn::name::Name;
use buckthorn::proxy::contract::{Contract, Headers, RetryAfter};
use buckthorn::proxy::limit::Limits;
use buckthorn::proxy::owner::Owner;
use buckthorn::proxy::{self, Handle, Plane};
use buckthorn::rollout::evidence::Recorder;
use buckthorn::routing::load::Load;
use buckthorn::routing::table::{Endpoint, Route, Service, Share, Table};
use buckthorn::secret::Secrets;
use http::{HeaderName, HeaderValue};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Service of the tests.
pub const SERVICE: &str = "card-desk";
/// Calls a second that the tests' backend servers bear while cold.
pub const COLD_CALLS: usize = 5;
/// Guard against a test that hangs.
pub const GUARD: Duration = Duration::from_secs(30);

/// A node on loopback.
pub struct Node {
    /// Host.
    pub host: Name,
    /// Plane.
    pub plane: Arc<Plane>,
    /// Address of the callers' port.
    pub callers: SocketAddr,
    /// Address of the hop port.
    pub hop: SocketAddr,
    /// Servers.
    pub handle: Handle,
}

/// Limits with which the tests run; a test changes what it is about.
pub fn limits() -> Limits {
    Limits {
        drain_linger: Duration::from_millis(50),
        ..Limits::default()
    }
}

/// Starts a node, with a backend server when `backend` is given.
pub async fn node(host: &str, backend: Option<SocketAddr>, limits: Limits) -> Node {
    node_under(None, host, backend, limits).await
}

/// Contract of the tests, with headers of its own.
pub fn contract() -> Contract {
    Contract {
        headers: Headers {
            request_id: HeaderName::from_static("test-id"),
            deadline_ms: HeaderName::from_static("test-deadline"),
            signature: HeaderName::from_static("test-signature"),
            not_executed: HeaderName::from_static("test-not-executed"),
            expected_instance: HeaderName::from_static("test-instance"),
            caller_service: HeaderName::from_static("test-caller"),
        },
        caller_service: "print-shop".into(),
        max_buffered_response_bytes: 64 * 1024,
        retry_after: RetryAfter {
            load: HeaderValue::from_static("0.2"),
            other_backend: HeaderValue::from_static("0.1"),
        },
    }
}

/// Starts a node under a contract, or under the mesh's own headers.
pub async fn node_under(
    contract: Option<Contract>,
    host: &str,
    backend: Option<SocketAddr>,
    limits: Limits,
) -> Node {
    let clock = Clock::new();
    let counters = Arc::new(Counters::new());
    let owner = backend.map(|address| {
        // The tests of the path are not about warm-up; the backend server has proved its slots.
        let gate = Gate::warm(16, clock.now());
        let door = Semaphore::with_gate(clock.clone(), counters.clone(), gate);
        let book = Arc::new(Recorder::new());
        let owner = Owner::new(SERVICE, "v1", address, 16, 32, door, book);
        Arc::new(owner.with_instance(Some("i-1".into()), Some(COLD_CALLS)))
    });
    let secrets = Secrets::new("correct horse", None);
    let mut builder = Plane::builder(host, "fd-1", secrets)
        .table(Arc::new(ArcSwap::default()))
        .owner(Arc::new(ArcSwapOption::from(owner)))
        .counters(counters)
        .clock(clock)
        .limits(limits);
    if let Some(contract) = contract {
        builder = builder.contract(contract);
    }
    let plane = Arc::new(builder.build());
    let callers = listener().await;
    let hop = listener().await;
    Node {
        host: host.into(),
        callers: callers.local_addr().unwrap(),
        hop: hop.local_addr().unwrap(),
        handle: proxy::serve(plane.clone(), callers, hop),
        plane,
    }
}

/// Listener on a port chosen by the system.
pub async fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.unwrap()
}

impl Node {
    /// Value of a counter.
    pub fn count(&self, counter: Counter) -> u64 {
        self.plane.counters.get(counter)
    }

    /// Waits until a counter has reached a value.
    pub async fn until(&self, counter: Counter, value: u64) {
        let wait = async {
            while self.count(counter) < value {
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        };
        let is_reached = tokio::time::timeout(GUARD, wait).await.is_ok();
        assert!(
            is_reached,
            "{} is {}, not {value}",
            counter.name(),
            self.count(counter)
        );
    }

    /// Endpoint of this node's backend server.
    pub fn endpoint(&self) -> Endpoint {
        endpoint(&self.host, self.hop)
    }

    /// Puts a table in force that routes to the given endpoints.
    pub fn route_to(&self, endpoints: &[Endpoint]) {
        self.plane.table.store(Arc::new(table(endpoints)));
    }
}

/// Endpoint of a host.
pub fn endpoint(host: &str, hop: SocketAddr) -> Endpoint {
    Endpoint {
        host: host.into(),
        hop,
        failure_domain: "fd-1".into(),
        region: "bc-lower".into(),
        slots: 16,
        load: Arc::new(Load::default()),
    }
}

/// Table with one service, one route and one version.
pub fn table(endpoints: &[Endpoint]) -> Table {
    let mut endpoints = endpoints.to_vec();
    endpoints.sort_by(|a, b| a.host.cmp(&b.host));
    let share = Share {
        version: "v1".into(),
        permille: 1_000,
        move_id: None,
        distance_ends: [endpoints.len(); 2],
        endpoints,
    };
    let route = Route {
        prefix: "".into(),
        shares: vec![share],
    };
    Table {
        version: 1,
        services: vec![Service {
            name: SERVICE.into(),
            routes: vec![route],
            budget: Arc::default(),
        }],
        domains_out: Vec::new(),
        failure_domain: "fd-1".into(),
        region: "bc-lower".into(),
        policy: None,
    }
}

/// An ingress without a backend server in front of an owner with one.
pub async fn pair(backend: SocketAddr, limits: Limits) -> (Node, Node) {
    let ingress = node("ingress", None, limits.clone()).await;
    let owner = node("owner", Some(backend), limits).await;
    for node in [&ingress, &owner] {
        node.route_to(&[owner.endpoint()]);
    }
    (ingress, owner)
}

/// An answer as its bytes came.
#[derive(Debug)]
pub struct Answer {
    /// Status.
    pub status: u16,
    /// Head as text, in lower case.
    pub head: String,
    /// Body after the framing is taken off.
    pub body: Vec<u8>,
    /// Whether the body ended as its framing said.
    pub is_whole: bool,
}

impl Answer {
    /// Value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head
            .lines()
            .find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
    }

    /// Reason of a refusal.
    pub fn reason(&self) -> &str {
        self.header("x-buckthorn-reason").unwrap_or("")
    }

    /// Whether a refused call ran.
    pub fn ran(&self) -> &str {
        self.header("x-buckthorn-ran").unwrap_or("")
    }
}

/// Caller with one connection.
pub struct Caller {
    /// Connection.
    pub stream: TcpStream,
    /// Bytes read and not yet used.
    buffer: Vec<u8>,
}

impl Caller {
    /// Opens a connection.
    pub async fn connect(address: SocketAddr) -> Self {
        Self {
            stream: TcpStream::connect(address).await.unwrap(),
            buffer: Vec::new(),
        }
    }

    /// Sends raw bytes.
    pub async fn send(&mut self, bytes: impl AsRef<[u8]>) {
        self.stream.write_all(bytes.as_ref()).await.unwrap();
    }

    /// Sends a request with a body and reads its answer.
    pub async fn call(&mut self, method: &str, path: &str, headers: &str, body: &str) -> Answer {
        let length = body.len();
        let request = format!(
            "{method} {path} HTTP/1.1\r\nhost: {SERVICE}\r\ncontent-length: {length}\r\n{headers}\r\n{body}"
        );
        self.send(request).await;
        self.answer(method).await
    }

    /// Reads one answer, within the guard.
    pub async fn answer(&mut self, method: &str) -> Answer {
        tokio::time::timeout(GUARD, self.read(method))
            .await
            .expect("an answer within the guard")
    }

    /// Reads more bytes; false at the end of the connection.
    async fn fill(&mut self) -> bool {
        let mut chunk = [0; 16 * 1024];
        match self.stream.read(&mut chunk).await {
            Ok(0) | Err(_) => false,
            Ok(n) => {
                self.buffer.extend_from_slice(&chunk[..n]);
                true
            }
        }
    }

    /// Takes bytes up to and including a mark.
    async fn take_until(&mut self, mark: &[u8]) -> Option<Vec<u8>> {
        loop {
            let found = self.buffer.windows(mark.len()).position(|w| w == mark);
            if let Some(at) = found {
                let rest = self.buffer.split_off(at + mark.len());
                return Some(std::mem::replace(&mut self.buffer, rest));
            }
            if !self.fill().await {
                return None;
            }
        }
    }

    /// Takes a number of bytes, fewer at the end of the connection.
    async fn take(&mut self, n: usize) -> Vec<u8> {
        while self.buffer.len() < n && self.fill().await {}
        let rest = self.buffer.split_off(n.min(self.buffer.len()));
        std::mem::replace(&mut self.buffer, rest)
    }

    /// Reads one answer.
    async fn read(&mut self, method: &str) -> Answer {
        let Some(head) = self.take_until(b"\r\n\r\n").await else {
            return Answer {
                status: 0,
                head: String::new(),
                body: Vec::new(),
                is_whole: false,
            };
        };
        let head = String::from_utf8(head).unwrap().to_ascii_lowercase();
        let status = head[9..12].parse().unwrap();
        let mut answer = Answer {
            status,
            head,
            body: Vec::new(),
            is_whole: true,
        };
        if method == "HEAD" || status == 204 {
            return answer;
        }
        if answer.header("transfer-encoding") == Some("chunked") {
            answer.is_whole = self.read_chunks(&mut answer.body).await;
            return answer;
        }
        let length = answer
            .header("content-length")
            .map_or(0, |n| n.parse().unwrap());
        answer.body = self.take(length).await;
        answer.is_whole = answer.body.len() == length;
        answer
    }

    /// Reads a chunked body; false when it breaks off.
    async fn read_chunks(&mut self, body: &mut Vec<u8>) -> bool {
        loop {
            let Some(line) = self.take_until(b"\r\n").await else {
                return false;
            };
            let text = String::from_utf8(line).unwrap();
            let size = usize::from_str_radix(text.trim(), 16).unwrap();
            let chunk = self.take(size + 2).await;
            if chunk.len() < size + 2 {
                return false;
            }
            if size == 0 {
                return true;
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
}

/// Backend server that answers every connection by a script.
pub async fn scripted<F, R>(script: F) -> SocketAddr
where
    F: Fn(Exchange) -> R + Send + Sync + 'static,
    R: Future<Output = ()> + Send + 'static,
{
    let listener = listener().await;
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(script(Exchange {
                stream,
                buffer: Vec::new(),
            }));
        }
    });
    address
}

/// One connection of a scripted backend server.
pub struct Exchange {
    /// Connection.
    pub stream: TcpStream,
    /// Bytes read and not yet used.
    buffer: Vec<u8>,
}

impl Exchange {
    /// Reads the next request with its declared body; `None` at the end of the connection.
    pub async fn request(&mut self) -> Option<String> {
        loop {
            if let Some(at) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&self.buffer[..at]).to_ascii_lowercase();
                let length: usize = head
                    .lines()
                    .find_map(|line| line.strip_prefix("content-length: "))
                    .map_or(0, |n| n.parse().unwrap());
                if self.buffer.len() >= at + 4 + length {
                    let rest = self.buffer.split_off(at + 4 + length);
                    let whole = std::mem::replace(&mut self.buffer, rest);
                    return Some(String::from_utf8_lossy(&whole).into_owned());
                }
            }
            let mut chunk = [0; 16 * 1024];
            match self.stream.read(&mut chunk).await {
                Ok(0) | Err(_) => return None,
                Ok(n) => self.buffer.extend_from_slice(&chunk[..n]),
            }
        }
    }

    /// Sends bytes; false when the connection broke.
    pub async fn send(&mut self, bytes: impl AsRef<[u8]>) -> bool {
        self.stream.write_all(bytes.as_ref()).await.is_ok()
    }

    /// Closes the connection by a reset.
    pub fn reset(self) {
        self.stream.set_zero_linger().unwrap();
    }
}

/// Backend server that answers every request with its method and path.
pub async fn echo() -> SocketAddr {
    scripted(|mut exchange| async move {
        while let Some(request) = exchange.request().await {
            let line = request.lines().next().unwrap_or("").to_owned();
            let answer = format!(
                "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{line}",
                line.len()
            );
            if !exchange.send(answer).await {
                return;
            }
        }
    })
    .await
}

/// Relay in front of an address whose open connections can fall silent.
pub struct Relay {
    /// Address to connect to.
    pub address: SocketAddr,
    /// Generation; connections of an earlier one pass nothing on.
    generation: watch::Sender<u64>,
}

impl Relay {
    /// Relay in front of `target`.
    pub async fn start(target: SocketAddr) -> Self {
        let listener = listener().await;
        let address = listener.local_addr().unwrap();
        let (generation, seen) = watch::channel(0);
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let far = TcpStream::connect(target).await.unwrap();
                let (near_read, near_write) = near.into_split();
                let (far_read, far_write) = far.into_split();
                tokio::spawn(pump(near_read, far_write, seen.clone()));
                tokio::spawn(pump(far_read, near_write, seen.clone()));
            }
        });
        Self {
            address,
            generation,
        }
    }

    /// Lets every open connection fall silent; new ones work.
    pub fn silence(&self) {
        self.generation.send_modify(|n| *n += 1);
    }
}

/// Passes bytes on until the relay is silenced; then holds the connection open.
async fn pump(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mut seen: watch::Receiver<u64>) {
    seen.mark_unchanged();
    let copy = tokio::io::copy(&mut from, &mut to);
    tokio::select! {
        _ = copy => {}
        _ = seen.changed() => std::future::pending().await,
    }
}

/// Waits until a number stops changing and returns it.
pub async fn settled(value: impl Fn() -> u64) -> u64 {
    let mut last = value();
    let mut unchanged = 0;
    while unchanged < 10 {
        tokio::time::sleep(Duration::from_millis(30)).await;
        let now = value();
        unchanged = if now == last { unchanged + 1 } else { 0 };
        last = now;
    }
    last
}
