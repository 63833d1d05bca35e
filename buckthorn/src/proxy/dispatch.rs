//! Attempts of a call: a backend server is chosen, and another when the rules of retrying allow it.
//!
//! A call that is not idempotent is sent again only after a refusal that says "not run"; the rules
//! are those of [`budget`].

use std::sync::Arc;
use std::time::Duration;

use http::request::Parts;
use http::{HeaderValue, Request, Response, StatusCode, Uri, header as names};
use http_body_util::BodyExt;
use tokio::time::Instant;

use super::answer::{self, Ran, Reason};
use super::body::{self, Body, Bounds, Ending, Fault, Monitor};
use super::header::{self, ATTEMPTS, Call, LOAD, Part};
use super::hop::{Failure, Outgoing};
use super::payload::Payload;
use super::{Plane, owner, resume};
use crate::admission::gate::Refusal;
use crate::counter::Counter;
use crate::name::Name;
use crate::routing::budget::{self, Budget, Inward, Layer, MAX_ATTEMPTS, Next};
use crate::routing::choice::{Choice, choose};
use crate::routing::load::Load;
use crate::routing::table::Endpoint;

/// What came of one attempt.
pub(super) enum Attempt {
    /// An answer of a backend server.
    Answered(Response<Body>),
    /// A refusal or a failure.
    Failed(Failed),
}

/// An attempt without a good answer.
pub(super) struct Failed {
    /// What the caller is told if it was the last.
    response: Response<Body>,
    /// Whether it ran.
    ran: budget::Ran,
    /// How it failed.
    failure: budget::Failure,
}

/// Sends a call to a backend server, and to another where that is safe.
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
        return answer::refuse(&plane.counters, reason, Ran::NotRun);
    };
    budget.earn();
    prepare(&mut parts, call);
    let mut attempts_left = MAX_ATTEMPTS;
    let mut tried: Vec<Name> = Vec::new();
    let mut last = None;
    loop {
        let endpoint = match pick(plane, call, &tried) {
            Ok(endpoint) => endpoint,
            Err(reason) => {
                return last
                    .unwrap_or_else(|| answer::refuse(&plane.counters, reason, Ran::NotRun));
            }
        };
        let body = payload.take().unwrap_or_else(body::empty);
        let request = Request::from_parts(parts.clone(), body);
        attempts_left -= 1;
        let failed = match attempt(plane, call, &endpoint, request).await {
            Attempt::Answered(response) => {
                return resume::protect(plane, call, &parts, endpoint.host, response);
            }
            Attempt::Failed(failed) => failed,
        };
        let next = budget::decide(
            &budget,
            &budget::Attempt {
                is_idempotent: call.is_idempotent,
                ran: failed.ran,
                failure: failed.failure,
                time_left: Some(call.deadline.since(plane.clock.now())),
                attempts_left,
                layer: layer(call),
                is_body_kept: payload.is_kept(),
            },
        );
        plane.counters.hit(next.counter());
        if matches!(next, Next::GiveUp(_)) {
            return failed.response;
        }
        tried.push(endpoint.host);
        last = Some(failed.response);
    }
}

/// Retry budget of a call's service.
pub(super) fn service_budget(plane: &Plane, call: &Call) -> Option<Arc<Budget>> {
    let table = plane.table.load();
    let service = table.service(&call.service)?;
    Some(service.budget.clone())
}

/// Place of this node in the chain of calls.
pub(super) const fn layer(call: &Call) -> Layer {
    match call.attempts {
        Some(0 | 1) => Layer::Inner,
        Some(_) | None => Layer::Outermost,
    }
}

/// Head of the request as every attempt sends it.
fn prepare(parts: &mut Parts, call: &Call) {
    header::strip_connection(&mut parts.headers);
    parts.headers.remove(names::EXPECT);
    parts.headers.remove(header::SECRET);
    parts.headers.remove(header::PART);
    // The calls that the backend server makes for this one are an inner layer.
    parts
        .headers
        .insert(ATTEMPTS, HeaderValue::from_static("1"));
    parts.uri = target(call, parts);
}

/// Target that names the service, as a hop needs it.
pub fn target(call: &Call, parts: &Parts) -> Uri {
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    Uri::builder()
        .scheme("http")
        .authority(call.service.as_str())
        .path_and_query(path)
        .build()
        .unwrap_or_else(|_| parts.uri.clone())
}

/// Chooses a backend server.
pub(super) fn pick(plane: &Plane, call: &Call, tried: &[Name]) -> Result<Endpoint, Reason> {
    let table = plane.table.load();
    let Some(route) = table.resolve(&call.service, &call.path) else {
        return Err(Reason::NoRoute);
    };
    let now = plane.clock.now();
    match choose(&table, route, now, tried, &mut rand::rng()) {
        Choice::Endpoint(_, endpoint) => Ok(endpoint.clone()),
        Choice::NoBackendServer => Err(Reason::Refused(Refusal::NoBackendServer)),
    }
}

/// A call in flight to a backend server, counted until dropped.
struct InFlight(Arc<Load>);

impl InFlight {
    /// Counts a call that starts.
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

/// Makes one attempt.
pub(super) async fn attempt(
    plane: &Arc<Plane>,
    call: &Call,
    endpoint: &Endpoint,
    request: Request<Body>,
) -> Attempt {
    let left = match budget::inward(Some(call.deadline), plane.clock.now()) {
        Inward::Left(left) => left,
        Inward::Unbounded => plane.limits.call_timeout,
        Inward::Expired => return refused(plane, Reason::Refused(Refusal::Deadline)),
    };
    let in_flight = InFlight::start(&endpoint.load);
    let method = request.method().clone();
    let response = if endpoint.host == plane.host {
        let mut call = call.clone();
        call.deadline = plane.clock.now() + left;
        owner::run(plane, &call, request).await
    } else {
        match send(plane, call, endpoint, left, request).await {
            Ok(response) => response,
            Err(failure) => return failed(plane, failure),
        }
    };
    if let Some(permille) = told(&response) {
        endpoint.load.tell(permille);
    }
    if answer::is_refusal(&response) {
        return refused_by_owner(plane, response);
    }
    let response = watch(plane, &method, in_flight, response);
    if call.is_idempotent && is_server_error(response.status()) {
        return Attempt::Failed(Failed {
            response,
            ran: budget::Ran::Unknown,
            failure: budget::Failure::Status,
        });
    }
    Attempt::Answered(response)
}

/// Whether a status says that another backend server may do better.
fn is_server_error(status: StatusCode) -> bool {
    status.is_server_error()
        && status != StatusCode::NOT_IMPLEMENTED
        && status != StatusCode::HTTP_VERSION_NOT_SUPPORTED
}

/// Attempt that this node itself did not make.
fn refused(plane: &Plane, reason: Reason) -> Attempt {
    Attempt::Failed(Failed {
        response: answer::refuse(&plane.counters, reason, Ran::NotRun),
        ran: budget::Ran::NotRun,
        failure: budget::Failure::Refused,
    })
}

/// Attempt that failed on the hop.
fn failed(plane: &Plane, failure: Failure) -> Attempt {
    let (reason, ran) = match failure {
        Failure::NotRun(reason) => (reason, Ran::NotRun),
        Failure::Unknown(reason) => (reason, Ran::Unknown),
    };
    Attempt::Failed(Failed {
        response: answer::refuse(&plane.counters, reason, ran),
        ran: match ran {
            Ran::NotRun => budget::Ran::NotRun,
            Ran::Unknown => budget::Ran::Unknown,
        },
        failure: match reason {
            Reason::Unreachable => budget::Failure::Connect,
            Reason::Timeout => budget::Failure::Timeout,
            _ => budget::Failure::Reset,
        },
    })
}

/// Attempt that the owner refused or could not finish.
fn refused_by_owner(plane: &Plane, response: Response<Body>) -> Attempt {
    // The secrets of the nodes differ; the caller has nothing to do with it.
    if answer::has_reason(&response, Reason::Unauthenticated) {
        return failed(plane, Failure::NotRun(Reason::Unreachable));
    }
    let (ran, failure) = if answer::is_not_run(&response) {
        (budget::Ran::NotRun, budget::Failure::Refused)
    } else if answer::has_reason(&response, Reason::Timeout) {
        (budget::Ran::Unknown, budget::Failure::Timeout)
    } else {
        (budget::Ran::Unknown, budget::Failure::Reset)
    };
    Attempt::Failed(Failed {
        response,
        ran,
        failure,
    })
}

/// Sends a call to the owner on another node.
async fn send(
    plane: &Plane,
    call: &Call,
    endpoint: &Endpoint,
    told: Duration,
    request: Request<Body>,
) -> Result<Response<Body>, Failure> {
    let outgoing = Outgoing {
        part: Part::Owner,
        request,
        deadline: Instant::now() + call.deadline.since(plane.clock.now()),
        told,
    };
    let response = plane
        .peers
        .send(endpoint.hop, &plane.secrets, outgoing)
        .await?;
    Ok(response.map(|body| body.map_err(Fault::from).boxed_unsync()))
}

/// Load told in an answer.
fn told(response: &Response<Body>) -> Option<u32> {
    response.headers().get(LOAD)?.to_str().ok()?.parse().ok()
}

/// Watches the body of an answer on its way to the caller.
fn watch(
    plane: &Arc<Plane>,
    method: &http::Method,
    in_flight: InFlight,
    response: Response<Body>,
) -> Response<Body> {
    let bounds = Bounds {
        declared: body::expected_length(method, response.status(), response.headers()),
        max_bytes: u64::MAX,
        idle: plane.limits.idle_body_timeout,
    };
    let counters = plane.counters.clone();
    let on_end = move |ending| {
        counters.hit(match ending {
            Ending::Complete => Counter::CallsOk,
            Ending::Fault(_) => Counter::BrokenAnswers,
            Ending::Dropped => Counter::CallerGone,
        });
        drop(in_flight);
    };
    answer::boxed(response.map(|body| Monitor::new(body, bounds, on_end)))
}
