//! Which hosts judge a move by the owners' evidence.
//!
//! The lease's holder decides in the log; beside it a few judges, chosen by rendezvous among the
//! live members, evaluate the same evidence and raise accusations when the holder or the log is
//! away. They are spread over failure domains; a domain that is cut off chooses judges of its own
//! as soon as its view has dropped the others.

use crate::membership::member::Member;
use crate::membership::view::View;
use crate::name::{self, Name};

/// Judges of a move, the lease's holder not counted.
pub const EVALUATORS: usize = 2;

/// Judges of a move, at most one from each failure domain while there are enough domains.
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
