//! Requests that a caller sends ahead on one connection, before earlier ones are answered.
//!
//! The HTTP library serves one request of a connection after the other. A [`Reader`] therefore reads
//! the connection in its place, up to a bound, and hands every byte on unchanged; a [`Scanner`]
//! finds the heads of requests among them. A request that may run beside those before it
//! ([`Window`]) is dispatched early, and its response is kept until the library takes the
//! request and asks for it. Responses thus leave in the order of the requests.
//!
//! Calls that were dispatched early are cancelled with their connection.

mod scanner;
mod window;

use std::collections::VecDeque;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, Request, Response, Uri};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{Notify, mpsc};
use tokio::task::JoinHandle;

pub use self::scanner::{Head, Scanner};
pub use self::window::Window;
use super::body::Body;

/// Chunks that a reader holds before the library takes them.
const CHUNKS: usize = 4;

/// Bytes that are read at once.
const CHUNK_BYTES: usize = 8 * 1024;

/// Result of reading a connection.
#[derive(Debug)]
pub enum Step {
    /// Bytes were read; these requests begin in them.
    Read(Vec<Head>),
    /// The caller closed the connection, or it broke.
    Ended,
}

/// Reads a connection ahead of the HTTP library.
#[derive(Debug)]
pub struct Reader {
    /// Half of the connection that is read.
    stream: OwnedReadHalf,
    /// Passes the bytes on; its capacity bounds what is held.
    chunks: mpsc::Sender<Bytes>,
    /// Finds the heads of requests.
    scanner: Scanner,
}

impl Reader {
    /// Splits a connection into its reader and what the HTTP library reads and writes.
    pub fn new(stream: TcpStream, scanner: Scanner) -> (Self, Stream) {
        let (read_half, write_half) = stream.into_split();
        let (sender, receiver) = mpsc::channel(CHUNKS);
        let reader = Self {
            stream: read_half,
            chunks: sender,
            scanner,
        };
        let stream = Stream {
            stream: write_half,
            chunks: receiver,
            current: Bytes::new(),
        };
        (reader, stream)
    }

    /// Returns the connection without what was read of it; `None` if the other half is of another
    /// one.
    pub fn reunite(self, stream: Stream) -> Option<TcpStream> {
        self.stream.reunite(stream.stream).ok()
    }

    /// Reads the next bytes once there is room for them. No byte is lost if the future is dropped.
    pub async fn next(&mut self) -> Step {
        loop {
            let Ok(permit) = self.chunks.reserve().await else {
                return Step::Ended;
            };
            if self.stream.readable().await.is_err() {
                return Step::Ended;
            }
            let mut buffer = BytesMut::with_capacity(CHUNK_BYTES);
            match self.stream.try_read_buf(&mut buffer) {
                Ok(0) => return Step::Ended,
                Ok(_) => {
                    let bytes = buffer.freeze();
                    let heads = self.scanner.feed(&bytes);
                    permit.send(bytes);
                    return Step::Read(heads);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return Step::Ended,
            }
        }
    }
}

/// Connection whose bytes a [`Reader`] reads.
#[derive(Debug)]
pub struct Stream {
    /// Half of the connection that is written.
    stream: OwnedWriteHalf,
    /// Bytes that the reader passes on.
    chunks: mpsc::Receiver<Bytes>,
    /// Rest of the chunk that is being read.
    current: Bytes,
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.current.is_empty() {
            match ready!(self.chunks.poll_recv(cx)) {
                Some(chunk) => self.current = chunk,
                None => return Poll::Ready(Ok(())),
            }
        }
        let bytes = self.current.len().min(buf.remaining());
        buf.put_slice(&self.current.split_to(bytes));
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Requests of one connection, shared by its reader and the handler of its requests.
#[derive(Debug, Default)]
pub struct Progress {
    /// Requests that the library has taken.
    taken: AtomicU64,
    /// Requests that were answered.
    answered: AtomicU64,
    /// Number of calls in `early`.
    started: AtomicU64,
    /// Calls that were dispatched early, by rising index. The lock is taken only while there are any.
    early: Mutex<VecDeque<EarlyCall>>,
    /// Signals that a request was answered.
    answer: Notify,
    /// Signals that the library has taken the requests of all early calls.
    settled: Notify,
}

/// A call that was dispatched before the library took its request.
#[derive(Debug)]
pub struct EarlyCall {
    /// Index of the request on its connection.
    index: u64,
    /// Method of the request.
    method: Method,
    /// Target of the request.
    uri: Uri,
    /// Header fields of the request.
    headers: HeaderMap,
    /// Task that dispatches the call.
    task: Task,
}

/// A task that is cancelled when dropped.
#[derive(Debug)]
struct Task(JoinHandle<Response<Body>>);

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl EarlyCall {
    /// Keeps the task of a request's call.
    pub fn new(index: u64, request: &Request<()>, task: JoinHandle<Response<Body>>) -> Self {
        Self {
            index,
            method: request.method().clone(),
            uri: request.uri().clone(),
            headers: request.headers().clone(),
            task: Task(task),
        }
    }

    /// Waits for the response; `None` if the task failed.
    pub async fn response(mut self) -> Option<Response<Body>> {
        (&mut self.task.0).await.ok()
    }

    /// Returns whether the call is that of a request.
    fn is_of<B>(&self, request: &Request<B>) -> bool {
        self.method == *request.method()
            && self.uri == *request.uri()
            && self.headers == *request.headers()
    }
}

impl Progress {
    /// Returns the number of requests that the library has taken.
    pub fn taken(&self) -> u64 {
        self.taken.load(Ordering::Acquire)
    }

    /// Returns the number of requests that were answered.
    pub fn answered(&self) -> u64 {
        self.answered.load(Ordering::Acquire)
    }

    /// Returns whether calls were dispatched early whose requests the library has not taken yet.
    pub fn has_early(&self) -> bool {
        self.started.load(Ordering::Acquire) > 0
    }

    /// Adds a call that was dispatched early.
    pub fn add(&self, call: EarlyCall) {
        self.early().push_back(call);
        self.started.fetch_add(1, Ordering::AcqRel);
    }

    /// Counts a request that the library has taken, and returns its call if that was dispatched
    /// early.
    pub fn take<B>(&self, request: &Request<B>) -> Option<EarlyCall> {
        let index = self.taken.fetch_add(1, Ordering::AcqRel);
        if !self.has_early() {
            return None;
        }
        let mut early = self.early();
        if early.front().is_none_or(|call| call.index > index) {
            return None;
        }
        let call = early.pop_front()?;
        if self.started.fetch_sub(1, Ordering::AcqRel) == 1 {
            self.settled.notify_one();
        }
        (call.index == index && call.is_of(request)).then_some(call)
    }

    /// Counts a request as answered.
    pub fn record_answer(&self) {
        self.answered.fetch_add(1, Ordering::AcqRel);
        self.answer.notify_one();
    }

    /// Waits until another request was answered.
    pub async fn next_answer(&self) {
        self.answer.notified().await;
    }

    /// Waits until the library has taken the requests of all early calls.
    pub async fn settled(&self) {
        while self.has_early() {
            self.settled.notified().await;
        }
    }

    /// Locks the calls that were dispatched early.
    fn early(&self) -> MutexGuard<'_, VecDeque<EarlyCall>> {
        self.early.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
