//! Order of calls under overload, and what owners tell ingresses.

use std::time::Duration;

use buckthorn::admission::rank::Rank;
use buckthorn::admission::report::Report;

#[test]
fn calls_in_progress_go_before_all_new_ones_and_urgent_ones_first() {
    let all: Vec<Rank> = (0..Rank::COUNT)
        .map(|index| Rank::from_index(index).unwrap())
        .collect();
    assert!(all.is_sorted_by(|a, b| a < b));
    assert!(
        all.iter()
            .enumerate()
            .all(|(index, rank)| rank.index() == index)
    );
    assert_eq!(Rank::from_index(Rank::COUNT), None);
    assert!(Rank::in_progress(Rank::MAX_URGENCY) < Rank::new(0));
    assert_eq!(Rank::new(200), Rank::new(Rank::MAX_URGENCY));
}

#[test]
fn a_report_is_read_as_it_was_written() {
    let report = Report {
        running: 7,
        waiting: 5,
        waiting_in_progress: 2,
        limit: 9,
        mean_time: Duration::from_micros(160_250),
        kind_time: Duration::from_micros(40_000),
        cut: 9,
    };
    assert_eq!(Report::parse(&report.to_string()), Some(report));
    // Numbers that a later release appends are ignored.
    assert_eq!(Report::parse(&format!("{report},1,2")), Some(report));
}

#[test]
fn a_malformed_report_is_refused() {
    for text in [
        "",
        "1",
        "1,2,3,4,5,6",
        "1,2,3,4,5,6,",
        "a,0,0,9,0,0,16",
        "+1,0,0,9,0,0,16",
    ] {
        assert_eq!(Report::parse(text), None, "{text:?}");
    }
    // A limit of zero would be divided by.
    assert_eq!(Report::parse("0,0,0,0,0,0,16").unwrap().limit, 1);
    let absurd = format!("{0},{0},{0},{0},{0},{0},{0}", u64::MAX);
    assert!(Report::parse(&absurd).is_some());
}
