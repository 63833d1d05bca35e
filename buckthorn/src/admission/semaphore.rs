//! The gate made safe to share between the threads that carry calls.
//!
//! While no call waits, entering and leaving are a compare-and-swap on one word that holds the
//! calls running, the limit and two flags, and a few relaxed additions for the limit's window.
//! Once a call has to wait the word is marked, and entries and exits go through the locked gate
//! until the queue is empty again. The lock is held for a few steps of arithmetic, never across an
//! await or I/O.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::oneshot;

use super::gate::{Decision, Gate, Next, Offer, Refusal};
use super::limit::{self, Change, IDLE_HALVING, Signal, Window};
use super::queue::Ticket;
use crate::clock::{Clock, Time};
use crate::counter::{Counter, Counters};
use crate::rollout::evidence::Outcome;

/// Width of each number in the shared word.
const FIELD_BITS: u32 = 20;

/// Largest number in a field of the shared word.
const FIELD_MASK: u64 = (1 << FIELD_BITS) - 1;

/// Flag of the shared word: the locked gate decides on entries and exits.
const LOCKED: u64 = 1 << 62;

/// Flag of the shared word: no new call is let in.
const CLOSED: u64 = 1 << 63;

/// Most slots that a door handles.
pub const MAX_SLOTS: u32 = FIELD_MASK as u32 / 8;

/// Bits of the window word that hold the sum of latencies; the rest counts answers.
const SUM_BITS: u32 = 40;

/// Entry to one backend server.
#[derive(Debug)]
pub struct Semaphore {
    /// Calls running, limit, calls waiting and flags.
    word: AtomicU64,
    /// Answers of the window, counted outside the lock.
    tally: Tally,
    /// Time of the last entry outside the lock, in microseconds since the Unix epoch.
    used: AtomicU64,
    /// What decides when the word is marked.
    inner: Mutex<Inner>,
    /// Time source.
    clock: Clock,
    /// Counters.
    counters: Arc<Counters>,
}

/// Window of answers counted with atomics.
#[derive(Debug, Default)]
struct Tally {
    /// Good answers above [`SUM_BITS`], the sum of their latencies on the latency scale below.
    good: AtomicU64,
    /// Sum of the good answers' latencies in microseconds.
    micros: AtomicU64,
    /// Errors.
    errors: AtomicU32,
    /// Most calls that ran at once.
    peak: AtomicU32,
}

/// The gate and those who wait for it.
#[derive(Debug)]
struct Inner {
    /// Decisions.
    gate: Gate,
    /// Waiting calls, sorted by ticket.
    waiting: Vec<(Ticket, oneshot::Sender<Verdict>)>,
}

/// How a waiting call was settled.
type Verdict = Result<(), Refusal>;

/// Unpacked shared word.
#[derive(Clone, Copy, Debug)]
struct Word {
    /// Calls running.
    running: u32,
    /// Calls that may run at once.
    limit: u32,
    /// Calls waiting.
    queued: u32,
    /// Flags.
    flags: u64,
}

/// Right to run one call; gives the slot back when finished or dropped.
#[derive(Debug)]
pub struct Permit {
    /// Door that gave it, until the slot is given back.
    semaphore: Option<Arc<Semaphore>>,
}

/// A call in the queue; leaves the queue when dropped.
struct Waiting<'a> {
    /// Door it waits at.
    semaphore: &'a Arc<Semaphore>,
    /// Its number.
    ticket: Ticket,
    /// Time at which it gives up.
    until: Time,
    /// Reason under which it is refused then.
    expiry: Refusal,
    /// Where the verdict arrives.
    verdict: oneshot::Receiver<Verdict>,
    /// Whether the verdict was taken.
    is_settled: bool,
}

impl Word {
    /// Unpacks a word.
    fn unpack(word: u64) -> Self {
        Self {
            running: (word & FIELD_MASK) as u32,
            limit: (word >> FIELD_BITS & FIELD_MASK) as u32,
            queued: (word >> (2 * FIELD_BITS) & FIELD_MASK) as u32,
            flags: word & (LOCKED | CLOSED),
        }
    }

    /// Packs the word.
    fn pack(self) -> u64 {
        u64::from(self.running)
            | u64::from(self.limit) << FIELD_BITS
            | u64::from(self.queued) << (2 * FIELD_BITS)
            | self.flags
    }
}

impl Tally {
    /// Counts a good answer and returns the answers counted so far.
    fn add(&self, latency: Duration) -> u32 {
        let step = 1 << SUM_BITS | u64::from(limit::to_log_scale(latency));
        let good = self.good.fetch_add(step, Ordering::Relaxed) + step;
        self.micros
            .fetch_add(latency.as_micros() as u64, Ordering::Relaxed);
        (good >> SUM_BITS) as u32 + self.errors.load(Ordering::Relaxed)
    }

    /// Counts an error and returns the answers counted so far.
    fn add_error(&self) -> u32 {
        let errors = self.errors.fetch_add(1, Ordering::Relaxed) + 1;
        (self.good.load(Ordering::Relaxed) >> SUM_BITS) as u32 + errors
    }

    /// Notes how many calls ran at once.
    fn note(&self, running: u32) {
        if self.peak.load(Ordering::Relaxed) < running {
            self.peak.fetch_max(running, Ordering::Relaxed);
        }
    }

    /// Empties the tally into a window.
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
    /// Door of a backend server with this many slots.
    pub fn new(clock: Clock, counters: Arc<Counters>, slots: u32) -> Arc<Self> {
        let gate = Gate::new(slots.min(MAX_SLOTS), clock.now());
        Self::with_gate(clock, counters, gate)
    }

    /// Door around a gate that was used before.
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
            used: AtomicU64::new(now.0),
            inner: Mutex::new(Inner {
                gate,
                waiting: Vec::new(),
            }),
            clock,
            counters,
        })
    }

    /// Waits for a slot, or says why the call is not run.
    ///
    /// # Errors
    ///
    /// Returns the refusal; the call has not run.
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

    /// Enters without the lock when no call waits and a slot is free.
    fn try_acquire(&self, now: Time) -> bool {
        let last = self.used.load(Ordering::Relaxed);
        if now.since(Time(last)) >= IDLE_HALVING {
            return false;
        }
        let entered = self
            .word
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |word| {
                let unpacked = Word::unpack(word);
                (unpacked.flags == 0 && unpacked.running < unpacked.limit).then_some(word + 1)
            })
            .is_ok();
        if entered && now.0 > last {
            self.used.store(now.0, Ordering::Relaxed);
        }
        entered
    }

    /// Offers a call to the locked gate; `None` means that it runs at once.
    fn offer(self: &Arc<Self>, now: Time, offer: Offer) -> Result<Option<Waiting<'_>>, Refusal> {
        let last = Time(self.used.fetch_max(now.0, Ordering::Relaxed));
        self.decide(now, |inner| {
            // Entries outside the lock were signs of use too.
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

    /// Refuses every new call from now on; calls in flight go on.
    pub fn close(&self) {
        self.decide(self.clock.now(), |inner| inner.gate.close());
    }

    /// Calls running now.
    pub fn running(&self) -> u32 {
        Word::unpack(self.word.load(Ordering::Acquire)).running
    }

    /// Calls waiting now.
    pub fn queued(&self) -> u32 {
        Word::unpack(self.word.load(Ordering::Acquire)).queued
    }

    /// Calls that may run at once.
    pub fn limit(&self) -> u32 {
        Word::unpack(self.word.load(Ordering::Acquire)).limit
    }

    /// Load in thousandths of the present limit, told to ingresses.
    pub fn load_permille(&self) -> u32 {
        let word = Word::unpack(self.word.load(Ordering::Relaxed));
        (word.running + word.queued) * 1_000 / word.limit.max(1)
    }

    /// Permit for a slot that was just taken.
    fn permit(self: &Arc<Self>) -> Permit {
        Permit {
            semaphore: Some(self.clone()),
        }
    }

    /// Gives a slot back, outside the lock if no call waits.
    fn leave(&self) {
        let left = self
            .word
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |word| {
                let unpacked = Word::unpack(word);
                assert!(
                    unpacked.running > 0,
                    "invariant: a slot is given back once by a call that ran"
                );
                (unpacked.flags & LOCKED == 0).then(|| word - 1)
            });
        if left.is_err() {
            self.decide(self.clock.now(), |inner| inner.gate.release());
        }
    }

    /// Counts how a call ended and lets the gate judge a full window.
    fn count(&self, outcome: Outcome, latency: Duration) {
        let word = Word::unpack(self.word.load(Ordering::Relaxed));
        self.tally.note(word.running);
        let counted = match outcome {
            Outcome::Ok => self.tally.add(latency),
            Outcome::Error | Outcome::Broken => self.tally.add_error(),
            Outcome::Cancelled => return,
            Outcome::Shed | Outcome::Reset | Outcome::Timeout => {
                return self.count_overload(outcome, latency);
            }
        };
        if counted < limit::window_size(word.limit) {
            return;
        }
        let window = self.tally.take();
        if !window.is_empty() {
            let now = self.clock.now();
            let change = self.decide(now, |inner| inner.gate.update_limit(now, &window));
            self.count_change(change);
        }
    }

    /// Lets the gate judge an outcome that may mean overload.
    fn count_overload(&self, outcome: Outcome, latency: Duration) {
        let now = self.clock.now();
        let change = self.decide(now, |inner| match inner.gate.signal(outcome, latency) {
            Signal::Overload => inner.gate.overload(now),
            Signal::None | Signal::Good | Signal::Error => Change::Unchanged,
        });
        self.count_change(change);
    }

    /// Counts a change of the limit.
    fn count_change(&self, change: Change) {
        match change {
            Change::Unchanged => {}
            Change::Raised => self.counters.increment(Counter::LimitRaised),
            Change::Cut => self.counters.increment(Counter::LimitCut),
        }
    }

    /// Runs one step of the gate under the lock, then settles whoever can be settled.
    fn decide<R>(&self, now: Time, step: impl FnOnce(&mut Inner) -> R) -> R {
        let mut inner = self.lock();
        // From here until the word is stored again, nobody else changes it.
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

    /// Locks the gate; a panic elsewhere does not make it unusable.
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Settles waiting calls until the gate has nothing more to say.
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
                "invariant: a call that leaves the queue takes itself out first"
            );
        }
    }

    /// Takes out the sender of a waiting call.
    fn take(&mut self, ticket: Ticket) -> oneshot::Sender<Verdict> {
        let index = self.waiting.binary_search_by_key(&ticket, |(t, _)| *t);
        assert!(
            index.is_ok(),
            "invariant: a call that waits is settled once, to run or to be refused"
        );
        self.waiting.remove(index.unwrap_or_default()).1
    }
}

impl Waiting<'_> {
    /// Waits for the verdict, or gives up when the call can no longer be answered in time.
    async fn settle(&mut self) -> Verdict {
        let left = self.until.since(self.semaphore.clock.now());
        let verdict = tokio::time::timeout(left, &mut self.verdict).await;
        match verdict {
            Ok(Ok(verdict)) => {
                self.is_settled = true;
                verdict
            }
            // The sender is never dropped unsent; the timer asks the gate for the last word.
            Ok(Err(_)) | Err(_) => self.withdraw(),
        }
    }

    /// Leaves the queue; a verdict given meanwhile stands.
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
            self.semaphore.leave();
        }
    }
}

impl Permit {
    /// Reports how the call ended and gives the slot back.
    pub fn finish(mut self, outcome: Outcome, latency: Duration) {
        if let Some(semaphore) = self.semaphore.take() {
            semaphore.count(outcome, latency);
            semaphore.leave();
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(semaphore) = self.semaphore.take() {
            semaphore.leave();
        }
    }
}
