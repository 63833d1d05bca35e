//! Admission control at the owner of a backend server.
//!
//! All calls to a backend server pass through its owner, so the owner's limits are exact and need
//! no coordination between nodes. [`limit`] determines how many calls may run at once, [`queue`]
//! orders those that wait, [`gate`] combines both, and [`semaphore`] shares the gate between
//! threads. [`breaker`] protects against a backend server that stopped responding, [`cold_rate`]
//! limits the rate of calls to a cold one, and [`rate_limit`] keeps to the rate that a backend
//! server names itself. [`rank`] is the order of calls under overload, and [`cut`] the first rank in
//! it that an owner has no room for. [`capacity`] estimates what a backend server takes now, [`report`]
//! is what an owner tells the ingresses, and [`backoff`] says when refused callers come back.

pub mod backoff;
pub mod breaker;
pub mod capacity;
pub mod cold_rate;
pub mod cut;
pub mod gate;
pub mod limit;
pub mod queue;
pub mod rank;
pub mod rate_limit;
pub mod report;
pub mod semaphore;
