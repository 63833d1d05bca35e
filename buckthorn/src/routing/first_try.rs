//! First tries of a call, which do not wait at the owner.
//!
//! A report is often older than the calls that it counts, so the server that a call is sent to may
//! be full. The first tries of a call come back at once in that case, with a new report. After them
//! the call waits at the server with the earliest expected completion among those heard. Where the
//! owners report hardly any room, calls wait at once, so that they run in the order of their ranks;
//! calls that a running request makes always do.

use rand::Rng;

use super::choice::{Choice, choose_for};
use super::completion::{self, Demand, Means};
use super::table::{Route, Table};
use crate::clock::Time;
use crate::name::Name;

/// Tries of a call that do not wait.
const MAX_TRIES: usize = 2;

/// First tries of one call.
#[derive(Clone, Debug, Default)]
pub struct Tries {
    /// Hosts that had no room.
    full: Vec<Name>,
    /// Whether the call waits from now on.
    is_over: bool,
}

impl Tries {
    /// Creates the state of a call that waits from the beginning.
    pub const fn over() -> Self {
        Self {
            full: Vec::new(),
            is_over: true,
        }
    }

    /// Chooses a backend server for the next attempt of a call, which has tried the hosts `tried`
    /// otherwise.
    pub fn choose<'a>(
        &mut self,
        table: &Table,
        route: &'a Route,
        now: Time,
        tried: &[Name],
        demand: &Demand,
        rng: &mut impl Rng,
    ) -> Choice<'a> {
        if self.is_over {
            return choose_for(table, route, now, tried, demand, rng);
        }
        // Calls in progress are soon taken from a queue, as they rank first there.
        let may_try = self.full.len() < MAX_TRIES && !demand.rank.is_in_progress();
        if may_try && has_room(route, &self.full, demand, now) {
            let choice = choose_for(table, route, now, &self.full, demand, rng);
            if let Choice::Endpoint(..) = choice {
                return choice;
            }
        }
        self.end();
        self.earliest(route, demand, now)
            .unwrap_or_else(|| choose_for(table, route, now, tried, demand, rng))
    }

    /// Returns whether the last choice was for a first try, which does not wait.
    pub const fn is_trying(&self) -> bool {
        !self.is_over
    }

    /// Records that a backend server had no room in a first try.
    pub fn record_full(&mut self, host: &Name) {
        self.full.push(host.clone());
    }

    /// Ends the first tries: further attempts wait.
    pub const fn end(&mut self) {
        self.is_over = true;
    }

    /// Returns the earliest expected completion among the backend servers that had no room.
    fn earliest<'a>(&self, route: &'a Route, demand: &Demand, now: Time) -> Option<Choice<'a>> {
        let earliest = route.shares.iter().filter_map(|share| {
            let means = Means::of(share, demand.kind, now)?;
            let (endpoint, at) = completion::earliest(share, &self.full, &means, demand, now)?;
            Some((Choice::Endpoint(share, endpoint), at))
        });
        earliest
            .min_by(|(_, a), (_, b)| a.total_cmp(b))
            .map(|(choice, _)| choice)
    }
}

/// Returns whether some backend server of a route beside those on the hosts `full` is expected to
/// run a call at once. Without reports there is nothing to expect.
fn has_room(route: &Route, full: &[Name], demand: &Demand, now: Time) -> bool {
    route.shares.iter().any(|share| {
        let means = Means::of(share, demand.kind, now);
        means.is_some_and(|means| completion::has_room(share, full, &means, demand, now))
    })
}
