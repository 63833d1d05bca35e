//! Headers of the path of a call and what they say.

use std::time::Duration;

use http::header::{self, HeaderMap, HeaderName};
use http::request::Parts;
use http::{HeaderValue, Method, Uri};

use crate::admission::gate::{DEFAULT_URGENCY, Offer, Urgency};
use crate::clock::Time;
use crate::config::policy::{Kind, Policy};

/// Milliseconds that remain until the caller needs the answer.
pub const DEADLINE: &str = "x-buckthorn-deadline-ms";
/// Attempts that remain to the layer that receives the call.
pub const ATTEMPTS: &str = "x-buckthorn-attempts";
/// Why the call was refused.
pub const REASON: &str = "x-buckthorn-reason";
/// Whether a refused call ran: `not-run` or `unknown`.
pub const RAN: &str = "x-buckthorn-ran";
/// Load of the backend server in thousandths of its limit.
pub const LOAD: &str = "x-buckthorn-load";
/// Secret shared by the nodes.
pub const SECRET: &str = "x-buckthorn-secret";
/// Part that the receiving node is asked to play.
pub const ROLE: &str = "x-buckthorn-part";
/// Says that an answer is the first outcome of an idempotency key.
pub const REPLAYED: &str = "x-buckthorn-replayed";
/// State of an idempotency key that one node tells another.
pub const KEY_STATE: &str = "x-buckthorn-key-state";
/// Hash of the request that an idempotency key belongs to.
pub const KEY_FINGERPRINT: &str = "x-buckthorn-key-fingerprint";
/// Status of an idempotency key's outcome.
pub const KEY_STATUS: &str = "x-buckthorn-key-status";
/// Urgency that a policy's route gives a call, from ingress to owner.
pub const URGENCY: &str = "x-buckthorn-urgency";
/// Longest wait at an owner, in milliseconds, from ingress to owner.
pub const MAX_WAIT: &str = "x-buckthorn-patience-ms";
/// Host that the caller named, where it differs from the service's name.
pub const CALLER_HOST: &str = "x-buckthorn-host";
/// Priority of a call (RFC 9218).
pub const PRIORITY: &str = "priority";
/// Identifier of a request, where a caller gives it one.
pub const REQUEST_ID: &str = "x-request-id";
/// Key under which a call runs at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Prefix of every header that is the system's own.
pub const PREFIX: &str = "x-buckthorn-";

/// Urgency of the calls that go last (RFC 9218, section 4.1).
const LOWEST_URGENCY: Urgency = 7;

/// Longest accepted idempotency key in bytes.
pub const MAX_KEY_BYTES: usize = 255;

/// Headers that concern one connection only (RFC 9110, section 7.6.1).
const CONNECTION_HEADERS: [HeaderName; 6] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Part that a node is asked to play for a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Run the call on the own backend server.
    Owner,
    /// Keep the call's idempotency key and send the call on.
    KeyHolder,
    /// Take note of a key that another node holds.
    KeyReplica,
    /// Show that the connection is alive.
    Probe,
}

impl Role {
    /// Word in the header.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Owner => "owner",
            Self::KeyHolder => "key",
            Self::KeyReplica => "note",
            Self::Probe => "probe",
        }
    }

    /// Part named by a request.
    pub fn parse(headers: &HeaderMap) -> Option<Self> {
        match headers.get(ROLE)?.as_bytes() {
            b"owner" => Some(Self::Owner),
            b"key" => Some(Self::KeyHolder),
            b"note" => Some(Self::KeyReplica),
            b"probe" => Some(Self::Probe),
            _ => None,
        }
    }
}

/// What the head of a request says about how to carry it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Service.
    pub service: String,
    /// Path.
    pub path: String,
    /// Whether running the call twice equals running it once.
    pub is_idempotent: bool,
    /// Priority.
    pub urgency: Urgency,
    /// Time by which the head of the answer is needed.
    pub deadline: Time,
    /// Whether the caller named the deadline.
    pub has_deadline: bool,
    /// Attempts that an outer layer leaves, `None` when this is the outermost layer.
    pub attempts: Option<u32>,
    /// Idempotency key.
    pub idempotency_key: Option<String>,
    /// Backend servers that the call may reach, where a policy's route says so.
    pub max_backend_attempts: Option<u32>,
    /// When the call came.
    pub received_at: Time,
    /// Longest time that it may wait at owners, where its latency target says so.
    pub max_wait: Option<Duration>,
}

/// Part of a route's latency target that a call may wait at owners: what is left is about the time
/// that a backend server takes. A refusal that comes later helps the caller less.
const MAX_WAIT_FRACTION: f64 = 0.5;

/// Why a call cannot be routed by a policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteError {
    /// The request is not one that can be carried.
    Malformed(&'static str),
    /// No route matches.
    NoRoute,
}

impl Call {
    /// Routes a caller's request by the operators' policy.
    ///
    /// # Errors
    ///
    /// Says why it cannot be routed.
    pub fn from_policy(
        parts: &Parts,
        policy: &Policy,
        deadline_ms: &HeaderName,
        now: Time,
        call_timeout: Duration,
    ) -> Result<Self, RouteError> {
        let host =
            service(&parts.uri, &parts.headers).ok_or(RouteError::Malformed("no host is named"))?;
        if parts.method == Method::CONNECT || parts.headers.contains_key(header::UPGRADE) {
            let what = "tunnels and upgrades are not carried";
            return Err(RouteError::Malformed(what));
        }
        let route = policy
            .route(&host, parts.uri.path())
            .ok_or(RouteError::NoRoute)?;
        let value = parts.headers.get(deadline_ms);
        let remaining = value.map(|value| value.to_str().ok().and_then(parse_whole));
        let remaining = match remaining {
            None => None,
            Some(Some(millis)) => Some(Duration::from_millis(millis)),
            Some(None) => return Err(RouteError::Malformed("the deadline is not a whole number")),
        };
        let wait = remaining.unwrap_or(call_timeout).min(route.timeout);
        Ok(Self {
            service: route.next_service().to_string(),
            path: parts.uri.path().to_owned(),
            is_idempotent: route.kind == Kind::Idempotent,
            urgency: route.urgency,
            deadline: now + wait,
            has_deadline: remaining.is_some(),
            attempts: None,
            idempotency_key: None,
            max_backend_attempts: Some(route.attempts.max(1)),
            received_at: now,
            max_wait: Some(route.latency_target.min(wait).mul_f64(MAX_WAIT_FRACTION)),
        })
    }

    /// Reads the head of a request.
    ///
    /// # Errors
    ///
    /// Names what is malformed.
    pub fn parse(parts: &Parts, now: Time, call_timeout: Duration) -> Result<Self, &'static str> {
        let service = service(&parts.uri, &parts.headers).ok_or("no host is named")?;
        if parts.method == Method::CONNECT || parts.headers.contains_key(header::UPGRADE) {
            return Err("tunnels and upgrades are not carried");
        }
        let remaining = parse_number(&parts.headers, DEADLINE)?;
        let mut keys = parts.headers.get_all(IDEMPOTENCY_KEY).iter();
        let key = match (keys.next(), keys.next()) {
            (None, _) => None,
            (Some(value), None) => {
                Some(parse_key(value).ok_or("the idempotency key is malformed")?)
            }
            (Some(_), Some(_)) => return Err("more than one idempotency key is named"),
        };
        let wait = remaining.map_or(call_timeout, Duration::from_millis);
        Ok(Self {
            service,
            path: parts.uri.path().to_owned(),
            is_idempotent: is_idempotent(&parts.method),
            urgency: match parse_number(&parts.headers, URGENCY)? {
                Some(urgency) => urgency.min(u64::from(LOWEST_URGENCY)) as Urgency,
                None => urgency(&parts.headers),
            },
            deadline: now + wait,
            has_deadline: remaining.is_some(),
            attempts: parse_number(&parts.headers, ATTEMPTS)?
                .map(|n| n.min(u64::from(u32::MAX)) as u32),
            idempotency_key: key,
            max_backend_attempts: None,
            received_at: now,
            max_wait: parse_number(&parts.headers, MAX_WAIT)?.map(Duration::from_millis),
        })
    }

    /// Whether the idempotency key counts: an idempotent call needs none.
    pub const fn is_keyed(&self) -> bool {
        self.idempotency_key.is_some() && !self.is_idempotent
    }

    /// Time that the call may still wait at owners.
    pub fn remaining_wait(&self, now: Time) -> Option<Duration> {
        let max_wait = self.max_wait?;
        Some(max_wait.saturating_sub(now.since(self.received_at)))
    }

    /// What the owner's admission is told.
    pub fn offer(&self) -> Offer {
        Offer {
            urgency: self.urgency,
            deadline: Some(self.deadline),
            max_wait: self.max_wait,
        }
    }
}

/// Whether a method is idempotent here: GET, HEAD, PUT, DELETE and OPTIONS are.
pub fn is_idempotent(method: &Method) -> bool {
    matches!(
        *method,
        Method::GET | Method::HEAD | Method::PUT | Method::DELETE | Method::OPTIONS
    )
}

/// Urgency by RFC 9218, section 4.1; the default when absent or malformed.
pub fn urgency(headers: &HeaderMap) -> Urgency {
    // Of several members with one key the last counts (RFC 8941, section 3.2).
    let last = headers
        .get_all(PRIORITY)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|item| item.trim().strip_prefix("u="))
        .next_back();
    last.and_then(|value| parse_whole(value.split(';').next()?.trim_end()))
        .and_then(|number| Urgency::try_from(number).ok())
        .filter(|urgency| *urgency <= LOWEST_URGENCY)
        .unwrap_or(DEFAULT_URGENCY)
}

/// Service named by the target or the `Host` header, without a port.
fn service(uri: &Uri, headers: &HeaderMap) -> Option<String> {
    let host = match uri.host() {
        Some(host) => host,
        None => headers.get(header::HOST)?.to_str().ok()?,
    };
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    (!name.is_empty()).then(|| name.to_ascii_lowercase())
}

/// Whole number in a header.
fn parse_number(headers: &HeaderMap, name: &str) -> Result<Option<u64>, &'static str> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let parsed = value.to_str().ok().and_then(parse_whole);
    parsed.map(Some).ok_or("a header is not a whole number")
}

/// Whole number written in digits only, as no header's grammar allows a sign.
fn parse_whole(text: &str) -> Option<u64> {
    let is_digits = text.bytes().all(|byte| byte.is_ascii_digit());
    is_digits.then(|| text.parse().ok()).flatten()
}

/// Whole number in a header of the system's own, `None` when absent or malformed.
pub fn mesh_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    parse_number(headers, name).ok().flatten()
}

/// Idempotency key, bounded in length.
fn parse_key(value: &HeaderValue) -> Option<String> {
    let key = value.to_str().ok()?;
    (!key.is_empty() && key.len() <= MAX_KEY_BYTES).then(|| key.to_owned())
}

/// Removes headers that concern one connection only.
pub fn strip_connection_headers(headers: &mut HeaderMap) {
    // Headers named by `Connection` concern that connection only, too.
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in &CONNECTION_HEADERS {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}

/// Removes the system's own headers.
pub fn strip_mesh_headers(headers: &mut HeaderMap) {
    let names: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(PREFIX))
        .cloned()
        .collect();
    for name in names {
        headers.remove(name);
    }
}

/// Length of the body that the head declares, or an error when it is malformed.
///
/// # Errors
///
/// Fails when the header is not one whole number.
pub fn declared_length(headers: &HeaderMap) -> Result<Option<u64>, &'static str> {
    parse_number(headers, header::CONTENT_LENGTH.as_str())
}
