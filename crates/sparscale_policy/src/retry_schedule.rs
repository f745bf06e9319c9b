//! Spaces the retries of callers of a service whose targets all limit their request rate.
//!
//! Load pattern: callers that are rejected at the same time retry at the same time. Targets that accept a number of
//! requests a second, evenly spaced, would then reject all of them but one. So each caller gets a retry time of its
//! own, in the order of the rejections.

use std::time::Duration;

use sparscale_clock::Timestamp;

/// Longest delay that a caller is given.
const MAX_DELAY: Duration = Duration::from_secs(30);
/// Shortest time between the retries of two callers.
const MIN_INTERVAL: Duration = Duration::from_millis(5);

/// The retry times that one entry has assigned for one service.
#[derive(Debug, Default)]
pub struct RetrySchedule {
    /// Earliest retry time of the next caller.
    next: Option<Timestamp>,
}

impl RetrySchedule {
    /// Returns the delay after which the next caller should retry, if the targets accept a request at `opens_at` and
    /// one more after each `interval`.
    pub fn next_delay(&mut self, opens_at: Timestamp, interval: Duration, now: Timestamp) -> Duration {
        let latest = now + MAX_DELAY;
        let retry_at = self.next.map_or(opens_at, |next| next.max(opens_at)).min(latest);
        self.next = Some(retry_at + interval.max(MIN_INTERVAL));
        retry_at.since(now)
    }
}
