//! A target that ended under a request.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sparscale_catalog::Start;

use crate::fingerprint::{Fingerprint, Unreadable};

/// Which start of which target ended. All processes that saw one end name it alike, so it counts once.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct End(u64);

impl End {
    /// The end of the start of `target` that began at `born_ms`, if targets tell that.
    pub fn of(target: &str, born_ms: Option<u64>) -> Self {
        Self::from(Start::of(target, born_ms))
    }
}

impl From<Start> for End {
    fn from(start: Start) -> Self {
        Self(start.digest())
    }
}

impl FromStr for End {
    type Err = Unreadable;

    fn from_str(text: &str) -> Result<Self, Unreadable> {
        u64::from_str_radix(text, 16).map(Self).map_err(|_digits| Unreadable)
    }
}

impl fmt::Display for End {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl fmt::Debug for End {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// Whether a strike speaks against its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Standing {
    /// It does.
    Counts,
    /// The request has been answered often enough since. This is final.
    Cleared,
}

/// A target ended while it had a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Strike {
    /// The request.
    pub request: Fingerprint,
    /// What ended.
    pub end: End,
    /// When, in milliseconds since 1970 by the clock of the process that saw it.
    pub at_ms: u64,
    /// Whether it counts.
    pub standing: Standing,
}
