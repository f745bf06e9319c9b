//! How an agent takes the leadership of its group.

use async_trait::async_trait;
use snafu::Snafu;
use sparscale_history::Place;

/// Why a claim could not be settled.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// No answer: the claim may have been taken, or may be taken later.
    #[snafu(display("no answer to a claim: {message}"))]
    Unavailable {
        /// What went wrong.
        message: String,
    },
}

/// What became of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Claim {
    /// It stands, behind every claim before it.
    Won {
        /// Place of the claim.
        place: Place,
    },
    /// Somebody claimed first.
    Lost {
        /// Place at which the next claim has to stand.
        end: Place,
    },
}

/// Bits of a claim's number that tell its offset: a quarter of a million claims in one era of the list.
const OFFSET_BITS: u32 = 18;
/// Eras that numbers can tell. With the fences of each claim a number then stays within the integers that every reader of
/// JSON takes exactly.
const MAX_ERA: u64 = (1 << 14) - 1;

/// Number of the claim at `place`: later eras have higher numbers, and no two claims have the same, whatever the list
/// forgets. None if there are more claims or eras than numbers.
pub fn number(place: Place) -> Option<u64> {
    let counted = place.era <= MAX_ERA && place.offset < 1 << OFFSET_BITS;
    counted.then_some(place.era << OFFSET_BITS | place.offset)
}

/// The place of the claim with this number.
pub fn place(number: u64) -> Place {
    Place::new(number >> OFFSET_BITS, number & ((1 << OFFSET_BITS) - 1))
}

/// The platform's list of claims.
#[async_trait]
pub trait Claims: Send + 'static {
    /// Claims the leadership of `group` for `holder`, if nobody has claimed since the list ended at `end`.
    async fn claim(&mut self, group: &str, holder: &str, end: Place) -> Result<Claim, Error>;
}
