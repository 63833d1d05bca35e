//! Outcome and latency counts of the calls that owners send to their backend servers.
//!
//! The [`Recorder`] is written on the request path, so it uses fixed slots and atomics, without a
//! lock once a route has its slot. Counts are cumulative since the node started and readers compute
//! differences, so a lost or repeated [`Report`] does no harm. Latency buckets are a quarter of an
//! octave wide and start at [`BUCKET_FLOOR`].
//!
//! On the wire a route's counts are one JSON array: the route, the outcomes in the order of
//! [`Outcome`] without `Cancelled`, the index of the first non-empty bucket, and the buckets from
//! there to the last non-empty one.

use std::fmt;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use serde::de::{SeqAccess, Visitor};
use serde::ser::SerializeSeq;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::journal::fold::MAX_NAME_BYTES;
use crate::name::{self, Name};

/// Most routes counted separately; calls on further routes are counted together.
pub const MAX_ROUTES: usize = 8;

/// Name under which routes beyond [`MAX_ROUTES`] are counted together.
pub const OTHER_ROUTES: &str = "*";

/// Number of latency buckets.
pub const BUCKETS: usize = 84;

/// Buckets per octave; one bucket is about 19% wide.
pub const BUCKETS_PER_OCTAVE: f64 = 4.0;

/// Upper edge of the first bucket.
pub const BUCKET_FLOOR: Duration = Duration::from_micros(64);

/// Number of counted outcomes: all except `Cancelled`.
pub const OUTCOMES: usize = 6;

/// Highest count accepted in a report, so that sums over a mesh do not overflow.
pub const MAX_COUNT: u64 = 1 << 40;

/// Cumulative counts of one owner, since its node started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Host of the owner.
    #[serde(rename = "h")]
    pub host: Name,
    /// Incarnation of the owner's node.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Service of the backend server.
    #[serde(rename = "s")]
    pub service: Name,
    /// Version that the backend server runs.
    #[serde(rename = "v")]
    pub version: Name,
    /// Whether routes without recent changes are omitted; absent on the wire when false.
    #[serde(rename = "p", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_partial: bool,
    /// Counts by route, sorted by route.
    #[serde(rename = "r", default)]
    pub routes: Vec<Tally>,
}

impl Report {
    /// Whether names, counts and the number of routes are within bounds and routes strictly sorted.
    pub fn is_valid(&self) -> bool {
        let names = [&self.host, &self.service, &self.version];
        names.iter().all(|name| name.len() <= MAX_NAME_BYTES)
            && self.routes.len() <= MAX_ROUTES + 1
            && self.routes.is_sorted_by(|a, b| a.route < b.route)
            && self.routes.iter().all(Tally::is_plausible)
    }
}

/// Cumulative counts of one route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tally {
    /// Route as given by [`route_key`], or [`OTHER_ROUTES`].
    pub route: Name,
    /// Calls by outcome, in the order of [`Outcome`].
    pub outcomes: [u64; OUTCOMES],
    /// Calls that ended with [`Outcome::Ok`], by latency bucket.
    pub buckets: Vec<u64>,
}

/// Outcome of a call to the local backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Complete response without a server error.
    Ok,
    /// Response with a server error.
    Error,
    /// Response whose body violates its declared length or framing.
    Broken,
    /// No complete response in time.
    Timeout,
    /// Connection refused, reset or closed before a response.
    Reset,
    /// Rejected by the backend server because of overload.
    Shed,
    /// Abandoned by the caller; not counted, as it says nothing about the version.
    Cancelled,
}

impl Tally {
    /// Tally without calls.
    pub fn new(route: Name) -> Self {
        Self {
            route,
            outcomes: [0; OUTCOMES],
            buckets: vec![0; BUCKETS],
        }
    }

    /// Whether all buckets are present and no count exceeds [`MAX_COUNT`].
    fn is_plausible(&self) -> bool {
        let mut counts = self.outcomes.iter().chain(&self.buckets);
        self.buckets.len() == BUCKETS && counts.all(|&count| count <= MAX_COUNT)
    }

    /// Calls that have ended, including shed ones.
    pub fn ended(&self) -> u64 {
        self.outcomes.iter().sum()
    }

    /// Calls that were not shed.
    pub fn calls(&self) -> u64 {
        self.ended() - self.shed()
    }

    /// Calls that failed, without shed ones.
    pub fn failed(&self) -> u64 {
        self.calls() - self.outcomes[Outcome::Ok as usize]
    }

    /// Calls rejected by the backend server because of overload.
    pub fn shed(&self) -> u64 {
        self.outcomes[Outcome::Shed as usize]
    }

    /// Calls that succeeded, whose latencies are known.
    pub fn responses(&self) -> u64 {
        self.buckets.iter().sum()
    }

    /// Successful calls in a bucket above `bucket`.
    pub fn slower_than(&self, bucket: usize) -> u64 {
        self.buckets.iter().skip(bucket + 1).sum()
    }

    /// Bucket that contains a quantile of the successful calls, if there are any.
    pub fn quantile(&self, quantile: f64) -> Option<usize> {
        let total = self.responses();
        let rank = (total as f64 * quantile).ceil() as u64;
        let mut seen = 0;
        self.buckets.iter().position(|count| {
            seen += count;
            total > 0 && seen >= rank.max(1)
        })
    }

    /// Adds another tally; sums saturate at [`MAX_COUNT`].
    pub fn add(&mut self, other: &Self) {
        let sums = self.outcomes.iter_mut().zip(&other.outcomes);
        for (sum, count) in sums.chain(self.buckets.iter_mut().zip(&other.buckets)) {
            *sum = sum.saturating_add(*count).min(MAX_COUNT);
        }
    }

    /// Increase since `earlier`; zero for a count that is lower than before, which a cumulative
    /// count never is.
    pub fn since(&self, earlier: &Self) -> Self {
        let mut difference = self.clone();
        for (count, before) in difference.outcomes.iter_mut().zip(&earlier.outcomes) {
            *count = count.saturating_sub(*before);
        }
        for (count, before) in difference.buckets.iter_mut().zip(&earlier.buckets) {
            *count = count.saturating_sub(*before);
        }
        difference
    }
}

/// Index of the bucket that contains a latency.
pub fn bucket(latency: Duration) -> usize {
    let ratio = latency.as_micros() as f64 / BUCKET_FLOOR.as_micros() as f64;
    if ratio <= 1.0 {
        return 0;
    }
    ((ratio.log2() * BUCKETS_PER_OCTAVE).ceil() as usize).min(BUCKETS - 1)
}

/// Upper edge of a bucket.
pub fn upper_edge(bucket: usize) -> Duration {
    BUCKET_FLOOR.mul_f64((bucket as f64 / BUCKETS_PER_OCTAVE).exp2())
}

/// Route under which a call is counted: the routing table's prefix or the path's first segment,
/// whichever is longer.
pub fn route_key<'a>(prefix: &'a str, path: &'a str) -> &'a str {
    let end = path
        .char_indices()
        .skip(1)
        .find(|(_, c)| matches!(c, '/' | '?'))
        .map_or(path.len(), |(index, _)| index);
    if end > prefix.len() {
        &path[..end]
    } else {
        prefix
    }
}

/// Atomic counts of one route.
#[derive(Debug)]
struct Slot {
    /// Hash of the route, zero while the slot is free.
    hash: AtomicU64,
    /// Route, set once the slot is claimed.
    route: OnceLock<Name>,
    /// Calls by outcome.
    outcomes: [AtomicU64; OUTCOMES],
    /// Calls that ended with [`Outcome::Ok`], by latency bucket.
    buckets: [AtomicU64; BUCKETS],
}

impl Slot {
    /// Free slot.
    fn new() -> Self {
        Self {
            hash: AtomicU64::new(0),
            route: OnceLock::new(),
            outcomes: std::array::from_fn(|_| AtomicU64::new(0)),
            buckets: std::array::from_fn(|_| AtomicU64::new(0)),
        }
    }

    /// Whether the slot belongs to the route, claiming it if it is free. Routes are identified by
    /// their hash.
    fn holds_or_claims(&self, hash: u64, route: &str) -> bool {
        let held = match self
            .hash
            .compare_exchange(0, hash, Ordering::AcqRel, Ordering::Acquire)
        {
            Ok(_) => {
                self.route.get_or_init(|| route.into());
                hash
            }
            Err(held) => held,
        };
        held == hash
    }

    /// Current counts; `None` for a free slot.
    fn tally(&self) -> Option<Tally> {
        let route = self.route.get()?;
        Some(Tally {
            route: route.clone(),
            outcomes: std::array::from_fn(|i| self.outcomes[i].load(Ordering::Relaxed)),
            buckets: self
                .buckets
                .iter()
                .map(|count| count.load(Ordering::Relaxed))
                .collect(),
        })
    }
}

/// Records the outcomes and latencies of an owner's calls on the request path.
#[derive(Debug)]
pub struct Recorder {
    /// Slots of the routes; the last one counts routes beyond [`MAX_ROUTES`].
    slots: Vec<Slot>,
}

impl Recorder {
    /// Recorder without counts.
    pub fn new() -> Self {
        Self {
            slots: (0..=MAX_ROUTES).map(|_| Slot::new()).collect(),
        }
    }

    /// Counts one call, unless it was cancelled. Only successful calls are counted by latency.
    pub fn record(&self, route: &str, outcome: Outcome, latency: Duration) {
        if outcome == Outcome::Cancelled {
            return;
        }
        let slot = self.slot(route);
        slot.outcomes[outcome as usize].fetch_add(1, Ordering::Relaxed);
        if outcome == Outcome::Ok {
            slot.buckets[bucket(latency)].fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Slot of a route, by linear probing from its hash.
    fn slot(&self, route: &str) -> &Slot {
        let hash = name::hash(route).max(1);
        let first = (hash % MAX_ROUTES as u64) as usize;
        let found = (0..MAX_ROUTES)
            .map(|step| &self.slots[(first + step) % MAX_ROUTES])
            .find(|slot| slot.holds_or_claims(hash, route));
        found.unwrap_or_else(|| {
            let other = &self.slots[MAX_ROUTES];
            other.holds_or_claims(name::hash(OTHER_ROUTES), OTHER_ROUTES);
            other
        })
    }

    /// Cumulative counts so far.
    pub fn report(&self, host: &Name, incarnation: u64, service: &Name, version: &Name) -> Report {
        let mut routes: Vec<Tally> = self.slots.iter().filter_map(Slot::tally).collect();
        routes.sort_by(|a, b| a.route.cmp(&b.route));
        Report {
            host: host.clone(),
            incarnation,
            service: service.clone(),
            version: version.clone(),
            is_partial: false,
            routes,
        }
    }
}

impl Default for Recorder {
    fn default() -> Self {
        Self::new()
    }
}

impl Serialize for Tally {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let first = self.buckets.iter().position(|&count| count > 0);
        let last = self.buckets.iter().rposition(|&count| count > 0);
        let (first, end) = (first.unwrap_or(0), last.map_or(0, |last| last + 1));
        let mut seq = serializer.serialize_seq(Some(2 + OUTCOMES + end - first))?;
        seq.serialize_element(&self.route)?;
        for count in &self.outcomes {
            seq.serialize_element(count)?;
        }
        seq.serialize_element(&first)?;
        for count in &self.buckets[first..end] {
            seq.serialize_element(count)?;
        }
        seq.end()
    }
}

impl<'de> Deserialize<'de> for Tally {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        /// Decodes the array of a tally.
        struct TallyVisitor;

        impl<'de> Visitor<'de> for TallyVisitor {
            type Value = Tally;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a route and its counts")
            }

            fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Tally, A::Error> {
                let truncated = || serde::de::Error::custom("the array of counts is too short");
                let mut tally = Tally::new(seq.next_element()?.ok_or_else(truncated)?);
                for count in &mut tally.outcomes {
                    *count = checked_count(seq.next_element()?.ok_or_else(truncated)?)?;
                }
                let mut index: usize = seq.next_element()?.ok_or_else(truncated)?;
                while let Some(count) = seq.next_element()? {
                    let slot = tally
                        .buckets
                        .get_mut(index)
                        .ok_or_else(|| serde::de::Error::custom("bucket index out of range"))?;
                    *slot = checked_count(count)?;
                    index += 1;
                }
                Ok(tally)
            }
        }

        deserializer.deserialize_seq(TallyVisitor)
    }
}

/// Count from the wire, rejected if it exceeds [`MAX_COUNT`].
fn checked_count<E: serde::de::Error>(count: u64) -> Result<u64, E> {
    if count > MAX_COUNT {
        return Err(E::custom("count exceeds the maximum"));
    }
    Ok(count)
}
