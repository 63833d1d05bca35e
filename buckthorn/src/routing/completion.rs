//! Choice of a backend server by the time at which it is expected to complete a call.
//!
//! The expectation for a backend server adds the wait behind the calls ahead to the time of the
//! call's kind there. It rests on the last report of the server's owner. The calls in a report are
//! gone after about the time that a call takes, its usual load may change soon after, and its speed
//! within seconds, so all fade to the mean of the version's servers as the report ages. A server
//! without a report counts as the mean and is drawn half as often: it is tried, but not flooded.
//!
//! Two candidates at each distance are drawn at random, in proportion to the calls that they are
//! expected to serve in a second. So fast servers get more calls, and ingresses that hear of the same
//! free server do not all choose it.

use std::time::Duration;

use rand::Rng;

use super::choice::FULL_LOAD;
use super::estimate::Heard;
use super::table::{Endpoint, Share};
use crate::admission::capacity::Kind;
use crate::admission::rank::Rank;
use crate::clock::Time;
use crate::name::Name;

/// Age at which half of what a report says of a server's speed is still assumed.
const SPEED_HALF_LIFE: Duration = Duration::from_millis(2_000);

/// Age at which half of a server's usual load is still assumed.
const LOAD_HALF_LIFE: Duration = Duration::from_millis(500);

/// Shortest time in which half of the calls in a report are assumed to be gone.
const MIN_LOAD_HALF_LIFE: Duration = Duration::from_millis(50);

/// Time of a call where no owner has reported one.
const UNKNOWN_TIME: f64 = 0.1;

/// How often a server without a report is drawn, relative to the mean.
const UNKNOWN_SHARE: f64 = 0.5;

/// Bounds of a server's speed relative to the mean, against absurd reports.
const SPEED_RANGE: (f64, f64) = (0.05, 20.0);

/// Difference of two expectations, as a share of the mean time of the call's kind, up to which they
/// count as equal. Otherwise a server that is a little slower than all others would get no calls,
/// and nothing would be heard of it.
const TOLERANCE: f64 = 0.1;

/// Cost of a server that turns out to be full, as a share of the mean time of a call: two messages,
/// and another server that was not the first choice.
const DETOUR: f64 = 0.5;

/// Mean load from which the servers are busy. Calls then wait at once, since those that rank first
/// have to get the next free slot, and owners know only those that wait.
const BUSY_LOAD: f64 = 0.8;

/// How much earlier a server outside the failure domain must be expected to complete a call, as a
/// share of the mean time of the call's kind. Bytes between failure domains have a cost.
const DOMAIN_MARGIN: f64 = 0.5;

/// Further margin for servers outside the failure domain: the way there and back, in seconds.
const DOMAIN_WAY: f64 = 0.002;

/// Further margin for servers in other regions, in seconds.
const REGION_WAY: f64 = 0.02;

/// Call for which a backend server is chosen.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// Kind of the call.
    pub kind: Kind,
    /// Rank of the call.
    pub rank: Rank,
    /// Load of the local failure domain's servers, in thousandths of their limit, from which the call
    /// may leave the failure domain. Up to [`FULL_LOAD`] only the expected completion decides.
    pub spill_load: u32,
}

/// Means of a version's servers.
#[derive(Clone, Copy, Debug)]
pub struct Means {
    /// Time of a call in seconds.
    time: f64,
    /// Time of a call of the kind in seconds.
    kind_time: f64,
    /// Running and waiting calls relative to the limit.
    load: f64,
}

/// What is expected of one backend server for one call.
#[derive(Clone, Copy, Debug)]
pub struct Expectation {
    /// Seconds until the call is completed.
    pub completion: f64,
    /// Calls that the server serves in a second.
    pub rate: f64,
    /// Running and waiting calls ahead of the call, relative to the limit.
    pub load: f64,
}

impl Expectation {
    /// Returns whether the call would run at once.
    pub fn has_room(&self) -> bool {
        self.load < 1.0
    }
}

impl Means {
    /// Computes the means over the reports of a version's servers; newer ones weigh more. Returns
    /// `None` if no server has reported.
    pub fn of(share: &Share, kind: Kind, now: Time) -> Option<Self> {
        let [mut time, mut kind_time, mut load] = [Mean::default(); 3];
        for endpoint in &share.endpoints {
            let Some(heard) = endpoint.load.estimate.get(kind, now) else {
                continue;
            };
            let weight = faded(heard.age, SPEED_HALF_LIFE);
            load.add(relative_load(&heard), weight);
            if !heard.mean_time.is_zero() {
                time.add(heard.mean_time.as_secs_f64(), weight);
            }
            if !heard.kind_time.is_zero() {
                kind_time.add(heard.kind_time.as_secs_f64(), weight);
            }
        }
        let load = load.get()?;
        let time = time.get().or(kind_time.get()).unwrap_or(UNKNOWN_TIME);
        Some(Self {
            time,
            kind_time: kind_time.get().unwrap_or(time),
            load,
        })
    }

    /// Returns what is expected of a backend server for a call.
    pub fn expect(&self, endpoint: &Endpoint, demand: &Demand, now: Time) -> Expectation {
        let Some(heard) = endpoint.load.estimate.get(demand.kind, now) else {
            let in_flight = f64::from(endpoint.load.in_flight());
            let limit = f64::from(endpoint.slots.max(1));
            let calls = self.load * limit + in_flight;
            let expected = expectation(limit, calls, self.time, self.kind_time);
            return Expectation {
                rate: expected.rate * UNKNOWN_SHARE,
                ..expected
            };
        };
        let trust = faded(heard.age, SPEED_HALF_LIFE);
        let slowness = self.slowness(&heard);
        let time = blend(self.time * slowness, self.time, trust);
        let known = heard.kind_time.as_secs_f64();
        let kind_time = if known > 0.0 {
            known
        } else {
            self.kind_time * slowness
        };
        let kind_time = blend(kind_time, self.kind_time, trust);
        let limit = f64::from(heard.limit);
        // Calls that this ingress sent since are in addition to those reported.
        let sent = endpoint.load.in_flight().saturating_sub(heard.in_flight);
        let waiting = if demand.rank.is_in_progress() {
            heard.waiting_in_progress
        } else {
            heard.waiting
        };
        let half_life = Duration::from_secs_f64(time).max(MIN_LOAD_HALF_LIFE);
        let trust = faded(heard.age, half_life);
        let reported = f64::from(heard.running + waiting);
        let usual_trust = faded(heard.age, LOAD_HALF_LIFE);
        let usual = blend(heard.usual_load, self.load, usual_trust);
        let calls = blend(reported, usual * limit, trust) + f64::from(sent);
        expectation(limit, calls, time, kind_time)
    }

    /// Returns whether most of the servers are full or about to be.
    fn is_busy(&self) -> bool {
        self.load >= BUSY_LOAD
    }

    /// Returns how much longer a server's calls take than the mean.
    fn slowness(&self, heard: &Heard) -> f64 {
        let mean_time = heard.mean_time.as_secs_f64();
        if mean_time == 0.0 {
            return 1.0;
        }
        (mean_time / self.time).clamp(SPEED_RANGE.0, SPEED_RANGE.1)
    }
}

/// Picks a backend server that `admits` takes as a candidate, by the expected completion. The local
/// failure domain comes first; others must be better by a margin.
pub fn pick<'a, R: Rng>(
    share: &'a Share,
    means: &Means,
    demand: &Demand,
    now: Time,
    admits: impl Fn(&Endpoint, &mut R) -> bool,
    rng: &mut R,
) -> Option<&'a Endpoint> {
    let margin = means.kind_time * DOMAIN_MARGIN + DOMAIN_WAY;
    let margins = [0.0, margin, margin + REGION_WAY];
    let mut best: Option<(&Endpoint, f64)> = None;
    for (group, margin) in share.by_distance().into_iter().zip(margins) {
        let Some((endpoint, expected)) = pick_in_group(group, means, demand, now, &admits, rng)
        else {
            continue;
        };
        let completion = expected.completion + margin;
        if best.is_none_or(|(_, earliest)| completion < earliest) {
            best = Some((endpoint, completion));
        }
        let is_bulk = demand.spill_load > FULL_LOAD;
        if is_bulk && expected.load * 1_000.0 < f64::from(demand.spill_load) {
            break;
        }
    }
    best.map(|(endpoint, _)| endpoint)
}

/// Returns whether some backend server beside those on the hosts `full` is expected to run a call at
/// once, and the servers together have room enough for calls to look for it.
pub fn has_room(share: &Share, full: &[Name], means: &Means, demand: &Demand, now: Time) -> bool {
    if means.is_busy() {
        return false;
    }
    let mut others = share.endpoints.iter().filter(|e| !full.contains(&e.host));
    others.any(|endpoint| means.expect(endpoint, demand, now).has_room())
}

/// Returns the backend server with the earliest expected completion among these hosts, with the
/// seconds until then.
pub fn earliest<'a>(
    share: &'a Share,
    hosts: &[Name],
    means: &Means,
    demand: &Demand,
    now: Time,
) -> Option<(&'a Endpoint, f64)> {
    let endpoints = share.endpoints.iter();
    endpoints
        .filter(|endpoint| hosts.contains(&endpoint.host))
        .map(|endpoint| (endpoint, means.expect(endpoint, demand, now).completion))
        .min_by(|(_, a), (_, b)| a.total_cmp(b))
}

/// Returns the better of two candidates drawn from a group, with its expectation. The draw without
/// replacement is due to P. Efraimidis and P. Spirakis, "Weighted Random Sampling with a Reservoir",
/// 2006.
fn pick_in_group<'a, R: Rng>(
    group: &'a [Endpoint],
    means: &Means,
    demand: &Demand,
    now: Time,
    admits: &impl Fn(&Endpoint, &mut R) -> bool,
    rng: &mut R,
) -> Option<(&'a Endpoint, Expectation)> {
    let mut first: Option<Candidate<'_>> = None;
    let mut second: Option<Candidate<'_>> = None;
    for endpoint in group {
        if !admits(endpoint, rng) {
            continue;
        }
        let expected = means.expect(endpoint, demand, now);
        let key = -(1.0 - rng.random::<f64>()).ln() / expected.rate;
        let candidate = Candidate {
            endpoint,
            expected,
            key,
        };
        if first.as_ref().is_none_or(|first| key < first.key) {
            second = first.replace(candidate);
        } else if second.as_ref().is_none_or(|second| key < second.key) {
            second = Some(candidate);
        }
    }
    let first = first?;
    let tolerance = means.kind_time * TOLERANCE;
    let is_earlier =
        |other: &Candidate<'_>| other.expected.completion + tolerance < first.expected.completion;
    let chosen = second.filter(is_earlier).unwrap_or(first);
    Some((chosen.endpoint, chosen.expected))
}

/// Candidate of a weighted draw.
struct Candidate<'a> {
    /// Backend server.
    endpoint: &'a Endpoint,
    /// What is expected of it.
    expected: Expectation,
    /// Sort key of the draw; the smallest ones are drawn.
    key: f64,
}

/// Returns the expectation for a server with this limit, calls ahead and times.
fn expectation(limit: f64, calls: f64, time: f64, kind_time: f64) -> Expectation {
    let load = calls / limit;
    // Even a server with room may be full when the call arrives; the chance grows steeply with the
    // load.
    let detour = load.min(1.0).powi(4) * DETOUR;
    let behind = (calls + 1.0 - limit).max(0.0) / limit;
    Expectation {
        completion: (behind + detour) * time + kind_time,
        rate: limit / time,
        load,
    }
}

/// Running and waiting calls of a report relative to its limit.
fn relative_load(heard: &Heard) -> f64 {
    f64::from(heard.running + heard.waiting) / f64::from(heard.limit)
}

/// Share that is left after `age` of what halves in each `half_life`.
fn faded(age: Duration, half_life: Duration) -> f64 {
    (-age.as_secs_f64() / half_life.as_secs_f64()).exp2()
}

/// Mean of a reported value and the one assumed without a report.
fn blend(reported: f64, assumed: f64, trust: f64) -> f64 {
    reported * trust + assumed * (1.0 - trust)
}

/// Weighted mean.
#[derive(Clone, Copy, Default)]
struct Mean {
    /// Sum of the weighted values.
    sum: f64,
    /// Sum of the weights.
    weight: f64,
}

impl Mean {
    /// Adds a value.
    fn add(&mut self, value: f64, weight: f64) {
        self.sum += value * weight;
        self.weight += weight;
    }

    /// Returns the mean; `None` without values.
    fn get(self) -> Option<f64> {
        (self.weight > 0.0).then(|| self.sum / self.weight)
    }
}
