//! Responses that a node generates itself: a status, a machine-readable reason, and whether the
//! call was run.

use std::time::Duration;

use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::BodyExt;
use serde::Serialize;

use super::body::{self, Body};
use super::contract::RetryAfter;
use super::header::{RAN, REASON};
use super::overload::Advice;
use crate::admission::gate::Refusal;
use crate::counter::{Counter, Counters};

/// Whether a call that failed or was refused has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ran {
    /// No byte of the request was sent to a backend server.
    NotRun,
    /// The call may have run.
    Unknown,
}

impl Ran {
    /// Returns the header value.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// Why a node responds in place of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The call was not admitted, for the given reason.
    Refused(Refusal),
    /// No route matches the service and path of the call.
    NoRoute,
    /// The node has no configuration yet.
    NotReady,
    /// The request head is malformed.
    BadRequest,
    /// The request head is too large.
    HeaderSize,
    /// The request head did not arrive in time.
    HeaderTimeout,
    /// The request body is too large.
    BodySize,
    /// The request body stalled.
    BodyTimeout,
    /// The request body ended before its declared length.
    BodyShort,
    /// The limit on connections is reached.
    Connections,
    /// The peer did not present the shared secret.
    Unauthenticated,
    /// The call needs the key of a tenant, and has none that is known.
    UnknownKey,
    /// The call needs the key of a tenant, and the policy may be too old to tell which are known.
    Unconfirmed,
    /// The first call with the idempotency key is still in progress.
    KeyInProgress,
    /// The idempotency key was used for a different request.
    KeyReused,
    /// The first call with the idempotency key ended, but its response was not kept.
    KeyResponseNotKept,
    /// The store of idempotency keys is full.
    KeysFull,
    /// The request has crashed backend servers.
    Poison,
    /// The backend server refused to run the call.
    BackendRefused,
    /// The node or the backend server could not be reached, or did not accept the call.
    Unreachable,
    /// The connection broke before the response arrived.
    Reset,
    /// No response arrived before the deadline.
    Timeout,
    /// The response violated its declared length or framing, or was invalid under the contract.
    Broken,
}

impl Reason {
    /// Returns the header value.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Refused(refusal) => refusal.reason(),
            Self::NoRoute => "no-route",
            Self::NotReady => "not-ready",
            Self::BadRequest => "bad-request",
            Self::HeaderSize => "header-size",
            Self::HeaderTimeout => "header-timeout",
            Self::BodySize => "body-size",
            Self::BodyTimeout => "body-timeout",
            Self::BodyShort => "body-short",
            Self::Connections => "connections",
            Self::Unauthenticated => "unauthenticated",
            Self::UnknownKey => "unknown-key",
            Self::Unconfirmed => "policy-unconfirmed",
            Self::KeyInProgress => "key-in-progress",
            Self::KeyReused => "key-reused",
            Self::KeyResponseNotKept => "key-answer-not-kept",
            Self::KeysFull => "keys-full",
            Self::Poison => "crashes-backend",
            Self::BackendRefused => "backend-refused",
            Self::Unreachable => "unreachable",
            Self::Reset => "reset",
            Self::Timeout => "timeout",
            Self::Broken => "broken-answer",
        }
    }

    /// Returns the HTTP status of the refusal.
    pub const fn status(self) -> StatusCode {
        match self {
            Self::Refused(Refusal::Deadline) | Self::Timeout => StatusCode::GATEWAY_TIMEOUT,
            Self::Refused(_)
            | Self::NotReady
            | Self::Unconfirmed
            | Self::Connections
            | Self::KeysFull
            | Self::Poison
            | Self::BackendRefused => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::BadRequest | Self::BodyShort => StatusCode::BAD_REQUEST,
            Self::HeaderSize => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::HeaderTimeout | Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::BodySize => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Unauthenticated | Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::KeyInProgress | Self::KeyResponseNotKept => StatusCode::CONFLICT,
            Self::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            Self::Unreachable | Self::Reset | Self::Broken => StatusCode::BAD_GATEWAY,
        }
    }

    /// Returns the counter of the refusal, `None` when another counter covers it.
    pub const fn counter(self) -> Option<Counter> {
        match self {
            Self::Refused(refusal) => Some(refusal.counter()),
            Self::NoRoute => Some(Counter::RefusedNoRoute),
            Self::NotReady => Some(Counter::RefusedNotReady),
            Self::BadRequest | Self::BodyShort => Some(Counter::RefusedBadRequest),
            Self::HeaderSize => Some(Counter::RefusedHeaderSize),
            Self::HeaderTimeout => Some(Counter::RefusedHeaderTimeout),
            Self::BodySize => Some(Counter::RefusedBodySize),
            Self::BodyTimeout => Some(Counter::RefusedBodyTimeout),
            Self::Connections => Some(Counter::RefusedConnections),
            Self::Unauthenticated => Some(Counter::RefusedUnauthenticated),
            Self::UnknownKey => Some(Counter::RefusedUnknownKey),
            Self::Unconfirmed => Some(Counter::RefusedUnconfirmed),
            Self::KeyInProgress => Some(Counter::RefusedKeyInProgress),
            Self::KeyReused => Some(Counter::RefusedKeyReused),
            Self::KeysFull => Some(Counter::RefusedKeysFull),
            Self::Poison => Some(Counter::RefusedPoison),
            Self::KeyResponseNotKept => Some(Counter::RefusedKeyResponseNotStored),
            Self::BackendRefused => Some(Counter::RefusedByBackend),
            Self::Unreachable => Some(Counter::RefusedUnreachable),
            Self::Reset | Self::Timeout | Self::Broken => None,
        }
    }
}

/// JSON body of a refusal.
#[derive(Serialize)]
struct RefusalBody<'a> {
    /// Machine-readable reason.
    reason: &'a str,
    /// Whether the call was run, as in the header.
    ran: &'a str,
    /// Human-readable detail, omitted when empty.
    #[serde(skip_serializing_if = "str::is_empty")]
    detail: &'a str,
}

/// Creates a refusal and counts it.
pub fn refuse(counters: &Counters, reason: Reason, ran: Ran) -> Response<Body> {
    refuse_with(counters, reason, ran, "")
}

/// Creates a refusal with a human-readable detail and counts it.
pub fn refuse_with(counters: &Counters, reason: Reason, ran: Ran, detail: &str) -> Response<Body> {
    if let Some(counter) = reason.counter() {
        counters.increment(counter);
    }
    let text = text(reason, ran, detail);
    let mut response = Response::new(body::full(text));
    *response.status_mut() = reason.status();
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    headers.insert(REASON, HeaderValue::from_static(reason.as_str()));
    headers.insert(RAN, HeaderValue::from_static(ran.as_str()));
    response
}

/// Returns a refusal as raw bytes, for a connection that the HTTP library no longer handles.
pub fn raw(reason: Reason, ran: Ran) -> String {
    let text = text(reason, ran, "");
    format!(
        "HTTP/1.1 {}\r\ncontent-type: application/json\r\n{REASON}: {}\r\n{RAN}: {}\r\n\
         connection: close\r\ncontent-length: {}\r\n\r\n{text}",
        reason.status(),
        reason.as_str(),
        ran.as_str(),
        text.len(),
    )
}

/// Serializes the JSON body of a refusal.
fn text(reason: Reason, ran: Ran, detail: &str) -> String {
    let refusal = RefusalBody {
        reason: reason.as_str(),
        ran: ran.as_str(),
        detail,
    };
    serde_json::to_string(&refusal).unwrap_or_default()
}

/// Returns whether a response is a node's refusal rather than a backend server's response.
pub fn is_refusal(response: &Response<Body>) -> bool {
    response.headers().contains_key(REASON)
}

/// Returns whether a response is a refusal with the given reason.
pub fn has_reason(response: &Response<Body>, reason: Reason) -> bool {
    let value = response.headers().get(REASON);
    value.is_some_and(|value| value.as_bytes() == reason.as_str().as_bytes())
}

/// Returns whether a refusal states that the call was not run.
pub fn is_not_run(response: &Response<Body>) -> bool {
    response
        .headers()
        .get(RAN)
        .is_some_and(|ran| ran.as_bytes() == Ran::NotRun.as_str().as_bytes())
}

/// Returns whether a call may end with a status: one of the five classes of RFC 9110, section 15, and
/// not interim. No request is sent with an `Upgrade` header that a status of 101 could answer.
pub fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Creates a response without a body.
pub fn empty(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(body::empty());
    *response.status_mut() = status;
    response
}

/// Boxes the body of a response.
pub fn boxed<B>(response: Response<B>) -> Response<Body>
where
    B: http_body::Body<Data = bytes::Bytes, Error = body::Fault> + Send + 'static,
{
    response.map(BodyExt::boxed_unsync)
}

/// Returns the header value of a time in seconds, with milliseconds.
fn seconds(time: Duration) -> Option<HeaderValue> {
    HeaderValue::try_from(format!("{:.3}", time.as_secs_f64())).ok()
}

/// Rewrites a refusal for callers under a contract: the status alone says whether the call was run, and
/// `Retry-After` says when to retry.
pub fn rewrite_for_contract(response: &mut Response<Body>, retry_after: &RetryAfter) {
    if !is_refusal(response) {
        return;
    }
    let is_not_run = is_not_run(response);
    let status = response.status_mut();
    if !is_not_run {
        // Callers read this status as "not run".
        if *status == StatusCode::REQUEST_TIMEOUT {
            *status = StatusCode::GATEWAY_TIMEOUT;
        }
        return;
    }
    if matches!(
        *status,
        StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT
    ) {
        *status = StatusCode::SERVICE_UNAVAILABLE;
    }
    if *status == StatusCode::SERVICE_UNAVAILABLE {
        let can_retry_elsewhere = [Reason::BackendRefused, Reason::Unreachable]
            .into_iter()
            .any(|reason| has_reason(response, reason));
        let advice = response.extensions().get::<Advice>().copied();
        let delay = if has_reason(response, Reason::Poison) {
            Some(retry_after.poison.clone())
        } else if can_retry_elsewhere {
            Some(retry_after.other_backend.clone())
        } else if let Some(Advice(delay)) = advice {
            delay.and_then(seconds)
        } else {
            Some(retry_after.load.clone())
        };
        if let Some(delay) = delay {
            let headers = response.headers_mut();
            headers.insert(header::RETRY_AFTER, delay);
        }
    }
}
