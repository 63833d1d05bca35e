//! Settings of a node: each a flag and an environment variable, checked before anything starts.

use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use crate::journal::fold::MAX_NAME_BYTES;
use crate::name::Name;

/// Shortest shared secret in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// Checked settings of a node.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Host identifier, unique in the mesh.
    pub host: Name,
    /// Region.
    pub region: Name,
    /// Failure domain.
    pub failure_domain: Name,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address of the data path between nodes.
    pub hop_listen: SocketAddr,
    /// Address of the control protocol between nodes.
    pub rpc_listen: SocketAddr,
    /// Address of announcements and the operators' page.
    pub admin_listen: SocketAddr,
    /// IP number under which other nodes reach this one.
    pub advertise: IpAddr,
    /// URL of the platform's log service.
    pub platform: String,
    /// Control addresses of nodes to join through.
    pub seeds: Vec<SocketAddr>,
    /// Secret shared by the nodes.
    pub secret: String,
    /// Secret accepted besides, during a rotation.
    pub previous_secret: Option<String>,
    /// Lowest level that is logged.
    pub log_level: slog::Level,
    /// Address of a statsd daemon.
    pub statsd: Option<SocketAddr>,
    /// Longest wait for calls in flight at shutdown.
    pub drain_timeout: Duration,
    /// Connections taken from callers at once.
    pub max_connections: usize,
    /// Largest request body in bytes.
    pub max_body_bytes: u64,
    /// Threads that carry calls.
    pub threads: usize,
}

/// One setting as the help text and the operators' page name it.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
    /// Flag without its dashes.
    pub flag: &'static str,
    /// Environment variable.
    pub variable: &'static str,
    /// What is expected.
    pub expected: &'static str,
    /// Default, if it has one.
    pub default: Option<&'static str>,
}

/// Every setting, in the order of the documentation.
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
        "an IP number that other hosts can reach",
        None,
    ),
    entry(
        "platform",
        "BUCKTHORN_PLATFORM",
        "an http URL with an IP number and port",
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

/// Entry of the table.
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

/// Why a setting was not accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// Flag of the setting.
    pub flag: &'static str,
    /// Variable of the setting.
    pub variable: &'static str,
    /// What was expected.
    pub expected: &'static str,
    /// What was given; empty for a secret.
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
    /// Checks settings that `lookup` finds by their entry in [`ENTRIES`].
    ///
    /// # Errors
    ///
    /// Names the first setting that is missing or not as expected.
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

/// Lookup of settings with their defaults.
struct Source<F> {
    /// Value given for an entry.
    lookup: F,
}

impl<F: Fn(&Entry) -> Option<String>> Source<F> {
    /// Value of a setting, or its default, or nothing.
    fn value(&self, flag: &str) -> Option<String> {
        let entry = find(flag);
        (self.lookup)(entry).or_else(|| entry.default.map(str::to_owned))
    }

    /// Error of a setting.
    fn error(&self, flag: &str, given: &str) -> Error {
        let entry = find(flag);
        Error {
            flag: entry.flag,
            variable: entry.variable,
            expected: entry.expected,
            given: given.chars().take(MAX_NAME_BYTES).collect(),
        }
    }

    /// Value that must be there.
    fn required(&self, flag: &str) -> Result<String, Error> {
        self.value(flag).ok_or_else(|| self.error(flag, ""))
    }

    /// Value of any type that parses.
    fn parse<T: std::str::FromStr>(&self, flag: &str) -> Result<T, Error> {
        let text = self.required(flag)?;
        text.trim().parse().map_err(|_| self.error(flag, &text))
    }

    /// Value that may be empty.
    fn optional<T: std::str::FromStr>(&self, flag: &str) -> Result<Option<T>, Error> {
        match self.value(flag) {
            Some(text) if !text.trim().is_empty() => self.parse(flag).map(Some),
            _ => Ok(None),
        }
    }

    /// Number within bounds.
    fn number(&self, flag: &str, least: u64, most: u64) -> Result<u64, Error> {
        let number: u64 = self.parse(flag)?;
        if !(least..=most).contains(&number) {
            return Err(self.error(flag, &number.to_string()));
        }
        Ok(number)
    }

    /// Name of visible characters.
    fn name(&self, flag: &str) -> Result<Name, Error> {
        let text = self.required(flag)?;
        let is_visible = text.chars().all(|c| !c.is_control() && !c.is_whitespace());
        if text.is_empty() || text.len() > MAX_NAME_BYTES || !is_visible {
            return Err(self.error(flag, &text));
        }
        Ok(text.into())
    }

    /// Secret of sufficient length; its value never enters an error.
    fn secret(&self, flag: &str) -> Result<Option<String>, Error> {
        match self.value(flag) {
            Some(text) if text.is_empty() => Ok(None),
            Some(text) if !is_secret(&text) => Err(self.error(flag, "")),
            other => Ok(other),
        }
    }

    /// Address that others reach; the callers' address when that is a particular one.
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

    /// URL of the log service.
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

    /// Addresses of the nodes to join through.
    fn seeds(&self) -> Result<Vec<SocketAddr>, Error> {
        let text = self.required("seeds")?;
        text.split(',')
            .map(str::trim)
            .filter(|part| !part.is_empty())
            .map(|part| part.parse().map_err(|_| self.error("seeds", part)))
            .collect()
    }
}

/// Whether a text can serve as a secret: long enough, and carried unchanged by a header.
fn is_secret(text: &str) -> bool {
    let is_printable = text.bytes().all(|byte| matches!(byte, b' '..=b'~'));
    text.len() >= MIN_SECRET_BYTES && is_printable && text.trim() == text
}

/// Entry of a flag.
fn find(flag: &str) -> &'static Entry {
    ENTRIES
        .iter()
        .find(|e| e.flag == flag)
        .expect("every setting is in the table")
}
