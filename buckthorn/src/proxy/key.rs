//! Store of idempotency keys, each held with its first outcome for a window of time.
//!
//! The store is bounded. When it is full of keys that are still within their window, new keys are
//! refused, because evicting one would let its call run twice. Bodies of outcomes are limited both
//! individually and in total; an outcome is remembered even if its body is not kept.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, StatusCode};

use crate::clock::Time;
use crate::name::{self, Name};

/// Number of shards, each with its own lock to reduce contention.
const SHARDS: usize = 16;
/// Interval at which a shard removes keys past their window.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum time that a key is held while the end of its call is unknown. Calls end sooner; this
/// covers keys replicated by a node that failed.
const RUNNING_WINDOW: Duration = Duration::from_secs(120);
/// Limit on the bytes of all kept bodies.
const MAX_KEPT_BYTES: usize = 16 * 1024 * 1024;

/// Outcome of the first call with a key.
#[derive(Debug)]
pub struct Outcome {
    /// Status of the response.
    pub status: StatusCode,
    /// Headers of the response.
    pub headers: HeaderMap,
    /// Body of the response, `None` when it was too large to keep.
    pub body: Option<Bytes>,
}

/// State of the call that a key belongs to.
#[derive(Clone, Debug)]
enum State {
    /// The call is in progress.
    Running,
    /// The call has ended.
    Ended(Arc<Outcome>),
}

/// How a call with a key proceeds.
#[derive(Clone, Debug)]
pub enum Start {
    /// It is the first with this key and is run.
    Run,
    /// The first call with this key is still in progress.
    InProgress,
    /// The key was used for a different request.
    Reused,
    /// The first call with this key has ended with this outcome.
    Ended(Arc<Outcome>),
    /// The store is full.
    Full,
}

/// A key in the store.
#[derive(Debug)]
struct Entry {
    /// Service and key, see [`id`].
    id: Name,
    /// Hash of the request that the key belongs to.
    fingerprint: u64,
    /// Time of the last change of state.
    updated_at: Time,
    /// State of the key's call.
    state: State,
}

/// Part of the store with its own lock.
#[derive(Debug, Default)]
struct Shard {
    /// Entries sorted by identifier.
    entries: Vec<Entry>,
    /// Time when keys past their window were last removed.
    last_sweep: Time,
}

/// Idempotency keys held by this node.
#[derive(Debug)]
pub struct Store {
    /// Shards, selected by the hash of the identifier.
    shards: Vec<Mutex<Shard>>,
    /// Capacity of one shard in keys.
    shard_keys: usize,
    /// Time that a key is held after its last change.
    window: Duration,
    /// Bytes of the bodies kept at present.
    kept_bytes: AtomicUsize,
}

/// Returns the identifier of a key in the store, which is unique across services.
pub fn id(service: &str, key: &str) -> Name {
    format!("{service}\n{key}").into()
}

impl Store {
    /// Creates a store of up to `keys` keys, rounded up to a multiple of the shards.
    pub fn new(keys: usize, window: Duration) -> Self {
        Self {
            shards: (0..SHARDS).map(|_| Mutex::default()).collect(),
            shard_keys: keys.div_ceil(SHARDS),
            window,
            kept_bytes: AtomicUsize::new(0),
        }
    }

    /// Locks the shard of an identifier. Removes keys past their window once per
    /// [`SWEEP_INTERVAL`].
    fn shard(&self, id: &str, now: Time) -> MutexGuard<'_, Shard> {
        let index = name::hash(id) as usize % SHARDS;
        let mut shard = self.shards[index]
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if now.since(shard.last_sweep) >= SWEEP_INTERVAL {
            shard.last_sweep = now;
            shard.entries.retain(|entry| {
                let window = match entry.state {
                    State::Running => self.window.max(RUNNING_WINDOW),
                    State::Ended(_) => self.window,
                };
                let is_held = now.since(entry.updated_at) < window;
                if !is_held {
                    self.release(&entry.state);
                }
                is_held
            });
        }
        shard
    }

    /// Decides how a call with a key proceeds, and marks the key as running for the first one.
    pub fn start(&self, now: Time, id: &Name, fingerprint: u64) -> Start {
        let mut shard = self.shard(id, now);
        let index = match shard.entries.binary_search_by(|e| e.id.cmp(id)) {
            Ok(index) if shard.entries[index].fingerprint != fingerprint => return Start::Reused,
            Ok(index) => {
                return match &shard.entries[index].state {
                    State::Running => Start::InProgress,
                    State::Ended(outcome) => Start::Ended(outcome.clone()),
                };
            }
            Err(index) => index,
        };
        if shard.entries.len() >= self.shard_keys {
            return Start::Full;
        }
        shard.entries.insert(
            index,
            Entry {
                id: id.clone(),
                fingerprint,
                updated_at: now,
                state: State::Running,
            },
        );
        Start::Run
    }

    /// Stores the outcome of a key's call, unless one is already known.
    pub fn end(&self, now: Time, id: &Name, mut outcome: Outcome) {
        let bytes = outcome.body.as_ref().map_or(0, Bytes::len);
        if self.kept_bytes.fetch_add(bytes, Ordering::Relaxed) + bytes > MAX_KEPT_BYTES {
            self.kept_bytes.fetch_sub(bytes, Ordering::Relaxed);
            outcome.body = None;
        }
        let state = State::Ended(Arc::new(outcome));
        let mut shard = self.shard(id, now);
        let entries = &mut shard.entries;
        let running = entries
            .binary_search_by(|e| e.id.cmp(id))
            .ok()
            .map(|index| &mut entries[index])
            .filter(|entry| matches!(entry.state, State::Running));
        match running {
            Some(entry) => {
                entry.state = state;
                entry.updated_at = now;
            }
            None => self.release(&state),
        }
    }

    /// Removes a key whose call was not run.
    pub fn forget(&self, now: Time, id: &Name) {
        let mut shard = self.shard(id, now);
        if let Ok(index) = shard.entries.binary_search_by(|e| e.id.cmp(id)) {
            let entry = shard.entries.remove(index);
            self.release(&entry.state);
        }
    }

    /// Returns the number of keys held.
    pub fn len(&self) -> usize {
        self.shards
            .iter()
            .map(|shard| {
                let shard = shard.lock().unwrap_or_else(PoisonError::into_inner);
                shard.entries.len()
            })
            .sum()
    }

    /// Returns whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Deducts the body of an outcome from the bytes kept.
    fn release(&self, state: &State) {
        if let State::Ended(outcome) = state {
            let bytes = outcome.body.as_ref().map_or(0, Bytes::len);
            self.kept_bytes.fetch_sub(bytes, Ordering::Relaxed);
        }
    }
}
