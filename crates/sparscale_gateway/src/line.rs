//! The line of requests that wait for room in one group.
//!
//! Those that can still be in time go first, by tier and then in the order in which they came. One whose time has run
//! out is worth as much a moment later, so it goes behind them, until its caller would take the silence for a dead
//! connection.

use std::collections::BTreeMap;

use tokio::sync::oneshot;
use tokio::time::Instant;

/// Place of a request in the line: its tier, then its number.
pub type Ticket = (u8, usize);

/// Rooms, in requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Room {
    /// For requests that can still be in time.
    pub timely: f64,
    /// For requests that are late already.
    pub late: f64,
}

impl Room {
    /// Nothing is known that speaks against anybody.
    pub const OPEN: Self = Self {
        timely: f64::INFINITY,
        late: f64::INFINITY,
    };

    /// Adds `requests`, or takes them away.
    pub fn add(&mut self, requests: f64) {
        self.timely += requests;
        self.late += requests;
    }
}

/// A request that waits.
#[derive(Debug)]
struct Waiter<T> {
    timely_until: Instant,
    sender: oneshot::Sender<T>,
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
    /// Lets a request wait that can be in time if it is let in by `timely_until`.
    pub fn join(&mut self, ticket: Ticket, timely_until: Instant) -> oneshot::Receiver<T> {
        let (sender, receiver) = oneshot::channel();
        self.waiting.insert(ticket, Waiter { timely_until, sender });
        receiver
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
    pub fn next(&mut self, room: Room, now: Instant) -> Option<oneshot::Sender<T>> {
        let first = |late: bool| {
            let found = self
                .waiting
                .iter()
                .find(|(_, waiter)| (waiter.timely_until < now) == late);
            found.map(|(ticket, _)| *ticket)
        };
        let timely = if room.timely >= 1.0 { first(false) } else { None };
        let ticket = timely.or_else(|| if room.late >= 1.0 { first(true) } else { None })?;
        self.waiting.remove(&ticket).map(|waiter| waiter.sender)
    }
}
