//! Configuration stream of the platform's log, and the state folded from its records.

pub mod amend;
pub mod check;
pub mod checkpoint;
pub mod fold;
pub mod lease;
pub mod plugin;
pub mod record;
pub mod tail;
