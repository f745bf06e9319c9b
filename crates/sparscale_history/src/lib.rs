//! Positions in the history of an external store that may be restored from an older snapshot.
//!
//! A restored store assigns the same offsets a second time. It therefore counts its restores, as its era; offsets order
//! two records only within one era.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A position in a history, ordered by era, then by offset.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Position {
    /// Number of times that the history was restored from an older snapshot.
    pub era: u64,
    /// Offset or version within the era.
    pub offset: u64,
}

impl Position {
    /// The position at `offset` in `era`.
    pub const fn new(era: u64, offset: u64) -> Self {
        Self { era, offset }
    }

    /// The position directly after this one, in the same era.
    #[must_use]
    pub const fn next(self) -> Self {
        Self {
            offset: self.offset + 1,
            ..self
        }
    }
}

impl From<u64> for Position {
    /// A position in a history that is never restored, such as the versions of a catalog.
    fn from(offset: u64) -> Self {
        Self { era: 0, offset }
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.era, self.offset)
    }
}
