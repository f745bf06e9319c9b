//! One entry's queue before a group of engines: who is let in, who waits, and who is turned away and until when.
//!
//! Load pattern: overload. All entries share the group's room, and each hears late what the others have let in. A request
//! that is let in beyond the room makes every stream of the group late; one that waits without a chance holds its caller
//! up, who could have come back when there is room. And a line that stands keeps everybody late who joins it: by the time
//! that one is let in, all of its time is spent, for as long as as many come as leave.
//!
//! So a first try that cannot be in time by waiting is turned away at once, and told a time of its own to come back, one
//! after the other, spread over the places that will come free: the line stays as short as the time of those in it. Who
//! comes back has waited already, and stands in line for as long as callers bear it.

use std::time::{Duration, Instant};

use sparscale_catalog::Engine;
use sparscale_wire::GroupLoad;

use crate::line::{Line, Ticket};
use crate::patience;
use crate::room::{self, Room};

/// Least part of the latency objective for which a request may wait and still be in time.
const WAIT_PART: f64 = 0.4;
/// Weight of the newest time to a first event in its running mean.
const FIRST_WEIGHT: f64 = 0.1;
/// Margin on that mean: such times spread, and a wait that ends in time must leave room for most.
const FIRST_MARGIN: f64 = 1.5;
/// Loads that are older than this say nothing: the room is then worked out from what this entry has let in.
const LOAD_AGE: Duration = Duration::from_millis(900);
/// Requests that a rank is filled with while nobody tells loads: a group that begins anew deals its experts in turn, and
/// with more its passes outlast the pauses of streams.
const UNREPORTED_RANK: f64 = 6.0;
/// Time for which a request is not yet part of what the conductor tells.
const REPORT_DELAY: Duration = Duration::from_millis(120);
/// First time after which a refused caller is told to come back; it rises with the queue.
const MIN_RETRY: Duration = Duration::from_millis(250);
/// Longest such time where the caller does not tell how long it still waits.
const MAX_RETRY: Duration = Duration::from_millis(1_500);
/// Part of the time that a caller still waits after which it comes back at the latest, whatever it is told.
const RETURN_PART: f64 = 1.0 / 3.0;
/// Places that come free for each caller that is told to come back: the others go to those who come meanwhile.
const PLACES_A_RETURN: f64 = 4.0;
/// What a caller has spent at least that was turned away before.
const RETURNED: Duration = Duration::from_millis(150);
/// Time for which a request stays in, before any has left.
const FIRST_STAY: Duration = Duration::from_secs(1);

/// A request, as far as it matters here.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    /// When it came.
    pub began: Instant,
    /// Time in which its first event is due.
    pub objective: Duration,
    /// Longest pause between events that its route allows.
    pub pause: Duration,
    /// What its caller spent on tries before it; worth counts from the first.
    pub spent: Duration,
    /// How long its caller still waits, where that is told.
    pub left: Option<Duration>,
}

impl Request {
    /// Whether its caller was turned away before.
    fn has_returned(&self) -> bool {
        self.spent >= RETURNED
    }
}

/// What becomes of a request that comes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Decision {
    /// It is let in.
    Enter,
    /// It joins the line.
    Wait {
        /// Until when it can be let in and still be in time.
        timely_until: Instant,
        /// When it is let in whatever the room is: its time is short by then, and a refusal would come late.
        limit: Instant,
    },
    /// It is turned away.
    Refuse {
        /// Time until it would have been let in.
        expected: Duration,
        /// When to come back.
        retry: Duration,
    },
}

/// The queue; `T` is who to tell that a request is let in.
#[derive(Debug)]
pub struct Queue<T> {
    /// The loads that `room` was worked out from.
    order: (u64, u64),
    told: Instant,
    /// This entry's share of the room, as last worked out, less what it has let in since.
    room: Room,
    /// When this entry let requests in that the conductor may not have told yet.
    unreported: Vec<Instant>,
    line: Line<T>,
    /// When the next caller that is turned away is to come back.
    next_return: Instant,
    /// This entry's share of the requests in the group, as last told; none while nobody tells.
    held: f64,
    /// Mean time for which a request stays in.
    stay: Duration,
    /// Mean time from letting a stream in to its first event, once one was seen.
    first: Option<Duration>,
}

impl<T> Queue<T> {
    /// A queue before a group of which nothing is known.
    pub fn new(now: Instant) -> Self {
        Self {
            order: (0, 0),
            told: now,
            room: Room::OPEN,
            unreported: Vec::new(),
            line: Line::default(),
            next_return: now,
            held: 0.0,
            stay: FIRST_STAY,
            first: None,
        }
    }

    /// Works the room out anew from `load`, if that is news. Without any for a while it is the room while nobody tells
    /// loads, as after a restart of all processes: what this entry has let in, `inside`, is known.
    pub fn refresh(&mut self, load: Option<&GroupLoad>, group: &Group<'_>, inside: usize, now: Instant) {
        let entries = group.entries.max(1) as f64;
        if let Some(load) = load.filter(|load| load.order != self.order) {
            self.order = load.order;
            self.told = now;
            self.unreported.retain(|let_in| *let_in + REPORT_DELAY > now);
            let capacity = room::capacity_now(load, group.engine, group.pause);
            let held = room::held(load);
            self.held = held / entries;
            let share = |capacity: f64| (capacity * group.open_part - held) / entries - self.unreported.len() as f64;
            self.room = Room {
                timely: share(capacity.timely),
                late: share(capacity.late),
            };
        } else if now.saturating_duration_since(self.told) > LOAD_AGE {
            self.held = 0.0;
            self.room = Room::alike(UNREPORTED_RANK * group.ranks as f64 * group.open_part / entries - inside as f64);
        }
    }

    /// Decides about `request` while `inside` requests are in. `lot` is drawn evenly from 0 to 1.
    pub fn decide(&mut self, request: &Request, inside: usize, lot: f64, now: Instant) -> Decision {
        if self.line.is_empty() && self.room.timely >= 1.0 {
            return Decision::Enter;
        }
        let expected = self.expected_wait(inside);
        let longest = patience::longest_wait(request.objective, request.pause);
        let timely = self.patience(request.objective);
        // While only late ones are let in, as passes are too long for anybody to be in time, it is late at worst.
        let is_full = self.room.timely.max(self.room.late) < 1.0;
        let bearable = if is_full && !request.has_returned() {
            timely.min(longest)
        } else {
            longest
        };
        if now.saturating_duration_since(request.began) + expected > bearable {
            let retry = self.promise(request, inside, expected, lot, now);
            return Decision::Refuse { expected, retry };
        }
        let patience = timely.saturating_sub(request.spent);
        Decision::Wait {
            timely_until: request.began + patience,
            limit: request.began + longest,
        }
    }

    /// When a caller that is turned away is to come back: after those who were told so before it.
    fn promise(&mut self, request: &Request, inside: usize, expected: Duration, lot: f64, now: Instant) -> Duration {
        let longest = request.left.map_or(MAX_RETRY, |left| left.mul_f64(RETURN_PART));
        let at = self.next_return.max(now + expected).min(now + longest);
        let place = self.stay.div_f64(self.leaving(inside));
        self.next_return = at + place.mul_f64(PLACES_A_RETURN);
        // All entries promise by themselves, so that even those who are told the same time must not return together.
        let spread = 0.75 + 0.5 * lot;
        let wait = at.saturating_duration_since(now).max(MIN_RETRY).mul_f64(spread);
        wait.min(longest)
    }

    /// Lets a request wait in line until [`Queue::next`] gives `waiter` back.
    pub fn join(&mut self, ticket: Ticket, timely_until: Instant, waiter: T) {
        self.line.join(ticket, timely_until, waiter);
    }

    /// Takes a request out of the line that does not wait any more.
    pub fn give_up(&mut self, ticket: Ticket) {
        self.line.leave(ticket);
    }

    /// Takes the next request out of the line that there is room for; [`Queue::admit`] counts it.
    pub fn next(&mut self, now: Instant) -> Option<T> {
        self.line.next(self.room, now)
    }

    /// Counts a request as let in.
    pub fn admit(&mut self, now: Instant) {
        self.room.add(-1.0);
        self.unreported.retain(|let_in| *let_in + REPORT_DELAY > now);
        self.unreported.push(now);
    }

    /// Counts a request that was in as gone after `stayed`.
    pub fn leave(&mut self, stayed: Duration) {
        self.room.add(1.0);
        self.stay = (self.stay * 9 + stayed) / 10;
    }

    /// Notes that a stream had its first event `took` after it was let in.
    pub fn first_event(&mut self, took: Duration) {
        let old = self.first.unwrap_or(took);
        self.first = Some(old.mul_f64(1.0 - FIRST_WEIGHT) + took.mul_f64(FIRST_WEIGHT));
    }

    /// Time until a request that joins the line now would be let in: places come free as requests leave.
    pub fn expected_wait(&self, inside: usize) -> Duration {
        let room = self.room.timely.max(self.room.late);
        let ahead = self.line.len() as f64 + 1.0 - room.clamp(-64.0, 0.0);
        self.stay.mul_f64(ahead / self.leaving(inside))
    }

    /// Requests whose places this entry may fill as they leave. Places that come free anywhere in the group are shared by all
    /// entries: one of many that has few in at the moment does not wait for those to leave.
    fn leaving(&self, inside: usize) -> f64 {
        self.held.max(inside as f64).max(1.0)
    }

    /// The loads that the room was worked out from.
    pub fn order(&self) -> (u64, u64) {
        self.order
    }

    /// Time since they were told.
    pub fn load_age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.told)
    }

    /// This entry's share of the room.
    pub fn room(&self) -> Room {
        self.room
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.line.len()
    }

    /// How long a request may wait and still have its first event within `objective`: what is left of it after the time
    /// that the latest streams took from being let in to their first event, with a margin.
    fn patience(&self, objective: Duration) -> Duration {
        let least = objective.mul_f64(WAIT_PART);
        let Some(first) = self.first else { return least };
        objective.saturating_sub(first.mul_f64(FIRST_MARGIN)).max(least)
    }
}

/// The group behind a queue.
#[derive(Debug, Clone, Copy)]
pub struct Group<'a> {
    /// What its engines take.
    pub engine: &'a Engine,
    /// Longest pause between events that its streams may have.
    pub pause: Duration,
    /// Its ranks.
    pub ranks: usize,
    /// Part of them that take requests from this entry: those that limit or refuse its requests count as full.
    pub open_part: f64,
    /// Entries that share its room, this one included.
    pub entries: usize,
}
