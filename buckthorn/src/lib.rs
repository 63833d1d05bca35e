//! Configuration distribution for a service mesh without a central control plane.
//!
//! Operators publish routing intent to the platform's append-only log. One node runs beside each
//! backend server; it folds the log into a configuration state, agrees with its peers on which
//! backend servers exist, and forwards calls between them.
//!
//! Decision modules ([`journal`], [`membership`], [`rollout`], [`routing`], [`admission`],
//! [`poison`]) take events and the current time and return the actions to perform; they perform no
//! I/O. [`proxy`], [`rpc`] and [`log`] perform the I/O, and [`kernel`] connects the two sides.

pub mod admin;
pub mod admission;
pub mod clock;
pub mod config;
pub mod counter;
pub mod journal;
pub mod kernel;
pub mod log;
pub mod log_event;
pub mod membership;
pub mod metrics;
pub mod name;
pub mod node;
pub mod poison;
pub mod proxy;
pub mod rollout;
pub mod routing;
pub mod rpc;
pub mod secret;
pub mod tenant;
pub mod usage;
