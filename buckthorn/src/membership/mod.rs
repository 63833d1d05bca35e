//! Which hosts and backend servers exist, as told between nodes.
//!
//! Failure detection follows SWIM (Das, Gupta, Motivala 2002): probes, indirect probes, suspicion
//! with refutation, and deltas carried by messages. Hashes of the view by bucket repair whatever
//! the deltas missed. Every node turns its own suspicions into deaths; a death that is only heard
//! of starts a suspicion, so that a member heals from it without leaving anybody's routes.

pub mod gossip;
pub mod join;
pub mod member;
pub mod plugin;
pub mod prober;
pub mod sync;
pub mod view;

mod readers;

pub use plugin::register;
pub use readers::readers;
