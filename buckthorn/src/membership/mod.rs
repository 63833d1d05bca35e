//! Which hosts and backend servers exist, as told between nodes.

pub mod member;
pub mod prober;
pub mod view;
