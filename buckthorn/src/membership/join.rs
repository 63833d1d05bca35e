//! Joining through seeds, and through addresses that the log remembers.
//!
//! Every node appends its own address to a stream of the log now and then. A node that knows no
//! live peer reads the end of that stream, and so do the readers of each failure domain, so that
//! groups whose seeds are all gone find each other.

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

/// First bound of the delay between attempts.
const MIN_BACKOFF: Duration = Duration::from_millis(500);

/// Last bound of the delay between attempts.
const MAX_BACKOFF: Duration = Duration::from_secs(15);

/// Bound of the delay between attempts through seeds that are not known as live members.
const SEED_INTERVAL: Duration = Duration::from_secs(30);

/// Addresses kept from the log.
const MAX_ADDRESSES: u64 = 256;

/// Mean interval between reads of the addresses in the log.
const READ_INTERVAL: Duration = Duration::from_secs(10);

/// Bound of the delay before a node first appends its address.
const FIRST_APPEND: Duration = Duration::from_secs(60);

/// Mean interval between appends of a node's address.
const APPEND_INTERVAL: Duration = Duration::from_secs(900);

/// Attempts to join.
#[derive(Clone, Debug)]
pub struct Joiner {
    /// Whether a peer answered since this node was last alone.
    is_joined: bool,
    /// When to try next.
    next: Time,
    /// Bound of the next delay.
    backoff: Duration,
}

impl Default for Joiner {
    fn default() -> Self {
        Self {
            is_joined: false,
            next: Time::default(),
            backoff: MIN_BACKOFF,
        }
    }
}

impl Joiner {
    /// Whether a peer has answered.
    pub fn is_joined(&self) -> bool {
        self.is_joined
    }

    /// Whether an attempt is due.
    pub fn is_due(&self, now: Time) -> bool {
        now >= self.next
    }

    /// Seed to join through now, if any; delays have full jitter.
    pub fn draw(
        &mut self,
        now: Time,
        seeds: &[SocketAddr],
        rng: &mut impl Rng,
    ) -> Option<SocketAddr> {
        let is_first = self.next == Time::default();
        let bound = if self.is_joined {
            SEED_INTERVAL
        } else {
            self.backoff
        };
        self.next = now + bound.mul_f64(rng.random_range(0.0..1.0));
        if is_first {
            return None;
        }
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        seeds.choose(rng).copied()
    }

    /// A peer answered.
    pub fn joined(&mut self) {
        self.is_joined = true;
        self.backoff = MIN_BACKOFF;
    }

    /// No live peer is left.
    pub fn lost(&mut self) {
        if std::mem::take(&mut self.is_joined) {
            self.next = Time::default();
        }
    }
}

/// Record of the stream of addresses.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressRecord {
    /// Host.
    pub host: Name,
    /// Address of its control protocol.
    pub rpc: SocketAddr,
    /// Failure domain.
    pub failure_domain: Name,
}

/// What the log's stream of addresses says, and when it is read and written.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    /// Addresses read last, newest last.
    addresses: Vec<SocketAddr>,
    /// Next offset to read, once the end of the stream is known.
    next: Option<u64>,
    /// Whether a read is under way.
    is_reading: bool,
    /// When to read next.
    read_at: Time,
    /// When to append the own address next.
    append_at: Option<Time>,
    /// Identifier of the last append of the own address.
    appended: Option<Name>,
}

impl Directory {
    /// Addresses read last.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Offset to read from, if a read is due.
    pub fn poll_read(&mut self, now: Time) -> Option<u64> {
        if self.is_reading || now < self.read_at {
            return None;
        }
        self.is_reading = true;
        Some(self.next.unwrap_or(LATEST))
    }

    /// Identifier under which the own address is to be appended now, if it is; delays are random.
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
        self.appended = Some(id.clone());
        Some(id)
    }

    /// Takes an append that failed or whose outcome is unknown; repeats are harmless.
    pub fn not_appended(&mut self, id: &Name, now: Time, rng: &mut impl Rng) {
        if self.appended.as_ref() == Some(id) {
            self.append_at = Some(now + FIRST_APPEND.mul_f64(rng.random_range(0.0..1.0)));
        }
    }

    /// Takes what a read returned.
    pub fn read(&mut self, batch: &Batch, now: Time, rng: &mut impl Rng) {
        self.is_reading = false;
        if self.next.is_none() {
            self.next = Some(batch.next.saturating_sub(MAX_ADDRESSES).max(batch.earliest));
            return;
        }
        for record in &batch.records {
            self.note(record);
        }
        let last = batch.records.last().map(|record| record.offset + 1);
        self.next = last.or(self.next).max(Some(batch.earliest));
        self.read_at = now + READ_INTERVAL.mul_f64(rng.random_range(0.5..1.5));
    }

    /// Takes a failed read.
    pub fn failed(&mut self, now: Time, rng: &mut impl Rng) {
        self.is_reading = false;
        self.read_at = now + READ_INTERVAL.mul_f64(rng.random_range(0.0..1.0));
    }

    /// Notes one address; records of others are ignored.
    fn note(&mut self, record: &Record) {
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

/// Answer to a node that joins: its own entry as held, its failure domain's members, then others.
///
/// A full view follows by comparing hashes.
pub fn reply(view: &View, joiner: &Member) -> Message {
    let own = view.get(&joiner.host).into_iter();
    let is_near = |member: &&Member| member.failure_domain == joiner.failure_domain;
    let others = || view.live().filter(|member| member.host != joiner.host);
    let near = others().filter(is_near);
    let far = others().filter(|member| !is_near(member));
    let members = own.chain(near).chain(far).take(MAX_MEMBERS);
    Message::Members(members.cloned().collect())
}
