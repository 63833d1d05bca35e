//! The server: slots, connections, cold start and faults.

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

/// Settings of a stand-in.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address to listen on; port zero lets the system choose.
    pub listen: SocketAddr,
    /// Name in the answers' execution header.
    pub name: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Connections that it takes; it closes others at once.
    pub connections: u32,
    /// Time that one request takes.
    pub service_time: Duration,
    /// Time that it stays cold after a start or a chill.
    pub cold_time: Duration,
    /// Factor on the service time while it is cold.
    pub cold_factor: u32,
    /// Requests at once that make it fail while it is cold; zero for any number.
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

/// A running stand-in; it stops when dropped.
#[derive(Debug)]
pub struct Server {
    /// State shared with its connections.
    shared: Arc<Shared>,
    /// Address that it listens on.
    address: SocketAddr,
    /// Ends it.
    task: AbortHandle,
}

/// State shared by the connections.
#[derive(Debug)]
struct Shared {
    /// Settings.
    settings: Settings,
    /// Faults in force.
    faults: ArcSwap<Faults>,
    /// Executions.
    ledger: Arc<Ledger>,
    /// One permit per slot.
    slots: Semaphore,
    /// Requests that run or wait for a slot.
    running: AtomicU32,
    /// Most requests that ran or waited at once.
    peak: AtomicU32,
    /// Requests taken, refused ones included.
    requests: AtomicU64,
    /// Requests refused as over the slots or because it is cold.
    refused: AtomicU64,
    /// End of the cold time, in microseconds since `origin`.
    warm_at: AtomicU64,
    /// Start of the server.
    origin: Instant,
}

impl Server {
    /// Starts a stand-in on the present tokio runtime.
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
            warm_at: AtomicU64::new(0),
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

    /// Settings that it was started with.
    pub fn settings(&self) -> &Settings {
        &self.shared.settings
    }

    /// Puts faults in force for requests to come.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.faults.store(Arc::new(faults));
    }

    /// Turns it cold again.
    pub fn restart_cold_time(&self) {
        self.shared.restart_cold_time();
    }

    /// Executions.
    pub fn ledger(&self) -> &Arc<Ledger> {
        &self.shared.ledger
    }

    /// Requests that run or wait now.
    pub fn running(&self) -> u32 {
        self.shared.running.load(Ordering::Relaxed)
    }

    /// Most requests that ran or waited at once.
    pub fn peak(&self) -> u32 {
        self.shared.peak.load(Ordering::Relaxed)
    }

    /// Requests taken, refused ones included.
    pub fn requests(&self) -> u64 {
        self.shared.requests.load(Ordering::Relaxed)
    }

    /// Requests refused as over the slots or because it was cold.
    pub fn refused(&self) -> u64 {
        self.shared.refused.load(Ordering::Relaxed)
    }

    /// Stops it at once and closes its connections.
    pub fn stop(self) {
        drop(self);
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Accepts connections within the limit.
async fn accept(shared: Arc<Shared>, listener: TcpListener) {
    let places = Arc::new(Semaphore::new(shared.settings.connections as usize));
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => continue,
        };
        let Ok((stream, _)) = accepted else { continue };
        let Ok(place) = places.clone().try_acquire_owned() else {
            continue;
        };
        // Without this, small answers wait for acknowledgements; a socket that refuses works.
        let _ = stream.set_nodelay(true);
        let shared = shared.clone();
        connections.spawn(async move {
            let service = service_fn(move |request| answer(shared.clone(), request));
            let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            // Connections that break are what the faults are for.
            let _ = served.await;
            drop(place);
        });
    }
}

/// The connection is to be closed without an answer.
#[derive(Debug)]
struct Hangup;

impl std::fmt::Display for Hangup {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the connection is closed on purpose")
    }
}

impl std::error::Error for Hangup {}

/// Counts a request while it runs or waits.
struct Running<'a>(&'a Shared);

impl<'a> Running<'a> {
    /// Counts a request that starts; returns how many there are with it.
    fn start(shared: &'a Shared) -> (Self, u32) {
        shared.requests.fetch_add(1, Ordering::Relaxed);
        let running = shared.running.fetch_add(1, Ordering::Relaxed) + 1;
        shared.peak.fetch_max(running, Ordering::Relaxed);
        (Self(shared), running)
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Shared {
    /// Microseconds since the start.
    fn elapsed(&self) -> u64 {
        self.origin.elapsed().as_micros() as u64
    }

    /// Starts the cold time anew.
    fn restart_cold_time(&self) {
        let warm_at = self.elapsed() + self.settings.cold_time.as_micros() as u64;
        self.warm_at.store(warm_at, Ordering::Relaxed);
    }

    /// Whether it is cold.
    fn is_cold(&self) -> bool {
        self.elapsed() < self.warm_at.load(Ordering::Relaxed)
    }

    /// Time that one request takes now.
    fn service_time(&self) -> Duration {
        match self.is_cold() {
            true => self.settings.service_time * self.settings.cold_factor,
            false => self.settings.service_time,
        }
    }

    /// Refuses a request.
    fn refuse(&self, status: StatusCode) -> Response<Parts> {
        self.refused.fetch_add(1, Ordering::Relaxed);
        let mut response = Response::new(Parts::empty());
        *response.status_mut() = status;
        response
    }
}

/// Header of a request as text.
fn text<'a, B>(request: &'a Request<B>, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

/// Whether a request must not run twice.
fn must_run_once<B>(request: &Request<B>) -> bool {
    matches!(*request.method(), Method::POST | Method::PATCH)
}

/// Answers one request.
async fn answer(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> Result<Response<Parts>, Hangup> {
    let (guard, running) = Running::start(&shared);
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
        text(&request, REQUEST_ID).unwrap_or("").to_owned(),
    );
    let key = text(&request, "idempotency-key").unwrap_or(&id).to_owned();
    let (is_once, method) = (must_run_once(&request), request.method().clone());
    let range = text(&request, "range").and_then(range_start);
    let Ok(_slot) = shared.slots.acquire().await else {
        return Err(Hangup);
    };
    if request.into_body().collect().await.is_err() {
        return Err(Hangup);
    }
    let execution = shared.ledger.count_request();
    if is_once && !key.is_empty() {
        shared.ledger.record(&key);
    }
    let is_met = faults.applies_to(&path, running);
    let delay = if is_met { faults.delay } else { Duration::ZERO };
    let time = shared.service_time() + delay;
    if !time.is_zero() {
        tokio::time::sleep(time).await;
    }
    let mut source = BodySource::new(&path, &id);
    let behavior = match is_met {
        true => faults.behavior(&id, source.len()),
        false => Behavior::Respond,
    };
    let whole = source.len();
    let start = range.filter(|start| *start < whole).unwrap_or(0);
    source.seek(start);
    let mut response = Response::new(Parts::new(source, whole - start));
    match behavior {
        Behavior::Respond => {}
        Behavior::Error => return Ok(failed(&shared, execution)),
        Behavior::BreakAt(bytes) => response.body_mut().break_at = Some(bytes),
        Behavior::Reset => return Err(Hangup),
        Behavior::Hang => std::future::pending().await,
    }
    if method == Method::HEAD {
        response.body_mut().left = 0;
    }
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_LENGTH, HeaderValue::from(whole - start));
    if let Ok(tag) = HeaderValue::from_str(&format!("\"{path}-{id}\"")) {
        headers.insert(header::ETAG, tag);
    }
    if start > 0 {
        let span = format!("bytes {start}-{}/{whole}", whole - 1);
        if let Ok(span) = HeaderValue::from_str(&span) {
            headers.insert(header::CONTENT_RANGE, span);
        }
        *response.status_mut() = StatusCode::PARTIAL_CONTENT;
    }
    mark(&shared, execution, &mut response);
    drop(guard);
    Ok(response)
}

/// Start of a range `bytes=N-`.
fn range_start(range: &str) -> Option<usize> {
    range
        .strip_prefix("bytes=")?
        .strip_suffix('-')?
        .parse()
        .ok()
}

/// Answer with status 500.
fn failed(shared: &Shared, execution: u64) -> Response<Parts> {
    let mut response = Response::new(Parts::empty());
    *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
    mark(shared, execution, &mut response);
    response
}

/// Names the execution in the answer.
fn mark(shared: &Shared, execution: u64, response: &mut Response<Parts>) {
    let text = format!("{}-{execution}", shared.settings.name);
    if let Ok(value) = HeaderValue::from_str(&text) {
        response.headers_mut().insert(EXECUTION, value);
    }
}

/// Body made of parts, which may break off.
#[derive(Debug)]
struct Parts {
    /// Bytes.
    source: BodySource,
    /// Bytes still to come.
    left: usize,
    /// Bytes after which the connection is closed.
    break_at: Option<usize>,
    /// Whether the body is about to break off; what was sent so far is on its way first.
    is_breaking: bool,
}

impl Parts {
    /// Body of `left` bytes.
    const fn new(source: BodySource, left: usize) -> Self {
        Self {
            source,
            left,
            break_at: None,
            is_breaking: false,
        }
    }

    /// Body without bytes.
    fn empty() -> Self {
        Self::new(BodySource::new("?bytes=0", ""), 0)
    }
}

impl http_body::Body for Parts {
    type Data = Bytes;
    type Error = Hangup;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Hangup>>> {
        let part = match self.break_at {
            Some(0) if self.is_breaking => return Poll::Ready(Some(Err(Hangup))),
            Some(0) => {
                self.is_breaking = true;
                cx.waker().wake_by_ref();
                return Poll::Pending;
            }
            Some(bytes) => bytes.min(CHUNK_BYTES),
            None => CHUNK_BYTES,
        };
        if self.left == 0 {
            return Poll::Ready(None);
        }
        let part = self.source.next_chunk(part);
        self.left = self.left.saturating_sub(part.len());
        if let Some(bytes) = &mut self.break_at {
            *bytes -= part.len();
        }
        Poll::Ready(Some(Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.left == 0 && self.break_at.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left as u64)
    }
}
