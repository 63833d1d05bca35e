//! Choice of a backend server: two random candidates, the less loaded one wins.
//!
//! Candidates come from the own failure domain first. When the better of two there is full, by its
//! told load and the calls in flight from here, two of the region's other failure domains are
//! looked at, and then two of the other regions; the call goes on only to one that has room, so
//! that traffic spills over by what the others can take.
//!
//! Ejected backend servers are left out and returning ones get a trickle. When more than half of a
//! version's backend servers are out in this way, ejection is ignored (panic): the fault is then
//! more likely common to all than theirs.
//!
//! Nothing is allocated and no lock taken. The power of two choices is due to M. Mitzenmacher,
//! "The Power of Two Choices in Randomized Load Balancing", 1996.

use rand::Rng;

use super::load::Health;
use super::table::{Endpoint, Route, Share, Table};
use crate::clock::Time;
use crate::config::intent::FULL_SHARE;
use crate::counter::Counter;
use crate::name::Name;

/// Load at which a backend server counts as full, in thousandths.
pub const FULL_LOAD: u32 = 1_000;

/// A returning backend server is considered once in this many times.
pub const RETURNING_DIVISOR: u32 = 10;

/// Random draws of a candidate before the rest is searched in order.
const MAX_DRAWS: u32 = 4;

/// What came of a choice.
#[derive(Clone, Copy, Debug)]
pub enum Choice<'a> {
    /// Send the call here.
    Endpoint(&'a Share, &'a Endpoint),
    /// No backend server may take the call.
    NoBackendServer,
}

/// What every candidate of one choice is held against.
#[derive(Clone, Copy)]
struct Filter<'a> {
    /// Present time.
    now: Time,
    /// Hosts already tried.
    tried: &'a [Name],
    /// Whether ejections are ignored.
    is_panic: bool,
    /// Whether hosts that could not be reached a moment ago are candidates.
    is_last_resort: bool,
}

/// Chooses a backend server for a call, leaving out hosts already tried.
pub fn choose<'a>(
    table: &Table,
    route: &'a Route,
    now: Time,
    tried: &[Name],
    rng: &mut impl Rng,
) -> Choice<'a> {
    let draw = rng.random_range(0..FULL_SHARE);
    let Some(share) = pick_share(route, draw) else {
        return Choice::NoBackendServer;
    };
    if let Some(endpoint) = pick(share, now, tried, rng) {
        assert!(
            !table.is_out(&endpoint.failure_domain),
            "invariant: a failure domain out of service receives no new work"
        );
        return Choice::Endpoint(share, endpoint);
    }
    // A call may fall back from the new version to the old one, not the other way about.
    let fallback = route.shares.iter().find(|s| s.move_id.is_none());
    match fallback.and_then(|old| Some((old, pick(old, now, tried, rng)?))) {
        Some((old, endpoint)) => Choice::Endpoint(old, endpoint),
        None => Choice::NoBackendServer,
    }
}

/// Counter of what was unusual about a choice, if anything was.
pub fn counter(table: &Table, endpoint: &Endpoint, now: Time) -> Option<Counter> {
    if endpoint.load.health(now) == Health::Ejected {
        return Some(Counter::PanicRouting);
    }
    (endpoint.failure_domain != table.failure_domain).then_some(Counter::SpilledOver)
}

/// Share that a draw in `0..FULL_SHARE` falls into.
fn pick_share(route: &Route, draw: u16) -> Option<&Share> {
    let mut edge = 0;
    route.shares.iter().find(|share| {
        edge += share.permille;
        draw < edge
    })
}

/// Picks a backend server of a version.
fn pick<'a>(
    share: &'a Share,
    now: Time,
    tried: &[Name],
    rng: &mut impl Rng,
) -> Option<&'a Endpoint> {
    let filter = Filter {
        now,
        tried,
        is_panic: is_panic(share, now),
        is_last_resort: false,
    };
    // Those left out are ejected, returning or unreachable; one of them is better than none.
    let wider = Filter {
        is_panic: true,
        ..filter
    };
    let widest = Filter {
        is_last_resort: true,
        ..wider
    };
    pick_by_distance(share, &filter, rng)
        .or_else(|| pick_by_distance(share, &wider, rng))
        .or_else(|| pick_by_distance(share, &widest, rng))
}

/// Picks the nearest backend server that has room, or else the least loaded one seen.
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
        if found.1 < FULL_LOAD {
            return Some(found.0);
        }
        if best.is_none_or(|(_, load)| found.1 < load) {
            best = Some(found);
        }
    }
    best.map(|(endpoint, _)| endpoint)
}

/// The less loaded of two random candidates, with its load.
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
        b.load.pass_over();
        return Some((a, load_a));
    }
    a.load.pass_over();
    Some((b, load_b))
}

/// Index of a random candidate other than `except`.
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
    /// Whether a backend server is a candidate now.
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

/// Load of a backend server in thousandths: the last told, and the calls in flight from here.
#[inline]
fn load(endpoint: &Endpoint) -> u32 {
    let own = endpoint.load.in_flight() * 1_000 / endpoint.slots.max(1);
    endpoint.load.reported().saturating_add(own)
}

/// Whether so many backend servers are ejected that ejection is ignored.
fn is_panic(share: &Share, now: Time) -> bool {
    let ejected = share
        .endpoints
        .iter()
        .filter(|e| e.load.health(now) == Health::Ejected)
        .count();
    ejected * 2 > share.endpoints.len()
}
