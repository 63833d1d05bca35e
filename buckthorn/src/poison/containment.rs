//! Plug-in that contains poison requests.
//!
//! The owner of a backend server that crashed reports the lost calls to two collectors, chosen by
//! rendezvous hashing among the live members and in different failure domains, and compares them
//! itself as well. A collector notifies all nodes at once which request is responsible. Nodes whose
//! probes show that they lack a part of the list, because they have just started or were cut off,
//! get it whole.
//!
//! The collectors also keep the list in the platform's store, where each node reads it before it is
//! ready, so that it outlives a restart of all nodes.

use std::time::Duration;

use crate::clock::Time;
use crate::counter::Counter;
use crate::kernel::{Action, Context, Event, Plugin, Registry};
use crate::log_event::LogEvent;
use crate::membership::member::Member;
use crate::name::Name;
use crate::rollout::evaluator;
use crate::rpc::message::{Digest, Message};

use super::blocklist::{Blocklist, Level, MAX_ENTRIES, Notice, RETENTION, Record};
use super::collector::Collector;
use super::crash::{Crash, MAX_SUSPECTS};
use super::fingerprint::Fingerprint;

/// Key of the rendezvous hash that chooses collectors.
const COLLECTOR_KEY: &str = "poison.collector";

/// Interval at which a node sends its whole list to nodes that lack a part of it.
const SYNC_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between attempts to store the list.
const STORE_INTERVAL: Duration = Duration::from_secs(1);

/// Registers the plug-in.
pub fn register(registry: &mut Registry) {
    registry.add(Containment {
        collector: Collector::default(),
        synced_at: Time::default(),
        stored: Stored::default(),
    });
}

/// Reports crashes, compares them and keeps the list of poison requests.
#[derive(Debug)]
struct Containment {
    /// Crashes that this node knows of.
    collector: Collector,
    /// When this node last sent its whole list.
    synced_at: Time,
    /// What this node knows of the list in the platform's store.
    stored: Stored,
}

/// What a node knows of the list in the platform's store.
#[derive(Debug, Default)]
struct Stored {
    /// Hash of the list that this node last read or stored.
    digest: Option<u64>,
    /// Hash of the list that is being stored.
    pending: u64,
    /// When it was last to be stored.
    tried_at: Time,
    /// Era of the store; the list may be lost when it comes back from an older copy.
    era: u16,
}

impl Plugin for Containment {
    fn name(&self) -> &'static str {
        "containment"
    }

    fn handle(&mut self, cx: &mut Context<'_>, event: &Event) {
        match event {
            Event::Tick => {
                if cx.shared.blocklist.prune(cx.now) {
                    cx.act(Action::UpdateBlocklist);
                }
                self.store(cx);
            }
            Event::BlocklistRead(records) => self.load(cx, records),
            Event::BlocklistStored(true) => self.stored.digest = Some(self.stored.pending),
            Event::BackendCrashed(crash) => self.report(cx, crash),
            Event::Received { from, messages } | Event::Replied { from, messages } => {
                for message in messages {
                    self.receive(cx, from, message);
                }
            }
            _ => {}
        }
    }
}

impl Containment {
    /// Reports a crash of the local backend server to the collectors.
    fn report(&mut self, cx: &mut Context<'_>, crash: &Crash) {
        log_crash(cx, crash);
        if crash.suspects.is_empty() {
            return;
        }
        let collectors = evaluator::select(&cx.shared.view, COLLECTOR_KEY);
        let collectors: Vec<Member> = collectors.into_iter().cloned().collect();
        for collector in collectors {
            if collector.host != cx.shared.identity.host {
                cx.send(&collector, vec![Message::Crash(crash.clone())]);
            }
        }
        self.collect(cx, crash);
    }

    /// Handles one message of a peer.
    fn receive(&mut self, cx: &mut Context<'_>, from: &Name, message: &Message) {
        match message {
            Message::Crash(crash) if crash.suspects.len() <= MAX_SUSPECTS => {
                self.collect(cx, crash);
            }
            Message::Blocklist(notices) if notices.len() <= MAX_ENTRIES => {
                merge(cx, notices, &format!("reported by {from}"));
            }
            Message::Crash(_) | Message::Blocklist(_) => {
                cx.shared.counters.increment(Counter::MessagesRefused);
            }
            Message::Ping(digest) | Message::Ack(digest) => self.sync(cx, from, digest),
            _ => {}
        }
    }

    /// Compares a crash with others and notifies all nodes of the requests to restrict.
    fn collect(&mut self, cx: &mut Context<'_>, crash: &Crash) {
        let levels = self.collector.add(crash, cx.now);
        let notice = |(fingerprint, level): &(Fingerprint, Level)| Notice {
            fingerprint: *fingerprint,
            level: *level,
            remaining_ms: RETENTION.as_millis() as u64,
        };
        let notices: Vec<Notice> = levels.iter().map(notice).collect();
        let added = merge(cx, &notices, "lost in repeated crashes");
        if !added.is_empty() {
            cx.broadcast(&Message::Blocklist(added));
        }
    }

    /// Keeps the list in the platform's store, if this node is a collector and the stored list may be
    /// another one.
    fn store(&mut self, cx: &mut Context<'_>) {
        let era = cx.shared.orders.next().era;
        if era != self.stored.era {
            self.stored.era = era;
            self.stored.digest = None;
        }
        let digest = cx.shared.blocklist.digest();
        if cx.shared.blocklist.is_empty()
            || self.stored.digest == Some(digest)
            || cx.now.since(self.stored.tried_at) < STORE_INTERVAL
        {
            return;
        }
        let collectors = evaluator::select(&cx.shared.view, COLLECTOR_KEY);
        if collectors
            .iter()
            .any(|member| member.host == cx.shared.identity.host)
        {
            self.stored.tried_at = cx.now;
            self.stored.pending = digest;
            cx.act(Action::StoreBlocklist(cx.shared.blocklist.records(cx.now)));
        }
    }

    /// Takes over the list from the platform's store.
    fn load(&mut self, cx: &mut Context<'_>, records: &[Record]) {
        let notices: Vec<Notice> = records.iter().map(|record| record.notice(cx.now)).collect();
        let mut stored = Blocklist::default();
        stored.merge(&notices, cx.now);
        self.stored.digest = Some(stored.digest());
        merge(cx, &notices, "kept in the store");
    }

    /// Sends the whole list to a node whose digest shows another one.
    fn sync(&mut self, cx: &mut Context<'_>, from: &Name, digest: &Digest) {
        let blocklist = &cx.shared.blocklist;
        let is_due = cx.now.since(self.synced_at) >= SYNC_INTERVAL;
        if blocklist.is_empty() || digest.blocklist == blocklist.digest() || !is_due {
            return;
        }
        let notices = blocklist.notices(cx.now);
        if let Some(member) = cx.shared.view.get(from).cloned() {
            self.synced_at = cx.now;
            cx.send(&member, vec![Message::Blocklist(notices)]);
        }
    }
}

/// Merges entries into the list of this node; returns those that are new.
fn merge(cx: &mut Context<'_>, notices: &[Notice], cause: &str) -> Vec<Notice> {
    let added = cx.shared.blocklist.merge(notices, cx.now);
    for notice in &added {
        let detail = format!("{:?}, {cause}", notice.level);
        cx.log_event(LogEvent::RequestBlocked, notice.fingerprint, detail);
    }
    if !added.is_empty() {
        cx.act(Action::UpdateBlocklist);
    }
    added
}

/// Logs a crash of the local backend server.
fn log_crash(cx: &mut Context<'_>, crash: &Crash) {
    let suspects = crash.suspects.iter();
    let fingerprints: Vec<String> = suspects.map(|s| s.fingerprint.to_string()).collect();
    let detail = format!("{} calls lost: {}", crash.lost, fingerprints.join(" "));
    cx.log_event(LogEvent::BackendCrashed, "", detail);
}
