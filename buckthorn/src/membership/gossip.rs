//! Queue of view deltas to gossip.
//!
//! Each delta is sent a bounded number of times, logarithmic in the number of members; deltas sent
//! least often go first. A byte allowance limits pushes when many members change at once.

use std::time::Duration;

use crate::clock::Time;
use crate::name::Name;
use crate::rpc::message::{Message, StatusUpdate};

use super::member::Member;
use super::view::View;

/// Maximum number of deltas in one exchange.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Maximum number of whole members.
    members: usize,
    /// Maximum number of status updates.
    updates: usize,
}

/// Bounds of a push, which is sent only for its deltas.
const PUSH: Bounds = Bounds {
    members: 12,
    updates: 48,
};

/// Bounds of the deltas piggybacked on a probe or its reply.
const PIGGYBACK: Bounds = Bounds {
    members: 3,
    updates: 16,
};

/// Average rate of pushes, in bytes per second.
const BYTES_PER_SECOND: f64 = 1_500.0;

/// Maximum allowance, in bytes; an overdraft is bounded by the same amount.
const BURST_BYTES: f64 = 16_384.0;

/// Typical size of a whole member on the wire, in bytes.
const MEMBER_BYTES: f64 = 330.0;

/// Typical size of a status update on the wire, in bytes.
const STATUS_UPDATE_BYTES: f64 = 85.0;

/// Typical size of an exchange without its messages, in bytes.
const EXCHANGE_BYTES: f64 = 450.0;

/// Sends added to the logarithm, to compensate for message loss in small meshes.
const EXTRA_SENDS: u32 = 2;

/// Number of sends for which a delta is pushed even if the allowance is used up.
const FRESH_SENDS: u32 = 4;

/// Number of times a suspicion is pushed; afterwards it is only piggybacked.
const SUSPICION_PUSHES: u32 = 2;

/// What a delta carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DeltaKind {
    /// Status update that suspects the member; pushed `SUSPICION_PUSHES` times, then only
    /// piggybacked on probes.
    Suspicion,
    /// Status update.
    Status,
    /// Whole member.
    Member,
}

/// Change of one member that is still being gossiped.
#[derive(Clone, Debug)]
struct Delta {
    /// Host that changed.
    host: Name,
    /// What is sent.
    kind: DeltaKind,
    /// Number of sends so far.
    sent: u32,
}

/// Deltas to gossip, at most one per host.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    /// Deltas sorted by host.
    deltas: Vec<Delta>,
    /// Bytes that may be pushed now; negative after an overdraft.
    allowance: f64,
    /// When the allowance was last refilled.
    refilled_at: Time,
}

impl Queue {
    /// Whether there is no delta to send.
    pub fn is_empty(&self) -> bool {
        self.deltas.is_empty()
    }

    /// Adds a suspicion that is piggybacked on probes but never pushed.
    pub fn push_piggyback_only(&mut self, host: &Name) {
        self.push(host, DeltaKind::Suspicion);
        if let Ok(index) = self.deltas.binary_search_by(|d| d.host.cmp(host)) {
            self.deltas[index].sent = SUSPICION_PUSHES;
        }
    }

    /// Adds a delta, replacing an earlier one of the same host.
    pub fn push(&mut self, host: &Name, kind: DeltaKind) {
        match self.deltas.binary_search_by(|d| d.host.cmp(host)) {
            Ok(index) => {
                let delta = &mut self.deltas[index];
                // Attributes that are still being gossiped must not be replaced by a status update.
                let unsent = (delta.kind == DeltaKind::Member).then_some(DeltaKind::Member);
                delta.kind = unsent.unwrap_or(kind);
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

    /// Takes messages to piggyback on a probe or its reply.
    pub fn piggyback(&mut self, view: &View) -> Vec<Message> {
        self.take_deltas(view, PIGGYBACK)
    }

    /// Counts every delta as sent once, because a peer already holds them all.
    pub fn mark_all_sent(&mut self, view: &View) {
        for delta in &mut self.deltas {
            delta.sent += 1;
        }
        self.prune(view);
    }

    /// Drops deltas that have reached the maximum number of sends.
    fn prune(&mut self, view: &View) {
        if self.deltas.is_empty() {
            return;
        }
        let limit = max_sends(view.live().count());
        self.deltas.retain(|delta| delta.sent < limit);
    }

    /// Takes messages with the deltas sent least often and counts those as sent.
    fn take_deltas(&mut self, view: &View, bounds: Bounds) -> Vec<Message> {
        let mut order: Vec<usize> = (0..self.deltas.len()).collect();
        order.sort_by_key(|&i| self.deltas[i].sent);
        let (mut members, mut updates) = (Vec::new(), Vec::new());
        for index in order {
            let delta = &mut self.deltas[index];
            let Some(member) = view.get(&delta.host) else {
                delta.sent = u32::MAX;
                continue;
            };
            match delta.kind {
                DeltaKind::Member if members.len() < bounds.members => members.push(member.clone()),
                DeltaKind::Suspicion | DeltaKind::Status if updates.len() < bounds.updates => {
                    updates.push(member.status_update());
                }
                DeltaKind::Member | DeltaKind::Suspicion | DeltaKind::Status => continue,
            }
            delta.sent += 1;
        }
        self.prune(view);
        messages(members, updates)
    }

    /// Takes messages for a push, within the allowance; `None` if there is nothing to push.
    pub fn next_push(&mut self, view: &View, now: Time) -> Option<Vec<Message>> {
        let elapsed = now.since(self.refilled_at).min(Duration::from_secs(60));
        self.refilled_at = now;
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
        let messages = self.take_deltas(view, bounds);
        self.allowance = (self.allowance - estimated_bytes(&messages)).max(-BURST_BYTES);
        (!messages.is_empty()).then_some(messages)
    }
}

/// Packs members and status updates into messages; empty lists give none.
fn messages(members: Vec<Member>, updates: Vec<StatusUpdate>) -> Vec<Message> {
    let mut messages = Vec::new();
    if !members.is_empty() {
        messages.push(Message::Members(members));
    }
    if !updates.is_empty() {
        messages.push(Message::StatusUpdates(updates));
    }
    messages
}

/// Estimates the size of an exchange with these messages, in bytes.
fn estimated_bytes(messages: &[Message]) -> f64 {
    messages
        .iter()
        .map(|message| match message {
            Message::Members(members) => members.len() as f64 * MEMBER_BYTES,
            Message::StatusUpdates(updates) => updates.len() as f64 * STATUS_UPDATE_BYTES,
            _ => 0.0,
        })
        .sum::<f64>()
        + EXCHANGE_BYTES
}

/// Number of times one node sends a delta in a mesh of `live` members.
fn max_sends(live: usize) -> u32 {
    usize::BITS - live.leading_zeros() + EXTRA_SENDS
}
