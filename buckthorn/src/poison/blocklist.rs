//! Requests that are restricted because they crash backend servers.
//!
//! Each node holds the whole list. Entries only grow in level and in time, so lists of two nodes are
//! merged in any order; entries end by themselves.

use std::hash::Hasher;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3Default;

use super::fingerprint::Fingerprint;
use crate::clock::Time;

/// Time for which an entry is in force. A request that still crashes backend servers after that is
/// blocked again at its next crash.
pub const RETENTION: Duration = Duration::from_secs(600);

/// Maximum entries of a list.
pub const MAX_ENTRIES: usize = 256;

/// Difference in the ends of an entry at two nodes that the delay of messages accounts for.
const TOLERANCE: Duration = Duration::from_secs(2);

/// Restriction on a request, in order of increasing severity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Level {
    /// A call that was lost is not sent to another backend server.
    NoRetry,
    /// The request is refused.
    Blocked,
}

/// Entry as nodes send it to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// Fingerprint of the request.
    #[serde(rename = "f")]
    pub fingerprint: Fingerprint,
    /// Restriction on it.
    #[serde(rename = "l")]
    pub level: Level,
    /// Milliseconds for which this is still in force.
    #[serde(rename = "t")]
    pub remaining_ms: u64,
}

/// Entry as the platform's store keeps it, for nodes that all start at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Restriction on it.
    pub level: Level,
    /// End of the entry in milliseconds since the Unix epoch.
    pub until_ms: u64,
}

impl Record {
    /// Returns what is left of the entry.
    pub fn notice(&self, now: Time) -> Notice {
        Notice {
            fingerprint: self.fingerprint,
            level: self.level,
            remaining_ms: self.until_ms.saturating_sub(now.as_millis()),
        }
    }
}

/// Entry of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Entry {
    /// Fingerprint of the request.
    fingerprint: Fingerprint,
    /// Restriction on it.
    level: Level,
    /// End of the entry.
    until: Time,
}

/// List of requests.
#[derive(Clone, Debug, Default)]
pub struct Blocklist {
    /// Entries, sorted by fingerprint.
    entries: Vec<Entry>,
}

impl Blocklist {
    /// Restriction on a request, if there is one.
    pub fn level(&self, fingerprint: Fingerprint, now: Time) -> Option<Level> {
        let entry = &self.entries[self.index(fingerprint).ok()?];
        (now < entry.until).then_some(entry.level)
    }

    /// Whether the list has no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Entries that are in force.
    pub fn notices(&self, now: Time) -> Vec<Notice> {
        let entries = self.entries.iter().filter(|entry| now < entry.until);
        let notices = entries.map(|entry| Notice {
            fingerprint: entry.fingerprint,
            level: entry.level,
            remaining_ms: entry.until.since(now).as_millis() as u64,
        });
        notices.collect()
    }

    /// Entries that are in force, for the platform's store.
    pub fn records(&self, now: Time) -> Vec<Record> {
        let entries = self.entries.iter().filter(|entry| now < entry.until);
        let records = entries.map(|entry| Record {
            fingerprint: entry.fingerprint,
            level: entry.level,
            until_ms: entry.until.as_millis(),
        });
        records.collect()
    }

    /// Hash of the requests and their levels; 0 if there are none.
    pub fn digest(&self) -> u64 {
        if self.entries.is_empty() {
            return 0;
        }
        let mut hasher = Xxh3Default::new();
        for entry in &self.entries {
            hasher.write_u64(entry.fingerprint.0);
            hasher.write_u8(entry.level as u8);
        }
        hasher.finish()
    }

    /// Merges entries of another node and returns those that are new or of a higher level.
    pub fn merge(&mut self, notices: &[Notice], now: Time) -> Vec<Notice> {
        let mut added = Vec::new();
        for notice in notices.iter().take(MAX_ENTRIES) {
            if self.insert(notice, now) {
                added.push(*notice);
            }
        }
        self.drop_oldest();
        added
    }

    /// Removes entries that have ended and returns whether there were any.
    pub fn prune(&mut self, now: Time) -> bool {
        let before = self.entries.len();
        self.entries.retain(|entry| now < entry.until);
        self.entries.len() != before
    }

    /// Adds or extends an entry and returns whether it is new or of a higher level.
    fn insert(&mut self, notice: &Notice, now: Time) -> bool {
        let remaining = Duration::from_millis(notice.remaining_ms).min(RETENTION);
        if remaining < TOLERANCE {
            return false;
        }
        let new = Entry {
            fingerprint: notice.fingerprint,
            level: notice.level,
            until: now + remaining,
        };
        match self.index(notice.fingerprint) {
            Ok(index) => {
                let entry = &mut self.entries[index];
                let is_raised = entry.level < new.level;
                entry.level = entry.level.max(new.level);
                if entry.until + TOLERANCE < new.until {
                    entry.until = new.until;
                }
                is_raised
            }
            Err(index) => {
                self.entries.insert(index, new);
                true
            }
        }
    }

    /// Drops the entries that end first while there are too many.
    fn drop_oldest(&mut self) {
        while self.entries.len() > MAX_ENTRIES {
            let ends = self.entries.iter().enumerate();
            let Some((index, _)) = ends.min_by_key(|(_, entry)| (entry.until, entry.fingerprint))
            else {
                return;
            };
            self.entries.remove(index);
        }
    }

    /// Index of an entry, or the index at which to insert it.
    fn index(&self, fingerprint: Fingerprint) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&fingerprint, |entry| entry.fingerprint)
    }
}
