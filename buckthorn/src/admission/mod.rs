//! Admission of calls by the owner of a backend server.
//!
//! The owner is the only way into its backend server, so its limits are exact and need no
//! agreement. [`limit`] finds how many calls may run at once, [`queue`] orders those that wait,
//! [`gate`] decides with both, and [`semaphore`] shares the gate between threads.

pub mod breaker;
pub mod cold_rate;
pub mod gate;
pub mod limit;
pub mod queue;
pub mod semaphore;
