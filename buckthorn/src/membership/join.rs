//! Joining through seeds, and trying again when all peers are gone.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;

use crate::clock::Time;
use crate::rpc::message::Message;

use super::member::Member;
use super::sync::MAX_MEMBERS;
use super::view::View;

/// First bound of the delay between attempts.
const MIN_BACKOFF: Duration = Duration::from_millis(500);

/// Last bound of the delay between attempts.
const MAX_BACKOFF: Duration = Duration::from_secs(15);

/// Bound of the delay between attempts through seeds that are not known as live members.
const SEED_INTERVAL: Duration = Duration::from_secs(60);

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

/// Answer to a node that joins: its own entry as held, its failure domain's members, then others.
///
/// A full view follows by comparing hashes.
pub fn answer(view: &View, joiner: &Member) -> Message {
    let own = view.get(&joiner.host).into_iter();
    let is_near = |member: &&Member| member.failure_domain == joiner.failure_domain;
    let others = || view.live().filter(|member| member.host != joiner.host);
    let near = others().filter(is_near);
    let far = others().filter(|member| !is_near(member));
    let members = own.chain(near).chain(far).take(MAX_MEMBERS);
    Message::Members(members.cloned().collect())
}
