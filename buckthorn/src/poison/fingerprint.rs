//! Identity of a request beyond a single call: a hash of its method, host, path with query, caller
//! and body.
//!
//! A body that is forwarded while it is read is known by its beginning only. So that the identity
//! doesn't depend on how a body is sent, no more than its beginning counts for any body.

use std::fmt;

use http::HeaderValue;
use http::request::Parts;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3Default, xxh3_64};

/// Bytes of a body that count.
pub const BODY_BYTES: usize = 4 * 1024;

/// Identity of requests that are the same but for their identifier; collides with probability 2^-64.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Fingerprint of a request to a host by a caller. `body` is the beginning of its body.
    pub fn new(parts: &Parts, host: &str, caller: &str, body: &[u8]) -> Self {
        let mut hasher = Xxh3Default::new();
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        for field in [parts.method.as_str(), host, path, caller] {
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field.as_bytes());
        }
        hasher.update(&body[..body.len().min(BODY_BYTES)]);
        Self(hasher.digest())
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A call that may be one of a poison request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Fingerprint of the request.
    #[serde(rename = "f")]
    pub fingerprint: Fingerprint,
    /// Hash of the identifier of the call, which its attempts at several backend servers share.
    #[serde(rename = "c")]
    pub call: u64,
}

impl Suspect {
    /// Creates a suspect from a request's fingerprint and identifier.
    pub fn new(fingerprint: Fingerprint, request_id: &str) -> Self {
        Self {
            fingerprint,
            call: xxh3_64(request_id.as_bytes()),
        }
    }

    /// Parses the value of a header between nodes.
    pub fn parse(value: &HeaderValue) -> Option<Self> {
        let text = value.to_str().ok().filter(|text| text.len() == 32)?;
        let (fingerprint, call) = text.split_at_checked(16)?;
        Some(Self {
            fingerprint: Fingerprint(u64::from_str_radix(fingerprint, 16).ok()?),
            call: u64::from_str_radix(call, 16).ok()?,
        })
    }

    /// Returns the value of a header between nodes.
    pub fn header_value(&self) -> Option<HeaderValue> {
        let text = format!("{}{:016x}", self.fingerprint, self.call);
        HeaderValue::try_from(text).ok()
    }
}
