//! Stand-in of the platform's log service.
//!
//! [`store`] holds the records; [`server`] implements the HTTP protocol of `docs/PROTOCOLS.md` and
//! injects the faults set in [`Faults`].

pub mod server;
pub mod store;

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

pub use server::Server;

use crate::flags;

/// Port of the log stand-in unless `--listen` is given.
pub const DEFAULT_PORT: u16 = 7400;

/// Faults to inject; the default injects none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Whether every request is refused with status 503.
    pub is_refusing: bool,
    /// Delay before a request takes effect.
    pub delay: Duration,
    /// Closes the connection without a reply after every n-th append took effect; zero for none.
    pub lose_every: u32,
    /// Maximum number of appends accepted within a second; zero for no limit.
    pub max_appends_per_second: u32,
    /// Age at which records are dropped; `None` keeps them forever.
    pub retention: Option<Duration>,
}

/// Runs the `log` command, which serves until the process ends.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub fn run(flags: &flags::Log) -> anyhow::Result<()> {
    let local = SocketAddr::from((Ipv4Addr::LOCALHOST, DEFAULT_PORT));
    let faults = Faults {
        is_refusing: flags.refuse,
        delay: Duration::from_millis(flags.slow_ms.unwrap_or(0)),
        lose_every: flags.lose_every.unwrap_or(0),
        max_appends_per_second: flags.max_appends_per_second.unwrap_or(0),
        retention: flags.retention_secs.map(Duration::from_secs),
    };
    let server = Server::start(flags.listen.unwrap_or(local))?;
    server.set_faults(faults);
    println!("log stand-in on {}", server.url());
    server.join();
    Ok(())
}
