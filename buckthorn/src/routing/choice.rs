//! Load balancing: of two random candidates, the less loaded one gets the call.
//!
//! Candidates come from the local failure domain first. When the less loaded of two there is full,
//! by its reported load and the calls in flight from this node, two candidates are drawn from the
//! region's other failure domains, and then two from the other regions. The call leaves the failure
//! domain only for a backend server with spare capacity, so traffic spills over in proportion to
//! what the others can take. When every candidate is full, the least loaded one gets the call.
//!
//! Ejected backend servers are skipped and returning ones get a small share of the calls. When more
//! than half of a version's backend servers are ejected, ejection is ignored (panic mode): the
//! fault is then more likely common to all of them.
//!
//! Where owners report what their backend servers take, [`completion`] picks among the candidates
//! instead.
//!
//! Choosing allocates nothing and takes no lock. The power of two choices is due to
//! M. Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 1996.

use rand::Rng;

use super::completion::{self, Demand, Means};
use super::load::Health;
use super::table::{Endpoint, Route, Share, Table};
use crate::clock::Time;
use crate::config::intent::FULL_SHARE;
use crate::counter::Counter;
use crate::name::Name;

/// Load at which a backend server counts as full for most calls, in thousandths of its limit.
pub const FULL_LOAD: u32 = 1_000;

/// Load of the local failure domain's servers from which calls with large responses leave it, in
/// thousandths of their limit. Up to it they wait in the queue of a local server instead, because
/// bytes between failure domains cost more than that wait.
pub const BULK_SPILL_LOAD: u32 = 3 * FULL_LOAD;

/// A returning backend server is a candidate in one of this many draws.
pub const RETURNING_DIVISOR: u32 = 10;

/// Random draws of a candidate before the group is searched in order.
const MAX_DRAWS: u32 = 4;

/// Result of choosing a backend server for a call.
#[derive(Clone, Copy, Debug)]
pub enum Choice<'a> {
    /// Send the call to this backend server of this version.
    Endpoint(&'a Share, &'a Endpoint),
    /// No backend server may take the call.
    NoBackendServer,
}

/// What the choice goes by.
#[derive(Clone, Copy)]
enum Criterion<'a> {
    /// Told load and calls in flight.
    Load {
        /// Load from which a backend server counts as full, in thousandths of its limit.
        spill_load: u32,
    },
    /// Expected completion, where reports allow to expect one.
    Completion(&'a Demand),
}

impl Criterion<'_> {
    /// Returns the load from which a backend server counts as full, in thousandths of its limit.
    const fn spill_load(self) -> u32 {
        match self {
            Self::Load { spill_load } => spill_load,
            Self::Completion(demand) => demand.spill_load,
        }
    }
}

/// Conditions that a candidate must meet.
#[derive(Clone, Copy)]
struct Filter<'a> {
    /// Current time.
    now: Time,
    /// Hosts already tried for this call.
    tried: &'a [Name],
    /// Load from which a backend server counts as full, in thousandths of its limit.
    spill_load: u32,
    /// Whether ejections are ignored.
    is_panic: bool,
    /// Whether hosts that were recently unreachable are candidates.
    is_last_resort: bool,
}

/// Chooses a backend server for a call, excluding hosts already tried. The call leaves the failure
/// domain when the servers there have at least the load `spill_load`.
pub fn choose<'a>(
    table: &Table,
    route: &'a Route,
    now: Time,
    tried: &[Name],
    spill_load: u32,
    rng: &mut impl Rng,
) -> Choice<'a> {
    choose_by(
        table,
        route,
        now,
        tried,
        Criterion::Load { spill_load },
        rng,
    )
}

/// Chooses a backend server for a call by the expected completion where owners report what their
/// backend servers take, and otherwise like [`choose`].
pub fn choose_for<'a>(
    table: &Table,
    route: &'a Route,
    now: Time,
    tried: &[Name],
    demand: &Demand,
    rng: &mut impl Rng,
) -> Choice<'a> {
    choose_by(table, route, now, tried, Criterion::Completion(demand), rng)
}

/// Chooses a backend server by a criterion, excluding hosts already tried.
fn choose_by<'a>(
    table: &Table,
    route: &'a Route,
    now: Time,
    tried: &[Name],
    criterion: Criterion<'_>,
    rng: &mut impl Rng,
) -> Choice<'a> {
    let draw = rng.random_range(0..FULL_SHARE);
    let Some(share) = pick_share(route, draw) else {
        return Choice::NoBackendServer;
    };
    if let Some(endpoint) = pick(share, now, tried, criterion, rng) {
        assert!(
            !table.is_out(&endpoint.failure_domain),
            "invariant: a failure domain out of service receives no new calls"
        );
        return Choice::Endpoint(share, endpoint);
    }
    // A call may fall back from the new version to the old one, but never the reverse.
    let fallback = route.shares.iter().find(|s| s.move_id.is_none());
    match fallback.and_then(|old| Some((old, pick(old, now, tried, criterion, rng)?))) {
        Some((old, endpoint)) => Choice::Endpoint(old, endpoint),
        None => Choice::NoBackendServer,
    }
}

/// Returns the counter to increment when a choice ignored ejection or left the failure domain.
pub fn counter(table: &Table, endpoint: &Endpoint, now: Time) -> Option<Counter> {
    if endpoint.load.health(now) == Health::Ejected {
        return Some(Counter::PanicRouting);
    }
    (endpoint.failure_domain != table.failure_domain).then_some(Counter::SpilledOver)
}

/// Returns the version share that a draw in `0..FULL_SHARE` falls into.
fn pick_share(route: &Route, draw: u16) -> Option<&Share> {
    let mut edge = 0;
    route.shares.iter().find(|share| {
        edge += share.permille;
        draw < edge
    })
}

/// Picks a backend server of a version, relaxing the filter until one is found.
fn pick<'a>(
    share: &'a Share,
    now: Time,
    tried: &[Name],
    criterion: Criterion<'_>,
    rng: &mut impl Rng,
) -> Option<&'a Endpoint> {
    let means = match criterion {
        Criterion::Load { .. } => None,
        Criterion::Completion(demand) => Means::of(share, demand.kind, now).map(|m| (m, demand)),
    };
    let filter = Filter {
        now,
        tried,
        spill_load: criterion.spill_load(),
        is_panic: is_panic(share, now),
        is_last_resort: false,
    };
    // Skipped backend servers are ejected, returning or unreachable; using one of them is better
    // than refusing the call.
    let wider = Filter {
        is_panic: true,
        ..filter
    };
    let widest = Filter {
        is_last_resort: true,
        ..wider
    };
    [filter, wider, widest]
        .iter()
        .find_map(|filter| match &means {
            Some((means, demand)) => {
                let admits = |endpoint: &Endpoint, rng: &mut _| filter.admits(endpoint, rng);
                completion::pick(share, means, demand, now, admits, rng)
            }
            None => pick_by_distance(share, filter, rng),
        })
}

/// Picks the nearest backend server with spare capacity, or else the least loaded one drawn.
fn pick_by_distance<'a>(
    share: &'a Share,
    filter: &Filter<'_>,
    rng: &mut impl Rng,
) -> Option<&'a Endpoint> {
    let mut best: Option<(&Endpoint, u32)> = None;
    for group in share.by_distance() {
        let Some(found) = pick_two(group, filter, rng) else {
            continue;
        };
        if found.1 < filter.spill_load {
            return Some(found.0);
        }
        // The report may be old, and only another call brings a new one.
        found.0.load.decay_reported();
        if best.is_none_or(|(_, load)| found.1 < load) {
            best = Some(found);
        }
    }
    best.map(|(endpoint, _)| endpoint)
}

/// Returns the less loaded of two random candidates, with its load.
fn pick_two<'a>(
    group: &'a [Endpoint],
    filter: &Filter<'_>,
    rng: &mut impl Rng,
) -> Option<(&'a Endpoint, u32)> {
    let first = draw(group, None, filter, rng)?;
    let Some(second) = draw(group, Some(first), filter, rng) else {
        return Some((&group[first], load(&group[first])));
    };
    let (a, b) = (&group[first], &group[second]);
    let (load_a, load_b) = (load(a), load(b));
    if load_a <= load_b {
        b.load.decay_reported();
        return Some((a, load_a));
    }
    a.load.decay_reported();
    Some((b, load_b))
}

/// Returns the index of a random candidate other than `except`.
fn draw(
    group: &[Endpoint],
    except: Option<usize>,
    filter: &Filter<'_>,
    rng: &mut impl Rng,
) -> Option<usize> {
    if group.is_empty() {
        return None;
    }
    for _ in 0..MAX_DRAWS {
        let index = rng.random_range(0..group.len());
        if Some(index) != except && filter.admits(&group[index], rng) {
            return Some(index);
        }
    }
    let start = rng.random_range(0..group.len());
    (start..group.len())
        .chain(0..start)
        .find(|&index| Some(index) != except && filter.admits(&group[index], rng))
}

impl Filter<'_> {
    /// Returns whether a backend server is a candidate.
    fn admits(&self, endpoint: &Endpoint, rng: &mut impl Rng) -> bool {
        let is_unreachable = endpoint.load.is_unreachable(self.now);
        if self.tried.contains(&endpoint.host) || is_unreachable && !self.is_last_resort {
            return false;
        }
        match endpoint.load.health(self.now) {
            Health::Healthy => true,
            Health::Returning => self.is_panic || rng.random_range(0..RETURNING_DIVISOR) == 0,
            Health::Ejected => self.is_panic,
        }
    }
}

/// Returns the load of a backend server in thousandths: the last reported load plus the calls in
/// flight from this node.
#[inline]
fn load(endpoint: &Endpoint) -> u32 {
    let in_flight = endpoint.load.in_flight() * 1_000 / endpoint.slots.max(1);
    endpoint.load.reported().saturating_add(in_flight)
}

/// Returns whether more than half of the backend servers are ejected, so that ejection is ignored.
fn is_panic(share: &Share, now: Time) -> bool {
    let ejected = share
        .endpoints
        .iter()
        .filter(|e| e.load.health(now) == Health::Ejected)
        .count();
    ejected * 2 > share.endpoints.len()
}
