//! What the owner of a backend server tells the ingresses in each of its responses.
//!
//! The header holds whole numbers separated by commas. Later releases may append further ones, which
//! are ignored.

use std::fmt;
use std::time::Duration;

/// State of a backend server at the time of a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Calls that run.
    pub running: u32,
    /// Calls that wait at the owner.
    pub waiting: u32,
    /// Of those, calls that running requests make.
    pub waiting_in_progress: u32,
    /// Calls that may run at once; at least one.
    pub limit: u32,
    /// Mean time that a call takes now; zero when unknown.
    pub mean_time: Duration,
    /// Time that a call of the kind of the answered one takes now; zero when unknown.
    pub kind_time: Duration,
    /// Index of the first rank that is refused; [`super::rank::Rank::COUNT`] when none is.
    pub cut: u32,
}

/// Limit of the numbers in a report, against absurd values of a faulty peer.
const MAX_NUMBER: u64 = 1_000_000_000;

impl Report {
    /// Parses the value of the header; `None` when it is malformed.
    pub fn parse(text: &str) -> Option<Self> {
        let mut numbers = text.split(',').map(|number| {
            let is_digits = !number.is_empty() && number.bytes().all(|b| b.is_ascii_digit());
            let number: u64 = is_digits.then(|| number.parse().ok()).flatten()?;
            Some(number.min(MAX_NUMBER))
        });
        let mut next = || numbers.next().flatten();
        let mut small = || next().map(|number| number as u32);
        let (running, waiting) = (small()?, small()?);
        let waiting_in_progress = small()?.min(waiting);
        let limit = small()?.max(1);
        let mean_time = Duration::from_micros(next()?);
        let kind_time = Duration::from_micros(next()?);
        let cut = next()? as u32;
        Some(Self {
            running,
            waiting,
            waiting_in_progress,
            limit,
            mean_time,
            kind_time,
            cut,
        })
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{},{},{},{},{},{},{}",
            self.running,
            self.waiting,
            self.waiting_in_progress,
            self.limit,
            self.mean_time.as_micros(),
            self.kind_time.as_micros(),
            self.cut
        )
    }
}
