//! The difference between two expert maps: a change moves a few experts, while the whole map of a large group is long.
//!
//! A patch goes to every rank of a group over the low-bandwidth link of one box, so its encoding is compact: exchanging
//! two experts on each of 129 ranks takes less than one packet. With an entry for each place in the lists it took 2 KB,
//! and more than a second to reach all ranks.

use serde::{Deserialize, Serialize};
use snafu::{OptionExt as _, Snafu, ensure};

use crate::map::Map;

/// Marks a rank whose edit is not a plain replacement of one expert by another.
const MIXED: u64 = 0;

/// The edits that turn one map into another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Patch {
    /// Varints: for each layer the number of ranks that change; for each of these the number of ranks skipped before
    /// it, then either the position of the removed expert (from 1) and the added expert, or [`MIXED`] and two lists,
    /// each preceded by its length.
    edits: Vec<u8>,
    /// Number of experts removed plus number of experts added, over all ranks and layers.
    places: u32,
    /// Digest of the resulting map.
    digest: u64,
}

/// The patch was made for another map.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("the patch was made for another map"))]
pub struct Mismatch;

impl Patch {
    /// The patch that turns `old` into `new`, which has the same ranks and layers.
    pub fn between(old: &Map, new: &Map) -> Self {
        let mut edits = Vec::new();
        let mut places = 0;
        for (one, other) in old.layers.iter().zip(&new.layers) {
            let pairs = one.ranks.iter().zip(&other.ranks).enumerate();
            let changed: Vec<(usize, Edit)> = pairs
                .map(|(rank, (held, next))| (rank, Edit::between(held, next)))
                .filter(|(_, edit)| !edit.is_empty())
                .collect();
            put(&mut edits, changed.len() as u64);
            let mut next_rank = 0;
            for (rank, edit) in changed {
                put(&mut edits, (rank - next_rank) as u64);
                next_rank = rank + 1;
                places += edit.places();
                edit.write(&mut edits);
            }
        }
        Self {
            edits,
            places,
            digest: new.digest(),
        }
    }

    /// Number of experts removed plus number of experts added, over all ranks and layers.
    pub fn places(&self) -> usize {
        self.places as usize
    }

    /// Encoded size of the edits, in bytes.
    pub fn bytes(&self) -> usize {
        self.edits.len()
    }

    /// Applies the patch to `old`. The experts of each rank end up in ascending order, as in every active map.
    pub fn apply(&self, old: &Map) -> Result<Map, Mismatch> {
        let mut map = old.clone();
        let mut edits = self.edits.as_slice();
        for layer in &mut map.layers {
            let mut rank = 0;
            for _ in 0..take(&mut edits)? {
                rank += usize::try_from(take(&mut edits)?).ok().context(MismatchSnafu)?;
                let held = layer.ranks.get_mut(rank).context(MismatchSnafu)?;
                Edit::read(&mut edits)?.apply(held)?;
                rank += 1;
            }
        }
        map.sort();
        ensure!(edits.is_empty() && map.digest() == self.digest, MismatchSnafu);
        Ok(map)
    }
}

/// What changes on one rank in one layer.
#[derive(Debug, Default)]
struct Edit {
    /// Positions in the rank's list of experts, ascending.
    removed: Vec<u64>,
    added: Vec<u64>,
}

impl Edit {
    fn between(held: &[u16], next: &[u16]) -> Self {
        let gone = held.iter().enumerate().filter(|(_, expert)| !next.contains(expert));
        let new = next.iter().filter(|expert| !held.contains(expert));
        Self {
            removed: gone.map(|(place, _)| place as u64).collect(),
            added: new.map(|expert| u64::from(*expert)).collect(),
        }
    }

    fn is_empty(&self) -> bool {
        self.removed.is_empty() && self.added.is_empty()
    }

    fn places(&self) -> u32 {
        (self.removed.len() + self.added.len()) as u32
    }

    fn write(&self, edits: &mut Vec<u8>) {
        if let ([removed], [added]) = (self.removed.as_slice(), self.added.as_slice()) {
            put(edits, removed + 1);
            put(edits, *added);
            return;
        }
        put(edits, MIXED);
        for list in [&self.removed, &self.added] {
            put(edits, list.len() as u64);
            for number in list {
                put(edits, *number);
            }
        }
    }

    fn read(edits: &mut &[u8]) -> Result<Self, Mismatch> {
        let first = take(edits)?;
        if first != MIXED {
            return Ok(Self {
                removed: vec![first - 1],
                added: vec![take(edits)?],
            });
        }
        let mut list = || {
            (0..take(edits)?)
                .map(|_| take(edits))
                .collect::<Result<Vec<u64>, Mismatch>>()
        };
        Ok(Self {
            removed: list()?,
            added: list()?,
        })
    }

    fn apply(&self, held: &mut Vec<u16>) -> Result<(), Mismatch> {
        for place in self.removed.iter().rev() {
            let place = usize::try_from(*place).ok().filter(|place| *place < held.len());
            held.remove(place.context(MismatchSnafu)?);
        }
        for expert in &self.added {
            held.push(u16::try_from(*expert).ok().context(MismatchSnafu)?);
        }
        Ok(())
    }
}

/// Writes a varint: seven bits per byte, the lowest first; the eighth bit is set if more bytes follow.
fn put(bytes: &mut Vec<u8>, mut number: u64) {
    while number >= 0x80 {
        bytes.push(number as u8 | 0x80);
        number >>= 7;
    }
    bytes.push(number as u8);
}

fn take(bytes: &mut &[u8]) -> Result<u64, Mismatch> {
    let mut number = 0;
    for shift in (0..u64::BITS).step_by(7) {
        let (first, rest) = bytes.split_first().context(MismatchSnafu)?;
        *bytes = rest;
        number |= u64::from(first & 0x7f) << shift;
        if first & 0x80 == 0 {
            return Ok(number);
        }
    }
    MismatchSnafu.fail()
}
