//! The difference between two expert maps: a change moves a few experts, while the whole map of a large group is long.
//!
//! A patch goes to every rank of a group over the low-bandwidth link of one box, so its encoding is compact: a
//! change of two experts on each of 129 ranks takes less than one packet. An encoding with one entry per changed
//! position took 2 KB, and more than a second to reach all ranks.

use serde::{Deserialize, Serialize};
use snafu::{OptionExt as _, Snafu, ensure};

use crate::map::Map;

/// Marks a rank whose edit is not a plain replacement of one expert by another.
const MIXED_EDIT: u64 = 0;

/// The edits that turn one map into another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Patch {
    /// Varints: for each layer the number of ranks that change; for each of these the number of ranks skipped before
    /// it, then either the position of the removed expert (from 1) and the added expert, or [`MIXED_EDIT`] and two
    /// lists, each preceded by its length.
    edits: Vec<u8>,
    /// Number of experts removed plus number of experts added, over all ranks and layers.
    #[serde(rename = "places")]
    edit_count: u32,
    /// Digest of the resulting map.
    digest: u64,
}

/// The patch was made for another base map.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("the map patch was made for another base map; request the whole map instead"))]
pub struct Mismatch;

impl Patch {
    /// The patch that turns `old` into `new`, which has the same ranks and layers.
    pub fn between(old: &Map, new: &Map) -> Self {
        let mut edits = Vec::new();
        let mut edit_count = 0;
        for (old_layer, new_layer) in old.layers.iter().zip(&new.layers) {
            let pairs = old_layer.ranks.iter().zip(&new_layer.ranks).enumerate();
            let changed: Vec<(usize, Edit)> = pairs
                .map(|(rank, (old, new))| (rank, Edit::between(old, new)))
                .filter(|(_, edit)| !edit.is_empty())
                .collect();
            write_varint(&mut edits, changed.len() as u64);
            let mut next_rank = 0;
            for (rank, edit) in changed {
                write_varint(&mut edits, (rank - next_rank) as u64);
                next_rank = rank + 1;
                edit_count += edit.edit_count();
                edit.write(&mut edits);
            }
        }
        Self {
            edits,
            edit_count,
            digest: new.digest(),
        }
    }

    /// Number of experts removed plus number of experts added, over all ranks and layers.
    pub fn edit_count(&self) -> usize {
        self.edit_count as usize
    }

    /// Encoded size of the edits, in bytes.
    pub fn size_bytes(&self) -> usize {
        self.edits.len()
    }

    /// Applies the patch to `old`. The experts of each rank end up in ascending order, as in every active map.
    pub fn apply(&self, old: &Map) -> Result<Map, Mismatch> {
        let mut map = old.clone();
        let mut edits = self.edits.as_slice();
        for layer in &mut map.layers {
            let mut rank = 0;
            for _ in 0..read_varint(&mut edits)? {
                rank += usize::try_from(read_varint(&mut edits)?).ok().context(MismatchSnafu)?;
                let experts = layer.ranks.get_mut(rank).context(MismatchSnafu)?;
                Edit::read(&mut edits)?.apply(experts)?;
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
    /// Ascending positions in the rank's list of experts.
    removed_positions: Vec<u64>,
    added_experts: Vec<u64>,
}

impl Edit {
    fn between(old: &[u16], new: &[u16]) -> Self {
        let removed = old.iter().enumerate().filter(|(_, expert)| !new.contains(expert));
        let added = new.iter().filter(|expert| !old.contains(expert));
        Self {
            removed_positions: removed.map(|(position, _)| position as u64).collect(),
            added_experts: added.map(|expert| u64::from(*expert)).collect(),
        }
    }

    fn is_empty(&self) -> bool {
        self.removed_positions.is_empty() && self.added_experts.is_empty()
    }

    fn edit_count(&self) -> u32 {
        (self.removed_positions.len() + self.added_experts.len()) as u32
    }

    fn write(&self, edits: &mut Vec<u8>) {
        if let ([removed], [added]) = (self.removed_positions.as_slice(), self.added_experts.as_slice()) {
            write_varint(edits, removed + 1);
            write_varint(edits, *added);
            return;
        }
        write_varint(edits, MIXED_EDIT);
        for list in [&self.removed_positions, &self.added_experts] {
            write_varint(edits, list.len() as u64);
            for number in list {
                write_varint(edits, *number);
            }
        }
    }

    fn read(edits: &mut &[u8]) -> Result<Self, Mismatch> {
        let first = read_varint(edits)?;
        if first != MIXED_EDIT {
            return Ok(Self {
                removed_positions: vec![first - 1],
                added_experts: vec![read_varint(edits)?],
            });
        }
        let mut list = || {
            (0..read_varint(edits)?)
                .map(|_| read_varint(edits))
                .collect::<Result<Vec<u64>, Mismatch>>()
        };
        Ok(Self {
            removed_positions: list()?,
            added_experts: list()?,
        })
    }

    fn apply(&self, experts: &mut Vec<u16>) -> Result<(), Mismatch> {
        for position in self.removed_positions.iter().rev() {
            let position = usize::try_from(*position)
                .ok()
                .filter(|position| *position < experts.len());
            experts.remove(position.context(MismatchSnafu)?);
        }
        for expert in &self.added_experts {
            experts.push(u16::try_from(*expert).ok().context(MismatchSnafu)?);
        }
        Ok(())
    }
}

/// Writes a varint: seven bits per byte, the lowest first; the eighth bit is set if more bytes follow.
fn write_varint(bytes: &mut Vec<u8>, mut number: u64) {
    while number >= 0x80 {
        bytes.push(number as u8 | 0x80);
        number >>= 7;
    }
    bytes.push(number as u8);
}

fn read_varint(bytes: &mut &[u8]) -> Result<u64, Mismatch> {
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
