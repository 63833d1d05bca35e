//! Stand-in of the platform's log service.
//!
//! [`store`] keeps the records, [`server`] speaks the protocol of `docs/PROTOCOLS.md` and plays the
//! faults that [`Faults`] switches on.

pub mod server;
pub mod store;

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

pub use server::Server;

use crate::flags;

/// Port of the log stand-in unless a flag gives another.
pub const DEFAULT_PORT: u16 = 7400;

/// Faults that the stand-in plays.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Refuse every request.
    pub is_refusing: bool,
    /// Time that passes before a request takes effect.
    pub delay: Duration,
    /// Lose the reply of each n-th append after it took effect; zero loses none.
    pub lose_every: u32,
    /// Appends taken within a second; zero takes any number.
    pub max_appends_per_second: u32,
    /// Time that records are kept; `None` keeps them.
    pub retention: Option<Duration>,
}

/// Runs the command.
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
