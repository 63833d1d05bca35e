//! Selection of a backend server for each call, and retries.
//!
//! [`table`] resolves the intent to known backend servers, [`choice`] picks one of them for a call
//! by the [`load`] that this node observes, or by the [`completion`] that the owners' reports in
//! [`estimate`] let it expect, and [`first_try`] decides which attempts do not wait. [`outlier`]
//! ejects those that fail more than others, [`reach`] skips hosts and failure domains that do not
//! respond, and [`budget`] decides whether a failed attempt is retried. [`repeat`] charges the budgets for the calls that retried calls make, [`parent`] ranks the
//! calls that running requests make, and [`pressure`] refuses new requests that owners have no room
//! for.

pub mod budget;
pub mod choice;
pub mod completion;
pub mod estimate;
pub mod first_try;
pub mod load;
pub mod outlier;
pub mod parent;
pub mod pressure;
pub mod reach;
pub mod repeat;
pub mod table;
