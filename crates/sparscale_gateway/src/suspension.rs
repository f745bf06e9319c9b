//! Detects that this process was suspended: a timer fires much later than it was set for.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sparscale_clock::{Clock, Timestamp};
use sparscale_telemetry::DECISION;

/// Interval of the timer.
const BEAT_INTERVAL: Duration = Duration::from_millis(50);
/// A beat that is later by more shows a suspension.
const MAX_BEAT_DELAY: Duration = Duration::from_millis(150);

/// The beats of a timer, and the last suspension that they showed.
#[derive(Debug)]
pub(crate) struct SuspensionDetector {
    clock: Arc<dyn Clock>,
    beats: Mutex<Beats>,
}

#[derive(Debug)]
struct Beats {
    last: Timestamp,
    /// End of the last suspension.
    last_resumed_at: Option<Timestamp>,
}

impl SuspensionDetector {
    pub(crate) fn new(clock: Arc<dyn Clock>) -> Self {
        let beats = Beats {
            last: clock.now(),
            last_resumed_at: None,
        };
        Self {
            clock,
            beats: Mutex::new(beats),
        }
    }

    /// Runs the timer; never returns.
    pub(crate) async fn run(&self) {
        loop {
            tokio::time::sleep(BEAT_INTERVAL).await;
            self.beat();
        }
    }

    fn beat(&self) {
        let now = self.clock.now();
        let mut beats = self.lock();
        let delay = beats.delay_at(now);
        beats.last = now;
        if delay > MAX_BEAT_DELAY {
            beats.last_resumed_at = Some(now);
            drop(beats);
            log::warn!(target: DECISION, decision = "suspended", late_ms = delay.as_millis() as u64; "a timer fired late: this process was suspended or got no processor time");
        }
    }

    /// Whether this process was suspended at some time since `since`.
    pub(crate) fn was_suspended_since(&self, since: Timestamp) -> bool {
        let now = self.clock.now();
        let beats = self.lock();
        // The timer may not have fired yet after a suspension.
        beats.delay_at(now) > MAX_BEAT_DELAY || beats.last_resumed_at.is_some_and(|resumed_at| resumed_at >= since)
    }

    fn lock(&self) -> MutexGuard<'_, Beats> {
        self.beats.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Beats {
    /// How late the next beat is at `now`.
    fn delay_at(&self, now: Timestamp) -> Duration {
        now.since(self.last + BEAT_INTERVAL)
    }
}
