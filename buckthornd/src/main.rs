//! Node daemon: reads the settings, starts a node and shuts it down gracefully on a signal.

mod flags;

use std::env;
use std::process::ExitCode;

use buckthorn::node::settings::{Entry, Settings};
use buckthorn::node::{Node, telemetry};
use buckthorn::proxy::Drained;
use slog::{crit, info};
use tokio::signal::unix::{SignalKind, signal};

/// Exit code for invalid settings and flags.
const EXIT_BAD_SETTING: u8 = 2;

fn main() -> ExitCode {
    let flags = match flags::Flags::parse(env::args_os().skip(1)) {
        Ok(flags::Invocation::Run(flags)) => flags,
        Ok(flags::Invocation::Help) => {
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

/// Runs a node until SIGTERM or SIGINT, then drains it.
fn run(settings: &Settings) -> ExitCode {
    let logger = telemetry::logger(settings.log_level, &settings.host);
    let node = match Node::start(settings, logger.clone()) {
        Ok(node) => node,
        Err(error) => {
            crit!(logger, "cannot start: {error:#}");
            eprintln!("buckthornd: {error:#}");
            return ExitCode::FAILURE;
        }
    };
    match wait_for_signal() {
        Ok(name) => info!(logger, "signal received"; "signal" => name),
        Err(error) => crit!(logger, "cannot listen for signals: {error:#}"),
    }
    match node.shutdown() {
        Drained::Clean => ExitCode::SUCCESS,
        Drained::Cut => ExitCode::FAILURE,
    }
}

/// Waits for SIGTERM or SIGINT and returns its name.
fn wait_for_signal() -> anyhow::Result<&'static str> {
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
