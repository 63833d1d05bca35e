//! Moves of traffic between versions: schedule, evidence, verdict and quarantine.

pub mod comparison;
pub mod controller;
pub mod cutover;
pub mod evaluation;
pub mod evaluator;
pub mod evidence;
pub mod plugin;
pub mod quarantine;
pub mod schedule;
pub mod sequential;
pub mod window;
