//! Stand-ins, load generator and experiments for buckthornworks.
//!
//! The lab is a test tool. It has stand-ins for what the users run: the platform's log ([`log`]),
//! their backend servers ([`backend`]) and their callers ([`load`]). [`deployment`] runs these and
//! nodes in one process.

pub mod backend;
pub mod demo;
pub mod deployment;
pub mod experiment;
pub mod flags;
pub mod harness;
pub mod load;
pub mod log;
pub mod report;
pub mod scale;
