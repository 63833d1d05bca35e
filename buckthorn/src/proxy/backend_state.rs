//! State that a backend server tells in its responses, and the report of its owner to ingresses.

use std::sync::atomic::Ordering;

use http::{HeaderMap, HeaderValue, Response};
use slog::{info, warn};

use super::body::Body;
use super::header::{Call, REPORT};
use super::owner::Owner;
use super::{Plane, overload, request_log, response};
use crate::admission::capacity::{Kind, State};
use crate::admission::limit;
use crate::admission::rate_limit::Change;
use crate::clock::Time;
use crate::log_event::LogEvent;

/// Records the state that the backend server tells in the head of a response to a request that was
/// sent at `sent_at`.
pub(super) fn observe(plane: &Plane, owner: &Owner, headers: &HeaderMap, sent_at: Time) {
    let Some(contract) = &plane.contract else {
        return;
    };
    if contract.headers.is_leaving(headers) {
        owner.is_leaving.store(true, Ordering::Relaxed);
    }
    match contract.headers.told_load(headers) {
        Ok(Some(told)) => {
            let running = owner.semaphore.running();
            let now = plane.clock.now();
            owner.capacity.record_told(&told, running, now);
        }
        Ok(None) => {}
        Err(error) => log_malformed(plane, owner, &error),
    }
    adjust_limit(plane, owner);
    match contract.headers.rate_limit(headers) {
        Ok(limit) => update_rate_limit(plane, owner, limit, sent_at),
        Err(error) => log_malformed(plane, owner, &error),
    }
}

/// Sets the concurrency limit to what the backend server takes well.
fn adjust_limit(plane: &Plane, owner: &Owner) {
    let limit = owner.capacity.useful_limit(owner.slots, plane.clock.now());
    if owner.semaphore.set_limit(limit) != limit::Change::Unchanged {
        info!(plane.logger, "{}", LogEvent::BackendCapacity.name();
            "instance" => instance(owner), "limit" => limit, "slots" => owner.slots);
    }
}

/// Updates the rate limit from a response to a request that was sent at `sent_at`.
fn update_rate_limit(plane: &Plane, owner: &Owner, limit: Option<f64>, sent_at: Time) {
    let now = plane.clock.now();
    let changed_to = match owner.rate_limiter.update(limit, sent_at, now) {
        Change::Unchanged => return,
        Change::Limited(limit) => limit.to_string(),
        Change::Lifted => "none".to_owned(),
    };
    info!(plane.logger, "{}", LogEvent::BackendLimited.name();
        "instance" => instance(owner), "limit" => changed_to);
}

/// Logs that a backend server told a state that is malformed.
fn log_malformed(plane: &Plane, owner: &Owner, error: &anyhow::Error) {
    if request_log::may_write(plane, request_log::Class::Owner) {
        warn!(plane.logger, "{}", LogEvent::BackendStateRefused.name();
            "instance" => instance(owner), "error" => format!("{error:#}"));
    }
}

/// Returns the instance name of the backend server, empty if it announced none.
fn instance(owner: &Owner) -> &str {
    owner.instance.as_deref().unwrap_or("")
}

/// Adds the report of the owner to its response. Without a contract ingresses go by the load alone.
pub(super) fn insert_report(
    plane: &Plane,
    owner: &Owner,
    call: &Call,
    response: &mut Response<Body>,
) {
    if plane.contract.is_none() {
        return;
    }
    // The answered call is about to release its slot.
    let own = u32::from(!response::is_refusal(response));
    let state = State {
        running: owner.semaphore.running().saturating_sub(own),
        waiting: owner.semaphore.queued(),
        limit: owner.semaphore.limit(),
        cut: overload::cut(plane, owner),
    };
    let report = owner
        .capacity
        .report(Kind::of(&call.path), state, plane.clock.now());
    if let Ok(value) = HeaderValue::try_from(report.to_string()) {
        response.headers_mut().insert(REPORT, value);
    }
}
