//! First tries of a call, which do not wait at the owner.
//!
//! A report is often older than the calls that it counts, so the server that a call is sent to may
//! be full. The first tries of a call come back at once in that case, with a new report. After them
//! the call waits at the server with the earliest expected completion among those heard. Where the
//! owners report no room anywhere, there are no such tries.

use std::time::Duration;

use super::Plane;
use super::attempts::FailedAttempt;
use super::dispatch::choose_endpoint;
use super::header::Call;
use super::response::{self, Reason};
use crate::admission::capacity::Kind;
use crate::admission::gate::Refusal;
use crate::name::Name;
use crate::routing::budget::Execution;
use crate::routing::completion::{self, Demand, Means};
use crate::routing::table::{Endpoint, Route, Share};

/// Tries of a call that do not wait.
const MAX_TRIES: usize = 2;

/// First tries of one call.
#[derive(Debug, Default)]
pub(super) struct FirstTries {
    /// Hosts that had no room.
    full: Vec<Name>,
    /// Whether the call waits from now on.
    is_over: bool,
}

impl FirstTries {
    /// Chooses a backend server for the next attempt of a call, which has tried these hosts. Calls
    /// that cannot be sent again wait from the beginning.
    ///
    /// # Errors
    ///
    /// Returns the reason if there is no backend server for the call.
    pub(super) fn choose(
        &mut self,
        plane: &Plane,
        call: &Call,
        is_repeatable: bool,
        tried: &[Name],
    ) -> Result<Endpoint, Reason> {
        if self.is_over {
            return choose_endpoint(plane, call, tried);
        }
        let is_try =
            is_repeatable && self.full.len() < MAX_TRIES && has_room(plane, call, &self.full);
        if is_try && let Ok(endpoint) = choose_endpoint(plane, call, &self.full) {
            return Ok(endpoint);
        }
        self.is_over = true;
        match earliest(plane, call, &self.full) {
            Some(endpoint) => Ok(endpoint),
            None => choose_endpoint(plane, call, tried),
        }
    }

    /// Returns whether the chosen attempt is a first try, which does not wait.
    pub(super) const fn is_try(&self) -> bool {
        !self.is_over
    }

    /// Records a failed first try; returns whether the backend server had no room, so that the call
    /// may go on as if the try had not been made.
    pub(super) fn record(&mut self, host: &Name, failed: &FailedAttempt) -> bool {
        let is_full = [Refusal::QueueFull, Refusal::RateLimited, Refusal::Deadline]
            .into_iter()
            .any(|refusal| response::has_reason(&failed.response, Reason::Refused(refusal)));
        let is_harmless = failed.ran == Execution::NotRun && !failed.may_have_reached_backend;
        if is_full && is_harmless {
            self.full.push(host.clone());
            return true;
        }
        self.is_over = true;
        false
    }
}

/// Returns the parameters of a call for the choice of a backend server.
pub(super) fn demand(call: &Call) -> Demand {
    Demand {
        kind: Kind::of(&call.path),
        rank: call.rank,
        spill_load: call.spill_load,
    }
}

/// Returns a call that does not wait in an owner's queue.
pub(super) fn without_wait(call: &Call) -> Call {
    Call {
        max_wait: Some(Duration::ZERO),
        ..call.clone()
    }
}

/// Returns whether some backend server beside those on these hosts is expected to run the call at
/// once. Without reports there is nothing to expect.
fn has_room(plane: &Plane, call: &Call, full: &[Name]) -> bool {
    if call.max_wait.is_none() {
        return false;
    }
    let (demand, now) = (demand(call), plane.clock.now());
    let table = plane.table.load();
    shares(table.resolve(&call.service, &call.path)).any(|share| {
        Means::of(share, demand.kind, now)
            .is_some_and(|means| completion::has_room(share, full, &means, &demand, now))
    })
}

/// Returns the backend server with the earliest expected completion among these hosts.
fn earliest(plane: &Plane, call: &Call, hosts: &[Name]) -> Option<Endpoint> {
    if hosts.is_empty() {
        return None;
    }
    let (demand, now) = (demand(call), plane.clock.now());
    let table = plane.table.load();
    shares(table.resolve(&call.service, &call.path))
        .filter_map(|share| {
            let means = Means::of(share, demand.kind, now)?;
            completion::earliest(share, hosts, &means, &demand, now)
        })
        .min_by(|(_, a), (_, b)| a.total_cmp(b))
        .map(|(endpoint, _)| endpoint.clone())
}

/// Returns the version shares of a route, none without a route.
fn shares(route: Option<&Route>) -> impl Iterator<Item = &Share> {
    route.into_iter().flat_map(|route| &route.shares)
}
