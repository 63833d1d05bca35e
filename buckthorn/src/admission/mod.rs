//! Admission of calls by the owner of a backend server.

pub mod door;
pub mod gate;
