//! Rate limits, backoffs and departures that targets announce, as this process knows them.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sparscale_catalog::{Directory, Instance, StartId};
use sparscale_clock::{Clock, Timestamp};
use sparscale_policy::cold;
use sparscale_policy::rate_limit::{Members, Rate};
use sparscale_policy::throttle::{Availability, Notice, Origin, Tracker};
use sparscale_telemetry::DECISION;
use tokio::sync::watch;

/// The restrictions that targets have announced.
#[derive(Debug)]
pub struct Throttle {
    tracker: Mutex<Tracker>,
    /// Notifies subscribers of changes.
    changed: watch::Sender<()>,
    clock: Arc<dyn Clock>,
    /// Random id under which this process reports notices.
    reporter: u64,
    /// Number of statements that this process received from targets.
    statements: AtomicU64,
}

impl Throttle {
    pub(crate) fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            reporter: rand::random(),
            statements: AtomicU64::new(0),
            tracker: Mutex::default(),
            changed: watch::Sender::new(()),
            clock,
        }
    }

    /// Records what the response of a target announces: its limit in requests per second from all entries together, if it
    /// has one, and whether it is draining.
    pub fn record_notice(&self, instance: &Instance, rate: Option<Rate>, is_draining: bool) {
        let notice = Notice {
            start: instance.start,
            rate,
            is_draining,
            as_of: self.clock.now(),
            origin: Origin {
                reporter: self.reporter,
                sequence: self.statements.fetch_add(1, Ordering::Relaxed),
            },
        };
        let is_new = self.record(notice, "answer", Some(&instance.target.id));
        // Only a process that received the notice from the target itself confirms it; otherwise peers would confirm
        // each other's notices forever.
        let confirms = self.tracker().reannounce_if_due(instance.start);
        self.notify_if(is_new || confirms);
    }

    /// Records that a target asked this process to send nothing for `backoff`.
    pub fn record_backoff(&self, instance: &Instance, backoff: Duration) {
        let now = self.clock.now();
        let Some(until) = self.tracker().record_backoff(instance.start, backoff, now) else {
            return;
        };
        log::info!(
            target: DECISION,
            decision = "rest",
            at = instance.target.id.as_str(),
            start = instance.start.to_string().as_str(),
            asked_ms = backoff.as_millis() as u64,
            rest_ms = until.since(now).as_millis() as u64;
            "a target requested a backoff; sending it no requests until that ends"
        );
    }

    /// Limits targets that are cold, and drops the limits of those that no longer are.
    pub fn record_cold(&self, limits: &[cold::Limit]) {
        let now = self.clock.now();
        let mut tracker = self.tracker();
        tracker.expire_cold(now);
        for limit in limits {
            tracker.record_cold(limit.start, limit.rate, limit.until, now);
        }
    }

    /// Whether a target has a limit other than that it is cold.
    pub fn is_restricted(&self, instance: &Instance) -> bool {
        let now = self.clock.now();
        self.tracker().is_restricted(instance.start, now)
    }

    /// Merges notices that the peer `source` sent.
    pub fn merge_from_peer(&self, notices: &[Notice], source: &str) {
        let results = notices.iter().map(|notice| self.record(*notice, source, None));
        let new_notices = results.filter(|is_new| *is_new).count();
        self.notify_if(new_notices > 0);
    }

    /// Divides the rates of targets among `members` from now on.
    pub fn set_members(&self, members: Members) {
        let now = self.clock.now();
        self.tracker().set_members(members, now);
    }

    /// Whether no target has announced a restriction.
    pub fn is_unrestricted(&self) -> bool {
        self.tracker().is_empty()
    }

    /// Whether this process may send to a target now.
    pub fn is_open(&self, instance: &Instance) -> bool {
        self.opening(instance) == Availability::Now
    }

    /// Whether this process may send to a target now; if so, counts a request as sent.
    pub fn try_acquire(&self, instance: &Instance) -> bool {
        let now = self.clock.now();
        self.tracker().try_acquire(instance.start, now)
    }

    /// When the target accepts the next request.
    pub fn opening(&self, instance: &Instance) -> Availability {
        let now = self.clock.now();
        self.tracker().availability(instance.start, now)
    }

    /// When the target announced that it is draining; none if it has not.
    pub fn draining_since(&self, instance: &Instance) -> Option<Timestamp> {
        self.tracker().draining_since(instance.start)
    }

    /// Limit of a target in requests per second from all entries together, if it has one.
    pub fn rate(&self, instance: &Instance) -> Option<f64> {
        self.tracker().rate(instance.start).map(Rate::per_second)
    }

    /// The notices that changed after version `since`, and the current version.
    pub fn changes_since(&self, since: u64) -> (Vec<Notice>, u64) {
        self.tracker().changes_since(since)
    }

    /// Wakes whenever notices change.
    pub fn subscribe(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    /// Drops the restrictions of targets that are not in `targets`.
    pub fn retain(&self, targets: &Directory) {
        let mut tracker = self.tracker();
        if tracker.is_empty() {
            return;
        }
        let current: Vec<StartId> = targets.instances().iter().map(|instance| instance.start).collect();
        tracker.retain(|start| current.contains(&start));
    }

    /// Records a notice and logs it if it is new; returns whether it is.
    fn record(&self, notice: Notice, source: &str, target: Option<&str>) -> bool {
        let now = self.clock.now();
        let is_new = self.tracker().merge(notice, now);
        if is_new {
            log_notice(&notice, source, target, now);
        }
        is_new
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

fn log_notice(notice: &Notice, source: &str, target: Option<&str>, now: Timestamp) {
    log::info!(
        target: DECISION,
        decision = "target_asks",
        at = target,
        start = notice.start.to_string().as_str(),
        per_second = notice.rate.map(Rate::per_second),
        leaving = notice.is_draining,
        source,
        age_ms = now.since(notice.as_of).as_millis() as u64;
        "a target set or lifted its rate limit, or is draining"
    );
}
