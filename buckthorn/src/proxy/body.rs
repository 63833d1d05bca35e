//! Streamed bodies, checked against their declared length and limited in size and idle time.

use std::collections::VecDeque;
use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, StatusCode};
use http_body::{Frame, SizeHint};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Empty, Full};
use tokio::time::{Instant, Sleep, sleep_until};

use super::header;
use super::memory::Reservation;
use super::shortage::{Progress, Shortage};

/// Pieces of data below this size are copied out of the buffer that they were received in, which has
/// at least eight times this size.
const COPIED_BYTES: usize = 1_024;

/// Interval between two checks of an upload's progress.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(250);

/// Type-erased body of a request or response.
pub type Body = UnsyncBoxBody<Bytes, Fault>;

/// Why a body failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It ended before its declared length.
    Short,
    /// It continued after its declared length.
    Overlong,
    /// No data arrived within the idle timeout.
    Idle,
    /// It is larger than allowed.
    TooLarge,
    /// The connection broke.
    Lost,
    /// It had not ended at the deadline of its call.
    Deadline,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Short => "body ended before its declared length",
            Self::Overlong => "body continued after its declared length",
            Self::Idle => "body stalled",
            Self::TooLarge => "body is larger than allowed",
            Self::Lost => "connection broke before the end of the body",
            Self::Deadline => "body had not ended at the deadline of its call",
        })
    }
}

impl std::error::Error for Fault {}

impl From<hyper::Error> for Fault {
    fn from(_: hyper::Error) -> Self {
        Self::Lost
    }
}

impl From<std::convert::Infallible> for Fault {
    fn from(never: std::convert::Infallible) -> Self {
        match never {}
    }
}

/// Creates an empty body.
pub fn empty() -> Body {
    Empty::new().map_err(Fault::from).boxed_unsync()
}

/// Creates a body from bytes in memory.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(Fault::from).boxed_unsync()
}

/// Returns the declared length of a response body, `None` when there is no body or no length.
pub fn expected_length(method: &Method, status: StatusCode, headers: &HeaderMap) -> Option<u64> {
    if !has_body(method, status) {
        return None;
    }
    header::declared_length(headers).ok().flatten()
}

/// Returns whether a response may have a body (RFC 9112, section 6.3).
pub fn has_body(method: &Method, status: StatusCode) -> bool {
    method != Method::HEAD
        && !status.is_informational()
        && status != StatusCode::NO_CONTENT
        && status != StatusCode::NOT_MODIFIED
}

/// How a body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// It was read in full.
    Complete,
    /// It failed.
    Fault(Fault),
    /// Its reader dropped it.
    Dropped,
}

/// Callback that is invoked once when a body ends.
pub type OnEnd = Box<dyn FnOnce(Ending) + Send>;

/// Copies a small piece of data, which would keep the whole buffer that it was received in.
fn detach(data: Bytes) -> Bytes {
    if data.len() < COPIED_BYTES {
        Bytes::copy_from_slice(&data)
    } else {
        data
    }
}

/// Limits that a [`Monitor`] enforces.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Declared length that the body must match exactly.
    pub declared: Option<u64>,
    /// Maximum size in bytes.
    pub max_bytes: u64,
    /// Longest wait for the next frame while the reader polls.
    pub idle: Duration,
}

/// Watch of an upload for progress.
struct Upload {
    /// Shortage of room at the node.
    shortage: Arc<Shortage>,
    /// Progress so far.
    progress: Progress,
    /// Timer of the next check.
    timer: Pin<Box<Sleep>>,
}

/// Body wrapper that enforces bounds and reports how the body ended.
pub struct Monitor<B> {
    /// Wrapped body.
    inner: B,
    /// Declared bytes that have not arrived yet.
    left: Option<u64>,
    /// Bytes that may still arrive.
    allowed: u64,
    /// Longest wait for the next frame.
    idle: Duration,
    /// Time at which the body fails unless it has ended.
    deadline: Option<Instant>,
    /// Idle timer, created at the first wait.
    timer: Option<Pin<Box<Sleep>>>,
    /// Whether the timer was started for the current wait.
    is_waiting: bool,
    /// Progress of an upload.
    upload: Option<Upload>,
    /// Callback for the end of the body, `None` once invoked.
    on_end: Option<OnEnd>,
    /// Whether a fault was returned to the reader.
    is_failed: bool,
}

impl<B> fmt::Debug for Monitor<B> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Monitor")
            .field("left", &self.left)
            .finish_non_exhaustive()
    }
}

impl<B> Monitor<B>
where
    B: http_body::Body<Data = Bytes> + Unpin,
{
    /// Wraps a body.
    pub fn new(inner: B, bounds: Bounds, on_end: impl FnOnce(Ending) + Send + 'static) -> Self {
        let mut monitor = Self {
            inner,
            left: bounds.declared,
            allowed: bounds.max_bytes,
            idle: bounds.idle,
            deadline: None,
            timer: None,
            is_waiting: false,
            upload: None,
            on_end: Some(Box::new(on_end)),
            is_failed: false,
        };
        if monitor.is_complete() {
            monitor.end(Ending::Complete);
        }
        monitor
    }

    /// Sets the time at which the body fails unless it has ended.
    pub fn until(mut self, deadline: Option<Instant>) -> Self {
        self.deadline = deadline;
        self
    }

    /// Returns whether the deadline has passed.
    fn is_late(&self) -> bool {
        self.deadline.is_some_and(|at| Instant::now() >= at)
    }

    /// Fails the body also when it makes no progress during a shortage.
    pub fn with_progress(mut self, shortage: &Arc<Shortage>) -> Self {
        if !self.is_complete() {
            self.upload = Some(Upload {
                shortage: shortage.clone(),
                progress: Progress::default(),
                timer: Box::pin(sleep_until(Instant::now() + PROGRESS_INTERVAL)),
            });
        }
        self
    }

    /// Polls whether the body has to fail because it makes no progress during a shortage.
    fn poll_cut(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let Some(upload) = &mut self.upload else {
            return Poll::Pending;
        };
        loop {
            let now = Instant::now();
            if upload.progress.is_stalled(now) && upload.shortage.is_current() {
                return Poll::Ready(());
            }
            ready!(upload.timer.as_mut().poll(cx));
            upload.timer.as_mut().reset(now + PROGRESS_INTERVAL);
        }
    }

    /// Returns whether the body has ended and has its declared length.
    fn is_complete(&self) -> bool {
        self.inner.is_end_stream() && self.left.unwrap_or(0) == 0
    }

    /// Deducts bytes that arrived from what is declared and allowed.
    fn count(&mut self, bytes: u64) -> Result<(), Fault> {
        if let Some(upload) = &mut self.upload {
            upload.progress.record(bytes, Instant::now());
        }
        if let Some(left) = &mut self.left {
            *left = left.checked_sub(bytes).ok_or(Fault::Overlong)?;
        }
        self.allowed = self.allowed.checked_sub(bytes).ok_or(Fault::TooLarge)?;
        Ok(())
    }

    /// Polls the timer for the idle timeout or the deadline, and starts it at the beginning of a wait.
    fn poll_idle(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if !self.is_waiting {
            self.is_waiting = true;
            let idle_end = Instant::now() + self.idle;
            let end = self.deadline.map_or(idle_end, |at| at.min(idle_end));
            match &mut self.timer {
                Some(timer) => timer.as_mut().reset(end),
                None => self.timer = Some(Box::pin(sleep_until(end))),
            }
        }
        match &mut self.timer {
            Some(timer) => timer.as_mut().poll(cx),
            None => Poll::Pending,
        }
    }
}

impl<B> Monitor<B> {
    /// Invokes the callback, at most once.
    fn end(&mut self, ending: Ending) {
        if let Some(on_end) = self.on_end.take() {
            on_end(ending);
        }
    }

    /// Reports a fault and returns it to the reader.
    fn fail<T>(&mut self, fault: Fault) -> Poll<Option<Result<T, Fault>>> {
        self.is_failed = true;
        self.end(Ending::Fault(fault));
        Poll::Ready(Some(Err(fault)))
    }
}

impl<B> http_body::Body for Monitor<B>
where
    B: http_body::Body<Data = Bytes> + Unpin,
    B::Error: Into<Fault>,
{
    type Data = Bytes;
    type Error = Fault;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Fault>>> {
        let this = &mut *self;
        if this.is_failed {
            return Poll::Ready(None);
        }
        let Poll::Ready(next) = Pin::new(&mut this.inner).poll_frame(cx) else {
            let is_late = this.is_late();
            if !is_late && this.poll_cut(cx).is_pending() {
                ready!(this.poll_idle(cx));
            }
            return this.fail(if this.is_late() {
                Fault::Deadline
            } else {
                Fault::Idle
            });
        };
        this.is_waiting = false;
        let frame = match next {
            Some(Ok(frame)) => frame,
            Some(Err(error)) => return this.fail(error.into()),
            None if this.left.unwrap_or(0) > 0 => return this.fail(Fault::Short),
            None => {
                this.end(Ending::Complete);
                return Poll::Ready(None);
            }
        };
        let frame = frame.map_data(detach);
        let bytes = frame.data_ref().map_or(0, Bytes::len);
        if let Err(fault) = this.count(bytes as u64) {
            return this.fail(fault);
        }
        if this.is_complete() {
            this.end(Ending::Complete);
        } else if this.is_late() {
            return this.fail(Fault::Deadline);
        }
        Poll::Ready(Some(Ok(frame)))
    }

    fn is_end_stream(&self) -> bool {
        self.is_failed || self.is_complete()
    }

    fn size_hint(&self) -> SizeHint {
        match self.left {
            Some(left) => SizeHint::with_exact(left),
            None => self.inner.size_hint(),
        }
    }
}

impl<B> Drop for Monitor<B> {
    fn drop(&mut self) {
        self.end(Ending::Dropped);
    }
}

/// Body that invokes a callback when it is dropped.
struct OnDrop<F: FnOnce()> {
    /// Wrapped body.
    inner: Body,
    /// Callback, `None` once invoked.
    callback: Option<F>,
}

impl<F: FnOnce()> Drop for OnDrop<F> {
    fn drop(&mut self) {
        if let Some(callback) = self.callback.take() {
            callback();
        }
    }
}

impl<F: FnOnce() + Unpin> http_body::Body for OnDrop<F> {
    type Data = Bytes;
    type Error = Fault;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Fault>>> {
        Pin::new(&mut self.inner).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// Returns an equivalent body that invokes a callback when it is dropped.
pub fn on_drop(inner: Body, callback: impl FnOnce() + Send + Unpin + 'static) -> Body {
    let callback = Some(callback);
    OnDrop { inner, callback }.boxed_unsync()
}

/// Body that records whether it failed.
struct Flagged {
    /// Wrapped body.
    inner: Body,
    /// Set when the body fails.
    is_failed: Arc<AtomicBool>,
}

impl http_body::Body for Flagged {
    type Data = Bytes;
    type Error = Fault;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Fault>>> {
        let next = ready!(Pin::new(&mut self.inner).poll_frame(cx));
        if matches!(next, Some(Err(_))) {
            self.is_failed.store(true, Ordering::Release);
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

/// Returns an equivalent body, and a flag that is set when the body fails.
pub fn flagged(inner: Body) -> (Body, Arc<AtomicBool>) {
    let is_failed = Arc::<AtomicBool>::default();
    let flagged = Flagged {
        inner,
        is_failed: is_failed.clone(),
    };
    (flagged.boxed_unsync(), is_failed)
}

/// Body whose first frames were already read.
pub struct Replayed {
    /// Frames that were already read.
    first: VecDeque<Result<Frame<Bytes>, Fault>>,
    /// Remainder of the body.
    rest: Body,
}

impl Replayed {
    /// Buffers a body until it ends, exceeds `max_bytes` or no memory is left for it. Returns an
    /// equivalent body and, if all of it was read, its bytes.
    ///
    /// # Errors
    ///
    /// Returns the fault that the body ended with.
    pub async fn buffer(
        mut body: Body,
        max_bytes: usize,
        mut reservation: Reservation,
    ) -> Result<(Body, Option<Bytes>), Fault> {
        let mut read = BytesMut::new();
        loop {
            match body.frame().await {
                None => {
                    let bytes = reservation.hold(read);
                    return Ok((full(bytes.clone()), Some(bytes)));
                }
                Some(Err(fault)) => return Err(fault),
                Some(Ok(frame)) => {
                    if let Some(data) = frame.data_ref() {
                        read.extend_from_slice(data);
                    }
                }
            }
            if read.len() > max_bytes || !reservation.grow(read.len()) {
                let first = VecDeque::from([Ok(Frame::data(reservation.hold(read)))]);
                let replayed = Self { first, rest: body };
                return Ok((replayed.boxed_unsync(), None));
            }
        }
    }

    /// Reads a body until it has `max_bytes`, ends, or no more arrives in time. Returns an
    /// equivalent body and the bytes that were read.
    pub async fn peek(mut body: Body, max_bytes: usize, wait: Duration) -> (Body, Bytes) {
        let deadline = Instant::now() + wait;
        let (mut after, mut read) = (None, BytesMut::new());
        while read.len() < max_bytes {
            let Ok(Some(frame)) = tokio::time::timeout_at(deadline, body.frame()).await else {
                break;
            };
            // Data is copied, as each frame would keep the whole buffer that it was received in.
            match frame.map(Frame::into_data) {
                Ok(Ok(data)) => read.extend_from_slice(&data),
                Ok(Err(trailers)) => after = Some(Ok(trailers)),
                Err(fault) => after = Some(Err(fault)),
            }
            if after.is_some() {
                break;
            }
        }
        let read = read.freeze();
        let data = (!read.is_empty()).then(|| Ok(Frame::data(read.clone())));
        let first = data.into_iter().chain(after).collect();
        let replayed = Self { first, rest: body };
        (replayed.boxed_unsync(), read)
    }
}

impl http_body::Body for Replayed {
    type Data = Bytes;
    type Error = Fault;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Fault>>> {
        match self.first.pop_front() {
            Some(frame) => Poll::Ready(Some(frame)),
            None => Pin::new(&mut self.rest).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_empty() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let frames = self.first.iter().flatten();
        let first = frames.filter_map(Frame::data_ref).map(Bytes::len);
        let first = first.sum::<usize>() as u64;
        let rest = self.rest.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(first + rest.lower());
        if let Some(upper) = rest.upper() {
            hint.set_upper(first + upper);
        }
        hint
    }
}
