//! Checkpoints of the folded state, appended often enough that one is always within the log's
//! retention.
//!
//! They have a stream of their own, so that nodes which follow the configuration stream do not
//! receive whole states that they already have.

use std::time::Duration;

use super::check::check;
use super::fold::State;
use super::record::Record;

/// Interval at which the lease holder appends a checkpoint.
pub const INTERVAL: Duration = Duration::from_secs(300);

/// Configuration records after which the holder appends a checkpoint before the interval has
/// passed.
pub const MAX_RECORDS_BETWEEN: u64 = 200;

/// Encodes a state as the payload of a checkpoint.
pub fn encode(state: &State) -> String {
    serde_json::to_string(state).expect("states encode as JSON")
}

/// Newest readable state among records of the checkpoint stream that passes [`check`].
pub fn newest_valid_state(records: &[Record]) -> Option<State> {
    records
        .iter()
        .rev()
        .filter_map(|record| serde_json::from_str(&record.payload).ok())
        .find(|state| check(state).is_ok())
}
