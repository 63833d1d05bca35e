//! Explanations of requests from the log lines of nodes.

use std::path::PathBuf;

use buckthornctl::explain;
use buckthornctl::output::Output;
use expect_test::{Expect, expect};

/// Log lines of several nodes as collected: out of order, one with a prefix, one cut off.
const LOG: &str = r#"
{"msg":"node.started","level":"INFO","ts":"2026-01-29T21:54:46.02Z","host":"b-1"}
{"msg":"call.attempt","level":"INFO","ts":"2026-01-29T21:55:11.09Z","host":"c-5","took_ms":2,"left_ms":1180,"version":9,"next":"retry.not_run","ran":"not-run","outcome":"queue-full","attempt":1,"target":"b-1","service":"desk","request":"r-busy"}
collector: {"msg":"owner.refused","level":"INFO","ts":"2026-01-29T21:55:11.08Z","host":"b-1","version":9,"limit":9,"queued":18,"running":9,"reason":"queue-full","service":"desk","request":"r-busy"}
{"msg":"call.answered","level":"INFO","ts":"2026-01-29T21:55:11.10Z","host":"c-5","took_ms":4,"version":9,"attempts":1,"ran":"not-run","reason":"queue-full","status":503,"service":"desk","request":"r-busy"}
{"msg":"owner.failed","level":"INFO","ts":"2026-01-29T21:54:54.85Z","host":"a-1","took_ms":70,"ran":"unknown","reason":"reset","instance":"i-1","service":"desk","request":"r-reset"}
{"msg":"call.attempt","level":"INFO","ts":"2026-01-29T21:54:54.86Z","host":"a-2","took_ms":71,"left_ms":1429,"version":3,"next":"retry_denied.not_idempotent","ran":"unknown","outcome":"reset","attempt":1,"target":"a-1","service":"desk","request":"r-reset"}
{"msg":"call.answered","level":"INFO","ts":"2026-01-29T21:54:54.87Z","host":"a-2","took_ms":71,"version":3,"attempts":1,"ran":"unknown","reason":"reset","status":502,"service":"desk","request":"r-reset"}
{"msg":"call.refused","level":"INFO","ts":"2026-01-29T21:56:00.00Z","host":"a-2","version":12,"reason":"no-route","status":404,"request":"r-route"}
{"msg":"call.answered","level":"INFO","ts":"2026-01-29T21:56:01.00Z","host":"a-2","took_ms":90,"version":3,"attempts":2,"ran":"run","reason":"","status":500,"service":"desk","request":"r-missing"}
{"msg":"call.abandoned","level":"INFO","ts":"2026-01-29T21:56:02.00Z","host":"a-2","took_ms":250,"version":3,"attempts":0,"service":"desk","request":"r-left"}
{"msg":"call.answered","level":"INFO","ts":"2026-01-29T21:56:03.00Z","host":"a-2","request":"r-busy","sta"#;

/// Explains a request and compares the exit code and output.
fn check(request: &str, expected: &Expect) {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{request}.log"));
    std::fs::write(&path, LOG).unwrap();
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let exit = {
        let mut output = Output::new(false, &mut out, &mut err);
        explain::run(request, &[path], &mut output)
    };
    let text = [out, err]
        .map(|bytes| String::from_utf8(bytes).unwrap())
        .concat();
    expected.assert_eq(&format!("{} {text}", exit.code()));
}

#[test]
fn a_refusal_under_load_names_the_queue() {
    check(
        "r-busy",
        &expect![[r#"
        0 2026-01-29T21:55:11.08Z b-1 owner.refused limit=9 queued=18 reason="queue-full" running=9 service="desk" version=9
        2026-01-29T21:55:11.09Z c-5 call.attempt attempt=1 left_ms=1180 next="retry.not_run" outcome="queue-full" ran="not-run" service="desk" target="b-1" took_ms=2 version=9
        2026-01-29T21:55:11.10Z c-5 call.answered attempts=1 ran="not-run" reason="queue-full" service="desk" status=503 took_ms=4 version=9
        Failed with 503: every queue that was asked was full; attempt 1 at b-1: queue-full after 2 ms, then retry.not_run; its owner b-1 had 9 calls running of 9 and 18 waiting.
    "#]],
    );
}

#[test]
fn a_broken_connection_names_the_backend_server() {
    check(
        "r-reset",
        &expect![[r#"
        0 2026-01-29T21:54:54.85Z a-1 owner.failed instance="i-1" ran="unknown" reason="reset" service="desk" took_ms=70
        2026-01-29T21:54:54.86Z a-2 call.attempt attempt=1 left_ms=1429 next="retry_denied.not_idempotent" outcome="reset" ran="unknown" service="desk" target="a-1" took_ms=71 version=3
        2026-01-29T21:54:54.87Z a-2 call.answered attempts=1 ran="unknown" reason="reset" service="desk" status=502 took_ms=71 version=3
        Failed with 502: the connection broke off while it may have run; attempt 1 at a-1: reset after 71 ms, then retry_denied.not_idempotent.
    "#]],
    );
}

#[test]
fn a_request_without_a_route_names_the_configuration() {
    check(
        "r-route",
        &expect![[r#"
        0 2026-01-29T21:56:00.00Z a-2 call.refused reason="no-route" status=404 version=12
        Refused with 404 before a backend server was chosen: no route matches under configuration 12.
    "#]],
    );
}

#[test]
fn missing_lines_and_unknown_requests_are_reported() {
    check(
        "r-missing",
        &expect![[r#"
        0 2026-01-29T21:56:01.00Z a-2 call.answered attempts=2 ran="run" reason="" service="desk" status=500 took_ms=90 version=3
        A backend server itself answered 500; lines of some attempts are missing.
    "#]],
    );
    check(
        "r-left",
        &expect![[r#"
        0 2026-01-29T21:56:02.00Z a-2 call.abandoned attempts=0 service="desk" took_ms=250 version=3
        The caller left after 250 ms, before its answer.
    "#]],
    );
    check(
        "r-none",
        &expect![[r#"
        1 buckthornctl: no line names r-none: either it went well and is not one of the calls that are logged, or lines are missing; look for log.dropped lines
    "#]],
    );
}
