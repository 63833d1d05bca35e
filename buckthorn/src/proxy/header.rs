//! Headers of the data plane and how they are parsed.

use std::time::Duration;

use http::header::{self, HeaderMap, HeaderName};
use http::request::Parts;
use http::{HeaderValue, Method, Uri};

use crate::admission::gate::{DEFAULT_URGENCY, Offer, Urgency};
use crate::admission::rank::Rank;
use crate::clock::Time;
use crate::config::policy::{Kind, Policy};
use crate::poison::fingerprint::Suspect;
use crate::routing::choice::{BULK_SPILL_LOAD, FULL_LOAD};

/// Milliseconds until the deadline of the call.
pub const DEADLINE: &str = "x-buckthorn-deadline-ms";
/// Attempts that the receiving layer may still make.
pub const ATTEMPTS: &str = "x-buckthorn-attempts";
/// Reason why the call was refused.
pub const REASON: &str = "x-buckthorn-reason";
/// Whether a refused call was run: `not-run` or `unknown`.
pub const RAN: &str = "x-buckthorn-ran";
/// Load of the backend server, in thousandths of its limit.
pub const LOAD: &str = "x-buckthorn-load";
/// Secret with which nodes authenticate to each other.
pub const SECRET: &str = "x-buckthorn-secret";
/// Role of the receiving node, see [`Role`].
pub const ROLE: &str = "x-buckthorn-part";
/// Marks a response that replays the first outcome of an idempotency key.
pub const REPLAYED: &str = "x-buckthorn-replayed";
/// State of an idempotency key that is replicated between nodes.
pub const KEY_STATE: &str = "x-buckthorn-key-state";
/// Hash of the request that an idempotency key belongs to.
pub const KEY_FINGERPRINT: &str = "x-buckthorn-key-fingerprint";
/// HTTP status of an idempotency key's outcome.
pub const KEY_STATUS: &str = "x-buckthorn-key-status";
/// Urgency that a policy's route assigns to a call, from ingress to owner.
pub const URGENCY: &str = "x-buckthorn-urgency";
/// Longest wait in the owner's queue in milliseconds, from ingress to owner.
pub const MAX_WAIT: &str = "x-buckthorn-patience-ms";
/// Probability in thousandths that the call repeats an earlier run, from ingress to owner.
pub const REPEAT: &str = "x-buckthorn-repeat";
/// Marks a call that a running request makes, from ingress to owner.
pub const IN_PROGRESS: &str = "x-buckthorn-in-progress";
/// State of the backend server, from owner to ingress (see [`crate::admission::report::Report`]).
pub const REPORT: &str = "x-buckthorn-report";
/// `Host` header of the caller; on the hop the service's name stands in its place.
pub const CALLER_HOST: &str = "x-buckthorn-host";
/// Fingerprint of the request and hash of its identifier, from ingress to owner.
pub const FINGERPRINT: &str = "x-buckthorn-fingerprint";
/// Priority of a call (RFC 9218).
pub const PRIORITY: &str = "priority";
/// Identifier of a request, optionally set by the caller.
pub const REQUEST_ID: &str = "x-request-id";
/// Key for which a call runs at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Prefix of every header that the mesh defines.
pub const PREFIX: &str = "x-buckthorn-";

/// Urgency of the least urgent calls (RFC 9218, section 4.1).
const LOWEST_URGENCY: Urgency = 7;

/// Longest accepted idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 255;

/// Headers that apply to a single connection (RFC 9110, section 7.6.1).
const CONNECTION_HEADERS: [HeaderName; 6] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Role of the node that receives a request over the hop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Runs the call on its backend server.
    Owner,
    /// Holds the call's idempotency key and dispatches the call.
    KeyHolder,
    /// Stores the replica of an idempotency key that another node holds.
    KeyReplica,
    /// Responds to a probe of the connection.
    Probe,
}

impl Role {
    /// Returns the header value.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Owner => "owner",
            Self::KeyHolder => "key",
            Self::KeyReplica => "note",
            Self::Probe => "probe",
        }
    }

    /// Parses the role from the headers of a request.
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

/// How a request is routed and run, as parsed from its head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Service that is called, in lower case.
    pub service: String,
    /// Path without the query.
    pub path: String,
    /// Whether running the call twice has the same effect as running it once.
    pub is_idempotent: bool,
    /// Whether the call may run without a tenant's key.
    pub is_public: bool,
    /// Load of the local failure domain's servers, in thousandths, from which the call goes to
    /// another failure domain.
    pub spill_load: u32,
    /// Rank by which owners order their queues.
    pub rank: Rank,
    /// Time by which the head of the response is needed.
    pub deadline: Time,
    /// Whether the caller set the deadline.
    pub has_deadline: bool,
    /// Attempts that an outer layer allows, `None` when this is the outermost layer.
    pub attempts: Option<u32>,
    /// Idempotency key, if the caller set one.
    pub idempotency_key: Option<String>,
    /// Backend servers that the call may reach, `None` unless a policy's route limits them.
    pub max_backend_attempts: Option<u32>,
    /// When the call was received.
    pub received_at: Time,
    /// Longest time that the call may wait in owners' queues, `None` without a latency target and for
    /// calls in progress, which may wait until their deadline.
    pub max_wait: Option<Duration>,
    /// Times of the policy's route, `None` without a policy.
    pub timing: Option<Timing>,
    /// Probability in thousandths that the call is made on behalf of a retried one, at its ingress.
    pub repeat_permille: u32,
    /// Identity of the request as a possible poison request; absent if the ingress set none.
    pub suspect: Option<Suspect>,
}

/// Times of a policy's route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Time within which a response has its full value.
    pub latency_target: Duration,
    /// Longest time until a response.
    pub timeout: Duration,
}

impl Timing {
    /// Returns the time in which a response still has its full value, when `left` remains until the
    /// caller's deadline. The caller is taken to have started with the whole timeout.
    pub fn target_left(&self, left: Duration) -> Duration {
        let elapsed = self.timeout.saturating_sub(left);
        self.latency_target.saturating_sub(elapsed)
    }
}

/// Fraction of a route's latency target that a call may wait in owners' queues. The rest is about
/// the time that a backend server takes; the later a refusal arrives, the less it helps the caller.
const MAX_WAIT_FRACTION: f64 = 0.5;

/// Why a call cannot be routed by a policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteError {
    /// The request is malformed or of an unsupported kind.
    Malformed(&'static str),
    /// No route of the policy matches.
    NoRoute,
}

impl Call {
    /// Routes a caller's request by the operators' policy; `phase` is where this node begins the
    /// sequence of a split.
    ///
    /// # Errors
    ///
    /// Returns why the request cannot be routed.
    pub fn from_policy(
        parts: &Parts,
        policy: &Policy,
        deadline_ms: &HeaderName,
        now: Time,
        call_timeout: Duration,
        phase: u32,
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
            service: route.next_service(phase).to_string(),
            path: parts.uri.path().to_owned(),
            is_idempotent: route.kind != Kind::NonIdempotent,
            is_public: route.is_public,
            spill_load: match route.kind {
                Kind::Bulk => BULK_SPILL_LOAD,
                Kind::Idempotent | Kind::NonIdempotent => FULL_LOAD,
            },
            rank: Rank::new(route.urgency),
            deadline: now + wait,
            has_deadline: remaining.is_some(),
            attempts: None,
            idempotency_key: None,
            max_backend_attempts: Some(route.attempts.max(1)),
            received_at: now,
            max_wait: Some(route.latency_target.min(wait).mul_f64(MAX_WAIT_FRACTION)),
            timing: Some(Timing {
                latency_target: route.latency_target,
                timeout: route.timeout,
            }),
            repeat_permille: 0,
            suspect: None,
        })
    }

    /// Parses the head of a request.
    ///
    /// # Errors
    ///
    /// Describes what is malformed.
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
            is_public: true,
            spill_load: FULL_LOAD,
            rank: rank(&parts.headers)?,
            deadline: now + wait,
            has_deadline: remaining.is_some(),
            attempts: parse_number(&parts.headers, ATTEMPTS)?
                .map(|n| n.min(u64::from(u32::MAX)) as u32),
            idempotency_key: key,
            max_backend_attempts: None,
            received_at: now,
            max_wait: parse_number(&parts.headers, MAX_WAIT)?.map(Duration::from_millis),
            timing: None,
            repeat_permille: 0,
            suspect: parts.headers.get(FINGERPRINT).and_then(Suspect::parse),
        })
    }

    /// Returns whether the idempotency key applies: idempotent calls do not need one.
    pub const fn is_keyed(&self) -> bool {
        self.idempotency_key.is_some() && !self.is_idempotent
    }

    /// Returns the time that the call may still wait in owners' queues.
    pub fn remaining_wait(&self, now: Time) -> Option<Duration> {
        let max_wait = self.max_wait?;
        Some(max_wait.saturating_sub(now.since(self.received_at)))
    }

    /// Ranks the call as one that a running request makes.
    pub fn set_in_progress(&mut self, rank: Rank) {
        self.rank = rank;
        self.max_wait = None;
    }

    /// Returns the parameters for the owner's admission.
    pub fn offer(&self) -> Offer {
        Offer {
            rank: self.rank,
            deadline: Some(self.deadline),
            max_wait: self.max_wait,
        }
    }
}

/// Returns whether a method is treated as idempotent: GET, HEAD, PUT, DELETE and OPTIONS are.
pub fn is_idempotent(method: &Method) -> bool {
    matches!(
        *method,
        Method::GET | Method::HEAD | Method::PUT | Method::DELETE | Method::OPTIONS
    )
}

/// Parses the rank of a call on the hop; a call of a caller has the urgency that it names.
fn rank(headers: &HeaderMap) -> Result<Rank, &'static str> {
    let urgency = match parse_number(headers, URGENCY)? {
        Some(urgency) => urgency.min(u64::from(LOWEST_URGENCY)) as Urgency,
        None => urgency(headers),
    };
    Ok(if headers.contains_key(IN_PROGRESS) {
        Rank::in_progress(urgency)
    } else {
        Rank::new(urgency)
    })
}

/// Parses the urgency (RFC 9218, section 4.1); absent or malformed values yield the default.
pub fn urgency(headers: &HeaderMap) -> Urgency {
    // The last of several members with the same key applies (RFC 8941, section 3.2).
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

/// Returns the service from the request target or the `Host` header, without the port.
pub(super) fn service(uri: &Uri, headers: &HeaderMap) -> Option<String> {
    let host = match uri.host() {
        Some(host) => host,
        None => headers.get(header::HOST)?.to_str().ok()?,
    };
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    (!name.is_empty()).then(|| name.to_ascii_lowercase())
}

/// Parses a header as a whole number; `None` when it is absent.
fn parse_number(headers: &HeaderMap, name: &str) -> Result<Option<u64>, &'static str> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let parsed = value.to_str().ok().and_then(parse_whole);
    parsed.map(Some).ok_or("a header is not a whole number")
}

/// Parses a whole number that consists of digits only, as no header's grammar allows a sign.
fn parse_whole(text: &str) -> Option<u64> {
    let is_digits = text.bytes().all(|byte| byte.is_ascii_digit());
    is_digits.then(|| text.parse().ok()).flatten()
}

/// Parses a whole number in a header of the mesh, `None` when absent or malformed.
pub fn mesh_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    parse_number(headers, name).ok().flatten()
}

/// Parses an idempotency key, which is not empty and limited in length.
fn parse_key(value: &HeaderValue) -> Option<String> {
    let key = value.to_str().ok()?;
    (!key.is_empty() && key.len() <= MAX_KEY_BYTES).then(|| key.to_owned())
}

/// Removes headers that apply to a single connection.
pub fn strip_connection_headers(headers: &mut HeaderMap) {
    // Headers listed in `Connection` apply to that connection only, too.
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

/// Removes the headers that the mesh defines.
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

/// Returns the declared length of the body, `None` when absent.
///
/// # Errors
///
/// Fails when the header is not a single whole number.
pub fn declared_length(headers: &HeaderMap) -> Result<Option<u64>, &'static str> {
    parse_number(headers, header::CONTENT_LENGTH.as_str())
}
