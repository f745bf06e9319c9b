//! Appends records so that a lost answer never leads to a second effect.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;

use crate::fold::{Outcome, Verdict};
use crate::log::{self, Log};
use crate::reader::{Error as ReaderError, Reader};
use crate::record::{Id, Record};

/// Records asked for in one read.
const READ_LIMIT: usize = 1_000;
/// Pause between two tries, doubled up to [`MAX_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// What became of an append.
#[derive(Debug, Clone, PartialEq)]
pub enum Settled {
    /// The log has the record; this is what the fold made of it.
    Judged(Receipt),
    /// The log never took the record.
    NotAppended {
        /// What it said.
        message: String,
    },
    /// No proof was found either way before the deadline.
    Unknown {
        /// Id under which the record may still turn up.
        id: Id,
        /// The last trouble.
        message: String,
    },
}

/// Where a record stands and what it did.
#[derive(Debug, Clone, PartialEq)]
pub struct Receipt {
    /// Offset of its first copy.
    pub offset: u64,
    /// What the fold made of it.
    pub verdict: Verdict,
}

/// Appends one record at a time and reads on until its verdict is known.
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
    /// A writer that folds with `reader`.
    pub fn new(log: Arc<dyn Log>, reader: Reader) -> Self {
        Self { log, reader }
    }

    /// The reader, as far as it has folded.
    pub fn reader(&self) -> &Reader {
        &self.reader
    }

    /// Folds the log to its head.
    pub async fn catch_up(&mut self) -> Result<(), CatchUpError> {
        self.catch_up_judging(|_, _, _| {}).await
    }

    /// Folds the log to its head; hands each record's offset, bytes and verdict to `judged`.
    pub async fn catch_up_judging(&mut self, mut judged: impl FnMut(u64, &[u8], &Verdict)) -> Result<(), CatchUpError> {
        loop {
            let from = self.reader.state().head();
            let batch = self.log.read(from, READ_LIMIT, Duration::ZERO).await?;
            let bytes_at = |offset: u64| batch.entries.iter().find(|entry| entry.offset == offset);
            let judge = |offset: u64, outcome: &Outcome| {
                let data = bytes_at(offset).map(|entry| entry.data.as_ref()).unwrap_or_default();
                judged(offset, data, &outcome.verdict);
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

    /// Appends `record` and folds on until it is judged or `deadline` passes.
    ///
    /// An answer that is lost is settled by reading on; the record is appended again, under the same id, only when
    /// it is not in the log yet. A copy that turns up later is counted once.
    pub async fn submit(&mut self, record: &Record, deadline: Instant) -> Settled {
        let data = Bytes::from(record.encode());
        let mut maybe_appended = false;
        let mut pause = FIRST_PAUSE;
        loop {
            let trouble = match self.log.append(data.clone()).await {
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
            if maybe_appended && let Some(receipt) = self.find(record.id).await {
                return Settled::Judged(receipt);
            }
            if Instant::now() + pause >= deadline {
                return give_up(record.id, maybe_appended, trouble);
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(MAX_PAUSE);
        }
    }

    async fn find(&mut self, id: Id) -> Option<Receipt> {
        let mut found = None;
        loop {
            let from = self.reader.state().head();
            let batch = self.log.read(from, READ_LIMIT, Duration::ZERO).await.ok()?;
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

fn give_up(id: Id, maybe_appended: bool, message: String) -> Settled {
    if maybe_appended {
        return Settled::Unknown { id, message };
    }
    Settled::NotAppended { message }
}

/// Why the log could not be folded to its head.
#[derive(Debug, snafu::Snafu)]
pub enum CatchUpError {
    /// The log did not answer.
    #[snafu(context(false), display("{source}"))]
    Log {
        /// What it said.
        source: log::Error,
    },
    /// The records cannot be folded.
    #[snafu(context(false), display("{source}"))]
    Fold {
        /// What the reader said.
        source: ReaderError,
    },
}
