//! Which hosts and backend servers exist, as told between nodes.

pub mod member;
pub mod prober;
pub mod view;

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
