//! Sends a call to a backend server, and retries at another one where the retry rules allow it.
//!
//! A call that is not idempotent is retried only after a refusal marked as "not run"; [`budget`]
//! holds the rules.

use std::sync::Arc;
use std::time::Duration;

use http::request::Parts;
use http::{HeaderValue, Request, Response, StatusCode, Uri, header as names};
use http_body_util::BodyExt;
use slog::info;
use tokio::time::Instant;

use super::attempts::{Attempts, FailedAttempt};
use super::body::{self, Body, Bounds, Ending, Fault, Monitor, Replayed};
use super::header::{self, ATTEMPTS, Call, LOAD, MAX_WAIT, REPEAT, REPORT, Role};
use super::hop::{HopError, HopRequest};
use super::payload::Payload;
use super::request_log::RequestLog;
use super::response::{self, Ran, Reason};
use super::{Plane, deadline, overload, owner, resume};
use crate::admission::capacity::Kind;
use crate::admission::gate::Refusal;
use crate::admission::report::Report;
use crate::counter::Counter;
use crate::log_event::LogEvent;
use crate::name::Name;
use crate::poison::blocklist::Level;
use crate::rollout::evidence::Outcome;
use crate::routing::budget::{self, Budget, Layer, Next, NextHopDeadline};
use crate::routing::choice::{self, Choice};
use crate::routing::completion::Demand;
use crate::routing::first_try::Tries;
use crate::routing::load::Load;
use crate::routing::outlier;
use crate::routing::repeat;
use crate::routing::table::Endpoint;

/// Result of one attempt.
pub(super) enum AttemptResult {
    /// The backend server responded.
    Answered(Response<Body>),
    /// The attempt was refused or failed.
    Failed(FailedAttempt),
}

/// Sends a call to a backend server, and retries at another where that is safe.
pub async fn dispatch(
    plane: &Arc<Plane>,
    call: &Call,
    mut parts: Parts,
    mut payload: Payload,
) -> Response<Body> {
    let Some(budget) = service_budget(plane, call) else {
        let reason = match plane.table.load().version {
            0 => Reason::NotReady,
            _ => Reason::NoRoute,
        };
        return response::refuse(&plane.counters, reason, Ran::NotRun);
    };
    budget.earn();
    budget.charge_repeat(call.repeat_permille);
    let mut request_log = RequestLog::new(plane, call, plane.request_id(&parts.headers));
    if let Err(reason) = overload::check(plane, call) {
        let response = overload::refuse(plane, call, reason);
        request_log.finish(&response);
        return response;
    }
    prepare(plane, &mut parts, call);
    let mut attempts = Attempts::new(call);
    let mut first_tries = if call.max_wait.is_some() && payload.is_kept() {
        Tries::default()
    } else {
        Tries::over()
    };
    loop {
        let chosen = choose_endpoint(plane, call, &attempts.tried, &mut first_tries);
        let is_first_try = first_tries.is_trying();
        let endpoint = match chosen {
            Ok(endpoint) => endpoint,
            Err(reason) => {
                let response = attempts
                    .final_response()
                    .unwrap_or_else(|| response::refuse(&plane.counters, reason, Ran::NotRun));
                let response = plane.for_caller(overload::advise(plane, call, response));
                request_log.finish(&response);
                return response;
            }
        };
        request_log.start_attempt();
        let body = payload.take().unwrap_or_else(body::empty);
        let request = Request::from_parts(parts.clone(), body);
        let result = if is_first_try {
            let call = Call {
                max_wait: Some(Duration::ZERO),
                ..call.clone()
            };
            attempt(plane, &call, &endpoint, request).await
        } else {
            attempt(plane, call, &endpoint, request).await
        };
        let failed = match result {
            AttemptResult::Answered(response) => {
                let left = call.deadline.since(plane.clock.now());
                request_log.record_attempt(&endpoint.host, &response, "answer", left);
                request_log.finish(&response);
                let left = attempts.left_after_response();
                return resume::make_resumable(plane, call, &parts, endpoint.host, left, response);
            }
            AttemptResult::Failed(failed) => failed,
        };
        if is_first_try && had_no_room(&failed) {
            first_tries.record_full(&endpoint.host);
            let counter = Counter::FirstTryFull;
            plane.counters.increment(counter);
            let left = call.deadline.since(plane.clock.now());
            request_log.record_attempt(&endpoint.host, &failed.response, counter.name(), left);
            continue;
        }
        first_tries.end();
        attempts.count(&failed);
        if attempts.is_next_repeat() {
            let permille = HeaderValue::from(repeat::REPEAT);
            parts.headers.insert(REPEAT, permille);
        }
        let failure = budget::Attempt {
            is_idempotent: call.is_idempotent,
            ran: failed.ran,
            failure: failed.failure,
            time_left: Some(call.deadline.since(plane.clock.now())),
            attempts_left: attempts.left(),
            layer: layer(call),
            is_body_replayable: payload.is_kept(),
            is_poison: is_poison(plane, call, &failed),
            is_in_progress: call.rank.is_in_progress(),
        };
        let is_budget_exempt = failed.is_out_of_rotation
            || call.max_backend_attempts.is_some() && !failed.may_have_reached_backend;
        let next = if is_budget_exempt {
            budget::decide_without_budget(&failure)
        } else {
            budget::decide(&budget, &failure)
        };
        plane.counters.increment(next.counter());
        let left = failure.time_left.unwrap_or_default();
        request_log.record_attempt(
            &endpoint.host,
            &failed.response,
            next.counter().name(),
            left,
        );
        let gives_up = matches!(next, Next::GiveUp(_));
        attempts.record(endpoint.host, failed);
        if gives_up {
            let response = attempts
                .final_response()
                .unwrap_or_else(|| response::refuse(&plane.counters, Reason::Reset, Ran::Unknown));
            let response = plane.for_caller(overload::advise(plane, call, response));
            request_log.finish(&response);
            return response;
        }
    }
}

/// Returns whether an owner refused a call for want of room, before it reached the backend server.
fn had_no_room(failed: &FailedAttempt) -> bool {
    let refusals = [Refusal::QueueFull, Refusal::RateLimited, Refusal::Deadline];
    failed.ran == budget::Execution::NotRun
        && !failed.may_have_reached_backend
        && refusals
            .into_iter()
            .any(|refusal| response::has_reason(&failed.response, Reason::Refused(refusal)))
}

/// Returns whether a call must not be sent to another backend server after a failed attempt, as it
/// may have crashed those that it was sent to.
fn is_poison(plane: &Plane, call: &Call, failed: &FailedAttempt) -> bool {
    match plane.block_level(call) {
        Some(Level::Blocked) => true,
        Some(Level::NoRetry) => failed.ran == budget::Execution::Unknown,
        // The owner may have learned it first.
        None => response::has_reason(&failed.response, Reason::Poison),
    }
}

/// Returns the retry budget of a call's service.
pub(super) fn service_budget(plane: &Plane, call: &Call) -> Option<Arc<Budget>> {
    let table = plane.table.load();
    let service = table.service(&call.service)?;
    Some(service.budget.clone())
}

/// Returns whether this node is the outermost layer that may retry a call.
pub(super) const fn layer(call: &Call) -> Layer {
    match call.attempts {
        Some(0 | 1) => Layer::Inner,
        Some(_) | None => Layer::Outermost,
    }
}

/// Rewrites the head of the request to the form that every attempt sends.
fn prepare(plane: &Plane, parts: &mut Parts, call: &Call) {
    header::strip_connection_headers(&mut parts.headers);
    parts.headers.remove(names::EXPECT);
    parts.headers.remove(header::SECRET);
    parts.headers.remove(header::ROLE);
    if call.repeat_permille > 0 {
        let permille = HeaderValue::from(call.repeat_permille);
        parts.headers.insert(REPEAT, permille);
    }
    match &plane.contract {
        Some(contract) => contract.rewrite_for_hop(&mut parts.headers, call.rank),
        None => {
            // Calls that the backend server makes on behalf of this one belong to an inner layer.
            let attempts = HeaderValue::from_static("1");
            parts.headers.insert(ATTEMPTS, attempts);
        }
    }
    parts.uri = target(call, parts);
}

/// Returns the request target for the hop: its authority names the service.
pub fn target(call: &Call, parts: &Parts) -> Uri {
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    Uri::builder()
        .scheme("http")
        .authority(call.service.as_str())
        .path_and_query(path)
        .build()
        .unwrap_or_else(|_| parts.uri.clone())
}

/// Chooses a backend server for a call, excluding hosts that were tried. Without first tries the call
/// waits where it is sent.
pub(super) fn choose_endpoint(
    plane: &Plane,
    call: &Call,
    tried: &[Name],
    first_tries: &mut Tries,
) -> Result<Endpoint, Reason> {
    let table = plane.table.load();
    let Some(route) = table.resolve(&call.service, &call.path) else {
        return Err(Reason::NoRoute);
    };
    let now = plane.clock.now();
    let demand = Demand {
        kind: Kind::of(&call.path),
        rank: call.rank,
        spill_load: call.spill_load,
    };
    match first_tries.choose(&table, route, now, tried, &demand, &mut rand::rng()) {
        Choice::Endpoint(_, endpoint) => {
            if let Some(counter) = choice::counter(&table, endpoint, now) {
                plane.counters.increment(counter);
            }
            Ok(endpoint.clone())
        }
        Choice::NoBackendServer => Err(Reason::Refused(Refusal::NoBackendServer)),
    }
}

/// A call in flight to a backend server, counted as load until dropped.
struct InFlight(Arc<Load>);

impl InFlight {
    /// Counts a new call.
    fn start(load: &Arc<Load>) -> Self {
        load.start();
        Self(load.clone())
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.end();
    }
}

/// Makes one attempt at an endpoint.
pub(super) async fn attempt(
    plane: &Arc<Plane>,
    call: &Call,
    endpoint: &Endpoint,
    mut request: Request<Body>,
) -> AttemptResult {
    let left = match budget::next_hop_deadline(Some(call.deadline), plane.clock.now()) {
        NextHopDeadline::Within(left) => left,
        NextHopDeadline::Unbounded => plane.limits.call_timeout,
        NextHopDeadline::Expired => return refused(plane, Reason::Refused(Refusal::Deadline)),
    };
    let in_flight = InFlight::start(&endpoint.load);
    endpoint.load.start_call(plane.clock.now());
    let method = request.method().clone();
    let max_wait = call.remaining_wait(plane.clock.now());
    if let Some(max_wait) = max_wait {
        let millis = HeaderValue::from(max_wait.as_millis() as u64);
        request.headers_mut().insert(MAX_WAIT, millis);
    }
    let response = if endpoint.host == plane.host {
        let mut call = call.clone();
        call.max_wait = max_wait;
        call.deadline = plane.clock.now() + left;
        owner::run(plane, &call, request).await
    } else {
        match send(plane, call, endpoint, left, request).await {
            Ok(response) => response,
            Err(failure) => {
                if is_host_unreachable(&failure) {
                    mark_silent(plane, call, endpoint);
                }
                observe(plane, call, &endpoint.host, failure_outcome(&failure));
                return failed(plane, failure);
            }
        }
    };
    if cannot_serve(&response) {
        if skips_unreachable(call) {
            endpoint.load.mark_unable(plane.clock.now());
        }
    } else {
        endpoint.load.mark_reachable(plane.clock.now());
    }
    if let Some(permille) = reported_load(&response) {
        endpoint.load.set_reported(permille);
    }
    if let Some(report) = report(&response) {
        // This call has ended.
        let in_flight = endpoint.load.in_flight().saturating_sub(1);
        let kind = Kind::of(&call.path);
        let now = plane.clock.now();
        endpoint.load.estimate.record(&report, kind, in_flight, now);
        endpoint.load.pressure.record(&report, now);
    }
    if response::is_refusal(&response) {
        observe(plane, call, &endpoint.host, refusal_outcome(&response));
        return refused_by_owner(plane, response);
    }
    let observer = Observer {
        plane: plane.clone(),
        call: call.clone(),
        host: endpoint.host.clone(),
        status: response.status(),
    };
    let deadline = Instant::now() + call.deadline.since(plane.clock.now());
    let mut response = monitor_body(plane, &method, in_flight, observer, deadline, response);
    if let Some(contract) = &plane.contract {
        response = match buffer_response(
            plane,
            call,
            contract.max_buffered_response_bytes,
            response,
        )
        .await
        {
            Ok(response) => response,
            Err(failure) => return failed(plane, failure),
        };
    }
    if call.is_idempotent && is_server_error(response.status()) {
        return AttemptResult::Failed(FailedAttempt {
            response,
            ran: budget::Execution::Unknown,
            failure: budget::Failure::Status,
            may_have_reached_backend: true,
            is_out_of_rotation: false,
        });
    }
    AttemptResult::Answered(response)
}

/// Buffers a response up to `max_bytes`, so that the call can be retried if the body breaks off. The
/// rest of a longer one is streamed until the deadline of the call.
async fn buffer_response(
    plane: &Plane,
    call: &Call,
    max_bytes: usize,
    response: Response<Body>,
) -> Result<Response<Body>, HopError> {
    let deadline = Instant::now() + call.deadline.since(plane.clock.now());
    let (parts, body) = response.into_parts();
    let buffered = Replayed::buffer(body, max_bytes, plane.kept_memory.reservation());
    let read = tokio::time::timeout_at(deadline, buffered);
    match read.await {
        Ok(Ok((body, Some(_)))) => Ok(Response::from_parts(parts, body)),
        Ok(Ok((body, None))) => Ok(Response::from_parts(
            parts,
            deadline::end_at(body, deadline),
        )),
        Ok(Err(Fault::Deadline)) | Err(_) => Err(HopError::Unknown(Reason::Timeout)),
        Ok(Err(_)) => Err(HopError::Unknown(Reason::Broken)),
    }
}

/// Records the outcome of a call at a host for outlier ejection.
fn observe(plane: &Plane, call: &Call, host: &str, outcome: Outcome) {
    let table = plane.table.load();
    let now = plane.clock.now();
    let verdict = outlier::observe(&table, &call.service, &call.path, host, outcome, now);
    if let Some(counter) = verdict.counter() {
        plane.counters.increment(counter);
    }
    if verdict == outlier::Verdict::Ejected {
        info!(plane.logger, "{}", LogEvent::EndpointEjected.name(); "target" => host,
            "service" => &call.service, "outcome" => format!("{outcome:?}"));
    }
}

/// Returns whether an owner responded that it cannot serve at the moment, whatever its load: its backend
/// server is unreachable, or it has not received its configuration yet, as after a start while it is cut
/// off.
fn cannot_serve(response: &Response<Body>) -> bool {
    [Reason::Unreachable, Reason::NotReady]
        .into_iter()
        .any(|reason| response::has_reason(response, reason))
}

/// Returns whether a host is skipped for a moment after its first failure: if a policy's route bounds
/// the attempts and time of the call. Other calls have time for the repeated failures after which a
/// host is ejected as an outlier.
const fn skips_unreachable(call: &Call) -> bool {
    call.max_backend_attempts.is_some()
}

/// Marks a host that did not respond as unreachable, and its failure domain once all of it is silent.
/// Without the own failure domain nothing would be left of the service where this node is cut off.
fn mark_silent(plane: &Plane, call: &Call, endpoint: &Endpoint) {
    if !skips_unreachable(call) {
        return;
    }
    let now = plane.clock.now();
    if endpoint.failure_domain == plane.failure_domain {
        endpoint.load.mark_unreachable(now);
    } else if endpoint.load.mark_silent(now) {
        plane.counters.increment(Counter::DomainsSilent);
        info!(plane.logger, "{}", LogEvent::DomainSilent.name();
            "failure_domain" => endpoint.failure_domain.as_ref(),
            "target" => endpoint.host.as_ref());
    }
}

/// Returns whether a failure on the hop means that the host is currently unreachable.
const fn is_host_unreachable(failure: &HopError) -> bool {
    matches!(
        failure,
        HopError::NotRun(Reason::Unreachable | Reason::Timeout) | HopError::Unknown(Reason::Reset)
    )
}

/// Returns the outcome that a failure on the hop is recorded as for the host.
const fn failure_outcome(failure: &HopError) -> Outcome {
    match failure {
        HopError::NotRun(Reason::Unreachable) | HopError::Unknown(Reason::Reset) => Outcome::Reset,
        HopError::Unknown(Reason::Timeout) => Outcome::Timeout,
        // The node protects itself or its backend server, or the cause lies in this node.
        HopError::NotRun(_) | HopError::Unknown(_) => Outcome::Cancelled,
    }
}

/// Returns the outcome that an owner's refusal is recorded as for its host.
fn refusal_outcome(response: &Response<Body>) -> Outcome {
    if response::has_reason(response, Reason::Unreachable) {
        return Outcome::Reset;
    }
    if response::has_reason(response, Reason::BackendRefused) {
        return Outcome::Error;
    }
    if response::is_not_run(response) {
        return Outcome::Shed;
    }
    if response::has_reason(response, Reason::Timeout) {
        return Outcome::Timeout;
    }
    if response::has_reason(response, Reason::BodyShort) {
        return Outcome::Cancelled;
    }
    Outcome::Reset
}

/// Records the end of a response for the outlier ejection of its host.
struct Observer {
    /// Plane of the node.
    plane: Arc<Plane>,
    /// Call that the response belongs to.
    call: Call,
    /// Host that sent the response.
    host: Name,
    /// Status of the response.
    status: StatusCode,
}

impl Observer {
    /// Records how the response body ended.
    fn end(&self, ending: Ending) {
        let outcome = owner::outcome(self.status, ending);
        observe(&self.plane, &self.call, &self.host, outcome);
    }
}

/// Returns whether a status means that another backend server may succeed.
fn is_server_error(status: StatusCode) -> bool {
    status.is_server_error()
        && status != StatusCode::NOT_IMPLEMENTED
        && status != StatusCode::HTTP_VERSION_NOT_SUPPORTED
}

/// Returns the result of an attempt that was not made because this node refused it.
fn refused(plane: &Plane, reason: Reason) -> AttemptResult {
    AttemptResult::Failed(FailedAttempt {
        response: response::refuse(&plane.counters, reason, Ran::NotRun),
        ran: budget::Execution::NotRun,
        failure: budget::Failure::Refused,
        may_have_reached_backend: false,
        is_out_of_rotation: false,
    })
}

/// Returns the result of an attempt that failed on the hop.
fn failed(plane: &Plane, failure: HopError) -> AttemptResult {
    let (reason, ran) = match failure {
        HopError::NotRun(reason) => (reason, Ran::NotRun),
        HopError::Unknown(reason) => (reason, Ran::Unknown),
    };
    AttemptResult::Failed(FailedAttempt {
        response: response::refuse(&plane.counters, reason, ran),
        ran: match ran {
            Ran::NotRun => budget::Execution::NotRun,
            Ran::Unknown => budget::Execution::Unknown,
        },
        failure: match reason {
            Reason::Unreachable => budget::Failure::Connect,
            Reason::Timeout => budget::Failure::Timeout,
            _ => budget::Failure::Reset,
        },
        may_have_reached_backend: ran == Ran::Unknown,
        is_out_of_rotation: false,
    })
}

/// Returns the result of an attempt that the owner refused or could not complete.
fn refused_by_owner(plane: &Plane, response: Response<Body>) -> AttemptResult {
    // The nodes' secrets differ, which is no fault of the caller.
    if response::has_reason(&response, Reason::Unauthenticated) {
        return failed(plane, HopError::NotRun(Reason::Unreachable));
    }
    let may_have_reached_backend =
        !response::is_not_run(&response) || response::has_reason(&response, Reason::BackendRefused);
    let (ran, failure) = if response::is_not_run(&response) {
        (budget::Execution::NotRun, budget::Failure::Refused)
    } else if response::has_reason(&response, Reason::Timeout) {
        (budget::Execution::Unknown, budget::Failure::Timeout)
    } else {
        (budget::Execution::Unknown, budget::Failure::Reset)
    };
    let is_out_of_rotation = [Refusal::OutOfService, Refusal::Draining]
        .into_iter()
        .any(|refusal| response::has_reason(&response, Reason::Refused(refusal)));
    AttemptResult::Failed(FailedAttempt {
        response,
        ran,
        failure,
        may_have_reached_backend,
        is_out_of_rotation,
    })
}

/// Sends a call to the owner on another node.
async fn send(
    plane: &Plane,
    call: &Call,
    endpoint: &Endpoint,
    timeout: Duration,
    request: Request<Body>,
) -> Result<Response<Body>, HopError> {
    let outgoing = HopRequest {
        role: Role::Owner,
        request,
        deadline: Instant::now() + call.deadline.since(plane.clock.now()),
        timeout,
    };
    let response = plane
        .peers
        .send(endpoint.hop, &plane.secrets, outgoing)
        .await?;
    Ok(response.map(|body| body.map_err(Fault::from).boxed_unsync()))
}

/// Returns the load that an owner reported in its response, in thousandths of its limit.
fn reported_load(response: &Response<Body>) -> Option<u32> {
    response.headers().get(LOAD)?.to_str().ok()?.parse().ok()
}

/// Returns the report of an owner in its response.
fn report(response: &Response<Body>) -> Option<Report> {
    Report::parse(response.headers().get(REPORT)?.to_str().ok()?)
}

/// Monitors the body of a response on its way to the caller.
fn monitor_body(
    plane: &Arc<Plane>,
    method: &http::Method,
    in_flight: InFlight,
    observer: Observer,
    deadline: Instant,
    response: Response<Body>,
) -> Response<Body> {
    let bounds = Bounds {
        declared: body::expected_length(method, response.status(), response.headers()),
        max_bytes: u64::MAX,
        idle: plane.limits.idle_body_timeout,
    };
    let counters = plane.counters.clone();
    let on_end = move |ending| {
        counters.increment(match ending {
            Ending::Complete => Counter::CallsOk,
            Ending::Fault(_) => Counter::BrokenResponses,
            Ending::Dropped => Counter::CallerGone,
        });
        observer.end(ending);
        drop(in_flight);
    };
    // Without a contract the deadline is that of the head.
    let deadline = plane.contract.is_some().then_some(deadline);
    response::boxed(response.map(|body| Monitor::new(body, bounds, on_end).until(deadline)))
}
