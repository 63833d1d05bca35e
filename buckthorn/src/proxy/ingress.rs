//! The ingress's part: chooses a backend server for a call and tries again where that is safe.
//!
//! A call that is not idempotent is sent again only after a refusal that says "not run". Where its
//! outcome is not known, the caller is told so.

use std::sync::Arc;

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderValue, Request, Response, Uri, header as names};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::Instant;

use super::answer::{self, Ran, Reason};
use super::body::{self, Body, Bounds, Ending, Fault, Monitor};
use super::header::{self, ATTEMPTS, Call, LOAD, Part};
use super::hop::{Failure, Outgoing};
use super::{Plane, owner};
use crate::admission::gate::Refusal;
use crate::clock::Time;
use crate::counter::Counter;
use crate::name::Name;
use crate::routing::choice::{Choice, choose};
use crate::routing::load::Load;
use crate::routing::table::Endpoint;

/// Attempts that the outermost layer makes for one call.
const MAX_ATTEMPTS: u32 = 2;

/// Carries a caller's call.
pub async fn carry(plane: &Arc<Plane>, request: Request<Monitor<Incoming>>) -> Response<Body> {
    plane.counters.hit(Counter::Calls);
    if plane.is_draining() {
        let reason = Reason::Refused(Refusal::Draining);
        return answer::refuse(&plane.counters, reason, Ran::NotRun);
    }
    let (parts, body) = request.into_parts();
    let now = plane.clock.now();
    let call = match Call::parse(&parts, now, plane.limits.call_timeout) {
        Ok(call) => call,
        Err(detail) => {
            return answer::refuse_with(&plane.counters, Reason::BadRequest, Ran::NotRun, detail);
        }
    };
    let mut departure = Departure(Some(plane.clone()));
    let response = match Payload::read(plane, &parts, body).await {
        Ok(payload) => dispatch(plane, &call, parts, payload).await,
        Err(reason) => answer::refuse(&plane.counters, reason, Ran::NotRun),
    };
    departure.0 = None;
    finish(plane, response)
}

/// Counts a caller that leaves before the head of its answer.
struct Departure(Option<Arc<Plane>>);

impl Drop for Departure {
    fn drop(&mut self) {
        if let Some(plane) = &self.0 {
            plane.counters.hit(Counter::CallerGone);
        }
    }
}

/// Counts an answer and makes it fit for the caller.
fn finish(plane: &Plane, mut response: Response<Body>) -> Response<Body> {
    let is_unknown = answer::is_refusal(&response) && !answer::is_not_run(&response);
    if is_unknown {
        plane.counters.hit(Counter::CallsUnknown);
    }
    response.headers_mut().remove(LOAD);
    response
}

/// Body of a request.
pub enum Payload {
    /// Kept, so that it can be sent again.
    Kept(Bytes),
    /// Streamed once; `None` when it was sent.
    Streamed(Option<Body>),
}

impl Payload {
    /// Keeps a small body and leaves a large one to be streamed.
    async fn read(plane: &Plane, parts: &Parts, body: Monitor<Incoming>) -> Result<Self, Reason> {
        let declared = header::declared_length(&parts.headers).map_err(|_| Reason::BadRequest)?;
        if http_body::Body::is_end_stream(&body) {
            return Ok(Self::Kept(Bytes::new()));
        }
        let declared = declared.unwrap_or(u64::MAX);
        if declared != u64::MAX && declared > plane.limits.body_bytes {
            return Err(Reason::BodySize);
        }
        if declared > plane.limits.kept_body_bytes {
            return Ok(Self::Streamed(Some(body.boxed_unsync())));
        }
        match body.collect().await {
            Ok(collected) => Ok(Self::Kept(collected.to_bytes())),
            Err(fault) => Err(reason_of_upload(fault)),
        }
    }

    /// Body for one more attempt, `None` when it cannot be sent again.
    fn take(&mut self) -> Option<Body> {
        match self {
            Self::Kept(bytes) if bytes.is_empty() => Some(body::empty()),
            Self::Kept(bytes) => Some(body::full(bytes.clone())),
            Self::Streamed(body) => body.take(),
        }
    }
}

/// Reason of a refusal for a fault of the caller's body.
fn reason_of_upload(fault: Fault) -> Reason {
    match fault {
        Fault::TooLarge => Reason::BodySize,
        Fault::Idle => Reason::BodyTimeout,
        Fault::Short | Fault::Overlong | Fault::Lost => Reason::BodyShort,
    }
}

/// What came of one attempt.
enum Attempt {
    /// An answer of a backend server.
    Answered(Response<Body>),
    /// A refusal; the call was not run.
    NotRun(Response<Body>),
    /// A refusal; the call may have run.
    Unknown(Response<Body>),
}

/// Sends a call to a backend server, and to another where that is safe.
async fn dispatch(
    plane: &Arc<Plane>,
    call: &Call,
    mut parts: Parts,
    mut payload: Payload,
) -> Response<Body> {
    prepare(&mut parts, call);
    let attempts = call
        .attempts
        .map_or(MAX_ATTEMPTS, |n| n.clamp(1, MAX_ATTEMPTS));
    let mut tried: Vec<Name> = Vec::new();
    let mut last = None;
    for attempt in 1..=attempts {
        let endpoint = match pick(plane, call, &tried) {
            Ok(endpoint) => endpoint,
            Err(reason) => {
                return last
                    .unwrap_or_else(|| answer::refuse(&plane.counters, reason, Ran::NotRun));
            }
        };
        let Some(body) = payload.take() else {
            plane.counters.hit(Counter::RetryDeniedBody);
            break;
        };
        if attempt > 1 {
            plane.counters.hit(Counter::RetryNotRun);
        }
        tried.push(endpoint.host.clone());
        let request = Request::from_parts(parts.clone(), body);
        match attempt_at(plane, call, &endpoint, request).await {
            Attempt::Answered(response) => return response,
            Attempt::Unknown(response) if !call.is_idempotent => {
                plane.counters.hit(Counter::RetryDeniedNotIdempotent);
                return response;
            }
            Attempt::NotRun(response) | Attempt::Unknown(response) => last = Some(response),
        }
    }
    last.unwrap_or_else(|| {
        let reason = Reason::Refused(Refusal::NoBackendServer);
        answer::refuse(&plane.counters, reason, Ran::NotRun)
    })
}

/// Head of the request as every attempt sends it.
fn prepare(parts: &mut Parts, call: &Call) {
    header::strip_connection(&mut parts.headers);
    parts.headers.remove(names::EXPECT);
    parts.headers.remove(header::SECRET);
    parts.headers.remove(header::PART);
    // The backend server's own calls are an inner layer: they are not tried again there.
    parts
        .headers
        .insert(ATTEMPTS, HeaderValue::from_static("1"));
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let uri = Uri::builder()
        .scheme("http")
        .authority(call.service.as_str())
        .path_and_query(path)
        .build();
    if let Ok(uri) = uri {
        parts.uri = uri;
    }
}

/// Chooses a backend server.
fn pick(plane: &Plane, call: &Call, tried: &[Name]) -> Result<Endpoint, Reason> {
    let table = plane.table.load();
    if table.version == 0 {
        return Err(Reason::NotReady);
    }
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
async fn attempt_at(
    plane: &Arc<Plane>,
    call: &Call,
    endpoint: &Endpoint,
    request: Request<Body>,
) -> Attempt {
    let in_flight = InFlight::start(&endpoint.load);
    let method = request.method().clone();
    let response = if endpoint.host == plane.host {
        owner::run(plane, call, request).await
    } else {
        match send(plane, call, endpoint, request).await {
            Ok(response) => response,
            Err(Failure::NotRun(reason)) => {
                return Attempt::NotRun(answer::refuse(&plane.counters, reason, Ran::NotRun));
            }
            Err(Failure::Unknown(reason)) => {
                return Attempt::Unknown(answer::refuse(&plane.counters, reason, Ran::Unknown));
            }
        }
    };
    if let Some(permille) = told(&response) {
        endpoint.load.tell(permille);
    }
    if answer::is_not_run(&response) {
        return Attempt::NotRun(response);
    }
    if answer::is_refusal(&response) {
        return Attempt::Unknown(response);
    }
    Attempt::Answered(watch(plane, &method, in_flight, response))
}

/// Sends a call to the owner on another node.
async fn send(
    plane: &Plane,
    call: &Call,
    endpoint: &Endpoint,
    request: Request<Body>,
) -> Result<Response<Body>, Failure> {
    let outgoing = Outgoing {
        part: Part::Owner,
        request,
        deadline: instant(plane, call.deadline),
    };
    let response = plane
        .peers
        .send(endpoint.hop, &plane.secrets, outgoing)
        .await?;
    Ok(response.map(|body| body.map_err(Fault::from).boxed_unsync()))
}

/// Instant of a time.
fn instant(plane: &Plane, time: Time) -> Instant {
    Instant::now() + time.since(plane.clock.now())
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
