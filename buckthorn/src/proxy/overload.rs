//! Overload: the owner tells what it has no room for, and the ingress refuses it and tells callers when
//! to come back.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::Response;
use slog::info;

use super::body::Body;
use super::header::Call;
use super::owner::Owner;
use super::response::{self, Ran, Reason};
use super::{Plane, request_log};
use crate::admission::backoff::{self, Refused};
use crate::admission::gate::Refusal;
use crate::log_event::LogEvent;
use crate::routing::pressure::{self, Outlook};

/// When a refused caller should come back, as an extension of the response; `None` inside when it
/// should not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Advice(pub Option<Duration>);

/// Returns the index of the first rank that an owner refuses, and logs when it changes.
pub(super) fn cut(plane: &Plane, owner: &Owner) -> u32 {
    let cut = owner.semaphore.cut(plane.clock.now()) as u32;
    let before = owner.told_cut.swap(cut, Ordering::Relaxed);
    if cut != before && request_log::may_write(plane, request_log::Class::Owner) {
        info!(plane.logger, "{}", LogEvent::CutChanged.name();
            "service" => owner.service.as_ref(), "cut" => cut, "before" => before,
            "queued" => owner.semaphore.queued(), "limit" => owner.semaphore.limit());
    }
    cut
}

/// Refuses a new request that owners have no room for. Calls in progress are left to the owners.
///
/// # Errors
///
/// Returns the reason for the refusal.
pub(super) fn check(plane: &Plane, call: &Call) -> Result<(), Reason> {
    let Some(timing) = &call.timing else {
        return Ok(());
    };
    if call.rank.is_in_progress() {
        return Ok(());
    }
    let place = match call.suspect {
        Some(suspect) if call.has_deadline => pressure::place(suspect.fingerprint, call.deadline),
        Some(_) | None => rand::random(),
    };
    let left = call.deadline.since(plane.clock.now());
    if pressure::refuses(&outlook(plane, call), place, left, timing.timeout) {
        return Err(Reason::Refused(Refusal::Overload));
    }
    Ok(())
}

/// Returns the refusal of a call with the advice when to come back.
pub(super) fn refuse(plane: &Arc<Plane>, call: &Call, reason: Reason) -> Response<Body> {
    let response = response::refuse(&plane.counters, reason, Ran::NotRun);
    plane.for_caller(advise(plane, call, response))
}

/// Adds to a refusal for want of room the advice when to come back.
pub(super) fn advise(plane: &Plane, call: &Call, mut response: Response<Body>) -> Response<Body> {
    let Some(timing) = &call.timing else {
        return response;
    };
    if !is_for_want_of_room(&response) {
        return response;
    }
    let outlook = outlook(plane, call);
    let left = call.deadline.since(plane.clock.now());
    let refused = Refused {
        backlog: outlook.backlog,
        beyond: outlook.beyond,
        left,
        target_left: timing.target_left(left),
        service_time: outlook.mean_time,
    };
    let delay = backoff::delay(&refused, &mut rand::rng());
    response.extensions_mut().insert(Advice(delay));
    response
}

/// Returns whether a call was refused because calls that rank before it take the room.
fn is_for_want_of_room(response: &Response<Body>) -> bool {
    [
        Refusal::QueueFull,
        Refusal::Shed,
        Refusal::Deadline,
        Refusal::RateLimited,
        Refusal::Overload,
    ]
    .into_iter()
    .any(|refusal| response::has_reason(response, Reason::Refused(refusal)))
}

/// Returns the room for a call at the owners of its route.
fn outlook(plane: &Plane, call: &Call) -> Outlook {
    let table = plane.table.load();
    let Some(route) = table.resolve(&call.service, &call.path) else {
        return Outlook::default();
    };
    let endpoints = route.shares.iter().flat_map(|share| &share.endpoints);
    let owners = endpoints.map(|endpoint| &endpoint.load.pressure);
    pressure::outlook(owners, call.rank, plane.clock.now())
}
