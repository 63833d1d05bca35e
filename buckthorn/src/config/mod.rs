//! Routing intent and orders that operators publish, and their distribution to nodes.

pub mod change;
pub mod excerpt;
pub mod intake;
pub mod intent;
pub mod order;
pub mod plan;
pub mod policy;
pub mod position;
pub mod relay;
pub mod sheet;
pub mod verdict;
