//! Arbitrary input for settings yields valid settings or an error that names the setting and never
//! contains a secret.

use buckthorn::node::settings::{ENTRIES, Error, Settings};
use http::HeaderValue;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Returns a valid value for a setting without a default.
fn valid_value(flag: &str) -> Option<String> {
    let text = match flag {
        "host" | "region" | "failure-domain" => "a-1",
        "advertise" => "10.0.0.1",
        "platform" => "http://10.0.0.2:7000",
        "secret" => "0123456789abcdef",
        _ => return None,
    };
    Some(text.to_owned())
}

/// Parses valid settings with one of them replaced.
fn parse(flag: &str, value: &str) -> Result<Settings, Error> {
    Settings::parse(|entry| {
        if entry.flag == flag {
            Some(value.to_owned())
        } else {
            valid_value(entry.flag)
        }
    })
}

/// Arbitrary text, or text that is close to a valid value.
fn any_value() -> impl Strategy<Value = String> {
    prop_oneof![
        any::<String>(),
        "[ -~]{0,200}",
        "-?[0-9]{1,25}",
        "([0-9]{1,4}\\.){3}[0-9]{1,4}(:[0-9]{0,6})?(,|/)?",
        "\\[[0-9a-f:]{0,20}\\]:[0-9]{0,6}",
        "http://([0-9]{1,3}\\.){3}[0-9]{1,3}:[0-9]{0,6}/{0,3}",
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 3_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(31),
        ..ProptestConfig::default()
    })]

    /// An invalid value is refused with an error that names the setting; a valid one is within its
    /// bounds.
    #[test]
    fn any_value_is_within_bounds_or_refused_by_name(
        index in 0..ENTRIES.len(),
        value in any_value(),
    ) {
        let entry = &ENTRIES[index];
        match parse(entry.flag, &value) {
            Ok(settings) => {
                prop_assert!((1..=128).contains(&settings.host.len()));
                prop_assert!(!settings.host.chars().any(char::is_whitespace));
                prop_assert!(!settings.advertise.is_unspecified());
                prop_assert!(settings.platform.starts_with("http://"));
                prop_assert!(settings.drain_timeout.as_secs() <= 3_600);
                prop_assert!((1..=100_000).contains(&settings.max_connections));
                prop_assert!((1..=1 << 40).contains(&settings.max_body_bytes));
                prop_assert!((1..=64).contains(&settings.threads));
            }
            Err(error) => {
                prop_assert_eq!(error.flag, entry.flag);
                prop_assert!(error.given.chars().count() <= 128);
            }
        }
    }

    /// An accepted secret can be sent unchanged in a header; a refused one is not part of the
    /// error.
    #[test]
    fn a_secret_fits_into_a_header_or_is_refused_without_being_shown(
        is_previous in any::<bool>(),
        value in prop_oneof![any::<String>(), "[\\x09-\\x7f]{14,20}", "[!-~]{14,40}"],
    ) {
        let flag = if is_previous { "previous-secret" } else { "secret" };
        match parse(flag, &value) {
            Ok(settings) if is_previous && value.is_empty() => {
                prop_assert!(settings.previous_secret.is_none());
            }
            Ok(_) => {
                prop_assert!(value.len() >= 16 && value.trim() == value);
                let header = HeaderValue::from_str(&value);
                prop_assert!(header.is_ok_and(|header| header.as_bytes() == value.as_bytes()));
            }
            Err(error) => {
                prop_assert_eq!(error.flag, flag);
                prop_assert!(error.given.is_empty());
            }
        }
    }
}

#[test]
fn a_secret_that_does_not_fit_into_a_header_is_refused() {
    for value in [
        "sixteen bytes or\n more",
        " sixteen bytes or more",
        "schlüssel-der-welt",
    ] {
        for flag in ["secret", "previous-secret"] {
            assert_eq!(parse(flag, value).unwrap_err().flag, flag, "{value:?}");
        }
    }
}
