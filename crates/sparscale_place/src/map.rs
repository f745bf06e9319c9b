//! The expert map of a group: the experts that each rank holds in each layer.

use serde::{Deserialize, Serialize};

/// Dimensions of a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Shape {
    /// Ranks in the group.
    pub ranks: usize,
    /// Mixture-of-experts layers.
    pub layers: usize,
    /// Logical experts in each layer.
    pub experts: usize,
    /// Expert replicas that fit on one rank in each layer.
    pub slots: usize,
}

/// One layer of a map.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Layer {
    /// Experts of each rank, in rank order; at most `Shape::slots` per rank.
    pub ranks: Vec<Vec<u16>>,
}

/// The expert map that all ranks of a group use in one step.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Map {
    /// All layers, first to last.
    pub layers: Vec<Layer>,
}

impl Map {
    /// The map that a group starts with: experts are assigned to ranks round-robin, and spare slots stay empty.
    pub fn initial(shape: Shape) -> Self {
        let mut ranks = vec![Vec::with_capacity(shape.slots); shape.ranks];
        for expert in 0..shape.experts {
            ranks[expert % shape.ranks].push(expert as u16);
        }
        let layer = Layer { ranks };
        Self {
            layers: vec![layer; shape.layers],
        }
    }

    /// Whether every layer holds every expert and no rank holds more replicas than it has slots.
    pub fn fits(&self, shape: Shape) -> bool {
        self.layers.len() == shape.layers && self.layers.iter().all(|layer| layer.fits(shape))
    }

    /// Sorts the experts of each rank, so that two maps with the same experts on the same ranks are equal.
    pub fn sort(&mut self) {
        for rank in self.layers.iter_mut().flat_map(|layer| &mut layer.ranks) {
            rank.sort_unstable();
        }
    }

    /// Hash that tells different maps apart: FNV-1a over all ranks and their experts.
    pub fn digest(&self) -> u64 {
        const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
        const PRIME: u64 = 0x0100_0000_01b3;
        let mix = |hash: u64, number: u64| (hash ^ number).wrapping_mul(PRIME);
        let ranks = self.layers.iter().flat_map(|layer| &layer.ranks);
        ranks.fold(OFFSET, |hash, experts| {
            let hash = mix(hash, experts.len() as u64);
            experts.iter().fold(hash, |hash, expert| mix(hash, u64::from(*expert)))
        })
    }

    /// Number of replicas to load for a switch to `next`: those that `next` holds and this map does not.
    pub fn replicas_to_load(&self, next: &Self) -> usize {
        let pairs = self.layers.iter().zip(&next.layers);
        pairs.map(|(old, new)| old.replicas_to_load(new)).sum()
    }
}

impl Layer {
    fn fits(&self, shape: Shape) -> bool {
        let mut has_replica = vec![false; shape.experts];
        for rank in &self.ranks {
            for expert in rank {
                let Some(flag) = has_replica.get_mut(usize::from(*expert)) else {
                    return false;
                };
                *flag = true;
            }
        }
        self.ranks.len() == shape.ranks
            && self.ranks.iter().all(|rank| rank.len() <= shape.slots)
            && has_replica.into_iter().all(|flag| flag)
    }

    /// Number of replicas that the ranks of this layer have to load for a switch to `next`.
    pub fn replicas_to_load(&self, next: &Self) -> usize {
        let pairs = self.ranks.iter().zip(&next.ranks);
        pairs
            .map(|(old, new)| new.iter().filter(|expert| !old.contains(expert)).count())
            .sum()
    }
}
