//! Which request is held responsible for crashes, and how long it is refused.

use std::time::Duration;

use buckthorn::clock::Time;
use buckthorn::poison::blocklist::{Blocklist, Level, MAX_ENTRIES, Notice, RETENTION};
use buckthorn::poison::collector::{Collector, MAX_RECORDS};
use buckthorn::poison::crash::Crash;
use buckthorn::poison::fingerprint::{Fingerprint, Suspect};
use http::Request;
use http::request::Parts;
use proptest::prelude::*;

const NOW: Time = Time::from_secs(1_000);
const POISON: Fingerprint = Fingerprint(1 << 60);

fn crash(id: u64, suspects: &[(Fingerprint, u64)]) -> Crash {
    let suspects = suspects.iter();
    Crash {
        id,
        lost: suspects.len() as u32,
        suspects: suspects
            .map(|(fingerprint, call)| Suspect {
                fingerprint: *fingerprint,
                call: *call,
            })
            .collect(),
    }
}

/// Requests that occur once, with their calls.
fn others(numbers: std::ops::Range<u64>) -> Vec<(Fingerprint, u64)> {
    numbers.map(|n| (Fingerprint(n), n)).collect()
}

fn notice(fingerprint: u64, level: Level, remaining: Duration) -> Notice {
    Notice {
        fingerprint: Fingerprint(fingerprint),
        level,
        remaining_ms: remaining.as_millis() as u64,
    }
}

fn request(method: &str, uri: &str) -> Parts {
    let request = Request::builder().method(method).uri(uri).body(());
    request.unwrap().into_parts().0
}

#[test]
fn a_fingerprint_covers_method_host_path_query_caller_and_body_but_not_headers() {
    let parts = request("GET", "/a/1?x=1");
    let base = Fingerprint::new(&parts, "shop", "desk", b"body");
    let mut other_id = request("GET", "/a/1?x=1");
    other_id
        .headers
        .insert("x-request-id", "7".parse().unwrap());
    assert_eq!(Fingerprint::new(&other_id, "shop", "desk", b"body"), base);
    let differing = [
        Fingerprint::new(&request("POST", "/a/1?x=1"), "shop", "desk", b"body"),
        Fingerprint::new(&request("GET", "/a/2?x=1"), "shop", "desk", b"body"),
        Fingerprint::new(&request("GET", "/a/1?x=2"), "shop", "desk", b"body"),
        Fingerprint::new(&parts, "other", "desk", b"body"),
        Fingerprint::new(&parts, "shop", "vault", b"body"),
        Fingerprint::new(&parts, "shop", "desk", b"bodies"),
        Fingerprint::new(&parts, "sho", "pdesk", b"body"),
    ];
    assert!(differing.iter().all(|fingerprint| *fingerprint != base));
    let suspect = Suspect::new(base, "id-1");
    assert_eq!(
        Suspect::parse(&suspect.header_value().unwrap()),
        Some(suspect)
    );
    for bad in [
        "",
        "12",
        "zz",
        &"0".repeat(40),
        "é123456789abcdef0123456789abcdef",
    ] {
        let value = http::HeaderValue::from_bytes(bad.as_bytes()).unwrap();
        assert_eq!(Suspect::parse(&value), None, "{bad}");
    }
}

#[test]
fn the_request_that_is_lost_in_three_crashes_is_blocked_and_no_other() {
    let mut collector = Collector::default();
    for id in 0..3 {
        let mut lost = others(id * 8..id * 8 + 8);
        lost.push((POISON, 100 + id));
        let levels = collector.add(&crash(id, &lost), NOW);
        if id < 2 {
            assert!(levels.is_empty(), "{levels:?}");
        } else {
            assert_eq!(levels, [(POISON, Level::Blocked)]);
        }
    }
    // Later crashes under it say nothing about the others.
    for id in 3..9 {
        let lost = [(Fingerprint(7), id), (POISON, 100 + id)];
        let levels = collector.add(&crash(id, &lost), NOW);
        assert_eq!(levels, [(POISON, Level::Blocked)]);
    }
}

/// An ingress sends calls that were lost together to the next backend server together, where the
/// poison request among them crashes it again.
#[test]
fn calls_that_are_lost_with_a_poison_request_again_and_again_are_not_blocked() {
    let mut collector = Collector::default();
    let together = |calls: u64| {
        let mut lost = others(0..6);
        lost.push((POISON, calls));
        lost
    };
    assert!(collector.add(&crash(1, &together(100)), NOW).is_empty());
    assert!(collector.add(&crash(2, &together(100)), NOW).is_empty());
    let levels = collector.add(&crash(3, &together(100)), NOW);
    assert!(levels.iter().all(|(_, level)| *level == Level::NoRetry));
    assert_eq!(levels.len(), 7);
    let levels = collector.add(&crash(4, &[(POISON, 101)]), NOW);
    assert_eq!(levels, [(POISON, Level::Blocked)]);
}

/// A host that loses power, or a release that kills servers, crashes many at once.
#[test]
fn unrelated_crashes_block_nothing() {
    let mut collector = Collector::default();
    for id in 0..200 {
        let lost = others(id * 9..id * 9 + 9);
        assert!(collector.add(&crash(id, &lost), NOW).is_empty());
    }
    // A report that arrives again counts once.
    let lost = others(0..9);
    for _ in 0..5 {
        assert!(collector.add(&crash(0, &lost), NOW).is_empty());
    }
}

#[test]
fn crashes_count_for_an_hour() {
    let mut collector = Collector::default();
    for id in 0..2 {
        collector.add(&crash(id, &[(POISON, id)]), NOW);
    }
    let later = NOW + Duration::from_secs(3_601);
    assert!(collector.add(&crash(2, &[(POISON, 2)]), later).is_empty());
}

#[test]
fn a_collector_keeps_a_bounded_number_of_requests() {
    let mut collector = Collector::default();
    for id in 0..3 * MAX_RECORDS as u64 / 64 {
        let now = NOW + Duration::from_secs(id);
        collector.add(&crash(id, &others(id * 64..id * 64 + 64)), now);
    }
    assert!(format!("{collector:?}").matches("Record {").count() <= MAX_RECORDS);
}

#[test]
fn an_entry_ends_after_its_time_and_does_not_return_from_a_peer() {
    let mut list = Blocklist::default();
    list.merge(&[notice(1, Level::Blocked, RETENTION * 9)], NOW);
    let last = NOW + RETENTION - Duration::from_millis(1);
    assert_eq!(list.level(Fingerprint(1), last), Some(Level::Blocked));
    assert_eq!(list.level(Fingerprint(2), last), None);
    let mut peer = list.clone();
    let end = NOW + RETENTION;
    assert_eq!(list.level(Fingerprint(1), end), None);
    assert!(list.prune(end) && list.is_empty() && list.digest() == 0);
    // A peer whose entry ends a little later.
    let late = peer.notices(last);
    assert!(list.merge(&late, end).is_empty());
    assert!(peer.prune(end));
}

#[test]
fn a_list_keeps_a_bounded_number_of_entries() {
    let mut list = Blocklist::default();
    for fingerprint in 0..2 * MAX_ENTRIES as u64 {
        let remaining = Duration::from_secs(10 + fingerprint);
        list.merge(&[notice(fingerprint, Level::Blocked, remaining)], NOW);
    }
    assert_eq!(list.notices(NOW).len(), MAX_ENTRIES);
    // The ones that end last are kept.
    assert!(list.level(Fingerprint(MAX_ENTRIES as u64), NOW).is_some());
    assert_eq!(list.level(Fingerprint(MAX_ENTRIES as u64 - 1), NOW), None);
}

proptest! {
    /// Lists that were merged in any order are the same.
    #[test]
    fn lists_agree_whatever_the_order(
        entries in prop::collection::vec((0_u64..30, any::<bool>()), 1..60),
        seed in any::<u64>(),
    ) {
        let notices: Vec<Notice> = entries
            .iter()
            .map(|(fingerprint, is_blocked)| {
                let level = if *is_blocked { Level::Blocked } else { Level::NoRetry };
                notice(*fingerprint, level, RETENTION)
            })
            .collect();
        let mut shuffled = notices.clone();
        let length = shuffled.len();
        for index in 0..length {
            shuffled.swap(index, (seed as usize).wrapping_mul(index + 7) % length);
        }
        let (mut first, mut second) = (Blocklist::default(), Blocklist::default());
        first.merge(&notices, NOW);
        for notice in shuffled {
            second.merge(&[notice], NOW);
        }
        prop_assert_eq!(first.digest(), second.digest());
        prop_assert_eq!(first.notices(NOW), second.notices(NOW));
    }
}
