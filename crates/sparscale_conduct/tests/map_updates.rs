//! An agent obtains the intended map or rejects the update, whatever was dropped, lost or restarted before.

use std::sync::Arc;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use sparscale_conduct::{MapCache, OutgoingMap, SentMaps};
use sparscale_place::{Layer, Map};
use sparscale_wire::map;

#[derive(Debug, Clone, Copy)]
enum Event {
    /// The agent accepts the map, and it becomes active.
    Activated,
    /// The agent accepts the map, and it is dropped before it becomes active.
    Dropped,
    /// The agent accepts the map, and its answer is lost with the link.
    AnswerLost,
    /// The agent was restarted without the leader noticing.
    Restarted,
    /// Another agent becomes the leader and receives a report of the map that the agent has.
    LeaderReplaced,
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let events = [
            Self::Activated,
            Self::Activated,
            Self::Dropped,
            Self::AnswerLost,
            Self::Restarted,
            Self::LeaderReplaced,
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
    sent: SentMaps,
    cache: MapCache,
    active: Option<(u64, Arc<Map>)>,
    dropped: Option<(u64, Arc<Map>)>,
    rejected: bool,
    whole_updates: u32,
}

impl Pair {
    fn send_map(&mut self, number: u64, event: Event) -> bool {
        if matches!(event, Event::Restarted) {
            self.cache = MapCache::default();
        }
        if matches!(event, Event::LeaderReplaced) {
            self.sent = SentMaps::default();
            self.dropped = None;
            let is_cached = |(number, _): &&(u64, Arc<Map>)| self.cache.contains(*number);
            if let Some((number, _)) = self.active.as_ref().filter(is_cached) {
                self.sent.record_reported(*number);
            }
        }
        let bases = [&self.active, &self.dropped];
        let bases = bases.into_iter().flatten();
        let bases: Vec<_> = bases
            .map(|(number, map)| (map::Base::Sent(*number), Arc::clone(map)))
            .collect();
        let outgoing = OutgoingMap::new(number, map(number), &bases);
        let update = outgoing.update_for(&self.sent);
        let base = match &update {
            map::Update::Full(_) => None,
            map::Update::Patch { base, .. } => Some(*base),
        };
        self.whole_updates += u32::from(base.is_none());
        let Some(applied) = self.cache.apply(number, update) else {
            // The next update is a whole map, so a second rejection in a row would stall the group.
            let is_first = !self.rejected;
            self.rejected = true;
            self.sent.clear();
            return is_first;
        };
        self.rejected = false;
        self.sent.record_sent(number, base);
        match event {
            Event::Activated | Event::Restarted | Event::LeaderReplaced => {
                self.active = Some((number, Arc::clone(&outgoing.map)));
            }
            Event::Dropped => self.dropped = Some((number, Arc::clone(&outgoing.map))),
            Event::AnswerLost => self.sent.clear(),
        }
        applied == outgoing.map
    }
}

fn pair() -> Pair {
    Pair {
        sent: SentMaps::default(),
        cache: MapCache::default(),
        active: None,
        dropped: None,
        rejected: false,
        whole_updates: 0,
    }
}

#[test]
fn agent_gets_intended_map() {
    fn holds(events: Vec<Event>) -> bool {
        let mut pair = pair();
        events
            .into_iter()
            .zip(1..)
            .all(|(event, number)| pair.send_map(number, event))
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 1))
        .tests(2_000)
        .quickcheck(holds as fn(Vec<Event>) -> bool);
}

/// Consecutive map switches that are dropped do not send the whole map each time.
#[test]
fn dropped_switches() {
    let mut pair = pair();
    for number in 1..=6 {
        assert!(pair.send_map(number, Event::Dropped));
    }
    assert_eq!(pair.whole_updates, 1);
}

/// A new leader sends changes as well: the whole map for each of 129 ranks took 4.7 s.
#[test]
fn successors_send_changes() {
    let mut pair = pair();
    for number in 1..=6 {
        let event = if number == 1 {
            Event::Activated
        } else {
            Event::LeaderReplaced
        };
        assert!(pair.send_map(number, event));
    }
    assert_eq!(pair.whole_updates, 1);
}
