//! Whether a group of targets runs, and when a request tries that again.
//!
//! Load pattern: a group whose ranks were lost turns every request away until it has formed anew. Requests that wait for
//! that are late at worst; sent on, they would be refused one after the other, and callers come back only so often.

use std::time::{Duration, Instant};

/// Requests turned away in a row, without a good one between, after which a group counts as closed: one may have met a
/// full target.
const TURNED_AWAY: u32 = 2;
/// Time between two requests that try whether a closed group runs again.
const PROBE_PAUSE: Duration = Duration::from_millis(100);
/// Time after which a request that was not turned away counts as taken: a group that does not run answers within 5 ms.
pub const TAKEN_AFTER: Duration = Duration::from_millis(40);
/// Time after which a group that is still closed has lost ranks for longer than a restart takes: nobody waits for it
/// any more.
const CLOSED_LIMIT: Duration = Duration::from_secs(2);

/// What one request may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pass {
    /// Be sent.
    Go,
    /// Wait for the group to open, and try at that time at the latest.
    Wait(Instant),
    /// The group stays closed for longer than the request can wait.
    Closed,
}

/// Since when a gate is closed, and when the next request may try.
#[derive(Debug, Clone, Copy)]
struct Closure {
    since: Instant,
    next_try: Instant,
}

/// One group's gate.
#[derive(Debug, Default)]
pub struct Gate {
    turned_away: u32,
    closure: Option<Closure>,
}

impl Gate {
    /// What a request may do that can wait until `until`.
    pub fn pass(&mut self, until: Instant, now: Instant) -> Pass {
        let Some(closure) = &mut self.closure else {
            return Pass::Go;
        };
        if now >= closure.next_try {
            closure.next_try = now + PROBE_PAUSE;
            return Pass::Go;
        }
        if now >= until || now.saturating_duration_since(closure.since) > CLOSED_LIMIT {
            return Pass::Closed;
        }
        Pass::Wait(closure.next_try.min(until))
    }

    /// Whether the group does not run as far as is known, and it is not yet time to try again.
    pub fn is_closed(&self, now: Instant) -> bool {
        self.closure.is_some_and(|closure| now < closure.next_try)
    }

    /// Notes that a target of the group has turned a request away. Tells after how many in a row that closed the gate.
    pub fn turned_away(&mut self, now: Instant) -> Option<u32> {
        self.turned_away += 1;
        if self.turned_away < TURNED_AWAY || self.closure.is_some() {
            return None;
        }
        self.closure = Some(Closure {
            since: now,
            next_try: now + PROBE_PAUSE,
        });
        Some(self.turned_away)
    }

    /// Notes that a request was not turned away within [`TAKEN_AFTER`]: a group that does not run answers at once. Tells for
    /// how long the gate had been closed, if that opened it.
    pub fn taken(&mut self, now: Instant) -> Option<Duration> {
        self.closure?;
        self.answered(now)
    }

    /// Notes that a target of the group has begun a request. Tells for how long the gate had been closed, if that opened it.
    pub fn answered(&mut self, now: Instant) -> Option<Duration> {
        self.turned_away = 0;
        let closure = self.closure.take()?;
        Some(now.saturating_duration_since(closure.since))
    }
}
