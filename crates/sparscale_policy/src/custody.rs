//! Decides which connections to a target are known to belong to the process that received a request.
//!
//! Load pattern: responses without a length end with their connection, and only an idle connection to the same process
//! shows that the process was still running then. Targets close connections that have been idle for a while; they also
//! terminate and listen again at the same address, some within milliseconds, while the kernel still delivers what the
//! terminated process had sent.
//!
//! One process at a time accepts connections at an address, and all of its connections end with it. A connection that is
//! established while an older one is open therefore belongs to the same process: both are of one generation. The first
//! connection after a gap may belong to the next process, and begins another generation.

use std::time::Duration;

use sparscale_clock::Timestamp;

use crate::termination::Witness;

/// Shortest difference of age between two connections.
const MIN_SPACING: Duration = Duration::from_millis(150);
/// Most connections at a time.
const MAX_LINKS: usize = 2;
/// A connection that is closed sooner was refused, or its target closes idle connections almost at once.
const MIN_LIFETIME: Duration = Duration::from_millis(50);
/// Such connections in a row from which on the next one waits.
const MAX_SHORT_LIVED: u32 = 2;
/// Time until the next connection after one that was not established, or after too many short-lived ones.
pub const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time in which a terminating process closes all of its connections, and this process notices: the kernel closes them one
/// after the other.
const CLOSING_TIME: Duration = Duration::from_millis(50);
/// Connections that are closed within this time are closed by a terminating process, not for being idle.
const JOINT_TIME: Duration = Duration::from_millis(5);
/// Time in which no target terminates and is replaced at its address.
const MIN_REPLACEMENT_TIME: Duration = Duration::from_millis(20);

/// Connections that belong to one process of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Generation(u64);

/// Identifies a connection of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Link(u64);

/// When the head of a response arrived.
#[derive(Debug, Clone, Copy)]
pub struct Head {
    at: Timestamp,
    /// Generations up to then.
    generations: u64,
}

/// When the next connection is needed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Need {
    /// Now.
    Now,
    /// At this time, unless a connection is closed before.
    At(Timestamp),
    /// Not before a connection is closed.
    AfterClose,
}

/// The open connections to a target that carry no requests.
#[derive(Debug)]
pub struct Custody {
    generation: Generation,
    next_link: u64,
    open: Vec<(Link, Timestamp)>,
    /// When the first connection of the generation was requested.
    begun_at: Option<Timestamp>,
    /// The generation whose last connection was closed most recently, if another one was closed together with it.
    last_ended: Option<(Generation, Timestamp)>,
    last_closed_at: Option<Timestamp>,
    /// How long the connection that was closed most recently had been open.
    last_lifetime: Option<Duration>,
    /// Connections in a row that were closed sooner than after [`MIN_LIFETIME`].
    short_lived: u32,
    /// No connection is needed before.
    retry_at: Option<Timestamp>,
}

impl Default for Custody {
    fn default() -> Self {
        Self {
            generation: Generation(0),
            next_link: 0,
            open: Vec::with_capacity(MAX_LINKS),
            begun_at: None,
            last_ended: None,
            last_closed_at: None,
            last_lifetime: None,
            short_lived: 0,
            retry_at: None,
        }
    }
}

impl Custody {
    /// Records a connection that was requested at `started_at` and is established now. Connections that have been closed
    /// before are recorded first. Returns none if it cannot be used: another one was closed a short time ago, so the next
    /// process may have accepted it. With too many connections, the oldest is no longer needed.
    pub fn establish(&mut self, started_at: Timestamp, now: Timestamp) -> Option<Link> {
        if !self.open.is_empty() && self.unsettled_until(now).is_some() {
            return None;
        }
        if self.open.is_empty() {
            self.generation.0 += 1;
            // It was established a round trip later; this process may have noticed that much later.
            self.begun_at = Some(started_at);
        }
        let link = Link(self.next_link);
        self.next_link += 1;
        self.open.push((link, now));
        if self.open.len() > MAX_LINKS {
            self.open.remove(0);
        }
        Some(link)
    }

    /// Whether a connection is still needed.
    pub fn is_needed(&self, link: Link) -> bool {
        self.open.iter().any(|(open, _)| *open == link)
    }

    /// Records that the target has closed a connection.
    pub fn close(&mut self, link: Link, now: Timestamp) {
        let Some(index) = self.open.iter().position(|(open, _)| *open == link) else {
            return;
        };
        let (_, established_at) = self.open.remove(index);
        let lifetime = now.since(established_at);
        self.last_lifetime = Some(lifetime);
        self.short_lived = if lifetime < MIN_LIFETIME {
            self.short_lived + 1
        } else {
            0
        };
        if self.short_lived > MAX_SHORT_LIVED {
            self.retry_at = Some(now + RETRY_DELAY);
        }
        let is_joint = self
            .last_closed_at
            .is_some_and(|closed_at| now.since(closed_at) <= JOINT_TIME);
        if self.open.is_empty() {
            self.last_ended = is_joint.then_some((self.generation, now));
        }
        self.last_closed_at = Some(now);
    }

    /// Until when the process may be terminating, because a connection was closed a short time ago; none if it was not.
    pub fn unsettled_until(&self, now: Timestamp) -> Option<Timestamp> {
        let settled_at = self.last_closed_at? + CLOSING_TIME;
        (settled_at > now).then_some(settled_at)
    }

    /// Records that no connection could be established.
    pub fn fail(&mut self, now: Timestamp) {
        self.retry_at = Some(now + RETRY_DELAY);
    }

    /// The generation that has open connections.
    pub fn current(&self) -> Option<Generation> {
        (!self.open.is_empty()).then_some(self.generation)
    }

    /// Age of the oldest open connection.
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.open.first().map(|(_, established_at)| now.since(*established_at))
    }

    /// When a connection is needed so that the generation continues.
    pub fn need(&self, now: Timestamp) -> Need {
        let Some(spacing) = self.spacing() else {
            return Need::AfterClose;
        };
        let due_at = self.open.last().map_or(now, |(_, established_at)| {
            // While the process may be terminating, the next one may accept a connection.
            (*established_at + spacing).max(self.unsettled_until(now).unwrap_or(now))
        });
        let due_at = self.retry_at.map_or(due_at, |retry_at| retry_at.max(due_at));
        if due_at <= now { Need::Now } else { Need::At(due_at) }
    }

    /// Age of the youngest connection at which the next one is needed; none if that is not before one is closed.
    ///
    /// The ages of two connections differ by as much as the idle time of the target allows, because this process may get
    /// the processor late and then see the ends of both in one moment. Until the idle time is known, the difference doubles.
    fn spacing(&self) -> Option<Duration> {
        let spacing = match (self.open.as_slice(), self.last_lifetime) {
            ([] | [_], Some(lifetime)) => lifetime / 2,
            ([] | [_], None) => MIN_SPACING,
            (_, Some(_)) => return None,
            ([.., (_, older), (_, youngest)], None) => 2 * youngest.since(*older),
        };
        Some(spacing.max(MIN_SPACING))
    }

    /// When a connection is needed for a request that is about to be sent. A single one should be young, as its target may
    /// close idle connections.
    pub fn need_for_request(&self, now: Timestamp) -> Need {
        match (self.open.as_slice(), self.last_lifetime) {
            ([(_, established_at)], Some(lifetime))
                if now.since(*established_at) > lifetime / 2
                    && self.unsettled_until(now).is_none()
                    && self.retry_at.is_none_or(|retry_at| retry_at <= now) =>
            {
                Need::Now
            }
            _ => self.need(now),
        }
    }

    /// The moment at which the head of a response arrives.
    pub fn head(&self, now: Timestamp) -> Head {
        Head {
            at: now,
            generations: self.generation.0,
        }
    }

    /// The current generation, if it belongs to the process that sent a response whose head arrived at `head`: it is the
    /// first since then, and began so soon that the process cannot have been replaced in between.
    pub fn begun_with(&self, head: Head) -> Option<Generation> {
        let is_first = self.generation.0 <= head.generations + 1;
        let is_soon = |begun_at: Timestamp| begun_at.since(head.at) <= MIN_REPLACEMENT_TIME;
        self.current()
            .filter(|_| is_first && self.begun_at.is_some_and(is_soon))
    }

    /// What the connections show of the process to which those of generation `held` belong, after the connection of its
    /// response ended at `ended_at`. While the process may be terminating, none counts as open.
    pub fn witness(&self, held: Option<Generation>, ended_at: Timestamp, now: Timestamp) -> Witness {
        let Some(held) = held else {
            return Witness::Missing;
        };
        if self.current() == Some(held) && self.unsettled_until(now).is_none() {
            return Witness::Open;
        }
        match self.last_ended {
            Some((generation, closed_at)) if generation == held && ended_at.since(closed_at) <= CLOSING_TIME => {
                Witness::Closed
            }
            _ => Witness::Lost,
        }
    }
}
