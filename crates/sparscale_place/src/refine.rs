//! Finds the few replica loads that balance a group's ranks most, for groups whose demand shifts often and whose
//! replicas load quickly.
//!
//! Packing all experts from scratch takes seconds to load, and by then the demand has shifted again. So a change loads
//! a few experts on each rank and is active a moment later, and the next change continues from there.

use crate::map::{Layer, Map, Shape};
use crate::popularity::Popularity;

/// Heaviest experts of the most loaded rank that are tried.
const MAX_EXPERTS_TRIED: usize = 6;
/// Least loaded ranks that are tried as destinations.
const MAX_DESTINATIONS_TRIED: usize = 4;
/// Share of a set's smooth largest load by which a change must lower it; less is noise.
const MIN_GAIN_SHARE: f64 = 0.004;

/// Limits on what one change may load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadLimits {
    /// Experts that one rank may load over all sets; they load one after the other, each in the same time.
    pub loads_per_rank: usize,
    /// Experts that one rank may load in one set.
    pub loads_per_set: usize,
}

/// A refined map with its costs and gains.
#[derive(Debug, Clone, PartialEq)]
pub struct Refinement {
    /// The new map.
    pub map: Map,
    /// Experts loaded, over all ranks.
    pub replica_loads: u32,
    /// Largest number of experts that one rank loads.
    pub max_loads_per_rank: u32,
    /// Skew of the old map: the mean over the sets of the largest rank load divided by the mean rank load.
    pub skew_before: f64,
    /// Skew of the new map.
    pub skew_after: f64,
}

/// Improves `map` within `limits`. `slowdowns` has a factor for each rank, 1 if nominal: a straggler gets
/// proportionally less load.
pub fn refine(popularity: &Popularity, map: &Map, shape: Shape, limits: LoadLimits, slowdowns: &[f64]) -> Refinement {
    let mut sets: Vec<LayerSet> = (0..shape.layers)
        .map(|set| LayerSet::new(&map.layers[set], popularity.counts_of_set(set), shape.slots, slowdowns))
        .collect();
    let before = mean_set_skew(&sets);
    let mut load_counts = vec![0_usize; shape.ranks];
    let mut loads = 0;
    let mut best_changes: Vec<Option<SetChange>> =
        sets.iter().map(|set| set.best_change(&load_counts, limits)).collect();
    while let Some(index) = index_of_best(&best_changes) {
        let Some(change) = best_changes[index].take() else {
            break;
        };
        if change
            .loading_rank
            .is_some_and(|rank| load_counts[rank] >= limits.loads_per_rank)
        {
            // Changes of other sets have used up the limit of this rank.
            best_changes[index] = sets[index].best_change(&load_counts, limits);
            continue;
        }
        sets[index].apply(&change);
        if let Some(rank) = change.loading_rank {
            load_counts[rank] += 1;
            loads += 1;
        }
        best_changes[index] = sets[index].best_change(&load_counts, limits);
    }
    let after = mean_set_skew(&sets);
    let mut map = Map {
        layers: sets.into_iter().map(|set| Layer { ranks: set.ranks }).collect(),
    };
    map.sort();
    Refinement {
        skew_after: after,
        skew_before: before,
        replica_loads: loads,
        max_loads_per_rank: load_counts.iter().copied().max().unwrap_or(0) as u32,
        map,
    }
}

/// Skew of `map`: the mean over the sets of the largest rank load divided by the mean rank load.
pub fn mean_skew(popularity: &Popularity, map: &Map, shape: Shape, slowdowns: &[f64]) -> f64 {
    let sets = (0..shape.layers)
        .map(|set| LayerSet::new(&map.layers[set], popularity.counts_of_set(set), shape.slots, slowdowns));
    mean_set_skew(&sets.collect::<Vec<_>>())
}

/// Skew that `map` has for `selections`, which are counts of each expert, set by set.
pub fn sample_skew(selections: &[f64], map: &Map, shape: Shape, slowdowns: &[f64]) -> f64 {
    let sets = map.layers.iter().zip(selections.chunks(shape.experts.max(1)));
    let sets = sets.map(|(layer, counts)| LayerSet::new(layer, counts, shape.slots, slowdowns));
    mean_set_skew(&sets.collect::<Vec<_>>())
}

fn index_of_best(best_changes: &[Option<SetChange>]) -> Option<usize> {
    let gains = best_changes.iter().enumerate();
    let gains = gains.filter_map(|(index, change)| change.as_ref().map(|change| (index, change.gain)));
    gains
        .max_by(|left, right| left.1.total_cmp(&right.1))
        .map(|(index, _)| index)
}

fn mean_set_skew(sets: &[LayerSet<'_>]) -> f64 {
    let total: f64 = sets.iter().map(LayerSet::skew).sum();
    total / sets.len().max(1) as f64
}

/// One set of layers during refinement. Loads are times, relative to the mean of ranks without slowdown.
#[derive(Debug, Clone)]
struct LayerSet<'a> {
    tokens: &'a [f64],
    /// Factor from tokens to loads.
    scale: f64,
    slots: usize,
    ranks: Vec<Vec<u16>>,
    holders: Vec<Vec<usize>>,
    slowdowns: &'a [f64],
    loads: Vec<f64>,
    /// Number of experts that each rank has loaded in this set.
    load_counts: Vec<usize>,
}

/// A change of one set.
#[derive(Debug, Clone, PartialEq)]
struct SetChange {
    gain: f64,
    /// Rank that loads an expert, if any.
    loading_rank: Option<usize>,
    edits: Vec<Edit>,
}

/// Adds a replica to a rank or drops one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Edit {
    Add { expert: u16, rank: usize },
    Drop { expert: u16, rank: usize },
}

impl<'a> LayerSet<'a> {
    fn new(layer: &Layer, tokens: &'a [f64], slots: usize, slowdowns: &'a [f64]) -> Self {
        let mut holders = vec![Vec::new(); tokens.len()];
        for (rank, experts) in layer.ranks.iter().enumerate() {
            for expert in experts {
                holders[usize::from(*expert)].push(rank);
            }
        }
        let sum: f64 = tokens.iter().sum();
        let scale = if sum > 0.0 { layer.ranks.len() as f64 / sum } else { 0.0 };
        let mut set = Self {
            tokens,
            scale,
            slots,
            slowdowns,
            loads: vec![0.0; layer.ranks.len()],
            load_counts: vec![0; layer.ranks.len()],
            ranks: layer.ranks.clone(),
            holders,
        };
        for rank in 0..set.ranks.len() {
            let tokens: f64 = set.ranks[rank].iter().map(|expert| set.share(*expert)).sum();
            set.loads[rank] = tokens * set.slowdown(rank);
        }
        set
    }

    fn slowdown(&self, rank: usize) -> f64 {
        self.slowdowns.get(rank).copied().unwrap_or(1.0)
    }

    /// Load that an expert puts on each rank that holds it, without slowdown.
    fn share(&self, expert: u16) -> f64 {
        let expert = usize::from(expert);
        self.tokens[expert] * self.scale / self.holders[expert].len().max(1) as f64
    }

    fn skew(&self) -> f64 {
        if self.scale == 0.0 {
            return 1.0;
        }
        self.loads.iter().copied().fold(0.0, f64::max)
    }

    /// The change that lowers the smooth largest load most.
    fn best_change(&self, load_counts: &[usize], limits: LoadLimits) -> Option<SetChange> {
        let norm_before = smooth_max(&self.loads);
        let source = (0..self.loads.len()).max_by(|left, right| self.loads[*left].total_cmp(&self.loads[*right]))?;
        let mut best: Option<SetChange> = None;
        for expert in self.heaviest_experts(source) {
            for change in self.changes(expert, source, load_counts, limits) {
                let gain = norm_before - smooth_max(&self.loads_after(&change.edits));
                let is_better = best.as_ref().is_none_or(|best| gain > best.gain);
                if gain > norm_before * MIN_GAIN_SHARE && is_better {
                    best = Some(SetChange { gain, ..change });
                }
            }
        }
        best
    }

    fn heaviest_experts(&self, rank: usize) -> Vec<u16> {
        let mut experts = self.ranks[rank].clone();
        experts.sort_by(|left, right| self.share(*right).total_cmp(&self.share(*left)));
        experts.truncate(MAX_EXPERTS_TRIED);
        experts
    }

    /// Changes that take load of `expert` off rank `source`.
    fn changes(&self, expert: u16, source: usize, load_counts: &[usize], limits: LoadLimits) -> Vec<SetChange> {
        let change = |loading_rank, edits| SetChange {
            gain: 0.0,
            loading_rank,
            edits,
        };
        let drop_from_source = Edit::Drop { expert, rank: source };
        let mut found = Vec::new();
        if self.holders[usize::from(expert)].len() > 1 {
            found.push(change(None, vec![drop_from_source]));
        }
        for destination in self.least_loaded_ranks(expert, load_counts, limits) {
            let add = Edit::Add {
                expert,
                rank: destination,
            };
            let mut edits = Vec::new();
            if self.ranks[destination].len() >= self.slots {
                let Some(dropped) = self.lightest_replicated_expert(destination) else {
                    continue;
                };
                edits.push(Edit::Drop {
                    expert: dropped,
                    rank: destination,
                });
            }
            edits.push(add);
            found.push(change(Some(destination), edits.clone()));
            edits.push(drop_from_source);
            found.push(change(Some(destination), edits));
        }
        found
    }

    /// Least loaded ranks that may load `expert`.
    fn least_loaded_ranks(&self, expert: u16, load_counts: &[usize], limits: LoadLimits) -> Vec<usize> {
        let may_load = |rank: &usize| {
            load_counts[*rank] < limits.loads_per_rank
                && self.load_counts[*rank] < limits.loads_per_set
                && !self.ranks[*rank].contains(&expert)
        };
        let mut ranks: Vec<usize> = (0..self.loads.len()).filter(may_load).collect();
        ranks.sort_by(|left, right| self.loads[*left].total_cmp(&self.loads[*right]));
        ranks.truncate(MAX_DESTINATIONS_TRIED);
        ranks
    }

    /// The expert on `rank` with the smallest load, of those that have other replicas.
    fn lightest_replicated_expert(&self, rank: usize) -> Option<u16> {
        let replicated = self.ranks[rank]
            .iter()
            .copied()
            .filter(|expert| self.holders[usize::from(*expert)].len() > 1);
        replicated.min_by(|left, right| self.share(*left).total_cmp(&self.share(*right)))
    }

    /// Loads after `edits`; only holders of the experts that move are updated.
    fn loads_after(&self, edits: &[Edit]) -> Vec<f64> {
        let mut loads = self.loads.clone();
        let mut experts: Vec<u16> = edits.iter().map(|edit| edit.expert()).collect();
        experts.dedup();
        for expert in experts {
            let mut holders = self.holders[usize::from(expert)].clone();
            let share = self.share(expert);
            for holder in &holders {
                loads[*holder] -= share * self.slowdown(*holder);
            }
            for edit in edits.iter().filter(|edit| edit.expert() == expert) {
                edit.apply_to(&mut holders);
            }
            let total = self.tokens[usize::from(expert)] * self.scale;
            let share = total / holders.len().max(1) as f64;
            for holder in &holders {
                loads[*holder] += share * self.slowdown(*holder);
            }
        }
        loads
    }

    fn apply(&mut self, change: &SetChange) {
        self.loads = self.loads_after(&change.edits);
        for edit in &change.edits {
            edit.apply_to(&mut self.holders[usize::from(edit.expert())]);
            match edit {
                Edit::Add { expert, rank } => self.ranks[*rank].push(*expert),
                Edit::Drop { expert, rank } => self.ranks[*rank].retain(|other| other != expert),
            }
        }
        if let Some(rank) = change.loading_rank {
            self.load_counts[rank] += 1;
        }
    }
}

impl Edit {
    fn expert(self) -> u16 {
        match self {
            Self::Add { expert, .. } | Self::Drop { expert, .. } => expert,
        }
    }

    fn apply_to(self, holders: &mut Vec<usize>) {
        match self {
            Self::Add { rank, .. } => holders.push(rank),
            Self::Drop { rank, .. } => holders.retain(|holder| *holder != rank),
        }
    }
}

/// A smooth approximation of the largest of `loads`: their 16-norm, which also rewards lowering those that are nearly
/// largest.
fn smooth_max(loads: &[f64]) -> f64 {
    let largest = loads.iter().copied().fold(0.0, f64::max);
    if largest <= 0.0 {
        return 0.0;
    }
    let sum: f64 = loads.iter().map(|load| (load / largest).powi(16)).sum();
    largest * sum.powf(1.0 / 16.0)
}
