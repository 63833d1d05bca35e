//! Defaults and validation of the settings, and errors that name the invalid setting.

use buckthorn::node::settings::{ENTRIES, Entry, Settings};
use expect_test::expect;

/// Minimal valid settings.
const VALID: &[(&str, &str)] = &[
    ("host", "h1"),
    ("region", "bc-lower"),
    ("failure-domain", "bc-lower-a"),
    ("listen", "127.0.0.1:8080"),
    ("platform", "http://127.0.0.1:7400/"),
    ("secret", "0123456789abcdef"),
];

/// Parses the valid settings with one of them replaced or left out.
fn parse(flag: &str, value: Option<&str>) -> Result<Settings, String> {
    let lookup = |entry: &Entry| {
        if entry.flag == flag {
            return value.map(str::to_owned);
        }
        let valid = VALID.iter().find(|(name, _)| *name == entry.flag);
        valid.map(|(_, value)| (*value).to_owned())
    };
    Settings::parse(lookup).map_err(|error| error.to_string())
}

/// Returns the error for an invalid value of a setting.
fn error(flag: &str, value: Option<&str>) -> String {
    parse(flag, value).expect_err("the value is invalid")
}

#[test]
fn valid_settings_use_their_defaults() {
    let settings = parse("statsd", None).expect("the settings are valid");
    assert_eq!(settings.platform, "http://127.0.0.1:7400");
    assert_eq!(settings.advertise.to_string(), "127.0.0.1");
    assert_eq!(settings.admin_listen.to_string(), "127.0.0.1:8083");
    assert_eq!(settings.threads, 2);
    assert!(settings.seeds.is_empty() && settings.statsd.is_none());
    assert!(settings.previous_secret.is_none());
}

#[test]
fn seeds_are_separated_by_commas() {
    let settings = parse("seeds", Some(" 10.0.0.1:1, 10.0.0.2:2 ,")).expect("the seeds are valid");
    let seeds: Vec<String> = settings.seeds.iter().map(ToString::to_string).collect();
    assert_eq!(seeds, ["10.0.0.1:1", "10.0.0.2:2"]);
}

#[test]
fn errors_name_the_setting_and_what_was_expected() {
    let cases = [
        error("host", None),
        error("host", Some("a b")),
        error("listen", Some("localhost:80")),
        error("listen", Some("0.0.0.0:80")),
        error("advertise", Some("0.0.0.0")),
        error("platform", Some("https://10.0.0.1:1")),
        error("platform", Some("http://log.example:1")),
        error("seeds", Some("10.0.0.1")),
        error("log-level", Some("loud")),
        error("drain-timeout", Some("4000")),
        error("max-connections", Some("0")),
        error("threads", Some("-1")),
    ];
    expect![[r#"
        --host (BUCKTHORN_HOST): expected a name of 1 to 128 visible characters
        --host (BUCKTHORN_HOST): expected a name of 1 to 128 visible characters, got "a b"
        --listen (BUCKTHORN_LISTEN): expected an IP address and port, got "localhost:80"
        --advertise (BUCKTHORN_ADVERTISE): expected an IP address that other hosts can reach
        --advertise (BUCKTHORN_ADVERTISE): expected an IP address that other hosts can reach, got "0.0.0.0"
        --platform (BUCKTHORN_PLATFORM): expected an http URL with an IP address and port, got "https://10.0.0.1:1"
        --platform (BUCKTHORN_PLATFORM): expected an http URL with an IP address and port, got "http://log.example:1"
        --seeds (BUCKTHORN_SEEDS): expected IP addresses and ports, separated by commas, got "10.0.0.1"
        --log-level (BUCKTHORN_LOG_LEVEL): expected trace, debug, info, warning, error or critical, got "loud"
        --drain-timeout (BUCKTHORN_DRAIN_TIMEOUT): expected seconds between 0 and 3600, got "4000"
        --max-connections (BUCKTHORN_MAX_CONNECTIONS): expected a number between 1 and 100000, got "0"
        --threads (BUCKTHORN_THREADS): expected a number between 1 and 64, got "-1""#]]
    .assert_eq(&cases.join("\n"));
}

#[test]
fn a_secret_never_enters_an_error() {
    for flag in ["secret", "previous-secret"] {
        let text = error(flag, Some("short"));
        assert!(!text.contains("short"), "{text}");
        assert!(text.contains("at least 16 bytes"), "{text}");
    }
    assert!(error("secret", None).contains("BUCKTHORN_SECRET"));
}

#[test]
fn every_setting_has_a_variable_of_its_own() {
    let mut variables: Vec<&str> = ENTRIES.iter().map(|entry| entry.variable).collect();
    variables.sort_unstable();
    variables.dedup();
    assert_eq!(variables.len(), ENTRIES.len());
    assert!(
        variables
            .iter()
            .all(|variable| variable.starts_with("BUCKTHORN_"))
    );
}
