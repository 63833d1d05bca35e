//! Schedule of shares, computed backwards from the deadline.

use std::time::Duration;

use buckthorn::clock::Time;
use buckthorn::config::intent::FULL_SHARE;
use buckthorn::rollout::schedule::{self, MAX_CANARY, MIN_CANARY, MIN_DWELL};
use proptest::prelude::*;

/// Start of the moves.
const START: Time = Time::from_secs(1_000);

proptest! {
    #[test]
    fn unheld_move_reaches_full_share(secs in 60u64..100_000, canary in MIN_CANARY..=MAX_CANARY) {
        let deadline = START + Duration::from_secs(secs);
        let (mut share, mut since) = (0, START);
        while share < FULL_SHARE {
            let plan = schedule::plan(share, canary, since, START, deadline);
            prop_assert!(plan.next > share && plan.due >= since);
            prop_assert!(plan.next <= share * schedule::FAST_GROWTH || share == 0);
            (share, since) = (plan.next, plan.due);
        }
        prop_assert!(since <= deadline, "full at {since}, deadline {deadline}");
    }

    #[test]
    fn move_released_at_the_last_moment_reaches_full_share_by_its_deadline(
        secs in 60u64..100_000,
        share in MIN_CANARY..FULL_SHARE,
    ) {
        let deadline = START + Duration::from_secs(secs);
        let last = schedule::plan(share, MIN_CANARY, START, START, deadline).last_moment;
        let (mut share, mut now) = (share, last);
        while share < FULL_SHARE {
            share = schedule::plan(share, MIN_CANARY, now, START, deadline).next;
            now = now + MIN_DWELL;
        }
        prop_assert!(now <= deadline + MIN_DWELL);
    }

    #[test]
    fn canary_is_small(calls in 0.0..10_000.0f64, secs in 0u64..10_000) {
        let canary = schedule::canary_share(calls, 100, Duration::from_secs(secs));
        prop_assert!((MIN_CANARY..=MAX_CANARY).contains(&canary));
    }
}
