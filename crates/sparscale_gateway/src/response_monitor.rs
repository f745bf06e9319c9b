//! Detects targets that stop responding while requests wait for them.
//!
//! A suspended box leaves requests unanswered until their callers give up. The limits come from
//! [`response_timeout`](sparscale_policy::response_timeout); this module observes the responses and checks each wait.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sparscale_catalog::{Directory, Instance};
use sparscale_policy::response_timeout::{Evidence, ResponsePart};
use sparscale_policy::response_tracker::{PendingResponse, Tracker};
use sparscale_wire::group;
use tokio::time::Instant;

/// Interval between the checks of a target that has not responded yet.
const CHECK_INTERVAL: Duration = Duration::from_millis(40);
/// Time without a response before the first check.
const FIRST_CHECK_DELAY: Duration = Duration::from_millis(120);
/// A check that is delayed by more shows that this process itself was suspended: it could not have received any
/// response, and the wait starts again.
const MAX_CHECK_DELAY: Duration = Duration::from_millis(150);

/// A target found unresponsive, and the evidence for it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct UnresponsiveTarget {
    pub(crate) evidence: Evidence,
    pub(crate) unresponsive_for: Duration,
}

/// Response times and load reports of all targets that serve requests of this entry.
#[derive(Debug, Default)]
pub(crate) struct ResponseMonitor {
    tracker: Mutex<Tracker>,
}

impl ResponseMonitor {
    /// Records that a target has sent the awaited part of a response; the wait started at `since`.
    pub(crate) fn record_response(&self, instance: &Instance, response_part: ResponsePart, since: Instant) {
        let now = Instant::now();
        let elapsed = now.saturating_duration_since(since);
        self.lock()
            .record_response(instance, response_part, elapsed, now.into_std());
    }

    /// Records a load report from the leader of a group.
    pub(crate) fn record_report(&self, load: &group::Load) {
        self.lock().record_group_load(load, Instant::now().into_std());
    }

    /// Drops the state of groups and services that `targets` no longer contains.
    pub(crate) fn retain(&self, targets: &Directory) {
        self.lock().retain(targets);
    }

    /// Returns once the target of `wait` has been unresponsive for too long, counted from the call.
    pub(crate) async fn wait_until_unresponsive(&self, wait: PendingResponse<'_>) -> UnresponsiveTarget {
        let _guard = WaitGuard::new(self, wait.instance);
        let mut since = Instant::now();
        let mut next_check = since + FIRST_CHECK_DELAY;
        loop {
            tokio::time::sleep_until(next_check).await;
            let now = Instant::now();
            if now.saturating_duration_since(next_check) > MAX_CHECK_DELAY {
                since = now;
            }
            if let Some(verdict) = self.check(&wait, since, now) {
                return verdict;
            }
            next_check = now + CHECK_INTERVAL;
        }
    }

    fn check(&self, wait: &PendingResponse<'_>, since: Instant, now: Instant) -> Option<UnresponsiveTarget> {
        let unresponsive_for = now.saturating_duration_since(since);
        let evidence = self.lock().evidence(wait, now.into_std())?;
        evidence.should_abandon(unresponsive_for).then_some(UnresponsiveTarget {
            evidence,
            unresponsive_for,
        })
    }

    fn lock(&self) -> MutexGuard<'_, Tracker> {
        self.tracker.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts a wait for a target until dropped.
struct WaitGuard<'a> {
    monitor: &'a ResponseMonitor,
    instance: &'a Instance,
}

impl<'a> WaitGuard<'a> {
    fn new(monitor: &'a ResponseMonitor, instance: &'a Instance) -> Self {
        monitor.lock().begin_wait(instance);
        Self { monitor, instance }
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.monitor.lock().end_wait(self.instance);
    }
}
