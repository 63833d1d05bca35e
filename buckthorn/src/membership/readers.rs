//! Which members of a failure domain read the log for it.

use crate::name::{self, Name};

use super::view::View;

/// Readers of each failure domain.
const READERS: usize = 2;

/// The top two live hosts of a failure domain by rendezvous hash; the first also reports.
pub fn readers(view: &View, failure_domain: &str) -> Vec<Name> {
    let mut ranked: Vec<(u64, &Name)> = view
        .live()
        .filter(|member| *member.failure_domain == *failure_domain)
        .map(|member| {
            let weight = name::rendezvous(failure_domain, &member.host);
            (weight, &member.host)
        })
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.truncate(READERS);
    ranked.into_iter().map(|(_, host)| host.clone()).collect()
}
