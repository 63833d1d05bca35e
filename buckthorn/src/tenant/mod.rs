//! Tenants: the groups of callers that a policy names, each with keys and a priority.
//!
//! A [`directory`] finds the tenant of a key. The [`confirmation`] bounds how old the policy may be
//! by which keys are accepted, and the [`plugin`] keeps it current: a node that reads the orders
//! confirms it with each read, the others ask a node that is nearer to a reader.

pub mod admission;
pub mod confirmation;
pub mod directory;
pub mod plugin;
