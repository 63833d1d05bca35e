//! Open-loop arrivals: the time of a call does not depend on earlier responses.

use std::time::{Duration, Instant};

use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Remaining wait below which the thread spins, because a sleep may overshoot.
const SPIN: Duration = Duration::from_micros(150);

/// Arrival times of a Poisson process, with exponentially distributed gaps.
#[derive(Clone, Debug)]
pub struct PoissonArrivals {
    /// Mean gap between arrivals.
    gap: Duration,
    /// Time of the latest arrival, or the start before the first.
    next: Instant,
    /// Time from which no call arrives.
    end: Instant,
}

impl PoissonArrivals {
    /// Creates arrivals at `rate` per second, from now on for `duration`.
    pub fn new(rate: f64, duration: Duration) -> Self {
        let now = Instant::now();
        Self {
            gap: Duration::from_secs_f64(1.0 / rate.max(0.001)),
            next: now,
            end: now + duration,
        }
    }

    /// Blocks until the next arrival and returns its scheduled time; `None` at the end.
    pub fn wait_next(&mut self, rng: &mut ChaCha8Rng) -> Option<Instant> {
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        self.next += self.gap.mul_f64(-uniform.ln());
        if self.next >= self.end {
            return None;
        }
        wait_until(self.next);
        Some(self.next)
    }
}

/// Blocks until an instant, more precisely than a sleep alone.
fn wait_until(instant: Instant) {
    let left = instant.saturating_duration_since(Instant::now());
    if left > SPIN {
        std::thread::sleep(left - SPIN);
    }
    while Instant::now() < instant {
        std::hint::spin_loop();
    }
}
