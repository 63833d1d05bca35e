//! Seeded experiments in virtual time; each prints a table and JSON.

pub mod balance;
pub mod convergence;
pub mod domain;
pub mod long;
pub mod mesh;
pub mod moves;
pub mod storm;
