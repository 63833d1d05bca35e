//! Control cost and convergence against the number of nodes.

use crate::flags;

/// Runs the command.
///
/// # Errors
///
/// Fails when a promise broke or an input is bad.
pub fn run(_flags: &flags::Scale) -> anyhow::Result<()> {
    anyhow::bail!("this command is not built yet")
}
