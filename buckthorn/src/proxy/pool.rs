//! HTTP/1.1 connections to the own backend server.
//!
//! A connection is lent to one call at a time and goes back only after the request was sent in
//! full and its answer was read to its exact end. In every other case, a timeout, a cancelled call,
//! a broken answer, it is closed, so that a late answer has nowhere to go. At most as many
//! connections are open as the backend server announced.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use crossbeam::queue::ArrayQueue;
use http::{Request, Response};
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
use crate::counter::{Board, Counter};

/// Why no connection was lent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckoutError {
    /// No connection could be opened.
    Unreachable,
    /// All connections were in use until the deadline.
    Busy,
}

/// Why a request got no answer.
#[derive(Debug)]
pub enum SendError {
    /// No byte of the request was sent; here it is back.
    NotSent(Box<Request<Body>>),
    /// Bytes may have been sent before the connection broke.
    Lost,
}

/// Settings of a pool.
#[derive(Clone, Debug)]
struct Settings {
    /// Time to open a connection.
    connect_timeout: Duration,
    /// Time that an unused connection is kept.
    idle: Duration,
    /// Bytes of an answer's head.
    header_bytes: usize,
    /// Fields of an answer's head.
    headers: usize,
}

/// Connections to one backend server.
#[derive(Debug)]
pub struct Pool {
    /// Address of the backend server.
    address: SocketAddr,
    /// One permit per connection that may be lent.
    permits: Arc<Semaphore>,
    /// Connections not in use.
    idle: ArrayQueue<Connection>,
    /// Raised when a connection fell silent: those opened before are not trusted any longer.
    generation: AtomicU64,
    /// Settings.
    settings: Settings,
    /// Counters.
    counters: Arc<Board>,
}

/// One open connection.
#[derive(Debug)]
struct Connection {
    /// Sends requests.
    sender: http1::SendRequest<Body>,
    /// Task that drives the connection; ends with the connection.
    task: JoinHandle<hyper::Result<()>>,
    /// Generation of the pool when it was opened.
    generation: u64,
    /// Time of the last use.
    used: Instant,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Pool {
    /// Pool of up to `connections` connections.
    pub fn new(
        address: SocketAddr,
        connections: u32,
        counters: Arc<Board>,
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

    /// Lends a connection until a deadline.
    ///
    /// # Errors
    ///
    /// Says why none could be lent; nothing was sent.
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

    /// Takes a usable connection that is not in use.
    async fn take_idle(&self) -> Option<Connection> {
        while let Some(mut connection) = self.idle.pop() {
            let is_trusted = connection.generation == self.generation.load(Ordering::Acquire)
                && connection.used.elapsed() < self.settings.idle;
            if is_trusted && connection.sender.ready().await.is_ok() {
                return Some(connection);
            }
        }
        None
    }

    /// Opens a connection.
    async fn open(&self, deadline: Instant) -> Result<Connection, CheckoutError> {
        let until = deadline.min(Instant::now() + self.settings.connect_timeout);
        let connect = TcpStream::connect(self.address);
        let stream = match tokio::time::timeout_at(until, connect).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(_)) | Err(_) => return Err(CheckoutError::Unreachable),
        };
        socket::keep_alive(&stream);
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(self.settings.header_bytes.max(8 * 1024))
            .max_headers(self.settings.headers)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|_| CheckoutError::Unreachable)?;
        self.counters.hit(Counter::ConnectionsOpened);
        Ok(Connection {
            sender,
            task: tokio::spawn(driver),
            generation: self.generation.load(Ordering::Acquire),
            used: Instant::now(),
        })
    }

    /// Closes connections not in use, after one of them fell silent.
    pub fn discard_idle(&self) {
        self.generation.fetch_add(1, Ordering::AcqRel);
        while self.idle.pop().is_some() {}
    }
}

/// A connection lent to one call; closed unless it is given back.
#[derive(Debug)]
pub struct PooledConnection {
    /// Pool it belongs to.
    pool: Arc<Pool>,
    /// Connection.
    connection: Connection,
    /// Counts against the connections that may be lent.
    _permit: OwnedSemaphorePermit,
}

/// State of a connection after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AfterResponse {
    /// Ready for another request.
    Ready,
    /// Closed in good order.
    Closed,
    /// More bytes came than the answer declared.
    Overlong,
}

impl PooledConnection {
    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Says whether anything was sent.
    pub async fn send(
        mut self,
        request: Request<Body>,
    ) -> Result<Response<ResponseBody>, SendError> {
        let is_sent = Arc::new(AtomicBool::new(false));
        let request = request.map(|body| RequestBody::boxed(body, is_sent.clone()));
        match self.connection.sender.try_send_request(request).await {
            Ok(response) => Ok(response.map(|body| ResponseBody::new(body, self, is_sent))),
            Err(mut error) => Err(match error.take_message() {
                Some(request) => SendError::NotSent(Box::new(request)),
                None => SendError::Lost,
            }),
        }
    }

    /// Gives the connection back for another call.
    fn release(mut self) {
        self.connection.used = Instant::now();
        // A full queue cannot be: there are no more connections than places. Dropping closes.
        drop(self.pool.idle.push(self.connection));
    }

    /// Waits until the connection shows what it is good for after an answer.
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

/// Whether a connection ended because bytes came that belong to no answer.
///
/// `hyper` names this error in words only; it is the one that has no source and none of the other
/// kinds.
fn is_overlong(error: &hyper::Error) -> bool {
    use std::error::Error;

    error.is_parse() || (error.source().is_none() && !error.is_canceled() && !error.is_closed())
}

/// Request body that notes when all of it was taken.
#[derive(Debug)]
struct RequestBody {
    /// Body.
    inner: Body,
    /// Set when all of it was taken.
    is_sent: Arc<AtomicBool>,
}

impl RequestBody {
    /// Wraps a request's body.
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

/// Body of an answer; holds its last part back until nothing is known to follow it.
#[derive(Debug)]
pub struct ResponseBody {
    /// Body as it comes.
    incoming: Incoming,
    /// Connection it comes on; `None` once given back or closed.
    connection: Option<PooledConnection>,
    /// Last part, held back.
    last_frame: Option<Frame<Bytes>>,
    /// Whether the body was read to its end.
    is_read: bool,
    /// Whether the request was sent in full.
    is_sent: Arc<AtomicBool>,
}

impl ResponseBody {
    /// Body that comes on a connection.
    fn new(incoming: Incoming, connection: PooledConnection, is_sent: Arc<AtomicBool>) -> Self {
        let is_read = http_body::Body::is_end_stream(&incoming);
        let mut reply = Self {
            incoming,
            connection: Some(connection),
            last_frame: None,
            is_read,
            is_sent,
        };
        if is_read {
            reply.settle_in_background();
        }
        reply
    }

    /// Lets the connection settle without the answer waiting for it: it has no body.
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
                AfterResponse::Overlong => connection.pool.counters.hit(Counter::BrokenAnswers),
            }
        });
    }

    /// Decides what becomes of the connection once the body was read.
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
