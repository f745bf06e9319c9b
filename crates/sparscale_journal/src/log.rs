//! Interface of the platform's log.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use snafu::Snafu;

/// One stored record: offset and encoded bytes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogEntry {
    /// Offset of the record.
    pub offset: u64,
    /// The record's bytes.
    pub data: Bytes,
}

/// Response to a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// Offset of the oldest record that the log retains.
    pub earliest: u64,
    /// Offset that the next append will receive.
    pub next: u64,
    /// Records in offset order, starting at the requested offset.
    pub entries: Vec<LogEntry>,
}

/// A failed call of the log.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The log rejected the call; nothing was appended.
    #[snafu(display("the log refused: {message}"))]
    Refused {
        /// Reason that the log gave.
        message: String,
    },
    /// No valid response arrived; an append may or may not have taken effect.
    #[snafu(display("no answer from the log: {message}"))]
    Lost {
        /// Cause of the failure.
        message: String,
    },
}

/// The platform's append-only log.
#[async_trait]
pub trait Log: Send + Sync + 'static {
    /// Appends `data` and returns its offset.
    async fn append(&self, data: Bytes) -> Result<u64, Error>;

    /// Reads up to `limit` records from offset `from`; waits up to `wait` if there are none yet.
    async fn read(&self, from: u64, limit: usize, wait: Duration) -> Result<Batch, Error>;
}
