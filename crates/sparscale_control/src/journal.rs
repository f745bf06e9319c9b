//! The log as one process knows it: the folded state, recent records for peers, and appends.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, RwLock};
use std::time::Duration;

use bytes::Bytes;
use snafu::{ResultExt as _, Snafu};
use sparscale_bundle::Operator;
use sparscale_journal::{
    Alarm, Batch, Budget, Certificate, Image, Log, LogEntry, LogError, Outcome, Reader, ReaderError, Receipt, Record,
    RecordBody, RecordId, RecordKind, State, without_image,
};
use sparscale_telemetry::ALARM;
use sparscale_wire::RelayedLog;
use tokio::sync::{oneshot, watch};
use tokio::time::Instant;

/// Maximum number of records kept for peers that lag behind; a peer further behind receives the folded state.
const MAX_RELAY_RECORDS: usize = 512;
/// Maximum total size of the records kept for peers.
const MAX_RELAY_BYTES: usize = 1 << 20;
/// Delay before the first retry of an append, doubled for each further one up to [`MAX_RETRY_DELAY`].
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(50);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// A submitted record that has no verdict.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum SubmitError {
    /// The fleet has reached the append limit for records of this kind.
    #[snafu(display("the append budget is used up; come back in {} ms", retry_after.as_millis()))]
    Budget {
        /// Delay after which to retry.
        retry_after: Duration,
    },
    /// The log does not have the record.
    #[snafu(display("the log did not take the record: {source}"))]
    NotAppended {
        /// Error of the log.
        source: LogError,
    },
    /// The timeout passed before it was known whether the log has the record.
    #[snafu(display("no proof within the deadline that the record is in the log, or is not"))]
    Unknown,
}

/// One process's view of the log.
pub struct Journal {
    log: Arc<dyn Log>,
    reader: RwLock<Reader>,
    relay: Mutex<RelayBuffer>,
    waiters: Mutex<HashMap<RecordId, oneshot::Sender<Receipt>>>,
    budget: Mutex<Budget>,
    heads: watch::Sender<u64>,
    last_log_contact: Mutex<Option<Instant>>,
    /// End of the log when this process first queried it.
    initial_log_end: OnceLock<u64>,
    started_at: Instant,
}

#[derive(Debug, Default)]
struct RelayBuffer {
    entries: VecDeque<LogEntry>,
    bytes: usize,
}

impl std::fmt::Debug for Journal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Journal")
            .field("head", &self.head())
            .finish_non_exhaustive()
    }
}

impl Journal {
    /// Creates an empty journal; `initial_operators` may sign the first bundle.
    pub fn new(log: Arc<dyn Log>, initial_operators: Vec<Operator>) -> Self {
        let (heads, _) = watch::channel(0);
        Self {
            log,
            reader: RwLock::new(Reader::new(initial_operators)),
            relay: Mutex::default(),
            waiters: Mutex::default(),
            budget: Mutex::default(),
            heads,
            last_log_contact: Mutex::default(),
            initial_log_end: OnceLock::new(),
            started_at: Instant::now(),
        }
    }

    /// Returns the client of the platform's log.
    pub fn log(&self) -> &Arc<dyn Log> {
        &self.log
    }

    /// Calls `read` with the folded state.
    pub fn with_state<T>(&self, read: impl FnOnce(&State) -> T) -> T {
        let reader = self.reader.read().unwrap_or_else(PoisonError::into_inner);
        read(reader.state())
    }

    /// Returns the certificate of the active bundle.
    pub fn active_certificate(&self) -> Option<Arc<Certificate>> {
        self.with_state(|state| state.active_certificate().cloned())
    }

    /// Returns the offset of the next record to fold.
    pub fn head(&self) -> u64 {
        self.with_state(State::head)
    }

    /// Subscribes to changes of the head.
    pub fn subscribe_heads(&self) -> watch::Receiver<u64> {
        self.heads.subscribe()
    }

    /// Returns the time since the last contact with the log, directly or through peers.
    pub fn log_age(&self) -> Duration {
        let last_log_contact = lock(&self.last_log_contact).unwrap_or(self.started_at);
        last_log_contact.elapsed()
    }

    /// Returns whether this process has reached the end of the log at least once.
    pub fn has_caught_up(&self) -> bool {
        lock(&self.last_log_contact).is_some()
    }

    /// Returns whether all records that the log held when this process first queried it are folded.
    ///
    /// Queries the log itself, once: the head that a peer reports may be as old as the time for which the peer or this
    /// process was frozen.
    pub async fn has_folded_initial_log(&self) -> bool {
        let known_end = self.initial_log_end.get().copied();
        let end = match known_end {
            Some(end) => end,
            None => match self.log.read(self.head(), 1, Duration::ZERO).await {
                Ok(batch) => *self.initial_log_end.get_or_init(|| batch.next),
                Err(_) => return false,
            },
        };
        self.head() >= end
    }

    pub(crate) fn record_log_contact(&self, age: Duration) {
        let at = Instant::now().checked_sub(age);
        let mut last_log_contact = lock(&self.last_log_contact);
        *last_log_contact = (*last_log_contact).max(at);
    }

    /// Folds `batch` and delivers the receipts of its records to the submitters that wait for them.
    pub(crate) fn fold(&self, batch: &Batch) -> Result<(), ReaderError> {
        let mut receipts = Vec::new();
        let new_entries = {
            let mut reader = self.reader.write().unwrap_or_else(PoisonError::into_inner);
            let on_outcome = |offset: u64, outcome: &Outcome| receipts.push((offset, outcome.clone()));
            reader.fold(batch, on_outcome, raise_alarm)?
        };
        if new_entries.is_empty() && batch.earliest <= self.head() {
            return Ok(());
        }
        self.record_entries(new_entries);
        for (offset, outcome) in receipts {
            self.notify_waiter(offset, outcome);
        }
        self.heads.send_replace(self.head());
        Ok(())
    }

    /// Replaces the state with a peer's image if that is newer and trusted.
    pub(crate) fn adopt(&self, image: &[u8]) -> Result<(), ReaderError> {
        self.reader
            .write()
            .unwrap_or_else(PoisonError::into_inner)
            .adopt(image)?;
        // The records kept for peers end before the new head and would leave a gap.
        *lock(&self.relay) = RelayBuffer::default();
        self.heads.send_replace(self.head());
        Ok(())
    }

    /// Returns an image of the folded state for a peer or a snapshot.
    pub(crate) fn image(&self) -> Image {
        self.with_state(State::image)
    }

    /// Returns the records from offset `head` on; `None` if some are no longer kept or there are none.
    pub(crate) fn records_from(&self, head: u64) -> Option<RelayedLog> {
        let relay = lock(&self.relay);
        let first = relay.entries.front()?.offset;
        let skip = head.checked_sub(first)? as usize;
        let records: Vec<Bytes> = relay
            .entries
            .iter()
            .skip(skip)
            .map(|entry| entry.data.clone())
            .collect();
        (!records.is_empty()).then_some(RelayedLog::Records {
            first_offset: head,
            records,
        })
    }

    /// Appends a record and waits until this process has folded it and knows its verdict.
    ///
    /// After a lost response the same record is appended again; the fold applies its id only once.
    pub async fn submit(&self, body: RecordBody, timeout: Duration) -> Result<Receipt, SubmitError> {
        self.admit(RecordKind::of(&body))?;
        let record = Record::new(body);
        let (sender, receiver) = oneshot::channel();
        lock(&self.waiters).insert(record.id, sender);
        let receipt = tokio::time::timeout(timeout, self.append_until_judged(&record, receiver)).await;
        lock(&self.waiters).remove(&record.id);
        receipt.unwrap_or(Err(SubmitError::Unknown))
    }

    async fn append_until_judged(
        &self,
        record: &Record,
        mut receiver: oneshot::Receiver<Receipt>,
    ) -> Result<Receipt, SubmitError> {
        let data = Bytes::from(record.encode());
        let mut delay = INITIAL_RETRY_DELAY;
        let mut maybe_appended = false;
        loop {
            match self.log.append(data.clone()).await {
                Ok(_) => return receiver.await.map_err(|_dropped| SubmitError::Unknown),
                Err(source @ LogError::Refused { .. }) if !maybe_appended => {
                    return Err(source).context(NotAppendedSnafu);
                }
                Err(_) => maybe_appended = true,
            }
            match tokio::time::timeout(delay, &mut receiver).await {
                Ok(receipt) => return receipt.map_err(|_dropped| SubmitError::Unknown),
                Err(_elapsed) => delay = (delay * 2).min(MAX_RETRY_DELAY),
            }
        }
    }

    fn admit(&self, kind: RecordKind) -> Result<(), SubmitError> {
        let now = self.started_at.elapsed();
        let admitted = lock(&self.budget).admit(kind, now);
        admitted.map_err(|retry_after| SubmitError::Budget { retry_after })
    }

    fn record_entries(&self, entries: Vec<LogEntry>) {
        let now = self.started_at.elapsed();
        let mut relay = lock(&self.relay);
        for entry in entries {
            if let Ok(record) = Record::decode(&entry.data) {
                lock(&self.budget).record_append(RecordKind::of(&record.body), now);
            }
            let entry = without_image(&entry);
            relay.bytes += entry.data.len();
            relay.entries.push_back(entry);
        }
        while relay.entries.len() > MAX_RELAY_RECORDS || relay.bytes > MAX_RELAY_BYTES {
            let Some(oldest) = relay.entries.pop_front() else {
                return;
            };
            relay.bytes -= oldest.data.len();
        }
    }

    fn notify_waiter(&self, offset: u64, outcome: Outcome) {
        let waiter = outcome.id.and_then(|id| lock(&self.waiters).remove(&id));
        if let Some(waiter) = waiter {
            let verdict = outcome.verdict;
            // The submitter may have timed out and dropped the receiver.
            let _dropped = waiter.send(Receipt { offset, verdict });
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn raise_alarm(alarm: Alarm) {
    match alarm {
        Alarm::Damaged { offset, message } => {
            log::error!(target: ALARM, alarm = "record_damaged", offset, message = message.as_str(); "skipped a record that cannot be decoded");
        }
        Alarm::SnapshotDiffers { offset } => {
            log::error!(target: ALARM, alarm = "snapshot_differs", offset; "chain digest of a snapshot differs from that of this process; the log may have been restored from an older copy");
        }
    }
}
