//! Contract with callers and backend servers that use a platform's headers instead of those of the
//! mesh.
//!
//! Under a contract, requests are routed by the operators' policy and backend servers sign their
//! responses. A response is valid only if it is signed, complete, and belongs to the request that
//! was sent.

use std::time::Duration;

use anyhow::{Context, ensure};
use http::header::{CONTENT_ENCODING, HOST, HeaderMap, HeaderName};
use http::{HeaderValue, StatusCode};

use super::header::{self, CALLER_HOST, IN_PROGRESS, URGENCY};
use crate::admission::capacity::Told;
use crate::admission::rank::Rank;
use crate::name::Name;

/// Header names that the platform defines.
#[derive(Clone, Debug)]
pub struct Headers {
    /// Identifier of a caller's request.
    pub request_id: HeaderName,
    /// Time until the caller's deadline, in milliseconds.
    pub deadline_ms: HeaderName,
    /// Signature that the backend server adds to its response.
    pub signature: HeaderName,
    /// Marks a backend server's response to a request that it did not run.
    pub not_executed: HeaderName,
    /// Instance that the request is meant for; no other backend server may run it.
    pub expected_instance: HeaderName,
    /// Service on the host where the request originated.
    pub caller_service: HeaderName,
    /// Key of the caller's tenant.
    pub tenant_key: HeaderName,
    /// Name of the caller's tenant.
    pub tenant: HeaderName,
    /// Requests per second that the backend server takes, as long as its responses name a number.
    pub rate_limit: HeaderName,
    /// Marks the responses of a backend server that leaves, with the value `1`.
    pub leaving: HeaderName,
    /// Load of the backend server (see [`Told::parse`]).
    pub server_load: HeaderName,
}

/// Headers and limits that callers and backend servers expect.
#[derive(Clone, Debug)]
pub struct Contract {
    /// Names of the platform's headers.
    pub headers: Headers,
    /// Service on this host, sent as the origin of its callers' requests.
    pub caller_service: Name,
    /// Largest response that is buffered in full before it is relayed, in bytes.
    pub max_buffered_response_bytes: usize,
    /// Values of `Retry-After` in refusals.
    pub retry_after: RetryAfter,
    /// Where identifiers are hierarchical, what separates the identifier of a request from what that
    /// of a call adds to it.
    pub id_separator: Option<char>,
}

/// Values of `Retry-After` in refusals, in seconds.
#[derive(Clone, Debug)]
pub struct RetryAfter {
    /// Used when the load has to decrease first.
    pub load: HeaderValue,
    /// Used when individual backend servers or hosts refused a call that others may accept at once.
    pub other_backend: HeaderValue,
    /// Delay after which a request that has crashed backend servers may be tried again.
    pub poison: HeaderValue,
}

/// Result of validating the head of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Validation {
    /// The backend server ran the request.
    Valid,
    /// The backend server did not run the request.
    NotRun,
    /// Another instance has taken over the address and did not run the request.
    Misdirected,
    /// The response belongs to another request.
    Mismatched,
    /// The response is unsigned, encoded, or has a status that is ambiguous without a mark.
    Invalid,
}

impl Contract {
    /// Returns the identifier of the request that a call with this identifier is made for, if the
    /// identifier tells it.
    pub fn parent_id<'a>(&self, id: &'a str) -> Option<&'a str> {
        let (parent, _) = id.rsplit_once(self.id_separator?)?;
        Some(parent)
    }

    /// Rewrites a caller's headers for the hop.
    pub fn rewrite_for_hop(&self, headers: &mut HeaderMap, rank: Rank) {
        if let Some(host) = headers.get(HOST).cloned() {
            headers.insert(CALLER_HOST, host);
        }
        headers.insert(URGENCY, HeaderValue::from(u16::from(rank.urgency())));
        if rank.is_in_progress() {
            headers.insert(IN_PROGRESS, HeaderValue::from_static("1"));
        }
        if let Ok(service) = HeaderValue::from_str(&self.caller_service) {
            headers.insert(self.headers.caller_service.clone(), service);
        }
    }

    /// Rewrites the headers of a hop to those that the backend server expects.
    pub fn rewrite_for_backend(
        &self,
        headers: &mut HeaderMap,
        left: Duration,
        instance: Option<&Name>,
    ) {
        if let Some(host) = headers.remove(CALLER_HOST) {
            headers.insert(HOST, host);
        }
        header::strip_mesh_headers(headers);
        let millis = HeaderValue::from(left.as_millis() as u64);
        headers.insert(self.headers.deadline_ms.clone(), millis);
        let instance = instance.and_then(|instance| HeaderValue::from_str(instance).ok());
        if let Some(instance) = instance {
            headers.insert(self.headers.expected_instance.clone(), instance);
        }
    }
}

impl Headers {
    /// Returns the requests per second that a backend server names in the head of a response; `None`
    /// without a limit.
    ///
    /// # Errors
    ///
    /// Returns an error if the limit is not a number of requests per second.
    pub fn rate_limit(&self, headers: &HeaderMap) -> anyhow::Result<Option<f64>> {
        headers
            .get(&self.rate_limit)
            .map(|value| parse_rate(value).with_context(|| format!("rate limit {value:?}")))
            .transpose()
    }

    /// Returns the load that a backend server tells in the head of a response, if it does.
    ///
    /// # Errors
    ///
    /// Returns an error if the load is malformed.
    pub fn told_load(&self, headers: &HeaderMap) -> anyhow::Result<Option<Told>> {
        headers
            .get(&self.server_load)
            .map(|value| Told::parse(value.to_str()?).with_context(|| format!("load {value:?}")))
            .transpose()
    }

    /// Returns whether a backend server says in the head of a response that it leaves.
    pub fn is_leaving(&self, headers: &HeaderMap) -> bool {
        headers.get(&self.leaving).is_some_and(|value| value == "1")
    }

    /// Returns whether another request may be sent on the connection of a response. A refusal that
    /// names no request could not be told from a copy of it in place of a later response.
    pub fn allows_reuse(&self, headers: &HeaderMap) -> bool {
        !headers.contains_key(&self.not_executed) || headers.contains_key(&self.request_id)
    }

    /// Validates the head of a response to the request with the given identifier.
    pub fn validate(
        &self,
        request_id: Option<&HeaderValue>,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> Validation {
        let echoed = headers.get(&self.request_id);
        if request_id.is_some() && echoed.is_some() && echoed != request_id {
            return Validation::Mismatched;
        }
        if status == StatusCode::MISDIRECTED_REQUEST {
            return Validation::Misdirected;
        }
        if headers.contains_key(&self.not_executed) {
            return Validation::NotRun;
        }
        let is_signed = headers.contains_key(&self.signature);
        if !is_signed || headers.contains_key(CONTENT_ENCODING) {
            return Validation::Invalid;
        }
        // The caller would read such a status as "not run", but the response is not marked so.
        match status {
            StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT => Validation::Invalid,
            _ => Validation::Valid,
        }
    }
}

/// Parses a number of requests per second.
fn parse_rate(value: &HeaderValue) -> anyhow::Result<f64> {
    let rate: f64 = value.to_str()?.trim().parse()?;
    ensure!(rate.is_finite() && rate >= 0.0, "out of range");
    Ok(rate)
}
