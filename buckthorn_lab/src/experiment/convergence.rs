//! Convergence under faults.

use crate::flags;

/// Runs the command.
///
/// # Errors
///
/// Fails when a promise broke or an input is bad.
pub fn run(_flags: &flags::Convergence) -> anyhow::Result<()> {
    anyhow::bail!("this command is not built yet")
}
