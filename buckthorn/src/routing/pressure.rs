//! Refusal of new requests at the ingress, from what the owners of a service told.
//!
//! Under overload the owners refuse the same ranks one after the other, and each refusal costs a
//! message and the caller's time. The ingress therefore refuses a new request with the chance that
//! every owner it may try would refuse it, judging by the cuts that owners told lately (H. Zhou et
//! al., "Overload Control for Scaling WeChat Microservices", 2018). That chance never reaches one, so
//! that owners continue to be asked, and a cut that is over is noticed.
//!
//! Each request has a fixed place among those of its rank, which its repeats share: they have the
//! same content and the same deadline. Repeating it at once therefore brings the same refusal. Its
//! chance improves only as its deadline approaches, for those who waited as for all others.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::budget::MAX_ATTEMPTS;
use crate::admission::rank::Rank;
use crate::admission::report::Report;
use crate::clock::Time;
use crate::poison::fingerprint::Fingerprint;

/// Age from which a report says nothing about the present.
pub const EXPIRY: Duration = Duration::from_secs(1);

/// Deadlines that differ by less are taken for the same: the time that a caller names is relative, and
/// differs by the delay until it was read.
const DEADLINE_STEP: Duration = Duration::from_millis(100);

/// Bits of the cut in [`Pressure::cut`]; the bits above hold the time.
const CUT_BITS: u32 = 8;

/// What an owner told last about its room.
#[derive(Debug, Default)]
pub struct Pressure {
    /// First rank that the owner refused, and when it told so in microseconds since the Unix epoch.
    cut: AtomicU64,
    /// Time in microseconds that the calls which waited keep the backend server busy.
    backlog: AtomicU64,
    /// Mean time of a call in microseconds.
    mean_time: AtomicU64,
}

/// Room for a rank at the owners heard lately.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outlook {
    /// Chance that every owner tried would refuse the call.
    pub refusal: f64,
    /// Mean time that the calls which wait keep a backend server busy.
    pub backlog: Duration,
    /// Mean time of a call.
    pub mean_time: Duration,
    /// Mean number of ranks by which the call is beyond the cut of the owners that would refuse it.
    pub beyond: f64,
}

impl Pressure {
    /// Stores a report.
    pub fn record(&self, report: &Report, now: Time) {
        let cut = u64::from(report.cut.min(Rank::COUNT as u32));
        self.cut.store(now.0 << CUT_BITS | cut, Ordering::Relaxed);
        let backlog = report.mean_time * report.waiting.saturating_add(1) / report.limit.max(1);
        let micros = |time: Duration| time.as_micros() as u64;
        self.backlog.store(micros(backlog), Ordering::Relaxed);
        self.mean_time
            .store(micros(report.mean_time), Ordering::Relaxed);
    }

    /// Returns the index of the first rank that the owner refused; `None` if it told nothing lately.
    fn cut(&self, now: Time) -> Option<usize> {
        let packed = self.cut.load(Ordering::Relaxed);
        let is_expired = now.since(Time(packed >> CUT_BITS)) >= EXPIRY;
        (!is_expired).then_some((packed & ((1 << CUT_BITS) - 1)) as usize)
    }
}

/// Returns the room for a rank at some owners.
///
/// One more owner is assumed that would not refuse, as long as there may be one that was not heard.
pub fn outlook<'a>(
    owners: impl IntoIterator<Item = &'a Pressure>,
    rank: Rank,
    now: Time,
) -> Outlook {
    let (mut heard, mut refusing, mut beyond) = (0_u32, 0_u32, 0);
    let (mut backlog, mut mean_time) = (0, 0);
    for owner in owners {
        let Some(cut) = owner.cut(now) else {
            continue;
        };
        heard += 1;
        backlog += owner.backlog.load(Ordering::Relaxed);
        mean_time += owner.mean_time.load(Ordering::Relaxed);
        if cut <= rank.index() {
            refusing += 1;
            beyond += rank.index() - cut;
        }
    }
    let share = f64::from(refusing) / f64::from(heard + 1);
    Outlook {
        refusal: share.powi(MAX_ATTEMPTS as i32),
        backlog: Duration::from_micros(backlog) / heard.max(1),
        mean_time: Duration::from_micros(mean_time) / heard.max(1),
        beyond: beyond as f64 / f64::from(refusing.max(1)),
    }
}

/// Returns the place of a request among those of its rank, uniform in `0.0..1.0`. It is the same for
/// each repeat.
pub fn place(fingerprint: Fingerprint, deadline: Time) -> f64 {
    let step = deadline.0 / DEADLINE_STEP.as_micros() as u64;
    let bytes = [fingerprint.0.to_le_bytes(), step.to_le_bytes()].concat();
    xxh3_64(&bytes) as f64 / (u64::MAX as f64 + 1.0)
}

/// Returns whether the request at a place is refused, with `left` of the time `usual` until its
/// deadline.
pub fn refuses(outlook: &Outlook, place: f64, left: Duration, usual: Duration) -> bool {
    let remaining = left.as_secs_f64() / usual.as_secs_f64().max(f64::MIN_POSITIVE);
    place < outlook.refusal * remaining.min(1.0)
}
