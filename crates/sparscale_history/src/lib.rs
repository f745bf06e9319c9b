//! Where something stands in a history that others keep, and that may come back from an older copy.
//!
//! A store that is restored from a copy gives out offsets a second time. It tells how often that has happened, its era; an
//! offset says which of two records is later only within one era.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A place in a history: later eras go first, then later offsets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Place {
    /// How often the history has come back from an older copy.
    pub era: u64,
    /// Offset, or version, within the era.
    pub offset: u64,
}

impl Place {
    /// The place `offset` of era `era`.
    pub const fn new(era: u64, offset: u64) -> Self {
        Self { era, offset }
    }

    /// The place right behind this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self {
            offset: self.offset + 1,
            ..self
        }
    }
}

impl From<u64> for Place {
    /// A place in a history that never came back from a copy, such as the versions of a catalog.
    fn from(offset: u64) -> Self {
        Self { era: 0, offset }
    }
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.era, self.offset)
    }
}
