//! Merged knowledge of all members.

use crate::clock::Time;
use crate::name::Name;

use super::member::{Member, Status};

/// Members that one node knows, sorted by host.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Entries sorted by host.
    entries: Vec<Entry>,
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
pub enum Merge {
    /// The entry was new or newer and is now held.
    Changed,
    /// Nothing newer.
    Unchanged,
}

impl View {
    /// Empty view.
    pub fn new() -> Self {
        Self::default()
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
    pub fn merge(&mut self, member: &Member, now: Time) -> Merge {
        match self
            .entries
            .binary_search_by(|e| e.member.host.cmp(&member.host))
        {
            Ok(index) => {
                let held = &mut self.entries[index];
                if member.rank() <= held.member.rank() {
                    return Merge::Unchanged;
                }
                held.member = member.clone();
                held.changed = now;
            }
            Err(index) => {
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
        Merge::Changed
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
        entry.member.status = status;
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
