//! End-to-end demo of the main use case on an embedded deployment.
//!
//! The demo starts a deployment at its present size and sends it load throughout. It applies a
//! sheet with a good move and a bad one, takes a failure domain out and back in, kills the log and
//! a node in between, and applies another sheet. It prints the measured figures and fails when a
//! guarantee was violated.

mod scenario;

use std::io::{IsTerminal as _, Write as _};
use std::time::Instant;

use crate::flags;
use crate::load::call::Deployment;

use self::scenario::Scenario;

/// Runs the `demo` command.
///
/// # Errors
///
/// Fails when the deployment does not start or a guarantee was violated.
pub fn run(flags: &flags::Demo) -> anyhow::Result<()> {
    let deployment = match &flags.deployment {
        Some(name) => Deployment::parse(name)?,
        None => Deployment::default(),
    };
    let mut printer = Printer::new();
    let outcome = Scenario::start(deployment, &mut printer)
        .and_then(|scenario| scenario.run(&mut printer, flags.json.as_deref()));
    printer.clear();
    let violations = outcome?;
    if violations.is_empty() {
        printer.print("all guarantees held");
        return Ok(());
    }
    for violation in &violations {
        printer.print(&format!("VIOLATED: {violation}"));
    }
    anyhow::bail!("{} guarantees were violated", violations.len())
}

/// Prints events with the time since the start, and a progress line on a terminal.
pub(crate) struct Printer {
    /// When the demo started.
    started: Instant,
    /// Whether standard error is a terminal, which shows progress.
    is_terminal: bool,
}

impl Printer {
    /// Creates a printer for a demo that starts now.
    fn new() -> Self {
        Self {
            started: Instant::now(),
            is_terminal: std::io::stderr().is_terminal(),
        }
    }

    /// Prints a line to standard output.
    pub(crate) fn print(&self, text: &str) {
        self.clear();
        println!("{:5.1} s  {text}", self.started.elapsed().as_secs_f64());
    }

    /// Replaces the progress line, on a terminal only.
    pub(crate) fn progress(&self, text: &str) {
        if self.is_terminal {
            eprint!(
                "\r{:5.1} s  {text:<60}",
                self.started.elapsed().as_secs_f64()
            );
            // The progress line is optional.
            let _ = std::io::stderr().flush();
        }
    }

    /// Clears the progress line.
    fn clear(&self) {
        if self.is_terminal {
            eprint!("\r{:70}\r", "");
        }
    }
}
