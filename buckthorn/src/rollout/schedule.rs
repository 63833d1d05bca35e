//! Schedule of a move's shares, computed backwards from the deadline.
//!
//! The share grows geometrically from a canary. The remaining time to a target before the deadline
//! is divided evenly among the remaining steps; the time between target and deadline is a reserve
//! for holds. The **last moment** is the latest time at which the remaining steps, at [`MIN_DWELL`]
//! each, still fit before the deadline. From then on some obstacles no longer hold a move (see
//! [`super::controller`]).

use std::time::Duration;

use crate::clock::Time;
use crate::config::intent::FULL_SHARE;

/// Smallest canary, in thousandths.
pub const MIN_CANARY: u16 = 10;

/// Largest canary, in thousandths.
pub const MAX_CANARY: u16 = 50;

/// Factor by which the share grows in one step.
pub const GROWTH: u16 = 2;

/// Factor by which the share grows in one step if the time is too short for [`GROWTH`].
pub const FAST_GROWTH: u16 = 4;

/// Number of steps from the smallest canary to full share at [`GROWTH`], including the canary.
pub const TYPICAL_STEPS: u32 = 8;

/// Shortest planned time at one share.
pub const MIN_DWELL: Duration = Duration::from_secs(5);

/// Longest reserve for holds.
pub const MAX_RESERVE: Duration = Duration::from_secs(600);

/// Divisor of a move's duration that gives the reserve for holds.
pub const RESERVE_DIVISOR: u32 = 5;

/// Next step of the schedule from one share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Share after the next step, in thousandths.
    pub next: u16,
    /// Remaining steps until full share.
    pub steps: u32,
    /// When the next step is due.
    pub due: Time,
    /// Latest time for the next step at which the deadline can be met.
    pub last_moment: Time,
}

/// Plans the next step of a move that has been at `share` since `since`.
pub fn plan(share: u16, canary: u16, since: Time, start: Time, deadline: Time) -> Plan {
    let target = deadline - reserve(start, deadline);
    let left = target.since(since);
    let steps = steps(share, canary, GROWTH);
    let (growth, steps) = if left < MIN_DWELL * steps {
        (FAST_GROWTH, self::steps(share, canary, FAST_GROWTH))
    } else {
        (GROWTH, steps)
    };
    let dwell = if share == 0 {
        Duration::ZERO
    } else {
        (left / steps.max(1)).max(MIN_DWELL)
    };
    Plan {
        next: next_share(share, canary, growth),
        steps,
        due: since + dwell,
        last_moment: deadline - MIN_DWELL * self::steps(share, canary, FAST_GROWTH),
    }
}

/// Reserve for holds between the planned end and the deadline.
pub fn reserve(start: Time, deadline: Time) -> Duration {
    (deadline.since(start) / RESERVE_DIVISOR).min(MAX_RESERVE)
}

/// Shortest duration in which a move can reach full share.
pub fn min_duration() -> Duration {
    MIN_DWELL * steps(0, MAX_CANARY, FAST_GROWTH)
}

/// Canary share at which `calls` calls per second yield `wanted` calls to the new version within
/// `dwell`, in thousandths and between [`MIN_CANARY`] and [`MAX_CANARY`].
pub fn canary_share(calls: f64, wanted: u64, dwell: Duration) -> u16 {
    let expected = calls * dwell.as_secs_f64();
    if expected <= 0.0 {
        return MAX_CANARY;
    }
    let permille = (wanted as f64 / expected * f64::from(FULL_SHARE)).ceil();
    permille.clamp(f64::from(MIN_CANARY), f64::from(MAX_CANARY)) as u16
}

/// Share after one step.
fn next_share(share: u16, canary: u16, growth: u16) -> u16 {
    if share == 0 {
        return canary;
    }
    share.saturating_mul(growth).min(FULL_SHARE)
}

/// Number of steps from a share to full share.
fn steps(share: u16, canary: u16, growth: u16) -> u32 {
    let mut share = share;
    let mut steps = 0;
    while share < FULL_SHARE {
        share = next_share(share, canary, growth);
        steps += 1;
    }
    steps
}
