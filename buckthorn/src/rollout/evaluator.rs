//! Selection of the hosts that evaluate a move.
//!
//! The lease holder decides in the log. In addition, a few evaluators, chosen by rendezvous hashing
//! among the live members, process the same evidence and raise accusations if the holder or the log
//! is unavailable. They are spread over failure domains; a partitioned domain selects evaluators of
//! its own as soon as its membership view has dropped the other members.

use crate::membership::member::Member;
use crate::membership::view::View;
use crate::name::{self, Name};

/// Number of evaluators of a move besides the lease holder.
pub const EVALUATORS: usize = 2;

/// Evaluators of a move by rank, from distinct failure domains if there are enough domains.
pub fn select<'a>(view: &'a View, move_id: &str) -> Vec<&'a Member> {
    let mut ranked: Vec<(u64, &Member)> = view
        .live()
        .map(|member| (name::rendezvous(move_id, &member.host), member))
        .collect();
    ranked.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.host.cmp(&b.1.host)));
    let mut domains: Vec<&Name> = Vec::with_capacity(EVALUATORS);
    let (mut selected, mut same_domain) = (Vec::new(), Vec::new());
    for (_, member) in ranked {
        if selected.len() == EVALUATORS {
            break;
        }
        if domains.contains(&&member.failure_domain) {
            same_domain.push(member);
        } else {
            domains.push(&member.failure_domain);
            selected.push(member);
        }
    }
    let missing = EVALUATORS - selected.len();
    selected.extend(same_domain.into_iter().take(missing));
    selected
}
