//! Handling of membership messages from peers: probes, view comparison and deltas.

use crate::counter::Counter;
use crate::kernel::{Action, Context};
use crate::name::Name;
use crate::rpc::message::{Digest, Message};

use super::join;
use super::member::Status;
use super::plugin::{ACCUSE_INTERVAL, Membership, PULL_INTERVAL, digest, send};
use super::sync;
use super::view::View;

impl Membership {
    /// Handles a peer's request and replies to it.
    pub(super) fn handle_request(
        &mut self,
        cx: &mut Context<'_>,
        from: &Name,
        messages: &[Message],
    ) {
        self.on_alive(cx, from);
        let mut reply = Vec::new();
        for message in messages {
            match message {
                Message::Ping(theirs) => {
                    reply.push(Message::Ack(digest(cx)));
                    reply.extend(status_to_refute(&cx.shared.view, from));
                    reply.extend(self.queue.piggyback(&cx.shared.view));
                    self.catch_up(cx, from, theirs);
                }
                Message::PingRequest { host } => {
                    if cx.shared.view.get(host).is_some()
                        && let Some(action) = self.prober.request(host, from, cx.now)
                    {
                        self.run_probe_action(cx, action);
                    }
                }
                Message::WantMembers(wanted) => {
                    reply.extend(sync::members(&cx.shared.view, wanted));
                }
                Message::Buckets(theirs) => reply.extend(sync::compare(&cx.shared.view, theirs)),
                Message::Join(member) => {
                    self.merge_member(cx, member);
                    reply.push(Message::Ack(digest(cx)));
                    reply.push(join::reply(&cx.shared.view, member));
                }
                _ => self.handle_common(cx, message),
            }
        }
        if std::mem::take(&mut self.is_peer_outdated) {
            reply.push(Message::Members(vec![cx.shared.member.clone()]));
        }
        reply.extend(self.request_missing());
        if !reply.is_empty() {
            cx.act(Action::Reply(reply));
        }
    }

    /// Handles a peer's reply and sends what it asks for.
    pub(super) fn handle_reply(&mut self, cx: &mut Context<'_>, from: &Name, messages: &[Message]) {
        self.on_alive(cx, from);
        let is_first = !self.joiner.is_joined();
        let mut reply = Vec::new();
        for message in messages {
            match message {
                Message::Ack(theirs) => self.catch_up(cx, from, theirs),
                Message::WantBuckets(wanted) => {
                    reply.extend(sync::status_updates(&cx.shared.view, wanted));
                }
                Message::WantMembers(wanted) => {
                    reply.extend(sync::members(&cx.shared.view, wanted));
                }
                Message::StatusUpdates(updates) => {
                    self.syncer.record_reply(updates.len());
                    self.handle_common(cx, message);
                }
                Message::Members(_) => {
                    if is_first && *from != cx.shared.member.host {
                        self.joiner.on_joined();
                    }
                    self.handle_common(cx, message);
                }
                _ => self.handle_common(cx, message),
            }
        }
        if std::mem::take(&mut self.is_peer_outdated) {
            reply.push(Message::Members(vec![cx.shared.member.clone()]));
        }
        reply.extend(self.request_missing());
        if is_first && self.joiner.is_joined() {
            reply.push(self.syncer.start_round(&cx.shared.view, cx.now));
        }
        if !reply.is_empty() {
            send(cx, from, reply);
        }
    }

    /// Builds a request for members whose attributes are not held.
    pub(super) fn request_missing(&mut self) -> Option<Message> {
        let missing_attributes = std::mem::take(&mut self.missing_attributes);
        (!missing_attributes.is_empty()).then_some(Message::WantMembers(missing_attributes))
    }

    /// Handles a message that means the same in a request and in a reply.
    pub(super) fn handle_common(&mut self, cx: &mut Context<'_>, message: &Message) {
        match message {
            Message::Members(members) if members.len() > sync::MAX_MEMBERS => {
                cx.shared.counters.increment(Counter::MessagesRefused);
            }
            Message::Members(members) => {
                for member in members {
                    self.merge_member(cx, member);
                }
            }
            Message::StatusUpdates(updates) => {
                for update in updates {
                    self.merge_status_update(cx, update);
                }
            }
            Message::PingResult {
                host,
                is_alive: true,
            } => self.on_alive(cx, host),
            _ => {}
        }
    }

    /// Records that a member is alive, which ends its probes.
    pub(super) fn on_alive(&mut self, cx: &mut Context<'_>, from: &Name) {
        for action in self.prober.on_alive(&cx.shared.view, from) {
            self.run_probe_action(cx, action);
        }
    }

    /// Compares a peer's digest with the local state and starts what is needed to converge: pulling
    /// records, comparing views or sending accusations.
    pub(super) fn catch_up(&mut self, cx: &mut Context<'_>, from: &Name, theirs: &Digest) {
        if theirs.next > cx.shared.tail.state().next.into()
            && cx.now.since(self.pulled_at) >= PULL_INTERVAL
        {
            self.pulled_at = cx.now;
            let from_offset = cx.shared.tail.state().next;
            send(cx, from, vec![Message::Pull { from: from_offset }]);
        }
        if theirs.view == cx.shared.view.digest() {
            self.queue.mark_all_sent(&cx.shared.view);
        } else if self.syncer.is_due(cx.now, self.changed_at) {
            let buckets = self.syncer.start_round(&cx.shared.view, cx.now);
            send(cx, from, vec![buckets]);
        }
        let is_accusation_due = theirs.quarantine != cx.shared.quarantine.digest()
            && !cx.shared.quarantine.entries().is_empty()
            && cx.now.since(self.accused_at) >= ACCUSE_INTERVAL;
        if is_accusation_due {
            self.accused_at = cx.now;
            let entries = cx.shared.quarantine.entries().to_vec();
            send(cx, from, vec![Message::Accusations(entries)]);
        }
    }
}

/// Status update about a member that is not considered alive, sent to that member so that it can
/// refute it.
pub(super) fn status_to_refute(view: &View, host: &str) -> Option<Message> {
    let member = view.get(host)?;
    (member.status != Status::Alive).then(|| Message::StatusUpdates(vec![member.status_update()]))
}
