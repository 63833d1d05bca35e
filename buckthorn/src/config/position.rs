//! Positions in the operators' topic of the platform's log.
//!
//! An offset identifies a record only as long as the log loses nothing. A log that is restored from
//! an older copy gives out offsets again, so it counts its eras, and positions are ordered by era
//! first.

use std::fmt;

use serde::de::{Deserialize, Deserializer};
use serde::ser::{Serialize, Serializer};

/// Number of bits of an encoded position that hold the offset.
const OFFSET_BITS: u32 = 48;

/// Position of a record in the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position {
    /// Number of times that the log was restored, as the log counts it.
    pub era: u16,
    /// Offset in that era, below 2^48.
    pub offset: u64,
}

impl Position {
    /// Creates a position.
    pub const fn new(era: u16, offset: u64) -> Self {
        Self { era, offset }
    }
}

/// Encodes the position as one integer, in the order of positions. That of an offset in era 0 is the
/// offset itself, which is what nodes send that know no eras.
impl From<Position> for u64 {
    fn from(position: Position) -> Self {
        u64::from(position.era) << OFFSET_BITS | position.offset
    }
}

impl From<u64> for Position {
    fn from(bits: u64) -> Self {
        Self {
            era: (bits >> OFFSET_BITS) as u16,
            offset: bits & ((1 << OFFSET_BITS) - 1),
        }
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.era, self.offset)
    }
}

impl Serialize for Position {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_u64((*self).into())
    }
}

impl<'de> Deserialize<'de> for Position {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        u64::deserialize(deserializer).map(Self::from)
    }
}
