//! What is taken over from others about members, and this node's own word of itself.
//!
//! Only a host raises its own sequence. A claim of a higher rank by others is refuted by a higher
//! one still, and an older claim is answered with the present word.

use crate::admin::announcement::{MAX_CONNECTIONS, MAX_SLOTS};
use crate::clock::Time;
use crate::counter::Counter;
use crate::journal::fold::MAX_NAME_BYTES;
use crate::kernel::Context;
use crate::log_event::LogEvent;
use crate::name::Name;
use crate::rpc::message::StatusUpdate;

use super::gossip::DeltaKind;
use super::member::{BackendServer, Member, Status};
use super::plugin::{MAX_MEMBERS, MAX_SEQUENCE, MAX_SKEW, Membership, REFUTE_INTERVAL};
use super::sync;
use super::view::MergeOutcome;

/// Whose a member's address is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Address {
    /// Its own.
    Own,
    /// That of a host that started later.
    Taken,
}

impl Membership {
    /// Merges what a peer says of a member.
    pub(super) fn absorb(&mut self, cx: &mut Context<'_>, member: &Member) {
        if member.host == cx.shared.member.host {
            self.defend(cx, member.rank());
            return;
        }
        if !is_plausible(member, cx.now) {
            cx.shared.counters.increment(Counter::MessagesRefused);
            return;
        }
        if member.is_usable() && self.settle_address(cx, member) == Address::Taken {
            return;
        }
        let mut member = member.clone();
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
                if held.attributes_hash() == member.attributes_hash() {
                    DeltaKind::Status
                } else {
                    DeltaKind::Member
                }
            }
        };
        self.is_routing_stale |= kind == DeltaKind::Member
            || held.is_some_and(|held| held.is_usable() != member.is_usable());
        let is_news =
            kind == DeltaKind::Member || held.is_some_and(|h| h.is_usable() != member.is_usable());
        if cx.shared.view.merge(&member, cx.now) == MergeOutcome::Changed {
            if is_news {
                cx.log_event(LogEvent::MemberChanged, &member.host, detail(&member));
            }
            self.changed = cx.now;
            let is_suspicion = kind == DeltaKind::Status && member.status == Status::Suspect;
            let kind = if is_suspicion {
                DeltaKind::Suspicion
            } else {
                kind
            };
            self.queue.push(&member.host, kind);
        }
    }

    /// Lets the later of two hosts with one address have it. Probes of the earlier one would be
    /// answered by the later, so that nothing else would show that it is gone.
    fn settle_address(&mut self, cx: &mut Context<'_>, member: &Member) -> Address {
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
                return Address::Taken;
            }
            cx.shared.view.set_status(&host, Status::Dead, cx.now);
            let detail = format!("dead, its address is that of {}", member.host);
            cx.log_event(LogEvent::MemberChanged, &host, detail);
            self.changed = cx.now;
            self.is_routing_stale = true;
        }
        Address::Own
    }

    /// Merges a verdict; the member is asked for whole when its facts are not held.
    pub(super) fn judge(&mut self, cx: &mut Context<'_>, verdict: &StatusUpdate) {
        let rank = (verdict.incarnation, verdict.sequence, verdict.status);
        if verdict.host == cx.shared.member.host {
            self.defend(cx, rank);
            return;
        }
        let held = cx.shared.view.get(&verdict.host);
        if held.is_some_and(|held| rank <= held.rank()) {
            return;
        }
        let Some(held) = held.filter(|held| held.attributes_hash() == verdict.attributes_hash)
        else {
            let is_usable = matches!(verdict.status, Status::Alive | Status::Suspect);
            if (is_usable || held.is_some()) && self.lacking.len() < sync::MAX_MEMBERS {
                self.lacking.push(verdict.host.clone());
            }
            return;
        };
        let mut member = held.clone();
        member.incarnation = verdict.incarnation;
        member.sequence = verdict.sequence;
        member.status = verdict.status;
        self.absorb(cx, &member);
    }

    /// Notes a claim about this node that is not its own.
    pub(super) fn defend(&mut self, cx: &Context<'_>, claim: (u64, u64, Status)) {
        let member = &cx.shared.member;
        if claim < member.rank() {
            self.is_outdated = true;
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

    /// Refutes claims by a higher rank, at a bounded rate.
    pub(super) fn refute(&mut self, cx: &mut Context<'_>) {
        if cx.now.since(self.refuted) < REFUTE_INTERVAL {
            return;
        }
        let Some((incarnation, sequence)) = self.claim.take() else {
            return;
        };
        self.refuted = cx.now;
        let member = &mut cx.shared.member;
        if incarnation > member.incarnation || sequence >= MAX_SEQUENCE {
            // The host ran before under a clock that was ahead, or another process claims it.
            member.incarnation = incarnation.max(member.incarnation) + 1;
            member.sequence = 0;
        } else {
            member.sequence = member.sequence.max(sequence);
        }
        cx.shared.counters.increment(Counter::Refutations);
        self.restate(cx, DeltaKind::Status);
    }

    /// Takes over what the own backend server announced.
    pub(super) fn announce(&mut self, cx: &mut Context<'_>, backend_server: Option<BackendServer>) {
        if cx.shared.member.backend_server == backend_server {
            return;
        }
        cx.shared.member.backend_server = backend_server;
        self.restate(cx, DeltaKind::Member);
        self.push_at = cx.now;
        self.push(cx);
    }

    /// Leaves by own word and tells peers at once.
    pub(super) fn leave(&mut self, cx: &mut Context<'_>) {
        if cx.shared.member.status == Status::Left {
            return;
        }
        cx.shared.is_stopping = true;
        cx.shared.member.status = Status::Left;
        self.restate(cx, DeltaKind::Status);
        for _ in 0..3 {
            self.push_at = cx.now;
            self.push(cx);
        }
    }

    /// Raises the own sequence and spreads the own entry.
    pub(super) fn restate(&mut self, cx: &mut Context<'_>, kind: DeltaKind) {
        cx.shared.member.sequence += 1;
        let merged = cx.shared.view.merge(&cx.shared.member, cx.now);
        assert!(
            merged == MergeOutcome::Changed,
            "invariant: a node's own word outranks what is held of it"
        );
        self.changed = cx.now;
        self.is_routing_stale |= kind == DeltaKind::Member;
        self.queue.push(&cx.shared.member.host, kind);
    }
}

/// What a member says of itself, for the log.
fn detail(member: &Member) -> String {
    let status = format!("{:?}, incarnation {}", member.status, member.incarnation);
    match &member.backend_server {
        Some(server) if server.is_draining => {
            format!("{status}, {} {} draining", server.service, server.version)
        }
        Some(server) => format!("{status}, serves {} {}", server.service, server.version),
        None => status,
    }
}

/// Whether an entry may be true.
fn is_plausible(member: &Member, now: Time) -> bool {
    let names = [&member.host, &member.region, &member.failure_domain];
    member.incarnation <= (now + MAX_SKEW).0
        && names
            .iter()
            .all(|name| !name.is_empty() && name.len() <= MAX_NAME_BYTES)
        && member.backend_server.as_ref().is_none_or(|server| {
            server.service.len() <= MAX_NAME_BYTES
                && server.version.len() <= MAX_NAME_BYTES
                && server.slots <= MAX_SLOTS
                && server.connections <= MAX_CONNECTIONS
        })
}
