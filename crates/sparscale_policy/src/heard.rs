//! What is known of targets that owe an answer: how long they usually take, who was heard, and what conductors tell.
//!
//! Load pattern: that of [`silence`](crate::silence), which decides by it.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use sparscale_catalog::{Directory, Incarnation, Seat};
use sparscale_wire::GroupLoad;

use crate::silence::{Awaited, Evidence, Health, Usual};

/// Age up to which a conductor's report counts: one comes each 100 ms.
const WORD_AGE: Duration = Duration::from_millis(450);
/// Part of a group's ranks, as a divisor, of which a conductor may hear nothing and still be believed: beyond that its own
/// box or link is the likelier cause.
const MOST_SILENT: usize = 4;
/// What a request waits for at a target.
#[derive(Debug, Clone, Copy)]
pub struct Wait<'a> {
    /// The target.
    pub seat: &'a Seat,
    /// What it owes.
    pub awaited: Awaited,
    /// Time in which it is in time.
    pub allowed: Duration,
    /// Silence after which the caller gives up.
    pub given_up_after: Duration,
}

/// The targets of one group, or of a service without groups.
#[derive(Debug, Default)]
struct Peers {
    first: Usual,
    next: Usual,
    whole: Usual,
    /// The target that was heard last, and the one before it, each with its time.
    heard: Option<(Incarnation, Instant)>,
    heard_before: Option<(Incarnation, Instant)>,
    /// Latest pass that the conductor told of, and when that number was new here.
    pass: Option<(u64, Instant)>,
    /// The conductor's last message and when it came, and the ranks that it did not hear; none while it can't be believed.
    told: Option<((u64, u64), Instant)>,
    silent: Option<BTreeSet<usize>>,
    /// Waits for each target that owes something.
    waits: HashMap<Incarnation, u32>,
}

impl Peers {
    fn note_heard(&mut self, target: Incarnation, now: Instant) {
        if self.heard.is_some_and(|(last, _)| last != target) {
            self.heard_before = self.heard;
        }
        self.heard = Some((target, now));
    }

    /// When a target other than this one was heard, or the group was seen to go on.
    fn others_heard(&self, but: Incarnation) -> Option<Instant> {
        let heard = [self.heard, self.heard_before];
        let others = heard.into_iter().flatten().filter(|(target, _)| *target != but);
        let others = others.map(|(_, at)| at).max();
        others.max(self.pass.map(|(_, at)| at))
    }

    /// Whether a target other than this one owes something.
    fn others_owe(&self, but: Incarnation) -> bool {
        self.waits.keys().any(|target| *target != but)
    }

    fn health(&self, rank: Option<usize>, now: Instant) -> Health {
        let fresh = self
            .told
            .is_some_and(|(_, at)| now.saturating_duration_since(at) < WORD_AGE);
        match (&self.silent, rank) {
            (Some(silent), Some(rank)) if fresh => {
                if silent.contains(&rank) {
                    Health::Silent
                } else {
                    Health::Alive
                }
            }
            _ => Health::Unknown,
        }
    }

    fn usual(&self, awaited: Awaited) -> &Usual {
        match awaited {
            Awaited::First => &self.first,
            Awaited::Next => &self.next,
            Awaited::Complete => &self.whole,
        }
    }

    fn usual_mut(&mut self, awaited: Awaited) -> &mut Usual {
        match awaited {
            Awaited::First => &mut self.first,
            Awaited::Next => &mut self.next,
            Awaited::Complete => &mut self.whole,
        }
    }
}

/// All targets that answer requests of this entry.
#[derive(Debug, Default)]
pub struct Register {
    /// By group, or by service for targets in none.
    peers: HashMap<String, Peers>,
}

impl Register {
    /// Notes that a target has given what it owed, `took` after it owed it.
    pub fn note(&mut self, seat: &Seat, awaited: Awaited, took: Duration, now: Instant) {
        let peers = self.peers(name_of(seat));
        peers.usual_mut(awaited).note(took);
        peers.note_heard(seat.key, now);
    }

    /// Notes that a request waits for a target, until [`Self::end_wait`].
    pub fn begin_wait(&mut self, seat: &Seat) {
        let peers = self.peers(name_of(seat));
        *peers.waits.entry(seat.key).or_default() += 1;
    }

    /// Notes that a request does not wait for a target any longer.
    pub fn end_wait(&mut self, seat: &Seat) {
        let Some(peers) = self.peers.get_mut(name_of(seat)) else {
            return;
        };
        let Some(waits) = peers.waits.get_mut(&seat.key) else {
            return;
        };
        *waits -= 1;
        if *waits == 0 {
            peers.waits.remove(&seat.key);
        }
    }

    /// Takes in what a conductor tells of its group.
    pub fn note_told(&mut self, load: &GroupLoad, now: Instant) {
        let peers = self.peers(&load.group);
        if peers.told.is_some_and(|(order, _)| order == load.order) {
            return;
        }
        if peers.pass.is_none_or(|(pass, _)| pass != load.pass) {
            peers.pass = Some((load.pass, now));
        }
        peers.told = Some((load.order, now));
        let unheard = load.ranks.iter().enumerate().filter(|(_, rank)| rank.is_none());
        let unheard: BTreeSet<usize> = unheard.map(|(rank, _)| rank).collect();
        let believed = unheard.len() * MOST_SILENT <= load.ranks.len();
        peers.silent = believed.then_some(unheard);
    }

    /// What speaks for and against the target of `wait`; none if nothing is known of its group.
    pub fn evidence(&self, wait: &Wait<'_>, now: Instant) -> Option<Evidence> {
        let known = self.peers.get(name_of(wait.seat))?;
        let rank = wait.seat.target.membership.as_ref().map(|place| place.rank);
        let others_heard = known.others_heard(wait.seat.key);
        let health = known.health(rank, now);
        // A group that stands still as a whole is idle towards an entry with one request there; its conductor knows better.
        let idle_counts = rank.is_none() || health == Health::Silent;
        Some(Evidence {
            awaited: wait.awaited,
            allowed: wait.allowed,
            usual: known.usual(wait.awaited).mean(),
            health,
            others_heard: others_heard.map(|at| now.saturating_duration_since(at)),
            others_idle: idle_counts && !known.others_owe(wait.seat.key),
            given_up_after: wait.given_up_after,
        })
    }

    /// Forgets groups and services of which `targets` has none.
    pub fn retain(&mut self, targets: &Directory) {
        let names: BTreeSet<&str> = targets.seats().iter().map(name_of).collect();
        self.peers.retain(|name, _| names.contains(name.as_str()));
    }

    /// Groups and services that are remembered.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// The peers called `name`, without a copy of the name where they are known.
    fn peers(&mut self, name: &str) -> &mut Peers {
        if !self.peers.contains_key(name) {
            self.peers.insert(name.to_owned(), Peers::default());
        }
        self.peers.entry(name.to_owned()).or_default()
    }
}

fn name_of(seat: &Seat) -> &str {
    let group = seat.target.membership.as_ref().map(|place| place.group.as_str());
    group.unwrap_or(&seat.target.service)
}
