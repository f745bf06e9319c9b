//! The difference between two maps: a change moves a few experts, and a map of a large group is long.

use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

use crate::map::Map;

/// One place that an expert takes or leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// Layer.
    pub layer: u16,
    /// Rank.
    pub rank: u16,
    /// Expert.
    pub expert: u16,
}

/// What turns one map into another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Patch {
    removed: Vec<Place>,
    added: Vec<Place>,
    /// Digest of the map that comes out.
    digest: u64,
}

/// The patch was made for another map.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("the patch was made for another map"))]
pub struct Mismatch;

impl Patch {
    /// What turns `old` into `new`, which has the same ranks and layers.
    pub fn between(old: &Map, new: &Map) -> Self {
        Self {
            removed: only_in(old, new),
            added: only_in(new, old),
            digest: new.digest(),
        }
    }

    /// Places that are taken or left.
    pub fn places(&self) -> usize {
        self.removed.len() + self.added.len()
    }

    /// The map that comes out; experts of a rank are in ascending order, as in every map that is put in force.
    pub fn apply(&self, old: &Map) -> Result<Map, Mismatch> {
        let mut map = old.clone();
        for place in &self.removed {
            held(&mut map, *place)?.retain(|expert| *expert != place.expert);
        }
        for place in &self.added {
            held(&mut map, *place)?.push(place.expert);
        }
        map.sort();
        ensure!(map.digest() == self.digest, MismatchSnafu);
        Ok(map)
    }
}

/// Places that are taken in `first` and not in `second`.
fn only_in(first: &Map, second: &Map) -> Vec<Place> {
    let mut places = Vec::new();
    for (layer, (one, other)) in first.layers.iter().zip(&second.layers).enumerate() {
        for (rank, (held, held_there)) in one.ranks.iter().zip(&other.ranks).enumerate() {
            let gone = held.iter().filter(|expert| !held_there.contains(expert));
            places.extend(gone.map(|expert| Place {
                layer: layer as u16,
                rank: rank as u16,
                expert: *expert,
            }));
        }
    }
    places
}

fn held(map: &mut Map, place: Place) -> Result<&mut Vec<u16>, Mismatch> {
    let layer = map.layers.get_mut(usize::from(place.layer)).ok_or(Mismatch)?;
    layer.ranks.get_mut(usize::from(place.rank)).ok_or(Mismatch)
}
