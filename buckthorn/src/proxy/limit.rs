//! Limits on connections, requests and responses.

use std::time::Duration;

use crate::config::policy::CallerLimits;

/// Limits of one node. A request over a limit is refused with a status, a reason and a counter.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Maximum bytes of the head of a request or response.
    pub header_bytes: usize,
    /// Maximum header fields of a request or response.
    pub headers: usize,
    /// Maximum bytes of a request body.
    pub body_bytes: u64,
    /// Maximum bytes of all bodies that are kept in memory at a time; further ones are streamed.
    pub kept_bytes: usize,
    /// Largest request body in bytes that is kept for a retry; larger ones are streamed once.
    pub kept_body_bytes: u64,
    /// Maximum connections from callers.
    pub caller_connections: usize,
    /// Maximum connections from other nodes.
    pub hop_connections: usize,
    /// Maximum connections for control messages from other nodes.
    pub control_connections: usize,
    /// Maximum concurrent calls on one connection between nodes.
    pub hop_streams: u32,
    /// Flow-control window of one call on a connection between nodes, in bytes.
    pub hop_window_bytes: u32,
    /// Maximum requests of one connection that are dispatched before earlier ones are answered.
    pub requests_ahead: usize,
    /// Longest time from the first byte of a request's head to its end.
    pub header_timeout: Duration,
    /// Idle timeout of a caller's connection; that for a head where absent.
    pub idle_timeout: Option<Duration>,
    /// Requests sent ahead on a connection after which it is closed while room is short, so that
    /// others get their turn.
    pub burst_requests: u32,
    /// Bytes of responses that a peer may leave unread before writes to it block.
    pub unread_bytes: usize,
    /// Longest wait for the next frame of a body, and longest time that a write may be blocked.
    pub idle_body_timeout: Duration,
    /// Timeout for the head of the response when the caller sets no deadline.
    pub call_timeout: Duration,
    /// Timeout for opening a connection to a node or a backend server.
    pub connect_timeout: Duration,
    /// Interval of PINGs on a connection between nodes that has calls in flight.
    pub ping_interval: Duration,
    /// Timeout for the acknowledgement of a PING and the response to a probe.
    pub ping_timeout: Duration,
    /// Time since the last response after which a connection between nodes is probed before use.
    pub probe_after: Duration,
    /// Time that an idle connection to a backend server is kept.
    pub pool_idle: Duration,
    /// Time that callers' connections stay open in a drain, so that late calls get a response.
    pub drain_linger: Duration,
    /// Maximum idempotency keys held.
    pub keys: usize,
    /// Time for which the outcome of an idempotency key is held.
    pub key_window: Duration,
    /// Largest response body in bytes that is kept with an idempotency key.
    pub key_body_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            headers: 100,
            body_bytes: 64 * 1024 * 1024,
            kept_bytes: 256 * 1024 * 1024,
            kept_body_bytes: 64 * 1024,
            caller_connections: 1_024,
            hop_connections: 1_024,
            control_connections: 256,
            hop_streams: 256,
            hop_window_bytes: 64 * 1024,
            requests_ahead: 8,
            header_timeout: Duration::from_secs(10),
            idle_timeout: None,
            burst_requests: 64,
            unread_bytes: 256 * 1024,
            idle_body_timeout: Duration::from_secs(15),
            call_timeout: Duration::from_secs(30),
            connect_timeout: Duration::from_millis(500),
            ping_interval: Duration::from_secs(1),
            ping_timeout: Duration::from_millis(1_500),
            probe_after: Duration::from_secs(1),
            pool_idle: Duration::from_secs(4),
            drain_linger: Duration::from_millis(500),
            keys: 32_768,
            key_window: Duration::from_secs(300),
            key_body_bytes: 4 * 1024,
        }
    }
}

/// Limits of callers' requests, from the operators' policy or else from [`Limits`].
#[derive(Clone, Copy, Debug)]
pub struct RequestLimits {
    /// Maximum bytes of a head.
    pub header_bytes: usize,
    /// Maximum bytes of a body.
    pub body_bytes: u64,
    /// Longest time from the first byte of a head to its end.
    pub header_timeout: Duration,
    /// Longest time without a request on a connection.
    pub idle_timeout: Duration,
}

impl RequestLimits {
    /// Combines the limits of the node with those of a policy.
    pub fn new(limits: &Limits, policy: Option<&CallerLimits>) -> Self {
        let policy = policy.cloned().unwrap_or_default();
        let idle_timeout = limits.idle_timeout.unwrap_or(limits.header_timeout);
        Self {
            header_bytes: policy.header_bytes.unwrap_or(limits.header_bytes),
            body_bytes: policy.body_bytes.unwrap_or(limits.body_bytes),
            header_timeout: policy.header_timeout.unwrap_or(limits.header_timeout),
            idle_timeout: policy.idle_timeout.unwrap_or(idle_timeout),
        }
    }
}
