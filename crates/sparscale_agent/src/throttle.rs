//! Tracks when the target beside the agent accepts the next request: a target may limit its request rate, request a
//! backoff, or announce that it is draining.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use sparscale_backpressure::BackpressureSignal;
use sparscale_catalog::StartId;
use sparscale_clock::{Clock, system_clock};
use sparscale_policy::rate_limit::Members;
use sparscale_policy::throttle::{Availability, Notice, Origin, Tracker};

/// Limits stated by the current start of the target.
#[derive(Debug)]
pub(crate) struct Throttle {
    tracker: Tracker,
    clock: Arc<dyn Clock>,
    /// Number of starts of the target seen so far; identifies the current one.
    start_count: u64,
    /// Number of responses received from the target.
    statements: u64,
    /// Whether a task already waits for the target to accept requests again.
    has_pending_wakeup: bool,
}

impl Throttle {
    /// Creates a throttle with the whole rate for this agent, because only the agent sends to its target.
    pub(crate) fn new() -> Self {
        let clock = system_clock();
        let own = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let mut tracker = Tracker::default();
        tracker.set_members(Members::new(own, &[]), clock.now());
        Self {
            tracker,
            clock,
            start_count: 0,
            statements: 0,
            has_pending_wakeup: false,
        }
    }

    /// Starts to track a new start of the target, which hasn't stated any limits yet.
    pub(crate) fn reset(&mut self) {
        self.start_count += 1;
        self.tracker.retain(|_| false);
    }

    /// Records the limits stated by a response; returns whether they differ from the known ones.
    pub(crate) fn record_signal(&mut self, signal: BackpressureSignal) -> bool {
        let (start, now) = (self.start(), self.clock.now());
        self.statements += 1;
        let notice = Notice {
            start,
            rate: signal.rate.value(),
            is_draining: signal.is_draining,
            as_of: now,
            origin: Origin {
                reporter: 0,
                sequence: self.statements,
            },
        };
        let has_changed_limits = self.tracker.merge(notice, now);
        let has_new_backoff = signal
            .backoff
            .and_then(|backoff| self.tracker.record_backoff(start, backoff, now))
            .is_some();
        has_changed_limits || has_new_backoff
    }

    /// Returns whether the target accepts a request now, and counts one request against its rate if so.
    pub(crate) fn try_acquire(&mut self) -> bool {
        let (start, now) = (self.start(), self.clock.now());
        self.tracker.try_acquire(start, now)
    }

    /// Time until the target accepts the next request: zero if it accepts one now, `None` if it is draining.
    pub(crate) fn time_until_open(&self) -> Option<Duration> {
        let now = self.clock.now();
        match self.tracker.availability(self.start(), now) {
            Availability::Now => Some(Duration::ZERO),
            Availability::At(at) => Some(at.since(now)),
            Availability::Never => None,
        }
    }

    /// Returns whether the target accepts no requests now because of a backoff or a drain. A target with a rate limit
    /// isn't closed: it accepts queued requests one after the other.
    pub(crate) fn is_closed(&self) -> bool {
        self.tracker.rate(self.start()).is_none() && self.time_until_open() != Some(Duration::ZERO)
    }

    /// Time until the target accepts a request that has `ahead` others before it in the queue; `None` if it is
    /// draining.
    pub(crate) fn expected_wait(&self, ahead: usize) -> Option<Duration> {
        let rate = self.tracker.rate(self.start());
        let interval_secs = rate.map_or(0.0, |rate| 1.0 / rate.per_second());
        Some(self.time_until_open()? + Duration::from_secs_f64(interval_secs * ahead as f64))
    }

    /// Time after which the caller must dispatch again; `None` if the target is draining or another task waits already.
    pub(crate) fn schedule_wakeup(&mut self) -> Option<Duration> {
        let time_until_open = self.time_until_open().filter(|_| !self.has_pending_wakeup)?;
        self.has_pending_wakeup = true;
        Some(time_until_open)
    }

    /// Marks the pending wakeup as done.
    pub(crate) fn clear_wakeup(&mut self) {
        self.has_pending_wakeup = false;
    }

    fn start(&self) -> StartId {
        StartId::of("target", Some(self.start_count))
    }
}
