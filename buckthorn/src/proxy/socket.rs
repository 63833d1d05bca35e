//! TCP connection that detects partial requests and blocked writes.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep};

use super::connections::ConnectionState;

/// Idle time before the first TCP keepalive probe, and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unacknowledged keepalive probes after which a connection is closed.
const KEEPALIVE_RETRIES: u32 = 2;

/// Time after which a connection with unacknowledged data is closed.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Sets socket options so that a silent connection fails within seconds and small messages are sent
/// without delay.
pub fn keep_alive(stream: &TcpStream) {
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    let socket = SockRef::from(stream);
    // The socket works without an option that it does not support.
    let _ = socket.set_tcp_keepalive(&keepalive);
    let _ = socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
    let _ = socket.set_tcp_nodelay(true);
}

/// Sets the options of an accepted connection, on which the peer may leave `unread_bytes` unread.
pub fn prepare(stream: &TcpStream, unread_bytes: usize) {
    let socket = SockRef::from(stream);
    // Nagle's algorithm would delay small responses; a socket that rejects an option still works.
    let _ = socket.set_tcp_nodelay(true);
    let _ = socket.set_send_buffer_size(unread_bytes);
}

/// Bytes that are read at once of a peer that has yet to show that it is a node. A frame of HTTP/2 takes
/// ten bytes at least, and some hundred in memory.
const MAX_UNVERIFIED_READ_BYTES: usize = 1_024;

/// Connection that counts the bytes read and limits blocked writes.
#[derive(Debug)]
pub struct Socket<S = TcpStream> {
    /// Underlying stream.
    stream: S,
    /// State shared with the task that serves the connection.
    state: Arc<ConnectionState>,
    /// Longest time that a write may be blocked.
    write_timeout: Duration,
    /// Timer for blocked writes, created at the first one.
    timer: Option<Pin<Box<Sleep>>>,
    /// Whether the timer was started for the current blocked write.
    is_blocked: bool,
}

impl<S> Socket<S> {
    /// Wraps a stream.
    pub fn new(stream: S, state: Arc<ConnectionState>, write_timeout: Duration) -> Self {
        Self {
            stream,
            state,
            write_timeout,
            timer: None,
            is_blocked: false,
        }
    }

    /// Returns the underlying stream.
    pub fn into_inner(self) -> S {
        self.stream
    }

    /// Fails a write that was blocked for longer than the write timeout.
    fn check_write(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if let Poll::Ready(result) = &written {
            self.is_blocked = false;
            self.state
                .record_written(*result.as_ref().unwrap_or(&0) as u64);
            return written;
        }
        self.state.record_blocked();
        let until = Instant::now() + self.write_timeout;
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(sleep(self.write_timeout)));
        if !self.is_blocked {
            timer.as_mut().reset(until);
            self.is_blocked = true;
        }
        if timer.as_mut().poll(cx).is_ready() {
            self.state.record_stalled();
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        Poll::Pending
    }
}

/// Reads at most [`MAX_UNVERIFIED_READ_BYTES`].
fn read_some(
    stream: Pin<&mut impl AsyncRead>,
    cx: &mut Context<'_>,
    buf: &mut ReadBuf<'_>,
) -> Poll<io::Result<()>> {
    let mut bytes = [0; MAX_UNVERIFIED_READ_BYTES];
    let length = bytes.len().min(buf.remaining());
    let mut read = ReadBuf::new(&mut bytes[..length]);
    let result = stream.poll_read(cx, &mut read);
    buf.put_slice(read.filled());
    result
}

impl<S: AsyncRead + Unpin> AsyncRead for Socket<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        // The HTTP library parses and holds all that it can read before any request is handled, so
        // little is read of an unverified peer before its requests are refused.
        let is_unverified = self.state.is_unverified_node();
        if is_unverified && self.state.has_read_in_turn() {
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let before = buf.filled().len();
        let result = if is_unverified {
            read_some(Pin::new(&mut self.stream), cx, buf)
        } else {
            Pin::new(&mut self.stream).poll_read(cx, buf)
        };
        if result.is_pending() {
            self.state.record_read_to_end();
        }
        let bytes = buf.filled().len() - before;
        self.state.record_read(bytes as u64);
        result
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Socket<S> {
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
