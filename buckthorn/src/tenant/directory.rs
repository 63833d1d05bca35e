//! Tenants of a policy and the digests of their keys.
//!
//! Keys are kept as SHA-256 digests only, so neither a policy in memory nor one that is sent between
//! nodes reveals them. The search compares digests, whose order says nothing about the keys, and
//! the match is compared in constant time.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use subtle::ConstantTimeEq;

use crate::admission::gate::Urgency;
use crate::name::Name;

/// Longest key in bytes; longer ones are unknown. Bounds the work of a request with a false key.
pub const MAX_KEY_BYTES: usize = 512;

/// Digest of a key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest([u8; 32]);

impl Digest {
    /// Digest of a key.
    pub fn new(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Digest(..)")
    }
}

/// Tenant of a policy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tenant {
    /// Name, which backend servers receive.
    pub name: Name,
    /// Priority of its calls; absent if the route decides.
    pub urgency: Option<Urgency>,
}

/// Tenants and keys of a policy.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Directory {
    /// Tenants, sorted by name.
    tenants: Vec<Tenant>,
    /// Digests of keys, sorted, with the index of the tenant.
    keys: Vec<(Digest, u32)>,
}

/// Error of a directory, which names no key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// Two tenants have the same name.
    DuplicateTenant(Name),
    /// A key of the second tenant also belongs to the first.
    SharedKey(Name, Name),
    /// A key of the tenant is empty or longer than [`MAX_KEY_BYTES`].
    KeyLength(Name),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::DuplicateTenant(name) => write!(f, "tenant {name} is named twice"),
            Self::SharedKey(first, second) => {
                write!(f, "tenants {first} and {second} have a key in common")
            }
            Self::KeyLength(name) => write!(
                f,
                "tenant {name} has a key that is empty or longer than {MAX_KEY_BYTES} bytes"
            ),
        }
    }
}

impl std::error::Error for Error {}

impl Directory {
    /// Directory of tenants with their keys.
    ///
    /// # Errors
    ///
    /// Fails when a name or a key occurs twice, or the length of a key is invalid.
    pub fn new<K: AsRef<[u8]>>(
        tenants: impl IntoIterator<Item = (Tenant, Vec<K>)>,
    ) -> Result<Self, Error> {
        let mut entries: Vec<(Tenant, Vec<K>)> = tenants.into_iter().collect();
        entries.sort_by(|(a, _), (b, _)| a.name.cmp(&b.name));
        let twice = entries
            .windows(2)
            .find(|pair| pair[0].0.name == pair[1].0.name);
        if let Some(pair) = twice {
            return Err(Error::DuplicateTenant(pair[0].0.name.clone()));
        }
        let mut directory = Self::default();
        for (index, (tenant, keys)) in entries.into_iter().enumerate() {
            for key in &keys {
                let key = key.as_ref();
                if key.is_empty() || key.len() > MAX_KEY_BYTES {
                    return Err(Error::KeyLength(tenant.name));
                }
                directory.keys.push((Digest::new(key), index as u32));
            }
            directory.tenants.push(tenant);
        }
        directory.keys.sort_unstable();
        directory.keys.dedup();
        let shared = directory
            .keys
            .windows(2)
            .find(|pair| pair[0].0 == pair[1].0);
        if let Some(pair) = shared {
            let name = |(_, index): (Digest, u32)| directory.tenants[index as usize].name.clone();
            return Err(Error::SharedKey(name(pair[0]), name(pair[1])));
        }
        Ok(directory)
    }

    /// Whether a decoded directory is sorted and each key belongs to a tenant.
    pub fn is_valid(&self) -> bool {
        let count = self.tenants.len();
        self.tenants.is_sorted_by(|a, b| a.name < b.name)
            && self.keys.is_sorted_by(|a, b| a.0 < b.0)
            && self.keys.iter().all(|(_, index)| (*index as usize) < count)
    }

    /// Tenant that a key belongs to.
    pub fn find(&self, key: &[u8]) -> Option<&Tenant> {
        if key.len() > MAX_KEY_BYTES {
            return None;
        }
        let offered = Digest::new(key);
        let index = self.keys.partition_point(|(held, _)| *held < offered);
        let (held, tenant) = self.keys.get(index)?;
        let is_equal: bool = held.0.ct_eq(&offered.0).into();
        is_equal.then(|| &self.tenants[*tenant as usize])
    }
}
