//! When callers are to come back to a service whose targets all limit what they take.
//!
//! Load pattern: callers that are turned away at one time come back at one time. Targets that take so many requests a
//! second, evenly spaced, would turn all of them away again but one. So each caller is told a time of its own, in the
//! order in which they were turned away.

use std::time::Duration;

use sparscale_clock::Moment;

/// Longest time after which a caller is told to come back.
const MAX_WAIT: Duration = Duration::from_secs(30);
/// Shortest time between two callers.
const MIN_GAP: Duration = Duration::from_millis(5);

/// The times that one entry has given out for one service.
#[derive(Debug, Default)]
pub struct Returns {
    next: Option<Moment>,
}

impl Returns {
    /// Time after which the next caller is to come back, if a target takes a request at `opens_at` and one more after each
    /// `gap`.
    pub fn promise(&mut self, opens_at: Moment, gap: Duration, now: Moment) -> Duration {
        let latest = now + MAX_WAIT;
        let at = self.next.map_or(opens_at, |next| next.max(opens_at)).min(latest);
        self.next = Some(at + gap.max(MIN_GAP));
        at.since(now)
    }
}
