//! Node daemon: reads the settings, starts a node, and stops it gracefully on a signal.

mod flags;

use std::env;
use std::process::ExitCode;

use buckthorn::node::settings::{Entry, Settings};
use buckthorn::node::{Node, telemetry};
use buckthorn::proxy::Drained;
use slog::{crit, info};
use tokio::signal::unix::{SignalKind, signal};

/// Exit code of a bad setting.
const EXIT_BAD_SETTING: u8 = 2;

fn main() -> ExitCode {
    let flags = match flags::Flags::parse(env::args_os().skip(1)) {
        Ok(flags::Parsed::Run(flags)) => flags,
        Ok(flags::Parsed::Help) => {
            print!("{}", flags::help());
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("buckthornd: {error}");
            return ExitCode::from(EXIT_BAD_SETTING);
        }
    };
    let lookup = |entry: &Entry| {
        flags
            .get(entry.flag)
            .or_else(|| env::var(entry.variable).ok())
    };
    let settings = match Settings::parse(lookup) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("buckthornd: {error}");
            return ExitCode::from(EXIT_BAD_SETTING);
        }
    };
    run(&settings)
}

/// Runs a node until a signal asks it to stop.
fn run(settings: &Settings) -> ExitCode {
    let logger = telemetry::logger(settings.log_level, &settings.host);
    let node = match Node::start(settings, logger.clone()) {
        Ok(node) => node,
        Err(error) => {
            crit!(logger, "not started: {error:#}");
            eprintln!("buckthornd: {error:#}");
            return ExitCode::FAILURE;
        }
    };
    match wait() {
        Ok(name) => info!(logger, "signal taken"; "signal" => name),
        Err(error) => crit!(logger, "signals cannot be taken: {error:#}"),
    }
    match node.shutdown() {
        Drained::Clean => ExitCode::SUCCESS,
        Drained::Cut => ExitCode::FAILURE,
    }
}

/// Waits for a signal to stop and returns its name.
fn wait() -> anyhow::Result<&'static str> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        tokio::select! {
            _ = terminate.recv() => Ok("SIGTERM"),
            _ = interrupt.recv() => Ok("SIGINT"),
        }
    })
}
