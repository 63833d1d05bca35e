//! When a refused caller is told to come back.
//!
//! The time follows the order of ranks: room is expected when the calls that wait have run, and for
//! each rank beyond the cut as much later. It is spread, so that callers who were refused together do
//! not return together. It leaves a caller time to be served: within the latency target if that is
//! still possible, and in any case before its deadline.

use std::time::Duration;

use rand::Rng;

/// A caller waits at most for its remaining time divided by this.
pub const LEFT_DIVISOR: u32 = 3;

/// Shortest time until a return, about a round trip to the caller: an earlier one finds the same
/// queues.
pub const MIN_DELAY: Duration = Duration::from_millis(50);

/// What is known about a refused caller and the room for it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Refused {
    /// Time that the calls which wait keep a backend server busy.
    pub backlog: Duration,
    /// Number of ranks by which the call is beyond the first one that is refused.
    pub beyond: f64,
    /// Time until the caller's deadline.
    pub left: Duration,
    /// Time in which a response still has its full value.
    pub target_left: Duration,
    /// Time that a backend server takes for the call, zero when unknown.
    pub service_time: Duration,
}

/// Returns when the caller should come back; `None` when a later try could not be served in time.
pub fn delay(refused: &Refused, rng: &mut impl Rng) -> Option<Duration> {
    let room = refused.backlog.mul_f64(1.0 + refused.beyond);
    let earliest = room.max(MIN_DELAY);
    let latest = refused.left / LEFT_DIVISOR;
    if earliest + refused.service_time > refused.left || latest < MIN_DELAY {
        return None;
    }
    let in_target = refused.target_left.saturating_sub(refused.service_time);
    let mut end = (earliest * 2).min(latest);
    if earliest < in_target {
        end = end.min(in_target);
    }
    // Callers who may not wait for the room are spread over the last part of their wait.
    let start = earliest.min(end / 2).max(MIN_DELAY);
    Some(start + end.saturating_sub(start).mul_f64(rng.random()))
}
