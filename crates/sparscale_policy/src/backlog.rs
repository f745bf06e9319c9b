//! The backlog of requests that wait for headroom in one group.
//!
//! Load pattern: for some seconds, more requests arrive than the group can serve on time. If they were admitted in the
//! order of arrival, all of them would soon be late, including those that arrive after the overload.
//!
//! Requests that can still be on time are admitted first, by tier and then in the order of arrival. A request that is
//! already late loses nothing by waiting longer, so it comes after them, until its caller would take the connection
//! for dead.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::headroom::Headroom;

/// Priority of a request in the backlog: its tier, then its number.
pub type Ticket = (u8, usize);

/// A request in the backlog.
#[derive(Debug)]
struct Waiter<T> {
    timely_until: Instant,
    waiter: T,
}

/// Requests that wait for admission.
#[derive(Debug)]
pub struct Backlog<T> {
    waiting: BTreeMap<Ticket, Waiter<T>>,
}
impl<T> Default for Backlog<T> {
    fn default() -> Self {
        Self {
            waiting: BTreeMap::new(),
        }
    }
}

impl<T> Backlog<T> {
    /// Adds a request that can be on time if it is admitted by `timely_until`. `waiter` is the handle by which its task
    /// is notified of the admission.
    pub fn insert(&mut self, ticket: Ticket, timely_until: Instant, waiter: T) {
        self.waiting.insert(ticket, Waiter { timely_until, waiter });
    }

    /// Removes a request that no longer waits.
    pub fn remove(&mut self, ticket: Ticket) {
        self.waiting.remove(&ticket);
    }

    /// Removes all requests and returns their handles.
    pub fn clear(&mut self) -> Vec<T> {
        let waiting = std::mem::take(&mut self.waiting);
        waiting.into_values().map(|waiting| waiting.waiter).collect()
    }

    /// Number of requests that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Removes and returns the next request that `headroom` allows.
    pub fn next(&mut self, headroom: Headroom, now: Instant) -> Option<T> {
        let first = |late: bool| {
            let found = self
                .waiting
                .iter()
                .find(|(_, waiter)| (waiter.timely_until < now) == late);
            found.map(|(ticket, _)| *ticket)
        };
        let timely = if headroom.timely >= 1.0 { first(false) } else { None };
        let ticket = timely.or_else(|| if headroom.late >= 1.0 { first(true) } else { None })?;
        self.waiting.remove(&ticket).map(|waiting| waiting.waiter)
    }
}
