//! Ingress side of a call: routes a caller's request and returns the response.

use std::sync::Arc;

use bytes::Bytes;
use http::request::Parts;
use http::{Request, Response};
use slog::info;
use tokio::time::Instant;

use super::body::{Body, Fault, Monitor};
use super::header::{
    self, CALLER_HOST, Call, FINGERPRINT, IN_PROGRESS, LOAD, MAX_WAIT, REPEAT, REPORT, ROLE,
    RouteError, SECRET, URGENCY,
};
use super::payload::{Payload, UploadStatus};
use super::response::{self, Ran, Reason};
use super::{Plane, dispatch, keyed, request_log, tenant};
use crate::admission::gate::Refusal;
use crate::clock::Time;
use crate::config::policy::Kind;
use crate::counter::Counter;
use crate::log_event::LogEvent;
use crate::metrics::Stage;
use crate::name;
use crate::poison::blocklist::Level;
use crate::poison::fingerprint::{Fingerprint, Suspect};

/// Where a caller's connection comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// The host of the node, so the caller may be its backend server.
    Local,
    /// Another host.
    Remote,
}

/// Handles a caller's request.
pub async fn handle<B>(
    plane: &Arc<Plane>,
    origin: Origin,
    request: Request<Monitor<B>>,
) -> Response<Body>
where
    B: http_body::Body<Data = Bytes> + Send + Unpin + 'static,
    B::Error: Into<Fault>,
{
    plane.counters.increment(Counter::Calls);
    if plane.is_draining() {
        let reason = Reason::Refused(Refusal::Draining);
        return finish(
            plane,
            response::refuse(&plane.counters, reason, Ran::NotRun),
        );
    }
    let (mut parts, body) = request.into_parts();
    let now = plane.clock.now();
    let routed = route(plane, &parts, now)
        .and_then(|call| tenant::admit(plane, call, &mut parts.headers, now));
    let mut call = match routed {
        Ok(call) => call,
        Err((reason, detail)) => {
            let refusal = response::refuse_with(&plane.counters, reason, Ran::NotRun, detail);
            let response = finish(plane, refusal);
            log_refusal(plane, &parts, &response, reason);
            return response;
        }
    };
    // These headers are only valid between nodes.
    for name in [
        SECRET,
        ROLE,
        URGENCY,
        IN_PROGRESS,
        CALLER_HOST,
        MAX_WAIT,
        REPEAT,
        FINGERPRINT,
    ] {
        parts.headers.remove(name);
    }
    if origin == Origin::Local {
        inherit(plane, &parts, &mut call, now);
    }
    let upload = parts
        .extensions
        .remove::<UploadStatus>()
        .unwrap_or_default();
    let started = Instant::now();
    let mut disconnect_guard = DisconnectGuard(Some(plane.clone()));
    let read = Payload::read(plane, &parts, body).await;
    if let Ok(payload) = &read {
        call.suspect = Some(identify(plane, &mut parts, payload));
    }
    let response = match read {
        Ok(_) if plane.block_level(&call) == Some(Level::Blocked) => {
            response::refuse(&plane.counters, Reason::Poison, Ran::NotRun)
        }
        Ok(payload) if call.is_keyed() => keyed::handle(plane, call, parts, payload).await,
        Ok(payload) => dispatch::dispatch(plane, &call, parts, payload).await,
        Err(reason) => response::refuse(&plane.counters, reason, Ran::NotRun),
    };
    disconnect_guard.0 = None;
    let stages = &plane.counters.stages;
    stages.get(Stage::Call).observe(started.elapsed());
    finish(plane, prefer_upload_fault(plane, &upload, response))
}

/// Gives a call of the local backend server what it inherits from the request that it is made for.
fn inherit(plane: &Plane, parts: &Parts, call: &mut Call, now: Time) {
    let id = plane.request_id(&parts.headers);
    let parent = plane.contract.as_ref().and_then(|c| c.parent_id(&id));
    match parent.and_then(|parent| plane.parents.inherited(parent)) {
        Some(inherited) => {
            plane.counters.increment(Counter::CallsInProgress);
            plane.repeat_share.record_recognised(now);
            call.set_in_progress(inherited.rank);
            call.repeat_permille = inherited.repeat_permille;
        }
        None => call.repeat_permille = plane.repeat_share.unrecognised_permille(now),
    }
}

/// Identifies a request beyond this call, and adds the identity for the owner.
fn identify(plane: &Plane, parts: &mut Parts, payload: &Payload) -> Suspect {
    let caller = plane.contract.as_ref().map(|c| &*c.caller_service);
    let host = header::service(&parts.uri, &parts.headers).unwrap_or_default();
    let fingerprint = Fingerprint::new(
        parts,
        &host,
        caller.unwrap_or_default(),
        payload.beginning(),
    );
    let id = match plane.request_id(&parts.headers) {
        // Without identifiers every call counts as one of its own.
        id if id.is_empty() => rand::random::<u64>().to_string(),
        id => id,
    };
    let suspect = Suspect::new(fingerprint, &id);
    if let Some(value) = suspect.header_value() {
        parts.headers.insert(FINGERPRINT, value);
    }
    suspect
}

/// Logs a refusal that precedes the choice of a backend server.
fn log_refusal(plane: &Plane, parts: &Parts, response: &Response<Body>, reason: Reason) {
    if request_log::may_write(plane, request_log::Class::Response) {
        info!(plane.logger, "{}", LogEvent::CallRefused.name();
            "request" => plane.request_id(&parts.headers),
            "status" => response.status().as_u16(), "reason" => reason.as_str(),
            "version" => plane.table.load().version);
    }
}

/// Routes a caller's request, by the policy if there is a contract.
fn route(plane: &Plane, parts: &Parts, now: Time) -> Result<Call, (Reason, &'static str)> {
    let call_timeout = plane.limits.call_timeout;
    let Some(contract) = &plane.contract else {
        return Call::parse(parts, now, call_timeout).map_err(|what| (Reason::BadRequest, what));
    };
    let table = plane.table.load();
    let policy = table.policy.as_ref().ok_or((Reason::NotReady, ""))?;
    let deadline_ms = &contract.headers.deadline_ms;
    let phase = name::phase(&plane.host);
    let call = Call::from_policy(parts, policy, deadline_ms, now, call_timeout, phase);
    call.map_err(|error| match error {
        RouteError::Malformed(what) => (Reason::BadRequest, what),
        RouteError::NoRoute => (Reason::NoRoute, ""),
    })
}

/// Returns whether a request without a body may run beside others of its connection: it may be
/// repeated, and its response is small.
pub fn may_run_ahead(plane: &Plane, request: &Request<()>) -> bool {
    if plane.contract.is_none() {
        return header::is_idempotent(request.method());
    }
    let table = plane.table.load();
    let host = header::service(request.uri(), request.headers());
    let route = host.zip(table.policy.as_ref());
    let route = route.and_then(|(host, policy)| policy.route(&host, request.uri().path()));
    route.is_some_and(|route| route.kind == Kind::Idempotent)
}

/// Reports a fault of the caller's streamed body in place of the failure that it caused downstream.
fn prefer_upload_fault(
    plane: &Plane,
    upload: &UploadStatus,
    response: Response<Body>,
) -> Response<Body> {
    let Some(reason) = upload.reason() else {
        return response;
    };
    if !response::is_refusal(&response) || response::is_not_run(&response) {
        return response;
    }
    response::refuse(&plane.counters, reason, Ran::Unknown)
}

/// Counts a caller that disconnects before the head of its response.
struct DisconnectGuard(Option<Arc<Plane>>);

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if let Some(plane) = &self.0 {
            plane.counters.increment(Counter::CallerGone);
        }
    }
}

/// Counts calls with an unknown outcome, and converts a response to the form for the caller.
fn finish(plane: &Plane, mut response: Response<Body>) -> Response<Body> {
    let is_unknown = response::is_refusal(&response) && !response::is_not_run(&response);
    if is_unknown {
        plane.counters.increment(Counter::CallsUnknown);
    }
    response.headers_mut().remove(LOAD);
    response.headers_mut().remove(REPORT);
    plane.for_caller(response)
}
