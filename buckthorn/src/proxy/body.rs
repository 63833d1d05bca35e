//! Bodies: streamed, checked against their declared length, bounded in size and in idle time.

use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, StatusCode};
use http_body::{Frame, SizeHint};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Empty, Full};
use tokio::time::{Instant, Sleep, sleep};

use super::header;

/// Body of any origin.
pub type Body = UnsyncBoxBody<Bytes, Fault>;

/// What went wrong with a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Ended before its declared length.
    Short,
    /// Went on after its declared length.
    Overlong,
    /// Nothing came for too long.
    Idle,
    /// Larger than allowed.
    TooLarge,
    /// The connection broke.
    Lost,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Short => "body ended before its declared length",
            Self::Overlong => "body went on after its declared length",
            Self::Idle => "body stalled",
            Self::TooLarge => "body is larger than allowed",
            Self::Lost => "connection broke before the end of the body",
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

/// Body without bytes.
pub fn empty() -> Body {
    Empty::new().map_err(Fault::from).boxed_unsync()
}

/// Body held in memory.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(Fault::from).boxed_unsync()
}

/// Length that an answer's body must have, `None` when it is not declared or there is no body.
pub fn expected_length(method: &Method, status: StatusCode, headers: &HeaderMap) -> Option<u64> {
    if !has_body(method, status) {
        return None;
    }
    header::declared_length(headers).ok().flatten()
}

/// Whether an answer may have a body (RFC 9112, section 6.3).
pub fn has_body(method: &Method, status: StatusCode) -> bool {
    method != Method::HEAD
        && !status.is_informational()
        && status != StatusCode::NO_CONTENT
        && status != StatusCode::NOT_MODIFIED
}

/// How a body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// In full.
    Complete,
    /// By a fault.
    Fault(Fault),
    /// Dropped by its reader.
    Dropped,
}

/// Called once when a body ends.
pub type OnEnd = Box<dyn FnOnce(Ending) + Send>;

/// What a [`Monitor`] enforces.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Declared length that must be met exactly.
    pub declared: Option<u64>,
    /// Bytes allowed.
    pub max_bytes: u64,
    /// Time allowed between two parts while the reader waits.
    pub idle: Duration,
}

/// Body that enforces bounds and tells how it ended.
pub struct Monitor<B> {
    /// Body watched.
    inner: B,
    /// Declared bytes still to come.
    left: Option<u64>,
    /// Bytes still allowed.
    allowed: u64,
    /// Time allowed between two parts.
    idle: Duration,
    /// Timer of the present wait, `None` before the first.
    timer: Option<Pin<Box<Sleep>>>,
    /// Whether the timer belongs to the present wait.
    is_waiting: bool,
    /// Told when the body ends; `None` once told.
    on_end: Option<OnEnd>,
    /// Whether a fault was passed on.
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
    /// Watches a body.
    pub fn new(inner: B, bounds: Bounds, on_end: impl FnOnce(Ending) + Send + 'static) -> Self {
        let mut monitor = Self {
            inner,
            left: bounds.declared,
            allowed: bounds.max_bytes,
            idle: bounds.idle,
            timer: None,
            is_waiting: false,
            on_end: Some(Box::new(on_end)),
            is_failed: false,
        };
        if monitor.is_complete() {
            monitor.end(Ending::Complete);
        }
        monitor
    }

    /// Whether nothing more is to come and nothing is missing.
    fn is_complete(&self) -> bool {
        self.inner.is_end_stream() && self.left.unwrap_or(0) == 0
    }

    /// Counts bytes that came.
    fn count(&mut self, bytes: u64) -> Result<(), Fault> {
        if let Some(left) = &mut self.left {
            *left = left.checked_sub(bytes).ok_or(Fault::Overlong)?;
        }
        self.allowed = self.allowed.checked_sub(bytes).ok_or(Fault::TooLarge)?;
        Ok(())
    }

    /// Polls the timer of a wait.
    fn poll_idle(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if !self.is_waiting {
            self.is_waiting = true;
            match &mut self.timer {
                Some(timer) => timer.as_mut().reset(Instant::now() + self.idle),
                None => self.timer = Some(Box::pin(sleep(self.idle))),
            }
        }
        match &mut self.timer {
            Some(timer) => timer.as_mut().poll(cx),
            None => Poll::Pending,
        }
    }
}

impl<B> Monitor<B> {
    /// Tells how the body ended, once.
    fn end(&mut self, ending: Ending) {
        if let Some(on_end) = self.on_end.take() {
            on_end(ending);
        }
    }

    /// Passes a fault on.
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
            ready!(this.poll_idle(cx));
            return this.fail(Fault::Idle);
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
        let bytes = frame.data_ref().map_or(0, Bytes::len);
        if let Err(fault) = this.count(bytes as u64) {
            return this.fail(fault);
        }
        if this.is_complete() {
            this.end(Ending::Complete);
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

/// Body whose first part was read already.
pub struct Prefixed {
    /// Part read already.
    first: Option<Bytes>,
    /// What follows.
    rest: Body,
}

impl Prefixed {
    /// Reads up to `max_bytes` of a body. Returns the body as it was and, if all of it was read,
    /// its bytes.
    ///
    /// # Errors
    ///
    /// Returns the fault that the body ended with.
    pub async fn read(mut body: Body, max_bytes: usize) -> Result<(Body, Option<Bytes>), Fault> {
        let mut read = BytesMut::new();
        loop {
            match body.frame().await {
                None => {
                    let bytes = read.freeze();
                    return Ok((full(bytes.clone()), Some(bytes)));
                }
                Some(Err(fault)) => return Err(fault),
                Some(Ok(frame)) => {
                    if let Some(data) = frame.data_ref() {
                        read.extend_from_slice(data);
                    }
                }
            }
            if read.len() > max_bytes {
                let first = Some(read.freeze());
                let prefixed = Self { first, rest: body };
                return Ok((prefixed.boxed_unsync(), None));
            }
        }
    }
}

impl http_body::Body for Prefixed {
    type Data = Bytes;
    type Error = Fault;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Fault>>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        Pin::new(&mut self.rest).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_none() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let first = self.first.as_ref().map_or(0, Bytes::len) as u64;
        let rest = self.rest.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(first + rest.lower());
        if let Some(upper) = rest.upper() {
            hint.set_upper(first + upper);
        }
        hint
    }
}
