//! A node's view of all members.
//!
//! Entries never regress: the higher rank wins. Bucket hashes cover usable members only, so that
//! views agree although each node drops dead members at a different time.

use crate::clock::Time;
use crate::name::{self, Name};

use super::member::{Member, Status};

/// Number of hash buckets in a view.
pub const BUCKETS: usize = 64;

/// Members known to one node.
#[derive(Clone, Debug)]
pub struct View {
    /// Entries sorted by host.
    entries: Vec<Entry>,
    /// Hashes of the usable entries, by bucket.
    buckets: Vec<u64>,
    /// Counter raised by every change.
    revision: u64,
}

/// A member and the time of its last change in this view.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Merged state of the member.
    pub member: Member,
    /// When the entry last changed in this view, by the local clock.
    pub changed: Time,
}

/// Result of a merge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The entry was unknown or had a higher rank and was stored.
    Changed,
    /// The held entry has the same or a higher rank.
    Unchanged,
}

impl Default for View {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            buckets: vec![0; BUCKETS],
            revision: 0,
        }
    }
}

impl View {
    /// Creates an empty view.
    pub fn new() -> Self {
        Self::default()
    }

    /// Hash over all usable entries.
    pub fn digest(&self) -> u64 {
        self.buckets.iter().fold(0, |sum, hash| sum ^ hash)
    }

    /// Bucket hashes, truncated to 32 bits for the wire.
    pub fn buckets(&self) -> Vec<u64> {
        self.buckets.iter().map(|hash| hash >> 32).collect()
    }

    /// Buckets whose hash differs from another view's, in order; none if the number of hashes is
    /// not [`BUCKETS`].
    pub fn differing_buckets(&self, theirs: &[u64]) -> Vec<u16> {
        if theirs.len() != BUCKETS {
            return Vec::new();
        }
        (0..BUCKETS)
            .filter(|&i| self.buckets[i] >> 32 != theirs[i])
            .map(|i| i as u16)
            .collect()
    }

    /// Members of one bucket, including dead ones.
    pub fn members_in_bucket(&self, wanted: u16) -> impl Iterator<Item = &Member> {
        self.members()
            .filter(move |member| bucket(&member.host) == usize::from(wanted))
    }

    /// Number of entries, including dead members.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the view has no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Adds a usable member to the hash of its bucket, or removes it if it was already added.
    fn toggle_hash(buckets: &mut [u64], member: &Member) {
        if member.is_usable() {
            buckets[bucket(&member.host)] ^= fingerprint(member);
        }
    }

    /// Counter raised by every change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Entries sorted by host.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Members sorted by host.
    pub fn members(&self) -> impl Iterator<Item = &Member> + Clone {
        self.entries.iter().map(|entry| &entry.member)
    }

    /// Members that are alive or suspected.
    pub fn live(&self) -> impl Iterator<Item = &Member> + Clone {
        self.members().filter(|member| member.is_usable())
    }

    /// Looks up a member by host.
    pub fn get(&self, host: &str) -> Option<&Member> {
        let index = self
            .entries
            .binary_search_by(|e| (*e.member.host).cmp(host))
            .ok()?;
        Some(&self.entries[index].member)
    }

    /// Merges one entry. The higher rank wins, so that entries never regress.
    pub fn merge(&mut self, member: &Member, now: Time) -> MergeOutcome {
        match self
            .entries
            .binary_search_by(|e| e.member.host.cmp(&member.host))
        {
            Ok(index) => {
                let held = &mut self.entries[index];
                if member.rank() <= held.member.rank() {
                    return MergeOutcome::Unchanged;
                }
                Self::toggle_hash(&mut self.buckets, &held.member);
                Self::toggle_hash(&mut self.buckets, member);
                held.member = member.clone();
                held.changed = now;
            }
            Err(index) => {
                Self::toggle_hash(&mut self.buckets, member);
                self.entries.insert(
                    index,
                    Entry {
                        member: member.clone(),
                        changed: now,
                    },
                );
            }
        }
        self.revision += 1;
        MergeOutcome::Changed
    }

    /// Worsens the status of a member at its current incarnation and sequence. Returns the member,
    /// or `None` if it is unknown or its status is already as bad.
    pub fn set_status(&mut self, host: &str, status: Status, now: Time) -> Option<&Member> {
        let index = self
            .entries
            .binary_search_by(|e| (*e.member.host).cmp(host))
            .ok()?;
        let entry = &mut self.entries[index];
        if entry.member.status >= status {
            return None;
        }
        Self::toggle_hash(&mut self.buckets, &entry.member);
        entry.member.status = status;
        Self::toggle_hash(&mut self.buckets, &entry.member);
        entry.changed = now;
        self.revision += 1;
        Some(&entry.member)
    }

    /// Drops entries for which `is_kept` returns false, and returns their hosts.
    pub fn retain(&mut self, mut is_kept: impl FnMut(&Entry) -> bool) -> Vec<Name> {
        let mut dropped = Vec::new();
        self.entries.retain(|entry| {
            let keep = is_kept(entry);
            if !keep {
                Self::toggle_hash(&mut self.buckets, &entry.member);
                dropped.push(entry.member.host.clone());
            }
            keep
        });
        if !dropped.is_empty() {
            self.revision += 1;
        }
        dropped
    }
}

/// Index of the bucket that holds a host.
fn bucket(host: &str) -> usize {
    (name::hash(host) % BUCKETS as u64) as usize
}

/// Hash of a member's host and rank.
fn fingerprint(member: &Member) -> u64 {
    let mut bytes = Vec::with_capacity(member.host.len() + 17);
    bytes.extend_from_slice(member.host.as_bytes());
    bytes.extend_from_slice(&member.incarnation.to_le_bytes());
    bytes.extend_from_slice(&member.sequence.to_le_bytes());
    bytes.push(member.status as u8);
    xxhash_rust::xxh3::xxh3_64(&bytes)
}
