//! Contract with callers and backend servers that speak a platform's headers instead of the
//! mesh's own.
//!
//! Under a contract requests are routed by the operators' policy, backend servers sign their
//! answers, and an answer counts only when it is signed, whole and of the request that was sent.

use std::time::Duration;

use http::header::{CONTENT_ENCODING, HOST, HeaderMap, HeaderName};
use http::{HeaderValue, StatusCode};

use super::header::{self, CALLER_HOST, URGENCY};
use crate::admission::gate::Urgency;
use crate::name::Name;

/// Names of the platform's headers.
#[derive(Clone, Debug)]
pub struct Headers {
    /// Identifier of one request of a caller.
    pub request_id: HeaderName,
    /// Time that the caller waits, in milliseconds.
    pub deadline_ms: HeaderName,
    /// Backend server's signature of its answer.
    pub signature: HeaderName,
    /// Backend server's word that the request was not run.
    pub not_executed: HeaderName,
    /// Backend server that alone may run the request.
    pub expected_instance: HeaderName,
    /// Service on the host where the request began.
    pub caller_service: HeaderName,
}

/// What callers and backend servers expect.
#[derive(Clone, Debug)]
pub struct Contract {
    /// Headers.
    pub headers: Headers,
    /// Service on this host.
    pub caller_service: Name,
    /// Largest answer that is read in full before it is passed on, in bytes.
    pub max_buffered_response_bytes: usize,
    /// When a caller that was refused is asked to come back.
    pub retry_after: RetryAfter,
}

/// When a caller that was refused is asked to come back, in seconds.
#[derive(Clone, Debug)]
pub struct RetryAfter {
    /// When load has to fall first.
    pub load: HeaderValue,
    /// When single backend servers or hosts refused it, and others may take it at once.
    pub other_backend: HeaderValue,
}

/// What an answer's head says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Validation {
    /// The backend server ran the request.
    Valid,
    /// The backend server did not run the request.
    NotRun,
    /// Another instance has the address, which did not run the request.
    Misdirected,
    /// The answer belongs to another request.
    Mismatched,
    /// The answer is not the backend server's.
    Invalid,
}

impl Contract {
    /// Turns a caller's headers into those of a hop.
    pub fn rewrite_for_hop(&self, headers: &mut HeaderMap, urgency: Urgency) {
        if let Some(host) = headers.get(HOST).cloned() {
            headers.insert(CALLER_HOST, host);
        }
        headers.insert(URGENCY, HeaderValue::from(u16::from(urgency)));
        if let Ok(service) = HeaderValue::from_str(&self.caller_service) {
            headers.insert(self.headers.caller_service.clone(), service);
        }
    }

    /// Turns the headers of a hop into those that the backend server expects.
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
    /// Judges the head of an answer to the request with the given identifier.
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
        // An unmarked answer with a status that stands for "not run" would be read as that.
        match status {
            StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT => Validation::Invalid,
            _ => Validation::Valid,
        }
    }
}
