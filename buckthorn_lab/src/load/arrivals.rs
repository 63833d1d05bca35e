//! Arrivals that do not wait for answers.

use std::time::{Duration, Instant};

use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Time before an arrival from which the pacing thread spins instead of sleeping.
const SPIN: Duration = Duration::from_micros(150);

/// Times of arrivals, with exponentially distributed gaps (a Poisson process).
#[derive(Clone, Debug)]
pub struct PoissonArrivals {
    /// Mean gap.
    gap: Duration,
    /// Next arrival.
    next: Instant,
    /// End of the arrivals.
    end: Instant,
}

impl PoissonArrivals {
    /// Arrivals at a rate a second, from now on for a time.
    pub fn new(rate: f64, duration: Duration) -> Self {
        let now = Instant::now();
        Self {
            gap: Duration::from_secs_f64(1.0 / rate.max(0.001)),
            next: now,
            end: now + duration,
        }
    }

    /// Waits for the next arrival and returns the time it was meant for, `None` at the end.
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

/// Waits until an instant, more exactly than a sleep alone.
fn wait_until(instant: Instant) {
    let left = instant.saturating_duration_since(Instant::now());
    if left > SPIN {
        std::thread::sleep(left - SPIN);
    }
    while Instant::now() < instant {
        std::hint::spin_loop();
    }
}
