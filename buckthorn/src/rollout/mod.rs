//! Moves of traffic between versions: schedule, evidence, verdict and quarantine.

pub mod comparison;
pub mod controller;
pub mod cutover;
pub mod evidence;
pub mod gauge;
pub mod judge;
pub mod ledger;
pub mod plugin;
pub mod quarantine;
pub mod schedule;
pub mod trial;
