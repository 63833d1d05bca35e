//! When connections run short, those without progress go first, and ordinary callers stay.

use std::time::{Duration, Instant};

use buckthorn::proxy::connections::{Admission, Registry};
use buckthorn::proxy::eviction::{
    Cause, Decision, MIN_STALL, Phase, Timeouts, View, decide, expired,
};

use buckthorn::proxy::shortage::Progress;

/// Returns a connection that has made no progress for a number of milliseconds.
fn view(phase: Phase, stalled_ms: u64) -> View {
    let stalled = Duration::from_millis(stalled_ms);
    View {
        phase,
        stalled,
        head_age: (phase == Phase::Head).then_some(stalled),
    }
}

/// Decides on a new connection where there is no room for another one.
fn decide_when_full(open: &[View]) -> Decision {
    decide(open.len(), open.iter().copied())
}

#[test]
fn a_crowd_of_stalled_peers_makes_room_before_idle_callers() {
    // A crowd that stopped half-way, beside callers that wait, send, or keep their connection.
    let open = [
        view(Phase::Idle, 50_000),
        view(Phase::Waiting, 60_000),
        view(Phase::Head, 3_000),
        view(Phase::Body, 9_000),
        view(Phase::Blocked, 4_000),
        view(Phase::Body, 100),
        view(Phase::New, 70_000),
    ];
    assert_eq!(decide(8, open.iter().copied()), Decision::Admit);
    let mut open = open.to_vec();
    let mut order = Vec::new();
    while let Decision::Replace(index) = decide_when_full(&open) {
        let closed = open.remove(index);
        order.push((closed.phase, closed.stalled.as_millis()));
    }
    let expected = [
        (Phase::Body, 9_000),
        (Phase::Blocked, 4_000),
        (Phase::Head, 3_000),
        (Phase::New, 70_000),
        (Phase::Idle, 50_000),
    ];
    assert_eq!(order, expected);
    assert_eq!(decide_when_full(&open), Decision::Refuse);
}

#[tokio::test]
async fn peers_without_the_secret_make_room_for_nodes_whatever_they_send() {
    let mut registry = Registry::for_nodes(2);
    let Admission::Open(node) = registry.admit() else {
        panic!("there is room");
    };
    let Admission::Open(stranger) = registry.admit() else {
        panic!("there is room");
    };
    node.verify();
    tokio::time::sleep(MIN_STALL).await;
    // Requests without the secret are no progress.
    stranger.begin_request(false);
    stranger.end_request();
    let Admission::Replaced(second, Phase::New) = registry.admit() else {
        panic!("the stranger makes room");
    };
    assert_eq!(stranger.closing().await, Cause::Room);
    second.verify();
    tokio::time::sleep(MIN_STALL).await;
    assert!(matches!(registry.admit(), Admission::Refused));
}

#[test]
fn callers_that_make_progress_are_not_closed_for_a_burst_of_connections() {
    let recent = MIN_STALL.as_millis() as u64 - 1;
    let open = [
        view(Phase::New, recent),
        view(Phase::Idle, recent),
        view(Phase::Head, recent),
        view(Phase::Body, recent),
        view(Phase::Blocked, recent),
        view(Phase::Waiting, 60_000),
    ];
    assert_eq!(decide_when_full(&open), Decision::Refuse);
}

#[test]
fn a_connection_expires_by_what_its_peer_does() {
    let mut timeouts = Timeouts {
        head: Duration::from_secs(10),
        idle: Duration::from_secs(60),
        is_shortage: false,
    };
    let cases = [
        (Phase::Head, 9_999, None),
        (Phase::Head, 10_000, Some(Cause::HeadTimeout)),
        (Phase::Idle, 48_000, None),
        (Phase::Idle, 60_000, Some(Cause::IdleTimeout)),
        (Phase::New, 60_000, Some(Cause::IdleTimeout)),
        // Other limits hold for bodies and responses.
        (Phase::Body, 600_000, None),
        (Phase::Waiting, 600_000, None),
        (Phase::Blocked, 600_000, None),
    ];
    for (phase, stalled_ms, cause) in cases {
        let view = view(phase, stalled_ms);
        assert_eq!(expired(&view, &timeouts), cause, "{view:?}");
    }
    // A response that is not read may hold a slot of the backend server.
    timeouts.is_shortage = true;
    let blocked = |stalled_ms| expired(&view(Phase::Blocked, stalled_ms), &timeouts);
    assert_eq!((blocked(999), blocked(1_000)), (None, Some(Cause::Room)));
    assert_eq!(expired(&view(Phase::Waiting, 60_000), &timeouts), None);
}

/// Returns the time at which an upload stalls that sends `bytes` in each interval, within a minute.
fn stalls_at(bytes: u64, interval_ms: u64) -> Option<u64> {
    let start = Instant::now();
    let mut progress = Progress::default();
    (0..60_000).step_by(10).find(|&ms| {
        let now = (start + Duration::from_millis(ms)).into();
        if ms > 0 && ms % interval_ms == 0 {
            progress.record(bytes, now);
        }
        progress.is_stalled(now)
    })
}

#[test]
fn an_upload_stalls_when_it_stops_or_trickles_but_not_on_a_slow_link() {
    let stall = MIN_STALL.as_millis() as u64;
    assert_eq!(stalls_at(0, 100_000), Some(stall));
    // Single bytes are no progress.
    assert_eq!(stalls_at(1, 200), Some(stall));
    // A link of 100 kbit/s, whose packets arrive every 120 ms.
    assert_eq!(stalls_at(1_460, 120), None);
}
