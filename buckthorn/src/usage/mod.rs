//! Usage: how many requests of each tenant began to run in each window of the wall clock.
//!
//! Owners count with a [`meter`]. Each node sends its counts to a few [`candidate`]s, as totals of its
//! lifetime, so that a report that is lost or repeated changes nothing ([`collector`]). They pass on
//! what they hold of lifetimes that ended ([`handover`]). One candidate at a time holds the [`duty`] of
//! handing in the sum of each window, by the [`schedule`].

pub mod candidate;
pub mod collector;
pub mod duty;
pub mod handover;
pub mod meter;
pub mod plugin;
pub mod schedule;

use crate::name::Name;

/// Requests of each tenant, sorted by tenant.
pub type Counts = Vec<(Name, u64)>;
