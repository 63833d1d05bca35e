//! Every request head is either parsed to a call within bounds or refused.

use std::time::Duration;

use buckthorn::admission::gate::DEFAULT_URGENCY;
use buckthorn::clock::Time;
use buckthorn::proxy::header::{
    ATTEMPTS, Call, DEADLINE, IDEMPOTENCY_KEY, MAX_KEY_BYTES, PREFIX, PRIORITY, declared_length,
    strip_connection_headers, strip_mesh_headers, urgency,
};
use http::header::{CONNECTION, CONTENT_LENGTH, HOST};
use http::request::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Request};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Current time of the tests.
const NOW: Time = Time::from_secs(1_700_000_000);

/// Timeout of a call without a deadline.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Headers that the parser reads.
const NAMES: [&str; 8] = [
    DEADLINE,
    ATTEMPTS,
    PRIORITY,
    IDEMPOTENCY_KEY,
    "host",
    "connection",
    "upgrade",
    "content-length",
];

/// Creates a request head with the given headers.
fn head(method: &str, headers: &[(&str, &[u8])]) -> Parts {
    let mut request = Request::builder().method(method).uri("/cards/1");
    for (name, value) in headers {
        if let Ok(value) = HeaderValue::from_bytes(value) {
            request = request.header(*name, value);
        }
    }
    request.body(()).unwrap().into_parts().0
}

/// Creates a header map with one header.
fn one(name: &str, value: &str) -> HeaderMap {
    head("GET", &[(name, value.as_bytes())]).headers
}

/// Parses a POST with the given headers.
fn call(headers: &[(&str, &[u8])]) -> Result<Call, &'static str> {
    let headers = [&[("host", b"card-desk".as_slice())], headers].concat();
    Call::parse(&head("POST", &headers), NOW, TIMEOUT)
}

/// Generates arbitrary header values, many of them close to valid.
fn any_value() -> impl Strategy<Value = Vec<u8>> {
    let text = prop_oneof![
        "[+-]?[0-9]{0,22}",
        "(u=[+-]?[0-9a]{0,3}(;q=1)?|i|u|, ?| ){0,5}",
        "[ -~]{0,300}",
        "(close|host|,| |x-buckthorn-[a-z]{0,4}){0,5}",
        "[a-z.:\\[\\]]{0,10}:?[0-9]{0,3}",
    ];
    prop_oneof![
        text.prop_map(String::into_bytes),
        prop::collection::vec(any::<u8>(), 0..300),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 3_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(37),
        ..ProptestConfig::default()
    })]

    /// A call that is accepted is within bounds, whatever its headers contain.
    #[test]
    fn any_head_is_a_call_within_bounds_or_refused(
        method in prop::sample::select(vec!["GET", "POST", "CONNECT", "BREW"]),
        headers in prop::collection::vec((prop::sample::select(NAMES.to_vec()), any_value()), 0..6),
    ) {
        let headers: Vec<(&str, &[u8])> =
            headers.iter().map(|(name, value)| (*name, value.as_slice())).collect();
        let mut parts = head(method, &headers);
        if let Ok(call) = Call::parse(&parts, NOW, TIMEOUT) {
            prop_assert!(call.rank.urgency() <= 7);
            prop_assert!(call.deadline >= NOW);
            prop_assert!(call.has_deadline || call.deadline == NOW + TIMEOUT);
            prop_assert!(call.idempotency_key.is_none_or(|key| (1..=MAX_KEY_BYTES).contains(&key.len())));
            prop_assert!(!call.service.is_empty() && method != "CONNECT");
        }
        let _ = declared_length(&parts.headers);
        strip_connection_headers(&mut parts.headers);
        strip_mesh_headers(&mut parts.headers);
        prop_assert!(!parts.headers.contains_key(CONNECTION));
        prop_assert!(!parts.headers.keys().any(|name| name.as_str().starts_with(PREFIX)));
    }

    /// A longer wait never yields an earlier deadline.
    #[test]
    fn deadlines_rise_with_the_wait(wait in any::<u64>(), more in any::<u64>()) {
        let deadline = |millis: u64| {
            let text = millis.to_string();
            call(&[(DEADLINE, text.as_bytes())]).map(|call| call.deadline)
        };
        let longer = wait.saturating_add(more);
        prop_assert!(deadline(wait).unwrap() <= deadline(longer).unwrap(), "{wait} and {longer}");
    }

    /// An urgency that is a number up to 7 applies, anything else yields the default.
    #[test]
    fn urgency_is_one_member_of_the_dictionary(digits in "[+-]?[0-9]{1,3}(\\.[0-9])?") {
        let expected = match digits.parse::<u8>() {
            Ok(number) if number <= 7 && !digits.starts_with('+') => number,
            _ => DEFAULT_URGENCY,
        };
        let headers = one(PRIORITY, &format!("i, u={digits};q=1, x"));
        prop_assert_eq!(urgency(&headers), expected);
    }
}

#[test]
fn a_wait_beyond_the_clock_is_the_latest_time() {
    let text = (u64::MAX / 1_000 + 1).to_string();
    let call = call(&[(DEADLINE, text.as_bytes())]).unwrap();
    assert_eq!(call.deadline, Time(u64::MAX));
}

#[test]
fn the_last_of_several_urgencies_counts() {
    assert_eq!(urgency(&one(PRIORITY, "u=1, i, u=5")), 5);
    let mut headers = one(PRIORITY, "u=1");
    headers.append(PRIORITY, HeaderValue::from_static("u=2"));
    assert_eq!(urgency(&headers), 2);
}

#[test]
fn a_number_with_a_sign_is_malformed() {
    for value in ["+5", "-0", "", " ", "5, 5"] {
        assert!(
            declared_length(&one(CONTENT_LENGTH.as_str(), value)).is_err(),
            "{value:?}"
        );
        assert!(call(&[(ATTEMPTS, value.as_bytes())]).is_err(), "{value:?}");
    }
}

#[test]
fn two_idempotency_keys_are_refused() {
    let error = call(&[(IDEMPOTENCY_KEY, b"a"), (IDEMPOTENCY_KEY, b"b")]).unwrap_err();
    assert_eq!(error, "more than one idempotency key is named");
}

#[test]
fn a_call_without_a_host_is_refused() {
    for value in ["", ":80"] {
        let parts = head("GET", &[(HOST.as_str(), value.as_bytes())]);
        assert!(Call::parse(&parts, NOW, TIMEOUT).is_err(), "{value:?}");
    }
    let name = HeaderName::from_static("host");
    let mut parts = head("GET", &[]);
    parts
        .headers
        .insert(name, HeaderValue::from_bytes(b"\xff").unwrap());
    assert!(Call::parse(&parts, NOW, TIMEOUT).is_err());
}
