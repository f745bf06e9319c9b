//! Reads a source when no peer has reported its state for a while.
//!
//! Calls of the platform's store are priced and rate-limited, so few processes read it and send the result to the
//! others. There is no election: each process reads once its observation has reached an age that rises with its index
//! among the live readers. Normally the first reads and the others receive the result in time; if the first has ended,
//! is rejected by the store or is partitioned, the second reads shortly after.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use sparscale_telemetry::{DECISION, Registry};

use crate::board::Board;
use crate::observation::MergeOutcome;
use crate::peer_first;
use crate::source::{Error, Source, Versioned};
use crate::view::{self, View};
use sparscale_catalog::{Configuration, Roster};
use sparscale_quarantine::Strike;

/// Timeout of one read.
const READ_TIMEOUT: Duration = Duration::from_millis(700);
/// Delay after a failed read, doubled with each further failure in a row: the store may have recovered by the next
/// attempt.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Longest such delay of a process whose observations must be recent: a box has to be up to date 3 s after the end of a
/// disturbance, and one read may take [`READ_TIMEOUT`] in vain before the one that succeeds.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_200);

/// Decides at which age of its observation a process reads the source itself.
#[derive(Debug)]
pub struct Schedule {
    /// Age at which the first reader reads.
    pub first_reader_age: Duration,
    /// Additional age for each further reader.
    pub age_per_reader: Duration,
    /// Time that a new process gives its peers to send their state before its first read.
    pub initial_wait: Duration,
    /// Longest delay between two failed reads.
    pub max_retry_delay: Duration,
    reader_index: AtomicUsize,
}

impl Schedule {
    /// The schedule of a process that knows of no peers: it is the first reader.
    pub fn new(first_reader_age: Duration, age_per_reader: Duration, initial_wait: Duration) -> Self {
        Self {
            first_reader_age,
            age_per_reader,
            initial_wait,
            max_retry_delay: MAX_RETRY_DELAY,
            reader_index: AtomicUsize::new(0),
        }
    }

    /// Sets the longest delay between two failed reads.
    #[must_use]
    pub fn with_max_retry_delay(mut self, max_retry_delay: Duration) -> Self {
        self.max_retry_delay = max_retry_delay;
        self
    }

    /// Sets the index of this process among the readers, 0 for the first.
    pub fn set_reader_index(&self, reader_index: usize) {
        self.reader_index.store(reader_index, Ordering::Relaxed);
    }

    /// Index of this process among the readers, 0 for the first.
    pub fn reader_index(&self) -> usize {
        self.reader_index.load(Ordering::Relaxed)
    }

    /// Delay after `failures` failed reads in a row. It has jitter, so that processes which failed at the same time do
    /// not retry at the same time.
    fn retry_delay(&self, failures: u32) -> Duration {
        let backoff = MIN_RETRY_DELAY.saturating_mul(2_u32.saturating_pow(failures.saturating_sub(1)));
        let jitter = 0.75 + 0.5 * rand::random::<f64>();
        backoff.min(self.max_retry_delay).mul_f64(jitter)
    }

    /// Age of the observation at which this process reads the source.
    fn read_age(&self) -> Duration {
        let preceding_readers = u32::try_from(self.reader_index()).unwrap_or(u32::MAX);
        self.first_reader_age + self.age_per_reader.saturating_mul(preceding_readers)
    }
}

/// Metrics of reads of the store.
#[derive(Debug)]
pub struct Metrics {
    registry: Arc<Registry>,
}

impl Metrics {
    /// Metrics that are registered in `registry`.
    pub fn new(registry: &Arc<Registry>) -> Self {
        Self {
            registry: Arc::clone(registry),
        }
    }

    fn record<T>(&self, source: &str, answer: &Result<Versioned<T>, Error>, elapsed: Duration) {
        let result = if answer.is_ok() { "answered" } else { "failed" };
        let help = "Reads of the store, by result.";
        let labels = [("source", source), ("result", result)];
        self.registry
            .counter("sparscale_store_reads_total", help, &labels)
            .increment();
        let help = "Duration of a read of the store.";
        let labels = [("source", source)];
        self.registry
            .histogram("sparscale_store_read_seconds", help, &labels)
            .record(elapsed);
    }
}

/// Keeps the catalog and the evacuations on `board` recent; never returns.
pub async fn read_configuration(
    board: Arc<Board>,
    source: Box<dyn Source<Configuration>>,
    schedule: Arc<Schedule>,
    metrics: Metrics,
) {
    let source = Box::new(peer_first::Delay::new(source, Arc::clone(&board)));
    keep_recent("catalog", source, &schedule, &metrics, &view::Configuration(board)).await;
}

/// Keeps the roster on `board` recent; never returns.
pub async fn read_roster(
    board: Arc<Board>,
    source: Box<dyn Source<Roster>>,
    schedule: Arc<Schedule>,
    metrics: Metrics,
) {
    keep_recent("roster", source, &schedule, &metrics, &view::Roster(board)).await;
}

/// Keeps the known requests that crash targets recent; never returns.
pub async fn read_strikes(
    board: Arc<Board>,
    source: Box<dyn Source<Vec<Strike>>>,
    schedule: Arc<Schedule>,
    metrics: Metrics,
) {
    keep_recent("strikes", source, &schedule, &metrics, &view::Strikes(board)).await;
}

async fn keep_recent<T: Send + Sync + 'static>(
    source_name: &'static str,
    mut source: Box<dyn Source<T>>,
    schedule: &Schedule,
    metrics: &Metrics,
    view: &dyn View<T>,
) {
    let mut reachable = true;
    let mut failures = 0;
    let started_at = view.board().now();
    loop {
        let now = view.board().now();
        // Without an observation, the time since the start counts as its age, so that the first read is due after the
        // initial wait.
        let current_age = view
            .age()
            .unwrap_or_else(|| now.since(started_at) + schedule.read_age().saturating_sub(schedule.initial_wait));
        let wait = schedule.read_age().checked_sub(current_age);
        if let Some(wait) = wait.filter(|wait| !wait.is_zero()) {
            // A peer has sent a recent state.
            failures = 0;
            tokio::time::sleep(wait).await;
            continue;
        }
        let queried_at = view.board().now();
        let answer = tokio::time::timeout(READ_TIMEOUT, source.read()).await;
        let answer = answer.unwrap_or_else(|_elapsed| {
            let message = format!("no answer within {} ms", READ_TIMEOUT.as_millis());
            Err(Error::Unavailable { message })
        });
        metrics.record(source_name, &answer, view.board().now().since(queried_at));
        log_reachability(source_name, &mut reachable, &answer);
        if answer.is_err() {
            view.record_failure();
        }
        let outcome = answer.map(|reading| view.merge(reading, queried_at));
        // A stale answer does not make the observation more recent; retrying at once would only load the store.
        if matches!(outcome, Err(_) | Ok(MergeOutcome::Stale)) {
            failures += 1;
            tokio::time::sleep(schedule.retry_delay(failures)).await;
        } else {
            failures = 0;
        }
    }
}

/// Logs when a source becomes unreachable or reachable again, but not each failure.
fn log_reachability<T>(source_name: &str, reachable: &mut bool, answer: &Result<Versioned<T>, Error>) {
    match answer {
        Ok(_) if !*reachable => {
            log::info!(target: DECISION, decision = "regained", source = source_name; "reads of the store succeed again");
            *reachable = true;
        }
        Err(error) if *reachable => {
            log::warn!(target: DECISION, decision = "lost", source = source_name, error = error.to_string().as_str(); "reading the store failed; retrying with an exponential delay");
            *reachable = false;
        }
        _ => {}
    }
}
