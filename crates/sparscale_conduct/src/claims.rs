//! How an agent takes the duty of leading its group.

use async_trait::async_trait;
use snafu::Snafu;

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
    /// It stands. Its offset is higher than that of every claim before it.
    Won {
        /// Offset of the claim.
        offset: u64,
    },
    /// Somebody claimed first.
    Lost {
        /// Claims so far: the next one has to follow these.
        end: u64,
    },
}

/// The platform's list of claims.
#[async_trait]
pub trait Claims: Send + 'static {
    /// Claims the duty of leading `group` for `holder`, if nobody has claimed since `end` claims.
    async fn claim(&mut self, group: &str, holder: &str, end: u64) -> Result<Claim, Error>;
}
