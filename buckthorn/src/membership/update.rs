//! Merging of updates about members, and updates of the local member.
//!
//! Only a host raises its own sequence. When a peer claims a higher rank for the local member, the
//! node refutes the claim with a higher rank still. When a peer holds an older entry, the node
//! sends its current one.

use crate::admin::announcement::{MAX_CONNECTIONS, MAX_SLOTS};
use crate::clock::Time;
use crate::counter::Counter;
use crate::journal::fold::MAX_NAME_BYTES;
use crate::kernel::{Action, Context};
use crate::log_event::LogEvent;
use crate::name::Name;
use crate::rpc::message::{Message, StatusUpdate};

use super::gossip::DeltaKind;
use super::member::{BackendServer, Departure, Member, Status};
use super::plugin::{self, MAX_MEMBERS, MAX_SEQUENCE, MAX_SKEW, Membership, REFUTE_INTERVAL};
use super::sync;
use super::view::MergeOutcome;

/// Which member keeps an address that is announced by more than one host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AddressOwner {
    /// The member being merged.
    Member,
    /// Another host: the local one, or one with a later incarnation.
    Other,
}

impl Membership {
    /// Merges a member entry received from a peer.
    pub(super) fn merge_member(&mut self, cx: &mut Context<'_>, member: &Member) {
        if member.host == cx.shared.member.host {
            self.recall_departure(cx, member);
            self.record_claim(cx, member.rank());
            return;
        }
        if !is_plausible(member, cx.now) {
            cx.shared.counters.increment(Counter::MessagesRefused);
            return;
        }
        if member.is_usable() && self.resolve_address_conflict(cx, member) == AddressOwner::Other {
            return;
        }
        let mut member = member.clone();
        let mut is_departure_kept = false;
        let held = cx.shared.view.get(&member.host);
        let kind = match held {
            None if !member.is_usable() => return,
            None if cx.shared.view.len() >= MAX_MEMBERS => {
                cx.shared.counters.increment(Counter::MessagesRefused);
                return;
            }
            None => DeltaKind::Member,
            Some(held) if member.rank() <= held.rank() => return,
            Some(held) => {
                if held.is_usable() && member.status == Status::Dead {
                    member.status = Status::Suspect;
                }
                if member.departure.is_none() {
                    member.departure.clone_from(&held.departure);
                    is_departure_kept = member.departure.is_some();
                }
                if held.attributes_hash() == member.attributes_hash() {
                    DeltaKind::Status
                } else {
                    DeltaKind::Member
                }
            }
        };
        self.is_routing_stale |= kind == DeltaKind::Member
            || held.is_some_and(|held| held.is_usable() != member.is_usable());
        let is_logged =
            kind == DeltaKind::Member || held.is_some_and(|h| h.is_usable() != member.is_usable());
        if cx.shared.view.merge(&member, cx.now) == MergeOutcome::Changed {
            if is_logged {
                cx.log_event(LogEvent::MemberChanged, &member.host, describe(&member));
            }
            if is_departure_kept {
                // A new process of the node does not know of it.
                plugin::send(
                    cx,
                    &member.host,
                    vec![Message::Members(vec![member.clone()])],
                );
            }
            self.changed_at = cx.now;
            let is_suspicion = kind == DeltaKind::Status && member.status == Status::Suspect;
            let kind = if is_suspicion {
                DeltaKind::Suspicion
            } else {
                kind
            };
            self.queue.push(&member.host, kind);
        }
    }

    /// Assigns an address shared by two hosts to the one with the later incarnation and marks the
    /// earlier one dead. Without this the later host would answer the probes meant for the earlier
    /// one, and its death would go unnoticed.
    fn resolve_address_conflict(&mut self, cx: &mut Context<'_>, member: &Member) -> AddressOwner {
        let same = |other: &&Member| other.rpc == member.rpc && other.host != member.host;
        let others: Vec<(Name, u64)> = cx
            .shared
            .view
            .live()
            .filter(same)
            .map(|other| (other.host.clone(), other.incarnation))
            .collect();
        for (host, incarnation) in others {
            if incarnation > member.incarnation || host == cx.shared.member.host {
                return AddressOwner::Other;
            }
            cx.shared.view.set_status(&host, Status::Dead, cx.now);
            let detail = format!("dead: its address now belongs to {}", member.host);
            cx.log_event(LogEvent::MemberChanged, &host, detail);
            self.changed_at = cx.now;
            self.is_routing_stale = true;
        }
        AddressOwner::Member
    }

    /// Merges a status update. Requests the whole member if the held attributes do not match.
    pub(super) fn merge_status_update(&mut self, cx: &mut Context<'_>, update: &StatusUpdate) {
        let rank = (update.incarnation, update.sequence, update.status);
        if update.host == cx.shared.member.host {
            self.record_claim(cx, rank);
            return;
        }
        let held = cx.shared.view.get(&update.host);
        if held.is_some_and(|held| rank <= held.rank()) {
            return;
        }
        let Some(held) = held.filter(|held| held.attributes_hash() == update.attributes_hash)
        else {
            let is_usable = matches!(update.status, Status::Alive | Status::Suspect);
            if (is_usable || held.is_some()) && self.missing_attributes.len() < sync::MAX_MEMBERS {
                self.missing_attributes.push(update.host.clone());
            }
            return;
        };
        let mut member = held.clone();
        member.incarnation = update.incarnation;
        member.sequence = update.sequence;
        member.status = update.status;
        self.merge_member(cx, &member);
    }

    /// Compares the rank of a peer's entry for the local member with the current one. An older
    /// entry is updated with the next message, a higher rank is recorded as a claim to refute.
    pub(super) fn record_claim(&mut self, cx: &Context<'_>, claim: (u64, u64, Status)) {
        let member = &cx.shared.member;
        if claim < member.rank() {
            self.is_peer_outdated = true;
            return;
        }
        if claim == member.rank() || member.status == Status::Left {
            return;
        }
        if claim.0 > (cx.now + MAX_SKEW).0 {
            cx.shared.counters.increment(Counter::MessagesRefused);
            return;
        }
        self.claim = self.claim.max(Some((claim.0, claim.1)));
    }

    /// Refutes the recorded claim with a higher rank, at most once per [`REFUTE_INTERVAL`].
    pub(super) fn refute(&mut self, cx: &mut Context<'_>) {
        if cx.now.since(self.refuted_at) < REFUTE_INTERVAL {
            return;
        }
        let Some((incarnation, sequence)) = self.claim.take() else {
            return;
        };
        self.refuted_at = cx.now;
        let member = &mut cx.shared.member;
        if incarnation > member.incarnation || sequence >= MAX_SEQUENCE {
            // The host ran earlier with a clock that was ahead, another process uses its name, or
            // the sequence has reached its limit.
            member.incarnation = incarnation.max(member.incarnation) + 1;
            member.sequence = 0;
        } else {
            member.sequence = member.sequence.max(sequence);
        }
        cx.shared.counters.increment(Counter::Refutations);
        self.publish_local_member(cx, DeltaKind::Status);
    }

    /// Stores the departure of the local backend server, for peers to keep.
    pub(super) fn set_departure(&mut self, cx: &mut Context<'_>, departure: &Departure) {
        if cx.shared.member.departure.as_ref() != Some(departure) {
            cx.shared.member.departure = Some(departure.clone());
            self.publish_local_member(cx, DeltaKind::Member);
        }
    }

    /// Applies the departure that was kept from an earlier process of this node, unless a later one is
    /// known.
    pub(super) fn recall(&mut self, cx: &mut Context<'_>, departure: &Departure) {
        if cx.shared.member.departure.is_none() {
            self.set_departure(cx, departure);
            cx.act(Action::RecallDeparture(departure.clone()));
        }
    }

    /// Applies the departure that a peer kept from an earlier process of this node.
    fn recall_departure(&mut self, cx: &mut Context<'_>, member: &Member) {
        let Some(departure) = &member.departure else {
            return;
        };
        if is_plausible(member, cx.now) {
            self.recall(cx, departure);
        }
    }

    /// Stores the local backend server's announcement and pushes the change at once.
    pub(super) fn set_backend_server(
        &mut self,
        cx: &mut Context<'_>,
        backend_server: Option<BackendServer>,
    ) {
        if cx.shared.member.backend_server == backend_server {
            return;
        }
        cx.shared.member.backend_server = backend_server;
        self.publish_local_member(cx, DeltaKind::Member);
        self.push_at = cx.now;
        self.push(cx);
    }

    /// Marks the local member as left and notifies peers at once.
    pub(super) fn leave(&mut self, cx: &mut Context<'_>) {
        if cx.shared.member.status == Status::Left {
            return;
        }
        cx.shared.is_stopping = true;
        cx.shared.member.status = Status::Left;
        self.publish_local_member(cx, DeltaKind::Status);
        for _ in 0..3 {
            self.push_at = cx.now;
            self.push(cx);
        }
    }

    /// Raises the local member's sequence and queues its entry for gossip.
    pub(super) fn publish_local_member(&mut self, cx: &mut Context<'_>, kind: DeltaKind) {
        cx.shared.member.sequence += 1;
        let merged = cx.shared.view.merge(&cx.shared.member, cx.now);
        assert!(
            merged == MergeOutcome::Changed,
            "invariant: a raised sequence outranks the held entry of the local member"
        );
        self.changed_at = cx.now;
        self.is_routing_stale |= kind == DeltaKind::Member;
        self.queue.push(&cx.shared.member.host, kind);
    }
}

/// Describes a member's state for the log.
fn describe(member: &Member) -> String {
    let status = format!("{:?}, incarnation {}", member.status, member.incarnation);
    match &member.backend_server {
        Some(server) if server.is_draining => {
            format!("{status}, {} {} draining", server.service, server.version)
        }
        Some(server) => format!("{status}, serves {} {}", server.service, server.version),
        None => status,
    }
}

/// Whether an entry lies within the bounds on names, slots, connections and clock skew.
fn is_plausible(member: &Member, now: Time) -> bool {
    let names = [&member.host, &member.region, &member.failure_domain];
    member.incarnation <= (now + MAX_SKEW).0
        && names
            .iter()
            .all(|name| !name.is_empty() && name.len() <= MAX_NAME_BYTES)
        && member
            .departure
            .as_ref()
            .is_none_or(|departure| departure.instance.len() <= MAX_NAME_BYTES)
        && member.backend_server.as_ref().is_none_or(|server| {
            server.service.len() <= MAX_NAME_BYTES
                && server.version.len() <= MAX_NAME_BYTES
                && server.slots <= MAX_SLOTS
                && server.connections <= MAX_CONNECTIONS
        })
}
