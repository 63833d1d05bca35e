//! Joining the mesh through seeds and through addresses stored in the log.
//!
//! Every node appends its address to a log stream from time to time. A node without live peers
//! reads the end of that stream, and so do the readers of each failure domain, so that groups whose
//! seeds are all gone find each other.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};

use crate::clock::Time;
use crate::journal::record::Record;
use crate::kernel::LATEST;
use crate::log::Batch;
use crate::name::Name;
use crate::rpc::message::Message;

use super::member::Member;
use super::sync::MAX_MEMBERS;
use super::view::View;

/// Initial upper bound of the delay between join attempts.
const MIN_BACKOFF: Duration = Duration::from_millis(500);

/// Final upper bound of the delay between join attempts.
const MAX_BACKOFF: Duration = Duration::from_secs(15);

/// Upper bound of the delay between a joined node's attempts through addresses at which no live
/// member is known.
const SEED_INTERVAL: Duration = Duration::from_secs(30);

/// Maximum number of addresses kept from the log.
const MAX_ADDRESSES: u64 = 256;

/// Mean interval between reads of the address stream.
const READ_INTERVAL: Duration = Duration::from_secs(10);

/// Upper bound of the delay before a node's first append of its address, and before a retry.
const FIRST_APPEND: Duration = Duration::from_secs(60);

/// Mean interval between a node's appends of its address.
const APPEND_INTERVAL: Duration = Duration::from_secs(900);

/// Schedule of join attempts, with exponential backoff and full jitter.
#[derive(Clone, Debug)]
pub struct Joiner {
    /// Whether a peer has replied since this node last had no live peer.
    is_joined: bool,
    /// When the next attempt is due.
    next_attempt: Time,
    /// Upper bound of the next delay.
    backoff: Duration,
}

impl Default for Joiner {
    fn default() -> Self {
        Self {
            is_joined: false,
            next_attempt: Time::default(),
            backoff: MIN_BACKOFF,
        }
    }
}

impl Joiner {
    /// Whether a peer has replied since this node last had no live peer.
    pub fn is_joined(&self) -> bool {
        self.is_joined
    }

    /// Whether an attempt is due.
    pub fn is_due(&self, now: Time) -> bool {
        now >= self.next_attempt
    }

    /// Schedules the next attempt, with full jitter, and picks a random seed for this one. The
    /// first call after a start or after isolation only schedules.
    pub fn next_seed(
        &mut self,
        now: Time,
        seeds: &[SocketAddr],
        rng: &mut impl Rng,
    ) -> Option<SocketAddr> {
        let is_first = self.next_attempt == Time::default();
        let bound = if self.is_joined {
            SEED_INTERVAL
        } else {
            self.backoff
        };
        self.next_attempt = now + bound.mul_f64(rng.random_range(0.0..1.0));
        if is_first {
            return None;
        }
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        seeds.choose(rng).copied()
    }

    /// Records that a peer replied and resets the backoff.
    pub fn on_joined(&mut self) {
        self.is_joined = true;
        self.backoff = MIN_BACKOFF;
    }

    /// Records that no live peer is left, which restarts the attempts.
    pub fn on_isolated(&mut self) {
        if std::mem::take(&mut self.is_joined) {
            self.next_attempt = Time::default();
        }
    }
}

/// Record of the address stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressRecord {
    /// Host of the node.
    pub host: Name,
    /// Address of its control protocol.
    pub rpc: SocketAddr,
    /// Failure domain of the node.
    pub failure_domain: Name,
}

/// Addresses read from the log, and the schedule of reads and appends.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    /// Addresses, oldest first.
    addresses: Vec<SocketAddr>,
    /// Next offset to read, absent until the end of the stream is known.
    next: Option<u64>,
    /// Whether a read is in progress.
    is_reading: bool,
    /// When to read next.
    read_at: Time,
    /// When to append this node's address next, absent before the first call.
    append_at: Option<Time>,
    /// Identifier of the last append of this node's address.
    appended_id: Option<Name>,
}

impl Directory {
    /// Addresses read from the log, oldest first.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Returns the offset to read from if a read is due; [`LATEST`] to find the end of the stream.
    pub fn poll_read(&mut self, now: Time) -> Option<u64> {
        if self.is_reading || now < self.read_at {
            return None;
        }
        self.is_reading = true;
        Some(self.next.unwrap_or(LATEST))
    }

    /// Returns the record identifier if an append of this node's address is due. Delays have
    /// jitter.
    pub fn poll_append(&mut self, host: &str, now: Time, rng: &mut impl Rng) -> Option<Name> {
        let Some(append_at) = self.append_at else {
            self.append_at = Some(now + FIRST_APPEND.mul_f64(rng.random_range(0.0..1.0)));
            return None;
        };
        if now < append_at {
            return None;
        }
        self.append_at = Some(now + APPEND_INTERVAL.mul_f64(rng.random_range(0.5..1.5)));
        let id: Name = format!("join-{host}-{}", now.0).into();
        self.appended_id = Some(id.clone());
        Some(id)
    }

    /// Schedules a retry of an append that failed or whose outcome is unknown. Repeated records are
    /// harmless.
    pub fn on_append_failed(&mut self, id: &Name, now: Time, rng: &mut impl Rng) {
        if self.appended_id.as_ref() == Some(id) {
            self.append_at = Some(now + FIRST_APPEND.mul_f64(rng.random_range(0.0..1.0)));
        }
    }

    /// Stores the addresses that a read returned and schedules the next read.
    pub fn on_read(&mut self, batch: &Batch, now: Time, rng: &mut impl Rng) {
        self.is_reading = false;
        if self.next.is_none() {
            self.next = Some(batch.next.saturating_sub(MAX_ADDRESSES).max(batch.earliest));
            return;
        }
        for record in &batch.records {
            self.add(record);
        }
        let last = batch.records.last().map(|record| record.offset + 1);
        self.next = last.or(self.next).max(Some(batch.earliest));
        self.read_at = now + READ_INTERVAL.mul_f64(rng.random_range(0.5..1.5));
    }

    /// Schedules a retry of a failed read.
    pub fn on_read_failed(&mut self, now: Time, rng: &mut impl Rng) {
        self.is_reading = false;
        self.read_at = now + READ_INTERVAL.mul_f64(rng.random_range(0.0..1.0));
    }

    /// Adds the address of one record as the newest; a record that cannot be decoded is ignored.
    fn add(&mut self, record: &Record) {
        let Ok(address) = serde_json::from_str::<AddressRecord>(&record.payload) else {
            return;
        };
        self.addresses.retain(|held| *held != address.rpc);
        self.addresses.push(address.rpc);
        if self.addresses.len() > MAX_ADDRESSES as usize {
            self.addresses.remove(0);
        }
    }
}

/// Reply to a joining node: its own entry if held, members of its failure domain, then others.
///
/// Anti-entropy brings the rest of the view.
pub fn reply(view: &View, joiner: &Member) -> Message {
    let held = view.get(&joiner.host).into_iter();
    let is_near = |member: &&Member| member.failure_domain == joiner.failure_domain;
    let others = || view.live().filter(|member| member.host != joiner.host);
    let near = others().filter(is_near);
    let far = others().filter(|member| !is_near(member));
    let members = held.chain(near).chain(far).take(MAX_MEMBERS);
    Message::Members(members.cloned().collect())
}
