//! Anti-entropy: repairs differences between views by comparing hashes.
//!
//! A node whose view hash differs from a peer's sends its bucket hashes. The peer replies with
//! status updates for its members in the buckets that differ and requests the same in return. Only
//! members whose attributes are not held are then requested whole. Messages are bounded, so a large
//! difference takes several rounds.

use std::time::Duration;

use crate::clock::Time;
use crate::name::Name;
use crate::rpc::message::{Message, StatusUpdate};

use super::member::Member;
use super::view::View;

/// Maximum number of members or status updates in one message.
pub const MAX_MEMBERS: usize = 100;

/// Minimum interval between rounds while the view is changing.
const BUSY_INTERVAL: Duration = Duration::from_secs(5);

/// Minimum interval between rounds while the view is stable.
const QUIET_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum interval between rounds while catching up after a start or a partition.
const CATCH_UP_INTERVAL: Duration = Duration::from_millis(300);

/// Time without changes after which a difference can no longer be due to deltas in flight.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Schedule of anti-entropy rounds.
#[derive(Clone, Debug, Default)]
pub struct Syncer {
    /// When the last round started.
    started: Time,
    /// Whether the last reply held at least half of [`MAX_MEMBERS`] updates, so that more are to be
    /// expected.
    is_behind: bool,
}

impl Syncer {
    /// Whether to start a round with a peer whose digest differs.
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

    /// Starts a round and returns the message to send.
    pub fn start_round(&mut self, view: &View, now: Time) -> Message {
        self.started = now;
        self.is_behind = false;
        Message::Buckets(view.buckets())
    }

    /// Records the number of status updates in a reply.
    pub fn record_reply(&mut self, updates: usize) {
        self.is_behind = updates >= MAX_MEMBERS / 2;
    }
}

/// Replies to a peer's bucket hashes with status updates for the buckets that differ and a request
/// for the peer's.
pub fn compare(view: &View, theirs: &[u64]) -> Vec<Message> {
    let mut differing = view.differing_buckets(theirs);
    if differing.is_empty() {
        return Vec::new();
    }
    // Rotating keeps a bucket that stays different from starving the others.
    let start = view.digest() % differing.len() as u64;
    differing.rotate_left(start as usize);
    let updates = collect_updates(view, &mut differing);
    vec![
        Message::StatusUpdates(updates),
        Message::WantBuckets(differing),
    ]
}

/// Status updates for the buckets that a peer requests; `None` if there are none.
pub fn status_updates(view: &View, wanted: &[u16]) -> Option<Message> {
    let mut buckets = wanted.to_vec();
    buckets.truncate(super::view::BUCKETS);
    let updates = collect_updates(view, &mut buckets);
    (!updates.is_empty()).then_some(Message::StatusUpdates(updates))
}

/// Whole members that a peer requests; `None` if none is known.
pub fn members(view: &View, wanted: &[Name]) -> Option<Message> {
    let members: Vec<Member> = wanted
        .iter()
        .take(MAX_MEMBERS)
        .filter_map(|host| view.get(host).cloned())
        .collect();
    (!members.is_empty()).then_some(Message::Members(members))
}

/// Collects status updates for the first buckets that fit into one message and truncates `buckets`
/// to those.
fn collect_updates(view: &View, buckets: &mut Vec<u16>) -> Vec<StatusUpdate> {
    let mut updates: Vec<StatusUpdate> = Vec::new();
    let mut included = 0;
    for &bucket in buckets.iter() {
        let before = updates.len();
        updates.extend(view.members_in_bucket(bucket).map(Member::status_update));
        if updates.len() > MAX_MEMBERS && before > 0 {
            updates.truncate(before);
            break;
        }
        included += 1;
    }
    updates.truncate(MAX_MEMBERS);
    buckets.truncate(included);
    updates
}
