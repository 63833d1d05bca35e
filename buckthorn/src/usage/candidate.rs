//! Choice of the nodes that collect counts, the candidates for the duty.
//!
//! Every node chooses for itself, by rendezvous in different failure domains, so that the loss of one
//! domain leaves others with the counts. A candidate that leaves or can't be reached is replaced by the
//! next node, also while the view still holds it as alive. One that has no access to the record of the
//! duty keeps its place, as it may hold the duty, and further nodes collect beside it.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Time;
use crate::membership::member::Member;
use crate::membership::view::View;
use crate::name::{self, Name};

/// Nodes that collect counts and may hold the duty.
const CANDIDATES: usize = 3;

/// Candidates at most, with those that have no access to the record of the duty.
const MAX_CANDIDATES: usize = 6;

/// Key of the rendezvous hash that chooses candidates.
const CANDIDATE_KEY: &str = "usage.candidate";

/// Why a candidate can't do the duty at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Impediment {
    /// It stops, or did not answer.
    Gone,
    /// It has no access to the record of the duty.
    Detached,
}

/// Nodes known to be impeded.
#[derive(Clone, Debug, Default)]
pub struct Impediments {
    /// Hosts with their incarnation, impediment, and the time until which it counts, sorted by host.
    entries: Vec<(Name, u64, Impediment, Time)>,
}

impl Impediments {
    /// Adds an impediment of a member that counts for a time.
    pub fn add(&mut self, member: &Member, impediment: Impediment, now: Time, period: Duration) {
        let entry = (
            member.host.clone(),
            member.incarnation,
            impediment,
            now + period,
        );
        match self.index(&member.host) {
            Ok(index) => self.entries[index] = entry,
            Err(index) => self.entries.insert(index, entry),
        }
    }

    /// Drops impediments that no longer count.
    pub fn prune(&mut self, now: Time) {
        self.entries.retain(|(.., until)| *until > now);
    }

    /// Impediment of a member.
    pub fn get(&self, member: &Member) -> Option<Impediment> {
        let (_, incarnation, impediment, _) = &self.entries[self.index(&member.host).ok()?];
        (*incarnation == member.incarnation).then_some(*impediment)
    }

    /// Index of a host, or where it is to be inserted.
    fn index(&self, host: &Name) -> Result<usize, usize> {
        self.entries.binary_search_by(|(held, ..)| held.cmp(host))
    }
}

/// Chooses the candidates, the preferred one first.
pub fn choose(view: &View, impediments: &Impediments) -> Vec<Member> {
    let mut chosen = Vec::new();
    let mut attached = 0;
    for member in ranked(view, impediments) {
        if attached == CANDIDATES || chosen.len() == MAX_CANDIDATES {
            break;
        }
        attached += usize::from(impediments.get(member).is_none());
        chosen.push(member.clone());
    }
    chosen
}

/// Live members that are not gone, by preference: the first of each failure domain, then the others.
fn ranked<'a>(view: &'a View, impediments: &Impediments) -> impl Iterator<Item = &'a Member> {
    let present = view
        .live()
        .filter(|member| impediments.get(member) != Some(Impediment::Gone));
    let mut ranked: Vec<(u64, &Member)> = present
        .map(|member| (name::rendezvous(CANDIDATE_KEY, &member.host), member))
        .collect();
    ranked.sort_unstable_by(|(a, first), (b, second)| (b, &second.host).cmp(&(a, &first.host)));
    let mut domains: Vec<&Name> = Vec::new();
    let (apart, together): (Vec<_>, Vec<_>) = ranked.into_iter().partition(|(_, member)| {
        let Err(index) = domains.binary_search(&&member.failure_domain) else {
            return false;
        };
        domains.insert(index, &member.failure_domain);
        true
    });
    apart.into_iter().chain(together).map(|(_, member)| member)
}
