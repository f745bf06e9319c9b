//! Tracks whether a group of targets accepts requests, and limits the probes that are sent to a group that does not.
//!
//! Load pattern: a group that lost ranks rejects every request until it has formed again. Requests that wait for that
//! are late at worst. If they were sent instead, they would be rejected one after the other, and callers retry only a
//! limited number of times.

use std::time::{Duration, Instant};

/// Consecutive rejections, without an accepted request between them, after which a group counts as closed: a single one
/// may come from a full target.
const REJECTIONS_TO_CLOSE: u32 = 2;
/// Time between two requests that probe whether a closed group accepts requests again.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Time without a rejection after which a request counts as accepted: a group that does not run answers within 5 ms.
pub const ACCEPTED_AFTER: Duration = Duration::from_millis(40);
/// Time after which requests no longer wait for a closed group: its ranks have then been missing for longer than a
/// restart takes.
const MAX_CLOSED_WAIT: Duration = Duration::from_secs(2);

/// What to do with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GateDecision {
    /// Send it.
    Send,
    /// Let it wait until the group opens, and ask again at this time at the latest.
    Wait(Instant),
    /// Reject it: the group stays closed for longer than it can wait.
    Closed,
}

/// Start of a closure, and the time of the next probe.
#[derive(Debug, Clone, Copy)]
struct Closure {
    since: Instant,
    next_probe: Instant,
}

/// The gate of one group.
#[derive(Debug, Default)]
pub struct Gate {
    consecutive_rejections: u32,
    closure: Option<Closure>,
}

impl Gate {
    /// Decides about a request that can wait until `until`.
    pub fn decide(&mut self, until: Instant, now: Instant) -> GateDecision {
        let Some(closure) = &mut self.closure else {
            return GateDecision::Send;
        };
        if now >= closure.next_probe {
            closure.next_probe = now + PROBE_INTERVAL;
            return GateDecision::Send;
        }
        if now >= until || now.saturating_duration_since(closure.since) > MAX_CLOSED_WAIT {
            return GateDecision::Closed;
        }
        GateDecision::Wait(closure.next_probe.min(until))
    }

    /// Whether the group counts as closed and no probe is due yet.
    pub fn is_closed(&self, now: Instant) -> bool {
        self.closure.is_some_and(|closure| now < closure.next_probe)
    }

    /// Records that a target of the group rejected a request. Returns the number of consecutive rejections if this one
    /// closed the gate.
    pub fn record_rejection(&mut self, now: Instant) -> Option<u32> {
        self.consecutive_rejections += 1;
        if self.consecutive_rejections < REJECTIONS_TO_CLOSE || self.closure.is_some() {
            return None;
        }
        self.closure = Some(Closure {
            since: now,
            next_probe: now + PROBE_INTERVAL,
        });
        Some(self.consecutive_rejections)
    }

    /// Records that a request was not rejected in the time after which it counts as accepted, which opens the gate: a
    /// group that does not run rejects at once. Returns how long it was closed, if it was.
    pub fn record_acceptance(&mut self, now: Instant) -> Option<Duration> {
        self.closure?;
        self.record_response(now)
    }

    /// Records that a target of the group began to respond. Returns how long the gate was closed, if this opened it.
    pub fn record_response(&mut self, now: Instant) -> Option<Duration> {
        self.consecutive_rejections = 0;
        let closure = self.closure.take()?;
        Some(now.saturating_duration_since(closure.since))
    }
}
