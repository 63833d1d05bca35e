//! Routing intent: what operators publish.

pub mod change;
pub mod intent;
pub mod plan;
pub mod sheet;
