//! Messages of peers: probes, comparison of views, deltas.

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
    /// Answers messages of a peer.
    pub(super) fn receive(&mut self, cx: &mut Context<'_>, from: &Name, messages: &[Message]) {
        self.hear(cx, from);
        let mut reply = Vec::new();
        for message in messages {
            match message {
                Message::Ping(theirs) => {
                    reply.push(Message::Ack(digest(cx)));
                    reply.extend(charge(&cx.shared.view, from));
                    reply.extend(self.queue.piggyback(&cx.shared.view));
                    self.catch_up(cx, from, theirs);
                }
                Message::PingRequest { host } => {
                    if cx.shared.view.get(host).is_some()
                        && let Some(next) = self.prober.request(host, from, cx.now)
                    {
                        self.follow(cx, next);
                    }
                }
                Message::WantMembers(wanted) => {
                    reply.extend(sync::members(&cx.shared.view, wanted));
                }
                Message::Buckets(theirs) => reply.extend(sync::compare(&cx.shared.view, theirs)),
                Message::Join(member) => {
                    self.absorb(cx, member);
                    reply.push(Message::Ack(digest(cx)));
                    reply.push(join::reply(&cx.shared.view, member));
                }
                _ => self.take(cx, message),
            }
        }
        if std::mem::take(&mut self.is_outdated) {
            reply.push(Message::Members(vec![cx.shared.member.clone()]));
        }
        reply.extend(self.lack());
        if !reply.is_empty() {
            cx.act(Action::Reply(reply));
        }
    }

    /// Takes the answer of a peer.
    pub(super) fn answered(&mut self, cx: &mut Context<'_>, from: &Name, messages: &[Message]) {
        self.hear(cx, from);
        let is_first = !self.joiner.is_joined();
        let mut answer = Vec::new();
        for message in messages {
            match message {
                Message::Ack(theirs) => self.catch_up(cx, from, theirs),
                Message::WantBuckets(wanted) => {
                    answer.extend(sync::verdicts(&cx.shared.view, wanted));
                }
                Message::WantMembers(wanted) => {
                    answer.extend(sync::members(&cx.shared.view, wanted));
                }
                Message::StatusUpdates(verdicts) => {
                    self.syncer.note(verdicts.len());
                    self.take(cx, message);
                }
                Message::Members(_) => {
                    if is_first && *from != cx.shared.member.host {
                        self.joiner.joined();
                    }
                    self.take(cx, message);
                }
                _ => self.take(cx, message),
            }
        }
        if std::mem::take(&mut self.is_outdated) {
            answer.push(Message::Members(vec![cx.shared.member.clone()]));
        }
        answer.extend(self.lack());
        if is_first && self.joiner.is_joined() {
            answer.push(self.syncer.begin(&cx.shared.view, cx.now));
        }
        if !answer.is_empty() {
            send(cx, from, answer);
        }
    }

    /// Asks for members whose facts are not held.
    pub(super) fn lack(&mut self) -> Option<Message> {
        let lacking = std::mem::take(&mut self.lacking);
        (!lacking.is_empty()).then_some(Message::WantMembers(lacking))
    }

    /// Takes a message that is the same in a request and in an answer.
    pub(super) fn take(&mut self, cx: &mut Context<'_>, message: &Message) {
        match message {
            Message::Members(members) if members.len() > sync::MAX_MEMBERS => {
                cx.shared.counters.increment(Counter::MessagesRefused);
            }
            Message::Members(members) => {
                for member in members {
                    self.absorb(cx, member);
                }
            }
            Message::StatusUpdates(verdicts) => {
                for verdict in verdicts {
                    self.judge(cx, verdict);
                }
            }
            Message::PingResult {
                host,
                is_alive: true,
            } => self.hear(cx, host),
            _ => {}
        }
    }

    /// Notes a sign of life.
    pub(super) fn hear(&mut self, cx: &mut Context<'_>, from: &Name) {
        for next in self.prober.heard(&cx.shared.view, from) {
            self.follow(cx, next);
        }
    }

    /// Acts on a peer's digest.
    pub(super) fn catch_up(&mut self, cx: &mut Context<'_>, from: &Name, theirs: &Digest) {
        if theirs.next > cx.shared.tail.state().next && cx.now.since(self.pulled) >= PULL_INTERVAL {
            self.pulled = cx.now;
            let from_offset = cx.shared.tail.state().next;
            send(cx, from, vec![Message::Pull { from: from_offset }]);
        }
        if theirs.view == cx.shared.view.digest() {
            self.queue.credit(&cx.shared.view);
        } else if self.syncer.is_due(cx.now, self.changed) {
            let buckets = self.syncer.begin(&cx.shared.view, cx.now);
            send(cx, from, vec![buckets]);
        }
        let is_accusing = theirs.quarantine != cx.shared.quarantine.digest()
            && !cx.shared.quarantine.entries().is_empty()
            && cx.now.since(self.accused) >= ACCUSE_INTERVAL;
        if is_accusing {
            self.accused = cx.now;
            let entries = cx.shared.quarantine.entries().to_vec();
            send(cx, from, vec![Message::Accusations(entries)]);
        }
    }
}

/// What is held against a member that is not taken for alive, so that it can refute.
pub(super) fn charge(view: &View, host: &str) -> Option<Message> {
    let member = view.get(host)?;
    (member.status != Status::Alive).then(|| Message::StatusUpdates(vec![member.status_update()]))
}
