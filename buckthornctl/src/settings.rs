//! Settings from flags and environment variables.

use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context as _, ensure};
use buckthorn::log::Log;
use buckthorn::log::client::Client;

use crate::flags::Buckthornctl;

/// Variable that names the log service.
pub const PLATFORM_VARIABLE: &str = "BUCKTHORN_PLATFORM";

/// Variable that names whoever makes a change.
pub const AUTHOR_VARIABLE: &str = "BUCKTHORN_AUTHOR";

/// Time to go on trying while the log is away, unless a flag gives another.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// Longest time to go on trying, in seconds.
pub const MAX_TIMEOUT_SECS: u64 = 24 * 60 * 60;

/// Environment variables that settings may come from.
#[derive(Clone, Debug, Default)]
pub struct Environment {
    /// Value of [`PLATFORM_VARIABLE`].
    pub platform: Option<String>,
    /// Value of [`AUTHOR_VARIABLE`].
    pub author: Option<String>,
    /// Name of the user.
    pub user: Option<String>,
    /// Name of the host.
    pub host: Option<String>,
}

/// Checked settings.
#[derive(Clone)]
pub struct Settings {
    /// Log service.
    pub log: Arc<dyn Log>,
    /// Who makes a change.
    pub author: String,
    /// Time to go on trying while the log is away.
    pub timeout: Duration,
}

impl Environment {
    /// Environment of this process.
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
    /// Settings from flags, and from the environment where a flag is not given.
    ///
    /// # Errors
    ///
    /// Names the setting that is missing or malformed.
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
