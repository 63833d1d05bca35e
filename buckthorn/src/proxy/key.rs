//! Idempotency keys and the first outcome of each, held for a window of time.
//!
//! The store is bounded: when it is full of keys that are still in their window, a new key is
//! refused, because to forget one would let its call run twice. Bodies of outcomes are bounded one
//! by one and in all; an outcome whose body is not kept is still known to have happened.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, StatusCode};

use crate::clock::Time;
use crate::name::{self, Name};

/// Parts of the store, so that few calls wait for one lock.
const SHARDS: usize = 16;
/// Time between two removals of keys past their window.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Time that a key is held at least whose call's end is not known. Calls end sooner; this is for
/// keys noted by a node that was lost.
const RUNNING_WINDOW: Duration = Duration::from_secs(120);
/// Bytes of all bodies kept.
const MAX_KEPT_BYTES: usize = 16 * 1024 * 1024;

/// First outcome of a key.
#[derive(Debug)]
pub struct Outcome {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body, `None` when it was too large to keep.
    pub body: Option<Bytes>,
}

/// What is known of a key.
#[derive(Clone, Debug)]
enum State {
    /// Its call is in progress.
    Running,
    /// Its call has ended.
    Ended(Arc<Outcome>),
}

/// What a call with a key is to do.
#[derive(Clone, Debug)]
pub enum Start {
    /// Run; this is the first.
    Run,
    /// The first is still in progress.
    InProgress,
    /// The key was used for another request.
    Reused,
    /// The first has ended so.
    Ended(Arc<Outcome>),
    /// No more keys can be held.
    Full,
}

/// A key held.
#[derive(Debug)]
struct Entry {
    /// Service and key.
    id: Name,
    /// Hash of the request that the key belongs to.
    fingerprint: u64,
    /// Time of the last change.
    updated_at: Time,
    /// What is known.
    state: State,
}

/// Keys of one shard.
#[derive(Debug, Default)]
struct Shard {
    /// Entries sorted by identifier.
    entries: Vec<Entry>,
    /// Time of the last removal of old keys.
    last_sweep: Time,
}

/// Keys held by this node.
#[derive(Debug)]
pub struct Store {
    /// Shards by hash of the identifier.
    shards: Vec<Mutex<Shard>>,
    /// Keys that one shard holds.
    shard_keys: usize,
    /// Time that a key is held after its last change.
    window: Duration,
    /// Bytes of bodies kept.
    kept_bytes: AtomicUsize,
}

/// Identifier of a key within the store.
pub fn id(service: &str, key: &str) -> Name {
    format!("{service}\n{key}").into()
}

impl Store {
    /// Store of up to `keys` keys.
    pub fn new(keys: usize, window: Duration) -> Self {
        Self {
            shards: (0..SHARDS).map(|_| Mutex::default()).collect(),
            shard_keys: keys.div_ceil(SHARDS),
            window,
            kept_bytes: AtomicUsize::new(0),
        }
    }

    /// Shard of an identifier, without keys past their window.
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

    /// Decides what a call with a key is to do; the first is noted as running.
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

    /// Notes how a key's call ended, unless an end is known already.
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

    /// Forgets a key whose call was not run.
    pub fn forget(&self, now: Time, id: &Name) {
        let mut shard = self.shard(id, now);
        if let Ok(index) = shard.entries.binary_search_by(|e| e.id.cmp(id)) {
            let entry = shard.entries.remove(index);
            self.release(&entry.state);
        }
    }

    /// Keys held.
    pub fn len(&self) -> usize {
        self.shards
            .iter()
            .map(|shard| {
                let shard = shard.lock().unwrap_or_else(PoisonError::into_inner);
                shard.entries.len()
            })
            .sum()
    }

    /// Whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Gives the bytes of an outcome's body back.
    fn release(&self, state: &State) {
        if let State::Ended(outcome) = state {
            let bytes = outcome.body.as_ref().map_or(0, Bytes::len);
            self.kept_bytes.fetch_sub(bytes, Ordering::Relaxed);
        }
    }
}
