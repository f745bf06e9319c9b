//! Estimates how much time a caller spent on earlier attempts of the same request.
//!
//! Load pattern: rejected callers retry, mixed with callers that make their first attempt. The worth of a response
//! counts from the first attempt.
//!
//! A caller sends the time for which it still waits as its deadline, and starts each request with the same deadline.
//! The longest recent deadline of a route is therefore that of first attempts, and a request with a shorter one has
//! spent the difference on earlier attempts.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Window over which the longest deadline is tracked; it is kept for at most one window more.
const WINDOW: Duration = Duration::from_secs(10);

/// The longest deadlines of one route, in the current and in the previous window.
#[derive(Debug, Clone, Copy)]
struct LongestDeadlines {
    current: Duration,
    previous: Duration,
    window_start: Instant,
}

/// The longest recent deadlines of all routes.
#[derive(Debug, Default)]
pub struct DeadlineTracker {
    by_route: HashMap<String, LongestDeadlines>,
}

impl DeadlineTracker {
    /// Records the deadline of a request on `route` and returns the time that its caller spent on earlier attempts.
    pub fn retry_age(&mut self, route: &str, deadline: Duration, now: Instant) -> Duration {
        let longest = self.by_route.entry(route.to_owned()).or_insert(LongestDeadlines {
            current: deadline,
            previous: Duration::ZERO,
            window_start: now,
        });
        if longest.window_start + WINDOW < now {
            *longest = LongestDeadlines {
                current: deadline,
                previous: longest.current,
                window_start: now,
            };
        }
        longest.current = longest.current.max(deadline);
        longest.current.max(longest.previous).saturating_sub(deadline)
    }

    /// Drops the routes that `exists` rejects.
    pub fn retain(&mut self, mut exists: impl FnMut(&str) -> bool) {
        self.by_route.retain(|route, _| exists(route));
    }
}
