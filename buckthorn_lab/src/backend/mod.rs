//! Stand-in backend server.
//!
//! [`Server`] runs inside a test or an experiment; the `backend` command runs a single one and
//! announces it to a node. Its responses are derived from their requests ([`content`]), it counts
//! executions ([`ledger`]) and injects faults ([`fault`]).

pub mod announce;
pub mod content;
pub mod fault;
pub mod ledger;
pub mod server;

use std::sync::Arc;
use std::time::Duration;

pub use fault::Faults;
pub use ledger::Ledger;
pub use server::{Server, Settings};

use self::announce::Announcement;
use crate::flags;

/// Service announced unless `--service` is given.
const DEFAULT_SERVICE: &str = "card-desk";
/// Version announced unless `--version` is given.
const DEFAULT_VERSION: &str = "v1";

/// Builds the server's settings from the flags.
fn settings(flags: &flags::Backend) -> Settings {
    let default = Settings::default();
    Settings {
        listen: flags.listen.unwrap_or(default.listen),
        name: flags.name.clone().unwrap_or(default.name),
        slots: flags.slots.unwrap_or(default.slots),
        connections: flags.connections.unwrap_or(default.connections),
        service_time: flags
            .service_ms
            .map_or(default.service_time, Duration::from_millis),
        cold_time: flags
            .cold_secs
            .map_or(default.cold_time, Duration::from_secs),
        cold_factor: default.cold_factor,
        cold_limit: flags.cold_limit.unwrap_or(default.cold_limit),
    }
}

/// Builds the faults from the flags.
fn faults(flags: &flags::Backend) -> Faults {
    Faults {
        error_permille: flags.error_permille.unwrap_or(0),
        broken_permille: flags.broken_permille.unwrap_or(0),
        reset_permille: flags.reset_permille.unwrap_or(0),
        reset_at: flags.reset_at.unwrap_or(0),
        silent_permille: flags.silent_permille.unwrap_or(0),
        delay: Duration::from_millis(flags.delay_ms.unwrap_or(0)),
        is_shedding: flags.shed,
        route: flags.fault_route.clone().unwrap_or_default(),
        above_running: flags.fault_above.unwrap_or(0),
    }
}

/// Runs the `backend` command: serves forever and announces the server to the node in `--node`.
///
/// # Errors
///
/// Fails when the listen address cannot be bound.
pub fn run(flags: &flags::Backend) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    let server = Server::start(settings(flags), Arc::new(Ledger::new()));
    let server = runtime.block_on(server)?;
    server.set_faults(faults(flags));
    println!("backend server stand-in on {}", server.address());
    let announcement = Announcement {
        service: flags.service.clone().unwrap_or(DEFAULT_SERVICE.to_owned()),
        version: flags.version.clone().unwrap_or(DEFAULT_VERSION.to_owned()),
        address: server.address(),
        slots: server.settings().slots,
        connections: server.settings().connections,
    };
    let Some(node) = flags.node else {
        runtime.block_on(std::future::pending::<()>());
        return Ok(());
    };
    loop {
        if let Err(error) = announce::announce(node, &announcement) {
            eprintln!("announcement to {node} failed: {error:#}");
        }
        std::thread::sleep(announce::INTERVAL);
    }
}
