//! Stand-in of the platform's log service.

use crate::flags;

/// Runs the command.
///
/// # Errors
///
/// Fails when a promise broke or an input is bad.
pub fn run(_flags: &flags::Log) -> anyhow::Result<()> {
    anyhow::bail!("this command is not built yet")
}
