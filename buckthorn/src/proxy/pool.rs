//! Pool of HTTP/1.1 connections to the local backend server.
//!
//! A connection serves one call at a time. It returns to the pool only after the request was sent
//! in full and the response was read to its exact end. In all other cases, such as a timeout, a
//! cancelled call or a broken response, it is closed, so that a late response cannot reach another
//! call. The backend server announces the maximum number of open connections.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use crossbeam::queue::ArrayQueue;
use http::{HeaderMap, Request, Response};
use http_body::{Frame, SizeHint};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::body::{Body, Fault};
use super::limit::Limits;
use super::socket;
use crate::counter::{Counter, Counters};

/// Why no connection was checked out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckoutError {
    /// No connection could be opened.
    Unreachable,
    /// All connections were in use until the deadline.
    Busy,
    /// The deadline passed while a connection was being opened.
    DeadlinePassed,
}

/// Why a request got no response.
#[derive(Debug)]
pub enum SendError {
    /// No byte of the request was sent; it is returned for another try.
    NotSent(Box<Request<Body>>),
    /// Bytes may have been sent before the connection broke.
    Lost,
}

/// Settings of the connections of a pool.
#[derive(Clone, Debug)]
struct Settings {
    /// Timeout for opening a connection.
    connect_timeout: Duration,
    /// Time that an idle connection is kept.
    idle: Duration,
    /// Maximum bytes of a response head.
    header_bytes: usize,
    /// Maximum header fields of a response.
    headers: usize,
}

/// Connections to one backend server.
#[derive(Debug)]
pub struct Pool {
    /// Address of the backend server.
    address: SocketAddr,
    /// One permit per connection that may be open.
    permits: Arc<Semaphore>,
    /// Idle connections.
    idle: ArrayQueue<Connection>,
    /// Incremented when a connection goes silent; connections opened before are not reused.
    generation: AtomicU64,
    /// Settings of the connections.
    settings: Settings,
    /// Counters of the node.
    counters: Arc<Counters>,
}

/// One open connection.
#[derive(Debug)]
struct Connection {
    /// Handle that sends requests.
    sender: http1::SendRequest<Body>,
    /// Task that drives the connection and ends with it.
    task: JoinHandle<hyper::Result<()>>,
    /// Generation of the pool when the connection was opened.
    generation: u64,
    /// Time of the last use.
    last_used: Instant,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Pool {
    /// Creates a pool of up to `connections` connections, at least one.
    pub fn new(
        address: SocketAddr,
        connections: u32,
        counters: Arc<Counters>,
        limits: &Limits,
    ) -> Arc<Self> {
        let connections = connections.max(1) as usize;
        Arc::new(Self {
            address,
            permits: Arc::new(Semaphore::new(connections)),
            idle: ArrayQueue::new(connections),
            generation: AtomicU64::new(0),
            settings: Settings {
                connect_timeout: limits.connect_timeout,
                idle: limits.pool_idle,
                header_bytes: limits.header_bytes,
                headers: limits.headers,
            },
            counters,
        })
    }

    /// Checks out a connection, and waits for one until a deadline.
    ///
    /// # Errors
    ///
    /// Returns why no connection is available; no byte was sent.
    pub async fn check_out(
        self: &Arc<Self>,
        deadline: Instant,
    ) -> Result<PooledConnection, CheckoutError> {
        let acquire = self.permits.clone().acquire_owned();
        let permit = match tokio::time::timeout_at(deadline, acquire).await {
            Ok(Ok(permit)) => permit,
            Ok(Err(_)) | Err(_) => return Err(CheckoutError::Busy),
        };
        let connection = match self.take_idle().await {
            Some(connection) => connection,
            None => self.open(deadline).await?,
        };
        Ok(PooledConnection {
            pool: self.clone(),
            connection,
            _permit: permit,
        })
    }

    /// Takes an idle connection that is still usable.
    async fn take_idle(&self) -> Option<Connection> {
        while let Some(mut connection) = self.idle.pop() {
            let is_reusable = connection.generation == self.generation.load(Ordering::Acquire)
                && connection.last_used.elapsed() < self.settings.idle;
            if is_reusable && connection.sender.ready().await.is_ok() {
                return Some(connection);
            }
        }
        None
    }

    /// Opens a connection.
    async fn open(&self, deadline: Instant) -> Result<Connection, CheckoutError> {
        let connect_deadline = Instant::now() + self.settings.connect_timeout;
        let connect = TcpStream::connect(self.address);
        let stream = match tokio::time::timeout_at(deadline.min(connect_deadline), connect).await {
            Ok(Ok(stream)) => stream,
            Err(_) if deadline < connect_deadline => return Err(CheckoutError::DeadlinePassed),
            Ok(Err(_)) | Err(_) => return Err(CheckoutError::Unreachable),
        };
        socket::keep_alive(&stream);
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(self.settings.header_bytes.max(8 * 1024))
            .max_headers(self.settings.headers)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|_| CheckoutError::Unreachable)?;
        self.counters.increment(Counter::ConnectionsOpened);
        Ok(Connection {
            sender,
            task: tokio::spawn(driver),
            generation: self.generation.load(Ordering::Acquire),
            last_used: Instant::now(),
        })
    }

    /// Closes the idle connections after one connection went silent.
    pub fn discard_idle(&self) {
        self.generation.fetch_add(1, Ordering::AcqRel);
        while self.idle.pop().is_some() {}
    }
}

/// A connection checked out by one call; closed on drop unless it is released.
#[derive(Debug)]
pub struct PooledConnection {
    /// Pool that the connection belongs to.
    pool: Arc<Pool>,
    /// The connection itself.
    connection: Connection,
    /// Counts towards the connections that may be open.
    _permit: OwnedSemaphorePermit,
}

/// State of a connection after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AfterResponse {
    /// It is ready for another request.
    Ready,
    /// It was closed, which is no error after a complete response.
    Closed,
    /// More bytes arrived than the response declared.
    Overlong,
}

impl PooledConnection {
    /// Sends a request and waits for the head of its response. The connection is closed after the
    /// response unless `allows_reuse` its headers.
    ///
    /// # Errors
    ///
    /// The error tells whether any byte was sent.
    pub async fn send(
        mut self,
        request: Request<Body>,
        allows_reuse: impl Fn(&HeaderMap) -> bool,
    ) -> Result<Response<ResponseBody>, SendError> {
        let is_sent = Arc::new(AtomicBool::new(false));
        let request = request.map(|body| RequestBody::boxed(body, is_sent.clone()));
        match self.connection.sender.try_send_request(request).await {
            Ok(response) => {
                let connection = allows_reuse(response.headers()).then_some(self);
                Ok(response.map(|body| ResponseBody::new(body, connection, is_sent)))
            }
            Err(mut error) => Err(match error.take_message() {
                Some(request) => SendError::NotSent(Box::new(request)),
                None => SendError::Lost,
            }),
        }
    }

    /// Returns the connection to the pool for another call.
    fn release(mut self) {
        self.connection.last_used = Instant::now();
        // The queue is never full, as it holds as many connections as there are permits. If a push
        // failed, dropping the connection would close it.
        drop(self.pool.idle.push(self.connection));
    }

    /// Waits until the state of the connection after a response is known.
    fn poll_settled(&mut self, cx: &mut Context<'_>) -> Poll<AfterResponse> {
        if ready!(self.connection.sender.poll_ready(cx)).is_ok() {
            return Poll::Ready(AfterResponse::Ready);
        }
        let ended = ready!(Pin::new(&mut self.connection.task).poll(cx));
        Poll::Ready(match ended {
            Ok(Err(error)) if is_overlong(&error) => AfterResponse::Overlong,
            Ok(_) | Err(_) => AfterResponse::Closed,
        })
    }
}

/// Returns whether a connection ended because of bytes that belong to no response.
///
/// Such bytes cause either a parse error or an error that `hyper` identifies by its message only:
/// the one that has no source and is none of the other kinds.
fn is_overlong(error: &hyper::Error) -> bool {
    use std::error::Error;

    error.is_parse() || (error.source().is_none() && !error.is_canceled() && !error.is_closed())
}

/// Request body that records when it was consumed in full.
#[derive(Debug)]
struct RequestBody {
    /// Wrapped body.
    inner: Body,
    /// Set when the body was consumed in full.
    is_sent: Arc<AtomicBool>,
}

impl RequestBody {
    /// Wraps a request body; one without bytes counts as consumed.
    fn boxed(inner: Body, is_sent: Arc<AtomicBool>) -> Body {
        use http_body_util::BodyExt;

        if http_body::Body::is_end_stream(&inner) {
            is_sent.store(true, Ordering::Release);
            return inner;
        }
        Self { inner, is_sent }.boxed_unsync()
    }
}

impl http_body::Body for RequestBody {
    type Data = Bytes;
    type Error = Fault;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Fault>>> {
        let next = ready!(Pin::new(&mut self.inner).poll_frame(cx));
        if next.is_none() || (matches!(next, Some(Ok(_))) && self.inner.is_end_stream()) {
            self.is_sent.store(true, Ordering::Release);
        }
        Poll::Ready(next)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// Body of a response. Withholds the last frame until it is known that no bytes follow it.
#[derive(Debug)]
pub struct ResponseBody {
    /// Body as received.
    incoming: Incoming,
    /// Connection of the response; `None` once released or closed.
    connection: Option<PooledConnection>,
    /// Last frame, withheld.
    last_frame: Option<Frame<Bytes>>,
    /// Whether the body was read to its end.
    is_read: bool,
    /// Whether the request was sent in full.
    is_sent: Arc<AtomicBool>,
}

impl ResponseBody {
    /// Wraps a response body. `connection` is the one on which it is received, unless that is closed
    /// after it.
    fn new(
        incoming: Incoming,
        connection: Option<PooledConnection>,
        is_sent: Arc<AtomicBool>,
    ) -> Self {
        let is_read = http_body::Body::is_end_stream(&incoming);
        let mut body = Self {
            incoming,
            connection,
            last_frame: None,
            is_read,
            is_sent,
        };
        if is_read {
            body.settle_in_background();
        }
        body
    }

    /// Settles the connection in the background, as a response without a body need not wait for it.
    fn settle_in_background(&mut self) {
        let Some(mut connection) = self.connection.take() else {
            return;
        };
        if !self.is_sent.load(Ordering::Acquire) {
            return;
        }
        tokio::spawn(async move {
            match std::future::poll_fn(|cx| connection.poll_settled(cx)).await {
                AfterResponse::Ready => connection.release(),
                AfterResponse::Closed => {}
                AfterResponse::Overlong => {
                    connection.pool.counters.increment(Counter::BrokenResponses)
                }
            }
        });
    }

    /// Releases or closes the connection after the body was read.
    fn poll_settle(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Fault>> {
        let Some(mut connection) = self.connection.take() else {
            return Poll::Ready(Ok(()));
        };
        if !self.is_sent.load(Ordering::Acquire) {
            return Poll::Ready(Ok(()));
        }
        match connection.poll_settled(cx) {
            Poll::Pending => {
                self.connection = Some(connection);
                Poll::Pending
            }
            Poll::Ready(AfterResponse::Ready) => {
                connection.release();
                Poll::Ready(Ok(()))
            }
            Poll::Ready(AfterResponse::Closed) => Poll::Ready(Ok(())),
            Poll::Ready(AfterResponse::Overlong) => Poll::Ready(Err(Fault::Overlong)),
        }
    }
}

impl http_body::Body for ResponseBody {
    type Data = Bytes;
    type Error = Fault;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Fault>>> {
        let this = &mut *self;
        if !this.is_read {
            match ready!(Pin::new(&mut this.incoming).poll_frame(cx)) {
                Some(Ok(frame)) if !this.incoming.is_end_stream() => {
                    return Poll::Ready(Some(Ok(frame)));
                }
                Some(Ok(frame)) => this.last_frame = Some(frame),
                None => {}
                Some(Err(_)) => {
                    this.connection = None;
                    this.is_read = true;
                    return Poll::Ready(Some(Err(Fault::Short)));
                }
            }
            this.is_read = true;
        }
        if let Err(fault) = ready!(this.poll_settle(cx)) {
            this.last_frame = None;
            return Poll::Ready(Some(Err(fault)));
        }
        Poll::Ready(this.last_frame.take().map(Ok))
    }

    fn is_end_stream(&self) -> bool {
        self.is_read && self.connection.is_none() && self.last_frame.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        match &self.last_frame {
            Some(frame) => SizeHint::with_exact(frame.data_ref().map_or(0, Bytes::len) as u64),
            None => self.incoming.size_hint(),
        }
    }
}
