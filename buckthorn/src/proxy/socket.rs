//! TCP connection that notices partial requests and blocked writes.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep};

/// Silence after which the other end is asked for a sign of life, and interval of the questions.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Questions without an answer after which a connection is given up.
const KEEPALIVE_RETRIES: u32 = 2;

/// Time after which a connection is given up when what was sent is not acknowledged.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Makes a connection that goes silent fail within seconds, and small messages leave at once.
pub fn keep_alive(stream: &TcpStream) {
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    let socket = SockRef::from(stream);
    // A socket that refuses an option works without it.
    let _ = socket.set_tcp_keepalive(&keepalive);
    let _ = socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
    let _ = socket.set_tcp_nodelay(true);
}

/// What a connection has seen, shared with whoever serves it.
#[derive(Debug, Default)]
pub struct ConnectionState {
    /// Bytes read in all.
    read: AtomicU64,
    /// Bytes read when the last request or part of its body was taken.
    consumed: AtomicU64,
    /// Whether a write was blocked for too long.
    is_stalled: AtomicBool,
}

impl ConnectionState {
    /// Notes that everything read so far belongs to requests that were taken.
    pub fn mark_consumed(&self) {
        self.consumed
            .store(self.read.load(Ordering::Relaxed), Ordering::Relaxed);
    }

    /// Whether bytes came that no request took.
    pub fn has_unconsumed(&self) -> bool {
        self.read.load(Ordering::Relaxed) > self.consumed.load(Ordering::Relaxed)
    }

    /// Whether a write was blocked for too long.
    pub fn is_stalled(&self) -> bool {
        self.is_stalled.load(Ordering::Relaxed)
    }
}

/// TCP connection with a meter and a limit on blocked writes.
#[derive(Debug)]
pub struct Socket {
    /// Connection.
    stream: TcpStream,
    /// What it has seen.
    state: Arc<ConnectionState>,
    /// Time that a write may be blocked.
    write_timeout: Duration,
    /// Timer of the present blocked write.
    timer: Option<Pin<Box<Sleep>>>,
    /// Whether the timer belongs to the present blocked write.
    is_blocked: bool,
}

impl Socket {
    /// Wraps a connection.
    pub fn new(stream: TcpStream, state: Arc<ConnectionState>, write_timeout: Duration) -> Self {
        Self {
            stream,
            state,
            write_timeout,
            timer: None,
            is_blocked: false,
        }
    }

    /// Fails a write that has been blocked for too long.
    fn check_write(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            self.is_blocked = false;
            return written;
        }
        let until = Instant::now() + self.write_timeout;
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(sleep(self.write_timeout)));
        if !self.is_blocked {
            timer.as_mut().reset(until);
            self.is_blocked = true;
        }
        if timer.as_mut().poll(cx).is_ready() {
            self.state.is_stalled.store(true, Ordering::Relaxed);
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        Poll::Pending
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        let bytes = buf.filled().len() - before;
        self.state.read.fetch_add(bytes as u64, Ordering::Relaxed);
        result
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.check_write(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.check_write(cx, written)
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
