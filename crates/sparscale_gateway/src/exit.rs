//! The planned exit of this process: when the last responses are due, and which requests can still be served.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sparscale_catalog::Route;
use sparscale_policy::planned_stop::DurationTracker;
use sparscale_telemetry::DECISION;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::head::Head;
use crate::refusal::{Reason, Refusal};

/// `Retry-After` of a request that could not finish before this process exits. The load balancer routes the retry to
/// another entry.
const STOPPING_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The planned exit, once it is known.
#[derive(Debug)]
pub(crate) struct Exit {
    /// When the last responses are due; none unless this process is stopping.
    responses_due: watch::Sender<Option<Instant>>,
    durations: Mutex<DurationTracker>,
}

impl Default for Exit {
    fn default() -> Self {
        Self {
            responses_due: watch::Sender::new(None),
            durations: Mutex::default(),
        }
    }
}

impl Exit {
    /// Announces when the last responses are due.
    pub(crate) fn schedule(&self, responses_due: Instant) {
        self.responses_due.send_replace(Some(responses_due));
    }

    /// Returns once the last responses are due; never unless this process is stopping.
    ///
    /// Cancel safe.
    pub(crate) async fn responses_due(&self) {
        let mut receiver = self.responses_due.subscribe();
        let due = receiver.wait_for(Option::is_some).await.map_or(None, |due| *due);
        match due {
            Some(due) => tokio::time::sleep_until(due).await,
            None => std::future::pending().await,
        }
    }

    /// `deadline`, or the time at which the last responses are due if that is earlier.
    pub(crate) fn limit(&self, deadline: Instant) -> Instant {
        let due = *self.responses_due.borrow();
        due.map_or(deadline, |due| due.min(deadline))
    }

    /// The refusal of a request on `route` if it may not finish before this process exits.
    pub(crate) fn refusal(&self, head: &Head, route: &Route, arrived_at: Instant) -> Option<Refusal> {
        let due = (*self.responses_due.borrow())?;
        let now = Instant::now();
        let timeout = (arrived_at + head.timeout(route)).saturating_duration_since(now);
        let time_left = due.saturating_duration_since(now);
        if self.durations().admits(&route.name, timeout, time_left) {
            return None;
        }
        log::info!(target: DECISION, decision = "no_time_left", request = head.id_text(), route = route.name.as_str(), timeout_ms = timeout.as_millis() as u64, left_ms = time_left.as_millis() as u64; "the request may not finish before this process exits");
        Some(stopping_refusal())
    }

    /// Records how long a request that was sent to a target took.
    pub(crate) fn record_duration(&self, route: &Route, duration: Duration) {
        self.durations().record(&route.name, duration);
    }

    /// Drops the routes that `exists` rejects.
    pub(crate) fn retain(&self, exists: impl FnMut(&str) -> bool) {
        self.durations().retain(exists);
    }

    fn durations(&self) -> MutexGuard<'_, DurationTracker> {
        self.durations.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The refusal of a request that has not run and that this process cannot serve any more.
pub(crate) fn stopping_refusal() -> Refusal {
    Refusal::with_retry_after(Reason::Stopping, STOPPING_RETRY_DELAY)
}
