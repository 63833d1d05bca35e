//! Which backend server a call goes to, and whether it is tried again.

pub mod budget;
pub mod choice;
pub mod load;
pub mod table;
