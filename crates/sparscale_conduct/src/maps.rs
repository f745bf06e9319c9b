//! Maps on their way from a conductor to agents: the whole map once, then only what changes.
//!
//! A map of a large group takes kilobytes, and each change goes to every rank over slim links while passes are slow. An
//! agent keeps the last two maps that it was sent; a conductor knows which, as long as the link stands.

use std::sync::Arc;

use sparscale_place::Map;
use sparscale_wire::{Base, MapUpdate};

/// Maps that are kept: the one in force and the one that is to follow it.
const KEPT: usize = 2;

/// The maps that an agent has.
#[derive(Debug, Default)]
pub(crate) struct Shelf {
    maps: Vec<(u64, Arc<Map>)>,
}

/// The numbers of the maps on an agent's shelf, as its conductor knows them.
#[derive(Debug, Default)]
pub(crate) struct Sent {
    numbers: Vec<u64>,
}

impl Shelf {
    /// The map that `update` makes, which is kept under `number`; none if its base is not here.
    pub(crate) fn take(&mut self, number: u64, update: MapUpdate) -> Option<Arc<Map>> {
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
    pub(crate) fn has(&self, number: u64) -> bool {
        self.numbers.contains(&number)
    }

    /// Notes that the agent took map `number`, which was sent as a change of `base` or else whole.
    pub(crate) fn note(&mut self, number: u64, base: Option<u64>) {
        self.numbers.retain(|known| Some(*known) == base);
        self.numbers.push(number);
        debug_assert!(self.numbers.len() <= KEPT);
    }

    /// Nothing is known of the agent any more.
    pub(crate) fn forget(&mut self) {
        self.numbers.clear();
    }
}
