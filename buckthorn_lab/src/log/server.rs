//! HTTP server of the log stand-in.
//!
//! Long polls wait as asynchronous tasks and need no thread each. An append takes effect even when
//! its client disconnects before the reply, as with a real log.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use anyhow::Context as _;
use buckthorn::journal::record::Record;
use buckthorn::log::client::{MAX_PAYLOAD_BYTES, MAX_RECORDS, MAX_WAIT};
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Deserialize;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::oneshot;

use super::Faults;
use super::store::Store;

/// Timeout for receiving the headers of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum body of an append: a JSON escape takes up to 6 bytes for one byte of payload.
const MAX_BODY_BYTES: usize = 6 * MAX_PAYLOAD_BYTES + 4 * 1024;

/// Log stand-in that runs on a thread of this process.
#[derive(Debug)]
pub struct Server {
    /// State shared with the connections.
    shared: Arc<Shared>,
    /// Bound address, kept over restarts.
    address: SocketAddr,
    /// Server thread; `None` while stopped.
    running: Option<Running>,
}

/// Handle of the server thread.
#[derive(Debug)]
struct Running {
    /// Stops the thread when dropped.
    stop: oneshot::Sender<()>,
    /// Join handle.
    thread: JoinHandle<()>,
}

/// State shared with the connections.
#[derive(Debug, Default)]
struct Shared {
    /// State behind the lock.
    inner: Mutex<Inner>,
}

/// Records, faults and counters.
#[derive(Debug, Default)]
struct Inner {
    /// Records of all streams.
    store: Store,
    /// Faults to inject.
    faults: Faults,
    /// Number of appends that took effect.
    appends: u64,
    /// Start of the current one-second window of the append limit and the appends accepted in it.
    window: Option<(Instant, u32)>,
}

/// Body of an append.
#[derive(Debug, Deserialize)]
struct AppendRequest {
    /// Identifier that the client chose.
    id: String,
    /// Payload of the record.
    payload: String,
}

/// Result of an append.
enum AppendResult {
    /// The record was appended at this offset.
    Done(u64),
    /// The record was appended, but the reply must not be sent.
    ReplyLost,
    /// Refused by the limit of appends per second.
    RateLimited,
}

/// Error that makes hyper close the connection without a reply.
#[derive(Debug)]
struct ReplyLost;

impl std::fmt::Display for ReplyLost {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("reply lost")
    }
}

impl std::error::Error for ReplyLost {}

/// HTTP response of the log.
type Reply = Response<Full<Bytes>>;

impl Server {
    /// Starts an empty log on an address; port zero takes any free port.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub fn start(listen: SocketAddr) -> anyhow::Result<Self> {
        let mut server = Self {
            shared: Arc::default(),
            address: listen,
            running: None,
        };
        server.restart()?;
        Ok(server)
    }

    /// Bound address, also after [`Server::stop`].
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Base URL for clients.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Closes the port and all connections; records are kept.
    pub fn stop(&mut self) {
        if let Some(running) = self.running.take() {
            drop(running.stop);
            let _ = running.thread.join();
        }
    }

    /// Starts serving again on the same address, with the records kept.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub fn restart(&mut self) -> anyhow::Result<()> {
        self.stop();
        let listener = std::net::TcpListener::bind(self.address)
            .with_context(|| format!("cannot listen on {}", self.address))?;
        listener.set_nonblocking(true)?;
        self.address = listener.local_addr()?;
        let (stop, stopped) = oneshot::channel();
        let shared = self.shared.clone();
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let thread = std::thread::Builder::new()
            .name("log stand-in".into())
            .spawn(move || {
                runtime.block_on(async {
                    tokio::select! {
                        () = accept(listener, shared) => {}
                        _ = stopped => {}
                    }
                });
            })?;
        self.running = Some(Running { stop, thread });
        Ok(())
    }

    /// Waits until the server thread ends.
    pub fn join(mut self) {
        if let Some(running) = self.running.take() {
            let _ = running.thread.join();
            drop(running.stop);
        }
    }

    /// Faults being injected.
    pub fn faults(&self) -> Faults {
        self.shared.lock().faults
    }

    /// Sets the faults to inject.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.lock().faults = faults;
    }

    /// Drops the records of a stream before an offset.
    pub fn trim(&self, stream: &str, before: u64) {
        self.shared.lock().store.trim(stream, before);
    }

    /// Returns the records of a stream that are still held.
    pub fn records(&self, stream: &str) -> Vec<Record> {
        let mut inner = self.shared.lock();
        let earliest = inner.store.read(stream, 0, 0).earliest;
        let mut records = Vec::new();
        loop {
            let from = earliest + records.len() as u64;
            let batch = inner.store.read(stream, from, MAX_RECORDS);
            if batch.records.is_empty() {
                return records;
            }
            records.extend(batch.records);
        }
    }

    /// Number of appends that took effect since the first start.
    pub fn appends(&self) -> u64 {
        self.shared.lock().appends
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop();
    }
}

impl Shared {
    /// Locks the state and drops expired records.
    fn lock(&self) -> MutexGuard<'_, Inner> {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(retention) = inner.faults.retention {
            inner.store.expire(retention, Instant::now());
        }
        inner
    }

    /// Appends a record unless the limit of appends per second is reached.
    fn append(&self, stream: &str, request: &AppendRequest) -> AppendResult {
        let now = Instant::now();
        let mut inner = self.lock();
        let limit = inner.faults.max_appends_per_second;
        let (start, count) = match inner.window {
            Some((start, count)) if now.duration_since(start) < Duration::from_secs(1) => {
                (start, count)
            }
            _ => (now, 0),
        };
        if limit > 0 && count >= limit {
            return AppendResult::RateLimited;
        }
        inner.window = Some((start, count + 1));
        inner.appends += 1;
        let offset = inner
            .store
            .append(stream, &request.id, &request.payload, now);
        let every = u64::from(inner.faults.lose_every);
        if every > 0 && inner.appends.is_multiple_of(every) {
            return AppendResult::ReplyLost;
        }
        AppendResult::Done(offset)
    }
}

/// Serves connections until the future is dropped.
async fn accept(listener: std::net::TcpListener, shared: Arc<Shared>) {
    let listener = TcpListener::from_std(listener).expect("the listener is non-blocking");
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let shared = shared.clone();
        tokio::spawn(async move {
            let service = service_fn(|request| handle(shared.clone(), request));
            let _ = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEADER_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

/// Handles one request.
async fn handle(shared: Arc<Shared>, request: Request<Incoming>) -> Result<Reply, ReplyLost> {
    let faults = shared.lock().faults;
    if faults.is_refusing {
        return Ok(failure(
            StatusCode::SERVICE_UNAVAILABLE,
            "the log is refusing",
        ));
    }
    let Some(stream) = parse_stream(request.uri().path()).map(str::to_owned) else {
        return Ok(failure(StatusCode::NOT_FOUND, "no such path"));
    };
    match *request.method() {
        Method::GET => {
            tokio::time::sleep(faults.delay).await;
            Ok(read(&shared, &stream, request.uri().query().unwrap_or_default()).await)
        }
        Method::POST => {
            // A separate task, so that the append takes effect even when the client disconnects.
            let body = request.into_body();
            let task = tokio::spawn(append(shared, stream, body, faults.delay));
            task.await.unwrap_or(Err(ReplyLost))
        }
        _ => Ok(failure(
            StatusCode::METHOD_NOT_ALLOWED,
            "GET or POST expected",
        )),
    }
}

/// Handles an append.
async fn append(
    shared: Arc<Shared>,
    stream: String,
    body: Incoming,
    delay: Duration,
) -> Result<Reply, ReplyLost> {
    let Ok(body) = Limited::new(body, MAX_BODY_BYTES).collect().await else {
        return Ok(failure(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the body is too large or incomplete",
        ));
    };
    let request: AppendRequest = match serde_json::from_slice(&body.to_bytes()) {
        Ok(request) => request,
        Err(error) => return Ok(failure(StatusCode::BAD_REQUEST, &error.to_string())),
    };
    if request.payload.len() > MAX_PAYLOAD_BYTES {
        return Ok(failure(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the payload is too large",
        ));
    }
    tokio::time::sleep(delay).await;
    match shared.append(&stream, &request) {
        AppendResult::Done(offset) => Ok(reply(StatusCode::OK, &json!({ "offset": offset }))),
        AppendResult::ReplyLost => Err(ReplyLost),
        AppendResult::RateLimited => Ok(failure(
            StatusCode::TOO_MANY_REQUESTS,
            "too many appends per second",
        )),
    }
}

/// Handles a read; waits for up to `wait_ms`, at most [`MAX_WAIT`], until there is a record at
/// `from`.
async fn read(shared: &Shared, stream: &str, query: &str) -> Reply {
    let (Some(from), Some(wait), Some(limit)) = (
        query_number(query, "from", 0),
        query_number(query, "wait_ms", 0),
        query_number(query, "limit", MAX_RECORDS as u64),
    ) else {
        return failure(
            StatusCode::BAD_REQUEST,
            "from, wait_ms and limit must be numbers",
        );
    };
    let wait = Duration::from_millis(wait).min(MAX_WAIT);
    let limit = usize::try_from(limit).unwrap_or(MAX_RECORDS);
    let mut next = shared.lock().store.watch(stream);
    let _ = tokio::time::timeout(wait, next.wait_for(|next| *next > from)).await;
    let batch = shared
        .lock()
        .store
        .read(stream, from, limit.clamp(1, MAX_RECORDS));
    reply(StatusCode::OK, &batch)
}

/// Returns the stream name in a path of the form `/v1/streams/{stream}/records`.
fn parse_stream(path: &str) -> Option<&str> {
    let stream = path
        .strip_prefix("/v1/streams/")?
        .strip_suffix("/records")?;
    let is_valid = !stream.is_empty() && !stream.contains('/');
    is_valid.then_some(stream)
}

/// Returns a number in a query, or the default when it is absent; `None` when it is malformed.
fn query_number(query: &str, key: &str, default: u64) -> Option<u64> {
    let value = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find_map(|(name, value)| (name == key).then_some(value));
    match value {
        Some(value) => value.parse().ok(),
        None => Some(default),
    }
}

/// Builds the reply to a request that had no effect.
fn failure(status: StatusCode, error: &str) -> Reply {
    reply(status, &json!({ "error": error, "appended": false }))
}

/// Builds a reply with a JSON body.
fn reply(status: StatusCode, body: &impl serde::Serialize) -> Reply {
    let body = serde_json::to_vec(body).expect("replies encode as JSON");
    let mut reply = Response::new(Full::new(Bytes::from(body)));
    *reply.status_mut() = status;
    reply
}
