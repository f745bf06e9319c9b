//! Claims of the leadership of a group, as entries of a list in the platform's store.

use async_trait::async_trait;
use snafu::Snafu;
use sparscale_history::Position;

/// Error of a claim whose outcome is unknown.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The store did not answer: the claim may have been recorded, or may be recorded later.
    #[snafu(display("the store did not answer the claim: {message}"))]
    Unavailable {
        /// Cause of the failure.
        message: String,
    },
}

/// Outcome of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The claim is recorded after every earlier claim.
    Won {
        /// Position of the claim.
        position: Position,
    },
    /// Another agent claimed first.
    Lost {
        /// Position that the next claim must take.
        next_position: Position,
    },
}

/// Bits of a claim's number that hold its offset: 262,144 claims in one era of the list.
const OFFSET_BITS: u32 = 18;
/// Highest era that a number can hold. With the fences of each claim, numbers stay within the integers that JSON
/// readers represent exactly.
const MAX_ERA: u64 = (1 << 14) - 1;

/// Returns the number of the claim at `position`: numbers increase with the era, and no two claims share one, even if a
/// restore of the list drops claims. `None` if the offset or the era is out of range.
pub fn number(position: Position) -> Option<u64> {
    let in_range = position.era <= MAX_ERA && position.offset < 1 << OFFSET_BITS;
    in_range.then_some(position.era << OFFSET_BITS | position.offset)
}

/// Whether a claim can have this number, which another process may have sent.
pub(crate) fn is_number(number: u64) -> bool {
    number >> OFFSET_BITS <= MAX_ERA
}

/// Returns the position of the claim with this number.
pub fn position(number: u64) -> Position {
    Position::new(number >> OFFSET_BITS, number & ((1 << OFFSET_BITS) - 1))
}

/// The platform's list of claims.
#[async_trait]
pub trait Claims: Send + 'static {
    /// Claims the leadership of `group` for `holder`, unless the list has grown since it ended at `end`.
    async fn claim(&mut self, group: &str, holder: &str, end: Position) -> Result<ClaimOutcome, Error>;
}
