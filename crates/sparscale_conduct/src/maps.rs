//! Transfer of expert maps from the leader to agents: the whole map once, then only changes.
//!
//! A map of a large group takes kilobytes, and each switch sends it to every rank over links of low bandwidth while
//! passes are slow. An agent caches the last two maps that it was sent, and the leader tracks which while the link is
//! up. Agents report to a new leader whether they have the active map; without that, a successor sent its whole first
//! map to 128 ranks, which took 4.7 s.

use std::sync::Arc;

use sparscale_place::{Map, Patch};
use sparscale_wire::map;

/// Maps that are cached: the active one and the one that is to follow it.
const MAX_CACHED_MAPS: usize = 2;

/// The maps that an agent has received.
#[derive(Debug, Default)]
pub struct MapCache {
    maps: Vec<(u64, Arc<Map>)>,
}

/// A map that the leader distributes, with its differences from maps that agents may have.
#[derive(Debug)]
pub struct OutgoingMap {
    /// Number of the map.
    pub number: u64,
    /// The whole map.
    pub map: Arc<Map>,
    /// Differences from maps that agents may have, the most likely base first.
    patches: Vec<(map::Base, Arc<Patch>)>,
}

impl OutgoingMap {
    /// Prepares a map for agents that may have one of `bases`; a map that was sent but never became active is a base,
    /// too.
    pub fn new(number: u64, map: Map, bases: &[(map::Base, Arc<Map>)]) -> Self {
        let patch_from = |(base, old): &(map::Base, Arc<Map>)| (*base, Arc::new(Patch::between(old, &map)));
        Self {
            patches: bases.iter().map(patch_from).collect(),
            number,
            map: Arc::new(map),
        }
    }

    /// The smallest update that gives the map to an agent that has the maps in `sent`.
    pub fn update_for(&self, sent: &SentMaps) -> map::Update {
        let is_known = |base: &map::Base| match base {
            map::Base::Initial(_) => true,
            map::Base::Sent(number) => sent.contains(*number),
        };
        match self.patches.iter().find(|(base, _)| is_known(base)) {
            Some((base, patch)) => map::Update::Patch {
                base: *base,
                patch: Arc::clone(patch),
            },
            None => map::Update::Full(Arc::clone(&self.map)),
        }
    }
}

/// Numbers of the maps in an agent's cache, as far as its leader knows.
#[derive(Debug, Default)]
pub struct SentMaps {
    numbers: Vec<u64>,
}

impl MapCache {
    /// Whether map `number` is cached.
    pub fn contains(&self, number: u64) -> bool {
        self.maps.iter().any(|(cached, _)| *cached == number)
    }

    /// Applies `update` and caches the result as map `number`; returns `None` if the base is not cached.
    pub fn apply(&mut self, number: u64, update: map::Update) -> Option<Arc<Map>> {
        let (base, map) = match update {
            map::Update::Full(map) => (None, map),
            map::Update::Patch {
                base: map::Base::Initial(shape),
                patch,
            } => (None, Arc::new(patch.apply(&Map::initial(shape)).ok()?)),
            map::Update::Patch {
                base: map::Base::Sent(base),
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

impl SentMaps {
    /// Whether the agent has map `number`.
    pub fn contains(&self, number: u64) -> bool {
        self.numbers.contains(&number)
    }

    /// Records the agent's report that it has the whole map `number`, which an earlier leader sent. Ignored once this
    /// leader has sent maps over the link, since it then knows more than the report.
    pub fn record_reported(&mut self, number: u64) {
        if self.numbers.is_empty() {
            self.numbers.push(number);
        }
    }

    /// Records that the agent accepted map `number`, which was sent as a change of `base` or as a whole.
    pub fn record_sent(&mut self, number: u64, base: Option<map::Base>) {
        self.numbers
            .retain(|sent| matches!(base, Some(map::Base::Sent(base)) if base == *sent));
        self.numbers.push(number);
        debug_assert!(self.numbers.len() <= MAX_CACHED_MAPS);
    }

    /// Discards everything known about the agent's cache.
    pub fn clear(&mut self) {
        self.numbers.clear();
    }
}
