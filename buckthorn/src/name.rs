//! Shared immutable names of hosts, services, versions and failure domains.

use std::sync::Arc;

/// Name that is cheap to clone.
pub type Name = Arc<str>;

/// Returns a stable 64-bit hash of a name, which is the same on every host and in every release.
pub fn hash(text: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(text.as_bytes())
}

/// Returns the rendezvous-hashing weight of a host for a key; the host with the highest weight owns
/// the key.
pub fn rendezvous(key: &str, host: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(host.as_bytes(), hash(key))
}

/// Returns where a host begins a sequence that all hosts follow, so that they are not in step.
pub fn phase(host: &str) -> u32 {
    hash(host) as u32
}
