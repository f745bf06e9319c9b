//! An agent obtains the intended map or rejects the update, whatever was dropped, lost or restarted before.

use std::sync::Arc;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use sparscale_conduct::{Cache, Offer, Sent};
use sparscale_place::{Layer, Map};
use sparscale_wire::{Base, MapUpdate};

#[derive(Debug, Clone, Copy)]
enum Event {
    /// The agent accepts the map, and it becomes active.
    InForce,
    /// The agent accepts the map, and it is dropped before it becomes active.
    Dropped,
    /// The agent accepts the map, and its answer is lost with the link.
    AnswerLost,
    /// The agent was restarted without the leader noticing.
    Restarted,
    /// Another agent becomes the leader and is told which map the agent has.
    Succeeded,
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let events = [
            Self::InForce,
            Self::InForce,
            Self::Dropped,
            Self::AnswerLost,
            Self::Restarted,
            Self::Succeeded,
        ];
        *g.choose(&events).expect("a choice")
    }
}

/// A map in which expert `number` has moved.
fn map(number: u64) -> Map {
    let mut map = Map {
        layers: vec![Layer {
            ranks: vec![(0..40).collect(), (40..80).collect()],
        }],
    };
    map.layers[0].ranks[1].push(number as u16 % 40);
    map.sort();
    map
}

struct Pair {
    sent: Sent,
    cache: Cache,
    in_force: Option<(u64, Arc<Map>)>,
    dropped: Option<(u64, Arc<Map>)>,
    refused: bool,
    wholes: u32,
}

impl Pair {
    fn offer(&mut self, number: u64, event: Event) -> bool {
        if matches!(event, Event::Restarted) {
            self.cache = Cache::default();
        }
        if matches!(event, Event::Succeeded) {
            self.sent = Sent::default();
            self.dropped = None;
            let has = |(number, _): &&(u64, Arc<Map>)| self.cache.has(*number);
            if let Some((number, _)) = self.in_force.as_ref().filter(has) {
                self.sent.learn(*number);
            }
        }
        let bases = [&self.in_force, &self.dropped];
        let bases = bases.into_iter().flatten();
        let bases: Vec<_> = bases
            .map(|(number, map)| (Base::Sent(*number), Arc::clone(map)))
            .collect();
        let offer = Offer::new(number, map(number), &bases);
        let update = offer.update(&self.sent);
        let base = match &update {
            MapUpdate::Whole(_) => None,
            MapUpdate::Change { base, .. } => Some(*base),
        };
        self.wholes += u32::from(base.is_none());
        let Some(taken) = self.cache.take(number, update) else {
            // The next update is a whole map, so a second rejection in a row would stall the group.
            let first = !self.refused;
            self.refused = true;
            self.sent.forget();
            return first;
        };
        self.refused = false;
        self.sent.note(number, base);
        match event {
            Event::InForce | Event::Restarted | Event::Succeeded => {
                self.in_force = Some((number, Arc::clone(&offer.map)));
            }
            Event::Dropped => self.dropped = Some((number, Arc::clone(&offer.map))),
            Event::AnswerLost => self.sent.forget(),
        }
        taken == offer.map
    }
}

fn pair() -> Pair {
    Pair {
        sent: Sent::default(),
        cache: Cache::default(),
        in_force: None,
        dropped: None,
        refused: false,
        wholes: 0,
    }
}

#[test]
fn right_map() {
    fn holds(events: Vec<Event>) -> bool {
        let mut pair = pair();
        events
            .into_iter()
            .zip(1..)
            .all(|(event, number)| pair.offer(number, event))
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 1))
        .tests(2_000)
        .quickcheck(holds as fn(Vec<Event>) -> bool);
}

/// Consecutive map switches that are dropped do not send the whole map each time.
#[test]
fn dropped_tries() {
    let mut pair = pair();
    for number in 1..=6 {
        assert!(pair.offer(number, Event::Dropped));
    }
    assert_eq!(pair.wholes, 1);
}

/// A new leader sends changes as well: the whole map for each of 129 ranks took 4.7 s.
#[test]
fn successors_send_changes() {
    let mut pair = pair();
    for number in 1..=6 {
        let event = if number == 1 { Event::InForce } else { Event::Succeeded };
        assert!(pair.offer(number, event));
    }
    assert_eq!(pair.wholes, 1);
}
