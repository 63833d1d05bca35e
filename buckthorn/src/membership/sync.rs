//! Repair of differing views by their hashes.
//!
//! A node whose view hashes differently from a peer's sends its hashes by bucket; the peer answers
//! with verdicts on its members of the buckets that differ and asks for the same in return. Only
//! the members whose facts are not held are then asked for whole. Messages are bounded, so a large
//! difference takes several rounds.

use std::time::Duration;

use crate::clock::Time;
use crate::name::Name;
use crate::rpc::message::{Message, StatusUpdate};

use super::member::Member;
use super::view::View;

/// Members or verdicts in one message.
pub const MAX_MEMBERS: usize = 100;

/// Shortest time between rounds while the view changes anyway.
const BUSY_INTERVAL: Duration = Duration::from_secs(5);

/// Shortest time between rounds of a quiet view.
const QUIET_INTERVAL: Duration = Duration::from_secs(1);

/// Shortest time between rounds while catching up after a start or a cut.
const CATCH_UP_INTERVAL: Duration = Duration::from_millis(300);

/// Time without changes after which deltas on their way explain no difference.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// When to compare views.
#[derive(Clone, Debug, Default)]
pub struct Syncer {
    /// When the last round began.
    started: Time,
    /// Whether the last round brought a full message, so that more is to come.
    is_behind: bool,
}

impl Syncer {
    /// Whether to begin a round with a peer whose digest differs.
    pub fn is_due(&self, now: Time, changed: Time) -> bool {
        let interval = if self.is_behind {
            CATCH_UP_INTERVAL
        } else if now.since(changed) >= SETTLE_TIME {
            QUIET_INTERVAL
        } else {
            BUSY_INTERVAL
        };
        now.since(self.started) >= interval
    }

    /// Begins a round.
    pub fn begin(&mut self, view: &View, now: Time) -> Message {
        self.started = now;
        self.is_behind = false;
        Message::Buckets(view.buckets())
    }

    /// Notes how many verdicts an answer brought.
    pub fn note(&mut self, verdicts: usize) {
        self.is_behind = verdicts >= MAX_MEMBERS / 2;
    }
}

/// Answer to a peer's hashes: verdicts on the members that differ, and a wish for the peer's.
pub fn compare(view: &View, theirs: &[u64]) -> Vec<Message> {
    let mut differing = view.differing_buckets(theirs);
    if differing.is_empty() {
        return Vec::new();
    }
    // A bucket that stays different must not keep the others from their turn.
    let start = view.digest() % differing.len() as u64;
    differing.rotate_left(start as usize);
    let verdicts = collect(view, &mut differing);
    vec![
        Message::StatusUpdates(verdicts),
        Message::WantBuckets(differing),
    ]
}

/// Verdicts for a peer that asks for buckets.
pub fn verdicts(view: &View, wanted: &[u16]) -> Option<Message> {
    let mut buckets = wanted.to_vec();
    buckets.truncate(super::view::BUCKETS);
    let verdicts = collect(view, &mut buckets);
    (!verdicts.is_empty()).then_some(Message::StatusUpdates(verdicts))
}

/// Whole members for a peer that lacks their facts.
pub fn members(view: &View, wanted: &[Name]) -> Option<Message> {
    let members: Vec<Member> = wanted
        .iter()
        .take(MAX_MEMBERS)
        .filter_map(|host| view.get(host).cloned())
        .collect();
    (!members.is_empty()).then_some(Message::Members(members))
}

/// Verdicts on the first buckets that fit one message; `buckets` is cut to those.
fn collect(view: &View, buckets: &mut Vec<u16>) -> Vec<StatusUpdate> {
    let mut verdicts: Vec<StatusUpdate> = Vec::new();
    let mut taken = 0;
    for &bucket in buckets.iter() {
        let before = verdicts.len();
        verdicts.extend(view.members_in_bucket(bucket).map(Member::status_update));
        if verdicts.len() > MAX_MEMBERS && before > 0 {
            verdicts.truncate(before);
            break;
        }
        taken += 1;
    }
    verdicts.truncate(MAX_MEMBERS);
    buckets.truncate(taken);
    verdicts
}
