//! How long a caller has been at it before this try.
//!
//! Load pattern: callers that were turned away come back, among others that come for the first time. What they are still
//! worth counts from their first try.
//!
//! Callers tell the time for which they still wait, and give a first try the same time as any other. So the longest of
//! a route's latest deadlines is that of first tries, and what a request has less was spent on tries before it.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Span over which the longest deadline is kept, and for as long again at most.
const SPAN: Duration = Duration::from_secs(10);

/// The longest deadlines of one route.
#[derive(Debug, Clone, Copy)]
struct Longest {
    now: Duration,
    before: Duration,
    since: Instant,
}

/// The longest deadlines of all routes.
#[derive(Debug, Default)]
pub struct Deadlines {
    by_route: HashMap<String, Longest>,
}

impl Deadlines {
    /// Takes in the deadline of a request on `route`, and tells what was spent before it came.
    pub fn spent(&mut self, route: &str, deadline: Duration, now: Instant) -> Duration {
        let longest = self.by_route.entry(route.to_owned()).or_insert(Longest {
            now: deadline,
            before: Duration::ZERO,
            since: now,
        });
        if longest.since + SPAN < now {
            *longest = Longest {
                now: deadline,
                before: longest.now,
                since: now,
            };
        }
        longest.now = longest.now.max(deadline);
        longest.now.max(longest.before).saturating_sub(deadline)
    }

    /// Forgets routes that are gone.
    pub fn retain(&mut self, mut is_there: impl FnMut(&str) -> bool) {
        self.by_route.retain(|route, _| is_there(route));
    }
}
