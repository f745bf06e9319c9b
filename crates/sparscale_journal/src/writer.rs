//! Appends records such that a lost response never causes a second effect.
//!
//! After a lost response the writer reads the log to see whether the record is there. It retries under the same record
//! id, which the fold applies only once.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;

use crate::fold::{Outcome, Verdict};
use crate::log::{self, Log};
use crate::reader::{Error as ReaderError, Reader};
use crate::record::{Record, RecordId};

/// Maximum number of records per read.
const MAX_READ_RECORDS: usize = 1_000;
/// Delay before the first retry, doubled for each further one up to [`MAX_RETRY_DELAY`].
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(50);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Result of an append.
#[derive(Debug, Clone, PartialEq)]
pub enum SubmitOutcome {
    /// The log has the record, and the fold has judged it.
    Judged(Receipt),
    /// The log does not have the record.
    NotAppended {
        /// Last error of the log.
        message: String,
    },
    /// The deadline passed before it was known whether the log has the record.
    Unknown {
        /// Id under which the record may still appear in the log.
        id: RecordId,
        /// Last error.
        message: String,
    },
}

/// Offset and verdict of a record.
#[derive(Debug, Clone, PartialEq)]
pub struct Receipt {
    /// Offset of the first copy of the record.
    pub offset: u64,
    /// Verdict of the fold.
    pub verdict: Verdict,
}

/// Appends one record at a time and reads the log until the record's verdict is known.
pub struct Writer {
    log: Arc<dyn Log>,
    reader: Reader,
}

impl std::fmt::Debug for Writer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Writer")
            .field("reader", &self.reader)
            .finish_non_exhaustive()
    }
}

impl Writer {
    /// Creates a writer that appends to `log` and folds it with `reader`.
    pub fn new(log: Arc<dyn Log>, reader: Reader) -> Self {
        Self { log, reader }
    }

    /// Returns the reader with the state folded so far.
    pub fn reader(&self) -> &Reader {
        &self.reader
    }

    /// Folds the log up to its end.
    pub async fn catch_up(&mut self) -> Result<(), CatchUpError> {
        self.catch_up_with_verdicts(|_, _, _| {}).await
    }

    /// Folds the log up to its end and passes the offset, bytes and verdict of each record to `on_verdict`.
    pub async fn catch_up_with_verdicts(
        &mut self,
        mut on_verdict: impl FnMut(u64, &[u8], &Verdict),
    ) -> Result<(), CatchUpError> {
        loop {
            let from = self.reader.state().head();
            let batch = self.log.read(from, MAX_READ_RECORDS, Duration::ZERO).await?;
            let entry_at = |offset: u64| batch.entries.iter().find(|entry| entry.offset == offset);
            let judge = |offset: u64, outcome: &Outcome| {
                let data = entry_at(offset).map(|entry| entry.data.as_ref()).unwrap_or_default();
                on_verdict(offset, data, &outcome.verdict);
            };
            self.reader.fold(&batch, judge, |_alarm| {})?;
            let head = self.reader.state().head();
            if head >= batch.next {
                return Ok(());
            }
            if head == from {
                let earliest = batch.earliest;
                return Err(ReaderError::Expired { head, earliest }.into());
            }
        }
    }

    /// Appends `record` and folds the log until the record is judged or `deadline` passes.
    ///
    /// After a lost response the log is read; the record is appended again, under the same id, only if the log does
    /// not contain it yet. The fold ignores a copy that appears later.
    pub async fn submit(&mut self, record: &Record, deadline: Instant) -> SubmitOutcome {
        let data = Bytes::from(record.encode());
        let mut maybe_appended = false;
        let mut delay = INITIAL_RETRY_DELAY;
        loop {
            let failure = match self.log.append(data.clone()).await {
                Ok(_) => {
                    maybe_appended = true;
                    "the log has it, but cannot be read".to_owned()
                }
                Err(log::Error::Lost { message }) => {
                    maybe_appended = true;
                    message
                }
                Err(log::Error::Refused { message }) => message,
            };
            if maybe_appended && let Some(receipt) = self.find_receipt(record.id).await {
                return SubmitOutcome::Judged(receipt);
            }
            if Instant::now() + delay >= deadline {
                return outcome_without_verdict(record.id, maybe_appended, failure);
            }
            tokio::time::sleep(delay).await;
            delay = (delay * 2).min(MAX_RETRY_DELAY);
        }
    }

    async fn find_receipt(&mut self, id: RecordId) -> Option<Receipt> {
        let mut found = None;
        loop {
            let from = self.reader.state().head();
            let batch = self.log.read(from, MAX_READ_RECORDS, Duration::ZERO).await.ok()?;
            let judge = |offset: u64, outcome: &Outcome| {
                if found.is_none() && outcome.id == Some(id) {
                    let verdict = outcome.verdict.clone();
                    found = Some(Receipt { offset, verdict });
                }
            };
            self.reader.fold(&batch, judge, |_alarm| {}).ok()?;
            if found.is_some() || self.reader.state().head() >= batch.next || batch.entries.is_empty() {
                return found;
            }
        }
    }
}

fn outcome_without_verdict(id: RecordId, maybe_appended: bool, message: String) -> SubmitOutcome {
    if maybe_appended {
        return SubmitOutcome::Unknown { id, message };
    }
    SubmitOutcome::NotAppended { message }
}

/// Failure to fold the log up to its end.
#[derive(Debug, snafu::Snafu)]
pub enum CatchUpError {
    /// The log could not be read.
    #[snafu(context(false), display("{source}"))]
    Log {
        /// Error of the log.
        source: log::Error,
    },
    /// The records cannot be folded.
    #[snafu(context(false), display("{source}"))]
    Fold {
        /// Error of the reader.
        source: ReaderError,
    },
}
