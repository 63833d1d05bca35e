//! Checkpoints: the folded state, re-appended well inside the log's retention.

use super::fold::State;
use super::record::{self, Body, Record};

/// Records after which the lease's holder appends a new checkpoint.
pub const MAX_RECORDS_BETWEEN: u64 = 2_000;

/// State from which to go on after a trimmed log, found in the records still held.
///
/// The checkpoint's own state is advanced by the records between the offset it was taken at and
/// its own position; those are no longer all held, so a checkpoint counts only when the records
/// from its `next` onwards are.
pub fn resume(records: &[Record]) -> Option<State> {
    let earliest = records.first()?.offset;
    records
        .iter()
        .rev()
        .find_map(|record| match record::decode(&record.payload) {
            Ok(Body::Checkpoint(state))
                if state.next >= earliest && state.next <= record.offset =>
            {
                Some(*state)
            }
            _ => None,
        })
}
