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

/// Time after which a closure is no mistake: by then a request has tried again, and was turned away.
const SETTLED: Duration = Duration::from_millis(150);
/// Shortest closure that tells how long the next one lasts: in a shorter one no rank was lost.
const LASTING: Duration = Duration::from_millis(500);
/// Weight of the newest such closure in their running mean.
const NEWEST_WEIGHT: f64 = 0.5;

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
    /// How long closures last, once a lasting one was seen.
    usual: Option<Duration>,
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
        let next_try = closure.next_try;
        let is_long = self.age(now) > CLOSED_LIMIT;
        if now >= until || self.outlasts(until, now) || (is_long && self.opens_in(now).is_none()) {
            return Pass::Closed;
        }
        Pass::Wait(next_try.min(until))
    }

    /// Time until the group runs again, if it is closed for as long as it was before; none if that is not known, or is over.
    pub fn opens_in(&self, now: Instant) -> Option<Duration> {
        self.closure?;
        let age = self.age(now);
        let left = self.usual?.checked_sub(age)?;
        (age >= SETTLED).then_some(left)
    }

    /// Whether a request that can wait until `until` would wait in vain, as far as is known.
    pub fn outlasts(&self, until: Instant, now: Instant) -> bool {
        self.opens_in(now).is_some_and(|opens_in| now + opens_in > until)
    }

    /// Time since the gate closed.
    fn age(&self, now: Instant) -> Duration {
        let since = self.closure.map_or(now, |closure| closure.since);
        now.saturating_duration_since(since)
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
        let closed = now.saturating_duration_since(closure.since);
        if closed >= LASTING {
            let before = self.usual.unwrap_or(closed);
            self.usual = Some(before.mul_f64(1.0 - NEWEST_WEIGHT) + closed.mul_f64(NEWEST_WEIGHT));
        }
        Some(closed)
    }
}
