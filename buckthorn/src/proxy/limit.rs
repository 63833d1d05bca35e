//! Limits on what comes from outside.

use std::time::Duration;

/// Limits of one node; each excess has a status, a reason and a counter.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Bytes of a request's or an answer's head.
    pub header_bytes: usize,
    /// Fields of a request's or an answer's head.
    pub headers: usize,
    /// Bytes of a request's body.
    pub body_bytes: u64,
    /// Bytes of a request's body that are kept for a retry; longer bodies are streamed once.
    pub kept_body_bytes: u64,
    /// Connections from callers.
    pub caller_connections: usize,
    /// Connections from other nodes.
    pub hop_connections: usize,
    /// Calls in flight on one connection between nodes.
    pub hop_streams: u32,
    /// Bytes in flight of one call on a connection between nodes.
    pub hop_window_bytes: u32,
    /// Time for the head of a request to arrive, and for an idle connection to stay open.
    pub header_timeout: Duration,
    /// Time between two parts of a body, and for a blocked write to go on.
    pub idle_body_timeout: Duration,
    /// Time for the head of an answer when the caller names no deadline.
    pub call_timeout: Duration,
    /// Time to open a connection to a node or a backend server.
    pub connect_timeout: Duration,
    /// Time between PINGs on a connection between nodes that has calls in flight.
    pub ping_interval: Duration,
    /// Time for the answer to a PING.
    pub ping_timeout: Duration,
    /// Time without an answer after which a connection between nodes is tried before it is used.
    pub probe_after: Duration,
    /// Time that an unused connection to a backend server is kept.
    pub pool_idle: Duration,
    /// Time that callers' connections stay open in a drain so that late calls are answered.
    pub drain_linger: Duration,
    /// Idempotency keys held.
    pub keys: usize,
    /// Time that the outcome of an idempotency key is held.
    pub key_window: Duration,
    /// Bytes of an answer's body held with an idempotency key.
    pub key_body_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            headers: 100,
            body_bytes: 64 * 1024 * 1024,
            kept_body_bytes: 64 * 1024,
            caller_connections: 1_024,
            hop_connections: 1_024,
            hop_streams: 256,
            hop_window_bytes: 64 * 1024,
            header_timeout: Duration::from_secs(10),
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
