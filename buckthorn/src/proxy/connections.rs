//! Open connections of a listener, and the state of each that [`eviction`] decides by.

use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::eviction::{
    self, Cause, Decision, MAX_UNVERIFIED_REQUESTS, PROGRESS_BYTES, Phase, Timeouts, View,
};

/// State of a connection, shared with the task that serves it.
#[derive(Debug)]
pub struct ConnectionState {
    /// Reference point of the timestamps.
    origin: Instant,
    /// Whether only another node may use it.
    is_for_node: bool,
    /// Whether the peer has shown that it knows the shared secret.
    is_verified: AtomicBool,
    /// Requests without the shared secret.
    unverified_requests: AtomicU32,
    /// Whether bytes were read since the task that serves the connection was last polled.
    has_read_in_turn: AtomicBool,
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
            is_for_node: false,
            is_verified: AtomicBool::new(false),
            unverified_requests: AtomicU32::new(0),
            has_read_in_turn: AtomicBool::new(false),
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
    /// Creates the state of a connection that only another node may use.
    fn for_node() -> Self {
        Self {
            is_for_node: true,
            ..Self::default()
        }
    }

    /// Records that the peer has shown that it knows the shared secret.
    pub fn verify(&self) {
        self.is_verified.store(true, Ordering::Relaxed);
    }

    /// Returns whether the peer has yet to show that it is a node, where only nodes may connect.
    pub fn is_unverified_node(&self) -> bool {
        self.is_for_node && !self.is_verified()
    }

    /// Returns whether bytes were read since the connection was last polled.
    pub(super) fn has_read_in_turn(&self) -> bool {
        self.has_read_in_turn.load(Ordering::Relaxed)
    }

    /// Polls a connection that only another node may use. Each poll reads once at most of a peer that
    /// is not verified, so that its refusals get their turn.
    pub async fn in_turns<F: Future>(&self, mut connection: Pin<&mut F>) -> F::Output {
        poll_fn(|cx| {
            self.has_read_in_turn.store(false, Ordering::Relaxed);
            connection.as_mut().poll(cx)
        })
        .await
    }

    /// Records a request without the shared secret, and closes the connection after too many of them
    /// unless one had the secret.
    pub fn record_unverified_request(&self) {
        let before = self.unverified_requests.fetch_add(1, Ordering::Relaxed);
        if before + 1 >= MAX_UNVERIFIED_REQUESTS && !self.is_verified() {
            self.close(Cause::Unverified);
        }
    }

    /// Returns whether the peer has shown that it knows the shared secret.
    pub fn is_verified(&self) -> bool {
        self.is_verified.load(Ordering::Relaxed)
    }

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
        self.has_read_in_turn.store(true, Ordering::Relaxed);
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
        if self.is_for_node {
            return self.view_of_node();
        }
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

    /// Returns the state of a connection that only another node may use. It carries many calls at a
    /// time, so it is never closed for another one once its peer is verified; until then nothing
    /// that the peer sends counts as progress.
    fn view_of_node(&self) -> View {
        View {
            phase: if self.is_verified() {
                Phase::Waiting
            } else {
                Phase::New
            },
            stalled: self.origin.elapsed(),
            head_age: None,
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
    /// Whether only other nodes may use the connections.
    is_for_nodes: bool,
    /// State of each connection; its task holds another reference until the connection is closed.
    open: Vec<Arc<ConnectionState>>,
}

impl Registry {
    /// Creates an empty registry for up to `limit` connections.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            is_for_nodes: false,
            open: Vec::new(),
        }
    }

    /// Creates an empty registry for up to `limit` connections that only other nodes may use.
    pub fn for_nodes(limit: usize) -> Self {
        Self {
            is_for_nodes: true,
            ..Self::new(limit)
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
        let state = Arc::new(match self.is_for_nodes {
            true => ConnectionState::for_node(),
            false => ConnectionState::default(),
        });
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
