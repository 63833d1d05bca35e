//! Counts of nodes that die, restart and report more than once.

use std::time::Duration;

use buckthorn::clock::Time;
use buckthorn::name::Name;
use buckthorn::usage::Counts;
use buckthorn::usage::collector::{Collector, Report};
use buckthorn::usage::meter::{self, Tally};
use buckthorn::usage::schedule::Schedule;

const SCHEDULE: Schedule = Schedule {
    window: Duration::from_secs(5),
    late: Duration::from_secs(10),
};

fn counts(list: &[(&str, u64)]) -> Counts {
    list.iter().map(|(name, n)| ((*name).into(), *n)).collect()
}

fn report(incarnation: u64, at: u64, windows: &[(u64, &[(&str, u64)])]) -> Report {
    let windows = windows.iter().map(|(window, list)| (*window, counts(list)));
    Report {
        incarnation,
        at: Time::from_secs(at),
        windows: windows.collect(),
    }
}

#[test]
fn a_report_that_is_lost_repeated_or_late_counts_nothing_twice() {
    let mut collector = Collector::default();
    let host: Name = "h1".into();
    for (at, north) in [(1, 2), (3, 5), (3, 5), (2, 4)] {
        collector.merge(&host, report(1, at, &[(7, &[("north", north)])]), 0, 9);
    }
    assert_eq!(collector.sum(7), counts(&[("north", 5)]));
    // The node restarts, and counts from zero.
    collector.merge(
        &host,
        report(2, 4, &[(7, &[("north", 1), ("south", 3)])]),
        0,
        9,
    );
    collector.merge(
        &"h2".into(),
        report(1, 4, &[(7, &[("east", 0), ("south", 1)])]),
        0,
        9,
    );
    let expected = counts(&[("north", 6), ("south", 4)]);
    assert_eq!(collector.sum(7), expected);
    assert_eq!(collector.sum(8), counts(&[]));
}

#[test]
fn a_window_is_complete_once_each_node_has_reported_after_its_end() {
    let mut collector = Collector::default();
    let hosts: [Name; 2] = ["h1".into(), "h2".into()];
    let end = Time::from_secs(40);
    collector.merge(&hosts[0], report(1, 41, &[]), 0, 9);
    assert!(!collector.is_complete(end, &hosts));
    collector.merge(&hosts[1], report(1, 39, &[(7, &[("north", 1)])]), 0, 9);
    assert!(!collector.is_complete(end, &hosts));
    collector.merge(&hosts[1], report(1, 40, &[(7, &[("north", 2)])]), 0, 9);
    assert!(collector.is_complete(end, &hosts));
    // The counts of a node that died remain.
    assert!(collector.is_complete(end, &hosts[..1]));
    assert_eq!(collector.sum(7), counts(&[("north", 2)]));
}

#[test]
fn what_a_peer_can_make_a_collector_hold_is_bounded() {
    let mut collector = Collector::default();
    let host: Name = "h1".into();
    for incarnation in 0..100 {
        let far = report(
            incarnation,
            1,
            &[(7, &[("north", 1)]), (u64::MAX, &[("north", 1)])],
        );
        collector.merge(&host, far, 5, 9);
    }
    assert_eq!(collector.sum(u64::MAX), counts(&[]));
    assert_eq!(collector.sum(7), counts(&[("north", 8)]));
    collector.prune(8, Time::from_secs(2));
    assert!(!collector.is_complete(Time::default(), [&host]));
}

#[test]
fn requests_count_in_the_window_in_which_they_began_unless_they_did_not_run() {
    let (meter, changes) = meter::channel(SCHEDULE);
    let mut tally = Tally::default();
    let begin = |tenant, at| meter.begin(tenant, Time::from_millis(at)).unwrap();
    begin("north", 4_999);
    begin("north", 5_000);
    begin("south", 5_001);
    begin("north", 9_999).withdraw();
    changes.try_iter().for_each(|change| tally.apply(change));
    let expected = vec![
        (0, counts(&[("north", 1)])),
        (1, counts(&[("north", 1), ("south", 1)])),
    ];
    assert_eq!(tally.windows, expected);
    tally.prune(1);
    assert_eq!(tally.windows, expected[1..]);
}

#[test]
fn windows_are_open_until_they_are_due() {
    let ends = SCHEDULE.end(7);
    assert_eq!(ends, Time::from_secs(40));
    assert_eq!(SCHEDULE.due(7), Time::from_secs(50));
    assert_eq!(SCHEDULE.first_open(Time::from_millis(49_999)), 7);
    assert_eq!(SCHEDULE.first_open(Time::from_secs(50)), 8);
    for rank in 0..3 {
        assert!(SCHEDULE.cutoff(7) < SCHEDULE.takeover(7, rank));
        assert!(SCHEDULE.takeover(7, rank) + Duration::from_secs(3) < SCHEDULE.due(7));
    }
}
