//! Containment of poison requests: requests that crash each backend server that runs them.
//!
//! Such a request comes again with a new identifier, at any node, so it is recognised by its
//! [`fingerprint`]. The owner of a backend server detects a [`crash`] and which calls were lost in it
//! ([`crate::proxy::crash_watch`]); most of them did not cause it. The [`collector`] finds the request that
//! was lost in several crashes, and all nodes refuse it from then on ([`blocklist`],
//! [`containment`]).

pub mod blocklist;
pub mod collector;
pub mod containment;
pub mod crash;
pub mod fingerprint;
