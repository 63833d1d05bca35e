//! Settings of a node, each given by a flag or an environment variable.
//!
//! All settings are validated before any thread or server starts.

use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use crate::journal::fold::MAX_NAME_BYTES;
use crate::name::Name;

/// Minimum length of the shared secret in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// Validated settings of a node.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Host identifier, unique in the mesh.
    pub host: Name,
    /// Region of the host.
    pub region: Name,
    /// Failure domain of the host.
    pub failure_domain: Name,
    /// Listening address for callers.
    pub listen: SocketAddr,
    /// Listening address of the data path between nodes.
    pub hop_listen: SocketAddr,
    /// Listening address of the control protocol between nodes.
    pub rpc_listen: SocketAddr,
    /// Listening address of the admin API.
    pub admin_listen: SocketAddr,
    /// IP address at which other nodes reach this one.
    pub advertise: IpAddr,
    /// URL of the platform's log service.
    pub platform: String,
    /// Control addresses of nodes through which this one joins the mesh.
    pub seeds: Vec<SocketAddr>,
    /// Secret shared by the nodes.
    pub secret: String,
    /// Previous secret, which is also accepted during a rotation.
    pub previous_secret: Option<String>,
    /// Minimum level of log lines.
    pub log_level: slog::Level,
    /// Address of the statsd daemon; absent when no metrics are sent.
    pub statsd: Option<SocketAddr>,
    /// Maximum time that a shutdown waits for calls in flight.
    pub drain_timeout: Duration,
    /// Maximum number of open connections from callers.
    pub max_connections: usize,
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: u64,
    /// Number of runtime threads that handle calls.
    pub threads: usize,
}

/// Description of one setting, used for parsing and in the help text.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
    /// Name of the flag without the leading dashes.
    pub flag: &'static str,
    /// Name of the environment variable.
    pub variable: &'static str,
    /// Description of the valid values.
    pub expected: &'static str,
    /// Default value, if there is one.
    pub default: Option<&'static str>,
}

/// All settings, in the order of the documentation.
pub const ENTRIES: &[Entry] = &[
    entry(
        "host",
        "BUCKTHORN_HOST",
        "a name of 1 to 128 visible characters",
        None,
    ),
    entry(
        "region",
        "BUCKTHORN_REGION",
        "a name of 1 to 128 visible characters",
        None,
    ),
    entry(
        "failure-domain",
        "BUCKTHORN_FAILURE_DOMAIN",
        "a name of 1 to 128 visible characters",
        None,
    ),
    entry(
        "listen",
        "BUCKTHORN_LISTEN",
        "an IP address and port",
        Some("0.0.0.0:8080"),
    ),
    entry(
        "hop-listen",
        "BUCKTHORN_HOP_LISTEN",
        "an IP address and port",
        Some("0.0.0.0:8081"),
    ),
    entry(
        "rpc-listen",
        "BUCKTHORN_RPC_LISTEN",
        "an IP address and port",
        Some("0.0.0.0:8082"),
    ),
    entry(
        "admin-listen",
        "BUCKTHORN_ADMIN_LISTEN",
        "an IP address and port",
        Some("127.0.0.1:8083"),
    ),
    entry(
        "advertise",
        "BUCKTHORN_ADVERTISE",
        "an IP address that other hosts can reach",
        None,
    ),
    entry(
        "platform",
        "BUCKTHORN_PLATFORM",
        "an http URL with an IP address and port",
        None,
    ),
    entry(
        "seeds",
        "BUCKTHORN_SEEDS",
        "IP addresses and ports, separated by commas",
        Some(""),
    ),
    entry(
        "secret",
        "BUCKTHORN_SECRET",
        "at least 16 bytes of printable ASCII; environment only",
        None,
    ),
    entry(
        "previous-secret",
        "BUCKTHORN_SECRET_PREVIOUS",
        "at least 16 bytes of printable ASCII, or empty; environment only",
        Some(""),
    ),
    entry(
        "log-level",
        "BUCKTHORN_LOG_LEVEL",
        "trace, debug, info, warning, error or critical",
        Some("info"),
    ),
    entry(
        "statsd",
        "BUCKTHORN_STATSD",
        "an IP address and port, or empty",
        Some(""),
    ),
    entry(
        "drain-timeout",
        "BUCKTHORN_DRAIN_TIMEOUT",
        "seconds between 0 and 3600",
        Some("30"),
    ),
    entry(
        "max-connections",
        "BUCKTHORN_MAX_CONNECTIONS",
        "a number between 1 and 100000",
        Some("4096"),
    ),
    entry(
        "max-body-bytes",
        "BUCKTHORN_MAX_BODY_BYTES",
        "a number of bytes between 1 and 1099511627776",
        Some("1073741824"),
    ),
    entry(
        "threads",
        "BUCKTHORN_THREADS",
        "a number between 1 and 64",
        Some("2"),
    ),
];

/// Creates an entry.
const fn entry(
    flag: &'static str,
    variable: &'static str,
    expected: &'static str,
    default: Option<&'static str>,
) -> Entry {
    Entry {
        flag,
        variable,
        expected,
        default,
    }
}

/// Error for a setting that is missing or invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// Flag of the setting.
    pub flag: &'static str,
    /// Environment variable of the setting.
    pub variable: &'static str,
    /// Description of the valid values.
    pub expected: &'static str,
    /// Value that was given, shortened; empty when it is missing or a secret.
    pub given: String,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            flag,
            variable,
            expected,
            given,
        } = self;
        match self.given.as_str() {
            "" => write!(f, "--{flag} ({variable}): expected {expected}"),
            _ => write!(
                f,
                "--{flag} ({variable}): expected {expected}, got {given:?}"
            ),
        }
    }
}

impl std::error::Error for Error {}

impl Settings {
    /// Parses the settings; `lookup` returns the given value for an entry of [`ENTRIES`].
    ///
    /// # Errors
    ///
    /// Returns an error that names the first setting that is missing or invalid.
    pub fn parse(lookup: impl Fn(&Entry) -> Option<String>) -> Result<Self, Error> {
        let source = Source { lookup };
        let listen: SocketAddr = source.parse("listen")?;
        Ok(Self {
            host: source.name("host")?,
            region: source.name("region")?,
            failure_domain: source.name("failure-domain")?,
            listen,
            hop_listen: source.parse("hop-listen")?,
            rpc_listen: source.parse("rpc-listen")?,
            admin_listen: source.parse("admin-listen")?,
            advertise: source.advertise(listen)?,
            platform: source.platform()?,
            seeds: source.seeds()?,
            secret: source
                .secret("secret")?
                .ok_or_else(|| source.error("secret", ""))?,
            previous_secret: source.secret("previous-secret")?,
            log_level: source.parse("log-level")?,
            statsd: source.optional("statsd")?,
            drain_timeout: Duration::from_secs(source.number("drain-timeout", 0, 3_600)?),
            max_connections: source.number("max-connections", 1, 100_000)? as usize,
            max_body_bytes: source.number("max-body-bytes", 1, 1 << 40)?,
            threads: source.number("threads", 1, 64)? as usize,
        })
    }
}

/// Looks up the values of settings and applies defaults.
struct Source<F> {
    /// Returns the value that was given for an entry.
    lookup: F,
}

impl<F: Fn(&Entry) -> Option<String>> Source<F> {
    /// Returns the value of a setting, or its default, if there is one.
    fn value(&self, flag: &str) -> Option<String> {
        let entry = find(flag);
        (self.lookup)(entry).or_else(|| entry.default.map(str::to_owned))
    }

    /// Creates the error for a setting.
    fn error(&self, flag: &str, given: &str) -> Error {
        let entry = find(flag);
        Error {
            flag: entry.flag,
            variable: entry.variable,
            expected: entry.expected,
            given: given.chars().take(MAX_NAME_BYTES).collect(),
        }
    }

    /// Returns the value of a setting or an error when it is missing.
    fn required(&self, flag: &str) -> Result<String, Error> {
        self.value(flag).ok_or_else(|| self.error(flag, ""))
    }

    /// Parses the value of a setting.
    fn parse<T: std::str::FromStr>(&self, flag: &str) -> Result<T, Error> {
        let text = self.required(flag)?;
        text.trim().parse().map_err(|_| self.error(flag, &text))
    }

    /// Parses the value of a setting that may be empty or missing.
    fn optional<T: std::str::FromStr>(&self, flag: &str) -> Result<Option<T>, Error> {
        match self.value(flag) {
            Some(text) if !text.trim().is_empty() => self.parse(flag).map(Some),
            _ => Ok(None),
        }
    }

    /// Parses a number between `min` and `max`.
    fn number(&self, flag: &str, min: u64, max: u64) -> Result<u64, Error> {
        let number: u64 = self.parse(flag)?;
        if !(min..=max).contains(&number) {
            return Err(self.error(flag, &number.to_string()));
        }
        Ok(number)
    }

    /// Parses a name of 1 to [`MAX_NAME_BYTES`] bytes of visible characters.
    fn name(&self, flag: &str) -> Result<Name, Error> {
        let text = self.required(flag)?;
        let is_visible = text.chars().all(|c| !c.is_control() && !c.is_whitespace());
        if text.is_empty() || text.len() > MAX_NAME_BYTES || !is_visible {
            return Err(self.error(flag, &text));
        }
        Ok(text.into())
    }

    /// Validates a secret; its value is never part of an error.
    fn secret(&self, flag: &str) -> Result<Option<String>, Error> {
        match self.value(flag) {
            Some(text) if text.is_empty() => Ok(None),
            Some(text) if !is_secret(&text) => Err(self.error(flag, "")),
            other => Ok(other),
        }
    }

    /// Parses the advertised address, which defaults to the listening address for callers unless
    /// that is unspecified.
    fn advertise(&self, listen: SocketAddr) -> Result<IpAddr, Error> {
        match self.value("advertise") {
            None if !listen.ip().is_unspecified() => Ok(listen.ip()),
            _ => {
                let ip: IpAddr = self.parse("advertise")?;
                if ip.is_unspecified() {
                    return Err(self.error("advertise", &ip.to_string()));
                }
                Ok(ip)
            }
        }
    }

    /// Parses the URL of the log service.
    fn platform(&self) -> Result<String, Error> {
        let text = self.required("platform")?;
        let authority = text
            .strip_prefix("http://")
            .map(|rest| rest.trim_end_matches('/'));
        let is_address = authority.is_some_and(|a| a.parse::<SocketAddr>().is_ok());
        if !is_address {
            return Err(self.error("platform", &text));
        }
        Ok(text.trim_end_matches('/').to_owned())
    }

    /// Parses the control addresses of the seeds.
    fn seeds(&self) -> Result<Vec<SocketAddr>, Error> {
        let text = self.required("seeds")?;
        text.split(',')
            .map(str::trim)
            .filter(|part| !part.is_empty())
            .map(|part| part.parse().map_err(|_| self.error("seeds", part)))
            .collect()
    }
}

/// Whether a text is a valid secret: long enough, and unchanged when it is sent in a header.
fn is_secret(text: &str) -> bool {
    let is_printable = text.bytes().all(|byte| matches!(byte, b' '..=b'~'));
    text.len() >= MIN_SECRET_BYTES && is_printable && text.trim() == text
}

/// Returns the entry of a flag.
fn find(flag: &str) -> &'static Entry {
    ENTRIES
        .iter()
        .find(|e| e.flag == flag)
        .expect("every setting is in the table")
}
