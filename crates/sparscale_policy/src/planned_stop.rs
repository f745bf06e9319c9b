//! Decides which requests a process still takes after it was asked to stop.
//!
//! Load pattern: a planned stop. Callers keep sending, on open connections and on new ones, until the load balancer has
//! noticed, and the process exits at a fixed time. Most requests finish well before that time, although their timeouts
//! end after it. Refusing all of these loses responses, and accepting all of them interrupts the long ones; a caller
//! cannot repeat an interrupted request that may run only once.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Number of requests of a route whose durations are kept.
const KEPT_DURATIONS: usize = 32;
/// A request is expected to finish on time if at most one in this many of the kept durations is longer than the time
/// left.
const DURATIONS_PER_LONGER_ONE: usize = 16;

/// Durations of the latest requests that were sent to targets, by route.
#[derive(Debug, Default)]
pub struct DurationTracker {
    by_route: HashMap<String, VecDeque<Duration>>,
}

impl DurationTracker {
    /// Records how long a request on `route` took, from its arrival to the end of its response.
    pub fn record(&mut self, route: &str, duration: Duration) {
        let Some(durations) = self.by_route.get_mut(route) else {
            self.by_route.insert(route.to_owned(), VecDeque::from([duration]));
            return;
        };
        if durations.len() == KEPT_DURATIONS {
            durations.pop_front();
        }
        durations.push_back(duration);
    }

    /// Whether a request on `route`, which is given up after `timeout`, may be sent to a target with `time_left` until
    /// its response is due. It is refused if it could take longer and nothing shows that requests of its route rarely
    /// do.
    pub fn admits(&self, route: &str, timeout: Duration, time_left: Duration) -> bool {
        if timeout <= time_left {
            return true;
        }
        let Some(durations) = self.by_route.get(route) else {
            return false;
        };
        let longer = durations.iter().filter(|duration| **duration > time_left).count();
        longer * DURATIONS_PER_LONGER_ONE <= durations.len()
    }

    /// Drops the routes that `exists` rejects.
    pub fn retain(&mut self, mut exists: impl FnMut(&str) -> bool) {
        self.by_route.retain(|route, _| exists(route));
    }
}
