//! Deltas of the view that are still to be told to others.
//!
//! Each delta is sent a bounded number of times, logarithmic in the number of members; those sent
//! least go first. An allowance of bytes bounds what is pushed at once when many members change.

use std::time::Duration;

use crate::clock::Time;
use crate::name::Name;
use crate::rpc::message::{Message, StatusUpdate};

use super::member::Member;
use super::view::View;

/// Bounds of the deltas in one message.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Whole members.
    members: usize,
    /// Verdicts.
    verdicts: usize,
}

/// Bounds of a message that is sent for its deltas.
const PUSH: Bounds = Bounds {
    members: 12,
    verdicts: 48,
};

/// Bounds of deltas that a probe or its answer carries.
const PIGGYBACK: Bounds = Bounds {
    members: 3,
    verdicts: 16,
};

/// Bytes a second that pushes may take on average.
const BYTES_PER_SECOND: f64 = 1_500.0;

/// Bytes that pushes may take at once.
const BURST_BYTES: f64 = 16_384.0;

/// Typical size of a whole member on the wire.
const MEMBER_BYTES: f64 = 330.0;

/// Typical size of a verdict on the wire.
const VERDICT_BYTES: f64 = 85.0;

/// Typical size of an exchange without its messages.
const EXCHANGE_BYTES: f64 = 450.0;

/// Sends beyond the logarithm, against loss in small meshes.
const EXTRA_SENDS: u32 = 2;

/// Sends of a delta that the allowance does not hold up.
const FRESH_SENDS: u32 = 4;

/// Sends of a suspicion that are pushed.
const SUSPICION_PUSHES: u32 = 2;

/// Whether a delta needs the whole member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DeltaKind {
    /// Rank only; pushed once, then probes carry it.
    Suspicion,
    /// Rank only.
    Status,
    /// Facts too.
    Member,
}

/// One delta.
#[derive(Clone, Debug)]
struct Delta {
    /// Host that changed.
    host: Name,
    /// What is sent of it.
    kind: DeltaKind,
    /// Times it was sent.
    sent: u32,
}

/// Deltas to be told, at most one for each host.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    /// Deltas sorted by host.
    deltas: Vec<Delta>,
    /// Bytes that may be pushed now.
    allowance: f64,
    /// When the allowance was last raised.
    refilled: Time,
}

impl Queue {
    /// Whether nothing is to be told.
    pub fn is_empty(&self) -> bool {
        self.deltas.is_empty()
    }

    /// Adds a suspicion that only probes carry.
    pub fn push_quietly(&mut self, host: &Name) {
        self.push(host, DeltaKind::Suspicion);
        if let Ok(index) = self.deltas.binary_search_by(|d| d.host.cmp(host)) {
            self.deltas[index].sent = SUSPICION_PUSHES;
        }
    }

    /// Adds a delta; one of the same host is replaced.
    pub fn push(&mut self, host: &Name, kind: DeltaKind) {
        match self.deltas.binary_search_by(|d| d.host.cmp(host)) {
            Ok(index) => {
                let delta = &mut self.deltas[index];
                // Facts that were not told yet are still to be told.
                let owed = (delta.kind == DeltaKind::Member).then_some(DeltaKind::Member);
                delta.kind = owed.unwrap_or(kind);
                delta.sent = 0;
            }
            Err(index) => {
                let delta = Delta {
                    host: host.clone(),
                    kind,
                    sent: 0,
                };
                self.deltas.insert(index, delta);
            }
        }
    }

    /// Messages for a probe or its answer to carry.
    pub fn piggyback(&mut self, view: &View) -> Vec<Message> {
        self.take(view, PIGGYBACK)
    }

    /// Counts every delta as sent once: a peer turned out to hold them all.
    pub fn credit(&mut self, view: &View) {
        for delta in &mut self.deltas {
            delta.sent += 1;
        }
        self.prune(view);
    }

    /// Drops deltas that were sent often enough.
    fn prune(&mut self, view: &View) {
        if self.deltas.is_empty() {
            return;
        }
        let limit = max_sends(view.live().count());
        self.deltas.retain(|delta| delta.sent < limit);
    }

    /// Messages that carry the deltas sent least, and counts them as sent.
    fn take(&mut self, view: &View, bounds: Bounds) -> Vec<Message> {
        let mut order: Vec<usize> = (0..self.deltas.len()).collect();
        order.sort_by_key(|&i| self.deltas[i].sent);
        let (mut members, mut verdicts) = (Vec::new(), Vec::new());
        for index in order {
            let delta = &mut self.deltas[index];
            let Some(member) = view.get(&delta.host) else {
                delta.sent = u32::MAX;
                continue;
            };
            match delta.kind {
                DeltaKind::Member if members.len() < bounds.members => members.push(member.clone()),
                DeltaKind::Suspicion | DeltaKind::Status if verdicts.len() < bounds.verdicts => {
                    verdicts.push(member.status_update());
                }
                DeltaKind::Member | DeltaKind::Suspicion | DeltaKind::Status => continue,
            }
            delta.sent += 1;
        }
        self.prune(view);
        messages(members, verdicts)
    }

    /// Messages for a push, as far as the allowance goes.
    pub fn push_out(&mut self, view: &View, now: Time) -> Option<Vec<Message>> {
        let elapsed = now.since(self.refilled).min(Duration::from_secs(60));
        self.refilled = now;
        self.allowance =
            (self.allowance + elapsed.as_secs_f64() * BYTES_PER_SECOND).min(BURST_BYTES);
        let is_urgent =
            |delta: &Delta| delta.kind != DeltaKind::Suspicion || delta.sent < SUSPICION_PUSHES;
        if !self.deltas.iter().any(is_urgent) {
            return None;
        }
        let bounds = if self.allowance >= 0.0 {
            PUSH
        } else if self
            .deltas
            .iter()
            .any(|delta| is_urgent(delta) && delta.sent < FRESH_SENDS)
        {
            PIGGYBACK
        } else {
            return None;
        };
        let messages = self.take(view, bounds);
        self.allowance = (self.allowance - cost(&messages)).max(-BURST_BYTES);
        (!messages.is_empty()).then_some(messages)
    }
}

/// Messages that carry members and verdicts, none for empty lists.
fn messages(members: Vec<Member>, verdicts: Vec<StatusUpdate>) -> Vec<Message> {
    let mut messages = Vec::new();
    if !members.is_empty() {
        messages.push(Message::Members(members));
    }
    if !verdicts.is_empty() {
        messages.push(Message::StatusUpdates(verdicts));
    }
    messages
}

/// Estimated bytes of an exchange that carries messages.
fn cost(messages: &[Message]) -> f64 {
    messages
        .iter()
        .map(|message| match message {
            Message::Members(members) => members.len() as f64 * MEMBER_BYTES,
            Message::StatusUpdates(verdicts) => verdicts.len() as f64 * VERDICT_BYTES,
            _ => 0.0,
        })
        .sum::<f64>()
        + EXCHANGE_BYTES
}

/// Times that one node sends a delta among `live` members.
fn max_sends(live: usize) -> u32 {
    usize::BITS - live.leading_zeros() + EXTRA_SENDS
}
