//! Which backend server a call goes to, and whether it is tried again.
//!
//! [`table`] resolves the intent to known backend servers, [`choice`] picks one of them for a call
//! by the [`load`] that this node sees, [`outlier`] keeps out those that fail more than others,
//! and [`budget`] decides what follows a failed attempt.

pub mod budget;
pub mod choice;
pub mod load;
pub mod outlier;
pub mod table;
