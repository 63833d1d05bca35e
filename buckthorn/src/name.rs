//! Shared immutable names of hosts, services, versions and failure domains.

use std::sync::Arc;

/// Cheaply cloned name.
pub type Name = Arc<str>;

/// Stable 64-bit hash of a name, equal on every host and in every release.
pub fn hash(text: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(text.as_bytes())
}

/// Rendezvous weight of a host for a key; the host with the highest weight owns the key.
pub fn rendezvous(key: &str, host: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(host.as_bytes(), hash(key))
}
