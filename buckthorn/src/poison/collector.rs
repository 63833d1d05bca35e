//! Comparison of crashes: which request was in progress at several of them.
//!
//! Most calls in progress at a crash did not cause it, and backend servers crash for other reasons as
//! well. A request is held responsible once it was lost in [`CRASHES`] crashes under at least
//! [`CALLS`] identifiers: an ingress sends the calls that were lost in a crash to the next backend
//! server together, so that any of them can be lost repeatedly beside the one that causes it. A crash
//! that is attributed to a request no longer counts for others.

use std::time::Duration;

use super::blocklist::Level;
use super::crash::Crash;
use super::fingerprint::{Fingerprint, Suspect};
use crate::clock::Time;

/// Crashes in which a request was lost before it is held responsible.
pub const CRASHES: usize = 3;

/// Calls of a request that were lost in them before it is held responsible.
pub const CALLS: usize = 2;

/// Time for which a crash counts.
const RETENTION: Duration = Duration::from_secs(3_600);

/// Maximum requests that are compared.
pub const MAX_RECORDS: usize = 2_048;

/// Maximum crashes that are kept of one request.
const MAX_LOSSES: usize = 8;

/// Loss of a call in a crash.
#[derive(Clone, Copy, Debug)]
struct Loss {
    /// Identifier of the crash.
    crash: u64,
    /// Hash of the call's identifier.
    call: u64,
}

/// Losses of a request.
#[derive(Clone, Debug)]
struct Record {
    /// Fingerprint of the request.
    fingerprint: Fingerprint,
    /// Losses, the newest last.
    losses: Vec<Loss>,
    /// Time of the last loss.
    updated_at: Time,
    /// Whether the request was held responsible.
    is_responsible: bool,
}

impl Record {
    /// Number of distinct calls that were lost.
    fn calls(&self) -> usize {
        let mut calls: Vec<u64> = self.losses.iter().map(|loss| loss.call).collect();
        calls.sort_unstable();
        calls.dedup();
        calls.len()
    }

    /// Adds a loss; a crash counts once.
    fn add(&mut self, loss: Loss, now: Time) {
        if self.losses.iter().any(|known| known.crash == loss.crash) {
            return;
        }
        if self.losses.len() == MAX_LOSSES {
            self.losses.remove(0);
        }
        self.losses.push(loss);
        self.updated_at = now;
    }
}

/// Compares crashes.
#[derive(Debug, Default)]
pub struct Collector {
    /// Requests that were lost in crashes, sorted by fingerprint.
    records: Vec<Record>,
}

impl Collector {
    /// Adds a crash and returns the requests that are to be restricted after it.
    pub fn add(&mut self, crash: &Crash, now: Time) -> Vec<(Fingerprint, Level)> {
        self.records
            .retain(|record| now.since(record.updated_at) < RETENTION);
        let known: Vec<&Suspect> = crash
            .suspects
            .iter()
            .filter(|suspect| self.is_responsible(suspect.fingerprint))
            .collect();
        // A crash that is attributed to a request is no evidence about the others.
        let counted = if known.is_empty() {
            crash.suspects.iter().collect()
        } else {
            known
        };
        for suspect in &counted {
            let loss = Loss {
                crash: crash.id,
                call: suspect.call,
            };
            self.record(suspect.fingerprint, now).add(loss, now);
        }
        let lost = counted
            .iter()
            .map(|suspect| suspect.fingerprint)
            .collect::<Vec<_>>();
        self.drop_oldest();
        self.conclude(&lost)
    }

    /// Restrictions on requests that were lost in the last crash.
    fn conclude(&mut self, lost: &[Fingerprint]) -> Vec<(Fingerprint, Level)> {
        let is_lost = |record: &&Record| lost.contains(&record.fingerprint);
        let repeated = self
            .records
            .iter()
            .filter(is_lost)
            .filter(|record| record.losses.len() >= CRASHES);
        let most_calls = repeated.clone().map(Record::calls).max().unwrap_or(0);
        let levels: Vec<(Fingerprint, Level)> = repeated
            .map(|record| {
                let is_responsible = record.is_responsible
                    || record.calls() >= CALLS && record.calls() == most_calls;
                let level = if is_responsible {
                    Level::Blocked
                } else {
                    Level::NoRetry
                };
                (record.fingerprint, level)
            })
            .collect();
        for (fingerprint, _) in levels.iter().filter(|(_, l)| *l == Level::Blocked) {
            self.hold_responsible(*fingerprint);
        }
        levels
    }

    /// Holds a request responsible for its crashes, which no longer count for others.
    fn hold_responsible(&mut self, fingerprint: Fingerprint) {
        let Ok(index) = self.index(fingerprint) else {
            return;
        };
        self.records[index].is_responsible = true;
        let attributed: Vec<u64> = self.records[index]
            .losses
            .iter()
            .map(|loss| loss.crash)
            .collect();
        for record in &mut self.records {
            if !record.is_responsible {
                record
                    .losses
                    .retain(|loss| !attributed.contains(&loss.crash));
            }
        }
        self.records.retain(|record| !record.losses.is_empty());
    }

    /// Whether a request was held responsible.
    fn is_responsible(&self, fingerprint: Fingerprint) -> bool {
        let index = self.index(fingerprint);
        index.is_ok_and(|index| self.records[index].is_responsible)
    }

    /// Record of a request, added if it is new.
    fn record(&mut self, fingerprint: Fingerprint, now: Time) -> &mut Record {
        let index = self.index(fingerprint).unwrap_or_else(|index| {
            let record = Record {
                fingerprint,
                losses: Vec::new(),
                updated_at: now,
                is_responsible: false,
            };
            self.records.insert(index, record);
            index
        });
        &mut self.records[index]
    }

    /// Drops the requests that were lost least recently while there are too many.
    fn drop_oldest(&mut self) {
        if self.records.len() <= MAX_RECORDS {
            return;
        }
        let mut times: Vec<Time> = self
            .records
            .iter()
            .map(|record| record.updated_at)
            .collect();
        times.sort_unstable();
        let oldest_kept = times[times.len() - MAX_RECORDS / 2];
        self.records
            .retain(|record| record.updated_at >= oldest_kept);
        self.records.truncate(MAX_RECORDS);
    }

    /// Index of a record, or the index at which to insert it.
    fn index(&self, fingerprint: Fingerprint) -> Result<usize, usize> {
        self.records
            .binary_search_by_key(&fingerprint, |record| record.fingerprint)
    }
}
