//! Memory for bodies that are kept in full, shared by all calls of a node.
//!
//! A call for whose body nothing is left is served all the same: its body is streamed, and cannot be
//! sent again after a failure.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Unit of reservations in bytes.
const UNIT: usize = 1_024;

/// Memory that is left.
#[derive(Clone, Debug)]
pub struct Memory(Arc<Semaphore>);

impl Memory {
    /// Creates a budget of a number of bytes.
    pub fn new(bytes: usize) -> Self {
        let units = (bytes / UNIT).min(Semaphore::MAX_PERMITS);
        Self(Arc::new(Semaphore::new(units)))
    }

    /// Returns an empty reservation.
    pub fn reservation(&self) -> Reservation {
        Reservation {
            memory: self.clone(),
            permit: None,
        }
    }
}

/// Reserved memory, given back on drop.
#[derive(Debug)]
pub struct Reservation {
    /// Memory that it is taken from.
    memory: Memory,
    /// What is reserved so far.
    permit: Option<OwnedSemaphorePermit>,
}

impl Reservation {
    /// Reserves memory until it covers a number of bytes; returns whether enough was left.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let reserved = self.permit.as_ref().map_or(0, |p| p.num_permits());
        let missing = bytes.div_ceil(UNIT).saturating_sub(reserved);
        if missing == 0 {
            return true;
        }
        let Ok(missing) = u32::try_from(missing) else {
            return false;
        };
        let Ok(permit) = self.memory.0.clone().try_acquire_many_owned(missing) else {
            return false;
        };
        match &mut self.permit {
            Some(reserved) => reserved.merge(permit),
            None => self.permit = Some(permit),
        }
        true
    }

    /// Attaches the reservation to the bytes that it is for.
    pub fn hold(self, bytes: impl AsRef<[u8]> + Send + 'static) -> Bytes {
        Bytes::from_owner(Held {
            bytes,
            _reservation: self,
        })
    }
}

/// Bytes with their reservation.
struct Held<T> {
    /// The bytes.
    bytes: T,
    /// Memory that is reserved for them.
    _reservation: Reservation,
}

impl<T: AsRef<[u8]>> AsRef<[u8]> for Held<T> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}
