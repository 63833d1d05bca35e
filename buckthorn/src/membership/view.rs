//! Merged knowledge of all members.
//!
//! Entries never go back: the higher rank wins. The hashes by bucket cover usable members only, so
//! that views agree although each forgets the dead at its own time.

use crate::clock::Time;
use crate::name::{self, Name};

use super::member::{Member, Status};

/// Buckets that the hashes of a view are divided into.
pub const BUCKETS: usize = 64;

/// Members that one node knows, sorted by host.
#[derive(Clone, Debug)]
pub struct View {
    /// Entries sorted by host.
    entries: Vec<Entry>,
    /// Hash of the usable entries by bucket.
    buckets: Vec<u64>,
    /// Number of the last change of any entry.
    revision: u64,
}

/// A member and when this node last learned something of it.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Member.
    pub member: Member,
    /// When the entry last changed here.
    pub changed: Time,
}

/// What a merge did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The entry was new or newer and is now held.
    Changed,
    /// Nothing newer.
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
    /// Empty view.
    pub fn new() -> Self {
        Self::default()
    }

    /// Hash of all usable entries.
    pub fn digest(&self) -> u64 {
        self.buckets.iter().fold(0, |sum, hash| sum ^ hash)
    }

    /// Hashes of the usable entries by bucket, shortened for the wire.
    pub fn buckets(&self) -> Vec<u64> {
        self.buckets.iter().map(|hash| hash >> 32).collect()
    }

    /// Buckets whose hash differs from another view's, in order.
    pub fn differing_buckets(&self, theirs: &[u64]) -> Vec<u16> {
        if theirs.len() != BUCKETS {
            return Vec::new();
        }
        (0..BUCKETS)
            .filter(|&i| self.buckets[i] >> 32 != theirs[i])
            .map(|i| i as u16)
            .collect()
    }

    /// Members of one bucket, the dead included.
    pub fn members_in_bucket(&self, wanted: u16) -> impl Iterator<Item = &Member> {
        self.members()
            .filter(move |member| bucket(&member.host) == usize::from(wanted))
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Adds an entry to the hash of its bucket, or takes it out again.
    fn toggle(buckets: &mut [u64], member: &Member) {
        if member.is_usable() {
            buckets[bucket(&member.host)] ^= fingerprint(member);
        }
    }

    /// Number that rises with every change.
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

    /// Members that answer probes or may still refute their suspicion.
    pub fn live(&self) -> impl Iterator<Item = &Member> + Clone {
        self.members().filter(|member| member.is_usable())
    }

    /// Member by host.
    pub fn get(&self, host: &str) -> Option<&Member> {
        let index = self
            .entries
            .binary_search_by(|e| (*e.member.host).cmp(host))
            .ok()?;
        Some(&self.entries[index].member)
    }

    /// Merges one entry; the higher rank wins, so that entries never go back.
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
                Self::toggle(&mut self.buckets, &held.member);
                Self::toggle(&mut self.buckets, member);
                held.member = member.clone();
                held.changed = now;
            }
            Err(index) => {
                Self::toggle(&mut self.buckets, member);
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

    /// Sets the liveness of a member at its present incarnation and sequence.
    pub fn set_status(&mut self, host: &str, status: Status, now: Time) -> Option<&Member> {
        let index = self
            .entries
            .binary_search_by(|e| (*e.member.host).cmp(host))
            .ok()?;
        let entry = &mut self.entries[index];
        if entry.member.status >= status {
            return None;
        }
        Self::toggle(&mut self.buckets, &entry.member);
        entry.member.status = status;
        Self::toggle(&mut self.buckets, &entry.member);
        entry.changed = now;
        self.revision += 1;
        Some(&entry.member)
    }

    /// Drops members for which `is_kept` says no.
    pub fn retain(&mut self, mut is_kept: impl FnMut(&Entry) -> bool) -> Vec<Name> {
        let mut dropped = Vec::new();
        self.entries.retain(|entry| {
            let keep = is_kept(entry);
            if !keep {
                Self::toggle(&mut self.buckets, &entry.member);
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

/// Bucket of a host.
fn bucket(host: &str) -> usize {
    (name::hash(host) % BUCKETS as u64) as usize
}

/// Hash of an entry's host and rank.
fn fingerprint(member: &Member) -> u64 {
    let mut bytes = Vec::with_capacity(member.host.len() + 17);
    bytes.extend_from_slice(member.host.as_bytes());
    bytes.extend_from_slice(&member.incarnation.to_le_bytes());
    bytes.extend_from_slice(&member.sequence.to_le_bytes());
    bytes.push(member.status as u8);
    xxhash_rust::xxh3::xxh3_64(&bytes)
}
