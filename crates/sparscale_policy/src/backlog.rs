//! The backlog of requests that wait for headroom in one group.
//!
//! Load pattern: for some seconds, more requests arrive than the group can serve on time. If they were admitted in the
//! order of arrival, all of them would soon be late, including those that arrive after the overload.
//!
//! Requests that can still be on time are admitted first: by tier, then by the recent admissions of their workspace,
//! the fewest first, and then in the order of arrival. Of those that are equal so far, requests of callers that were
//! rejected before come after the others, since an early rejection has already cost a part of their worth. A request
//! that is already late loses nothing by waiting longer, so it comes after them, until its caller would take the
//! connection for dead.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::fair_share::{FairShares, Workspace};
use crate::headroom::Headroom;

/// Steps into which one recent admission of a workspace is divided for the order.
const SHARE_RESOLUTION: f64 = 1_000.0;

/// Priority of a request in the backlog: its tier, then its number.
pub type Ticket = (u8, usize);

/// The properties of a request that its place in the order depends on.
#[derive(Debug, Clone, Copy)]
pub struct Entry {
    /// Its tier and number.
    pub ticket: Ticket,
    /// Latest time at which it can be admitted and still be on time.
    pub timely_until: Instant,
    /// Whether its caller was rejected before.
    pub is_retry: bool,
    /// Its workspace.
    pub workspace: Workspace,
}

/// Position in the order of admission: whether the request is late, its tier, the share of its workspace, whether it is
/// a retry, and its number.
type Position = (bool, u8, u32, bool, usize);

impl Entry {
    fn position(&self, shares: &FairShares, now: Instant) -> Position {
        let (tier, number) = self.ticket;
        if self.timely_until < now {
            return (true, tier, 0, false, number);
        }
        let share = (shares.count(self.workspace, now) * SHARE_RESOLUTION) as u32;
        (false, tier, share, self.is_retry, number)
    }
}

/// A request in the backlog.
#[derive(Debug)]
struct Waiter<T> {
    entry: Entry,
    waiter: T,
}

/// Requests that wait for admission.
#[derive(Debug)]
pub struct Backlog<T> {
    waiting: BTreeMap<Ticket, Waiter<T>>,
    shares: FairShares,
}
impl<T> Default for Backlog<T> {
    fn default() -> Self {
        Self {
            waiting: BTreeMap::new(),
            shares: FairShares::default(),
        }
    }
}

impl<T> Backlog<T> {
    /// Adds a request. `waiter` is the handle by which its task is notified of the admission.
    pub fn insert(&mut self, entry: Entry, waiter: T) {
        self.waiting.insert(entry.ticket, Waiter { entry, waiter });
    }

    /// Whether the request with `ticket` waits.
    pub fn contains(&self, ticket: Ticket) -> bool {
        self.waiting.contains_key(&ticket)
    }

    /// Number of waiting requests that are admitted before `entry`.
    pub fn count_before(&self, entry: &Entry, now: Instant) -> usize {
        let position = entry.position(&self.shares, now);
        let before = |waiter: &&Waiter<T>| waiter.entry.position(&self.shares, now) < position;
        self.waiting.values().filter(before).count()
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

    /// Counts an admission that did not come from [`Backlog::next`].
    pub fn record_admission(&mut self, workspace: Workspace, now: Instant) {
        self.shares.record(workspace, now);
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
        let allowed = |entry: &&Entry| {
            let headroom = if entry.timely_until < now {
                headroom.late
            } else {
                headroom.timely
            };
            headroom >= 1.0
        };
        let entries = self.waiting.values().map(|waiter| &waiter.entry);
        let first = entries
            .filter(allowed)
            .min_by_key(|entry| entry.position(&self.shares, now))?;
        let (ticket, workspace) = (first.ticket, first.workspace);
        self.shares.record(workspace, now);
        self.waiting.remove(&ticket).map(|waiting| waiting.waiter)
    }
}
