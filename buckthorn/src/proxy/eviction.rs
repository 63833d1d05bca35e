//! Which connection is closed when there is no room for another one.
//!
//! Peers that send or read nothing, or single bytes now and then, go first, the longest without
//! progress before the others. After them go connections on which no request was ever begun, then
//! those that are idle between requests. A connection whose request is being served is never
//! closed. Without any connection to close, the new one is refused.
//!
//! At a port that only nodes may use, a connection counts as one without a request until its peer has
//! shown that it knows the shared secret, whatever it sends; after that it is never closed.

use std::cmp::Reverse;
use std::time::Duration;

/// Bytes that a connection has to move for its transfer to count as progress. Slower peers are only
/// affected when there is no room.
pub const PROGRESS_BYTES: u64 = 1_024;

/// Time without progress after which a connection may be closed for another one. It covers the
/// retransmission of a lost packet.
pub const MIN_STALL: Duration = Duration::from_secs(1);

/// Longest time until a node has to show on a new connection that it knows the shared secret. Nodes
/// connect only to send something at once; this covers a host that is short of CPU time.
pub const VERIFY_TIMEOUT: Duration = Duration::from_secs(10);

/// Requests without the shared secret after which a connection between nodes is closed. A node whose
/// secret differs gets its refusals on further connections.
pub const MAX_UNVERIFIED_REQUESTS: u32 = 16;

/// What the peer of a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It has not sent a byte yet, or has not shown that it is a node where only nodes may connect.
    New,
    /// It is between two requests.
    Idle,
    /// It sends the head of a request.
    Head,
    /// It sends the body of a request.
    Body,
    /// It waits for a response.
    Waiting,
    /// It does not read a response, so that a write is blocked.
    Blocked,
}

/// State of a connection.
#[derive(Clone, Copy, Debug)]
pub struct View {
    /// What the peer does.
    pub phase: Phase,
    /// Time since the connection last made progress.
    pub stalled: Duration,
    /// Time since the first byte of a head that is still incomplete.
    pub head_age: Option<Duration>,
}

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Another connection needs its place.
    Room,
    /// The head of a request took too long.
    HeadTimeout,
    /// It was idle for too long.
    IdleTimeout,
    /// Too many requests came without the shared secret.
    Unverified,
}

/// What to do with a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Accept it.
    Admit,
    /// Accept it, and close the one with this index.
    Replace(usize),
    /// Refuse it.
    Refuse,
}

/// Decides on a new connection beside those that are open.
pub fn decide(limit: usize, open: impl ExactSizeIterator<Item = View>) -> Decision {
    if open.len() < limit {
        return Decision::Admit;
    }
    let candidates = open.enumerate().filter_map(|(index, view)| {
        let class = match view.phase {
            Phase::Head | Phase::Body | Phase::Blocked => 0,
            Phase::New => 1,
            Phase::Idle => 2,
            Phase::Waiting => return None,
        };
        (view.stalled >= MIN_STALL).then_some((class, Reverse(view.stalled), index))
    });
    match candidates.min() {
        Some((_, _, index)) => Decision::Replace(index),
        None => Decision::Refuse,
    }
}

/// Limits of connections that hold regardless of other connections.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// Longest time from the first byte of a head to its end.
    pub head: Duration,
    /// Longest time without a request.
    pub idle: Duration,
    /// Whether slots or memory are short, which unread responses may hold.
    pub is_shortage: bool,
}

/// Returns why a connection has to be closed, if it has to.
pub fn expired(view: &View, timeouts: &Timeouts) -> Option<Cause> {
    match view.phase {
        Phase::Head if view.head_age? >= timeouts.head => Some(Cause::HeadTimeout),
        Phase::New | Phase::Idle if view.stalled >= timeouts.idle => Some(Cause::IdleTimeout),
        Phase::Blocked if timeouts.is_shortage && view.stalled >= MIN_STALL => Some(Cause::Room),
        _ => None,
    }
}
