//! Settings of the command line, from flags and environment variables.

use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context as _, ensure};
use buckthorn::log::Log;
use buckthorn::log::client::Client;

use crate::flags::Buckthornctl;

/// Environment variable with the URL of the log service.
pub const PLATFORM_VARIABLE: &str = "BUCKTHORN_PLATFORM";

/// Environment variable with the author recorded for changes.
pub const AUTHOR_VARIABLE: &str = "BUCKTHORN_AUTHOR";

/// How long to retry while the log is unreachable, unless `--timeout` is given.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// Upper bound of `--timeout`, in seconds.
pub const MAX_TIMEOUT_SECS: u64 = 24 * 60 * 60;

/// Values that settings fall back to when a flag is not given.
#[derive(Clone, Debug, Default)]
pub struct Environment {
    /// Value of [`PLATFORM_VARIABLE`].
    pub platform: Option<String>,
    /// Value of [`AUTHOR_VARIABLE`].
    pub author: Option<String>,
    /// Name of the current user, part of the default author.
    pub user: Option<String>,
    /// Name of this host, part of the default author.
    pub host: Option<String>,
}

/// Validated settings of one command.
#[derive(Clone)]
pub struct Settings {
    /// Client of the log service.
    pub log: Arc<dyn Log>,
    /// Author recorded for changes.
    pub author: String,
    /// How long to retry while the log is unreachable.
    pub timeout: Duration,
}

impl Environment {
    /// Reads the environment of this process. Empty variables count as unset.
    pub fn from_process() -> Self {
        let variable = |name| std::env::var(name).ok().filter(|v| !v.is_empty());
        let host = std::fs::read_to_string("/proc/sys/kernel/hostname").ok();
        Self {
            platform: variable(PLATFORM_VARIABLE),
            author: variable(AUTHOR_VARIABLE),
            user: variable("USER"),
            host: variable("HOSTNAME").or(host.map(|name| name.trim().to_owned())),
        }
    }
}

impl Settings {
    /// Takes settings from flags, and from the environment where a flag is not given.
    ///
    /// # Errors
    ///
    /// Fails when a setting is missing or malformed; the error names it.
    pub fn new(flags: &Buckthornctl, environment: &Environment) -> anyhow::Result<Self> {
        let url = flags
            .platform
            .as_ref()
            .or(environment.platform.as_ref())
            .with_context(|| {
                format!("--platform or {PLATFORM_VARIABLE} is needed, such as http://10.0.0.5:7400")
            })?;
        let log = Client::new(url).context("--platform")?;
        let author = flags
            .author
            .clone()
            .or_else(|| environment.author.clone())
            .unwrap_or_else(|| {
                let user = environment.user.as_deref().unwrap_or("unknown");
                let host = environment.host.as_deref().unwrap_or("unknown");
                format!("{user}@{host}")
            });
        ensure!(
            flags.timeout.unwrap_or_default() <= MAX_TIMEOUT_SECS,
            "--timeout is at most {MAX_TIMEOUT_SECS} seconds"
        );
        let timeout = flags.timeout.map_or(DEFAULT_TIMEOUT, Duration::from_secs);
        Ok(Self {
            log: Arc::new(log),
            author,
            timeout,
        })
    }
}
