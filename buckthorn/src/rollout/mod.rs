//! Rollout: gradual moves of traffic from one version of a service to another.

pub mod comparison;
pub mod controller;
pub mod cutover;
pub mod evaluation;
pub mod evaluator;
pub mod evidence;
pub mod exposure;
pub mod plugin;
mod poisson;
pub mod quarantine;
pub mod schedule;
pub mod sequential;
pub mod trial;
pub mod window;
