//! The main job on an embedded deployment, from the first sheet to the last.
//!
//! The demo starts a deployment at its size of today and sends it load throughout. It applies a
//! sheet with a good move and a bad one, takes a failure domain out and back, kills the log and a
//! node on the way, and applies a second sheet. It tells what happened with its figures, and fails
//! when a promise broke.

mod scenario;

use std::io::{IsTerminal as _, Write as _};
use std::time::Instant;

use crate::flags;
use crate::load::call::Deployment;

use self::scenario::Scenario;

/// Runs the command.
///
/// # Errors
///
/// Fails when the deployment does not start or a promise broke.
pub fn run(flags: &flags::Demo) -> anyhow::Result<()> {
    let deployment = match &flags.deployment {
        Some(name) => Deployment::parse(name)?,
        None => Deployment::default(),
    };
    let mut printer = Printer::new();
    let outcome = Scenario::start(deployment, &mut printer)
        .and_then(|scenario| scenario.run(&mut printer, flags.json.as_deref()));
    printer.clear();
    let broken = outcome?;
    if broken.is_empty() {
        printer.print("every promise held");
        return Ok(());
    }
    for promise in &broken {
        printer.print(&format!("BROKEN: {promise}"));
    }
    anyhow::bail!("{} promises broke", broken.len())
}

/// Prints what happens, with the time since the start; a progress line on a terminal.
pub(crate) struct Printer {
    /// When the demo began.
    began: Instant,
    /// Whether standard error is a terminal.
    is_terminal: bool,
}

impl Printer {
    /// Voice of a demo that begins now.
    fn new() -> Self {
        Self {
            began: Instant::now(),
            is_terminal: std::io::stderr().is_terminal(),
        }
    }

    /// Says a line.
    pub(crate) fn print(&self, text: &str) {
        self.clear();
        println!("{:5.1} s  {text}", self.began.elapsed().as_secs_f64());
    }

    /// Shows progress on a terminal.
    pub(crate) fn progress(&self, text: &str) {
        if self.is_terminal {
            eprint!("\r{:5.1} s  {text:<60}", self.began.elapsed().as_secs_f64());
            // Progress that cannot be shown is no loss.
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
