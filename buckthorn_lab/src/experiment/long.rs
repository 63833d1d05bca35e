//! Long randomised runs of the decision code.

use crate::flags;

/// Runs the command.
///
/// # Errors
///
/// Fails when a promise broke or an input is bad.
pub fn run(_flags: &flags::Long) -> anyhow::Result<()> {
    anyhow::bail!("this command is not built yet")
}
