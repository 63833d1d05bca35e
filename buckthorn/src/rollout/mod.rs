//! Moves of traffic between versions: schedule, evidence, verdict and quarantine.

pub mod controller;
pub mod evidence;
pub mod quarantine;
