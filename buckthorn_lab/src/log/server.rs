//! HTTP server of the log stand-in.
//!
//! Long polls wait as asynchronous tasks, so their number costs no threads. An append takes effect
//! even when its client has gone in the meantime, as it would at a real log.

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

/// Time that a client may take to send its headers.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);

/// Bytes of the body of an append; JSON escapes may lengthen the payload.
const MAX_BODY_BYTES: usize = 6 * MAX_PAYLOAD_BYTES + 4 * 1024;

/// Log stand-in within this process.
#[derive(Debug)]
pub struct Server {
    /// Records and faults.
    shared: Arc<Shared>,
    /// Address bound, kept over restarts.
    address: SocketAddr,
    /// Thread that serves, when started.
    running: Option<Running>,
}

/// Thread that serves.
#[derive(Debug)]
struct Running {
    /// Ends the thread when dropped.
    stop: oneshot::Sender<()>,
    /// The thread.
    thread: JoinHandle<()>,
}

/// What requests share.
#[derive(Debug, Default)]
struct Shared {
    /// Records, faults and counts.
    inner: Mutex<Inner>,
}

/// Records, faults and counts.
#[derive(Debug, Default)]
struct Inner {
    /// Records.
    store: Store,
    /// Faults played.
    faults: Faults,
    /// Appends that took effect.
    appends: u64,
    /// Start of the present second of the cap and appends taken in it.
    window: Option<(Instant, u32)>,
}

/// Body of an append.
#[derive(Debug, Deserialize)]
struct Draft {
    /// Identifier made by the client.
    id: String,
    /// Payload.
    payload: String,
}

/// What became of an append.
enum Taken {
    /// It took effect.
    Done(u64),
    /// It took effect and its reply is lost.
    Lost,
    /// Over the cap of appends a second.
    Capped,
}

/// Ends the connection without a reply.
#[derive(Debug)]
struct ReplyLost;

impl std::fmt::Display for ReplyLost {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("reply lost")
    }
}

impl std::error::Error for ReplyLost {}

/// Reply of the stand-in.
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

    /// Address that is or was bound.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// URL for clients.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Closes the port and every connection; records are kept.
    pub fn stop(&mut self) {
        if let Some(running) = self.running.take() {
            drop(running.stop);
            let _ = running.thread.join();
        }
    }

    /// Serves again on the same address.
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

    /// Waits until the server ends.
    pub fn join(mut self) {
        if let Some(running) = self.running.take() {
            let _ = running.thread.join();
            drop(running.stop);
        }
    }

    /// Faults played.
    pub fn faults(&self) -> Faults {
        self.shared.lock().faults
    }

    /// Sets the faults to play.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.lock().faults = faults;
    }

    /// Drops the records of a stream before an offset.
    pub fn trim(&self, stream: &str, before: u64) {
        self.shared.lock().store.trim(stream, before);
    }

    /// Records of a stream that are held.
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

    /// Appends that took effect since the first start.
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
    /// Records, faults and counts.
    fn lock(&self) -> MutexGuard<'_, Inner> {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(retention) = inner.faults.retention {
            inner.store.expire(retention, Instant::now());
        }
        inner
    }

    /// Appends a record unless the cap is reached.
    fn append(&self, stream: &str, draft: &Draft) -> Taken {
        let now = Instant::now();
        let mut inner = self.lock();
        let cap = inner.faults.max_appends_per_second;
        let (start, count) = match inner.window {
            Some((start, count)) if now.duration_since(start) < Duration::from_secs(1) => {
                (start, count)
            }
            _ => (now, 0),
        };
        if cap > 0 && count >= cap {
            return Taken::Capped;
        }
        inner.window = Some((start, count + 1));
        inner.appends += 1;
        let offset = inner.store.append(stream, &draft.id, &draft.payload, now);
        let every = u64::from(inner.faults.lose_every);
        if every > 0 && inner.appends.is_multiple_of(every) {
            return Taken::Lost;
        }
        Taken::Done(offset)
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

/// Answers one request.
async fn handle(shared: Arc<Shared>, request: Request<Incoming>) -> Result<Reply, ReplyLost> {
    let faults = shared.lock().faults;
    if faults.is_refusing {
        return Ok(failure(
            StatusCode::SERVICE_UNAVAILABLE,
            "the log is refusing",
        ));
    }
    let Some(stream) = stream_of(request.uri().path()).map(str::to_owned) else {
        return Ok(failure(StatusCode::NOT_FOUND, "no such path"));
    };
    match *request.method() {
        Method::GET => {
            tokio::time::sleep(faults.delay).await;
            Ok(read(&shared, &stream, request.uri().query().unwrap_or_default()).await)
        }
        Method::POST => {
            // A task of its own: the append takes effect even when its client has gone.
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

/// Answers an append.
async fn append(
    shared: Arc<Shared>,
    stream: String,
    body: Incoming,
    delay: Duration,
) -> Result<Reply, ReplyLost> {
    let Ok(body) = Limited::new(body, MAX_BODY_BYTES).collect().await else {
        return Ok(failure(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the body is too large or broke off",
        ));
    };
    let draft: Draft = match serde_json::from_slice(&body.to_bytes()) {
        Ok(draft) => draft,
        Err(error) => return Ok(failure(StatusCode::BAD_REQUEST, &error.to_string())),
    };
    if draft.payload.len() > MAX_PAYLOAD_BYTES {
        return Ok(failure(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the payload is too large",
        ));
    }
    tokio::time::sleep(delay).await;
    match shared.append(&stream, &draft) {
        Taken::Done(offset) => Ok(reply(StatusCode::OK, &json!({ "offset": offset }))),
        Taken::Lost => Err(ReplyLost),
        Taken::Capped => Ok(failure(
            StatusCode::TOO_MANY_REQUESTS,
            "too many appends a second",
        )),
    }
}

/// Answers a read, after a wait for the first record when there is none yet.
async fn read(shared: &Shared, stream: &str, query: &str) -> Reply {
    let (Some(from), Some(wait), Some(limit)) = (
        number(query, "from", 0),
        number(query, "wait_ms", 0),
        number(query, "limit", MAX_RECORDS as u64),
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

/// Stream named by a path of the form `/v1/streams/{stream}/records`.
fn stream_of(path: &str) -> Option<&str> {
    let stream = path
        .strip_prefix("/v1/streams/")?
        .strip_suffix("/records")?;
    let is_plain = !stream.is_empty() && !stream.contains('/');
    is_plain.then_some(stream)
}

/// Number in a query, or the default when the query does not name it.
fn number(query: &str, key: &str, default: u64) -> Option<u64> {
    let value = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find_map(|(name, value)| (name == key).then_some(value));
    match value {
        Some(value) => value.parse().ok(),
        None => Some(default),
    }
}

/// Reply to a request that had no effect.
fn failure(status: StatusCode, error: &str) -> Reply {
    reply(status, &json!({ "error": error, "appended": false }))
}

/// Reply with a JSON body.
fn reply(status: StatusCode, body: &impl serde::Serialize) -> Reply {
    let body = serde_json::to_vec(body).expect("replies encode as JSON");
    let mut reply = Response::new(Full::new(Bytes::from(body)));
    *reply.status_mut() = status;
    reply
}
