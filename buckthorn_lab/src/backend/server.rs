//! HTTP server of the stand-in: concurrency and connection limits, cold start and injected faults.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use arc_swap::ArcSwap;
use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body::{Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::Instant;

use super::content::{BodySource, CHUNK_BYTES, EXECUTION, REQUEST_ID};
use super::fault::{Behavior, Faults};
use super::ledger::Ledger;

/// Settings of a stand-in backend server.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address to listen on; port zero takes any free port.
    pub listen: SocketAddr,
    /// Server name in the execution header of responses.
    pub name: String,
    /// Number of requests that it runs concurrently; others are queued.
    pub slots: u32,
    /// Number of connections that it keeps open; it closes further ones at once.
    pub connections: u32,
    /// Time to process one request.
    pub service_time: Duration,
    /// Time that it stays cold after a start or [`Server::restart_cold_time`].
    pub cold_time: Duration,
    /// Factor on the service time while it is cold.
    pub cold_factor: u32,
    /// Number of concurrent requests above which it responds with status 500 while it is cold;
    /// zero for no limit.
    pub cold_limit: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            name: "backend".to_owned(),
            slots: 10,
            connections: 130,
            service_time: Duration::from_millis(1),
            cold_time: Duration::ZERO,
            cold_factor: 4,
            cold_limit: 0,
        }
    }
}

/// A running stand-in backend server; it stops when dropped.
#[derive(Debug)]
pub struct Server {
    /// State shared with the connections.
    shared: Arc<Shared>,
    /// Address that it listens on.
    address: SocketAddr,
    /// Aborts the task that accepts connections.
    task: AbortHandle,
}

/// State shared by the connections.
#[derive(Debug)]
struct Shared {
    /// Settings from the start.
    settings: Settings,
    /// Faults to inject.
    faults: ArcSwap<Faults>,
    /// Counts of executions.
    ledger: Arc<Ledger>,
    /// One permit per slot.
    slots: Semaphore,
    /// Requests running or queued for a slot.
    running: AtomicU32,
    /// Maximum of `running`.
    peak: AtomicU32,
    /// Requests received, refused ones included.
    requests: AtomicU64,
    /// Requests refused over the concurrency limit or the limit while cold.
    refused: AtomicU64,
    /// End of the cold time, in microseconds since `origin`.
    cold_until: AtomicU64,
    /// When the server started.
    origin: Instant,
}

impl Server {
    /// Starts a server on the current tokio runtime.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn start(settings: Settings, ledger: Arc<Ledger>) -> anyhow::Result<Self> {
        let listener = TcpListener::bind(settings.listen).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            slots: Semaphore::new(settings.slots as usize),
            faults: ArcSwap::default(),
            ledger,
            running: AtomicU32::new(0),
            peak: AtomicU32::new(0),
            requests: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            cold_until: AtomicU64::new(0),
            origin: Instant::now(),
            settings,
        });
        shared.restart_cold_time();
        let task = tokio::spawn(accept(shared.clone(), listener)).abort_handle();
        Ok(Self {
            shared,
            address,
            task,
        })
    }

    /// Address that it listens on.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Settings from the start.
    pub fn settings(&self) -> &Settings {
        &self.shared.settings
    }

    /// Sets the faults to inject into later requests.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.faults.store(Arc::new(faults));
    }

    /// Makes the server cold again, as if it had just started.
    pub fn restart_cold_time(&self) {
        self.shared.restart_cold_time();
    }

    /// Counts of executions.
    pub fn ledger(&self) -> &Arc<Ledger> {
        &self.shared.ledger
    }

    /// Number of requests running or queued.
    pub fn running(&self) -> u32 {
        self.shared.running.load(Ordering::Relaxed)
    }

    /// Highest number of requests that were running or queued at the same time.
    pub fn peak(&self) -> u32 {
        self.shared.peak.load(Ordering::Relaxed)
    }

    /// Number of requests received, refused ones included.
    pub fn requests(&self) -> u64 {
        self.shared.requests.load(Ordering::Relaxed)
    }

    /// Number of requests refused over the concurrency limit or the limit while cold.
    pub fn refused(&self) -> u64 {
        self.shared.refused.load(Ordering::Relaxed)
    }

    /// Stops the server at once and closes its connections.
    pub fn stop(self) {
        drop(self);
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Accepts connections up to the limit and closes further ones.
async fn accept(shared: Arc<Shared>, listener: TcpListener) {
    let permits = Arc::new(Semaphore::new(shared.settings.connections as usize));
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => continue,
        };
        let Ok((stream, _)) = accepted else { continue };
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            continue;
        };
        // Nagle's algorithm would delay small responses; the server also works without the option.
        let _ = stream.set_nodelay(true);
        let shared = shared.clone();
        connections.spawn(async move {
            let service = service_fn(move |request| handle(shared.clone(), request));
            let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            // Injected faults break connections on purpose.
            let _ = served.await;
            drop(permit);
        });
    }
}

/// Error that makes hyper close the connection without completing the response.
#[derive(Debug)]
struct Hangup;

impl std::fmt::Display for Hangup {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("connection closed on purpose")
    }
}

impl std::error::Error for Hangup {}

/// Guard that counts a request in `Shared::running` until it is dropped.
struct RunningGuard<'a>(&'a Shared);

impl<'a> RunningGuard<'a> {
    /// Counts a received request; returns the number in progress, itself included.
    fn start(shared: &'a Shared) -> (Self, u32) {
        shared.requests.fetch_add(1, Ordering::Relaxed);
        let running = shared.running.fetch_add(1, Ordering::Relaxed) + 1;
        shared.peak.fetch_max(running, Ordering::Relaxed);
        (Self(shared), running)
    }
}

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Shared {
    /// Microseconds since the server started.
    fn elapsed(&self) -> u64 {
        self.origin.elapsed().as_micros() as u64
    }

    /// Sets the end of the cold time, counted from now.
    fn restart_cold_time(&self) {
        let cold_until = self.elapsed() + self.settings.cold_time.as_micros() as u64;
        self.cold_until.store(cold_until, Ordering::Relaxed);
    }

    /// Whether the cold time is still running.
    fn is_cold(&self) -> bool {
        self.elapsed() < self.cold_until.load(Ordering::Relaxed)
    }

    /// Time to process one request, longer while the server is cold.
    fn service_time(&self) -> Duration {
        match self.is_cold() {
            true => self.settings.service_time * self.settings.cold_factor,
            false => self.settings.service_time,
        }
    }

    /// Counts a refused request and returns the empty response with a status.
    fn refuse(&self, status: StatusCode) -> Response<StreamedBody> {
        self.refused.fetch_add(1, Ordering::Relaxed);
        let mut response = Response::new(StreamedBody::empty());
        *response.status_mut() = status;
        response
    }
}

/// Returns a request header as text.
fn header_text<'a, B>(request: &'a Request<B>, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

/// Whether a request is not idempotent and must not run twice.
fn is_non_idempotent<B>(request: &Request<B>) -> bool {
    matches!(*request.method(), Method::POST | Method::PATCH)
}

/// Handles one request.
async fn handle(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> Result<Response<StreamedBody>, Hangup> {
    let (guard, running) = RunningGuard::start(&shared);
    let cold_limit = shared.settings.cold_limit;
    if cold_limit > 0 && running > cold_limit && shared.is_cold() {
        return Ok(shared.refuse(StatusCode::INTERNAL_SERVER_ERROR));
    }
    let faults = shared.faults.load_full();
    if faults.is_shedding && running > shared.settings.slots {
        return Ok(shared.refuse(StatusCode::SERVICE_UNAVAILABLE));
    }
    let path = request.uri().path_and_query().map_or("/", |p| p.as_str());
    let (path, id) = (
        path.to_owned(),
        header_text(&request, REQUEST_ID).unwrap_or("").to_owned(),
    );
    let key = header_text(&request, "idempotency-key")
        .unwrap_or(&id)
        .to_owned();
    let (is_non_idempotent, method) = (is_non_idempotent(&request), request.method().clone());
    let range = header_text(&request, "range").and_then(range_start);
    let Ok(_slot) = shared.slots.acquire().await else {
        return Err(Hangup);
    };
    if request.into_body().collect().await.is_err() {
        return Err(Hangup);
    }
    let execution = shared.ledger.count_request();
    if is_non_idempotent && !key.is_empty() {
        shared.ledger.record(&key);
    }
    let is_affected = faults.applies_to(&path, running);
    let delay = if is_affected {
        faults.delay
    } else {
        Duration::ZERO
    };
    let time = shared.service_time() + delay;
    if !time.is_zero() {
        tokio::time::sleep(time).await;
    }
    let mut source = BodySource::new(&path, &id);
    let behavior = match is_affected {
        true => faults.behavior(&id, source.len()),
        false => Behavior::Respond,
    };
    let total = source.len();
    let start = range.filter(|start| *start < total).unwrap_or(0);
    source.seek(start);
    let mut response = Response::new(StreamedBody::new(source, total - start));
    match behavior {
        Behavior::Respond => {}
        Behavior::Error => return Ok(internal_error(&shared, execution)),
        Behavior::BreakAt(bytes) => response.body_mut().break_at = Some(bytes),
        Behavior::Reset => return Err(Hangup),
        Behavior::Hang => std::future::pending().await,
    }
    if method == Method::HEAD {
        response.body_mut().remaining = 0;
    }
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_LENGTH, HeaderValue::from(total - start));
    if let Ok(tag) = HeaderValue::from_str(&format!("\"{path}-{id}\"")) {
        headers.insert(header::ETAG, tag);
    }
    if start > 0 {
        let range = format!("bytes {start}-{}/{total}", total - 1);
        if let Ok(range) = HeaderValue::from_str(&range) {
            headers.insert(header::CONTENT_RANGE, range);
        }
        *response.status_mut() = StatusCode::PARTIAL_CONTENT;
    }
    set_execution(&shared, execution, &mut response);
    drop(guard);
    Ok(response)
}

/// Returns the start of a `Range` header of the form `bytes=N-`; other forms are ignored.
fn range_start(range: &str) -> Option<usize> {
    range
        .strip_prefix("bytes=")?
        .strip_suffix('-')?
        .parse()
        .ok()
}

/// Returns an empty response with status 500 and the execution header.
fn internal_error(shared: &Shared, execution: u64) -> Response<StreamedBody> {
    let mut response = Response::new(StreamedBody::empty());
    *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
    set_execution(shared, execution, &mut response);
    response
}

/// Sets the execution header of a response.
fn set_execution(shared: &Shared, execution: u64, response: &mut Response<StreamedBody>) {
    let text = format!("{}-{execution}", shared.settings.name);
    if let Ok(value) = HeaderValue::from_str(&text) {
        response.headers_mut().insert(EXECUTION, value);
    }
}

/// Body sent in chunks, which can end early to inject a fault.
#[derive(Debug)]
struct StreamedBody {
    /// Generator of the bytes.
    source: BodySource,
    /// Bytes not yet sent.
    remaining: usize,
    /// Bytes still to send before the connection is closed; `None` sends the whole body.
    break_at: Option<usize>,
    /// Whether the next poll fails. The poll before it returns `Pending`, so that hyper writes out
    /// the bytes sent so far before it closes the connection.
    is_breaking: bool,
}

impl StreamedBody {
    /// Creates a body with the next `remaining` bytes of a source.
    const fn new(source: BodySource, remaining: usize) -> Self {
        Self {
            source,
            remaining,
            break_at: None,
            is_breaking: false,
        }
    }

    /// Creates an empty body.
    fn empty() -> Self {
        Self::new(BodySource::new("?bytes=0", ""), 0)
    }
}

impl http_body::Body for StreamedBody {
    type Data = Bytes;
    type Error = Hangup;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Hangup>>> {
        let max_bytes = match self.break_at {
            Some(0) if self.is_breaking => return Poll::Ready(Some(Err(Hangup))),
            Some(0) => {
                self.is_breaking = true;
                cx.waker().wake_by_ref();
                return Poll::Pending;
            }
            Some(bytes) => bytes.min(CHUNK_BYTES),
            None => CHUNK_BYTES,
        };
        if self.remaining == 0 {
            return Poll::Ready(None);
        }
        let chunk = self.source.next_chunk(max_bytes);
        self.remaining = self.remaining.saturating_sub(chunk.len());
        if let Some(bytes) = &mut self.break_at {
            *bytes -= chunk.len();
        }
        Poll::Ready(Some(Ok(Frame::data(chunk))))
    }

    fn is_end_stream(&self) -> bool {
        self.remaining == 0 && self.break_at.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.remaining as u64)
    }
}
