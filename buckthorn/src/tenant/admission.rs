//! Decision on a call by its key.

use super::directory::{Directory, Tenant};

/// Decision on a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision<'a> {
    /// The call belongs to no tenant and needs none.
    Anonymous,
    /// The call belongs to a tenant.
    Tenant(&'a Tenant),
    /// The call needs a key, and has none or one that belongs to no tenant.
    UnknownKey,
    /// The call needs a key, and the policy may be too old to tell which are in force.
    Unconfirmed,
}

/// Decides on a call with the given keys; more than one is as good as none.
///
/// An outdated policy lacks new keys as well, so that a key isn't called unknown by it.
pub fn decide<'a, 'k>(
    directory: &'a Directory,
    is_public: bool,
    is_current: bool,
    keys: impl IntoIterator<Item = &'k [u8]>,
) -> Decision<'a> {
    let mut keys = keys.into_iter();
    let found = match (keys.next(), keys.next()) {
        (Some(key), None) if is_current => directory.find(key),
        _ => None,
    };
    match found {
        Some(tenant) => Decision::Tenant(tenant),
        None if is_public => Decision::Anonymous,
        None if !is_current => Decision::Unconfirmed,
        None => Decision::UnknownKey,
    }
}
