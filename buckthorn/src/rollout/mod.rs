//! Moves of traffic between versions: schedule, evidence, verdict and quarantine.

pub mod controller;
pub mod evidence;
pub mod judge;
pub mod plugin;
pub mod quarantine;
pub mod schedule;
pub mod trial;
