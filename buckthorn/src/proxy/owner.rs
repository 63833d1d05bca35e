//! Owner side of a call: admits it, runs it on the local backend server, and reports reliably
//! whether it was run.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, Uri, Version, header as names};
use http_body_util::BodyExt;
use slog::info;
use tokio::time::Instant;

use super::body::{self, Body, Bounds, Ending, Fault, Monitor};
use super::contract::Validation;
use super::header::{self, Call, DEADLINE, FINGERPRINT, LOAD, REPEAT};
use super::limit::Limits;
use super::pool::{CheckoutError, Pool, ResponseBody, SendError};
use super::response::{self, Ran, Reason};
use super::running::{self, CancelGuard};
use super::{Plane, backend_state, request_log, tenant};
use crate::admission::breaker::CircuitBreaker;
use crate::admission::capacity::Capacity;
use crate::admission::cold_rate::ColdRateLimiter;
use crate::admission::gate::{self, Refusal};
use crate::admission::rank::Rank;
use crate::admission::rate_limit::{Admission, RateLimiter};
use crate::admission::semaphore::{Permit, Semaphore};
use crate::counter::{Counter, Counters};
use crate::log_event::LogEvent;
use crate::metrics::Stage;
use crate::name::Name;
use crate::poison::blocklist::Level;
use crate::rollout::evidence::{self, Outcome, Recorder};

/// Connections tried for one call before it is refused. Another is tried only while no byte of the
/// request was sent.
const MAX_CONNECTIONS_TRIED: u32 = 3;
/// Longest wait for the body of a backend server's refusal. It is short and sent right after its
/// head.
const REFUSAL_READ_TIMEOUT: Duration = Duration::from_millis(100);

/// The backend server announced to this node.
#[derive(Debug)]
pub struct Owner {
    /// Service that the backend server belongs to.
    pub service: Name,
    /// Version of the service that the backend server runs.
    pub version: Name,
    /// Address of the backend server.
    pub address: SocketAddr,
    /// Calls that the backend server runs concurrently.
    pub slots: u32,
    /// Connections that the backend server accepts.
    pub connections: u32,
    /// Limits the calls that run concurrently and queues the others.
    pub semaphore: Arc<Semaphore>,
    /// Records the outcomes of calls as evidence for rollouts.
    pub recorder: Arc<Recorder>,
    /// Connections to the backend server, created at the first call.
    pool: std::sync::OnceLock<Arc<Pool>>,
    /// Instance name of the backend server, if it announced one.
    pub(super) instance: Option<Name>,
    /// Limits the rate of calls while the backend server is cold.
    pub cold_limiter: ColdRateLimiter,
    /// Refuses calls while the backend server does not respond.
    pub circuit_breaker: Arc<CircuitBreaker>,
    /// Rate limit that the backend server names.
    pub rate_limiter: RateLimiter,
    /// Estimate of what the backend server takes.
    pub capacity: Arc<Capacity>,
    /// First rank of new calls that was refused when ingresses were last told.
    pub(super) told_cut: AtomicU32,
    /// Whether the backend server says in its responses that it leaves; the node then drains it.
    pub is_leaving: AtomicBool,
}

impl Owner {
    /// Creates the owner of a backend server.
    pub fn new(
        service: impl Into<Name>,
        version: impl Into<Name>,
        address: SocketAddr,
        slots: u32,
        connections: u32,
        semaphore: Arc<Semaphore>,
        recorder: Arc<Recorder>,
    ) -> Self {
        Self {
            service: service.into(),
            version: version.into(),
            address,
            slots,
            connections,
            semaphore,
            recorder,
            pool: std::sync::OnceLock::new(),
            instance: None,
            cold_limiter: ColdRateLimiter::new(None),
            circuit_breaker: Arc::default(),
            rate_limiter: RateLimiter::default(),
            capacity: Arc::default(),
            told_cut: AtomicU32::new(Rank::COUNT as u32),
            is_leaving: AtomicBool::new(false),
        }
    }

    /// Sets the instance name, and the limit of `cold_calls` per second while cold.
    pub fn with_instance(mut self, instance: Option<Name>, cold_calls: Option<usize>) -> Self {
        self.instance = instance;
        self.cold_limiter = ColdRateLimiter::new(cold_calls);
        self
    }

    /// Returns the connection pool of the backend server.
    fn pool(&self, counters: &Arc<Counters>, limits: &Limits) -> &Arc<Pool> {
        self.pool
            .get_or_init(|| Pool::new(self.address, self.connections, counters.clone(), limits))
    }
}

/// Runs a call on the local backend server or refuses it.
pub async fn run(plane: &Plane, call: &Call, request: Request<Body>) -> Response<Body> {
    let Some(owner) = plane.owner.load_full() else {
        let reason = Reason::Refused(Refusal::NoBackendServer);
        return response::refuse(&plane.counters, reason, Ran::NotRun);
    };
    let mut response = match admit(plane, &owner, call).await {
        Ok(admitted) => {
            let id = plane.request_id(request.headers());
            let started = Instant::now();
            let response = forward(plane, &owner, call, admitted, request).await;
            log_failure(plane, &owner, &id, started, &response);
            response
        }
        Err(reason) => {
            if is_shortage(reason) {
                plane.shortage.record();
            }
            log_refusal(plane, &owner, &plane.request_id(request.headers()), reason);
            response::refuse(&plane.counters, reason, Ran::NotRun)
        }
    };
    let rate_load = owner.rate_limiter.load_permille(plane.clock.now());
    let load = HeaderValue::from(owner.semaphore.load_permille().max(rate_load));
    response.headers_mut().insert(LOAD, load);
    backend_state::insert_report(plane, &owner, call, &mut response);
    response
}

/// Returns whether a call was refused for lack of slots, which stalled uploads may hold.
const fn is_shortage(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::Refused(Refusal::QueueFull | Refusal::Deadline | Refusal::Shed)
    )
}

/// A call that was admitted.
pub(super) struct Admitted {
    /// Permit of the semaphore.
    pub(super) permit: Permit,
    /// Route under which the call is recorded.
    pub(super) route: Name,
}

/// Admits a call or returns the reason for refusing it.
async fn admit(plane: &Plane, owner: &Owner, call: &Call) -> Result<Admitted, Reason> {
    if plane.is_draining() {
        return Err(Reason::Refused(Refusal::Draining));
    }
    check_blocklist(plane, call)?;
    let route = check(plane, owner, call)?;
    let started = Instant::now();
    let wait = owner.capacity.start_wait(call.rank);
    let permit = owner
        .semaphore
        .acquire(call.offer())
        .await
        .map_err(Reason::Refused)?;
    drop(wait);
    let stages = &plane.counters.stages;
    stages.get(Stage::Queue).observe(started.elapsed());
    // The request may have been found responsible for crashes meanwhile.
    check_blocklist(plane, call)?;
    if !owner.circuit_breaker.admits(owner.semaphore.running()) {
        return Err(Reason::Unreachable);
    }
    await_rate_limit(plane, owner, call, started).await?;
    if !owner.cold_limiter.admit(plane.clock.now()) {
        return Err(Reason::Refused(Refusal::Cold));
    }
    Ok(Admitted { permit, route })
}

/// Waits until the rate limit of the backend server admits a call that was received at `started`. The
/// call holds its slot meanwhile, so that others wait in the order of their priority.
async fn await_rate_limit(
    plane: &Plane,
    owner: &Owner,
    call: &Call,
    started: Instant,
) -> Result<(), Reason> {
    let now = plane.clock.now();
    let max_wait = match call.max_wait {
        Some(max_wait) => max_wait,
        None if call.rank.is_in_progress() => Duration::MAX,
        None => gate::MAX_WAIT,
    };
    let left = max_wait
        .saturating_sub(started.elapsed())
        .min(call.deadline.since(now));
    match owner.rate_limiter.admit(now, left) {
        Admission::Now => Ok(()),
        Admission::After(wait) => {
            tokio::time::sleep(wait).await;
            Ok(())
        }
        Admission::Refused => Err(Reason::Refused(Refusal::RateLimited)),
    }
}

/// Refuses a call of a request that has crashed backend servers.
fn check_blocklist(plane: &Plane, call: &Call) -> Result<(), Reason> {
    match plane.block_level(call) {
        Some(Level::Blocked) => Err(Reason::Poison),
        Some(Level::NoRetry) | None => Ok(()),
    }
}

/// Checks a call against the current table and returns the route under which it is recorded.
fn check(plane: &Plane, owner: &Owner, call: &Call) -> Result<Name, Reason> {
    if *owner.service != *call.service {
        return Err(Reason::Refused(Refusal::NoBackendServer));
    }
    let table = plane.table.load();
    if table.version == 0 {
        return Err(Reason::NotReady);
    }
    if table.is_out(&plane.failure_domain) {
        return Err(Reason::Refused(Refusal::OutOfService));
    }
    let Some(route) = table.resolve(&call.service, &call.path) else {
        return Err(Reason::NoRoute);
    };
    // A version that the route lists with no share is being replaced, not quarantined.
    let is_listed = route.shares.iter().any(|s| s.version == owner.version);
    if !is_listed {
        return Err(Reason::Refused(Refusal::Quarantined));
    }
    Ok(evidence::route_key(&route.prefix, &call.path).into())
}

/// Why the backend server gave no response.
enum CallError {
    /// No byte of the request was sent.
    NotRun(Reason),
    /// The call may have run.
    Unknown(Reason),
}

/// Sends an admitted call to the backend server.
async fn forward(
    plane: &Plane,
    owner: &Owner,
    call: &Call,
    admitted: Admitted,
    request: Request<Body>,
) -> Response<Body> {
    let id = plane.request_id(request.headers());
    let repeat_permille = header::mesh_number(request.headers(), REPEAT).unwrap_or_default();
    let repeat_permille = u32::try_from(repeat_permille).unwrap_or(u32::MAX);
    plane.repeat_share.record(repeat_permille);
    let run = running::Call::start(plane, owner, call, admitted, &id, repeat_permille);
    let run = CancelGuard::new(run);
    let pool = owner.pool(&plane.counters, &plane.limits);
    let sent_at = plane.clock.now();
    let left = call.deadline.since(sent_at);
    let deadline = Instant::now() + left;
    let method = request.method().clone();
    let request_id = request_id(plane, &request);
    let counted = tenant::count(plane, request.headers(), sent_at);
    let request = rewrite_for_backend(plane, owner, request, left);
    let sent = send(plane, pool, request, deadline).await;
    if let (Some(counted), true) = (counted, was_not_run(plane, request_id.as_ref(), &sent)) {
        counted.withdraw();
    }
    let Some(run) = run.release() else {
        return response::refuse(&plane.counters, Reason::Reset, Ran::Unknown);
    };
    let latency = run.started.elapsed();
    plane.counters.stages.get(Stage::Backend).observe(latency);
    if let Ok(response) = &sent {
        owner.circuit_breaker.record_response();
        // A misdirected request was answered by another instance.
        if response.status() != StatusCode::MISDIRECTED_REQUEST {
            backend_state::observe(plane, owner, response.headers(), sent_at);
        }
    }
    match sent {
        Ok(response) => match validate(plane, request_id.as_ref(), &response) {
            Validation::Valid => relay_response(plane, run, &method, deadline, response),
            validation => reject_response(plane, owner, run, validation, response).await,
        },
        Err(CallError::NotRun(reason)) => {
            let outcome = match reason {
                Reason::Unreachable => {
                    owner.cold_limiter.assume_cold(plane.clock.now());
                    Outcome::Reset
                }
                Reason::Refused(Refusal::Deadline) => {
                    owner.circuit_breaker.record_no_response(latency.min(left));
                    Outcome::Cancelled
                }
                _ => Outcome::Cancelled,
            };
            run.finish(outcome, latency);
            response::refuse(&plane.counters, reason, Ran::NotRun)
        }
        Err(CallError::Unknown(reason)) => {
            let outcome = match reason {
                Reason::Timeout => {
                    // A longer latency is a stall of this node.
                    owner.circuit_breaker.record_no_response(latency.min(left));
                    Outcome::Timeout
                }
                // The caller's body failed.
                Reason::BodyShort => Outcome::Cancelled,
                _ => {
                    run.watch.record_lost();
                    Outcome::Reset
                }
            };
            run.finish(outcome, latency);
            response::refuse(&plane.counters, reason, Ran::Unknown)
        }
    }
}

/// Returns whether the backend server did not run a request.
fn was_not_run(
    plane: &Plane,
    id: Option<&HeaderValue>,
    sent: &Result<Response<ResponseBody>, CallError>,
) -> bool {
    match sent {
        Ok(response) => matches!(
            validate(plane, id, response),
            Validation::NotRun | Validation::Misdirected
        ),
        Err(CallError::NotRun(_)) => true,
        Err(CallError::Unknown(_)) => false,
    }
}

/// Logs a refusal with the state of the semaphore that led to it.
fn log_refusal(plane: &Plane, owner: &Owner, id: &str, reason: Reason) {
    if request_log::may_write(plane, request_log::Class::Owner) {
        info!(plane.logger, "{}", LogEvent::OwnerRefused.name(); "request" => id,
            "service" => owner.service.as_ref(), "reason" => reason.as_str(),
            "running" => owner.semaphore.running(), "queued" => owner.semaphore.queued(),
            "limit" => owner.semaphore.limit(), "version" => plane.table.load().version);
    }
}

/// Logs that the backend server gave no response that could be relayed.
fn log_failure(
    plane: &Plane,
    owner: &Owner,
    id: &str,
    started: Instant,
    response: &Response<Body>,
) {
    let Some(reason) = response.headers().get(header::REASON) else {
        return;
    };
    if request_log::may_write(plane, request_log::Class::Owner) {
        let ran = if response::is_not_run(response) {
            Ran::NotRun
        } else {
            Ran::Unknown
        };
        info!(plane.logger, "{}", LogEvent::OwnerFailed.name(); "request" => id,
            "service" => owner.service.as_ref(),
            "instance" => owner.instance.as_deref().unwrap_or(""),
            "reason" => reason.to_str().unwrap_or(""), "ran" => ran.as_str(),
            "took_ms" => started.elapsed().as_millis() as u64);
    }
}

/// Returns the identifier of a request; only a contract defines one.
fn request_id(plane: &Plane, request: &Request<Body>) -> Option<HeaderValue> {
    let contract = plane.contract.as_ref()?;
    request.headers().get(&contract.headers.request_id).cloned()
}

/// Validates the head of a response; without a contract only its status has to be valid.
fn validate(
    plane: &Plane,
    id: Option<&HeaderValue>,
    response: &Response<ResponseBody>,
) -> Validation {
    if !response::is_final(response.status()) {
        return Validation::Invalid;
    }
    match &plane.contract {
        Some(contract) => contract
            .headers
            .validate(id, response.status(), response.headers()),
        None => Validation::Valid,
    }
}

/// Replaces a response that failed validation by a refusal.
async fn reject_response(
    plane: &Plane,
    owner: &Owner,
    run: running::Call,
    validation: Validation,
    response: Response<ResponseBody>,
) -> Response<Body> {
    let latency = run.started.elapsed();
    match validation {
        Validation::NotRun => {
            // The connection is reusable only after the body was read to its end.
            let read = response.into_body().collect();
            if tokio::time::timeout(REFUSAL_READ_TIMEOUT, read)
                .await
                .is_err()
            {
                plane.counters.increment(Counter::BrokenResponses);
            }
            run.finish(Outcome::Shed, latency);
            response::refuse(&plane.counters, Reason::BackendRefused, Ran::NotRun)
        }
        Validation::Misdirected => {
            owner.cold_limiter.assume_cold(plane.clock.now());
            run.finish(Outcome::Reset, latency);
            response::refuse(&plane.counters, Reason::Unreachable, Ran::NotRun)
        }
        Validation::Valid | Validation::Mismatched | Validation::Invalid => {
            plane.counters.increment(Counter::BrokenResponses);
            run.finish(Outcome::Broken, latency);
            response::refuse(&plane.counters, Reason::Broken, Ran::Unknown)
        }
    }
}

/// Sends a request on a pooled connection; tries another one while no byte was sent.
async fn send(
    plane: &Plane,
    pool: &Arc<Pool>,
    mut request: Request<Body>,
    deadline: Instant,
) -> Result<Response<ResponseBody>, CallError> {
    let allows_reuse = |headers: &HeaderMap| {
        let contract = plane.contract.as_ref();
        contract.is_none_or(|contract| contract.headers.allows_reuse(headers))
    };
    let (parts, body) = request.into_parts();
    let (body, is_body_failed) = body::flagged(body);
    request = Request::from_parts(parts, body);
    for _ in 0..MAX_CONNECTIONS_TRIED {
        let connection = match pool.check_out(deadline).await {
            Ok(connection) => connection,
            Err(CheckoutError::Unreachable) => return Err(CallError::NotRun(Reason::Unreachable)),
            Err(CheckoutError::Busy) => {
                return Err(CallError::NotRun(Reason::Refused(Refusal::QueueFull)));
            }
            Err(CheckoutError::DeadlinePassed) => {
                return Err(CallError::NotRun(Reason::Refused(Refusal::Deadline)));
            }
        };
        match tokio::time::timeout_at(deadline, connection.send(request, allows_reuse)).await {
            Ok(Ok(response)) => return Ok(response),
            Ok(Err(SendError::NotSent(unsent))) => request = *unsent,
            Ok(Err(SendError::Lost)) if is_body_failed.load(Ordering::Acquire) => {
                return Err(CallError::Unknown(Reason::BodyShort));
            }
            Ok(Err(SendError::Lost)) => return Err(CallError::Unknown(Reason::Reset)),
            Err(_) => {
                pool.discard_idle();
                return Err(CallError::Unknown(Reason::Timeout));
            }
        }
    }
    Err(CallError::NotRun(Reason::Unreachable))
}

/// Rewrites a request to the form that the backend server receives.
fn rewrite_for_backend(
    plane: &Plane,
    owner: &Owner,
    mut request: Request<Body>,
    left: Duration,
) -> Request<Body> {
    let headers = request.headers_mut();
    header::strip_connection_headers(headers);
    headers.remove(header::SECRET);
    headers.remove(header::ROLE);
    headers.remove(REPEAT);
    headers.remove(FINGERPRINT);
    headers.remove(names::EXPECT);
    let authority = request.uri().authority().cloned();
    match &plane.contract {
        Some(contract) => {
            contract.rewrite_for_backend(request.headers_mut(), left, owner.instance.as_ref());
        }
        None => {
            let millis = HeaderValue::from(left.as_millis() as u64);
            request.headers_mut().insert(DEADLINE, millis);
        }
    }
    if let Some(authority) = authority {
        if plane.contract.is_none()
            && let Ok(host) = HeaderValue::from_str(authority.as_str())
        {
            request.headers_mut().insert(names::HOST, host);
        }
        let path = request.uri().path_and_query().cloned();
        *request.uri_mut() = path.map_or_else(Uri::default, Uri::from);
    }
    *request.version_mut() = Version::HTTP_11;
    request
}

/// Relays a response to the ingress and checks its body on the way.
fn relay_response(
    plane: &Plane,
    run: running::Call,
    method: &http::Method,
    deadline: Instant,
    mut response: Response<ResponseBody>,
) -> Response<Body> {
    let latency = run.started.elapsed();
    let status = response.status();
    if plane.contract.is_none() && is_undelimited(method, &response) {
        plane.counters.increment(Counter::BrokenResponses);
        run.finish(Outcome::Broken, latency);
        return response::refuse(&plane.counters, Reason::Broken, Ran::Unknown);
    }
    header::strip_connection_headers(response.headers_mut());
    header::strip_mesh_headers(response.headers_mut());
    let bounds = Bounds {
        declared: body::expected_length(method, status, response.headers()),
        max_bytes: u64::MAX,
        idle: plane.limits.idle_body_timeout,
    };
    let on_end = move |ending| {
        let outcome = outcome(status, ending);
        if outcome == Outcome::Broken {
            run.counters.increment(Counter::BrokenResponses);
        }
        match ending {
            Ending::Complete => run.watch.record_completed(),
            Ending::Fault(Fault::Lost | Fault::Short) => run.watch.record_lost(),
            Ending::Fault(_) | Ending::Dropped => {}
        }
        run.finish(outcome, latency);
    };
    // Without a contract the deadline is that of the head.
    let deadline = plane.contract.is_some().then_some(deadline);
    response::boxed(response.map(|body| Monitor::new(body, bounds, on_end).until(deadline)))
}

/// Returns whether the response body is delimited only by the end of the connection.
fn is_undelimited(method: &http::Method, response: &Response<ResponseBody>) -> bool {
    let headers = response.headers();
    body::has_body(method, response.status())
        && !headers.contains_key(names::CONTENT_LENGTH)
        && !headers.contains_key(names::TRANSFER_ENCODING)
}

/// Returns the outcome of a call from its status and how its body ended.
pub(super) fn outcome(status: StatusCode, ending: Ending) -> Outcome {
    match ending {
        Ending::Dropped => Outcome::Cancelled,
        Ending::Fault(Fault::Idle | Fault::Deadline) => Outcome::Timeout,
        Ending::Fault(_) => Outcome::Broken,
        Ending::Complete if status == StatusCode::SERVICE_UNAVAILABLE => Outcome::Shed,
        Ending::Complete if status.is_server_error() => Outcome::Error,
        Ending::Complete => Outcome::Ok,
    }
}
