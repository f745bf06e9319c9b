//! The line of requests that wait for room in one group.
//!
//! Load pattern: more requests come for some seconds than the group serves in time. Served in the order in which they came,
//! all of them are late a moment later, those that come after the overload included.
//!
//! Those that can still be in time go first, by tier and then in the order in which they came. One whose time has run
//! out is worth as much a moment later, so it goes behind them, until its caller would take the silence for a dead
//! connection.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::room::Room;

/// Place of a request in the line: its tier, then its number.
pub type Ticket = (u8, usize);

/// A request that waits.
#[derive(Debug)]
struct Waiter<T> {
    timely_until: Instant,
    waiter: T,
}

/// Requests that wait.
#[derive(Debug)]
pub struct Line<T> {
    waiting: BTreeMap<Ticket, Waiter<T>>,
}

impl<T> Default for Line<T> {
    fn default() -> Self {
        Self {
            waiting: BTreeMap::new(),
        }
    }
}

impl<T> Line<T> {
    /// Lets a request wait that can be in time if it is let in by `timely_until`; `waiter` is who to tell.
    pub fn join(&mut self, ticket: Ticket, timely_until: Instant, waiter: T) {
        self.waiting.insert(ticket, Waiter { timely_until, waiter });
    }

    /// Takes a request out that does not wait any more.
    pub fn leave(&mut self, ticket: Ticket) {
        self.waiting.remove(&ticket);
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Takes out the next request that `room` is for.
    pub fn next(&mut self, room: Room, now: Instant) -> Option<T> {
        let first = |late: bool| {
            let found = self
                .waiting
                .iter()
                .find(|(_, waiter)| (waiter.timely_until < now) == late);
            found.map(|(ticket, _)| *ticket)
        };
        let timely = if room.timely >= 1.0 { first(false) } else { None };
        let ticket = timely.or_else(|| if room.late >= 1.0 { first(true) } else { None })?;
        self.waiting.remove(&ticket).map(|waiting| waiting.waiter)
    }
}
