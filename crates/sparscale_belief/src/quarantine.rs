//! Requests and prompt parts that crash targets, as known from this process's own attempts, from its peers and from the store.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use sparscale_clock::{Clock, Timestamp, unix_ms};
use sparscale_quarantine::{Content, EndedStart, Fingerprint, Hold, Strike, StrikeSource, StrikeStatus, Tracker};
use sparscale_telemetry::DECISION;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::source::Error;

/// Time in which the process that saw a target end writes the strike to the store; after it, processes that received
/// the strike from a peer write it.
const WRITE_MARGIN: Duration = Duration::from_secs(2);
/// First delay after the store rejected strikes, doubled up to [`MAX_RETRY_DELAY`].
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_200);
/// Time after the start of a process during which requests are rejected while it has not learned the earlier strikes.
/// After that they are served: an unavailable store must not stop all traffic.
pub const MAX_HISTORY_WAIT: Duration = Duration::from_secs(2);
/// Interval at which expired strikes are removed.
const EXPIRY_INTERVAL: Duration = Duration::from_mins(10);

/// Persists strikes in the store, for processes that start later.
#[async_trait]
pub trait Archive: Send + 'static {
    /// Writes `strikes`. Must be idempotent: the same strike may be written twice, also by several processes.
    async fn keep(&mut self, strikes: &[Strike]) -> Result<(), Error>;

    /// Deletes `strikes`, which no process needs any more.
    async fn forget(&mut self, strikes: &[Strike]) -> Result<(), Error>;
}

/// The strikes that this process knows of.
#[derive(Debug)]
pub struct Quarantine {
    tracker: Mutex<Tracker>,
    /// Notifies subscribers of changes.
    changed: watch::Sender<()>,
    /// Everything that the store had accepted before this time is in the tracker; `None` before the first read.
    as_of: Mutex<Option<Timestamp>>,
    /// Era of the store at the last read.
    era: Mutex<Option<u64>>,
    started_at: Timestamp,
    /// Delays the release of held parts by a fraction of their hold, drawn at the start of the process.
    release_delay: f64,
    /// Whether a read of the store failed before the first one that succeeded.
    was_store_unavailable: AtomicBool,
    /// Whether a peer sent strikes that it has known since before this process started.
    has_earlier_strikes: AtomicBool,
    clock: Arc<dyn Clock>,
}

impl Quarantine {
    pub(crate) fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            started_at: clock.now(),
            release_delay: rand::random(),
            was_store_unavailable: AtomicBool::new(false),
            has_earlier_strikes: AtomicBool::new(false),
            tracker: Mutex::new(Tracker::marking()),
            changed: watch::Sender::new(()),
            as_of: Mutex::default(),
            era: Mutex::default(),
            clock,
        }
    }

    /// The hold that keeps a request from being sent now, if any.
    pub fn active_hold(&self, content: &Content) -> Option<Hold> {
        let (hold, is_probe) = {
            let mut tracker = self.tracker();
            let probe_count = tracker.probe_count();
            let hold = tracker.active_hold(content, self.release_delay, unix_ms());
            (hold, tracker.probe_count() != probe_count)
        };
        if is_probe {
            let parts: Vec<String> = content.shared_parts.iter().map(Fingerprint::log_prefix).collect();
            log::info!(target: DECISION, decision = "trial", content = content.request.log_prefix().as_str(), of:? = parts; "a request with a held part is let through to find out whether the part crashes targets");
        }
        hold
    }

    /// Sets the number of entries, among which requests that test held parts are divided.
    pub fn set_entry_count(&self, entries: usize) {
        self.tracker().set_process_count(entries);
    }

    /// Records that a target ended while it served a request. Returns how many targets have.
    pub fn record_end(&self, content: &Content, end: EndedStart) -> usize {
        let now_ms = unix_ms();
        let strike = |fingerprint| Strike {
            subject: fingerprint,
            ended_start: end,
            at_ms: now_ms,
            status: StrikeStatus::Counted,
        };
        let (is_new, ends, part_ends) = {
            let mut tracker = self.tracker();
            let version = tracker.version();
            for fingerprint in content.fingerprints() {
                tracker.merge(strike(fingerprint), StrikeSource::Local, now_ms);
            }
            let is_new = tracker.version() != version;
            let part_ends: Vec<usize> = content
                .shared_parts
                .iter()
                .map(|part| tracker.end_count(part))
                .collect();
            (is_new, tracker.end_count(&content.request), part_ends)
        };
        log::info!(target: DECISION, decision = "strike", content = content.request.log_prefix().as_str(), ends, part_ends:?, news = is_new; "a target ended while it served a request");
        self.notify_if(is_new);
        ends
    }

    /// Records that a request was answered completely, which clears it and the parts of its prompt.
    pub fn record_response(&self, content: &Content) {
        let (cleared, has_changed) = {
            let mut tracker = self.tracker();
            let version = tracker.version();
            let cleared = tracker.record_response(content, unix_ms());
            (cleared, tracker.version() != version)
        };
        for fingerprint in &cleared {
            log::info!(target: DECISION, decision = "cleared", content = fingerprint.log_prefix().as_str(); "the request, or others with this part of the prompt, were answered completely, so it is not the cause of the crashes");
        }
        self.notify_if(has_changed);
    }

    /// Merges strikes that the peer `source` sent.
    pub fn merge_from_peer(&self, strikes: &[Strike], source: &str) {
        let now_ms = unix_ms();
        let new_strikes = {
            let mut tracker = self.tracker();
            let results = strikes
                .iter()
                .map(|strike| tracker.merge(*strike, StrikeSource::Peer, now_ms));
            results.filter(|is_new| *is_new).count()
        };
        if new_strikes > 0 {
            log::info!(target: DECISION, decision = "strikes", source, news = new_strikes; "received new strikes against requests from a peer");
        }
        self.notify_if(new_strikes > 0);
    }

    /// Merges all strikes that the store held in era `era` when it was queried at `queried_at`. A store that was
    /// restored from an older snapshot has lost what was written since, so each process that reads the new era writes
    /// its strikes again.
    pub fn merge_from_store(&self, strikes: &[Strike], era: u64, queried_at: Timestamp) {
        let restored = {
            let mut known_era = self.era.lock().unwrap_or_else(PoisonError::into_inner);
            if known_era.is_some_and(|known_era| era < known_era) {
                return;
            }
            known_era.replace(era).is_some_and(|known_era| known_era < era)
        };
        if restored {
            self.tracker().mark_stored_unconfirmed();
        }
        let now_ms = unix_ms();
        let queried_at_ms = now_ms.saturating_sub(self.clock.now().since(queried_at).as_millis() as u64);
        let has_changed = self
            .tracker()
            .merge_snapshot(strikes, queried_at_ms, WRITE_MARGIN, now_ms);
        self.confirm(queried_at);
        self.notify_if(has_changed);
    }

    /// Records that the store could not be read. If this process hasn't read it before, strikes that earlier processes
    /// could not write to it may be lost.
    pub(crate) fn record_failed_read(&self) {
        if self.age().is_none() {
            self.was_store_unavailable.store(true, Ordering::Relaxed);
        }
    }

    /// Waits for [`MAX_HISTORY_WAIT`]; then records that strikes may be lost if the store was unavailable at the start
    /// and no peer knew them.
    pub async fn watch_history(&self) {
        tokio::time::sleep(MAX_HISTORY_WAIT).await;
        if !self.was_store_unavailable.load(Ordering::Relaxed) || self.has_earlier_strikes.load(Ordering::Relaxed) {
            return;
        }
        self.tracker().record_history_loss(unix_ms());
        log::warn!(target: DECISION, decision = "strikes_lost"; "neither the store nor a peer sent the earlier strikes; requests are held back after a single one for a while");
        self.notify_if(true);
    }

    /// Records that a peer has sent everything that the store had accepted by `as_of`.
    pub fn confirm_from_peer(&self, as_of: Timestamp) {
        if as_of < self.started_at {
            self.has_earlier_strikes.store(true, Ordering::Relaxed);
        }
        self.confirm(as_of);
    }

    /// Records that everything that the store had accepted by `as_of` is known to this process.
    fn confirm(&self, as_of: Timestamp) {
        let mut latest = self.as_of.lock().unwrap_or_else(PoisonError::into_inner);
        *latest = Some(latest.map_or(as_of, |latest| latest.max(as_of)));
    }

    /// Age of the observed state of the store; `None` before the first read.
    pub fn age(&self) -> Option<Duration> {
        let as_of = *self.as_of.lock().unwrap_or_else(PoisonError::into_inner);
        as_of.map(|as_of| self.clock.now().since(as_of))
    }

    /// The strikes that changed after version `since`, and the current version.
    pub fn changes_since(&self, since: u64) -> (Vec<Strike>, u64) {
        self.tracker().changes_since(since)
    }

    /// Wakes whenever strikes change.
    pub fn subscribe(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    /// Writes strikes that the store lacks to `archive`; never returns. The process for which `is_first` holds also
    /// deletes expired strikes there.
    pub async fn sync_to_archive(&self, mut archive: Box<dyn Archive>, is_first: impl Fn() -> bool) {
        let mut changes = self.subscribe();
        changes.mark_changed();
        let mut next_expiry = Instant::now() + EXPIRY_INTERVAL;
        loop {
            tokio::select! {
                result = changes.changed() => if result.is_err() { return },
                () = tokio::time::sleep_until(next_expiry) => {
                    next_expiry = Instant::now() + EXPIRY_INTERVAL;
                    let expired = self.tracker().remove_expired(unix_ms());
                    if !expired.is_empty() && is_first() {
                        log_failure("forget", &archive.forget(&expired).await);
                    }
                }
            }
            self.write_to_store(archive.as_mut()).await;
        }
    }

    async fn write_to_store(&self, archive: &mut dyn Archive) {
        let mut delay = MIN_RETRY_DELAY;
        loop {
            let unwritten = self.tracker().unsaved();
            if unwritten.is_empty() {
                return;
            }
            if !log_failure("keep", &archive.keep(&unwritten).await) {
                tokio::time::sleep(delay).await;
                delay = (delay * 2).min(MAX_RETRY_DELAY);
                continue;
            }
            let now_ms = unix_ms();
            let mut tracker = self.tracker();
            for strike in unwritten {
                tracker.merge(strike, StrikeSource::Store, now_ms);
            }
        }
    }

    fn notify_if(&self, has_changed: bool) {
        if has_changed {
            self.changed.send_replace(());
        }
    }

    fn tracker(&self) -> MutexGuard<'_, Tracker> {
        // A panic cannot leave a partial entry, because each is replaced in one step; so a poisoned lock is usable.
        self.tracker.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Logs a failed operation on the archive. Returns whether it succeeded.
fn log_failure(operation: &str, result: &Result<(), Error>) -> bool {
    if let Err(error) = result {
        log::info!(target: DECISION, decision = "strikes_not_kept", what = operation, error = error.to_string().as_str(); "the store did not accept an update of strikes");
    }
    result.is_ok()
}
