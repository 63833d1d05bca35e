//! Thread-safe asynchronous semaphore around a [`Gate`].
//!
//! While no call waits, acquiring and releasing a slot is a compare-and-swap on one atomic word
//! that holds the running calls, the limit and two flags, plus a few relaxed additions for the
//! limit's window. Once a call has to wait, the word is flagged and every acquire and release goes
//! through the locked gate until the queue is empty again. The lock is held only for a few
//! arithmetic operations, never across an await or I/O.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::oneshot;

use super::gate::{Decision, Gate, Next, Offer, Refusal};
use super::limit::{self, Change, IDLE_HALVING, Signal, Window};
use super::queue::Ticket;
use super::rank::Rank;
use crate::clock::{Clock, Time};
use crate::counter::{Counter, Counters};
use crate::rollout::evidence::Outcome;

/// Bits of each number in the state word.
const FIELD_BITS: u32 = 20;

/// Largest number that fits a field of the state word.
const FIELD_MASK: u64 = (1 << FIELD_BITS) - 1;

/// Flag of the state word: acquires and releases go through the locked gate.
const LOCKED: u64 = 1 << 62;

/// Flag of the state word: no new call is admitted.
const CLOSED: u64 = 1 << 63;

/// Largest number of slots that a semaphore handles.
pub const MAX_SLOTS: u32 = FIELD_MASK as u32 / 8;

/// Bits of [`Tally::good`] that hold the sum of latencies; the rest counts responses.
const SUM_BITS: u32 = 40;

/// Limits the calls that run at one backend server and queues the others.
#[derive(Debug)]
pub struct Semaphore {
    /// Packed [`Word`]: running calls, limit, waiting calls and flags.
    word: AtomicU64,
    /// Outcomes of the current window, counted outside the lock.
    tally: Tally,
    /// Time of the last acquire outside the lock, in microseconds since the Unix epoch.
    last_used: AtomicU64,
    /// Mean time of a call in microseconds, zero when unknown.
    mean: AtomicU64,
    /// Whether outcomes do not change the limit.
    is_fixed: bool,
    /// Decides on acquires and releases while [`LOCKED`] is set.
    inner: Mutex<Inner>,
    clock: Clock,
    counters: Arc<Counters>,
}

/// Window of outcomes counted with atomics.
#[derive(Debug, Default)]
struct Tally {
    /// Number of good responses in the bits above [`SUM_BITS`]; the bits below hold the sum of
    /// their latencies on the logarithmic scale.
    good: AtomicU64,
    /// Sum of the latencies of good responses in microseconds.
    micros: AtomicU64,
    /// Number of errors.
    errors: AtomicU32,
    /// Largest number of calls running at once.
    peak: AtomicU32,
}

/// State behind the lock.
#[derive(Debug)]
struct Inner {
    gate: Gate,
    /// Waiting calls with the channel for their result, sorted by ticket.
    waiting: Vec<(Ticket, oneshot::Sender<Verdict>)>,
}

/// Whether a waiting call runs or is refused.
type Verdict = Result<(), Refusal>;

/// Unpacked state word.
#[derive(Clone, Copy, Debug)]
struct Word {
    /// Number of calls running.
    running: u32,
    /// Number of calls that may run at once.
    limit: u32,
    /// Number of calls waiting.
    queued: u32,
    /// [`LOCKED`] and [`CLOSED`].
    flags: u64,
}

/// Permit to run one call; releases the slot when finished or dropped.
#[derive(Debug)]
pub struct Permit {
    /// Semaphore that issued the permit, until the slot is released.
    semaphore: Option<Arc<Semaphore>>,
}

/// A call in the queue; removes itself from the queue when dropped.
struct Waiting<'a> {
    semaphore: &'a Arc<Semaphore>,
    ticket: Ticket,
    /// Time at which the call stops waiting.
    until: Time,
    /// Reason for the refusal when `until` passes.
    expiry: Refusal,
    /// Receives whether the call runs or is refused.
    verdict: oneshot::Receiver<Verdict>,
    /// Whether the verdict was received or the call was removed from the queue.
    is_settled: bool,
}

impl Word {
    fn unpack(word: u64) -> Self {
        Self {
            running: (word & FIELD_MASK) as u32,
            limit: (word >> FIELD_BITS & FIELD_MASK) as u32,
            queued: (word >> (2 * FIELD_BITS) & FIELD_MASK) as u32,
            flags: word & (LOCKED | CLOSED),
        }
    }

    fn pack(self) -> u64 {
        u64::from(self.running)
            | u64::from(self.limit) << FIELD_BITS
            | u64::from(self.queued) << (2 * FIELD_BITS)
            | self.flags
    }
}

impl Tally {
    /// Counts a good response and returns the number of outcomes counted so far.
    fn add(&self, latency: Duration) -> u32 {
        let step = 1 << SUM_BITS | u64::from(limit::to_log_scale(latency));
        let good = self.good.fetch_add(step, Ordering::Relaxed) + step;
        self.micros
            .fetch_add(latency.as_micros() as u64, Ordering::Relaxed);
        (good >> SUM_BITS) as u32 + self.errors.load(Ordering::Relaxed)
    }

    /// Counts an error and returns the number of outcomes counted so far.
    fn add_error(&self) -> u32 {
        let errors = self.errors.fetch_add(1, Ordering::Relaxed) + 1;
        (self.good.load(Ordering::Relaxed) >> SUM_BITS) as u32 + errors
    }

    /// Records the number of calls that ran at once.
    fn record_running(&self, running: u32) {
        if self.peak.load(Ordering::Relaxed) < running {
            self.peak.fetch_max(running, Ordering::Relaxed);
        }
    }

    /// Resets the counts and returns them as a window.
    fn take(&self) -> Window {
        let good = self.good.swap(0, Ordering::Relaxed);
        Window {
            good: (good >> SUM_BITS) as u32,
            scale_sum: good & ((1 << SUM_BITS) - 1),
            micros_sum: self.micros.swap(0, Ordering::Relaxed),
            errors: self.errors.swap(0, Ordering::Relaxed),
            peak: self.peak.swap(0, Ordering::Relaxed),
        }
    }
}

impl Semaphore {
    /// Creates the semaphore of a newly started backend server with this many slots.
    pub fn new(clock: Clock, counters: Arc<Counters>, slots: u32) -> Arc<Self> {
        let gate = Gate::new(slots.min(MAX_SLOTS), clock.now());
        Self::with_gate(clock, counters, gate)
    }

    /// Creates a semaphore around an existing gate.
    pub fn with_gate(clock: Clock, counters: Arc<Counters>, gate: Gate) -> Arc<Self> {
        let now = clock.now();
        let word = Word {
            running: gate.running(),
            limit: gate.limit(),
            queued: gate.queued(),
            flags: 0,
        };
        Arc::new(Self {
            word: AtomicU64::new(word.pack()),
            tally: Tally::default(),
            last_used: AtomicU64::new(now.0),
            mean: AtomicU64::new(0),
            is_fixed: gate.is_fixed(),
            inner: Mutex::new(Inner {
                gate,
                waiting: Vec::new(),
            }),
            clock,
            counters,
        })
    }

    /// Waits for a slot and returns the permit to run the call.
    ///
    /// # Errors
    ///
    /// Returns the reason when the call is refused; it has not run then.
    pub async fn acquire(self: &Arc<Self>, offer: Offer) -> Result<Permit, Refusal> {
        let now = self.clock.now();
        if offer.deadline.is_some_and(|deadline| deadline <= now) {
            return Err(Refusal::Deadline);
        }
        if self.try_acquire(now) {
            return Ok(self.permit());
        }
        let mut waiting = match self.offer(now, offer) {
            Ok(None) => return Ok(self.permit()),
            Ok(Some(waiting)) => waiting,
            Err(refusal) => return Err(refusal),
        };
        waiting.settle().await.map(|()| self.permit())
    }

    /// Acquires a slot without the lock if no call waits and a slot is free.
    ///
    /// After an idle period the locked gate decides instead, since the limit has to decay first.
    fn try_acquire(&self, now: Time) -> bool {
        let last = self.last_used.load(Ordering::Relaxed);
        if now.since(Time(last)) >= IDLE_HALVING {
            return false;
        }
        let is_acquired = self
            .word
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |word| {
                let unpacked = Word::unpack(word);
                (unpacked.flags == 0 && unpacked.running < unpacked.limit).then_some(word + 1)
            })
            .is_ok();
        if is_acquired && now.0 > last {
            self.last_used.store(now.0, Ordering::Relaxed);
        }
        is_acquired
    }

    /// Offers a call to the locked gate; returns `None` if it runs at once.
    fn offer(self: &Arc<Self>, now: Time, offer: Offer) -> Result<Option<Waiting<'_>>, Refusal> {
        let last = Time(self.last_used.fetch_max(now.0, Ordering::Relaxed));
        self.decide(now, |inner| {
            // Acquires outside the lock also count as use.
            inner.gate.mark_used(last);
            match inner.gate.offer(now, offer) {
                Decision::Run => Ok(None),
                Decision::Refuse(refusal) => Err(refusal),
                Decision::Wait(ticket, until, expiry) => {
                    let (sender, verdict) = oneshot::channel();
                    inner.waiting.push((ticket, sender));
                    Ok(Some(Waiting {
                        semaphore: self,
                        ticket,
                        until,
                        expiry,
                        verdict,
                        is_settled: false,
                    }))
                }
            }
        })
    }

    /// Refuses every new and waiting call from now on; running calls continue.
    pub fn close(&self) {
        self.decide(self.clock.now(), |inner| inner.gate.close());
    }

    /// Returns the number of calls running.
    pub fn running(&self) -> u32 {
        Word::unpack(self.word.load(Ordering::Acquire)).running
    }

    /// Returns the number of calls waiting.
    pub fn queued(&self) -> u32 {
        Word::unpack(self.word.load(Ordering::Acquire)).queued
    }

    /// Returns the current concurrency limit.
    pub fn limit(&self) -> u32 {
        Word::unpack(self.word.load(Ordering::Acquire)).limit
    }

    /// Returns the mean time of a call, zero when unknown.
    pub fn mean(&self) -> Duration {
        Duration::from_micros(self.mean.load(Ordering::Relaxed))
    }

    /// Returns the index of the first rank that is refused, [`Rank::COUNT`] when none is.
    pub fn cut(&self, now: Time) -> usize {
        match self.queued() {
            0 => Rank::COUNT,
            _ => self.lock().gate.cut(now),
        }
    }

    /// Sets a limit that outcomes do not change; returns how it changed.
    pub fn set_limit(&self, limit: u32) -> Change {
        let before = self.limit();
        if limit == before || !self.is_fixed {
            return Change::Unchanged;
        }
        self.decide(self.clock.now(), |inner| inner.gate.set_limit(limit));
        let change = match self.limit() {
            after if after < before => Change::Cut,
            after if after > before => Change::Raised,
            _ => Change::Unchanged,
        };
        self.count_change(change);
        change
    }

    /// Returns the load in thousandths of the current limit, waiting calls included. The owner
    /// reports it to ingresses.
    pub fn load_permille(&self) -> u32 {
        let word = Word::unpack(self.word.load(Ordering::Relaxed));
        (word.running + word.queued) * 1_000 / word.limit.max(1)
    }

    /// Creates the permit for a slot that was just acquired.
    fn permit(self: &Arc<Self>) -> Permit {
        Permit {
            semaphore: Some(self.clone()),
        }
    }

    /// Releases a slot, without the lock if no call waits.
    fn release(&self) {
        let released = self
            .word
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |word| {
                let unpacked = Word::unpack(word);
                assert!(
                    unpacked.running > 0,
                    "invariant: a slot is released once, by a call that ran"
                );
                (unpacked.flags & LOCKED == 0).then(|| word - 1)
            });
        if released.is_err() {
            self.decide(self.clock.now(), |inner| inner.gate.release());
        }
    }

    /// Records a call's outcome and updates the limit when the window is full.
    fn record(&self, outcome: Outcome, latency: Duration) {
        let word = Word::unpack(self.word.load(Ordering::Relaxed));
        self.tally.record_running(word.running);
        let counted = match outcome {
            Outcome::Ok => self.tally.add(latency),
            Outcome::Error | Outcome::Broken => self.tally.add_error(),
            Outcome::Cancelled => return,
            Outcome::Shed | Outcome::Reset | Outcome::Timeout => {
                return self.record_overload(outcome, latency);
            }
        };
        if counted < limit::window_size(word.limit) {
            return;
        }
        let window = self.tally.take();
        if !window.is_empty() {
            let now = self.clock.now();
            let (change, mean) = self.decide(now, |inner| {
                let change = inner.gate.update_limit(now, &window);
                (change, inner.gate.mean())
            });
            self.mean.store(mean.as_micros() as u64, Ordering::Relaxed);
            self.count_change(change);
        }
    }

    /// Records an outcome that may indicate overload and reduces the limit if it does.
    fn record_overload(&self, outcome: Outcome, latency: Duration) {
        let now = self.clock.now();
        let change = self.decide(now, |inner| match inner.gate.signal(outcome, latency) {
            Signal::Overload => inner.gate.overload(now),
            Signal::None | Signal::Good | Signal::Error => Change::Unchanged,
        });
        self.count_change(change);
    }

    /// Increments the counter of a change of the limit.
    fn count_change(&self, change: Change) {
        match change {
            Change::Unchanged => {}
            Change::Raised => self.counters.increment(Counter::LimitRaised),
            Change::Cut => self.counters.increment(Counter::LimitCut),
        }
    }

    /// Runs one operation on the gate under the lock, then settles the waiting calls it can.
    fn decide<R>(&self, now: Time, step: impl FnOnce(&mut Inner) -> R) -> R {
        let mut inner = self.lock();
        // No other thread changes the word until it is stored again below.
        let word = Word::unpack(self.word.fetch_or(LOCKED, Ordering::AcqRel));
        inner.gate.set_running(word.running);
        let result = step(&mut inner);
        inner.settle(now);
        let gate = &inner.gate;
        let is_locked = gate.queued() > 0;
        let flags = if is_locked { LOCKED } else { 0 } | if gate.is_closed() { CLOSED } else { 0 };
        let word = Word {
            running: gate.running(),
            limit: gate.limit(),
            queued: gate.queued(),
            flags,
        };
        self.word.store(word.pack(), Ordering::Release);
        result
    }

    /// Locks the gate. A poisoned lock is still used, so that a panic elsewhere does not make the
    /// gate unusable.
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Settles waiting calls until the gate is idle.
    fn settle(&mut self, now: Time) {
        loop {
            let (ticket, verdict) = match self.gate.next(now) {
                Next::Run(ticket) => (ticket, Ok(())),
                Next::Refuse(ticket, refusal) => (ticket, Err(refusal)),
                Next::Idle => return,
            };
            let delivered = self.take(ticket).send(verdict);
            assert!(
                delivered.is_ok(),
                "invariant: a call that stops waiting removes itself from the queue first"
            );
        }
    }

    /// Removes a waiting call and returns its sender.
    fn take(&mut self, ticket: Ticket) -> oneshot::Sender<Verdict> {
        let index = self.waiting.binary_search_by_key(&ticket, |(t, _)| *t);
        assert!(
            index.is_ok(),
            "invariant: a waiting call is settled exactly once"
        );
        self.waiting.remove(index.unwrap_or_default()).1
    }
}

impl Waiting<'_> {
    /// Waits for the verdict, at most until the call's wait limit.
    async fn settle(&mut self) -> Verdict {
        let left = self.until.since(self.semaphore.clock.now());
        let verdict = tokio::time::timeout(left, &mut self.verdict).await;
        match verdict {
            Ok(Ok(verdict)) => {
                self.is_settled = true;
                verdict
            }
            // The sender is never dropped without sending. On a timeout the gate decides, since it
            // may have settled the call in the meantime.
            Ok(Err(_)) | Err(_) => self.withdraw(),
        }
    }

    /// Removes the call from the queue; a verdict sent in the meantime takes precedence.
    fn withdraw(&mut self) -> Verdict {
        self.is_settled = true;
        let was_waiting = self.semaphore.decide(self.semaphore.clock.now(), |inner| {
            let was_waiting = inner.gate.cancel(self.ticket);
            if was_waiting {
                inner.take(self.ticket);
            }
            was_waiting
        });
        if was_waiting {
            return Err(self.expiry);
        }
        self.verdict.try_recv().unwrap_or(Err(self.expiry))
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if !self.is_settled && self.withdraw().is_ok() {
            self.semaphore.release();
        }
    }
}

impl Permit {
    /// Returns the number of calls running, this one included.
    pub fn running(&self) -> u32 {
        self.semaphore.as_ref().map_or(0, |s| s.running())
    }

    /// Records the call's outcome and releases the slot.
    pub fn finish(mut self, outcome: Outcome, latency: Duration) {
        if let Some(semaphore) = self.semaphore.take() {
            semaphore.record(outcome, latency);
            semaphore.release();
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(semaphore) = self.semaphore.take() {
            semaphore.release();
        }
    }
}
