//! The record that a target terminated while it ran a request, or one with a certain prompt part.

use std::cmp::Ordering;
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sparscale_catalog::StartId;

use crate::fingerprint::{Fingerprint, ParseError};

/// Identifies the start of a target that terminated.
///
/// All processes that observe the same termination derive the same value, so it counts once.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EndedStart(u64);

impl EndedStart {
    /// Identifies the start of `target` at `born_ms`; `None` if targets do not report when they started.
    pub fn of(target: &str, born_ms: Option<u64>) -> Self {
        Self::from(StartId::of(target, born_ms))
    }
}

/// Numbers below this identify records that are not terminations; a digest is this small only by rare chance.
const MAX_NUMBER: u64 = 1 << 32;

impl EndedStart {
    /// Identifies a record that is not a termination, by a number below 2^32.
    pub(crate) fn numbered(number: u64) -> Self {
        Self(number % MAX_NUMBER)
    }

    /// Whether it identifies a record that is not a termination.
    pub(crate) fn is_numbered(self) -> bool {
        self.0 < MAX_NUMBER
    }
}

impl From<StartId> for EndedStart {
    fn from(start: StartId) -> Self {
        Self(start.digest())
    }
}

impl FromStr for EndedStart {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        u64::from_str_radix(text, 16).map(Self).map_err(|_digits| ParseError)
    }
}

impl fmt::Display for EndedStart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl fmt::Debug for EndedStart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// How much a strike counts against its request or prompt part. A later status replaces an earlier one: first
/// [`Self::Counted`], then [`Self::Familiar`], then [`Self::Cleared`].
///
/// Records in the log contain the index of the variant, so new variants are added at the end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum StrikeStatus {
    /// It counts.
    #[serde(rename = "Counts")]
    Counted,
    /// It no longer counts, because enough complete responses have been received since. This is final.
    Cleared,
    /// It counts less, because requests with the same prompt part had received complete responses before.
    Familiar,
}

impl StrikeStatus {
    fn rank(self) -> u8 {
        match self {
            Self::Counted => 0,
            Self::Familiar => 1,
            Self::Cleared => 2,
        }
    }
}

impl Ord for StrikeStatus {
    fn cmp(&self, other: &Self) -> Ordering {
        self.rank().cmp(&other.rank())
    }
}

impl PartialOrd for StrikeStatus {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// One termination of a target while it ran a request, or one with a certain prompt part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Strike {
    /// The request that the target ran, or a part of its prompt.
    #[serde(rename = "request")]
    pub subject: Fingerprint,
    /// The start of the target that terminated.
    #[serde(rename = "end")]
    pub ended_start: EndedStart,
    /// Time of the termination, in milliseconds since 1970 by the clock of the process that observed it.
    pub at_ms: u64,
    /// Whether the strike counts against the request.
    #[serde(rename = "standing")]
    pub status: StrikeStatus,
}
