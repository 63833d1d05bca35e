//! Which hosts and backend servers exist, as told between nodes.
//!
//! Failure detection follows SWIM (Das, Gupta, Motivala 2002): probes, indirect probes, suspicion
//! with refutation, and deltas carried by messages. Hashes of the view by bucket repair whatever
//! the deltas missed. Every node turns its own suspicions into deaths; a death that is only heard
//! of starts a suspicion, so that a member heals from it without leaving anybody's routes.

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

/// Members of a failure domain that read the log for it.
pub const READERS: usize = 2;

/// Hosts that read the log for a failure domain: the live ones of highest rendezvous weight.
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
