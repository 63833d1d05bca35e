//! Open connections of a listener, and the state of each that [`eviction`] decides by.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::eviction::{self, Cause, Decision, PROGRESS_BYTES, Phase, Timeouts, View};

/// State of a connection, shared with the task that serves it.
#[derive(Debug)]
pub struct ConnectionState {
    /// Reference point of the timestamps.
    origin: Instant,
    /// Total bytes read.
    read: AtomicU64,
    /// Total bytes read when a request or body was last consumed.
    consumed: AtomicU64,
    /// Bytes moved since the last progress.
    moved: AtomicU64,
    /// Time of the last progress, in microseconds since the origin.
    progressed: AtomicU64,
    /// Time of the first byte of the next head, in microseconds since the origin.
    head_began: AtomicU64,
    /// Requests since the connection last waited for one; the others were sent ahead.
    burst: AtomicU32,
    /// Whether a request is being served.
    has_request: AtomicBool,
    /// Whether the body of that request is incomplete.
    has_pending_body: AtomicBool,
    /// Whether a write is blocked.
    is_blocked: AtomicBool,
    /// Whether a write was blocked for longer than the write timeout.
    is_stalled: AtomicBool,
    /// Why the connection is to be closed.
    cause: ArcSwapOption<Cause>,
    /// Wakes the task that serves the connection when it is to be closed.
    closing: Notify,
}

impl Default for ConnectionState {
    fn default() -> Self {
        Self {
            origin: Instant::now(),
            read: AtomicU64::new(0),
            consumed: AtomicU64::new(0),
            moved: AtomicU64::new(0),
            progressed: AtomicU64::new(0),
            head_began: AtomicU64::new(0),
            burst: AtomicU32::new(0),
            has_request: AtomicBool::new(false),
            has_pending_body: AtomicBool::new(false),
            is_blocked: AtomicBool::new(false),
            is_stalled: AtomicBool::new(false),
            cause: ArcSwapOption::empty(),
            closing: Notify::new(),
        }
    }
}

impl ConnectionState {
    /// Returns the microseconds since the origin.
    fn elapsed(&self) -> u64 {
        self.origin.elapsed().as_micros() as u64
    }

    /// Records that the connection made progress.
    fn progress(&self) {
        self.moved.store(0, Ordering::Relaxed);
        self.progressed.store(self.elapsed(), Ordering::Relaxed);
    }

    /// Records bytes that were read or written.
    fn record_moved(&self, bytes: u64) {
        if self.moved.fetch_add(bytes, Ordering::Relaxed) + bytes >= PROGRESS_BYTES {
            self.progress();
        }
    }

    /// Records bytes that were read.
    pub(super) fn record_read(&self, bytes: u64) {
        if bytes == 0 {
            return;
        }
        if !self.has_unconsumed() {
            self.head_began.store(self.elapsed(), Ordering::Relaxed);
        }
        self.read.fetch_add(bytes, Ordering::Relaxed);
        self.record_moved(bytes);
    }

    /// Records that nothing is left to read.
    pub(super) fn record_read_to_end(&self) {
        if !self.has_request.load(Ordering::Relaxed) {
            self.burst.store(0, Ordering::Relaxed);
        }
    }

    /// Records bytes that were written.
    pub(super) fn record_written(&self, bytes: u64) {
        self.is_blocked.store(false, Ordering::Relaxed);
        self.record_moved(bytes);
    }

    /// Records that a write is blocked.
    pub(super) fn record_blocked(&self) {
        self.is_blocked.store(true, Ordering::Relaxed);
    }

    /// Records that a write was blocked for longer than the write timeout.
    pub(super) fn record_stalled(&self) {
        self.is_stalled.store(true, Ordering::Relaxed);
    }

    /// Records that a request is being served; its body is incomplete until [`Self::end_body`].
    pub fn begin_request(&self, has_body: bool) {
        self.burst.fetch_add(1, Ordering::Relaxed);
        self.has_request.store(true, Ordering::Relaxed);
        self.has_pending_body.store(has_body, Ordering::Relaxed);
        self.mark_consumed();
        self.progress();
    }

    /// Records that the body of the request has ended.
    pub fn end_body(&self) {
        self.has_pending_body.store(false, Ordering::Relaxed);
        self.mark_consumed();
        self.progress();
    }

    /// Records that the response has ended.
    pub fn end_request(&self) {
        self.has_request.store(false, Ordering::Relaxed);
        self.progress();
    }

    /// Marks all bytes read so far as belonging to requests that were consumed.
    fn mark_consumed(&self) {
        self.consumed
            .store(self.read.load(Ordering::Relaxed), Ordering::Relaxed);
    }

    /// Returns whether bytes were read that no request consumed.
    pub fn has_unconsumed(&self) -> bool {
        self.read.load(Ordering::Relaxed) > self.consumed.load(Ordering::Relaxed)
    }

    /// Returns the number of requests since the connection last waited for one.
    pub fn burst(&self) -> u32 {
        self.burst.load(Ordering::Relaxed)
    }

    /// Returns whether a write was blocked for longer than the write timeout.
    pub fn is_stalled(&self) -> bool {
        self.is_stalled.load(Ordering::Relaxed)
    }

    /// Returns the state that decides whether the connection is closed.
    pub fn view(&self) -> View {
        let phase = if self.is_blocked.load(Ordering::Relaxed) {
            Phase::Blocked
        } else if self.has_request.load(Ordering::Relaxed) {
            match self.has_pending_body.load(Ordering::Relaxed) {
                true => Phase::Body,
                false => Phase::Waiting,
            }
        } else if self.has_unconsumed() {
            Phase::Head
        } else if self.read.load(Ordering::Relaxed) == 0 {
            Phase::New
        } else {
            Phase::Idle
        };
        let since = |time: &AtomicU64| {
            Duration::from_micros(self.elapsed().saturating_sub(time.load(Ordering::Relaxed)))
        };
        View {
            phase,
            stalled: since(&self.progressed),
            head_age: (phase == Phase::Head).then(|| since(&self.head_began)),
        }
    }

    /// Asks the task that serves the connection to close it.
    fn close(&self, cause: Cause) {
        self.cause.store(Some(Arc::new(cause)));
        self.closing.notify_one();
    }

    /// Waits until the connection is to be closed, and returns why.
    pub async fn closing(&self) -> Cause {
        loop {
            if let Some(cause) = &*self.cause.load() {
                return **cause;
            }
            self.closing.notified().await;
        }
    }
}

/// Result of the admission of a connection.
#[derive(Clone, Debug)]
pub enum Admission {
    /// It is open, with this state.
    Open(Arc<ConnectionState>),
    /// It is open, and another one was closed for it.
    Replaced(Arc<ConnectionState>, Phase),
    /// There is no room for it.
    Refused,
}

/// Open connections of a listener.
#[derive(Debug)]
pub struct Registry {
    /// Maximum open connections.
    limit: usize,
    /// State of each connection; its task holds another reference until the connection is closed.
    open: Vec<Arc<ConnectionState>>,
}

impl Registry {
    /// Creates an empty registry for up to `limit` connections.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            open: Vec::new(),
        }
    }

    /// Removes the connections that were closed.
    fn prune(&mut self) {
        self.open.retain(|state| Arc::strong_count(state) > 1);
    }

    /// Admits a connection, or refuses it when no other one can be closed for it.
    pub fn admit(&mut self) -> Admission {
        if self.open.len() >= self.limit {
            self.prune();
        }
        let views = self.open.iter().map(|state| state.view());
        let state = Arc::new(ConnectionState::default());
        match eviction::decide(self.limit, views) {
            Decision::Refuse => Admission::Refused,
            Decision::Admit => {
                self.open.push(state.clone());
                Admission::Open(state)
            }
            Decision::Replace(index) => {
                let closed = std::mem::replace(&mut self.open[index], state.clone());
                closed.close(Cause::Room);
                Admission::Replaced(state, closed.view().phase)
            }
        }
    }

    /// Closes the connections that exceed a timeout, and returns how many made room.
    pub fn expire(&mut self, timeouts: &Timeouts) -> usize {
        self.prune();
        let mut evicted = 0;
        for state in &self.open {
            if let Some(cause) = eviction::expired(&state.view(), timeouts) {
                state.close(cause);
                evicted += usize::from(cause == Cause::Room);
            }
        }
        evicted
    }
}
