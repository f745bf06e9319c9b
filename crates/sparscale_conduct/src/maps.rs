//! Maps on their way from a conductor to agents: the whole map once, then only what changes.
//!
//! A map of a large group takes kilobytes, and each change goes to every rank over slim links while passes are slow. An
//! agent keeps the last two maps that it was sent; a conductor knows which, as long as the link stands, and a new one is told
//! whether an agent has the map in force: without that, a successor sent all of its first map to 128 ranks, in 4.7 s.

use std::sync::Arc;

use sparscale_place::{Map, Patch};
use sparscale_wire::{Base, MapUpdate};

/// Maps that are kept: the one in force and the one that is to follow it.
const KEPT: usize = 2;

/// The maps that an agent has.
#[derive(Debug, Default)]
pub struct Cache {
    maps: Vec<(u64, Arc<Map>)>,
}

/// A map that a conductor puts in force, as it goes to agents.
#[derive(Debug)]
pub struct Offer {
    /// Its number.
    pub number: u64,
    /// All of it.
    pub map: Arc<Map>,
    /// What differs from maps that agents may have, the likeliest first.
    patches: Vec<(Base, Arc<Patch>)>,
}

impl Offer {
    /// `bases` are maps that agents may have; a map that was sent and never came in force is one, too.
    pub fn new(number: u64, map: Map, bases: &[(Base, Arc<Map>)]) -> Self {
        let patch = |(base, old): &(Base, Arc<Map>)| (*base, Arc::new(Patch::between(old, &map)));
        Self {
            patches: bases.iter().map(patch).collect(),
            number,
            map: Arc::new(map),
        }
    }

    /// The least that an agent with `sent` has to be told.
    pub fn update(&self, sent: &Sent) -> MapUpdate {
        let known = |base: &Base| match base {
            Base::Initial(_) => true,
            Base::Sent(number) => sent.has(*number),
        };
        match self.patches.iter().find(|(base, _)| known(base)) {
            Some((base, patch)) => MapUpdate::Change {
                base: *base,
                patch: Arc::clone(patch),
            },
            None => MapUpdate::Whole(Arc::clone(&self.map)),
        }
    }
}

/// The numbers of the maps in an agent's cache, as its conductor knows them.
#[derive(Debug, Default)]
pub struct Sent {
    numbers: Vec<u64>,
}

impl Cache {
    /// Whether map `number` is here.
    pub fn has(&self, number: u64) -> bool {
        self.maps.iter().any(|(known, _)| *known == number)
    }

    /// The map that `update` makes, which is kept under `number`; none if its base is not here.
    pub fn take(&mut self, number: u64, update: MapUpdate) -> Option<Arc<Map>> {
        let (base, map) = match update {
            MapUpdate::Whole(map) => (None, map),
            MapUpdate::Change {
                base: Base::Initial(shape),
                patch,
            } => (None, Arc::new(patch.apply(&Map::initial(shape)).ok()?)),
            MapUpdate::Change {
                base: Base::Sent(base),
                patch,
            } => {
                let (_, old) = self.maps.iter().find(|(number, _)| *number == base)?;
                (Some(base), Arc::new(patch.apply(old).ok()?))
            }
        };
        self.maps.retain(|(number, _)| Some(*number) == base);
        self.maps.push((number, Arc::clone(&map)));
        Some(map)
    }
}

impl Sent {
    /// Whether the agent has map `number`.
    pub fn has(&self, number: u64) -> bool {
        self.numbers.contains(&number)
    }

    /// Notes the agent's own word that it has all of map `number`: one that was sent to it by an earlier conductor. What was
    /// sent since the link stands is known better.
    pub fn learn(&mut self, number: u64) {
        if self.numbers.is_empty() {
            self.numbers.push(number);
        }
    }

    /// Notes that the agent took map `number`, which was sent as a change of `base` or else whole.
    pub fn note(&mut self, number: u64, base: Option<Base>) {
        self.numbers
            .retain(|known| matches!(base, Some(Base::Sent(base)) if base == *known));
        self.numbers.push(number);
        debug_assert!(self.numbers.len() <= KEPT);
    }

    /// Nothing is known of the agent any more.
    pub fn forget(&mut self) {
        self.numbers.clear();
    }
}
