//! Membership: which hosts and backend servers exist, spread between nodes by gossip.
//!
//! Failure detection follows SWIM (Das, Gupta, Motivala 2002): probes, indirect probes, suspicion
//! with refutation, and deltas piggybacked on messages. Anti-entropy over bucket hashes repairs
//! whatever the deltas missed. A node marks a member dead only after its own suspicion has timed
//! out; a death reported by a peer starts a suspicion, so that a member can refute it without being
//! removed from any node's routing table. The exception is a host whose address now belongs to a
//! host with a later incarnation: it is marked dead at once.

pub mod gossip;
pub mod join;
pub mod member;
pub mod plugin;
pub mod prober;
pub mod report;
pub mod sync;
pub mod view;

mod exchange;
mod update;

pub use plugin::register;

use crate::name::{self, Name};

use view::View;

/// Number of nodes that read the log on behalf of a failure domain.
pub const READERS: usize = 2;

/// Hosts that read the log for a failure domain: the live ones with the highest rendezvous weight.
pub fn readers(view: &View, failure_domain: &str) -> Vec<Name> {
    let mut hosts: Vec<(u64, &Name)> = view
        .live()
        .filter(|member| *member.failure_domain == *failure_domain)
        .map(|member| (name::rendezvous(failure_domain, &member.host), &member.host))
        .collect();
    hosts.sort_by(|a, b| b.cmp(a));
    hosts
        .into_iter()
        .take(READERS)
        .map(|(_, host)| host.clone())
        .collect()
}
