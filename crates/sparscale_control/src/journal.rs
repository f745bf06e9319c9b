//! The log as one process knows it: the folded state, a short memory of records for peers, and appends.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, RwLock};
use std::time::Duration;

use bytes::Bytes;
use snafu::{ResultExt as _, Snafu};
use sparscale_bundle::Operator;
use sparscale_journal::{
    Alarm, Batch, Body, Budget, Certificate, Entry, Id, Image, Kind, Log, LogError, Outcome, Reader, ReaderError,
    Receipt, Record, State, without_image,
};
use sparscale_telemetry::ALARM;
use sparscale_wire::Relayed;
use tokio::sync::{oneshot, watch};
use tokio::time::Instant;

/// Records that a process keeps for peers that lag behind; a peer further back gets the folded state.
const RELAY_RECORDS: usize = 512;
/// Bytes of such records.
const RELAY_BYTES: usize = 1 << 20;
/// Pause before an append is tried again, doubled up to [`MAX_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// Why a record was not judged.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum SubmitError {
    /// The fleet has used up its appends of this kind.
    #[snafu(display("the append budget is used up; come back in {} ms", retry_after.as_millis()))]
    Budget {
        /// When to come back.
        retry_after: Duration,
    },
    /// The log never took the record.
    #[snafu(display("the log did not take the record: {source}"))]
    NotAppended {
        /// What it said.
        source: LogError,
    },
    /// The record may or may not be in the log.
    #[snafu(display("no proof within the deadline that the record is in the log, or is not"))]
    Unknown,
}

/// One process's view of the log.
pub struct Journal {
    log: Arc<dyn Log>,
    reader: RwLock<Reader>,
    relay: Mutex<Relay>,
    waiters: Mutex<HashMap<Id, oneshot::Sender<Receipt>>>,
    budget: Mutex<Budget>,
    heads: watch::Sender<u64>,
    heard: Mutex<Option<Instant>>,
    /// End of the log when this process first asked.
    first_end: OnceLock<u64>,
    started: Instant,
}

#[derive(Debug, Default)]
struct Relay {
    entries: VecDeque<Entry>,
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
    /// A journal that has seen nothing yet; `genesis` may sign the first bundle.
    pub fn new(log: Arc<dyn Log>, genesis: Vec<Operator>) -> Self {
        let (heads, _) = watch::channel(0);
        Self {
            log,
            reader: RwLock::new(Reader::new(genesis)),
            relay: Mutex::default(),
            waiters: Mutex::default(),
            budget: Mutex::default(),
            heads,
            heard: Mutex::default(),
            first_end: OnceLock::new(),
            started: Instant::now(),
        }
    }

    /// The platform's log itself.
    pub fn log(&self) -> &Arc<dyn Log> {
        &self.log
    }

    /// Looks at the folded state.
    pub fn with_state<T>(&self, look: impl FnOnce(&State) -> T) -> T {
        let reader = self.reader.read().unwrap_or_else(PoisonError::into_inner);
        look(reader.state())
    }

    /// The bundle in force.
    pub fn in_force(&self) -> Option<Arc<Certificate>> {
        self.with_state(|state| state.in_force().cloned())
    }

    /// Offset of the next record to fold.
    pub fn head(&self) -> u64 {
        self.with_state(State::head)
    }

    /// Shows each new head.
    pub fn heads(&self) -> watch::Receiver<u64> {
        self.heads.subscribe()
    }

    /// Time since the log was heard, directly or through peers.
    pub fn age(&self) -> Duration {
        let heard = lock(&self.heard).unwrap_or(self.started);
        heard.elapsed()
    }

    /// Whether the log was folded to its head at least once since this process started.
    pub fn has_caught_up(&self) -> bool {
        lock(&self.heard).is_some()
    }

    /// Whether everything that was in the log when this process first asked is folded here.
    ///
    /// Asks the log itself, once: what peers say of its head may be as old as a pause of theirs or of this process.
    pub async fn confirm_head(&self) -> bool {
        let known = self.first_end.get().copied();
        let end = match known {
            Some(end) => end,
            None => match self.log.read(self.head(), 1, Duration::ZERO).await {
                Ok(batch) => *self.first_end.get_or_init(|| batch.next),
                Err(_) => return false,
            },
        };
        self.head() >= end
    }

    pub(crate) fn heard_from_log(&self, age: Duration) {
        let at = Instant::now().checked_sub(age);
        let mut heard = lock(&self.heard);
        *heard = (*heard).max(at);
    }

    /// Folds `batch` and wakes whoever waits for its records.
    pub(crate) fn fold(&self, batch: &Batch) -> Result<(), ReaderError> {
        let mut receipts = Vec::new();
        let new = {
            let mut reader = self.reader.write().unwrap_or_else(PoisonError::into_inner);
            let judged = |offset: u64, outcome: &Outcome| receipts.push((offset, outcome.clone()));
            reader.fold(batch, judged, raise_alarm)?
        };
        if new.is_empty() && batch.earliest <= self.head() {
            return Ok(());
        }
        self.remember(new);
        for (offset, outcome) in receipts {
            self.wake(offset, outcome);
        }
        self.heads.send_replace(self.head());
        Ok(())
    }

    /// Takes over a peer's state.
    pub(crate) fn adopt(&self, image: &[u8]) -> Result<(), ReaderError> {
        self.reader
            .write()
            .unwrap_or_else(PoisonError::into_inner)
            .adopt(image)?;
        // Records kept for peers would leave a hole before the new head.
        *lock(&self.relay) = Relay::default();
        self.heads.send_replace(self.head());
        Ok(())
    }

    /// The folded state, encoded for a peer or a snapshot.
    pub(crate) fn image(&self) -> Image {
        self.with_state(State::image)
    }

    /// Records from offset `head` on, if this process still has them all.
    pub(crate) fn records_from(&self, head: u64) -> Option<Relayed> {
        let relay = lock(&self.relay);
        let first = relay.entries.front()?.offset;
        let skip = head.checked_sub(first)? as usize;
        let records: Vec<Bytes> = relay
            .entries
            .iter()
            .skip(skip)
            .map(|entry| entry.data.clone())
            .collect();
        (!records.is_empty()).then_some(Relayed::Records { first: head, records })
    }

    /// Appends a record and waits until its verdict is known here.
    ///
    /// The same record is appended again after a lost answer: the fold counts its id once.
    pub async fn submit(&self, body: Body, timeout: Duration) -> Result<Receipt, SubmitError> {
        self.admit(Kind::of(&body))?;
        let record = Record::new(body);
        let (sender, receiver) = oneshot::channel();
        lock(&self.waiters).insert(record.id, sender);
        let judged = tokio::time::timeout(timeout, self.append_until_judged(&record, receiver)).await;
        lock(&self.waiters).remove(&record.id);
        judged.unwrap_or(Err(SubmitError::Unknown))
    }

    async fn append_until_judged(
        &self,
        record: &Record,
        mut receiver: oneshot::Receiver<Receipt>,
    ) -> Result<Receipt, SubmitError> {
        let data = Bytes::from(record.encode());
        let mut pause = FIRST_PAUSE;
        let mut maybe_appended = false;
        loop {
            match self.log.append(data.clone()).await {
                Ok(_) => return receiver.await.map_err(|_dropped| SubmitError::Unknown),
                Err(source @ LogError::Refused { .. }) if !maybe_appended => {
                    return Err(source).context(NotAppendedSnafu);
                }
                Err(_) => maybe_appended = true,
            }
            match tokio::time::timeout(pause, &mut receiver).await {
                Ok(receipt) => return receipt.map_err(|_dropped| SubmitError::Unknown),
                Err(_elapsed) => pause = (pause * 2).min(MAX_PAUSE),
            }
        }
    }

    fn admit(&self, kind: Kind) -> Result<(), SubmitError> {
        let now = self.started.elapsed();
        let admitted = lock(&self.budget).admit(kind, now);
        admitted.map_err(|retry_after| SubmitError::Budget { retry_after })
    }

    fn remember(&self, entries: Vec<Entry>) {
        let now = self.started.elapsed();
        let mut relay = lock(&self.relay);
        for entry in entries {
            if let Ok(record) = Record::decode(&entry.data) {
                lock(&self.budget).note(Kind::of(&record.body), now);
            }
            let entry = without_image(&entry);
            relay.bytes += entry.data.len();
            relay.entries.push_back(entry);
        }
        while relay.entries.len() > RELAY_RECORDS || relay.bytes > RELAY_BYTES {
            let Some(oldest) = relay.entries.pop_front() else {
                return;
            };
            relay.bytes -= oldest.data.len();
        }
    }

    fn wake(&self, offset: u64, outcome: Outcome) {
        let waiter = outcome.id.and_then(|id| lock(&self.waiters).remove(&id));
        if let Some(waiter) = waiter {
            let verdict = outcome.verdict;
            // Whoever waited may have given up.
            let _gone = waiter.send(Receipt { offset, verdict });
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn raise_alarm(alarm: Alarm) {
    match alarm {
        Alarm::Damaged { offset, message } => {
            log::error!(target: ALARM, alarm = "record_damaged", offset, message = message.as_str(); "a record was skipped");
        }
        Alarm::SnapshotDiffers { offset } => {
            log::error!(target: ALARM, alarm = "snapshot_differs", offset; "a snapshot differs from this fold");
        }
    }
}
