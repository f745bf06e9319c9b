//! What the platform's log gives, and nothing more than that.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use snafu::Snafu;

/// One record as the log keeps it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Offset of the record.
    pub offset: u64,
    /// The record's bytes.
    pub data: Bytes,
}

/// Answer to a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// Offset of the oldest record that the log still keeps.
    pub earliest: u64,
    /// Offset that the next append will get.
    pub next: u64,
    /// Records in offset order, from the offset that was asked for.
    pub entries: Vec<Entry>,
}

/// Why the log did not answer.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The log said no before it took the record: nothing was appended.
    #[snafu(display("the log refused: {message}"))]
    Refused {
        /// What it said.
        message: String,
    },
    /// No answer came; an append may or may not have taken effect.
    #[snafu(display("no answer from the log: {message}"))]
    Lost {
        /// What went wrong.
        message: String,
    },
}

/// The platform's append-only log.
#[async_trait]
pub trait Log: Send + Sync + 'static {
    /// Appends `data` and returns its offset.
    async fn append(&self, data: Bytes) -> Result<u64, Error>;

    /// Reads up to `limit` records from offset `from`; waits up to `wait` for the first one.
    async fn read(&self, from: u64, limit: usize, wait: Duration) -> Result<Batch, Error>;
}
