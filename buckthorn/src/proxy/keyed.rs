//! Calls with an idempotency key: they run at most once, and repeats receive the first outcome.
//!
//! A key is held by the node with the highest rendezvous weight among the owners of the service's
//! backend servers. The holder replicates the key to the next node in rank, dispatches the call,
//! and stores its outcome on both. If the holder is unreachable, the next node takes over and
//! already has the key. A node that already holds a key rejects the replica, and the node that
//! sent it does not run its call. A call continues when its caller disconnects, so that a repeat
//! receives its outcome.
//!
//! Limits: a repeat runs again if it arrives after the window, if both holders failed or left the
//! service since the first call, if two ingresses whose views of the service have no holder in
//! common send the same key, or if a network partition separates the two holders while one of them
//! runs the call.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::Plane;
use super::body::{self, Body, Fault, Replayed};
use super::dispatch::{dispatch, target};
use super::header::{Call, KEY_STATE, LOAD, REPLAYED, REPORT, Role};
use super::hop::{HopError, HopRequest};
use super::key::{self, Outcome, Start};
use super::payload::Payload;
use super::response::{self, Ran, Reason};
use crate::admission::gate::Refusal;
use crate::counter::Counter;
use crate::name::{self, Name};
use crate::routing::table::Endpoint;

/// Nodes that hold a key: the first in rank and its replica.
const MAX_HOLDERS: usize = 2;
/// Timeout for replicating a key to another node.
const REPLICATION_TIMEOUT: Duration = Duration::from_millis(500);

/// Returns the endpoints that hold a key, highest rendezvous weight first.
fn holders(plane: &Plane, call: &Call, id: &str) -> Vec<Endpoint> {
    let table = plane.table.load();
    let Some(service) = table.service(&call.service) else {
        return Vec::new();
    };
    let mut ranked: Vec<(u64, &Endpoint)> = service
        .routes
        .iter()
        .flat_map(|route| &route.shares)
        .flat_map(|share| &share.endpoints)
        .map(|endpoint| (name::rendezvous(id, &endpoint.host), endpoint))
        .collect();
    ranked.sort_by(|(a, x), (b, y)| b.cmp(a).then_with(|| x.host.cmp(&y.host)));
    ranked.dedup_by(|(_, a), (_, b)| a.host == b.host);
    ranked
        .into_iter()
        .take(MAX_HOLDERS)
        .map(|(_, endpoint)| endpoint.clone())
        .collect()
}

/// Sends a call with an idempotency key to the node that holds the key.
pub async fn handle(
    plane: &Arc<Plane>,
    call: Call,
    parts: Parts,
    mut payload: Payload,
) -> Response<Body> {
    let id = key::id(
        &call.service,
        call.idempotency_key.as_deref().unwrap_or_default(),
    );
    let mut last = None;
    for endpoint in holders(plane, &call, &id) {
        if endpoint.host == plane.host {
            return run_as_holder(plane, call, parts, payload).await;
        }
        let Some(body) = payload.take() else {
            break;
        };
        match forward(plane, &call, &endpoint, &parts, body).await {
            Ok(response) if is_draining_refusal(&response) => last = Some(response),
            Ok(response) => return response,
            Err(HopError::Unknown(reason)) => {
                return response::refuse(&plane.counters, reason, Ran::Unknown);
            }
            Err(HopError::NotRun(reason)) => {
                last = Some(response::refuse(&plane.counters, reason, Ran::NotRun));
            }
        }
    }
    match last {
        Some(response) => response,
        // Dispatching yields the reason why there is no backend server.
        None => dispatch(plane, &call, parts, payload).await,
    }
}

/// Returns whether a node refused a call because it is draining; the next in rank takes over.
fn is_draining_refusal(response: &Response<Body>) -> bool {
    let reason = Reason::Refused(Refusal::Draining);
    response::is_not_run(response) && response::has_reason(response, reason)
}

/// Forwards a call to the node that holds its key.
async fn forward(
    plane: &Plane,
    call: &Call,
    endpoint: &Endpoint,
    parts: &Parts,
    body: Body,
) -> Result<Response<Body>, HopError> {
    let mut parts = parts.clone();
    super::header::strip_connection_headers(&mut parts.headers);
    parts.uri = target(call, &parts);
    let left = call.deadline.since(plane.clock.now());
    let outgoing = HopRequest {
        role: Role::KeyHolder,
        request: Request::from_parts(parts, body),
        deadline: Instant::now() + left,
        timeout: left,
    };
    let response = plane
        .peers
        .send(endpoint.hop, &plane.secrets, outgoing)
        .await?;
    let response = response.map(|body| body.map_err(Fault::from).boxed_unsync());
    if response::has_reason(&response, Reason::Unauthenticated) {
        return Err(HopError::NotRun(Reason::Unreachable));
    }
    Ok(response)
}

/// Holds the key of a call, and runs the call if it is the first with this key.
pub async fn run_as_holder(
    plane: &Arc<Plane>,
    call: Call,
    parts: Parts,
    payload: Payload,
) -> Response<Body> {
    let id = key::id(
        &call.service,
        call.idempotency_key.as_deref().unwrap_or_default(),
    );
    let fingerprint = fingerprint(&parts, &payload);
    let refuse = |reason, ran| response::refuse(&plane.counters, reason, ran);
    match plane.keys.start(plane.clock.now(), &id, fingerprint) {
        Start::Run => {}
        Start::InProgress => return refuse(Reason::KeyInProgress, Ran::Unknown),
        Start::Reused => return refuse(Reason::KeyReused, Ran::NotRun),
        Start::Full => return refuse(Reason::KeysFull, Ran::NotRun),
        Start::Ended(outcome) => return replay(plane, &outcome),
    }
    let running_key = RunningKey {
        plane: plane.clone(),
        replica_holder: holders(plane, &call, &id)
            .into_iter()
            .find(|endpoint| endpoint.host != plane.host),
        service: call.service.clone(),
        key: call.idempotency_key.clone().unwrap_or_default(),
        id,
        fingerprint,
        is_ended: false,
    };
    let (sender, receiver) = oneshot::channel();
    // A separate task keeps running when the caller disconnects, so that a repeat gets the outcome.
    tokio::spawn(async move {
        // The caller may have disconnected.
        let _ = sender.send(run(running_key, call, parts, payload).await);
    });
    receiver
        .await
        .unwrap_or_else(|_| response::refuse(&plane.counters, Reason::Reset, Ran::Unknown))
}

/// Hashes the method, path, query and kept body, by which repeats of a request are recognized. A
/// streamed body is not part of the hash.
fn fingerprint(parts: &Parts, payload: &Payload) -> u64 {
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let body = match payload {
        Payload::Kept(bytes) => xxhash_rust::xxh3::xxh3_64(bytes),
        Payload::Streamed { .. } => 0,
    };
    name::hash(&format!("{} {path} {body}", parts.method))
}

/// Replays the first outcome in response to a repeat.
fn replay(plane: &Plane, outcome: &Outcome) -> Response<Body> {
    let Some(body) = &outcome.body else {
        return response::refuse(&plane.counters, Reason::KeyResponseNotKept, Ran::Unknown);
    };
    plane.counters.increment(Counter::ReplayedFromKey);
    let mut response = Response::new(body::full(body.clone()));
    *response.status_mut() = outcome.status;
    *response.headers_mut() = outcome.headers.clone();
    response
        .headers_mut()
        .insert(REPLAYED, HeaderValue::from_static("true"));
    response
}

/// A key whose call is running on this node. If it is dropped before the call ended, an unknown
/// outcome is stored.
struct RunningKey {
    /// Plane of the node.
    plane: Arc<Plane>,
    /// Other node that holds the key; `None` if the key is held on this node only.
    replica_holder: Option<Endpoint>,
    /// Service that the call is addressed to.
    service: String,
    /// Idempotency key as the caller sent it.
    key: String,
    /// Identifier of the key in the store.
    id: Name,
    /// Hash of the request that the key belongs to.
    fingerprint: u64,
    /// Whether the end of the call was already stored.
    is_ended: bool,
}

impl Drop for RunningKey {
    fn drop(&mut self) {
        if !self.is_ended {
            let refusal = response::refuse(&self.plane.counters, Reason::Reset, Ran::Unknown);
            let outcome = Outcome {
                status: refusal.status(),
                headers: refusal.headers().clone(),
                body: Some(Bytes::new()),
            };
            let now = self.plane.clock.now();
            self.plane.keys.end(now, &self.id, outcome);
        }
    }
}

/// Runs the first call with a key and stores its outcome.
async fn run(
    mut running_key: RunningKey,
    call: Call,
    parts: Parts,
    payload: Payload,
) -> Response<Body> {
    let plane = running_key.plane.clone();
    match running_key
        .replicate(State::Running, no_outcome(), Bytes::new())
        .await
    {
        Replication::Replicated => {}
        Replication::LocalOnly => running_key.replica_holder = None,
        Replication::Conflict => {
            running_key.is_ended = true;
            plane.keys.forget(plane.clock.now(), &running_key.id);
            return response::refuse(&plane.counters, Reason::KeyInProgress, Ran::Unknown);
        }
    }
    let mut response = dispatch(&plane, &call, parts, payload).await;
    response.headers_mut().remove(LOAD);
    response.headers_mut().remove(REPORT);
    running_key.is_ended = true;
    if response::is_not_run(&response) {
        plane.keys.forget(plane.clock.now(), &running_key.id);
        running_key
            .replicate(State::NotRun, no_outcome(), Bytes::new())
            .await;
        return response;
    }
    let (head, body) = response.into_parts();
    let reservation = plane.kept_memory.reservation();
    let buffered = Replayed::buffer(body, plane.limits.key_body_bytes, reservation);
    let (body, kept) = match buffered.await {
        Ok(read) => read,
        Err(_) => {
            let refusal = response::refuse(&plane.counters, Reason::Broken, Ran::Unknown);
            let nothing = Some(Bytes::new());
            running_key
                .end(refusal.status(), refusal.headers(), nothing)
                .await;
            return refusal;
        }
    };
    // A copy is stored, as the memory of the body is only reserved until the caller has it.
    let kept = kept.map(|kept| Bytes::copy_from_slice(&kept));
    // The outcome is stored on both nodes before the caller receives it.
    running_key.end(head.status, &head.headers, kept).await;
    Response::from_parts(head, body)
}

/// Result of replicating a key to the other holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Replication {
    /// Both nodes hold the key.
    Replicated,
    /// The key could not be replicated; only this node holds it.
    LocalOnly,
    /// The other node already holds the key for a call that is running or has ended.
    Conflict,
}

/// Placeholder for a call without an outcome.
fn no_outcome() -> Response<()> {
    Response::new(())
}

/// State of a key as replicated between nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The call is running.
    Running,
    /// The call was not run; the key is removed.
    NotRun,
    /// The call ended and its response is kept.
    Ended,
    /// The call ended and its response was too large to keep.
    NotKept,
}

impl State {
    /// Every state.
    const ALL: [Self; 4] = [Self::Running, Self::NotRun, Self::Ended, Self::NotKept];

    /// Returns the header value.
    const fn as_str(self) -> &'static str {
        match self {
            Self::Running => "running",
            Self::NotRun => "not-run",
            Self::Ended => "ended",
            Self::NotKept => "not-kept",
        }
    }

    /// Parses the state from the headers of a request.
    fn parse(headers: &HeaderMap) -> Option<Self> {
        let value = headers.get(KEY_STATE)?.to_str().ok()?;
        Self::ALL.into_iter().find(|state| state.as_str() == value)
    }
}

impl RunningKey {
    /// Stores the outcome on this node and replicates it.
    async fn end(self, status: StatusCode, headers: &HeaderMap, kept: Option<Bytes>) {
        let outcome = Outcome {
            status,
            headers: headers.clone(),
            body: kept.clone(),
        };
        let now = self.plane.clock.now();
        self.plane.keys.end(now, &self.id, outcome);
        let mut replica = Response::new(());
        *replica.status_mut() = status;
        *replica.headers_mut() = headers.clone();
        let state = match kept {
            Some(_) => State::Ended,
            None => State::NotKept,
        };
        self.replicate(state, replica, kept.unwrap_or_default())
            .await;
    }

    /// Replicates the state of the key to the other holder, if there is one.
    async fn replicate(&self, state: State, outcome: Response<()>, body: Bytes) -> Replication {
        let Some(replica_holder) = &self.replica_holder else {
            return Replication::LocalOnly;
        };
        let request = replica::request(self, state, &outcome, body);
        let outgoing = HopRequest {
            role: Role::KeyReplica,
            request,
            deadline: Instant::now() + REPLICATION_TIMEOUT,
            timeout: REPLICATION_TIMEOUT,
        };
        let plane = &self.plane;
        let sent = plane
            .peers
            .send(replica_holder.hop, &plane.secrets, outgoing)
            .await;
        match sent.map(|response| response.status()) {
            Ok(status) if status.is_success() => Replication::Replicated,
            Ok(StatusCode::CONFLICT) => Replication::Conflict,
            Ok(_) | Err(_) => {
                plane.counters.increment(Counter::KeysNotReplicated);
                Replication::LocalOnly
            }
        }
    }
}

/// Stores the replica of a key that another node holds.
pub async fn store_replica(plane: &Plane, parts: Parts, body: Body) -> Response<Body> {
    match replica::store(plane, parts, body).await {
        Some(ReplicaOutcome::Stored) => response::empty(StatusCode::NO_CONTENT),
        Some(ReplicaOutcome::AlreadyHeld) => {
            response::refuse(&plane.counters, Reason::KeyInProgress, Ran::NotRun)
        }
        None => response::refuse(&plane.counters, Reason::BadRequest, Ran::NotRun),
    }
}

/// Result of storing a replica.
enum ReplicaOutcome {
    /// The replica is stored.
    Stored,
    /// This node already holds the key, so the other node must not run its call.
    AlreadyHeld,
}

/// Transfer of a key between two nodes: a `PUT` whose headers describe the key and whose body is
/// the body of the outcome.
mod replica {
    use super::*;
    use crate::proxy::header::{IDEMPOTENCY_KEY, KEY_FINGERPRINT, KEY_STATUS, mesh_number};

    /// Creates the request that replicates a key.
    pub(super) fn request(
        running_key: &RunningKey,
        state: State,
        outcome: &Response<()>,
        body: Bytes,
    ) -> Request<Body> {
        let mut request = Request::new(body::full(body));
        *request.method_mut() = Method::PUT;
        *request.uri_mut() = http::Uri::builder()
            .scheme("http")
            .authority(running_key.service.as_str())
            .path_and_query("/")
            .build()
            .unwrap_or_default();
        let headers = request.headers_mut();
        *headers = outcome.headers().clone();
        headers.remove(http::header::CONTENT_LENGTH);
        headers.remove(http::header::TRANSFER_ENCODING);
        if let Ok(key) = HeaderValue::from_str(&running_key.key) {
            headers.insert(IDEMPOTENCY_KEY, key);
        }
        headers.insert(KEY_STATE, HeaderValue::from_static(state.as_str()));
        headers.insert(KEY_FINGERPRINT, HeaderValue::from(running_key.fingerprint));
        headers.insert(KEY_STATUS, HeaderValue::from(outcome.status().as_u16()));
        request
    }

    /// Applies the state of a key from another node; `None` when the request is malformed.
    pub(super) async fn store(plane: &Plane, parts: Parts, body: Body) -> Option<ReplicaOutcome> {
        let now = plane.clock.now();
        let call = Call::parse(&parts, now, plane.limits.call_timeout).ok()?;
        let id = key::id(&call.service, &call.idempotency_key?);
        let mut headers = parts.headers;
        let state = State::parse(&headers)?;
        let fingerprint = mesh_number(&headers, KEY_FINGERPRINT)?;
        let status = u16::try_from(mesh_number(&headers, KEY_STATUS)?).ok()?;
        let status = StatusCode::from_u16(status).ok()?;
        let body = body.collect().await.ok()?.to_bytes();
        for name in [KEY_STATE, KEY_FINGERPRINT, KEY_STATUS, IDEMPOTENCY_KEY] {
            headers.remove(name);
        }
        for name in [super::super::header::SECRET, super::super::header::ROLE] {
            headers.remove(name);
        }
        headers.remove(super::super::header::DEADLINE);
        match state {
            State::NotRun => {
                plane.keys.forget(now, &id);
                return Some(ReplicaOutcome::Stored);
            }
            State::Running | State::Ended | State::NotKept => {}
        }
        let start = plane.keys.start(now, &id, fingerprint);
        if state == State::Running && !matches!(start, Start::Run | Start::Full) {
            return Some(ReplicaOutcome::AlreadyHeld);
        }
        if state != State::Running {
            let outcome = Outcome {
                status,
                headers,
                body: (state == State::Ended).then_some(body),
            };
            plane.keys.end(now, &id, outcome);
        }
        Some(ReplicaOutcome::Stored)
    }
}
