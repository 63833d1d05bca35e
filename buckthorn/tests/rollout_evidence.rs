//! Owners' counts, their encoding on the wire, and the windows built from them.

use std::time::Duration;

use buckthorn::clock::Time;
use buckthorn::name::Name;
use buckthorn::rollout::evidence::{
    self, BUCKETS, MAX_ROUTES, OTHER_ROUTES, Outcome, Recorder, Report,
};
use buckthorn::rollout::window::{MAX_WINDOW, REPORT_TIMEOUT, Side, WARM_CALLS, WindowBuilder};
use expect_test::expect;

/// Latency of most calls.
const LATENCY: Duration = Duration::from_millis(5);

/// Report of a recorder's counts.
fn report(recorder: &Recorder, host: &str, incarnation: u64) -> Report {
    recorder.report(&host.into(), incarnation, &"card-desk".into(), &"v2".into())
}

/// Closes the window and returns the new version's failed calls in it.
fn failed(window_builder: &mut WindowBuilder, now: Time) -> u64 {
    let window = window_builder.close(now).expect("the window is complete");
    let tallies = window.new.iter().flat_map(|(_, tallies)| tallies);
    tallies.map(|tally| tally.failed()).sum()
}

#[test]
fn report_is_small_on_the_wire_and_round_trips() {
    let recorder = Recorder::new();
    for _ in 0..40 {
        recorder.record("/lookup", Outcome::Ok, LATENCY);
    }
    recorder.record("/lookup", Outcome::Broken, LATENCY);
    recorder.record("/lookup", Outcome::Cancelled, LATENCY);
    let report = report(&recorder, "host-01", 7);
    let text = serde_json::to_string(&report).expect("encodes");
    expect![[
        r#"{"h":"host-01","i":7,"s":"card-desk","v":"v2","r":[["/lookup",40,0,1,0,0,0,26,40]]}"#
    ]]
    .assert_eq(&text);
    assert_eq!(
        serde_json::from_str::<Report>(&text).expect("decodes"),
        report
    );
}

#[test]
fn malformed_counts_are_refused() {
    let long = format!("[\"/x\",0,0,0,0,0,0,{},1]", BUCKETS);
    let huge = format!("[\"/x\",{},0,0,0,0,0,0]", u64::MAX);
    for text in ["[]", "[\"/x\",1]", "[\"/x\",0,0,0,0,0,0,-1]", &long, &huge] {
        let tally: Result<evidence::Tally, _> = serde_json::from_str(text);
        assert!(tally.is_err(), "{text} was accepted");
    }
}

#[test]
fn report_with_duplicate_routes_is_invalid() {
    let recorder = Recorder::new();
    recorder.record("/a", Outcome::Ok, LATENCY);
    let mut report = report(&recorder, "h", 1);
    assert!(report.is_valid());
    report.routes.push(report.routes[0].clone());
    assert!(!report.is_valid());
}

#[test]
fn routes_over_the_limit_are_counted_together() {
    let recorder = Recorder::new();
    for index in 0..3 * MAX_ROUTES {
        recorder.record(&format!("/{index}"), Outcome::Error, LATENCY);
    }
    let report = report(&recorder, "h", 1);
    assert_eq!(report.routes.len(), MAX_ROUTES + 1);
    let other = report.routes.iter().find(|t| &*t.route == OTHER_ROUTES);
    assert_eq!(other.map(|t| t.failed()), Some(2 * MAX_ROUTES as u64));
}

#[test]
fn threads_lose_no_count() {
    let recorder = Recorder::new();
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                for index in 0..10_000 {
                    recorder.record(["/a", "/b"][index % 2], Outcome::Ok, LATENCY);
                }
            });
        }
    });
    let calls: u64 = report(&recorder, "h", 1)
        .routes
        .iter()
        .map(|t| t.calls())
        .sum();
    assert_eq!(calls, 40_000);
}

#[test]
fn key_is_the_prefix_or_the_first_segment() {
    assert_eq!(evidence::route_key("", "/lookup/7?x"), "/lookup");
    assert_eq!(evidence::route_key("", "/lookup?x=/y"), "/lookup");
    assert_eq!(evidence::route_key("/a/b", "/a/b/c"), "/a/b");
    assert_eq!(evidence::route_key("", ""), "");
}

#[test]
fn buckets_hold_their_latencies() {
    for micros in [1, 64, 65, 1_000, 123_456, 60_000_000] {
        let latency = Duration::from_micros(micros);
        let bucket = evidence::bucket(latency);
        let slack = Duration::from_nanos(200);
        assert!(latency <= evidence::upper_edge(bucket) + slack, "{micros}");
        assert!(
            bucket == 0 || latency + slack > evidence::upper_edge(bucket - 1),
            "{micros}"
        );
    }
}

#[test]
fn first_report_restart_and_long_silence_are_only_baselines() {
    let (mut recorder, mut now) = (Recorder::new(), Time::from_secs(1_000));
    let mut window_builder = WindowBuilder::new(now);
    let mut failed_in_next_window = |window_builder: &mut WindowBuilder,
                                     recorder: &Recorder,
                                     incarnation: u64,
                                     after: Duration| {
        now = now + after;
        window_builder.record_report(&report(recorder, "h", incarnation), Side::New, now);
        now = now + MAX_WINDOW;
        failed(window_builder, now)
    };
    let error = |recorder: &Recorder| recorder.record("/a", Outcome::Error, LATENCY);
    let short = Duration::from_millis(100);
    error(&recorder);
    assert_eq!(
        failed_in_next_window(&mut window_builder, &recorder, 1, short),
        0,
        "first report"
    );
    error(&recorder);
    assert_eq!(
        failed_in_next_window(&mut window_builder, &recorder, 1, short),
        1,
        "counted"
    );
    assert_eq!(
        failed_in_next_window(&mut window_builder, &recorder, 1, short),
        0,
        "counted once"
    );
    error(&recorder);
    assert_eq!(
        failed_in_next_window(&mut window_builder, &recorder, 1, REPORT_TIMEOUT),
        0,
        "silent for too long"
    );
    recorder = Recorder::new();
    error(&recorder);
    assert_eq!(
        failed_in_next_window(&mut window_builder, &recorder, 2, short),
        0,
        "restarted"
    );
    error(&recorder);
    assert_eq!(
        failed_in_next_window(&mut window_builder, &recorder, 2, short),
        1,
        "counted again"
    );
    error(&recorder);
    assert_eq!(
        failed_in_next_window(&mut window_builder, &recorder, 1, short),
        0,
        "old incarnation"
    );
}

#[test]
fn partial_report_is_no_baseline() {
    let recorder = Recorder::new();
    let now = Time::from_secs(1_000);
    let mut window_builder = WindowBuilder::new(now);
    for _ in 0..100 {
        recorder.record("/a", Outcome::Error, LATENCY);
    }
    let full = report(&recorder, "h", 1);
    let partial = Report {
        is_partial: true,
        routes: Vec::new(),
        ..full.clone()
    };
    window_builder.record_report(&partial, Side::New, now);
    window_builder.record_report(&full, Side::New, now);
    assert_eq!(failed(&mut window_builder, now + MAX_WINDOW), 0);
}

#[test]
fn window_waits_for_an_owner_that_lags_but_not_for_long() {
    let recorder = Recorder::new();
    let mut now = Time::from_secs(1_000);
    let mut window_builder = WindowBuilder::new(now);
    for host in ["a", "b"] {
        window_builder.record_report(&report(&recorder, host, 1), Side::Old, now);
    }
    now = now + Duration::from_millis(600);
    window_builder.record_report(&report(&recorder, "a", 1), Side::Old, now);
    assert_eq!(window_builder.close(now), None, "b has not reported");
    assert!(window_builder.close(now + MAX_WINDOW).is_some());
}

#[test]
fn cold_server_counts_by_failures_but_not_by_latency() {
    let recorder = Recorder::new();
    let mut now = Time::from_secs(1_000);
    let mut window_builder = WindowBuilder::new(now);
    let mut count_calls = |calls: u64| {
        for _ in 0..calls {
            recorder.record("/a", Outcome::Ok, LATENCY);
        }
        now = now + MAX_WINDOW;
        window_builder.record_report(&report(&recorder, "h", 1), Side::New, now);
        now = now + MAX_WINDOW;
        let window = window_builder.close(now).expect("the window is complete");
        let tallies: Vec<_> = window.new.into_iter().flat_map(|(_, t)| t).collect();
        let calls: u64 = tallies.iter().map(|t| t.calls()).sum();
        let timed: u64 = tallies.iter().flat_map(|t| &t.buckets).sum();
        (calls, timed)
    };
    assert_eq!(count_calls(0), (0, 0));
    assert_eq!(count_calls(WARM_CALLS), (WARM_CALLS, 0), "cold");
    assert_eq!(count_calls(5), (5, 5), "warm");
}

#[test]
fn slots_keep_names_that_share_a_hash_bucket() {
    let recorder = Recorder::new();
    let names: Vec<Name> = (0..MAX_ROUTES).map(|i| format!("/r{i}").into()).collect();
    for name in names.iter().chain(&names) {
        recorder.record(name, Outcome::Ok, LATENCY);
    }
    let report = report(&recorder, "h", 1);
    assert_eq!(report.routes.len(), MAX_ROUTES);
    assert!(report.routes.iter().all(|t| t.calls() == 2));
}
