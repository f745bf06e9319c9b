//! Reads a source whenever nobody else has told its state for a while.
//!
//! Calls of the platform's store are priced and limited, so few processes read and the others hear it from them. There
//! is no election: each process waits until its belief has reached an age of its own, which rises with its place in the
//! line of live readers. The first in line reads, everyone else hears of it in time; if the first is gone, refused or
//! cut off, the second reads a moment later.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use sparscale_telemetry::{DECISION, Registry};

use crate::belief::Change;
use crate::board::Board;
use crate::doubt::Doubted;
use crate::source::{Error, Reading, Source};
use sparscale_catalog::{Catalog, Roster};
use sparscale_clock::Moment;
use sparscale_quarantine::Strike;

/// Time that one reading may take before it is given up.
const READ_TIMEOUT: Duration = Duration::from_millis(700);
/// Pause after a failed reading, doubled with each further failure in a row; the next one may meet a store that is back.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Longest such pause of a process that answers for how old its beliefs are: a machine has to be up to date 3 s after
/// the end of trouble, and one reading may take [`READ_TIMEOUT`] in vain before the one that succeeds.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(1_200);

/// How old a belief gets before this process reads the source itself.
#[derive(Debug)]
pub struct Pace {
    /// Age at which the first in line reads.
    pub interval: Duration,
    /// What each place in line adds to it.
    pub step: Duration,
    /// Time that a new process gives others to tell it before it reads for the first time.
    pub head_start: Duration,
    /// Longest pause between two readings while they fail.
    pub max_retry: Duration,
    place: AtomicUsize,
}

impl Pace {
    /// The pace of a process that knows of no others: it is first in line.
    pub fn new(interval: Duration, step: Duration, head_start: Duration) -> Self {
        Self {
            interval,
            step,
            head_start,
            max_retry: MAX_RETRY_PAUSE,
            place: AtomicUsize::new(0),
        }
    }

    /// The same with another longest pause between two readings while they fail.
    #[must_use]
    pub fn with_max_retry(mut self, max_retry: Duration) -> Self {
        self.max_retry = max_retry;
        self
    }

    /// Sets the place in line, 0 for the first.
    pub fn set_place(&self, place: usize) {
        self.place.store(place, Ordering::Relaxed);
    }

    /// Place in line.
    pub fn place(&self) -> usize {
        self.place.load(Ordering::Relaxed)
    }

    /// Pause after `failures` failed readings in a row, spread so that processes which failed together do not all call
    /// together again.
    fn retry_pause(&self, failures: u32) -> Duration {
        let doubled = RETRY_PAUSE.saturating_mul(2_u32.saturating_pow(failures.saturating_sub(1)));
        let spread = 0.75 + 0.5 * rand::random::<f64>();
        doubled.min(self.max_retry).mul_f64(spread)
    }

    fn patience(&self) -> Duration {
        let steps = u32::try_from(self.place()).unwrap_or(u32::MAX);
        self.interval + self.step.saturating_mul(steps)
    }
}

/// Counts readings.
#[derive(Debug)]
pub struct ReadFigures {
    registry: Arc<Registry>,
}

impl ReadFigures {
    /// Counts in `registry`.
    pub fn new(registry: &Arc<Registry>) -> Self {
        Self {
            registry: Arc::clone(registry),
        }
    }

    fn note<T>(&self, source: &str, answer: &Result<Reading<T>, Error>, took: Duration) {
        let result = if answer.is_ok() { "answered" } else { "failed" };
        let help = "Readings of the store, by result.";
        let labels = [("source", source), ("result", result)];
        self.registry
            .counter("sparscale_store_reads_total", help, &labels)
            .add_one();
        let help = "Time that a reading of the store took.";
        let labels = [("source", source)];
        self.registry
            .histogram("sparscale_store_read_seconds", help, &labels)
            .note(took);
    }
}

/// Keeps the catalog on `board` young; never ends.
pub async fn read_catalog(board: Arc<Board>, source: Box<dyn Source<Catalog>>, pace: Arc<Pace>, figures: ReadFigures) {
    let now = {
        let board = Arc::clone(&board);
        move || board.now()
    };
    let age = {
        let board = Arc::clone(&board);
        move || board.catalog_age()
    };
    let source = Box::new(Doubted::new(source, Arc::clone(&board)));
    let offer = move |reading: Reading<Catalog>, asked| board.offer_catalog(reading.value, asked, "store");
    keep_young("catalog", source, &pace, &figures, age, offer, now).await;
}

/// Keeps the roster on `board` young; never ends.
pub async fn read_roster(board: Arc<Board>, source: Box<dyn Source<Roster>>, pace: Arc<Pace>, figures: ReadFigures) {
    let now = {
        let board = Arc::clone(&board);
        move || board.now()
    };
    let age = {
        let board = Arc::clone(&board);
        move || board.roster_age()
    };
    let offer =
        move |reading: Reading<Roster>, asked| board.offer_roster(reading.value, reading.position, asked, "store");
    keep_young("roster", source, &pace, &figures, age, offer, now).await;
}

/// Keeps what is known of requests that crash targets young; never ends.
pub async fn read_strikes(
    board: Arc<Board>,
    source: Box<dyn Source<Vec<Strike>>>,
    pace: Arc<Pace>,
    figures: ReadFigures,
) {
    let now = {
        let board = Arc::clone(&board);
        move || board.now()
    };
    let age = {
        let board = Arc::clone(&board);
        move || board.quarantine.age()
    };
    let offer = move |reading: Reading<Vec<Strike>>, asked| {
        board
            .quarantine
            .offer_reading(&reading.value, reading.position.era, asked);
        Change::Confirmed
    };
    keep_young("strikes", source, &pace, &figures, age, offer, now).await;
}

async fn keep_young<T: Send + Sync + 'static>(
    what: &'static str,
    mut source: Box<dyn Source<T>>,
    pace: &Pace,
    figures: &ReadFigures,
    age: impl Fn() -> Option<Duration>,
    offer: impl Fn(Reading<T>, Moment) -> Change,
    now: impl Fn() -> Moment,
) {
    let mut reachable = true;
    let mut failures = 0;
    let started = now();
    loop {
        // What nobody has told yet is as old as this process, less the head start that others get.
        let known = age().unwrap_or_else(|| now().since(started) + pace.patience().saturating_sub(pace.head_start));
        let wait = pace.patience().checked_sub(known);
        if let Some(wait) = wait.filter(|wait| !wait.is_zero()) {
            // Somebody told it.
            failures = 0;
            tokio::time::sleep(wait).await;
            continue;
        }
        let asked = now();
        let answer = tokio::time::timeout(READ_TIMEOUT, source.read()).await;
        let answer = answer.unwrap_or_else(|_elapsed| {
            let message = format!("nothing within {} ms", READ_TIMEOUT.as_millis());
            Err(Error::Unavailable { message })
        });
        figures.note(what, &answer, now().since(asked));
        note_reachable(what, &mut reachable, &answer);
        let news = answer.map(|reading| offer(reading, asked));
        // A store that answers from the past says nothing about now: asking at once again would only load it.
        if matches!(news, Err(_) | Ok(Change::Older)) {
            failures += 1;
            tokio::time::sleep(pace.retry_pause(failures)).await;
        } else {
            failures = 0;
        }
    }
}

/// Logs when a source is lost and when it is regained, not each failure.
fn note_reachable<T>(what: &str, reachable: &mut bool, answer: &Result<Reading<T>, Error>) {
    match answer {
        Ok(_) if !*reachable => {
            log::info!(target: DECISION, decision = "regained", source = what; "the store answers again");
            *reachable = true;
        }
        Err(error) if *reachable => {
            log::warn!(target: DECISION, decision = "lost", source = what, error = error.to_string().as_str(); "the store does not answer");
            *reachable = false;
        }
        _ => {}
    }
}
