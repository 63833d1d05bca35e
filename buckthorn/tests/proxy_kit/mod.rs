//! Shared by the proxy tests: nodes on loopback, scripted backend servers, and a caller that sees
//! every byte.

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
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

/// Service that the tests call.
pub const SERVICE: &str = "card-desk";
/// Calls per second that the backend servers accept while cold.
pub const COLD_CALLS: usize = 5;
/// Timeout for tests that would otherwise hang.
pub const GUARD: Duration = Duration::from_secs(30);

/// A node on loopback.
pub struct Node {
    /// Host name.
    pub host: Name,
    /// Plane that is served.
    pub plane: Arc<Plane>,
    /// Address of the callers' port.
    pub callers: SocketAddr,
    /// Address of the hop port.
    pub hop: SocketAddr,
    /// Handle of the running servers.
    pub handle: Handle,
}

/// Default limits of the tests; a test changes those that it covers.
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

/// Creates the contract of the tests, which defines its own header names.
pub fn contract() -> Contract {
    Contract {
        headers: Headers {
            request_id: HeaderName::from_static("test-id"),
            deadline_ms: HeaderName::from_static("test-deadline"),
            signature: HeaderName::from_static("test-signature"),
            not_executed: HeaderName::from_static("test-not-executed"),
            expected_instance: HeaderName::from_static("test-instance"),
            caller_service: HeaderName::from_static("test-caller"),
            tenant_key: HeaderName::from_static("test-key"),
            tenant: HeaderName::from_static("test-tenant"),
            rate_limit: HeaderName::from_static("test-limit"),
            leaving: HeaderName::from_static("test-leaving"),
            server_load: HeaderName::from_static("test-load"),
        },
        caller_service: "print-shop".into(),
        max_buffered_response_bytes: 64 * 1024,
        retry_after: RetryAfter {
            load: HeaderValue::from_static("0.2"),
            other_backend: HeaderValue::from_static("0.1"),
            poison: HeaderValue::from_static("60"),
        },
        id_separator: Some('.'),
    }
}

/// Starts a node under a contract, or with the mesh's own headers.
pub async fn node_under(
    contract: Option<Contract>,
    host: &str,
    backend: Option<SocketAddr>,
    limits: Limits,
) -> Node {
    let clock = Clock::new();
    let counters = Arc::new(Counters::new());
    let owner = backend.map(|address| {
        // Warm-up is not tested here, so the backend server starts with all its slots usable.
        let gate = Gate::warm(16, clock.now());
        let semaphore = Semaphore::with_gate(clock.clone(), counters.clone(), gate);
        let recorder = Arc::new(Recorder::new());
        let owner = Owner::new(SERVICE, "v1", address, 16, 32, semaphore, recorder);
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

/// Binds a listener to a free port.
pub async fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.unwrap()
}

/// Port that refuses connections. It stays bound, so that no other listener can take it.
pub struct ClosedPort {
    /// Address of the port.
    pub address: SocketAddr,
    /// Keeps the port bound.
    _socket: TcpSocket,
}

impl ClosedPort {
    /// Binds a port without listening on it.
    pub fn bind() -> Self {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        Self {
            address: socket.local_addr().unwrap(),
            _socket: socket,
        }
    }
}

/// Port on which connections are neither accepted nor refused, as its accept queue is full.
pub struct FullPort {
    /// Address of the port.
    pub address: SocketAddr,
    /// Keeps the port bound.
    _listener: TcpListener,
    /// Connections that fill the accept queue.
    _queued: Vec<TcpStream>,
}

impl FullPort {
    /// Binds a port and fills its accept queue.
    pub async fn bind() -> Self {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let listener = socket.listen(1).unwrap();
        let address = listener.local_addr().unwrap();
        let mut queued = Vec::new();
        while let Ok(stream) =
            tokio::time::timeout(Duration::from_millis(200), TcpStream::connect(address)).await
        {
            queued.push(stream.unwrap());
        }
        Self {
            address,
            _listener: listener,
            _queued: queued,
        }
    }
}

impl Node {
    /// Returns the value of a counter.
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

    /// Returns the endpoint of this node's backend server.
    pub fn endpoint(&self) -> Endpoint {
        endpoint(&self.host, self.hop)
    }

    /// Installs a table that routes to the given endpoints.
    pub fn route_to(&self, endpoints: &[Endpoint]) {
        self.plane.table.store(Arc::new(table(endpoints)));
    }
}

/// Creates the endpoint of a host.
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

/// Creates a table with one service, one route and one version.
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

/// Starts an ingress without a backend server in front of an owner with one.
pub async fn pair(backend: SocketAddr, limits: Limits) -> (Node, Node) {
    let ingress = node("ingress", None, limits.clone()).await;
    let owner = node("owner", Some(backend), limits).await;
    for node in [&ingress, &owner] {
        node.route_to(&[owner.endpoint()]);
    }
    (ingress, owner)
}

/// A response as received.
#[derive(Debug)]
pub struct Response {
    /// Status code, 0 if the connection closed before a response.
    pub status: u16,
    /// Head as text, in lower case.
    pub head: String,
    /// Body without its framing.
    pub body: Vec<u8>,
    /// Whether the body is complete according to its framing.
    pub is_complete: bool,
}

impl Response {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head
            .lines()
            .find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
    }

    /// Returns the reason of a refusal, empty for other responses.
    pub fn reason(&self) -> &str {
        self.header("x-buckthorn-reason").unwrap_or("")
    }

    /// Returns whether a refused call ran, empty for other responses.
    pub fn ran(&self) -> &str {
        self.header("x-buckthorn-ran").unwrap_or("")
    }
}

/// Caller with one connection.
pub struct Caller {
    /// Connection.
    pub stream: TcpStream,
    /// Bytes read but not consumed yet.
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

    /// Sends a request with a body and reads its response.
    pub async fn call(&mut self, method: &str, path: &str, headers: &str, body: &str) -> Response {
        let length = body.len();
        let request = format!(
            "{method} {path} HTTP/1.1\r\nhost: {SERVICE}\r\ncontent-length: {length}\r\n{headers}\r\n{body}"
        );
        self.send(request).await;
        self.response(method).await
    }

    /// Reads one response, within the guard timeout.
    pub async fn response(&mut self, method: &str) -> Response {
        tokio::time::timeout(GUARD, self.read(method))
            .await
            .expect("a response within the guard timeout")
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

    /// Consumes bytes up to and including a delimiter.
    async fn take_until(&mut self, delimiter: &[u8]) -> Option<Vec<u8>> {
        loop {
            let found = self
                .buffer
                .windows(delimiter.len())
                .position(|w| w == delimiter);
            if let Some(at) = found {
                let rest = self.buffer.split_off(at + delimiter.len());
                return Some(std::mem::replace(&mut self.buffer, rest));
            }
            if !self.fill().await {
                return None;
            }
        }
    }

    /// Consumes up to `n` bytes, fewer only at the end of the connection.
    async fn take(&mut self, n: usize) -> Vec<u8> {
        while self.buffer.len() < n && self.fill().await {}
        let rest = self.buffer.split_off(n.min(self.buffer.len()));
        std::mem::replace(&mut self.buffer, rest)
    }

    /// Reads one response.
    async fn read(&mut self, method: &str) -> Response {
        let Some(head) = self.take_until(b"\r\n\r\n").await else {
            return Response {
                status: 0,
                head: String::new(),
                body: Vec::new(),
                is_complete: false,
            };
        };
        let head = String::from_utf8(head).unwrap().to_ascii_lowercase();
        let status = head[9..12].parse().unwrap();
        let mut response = Response {
            status,
            head,
            body: Vec::new(),
            is_complete: true,
        };
        if method == "HEAD" || status == 204 {
            return response;
        }
        if response.header("transfer-encoding") == Some("chunked") {
            response.is_complete = self.read_chunks(&mut response.body).await;
            return response;
        }
        let length = response
            .header("content-length")
            .map_or(0, |n| n.parse().unwrap());
        response.body = self.take(length).await;
        response.is_complete = response.body.len() == length;
        response
    }

    /// Reads a chunked body; false when it is interrupted.
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

/// Starts a backend server that serves every connection by a script.
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
    /// Bytes read but not consumed yet.
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

/// Starts a backend server that responds to every request with its request line.
pub async fn echo() -> SocketAddr {
    scripted(|mut exchange| async move {
        while let Some(request) = exchange.request().await {
            let line = request.lines().next().unwrap_or("").to_owned();
            let response = format!(
                "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{line}",
                line.len()
            );
            if !exchange.send(response).await {
                return;
            }
        }
    })
    .await
}

/// TCP relay whose open connections can be silenced.
pub struct Relay {
    /// Address that the relay listens on.
    pub address: SocketAddr,
    /// Generation; connections of an earlier one no longer forward bytes.
    generation: watch::Sender<u64>,
}

impl Relay {
    /// Starts a relay in front of `target`.
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

    /// Silences every open connection; new ones work.
    pub fn silence(&self) {
        self.generation.send_modify(|n| *n += 1);
    }
}

/// Forwards bytes until the relay is silenced, then holds the connection open.
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
