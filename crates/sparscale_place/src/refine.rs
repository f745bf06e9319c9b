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
    let mut search = Search::new(popularity, map, shape, slowdowns);
    search.extend(limits);
    search.refinement()
}

/// A refinement that can be continued with higher limits, which costs much less than to start again.
#[derive(Debug, Clone)]
pub(crate) struct Search<'a> {
    sets: Vec<LayerSet<'a>>,
    skew_before: f64,
    /// Number of experts that each rank has loaded.
    load_counts: Vec<usize>,
    loads: u32,
}

impl<'a> Search<'a> {
    pub(crate) fn new(popularity: &'a Popularity, map: &Map, shape: Shape, slowdowns: &'a [f64]) -> Self {
        let sets: Vec<LayerSet<'_>> = (0..shape.layers)
            .map(|set| LayerSet::new(&map.layers[set], popularity.counts_of_set(set), shape.slots, slowdowns))
            .collect();
        Self {
            skew_before: mean_set_skew(&sets),
            sets,
            load_counts: vec![0; shape.ranks],
            loads: 0,
        }
    }

    /// Improves the map until no further change within `limits` gains anything; returns whether anything changed.
    pub(crate) fn extend(&mut self, limits: LoadLimits) -> bool {
        let mut changed = false;
        let sets = self.sets.iter();
        let mut best_changes: Vec<Option<SetChange>> =
            sets.map(|set| set.best_change(&self.load_counts, limits)).collect();
        while let Some(index) = index_of_best(&best_changes) {
            let Some(change) = best_changes[index].take() else {
                break;
            };
            let is_allowed = |rank: usize| self.load_counts[rank] < limits.loads_per_rank;
            // Otherwise changes of other sets have used up the limit of this rank.
            if change.loading_rank.is_none_or(is_allowed) {
                changed = true;
                self.sets[index].apply(&change);
                if let Some(rank) = change.loading_rank {
                    self.load_counts[rank] += 1;
                    self.loads += 1;
                }
            }
            best_changes[index] = self.sets[index].best_change(&self.load_counts, limits);
        }
        changed
    }

    pub(crate) fn refinement(&self) -> Refinement {
        let layers = self.sets.iter().map(|set| Layer {
            ranks: set.ranks.clone(),
        });
        let mut map = Map {
            layers: layers.collect(),
        };
        map.sort();
        Refinement {
            skew_after: mean_set_skew(&self.sets),
            skew_before: self.skew_before,
            replica_loads: self.loads,
            max_loads_per_rank: self.load_counts.iter().copied().max().unwrap_or(0) as u32,
            map,
        }
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
        let source = (0..self.loads.len()).max_by(|left, right| self.loads[*left].total_cmp(&self.loads[*right]))?;
        let norm = Norm::new(&self.loads);
        let mut destinations: Vec<usize> = (0..self.loads.len())
            .filter(|rank| load_counts[*rank] < limits.loads_per_rank && self.load_counts[*rank] < limits.loads_per_set)
            .collect();
        destinations.sort_by(|left, right| self.loads[*left].total_cmp(&self.loads[*right]));
        let mut best: Option<SetChange> = None;
        for expert in self.heaviest_experts(source) {
            for change in self.changes(expert, source, &destinations) {
                let gain = norm.before - norm.after(&self.new_loads(&change.edits));
                let is_better = best.as_ref().is_none_or(|best| gain > best.gain);
                if gain > norm.before * MIN_GAIN_SHARE && is_better {
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

    /// Changes that take load of `expert` off rank `source`. `destinations` are the ranks that may load an expert, the
    /// least loaded first.
    fn changes(&self, expert: u16, source: usize, destinations: &[usize]) -> Vec<SetChange> {
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
        let destinations = destinations.iter().copied();
        let destinations = destinations.filter(|rank| !self.ranks[*rank].contains(&expert));
        for destination in destinations.take(MAX_DESTINATIONS_TRIED) {
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

    /// The expert on `rank` with the smallest load, of those that have other replicas.
    fn lightest_replicated_expert(&self, rank: usize) -> Option<u16> {
        let replicated = self.ranks[rank]
            .iter()
            .copied()
            .filter(|expert| self.holders[usize::from(*expert)].len() > 1);
        replicated.min_by(|left, right| self.share(*left).total_cmp(&self.share(*right)))
    }

    /// Loads after `edits` of the ranks whose loads change: the holders of the experts that move.
    fn new_loads(&self, edits: &[Edit]) -> Vec<(usize, f64)> {
        let mut loads: Vec<(usize, f64)> = Vec::new();
        let mut add = |rank: usize, load: f64| match loads.iter_mut().find(|(other, _)| *other == rank) {
            Some((_, sum)) => *sum += load,
            None => loads.push((rank, self.loads[rank] + load)),
        };
        for (index, edit) in edits.iter().enumerate() {
            let expert = edit.expert();
            if edits[..index].iter().any(|earlier| earlier.expert() == expert) {
                continue;
            }
            let old_holders = &self.holders[usize::from(expert)];
            let share = self.share(expert);
            for holder in old_holders {
                add(*holder, -share * self.slowdown(*holder));
            }
            let mut holders = old_holders.clone();
            for edit in edits.iter().filter(|edit| edit.expert() == expert) {
                edit.apply_to(&mut holders);
            }
            let total = self.tokens[usize::from(expert)] * self.scale;
            let share = total / holders.len().max(1) as f64;
            for holder in &holders {
                add(*holder, share * self.slowdown(*holder));
            }
        }
        loads
    }

    fn apply(&mut self, change: &SetChange) {
        for (rank, load) in self.new_loads(&change.edits) {
            self.loads[rank] = load;
        }
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

/// A smooth approximation of the largest load: the 16-norm of the loads, which also rewards lowering those that are
/// nearly largest.
#[derive(Debug)]
struct Norm {
    /// The norm of the loads before any change.
    before: f64,
    largest: f64,
    /// Powers of the loads relative to the largest, and their sum.
    powers: Vec<f64>,
    sum: f64,
}

impl Norm {
    fn new(loads: &[f64]) -> Self {
        let largest = loads.iter().copied().fold(0.0, f64::max);
        if largest <= 0.0 {
            return Self {
                before: 0.0,
                largest: 1.0,
                powers: vec![0.0; loads.len()],
                sum: 0.0,
            };
        }
        let powers: Vec<f64> = loads.iter().map(|load| (load / largest).powi(16)).collect();
        let sum: f64 = powers.iter().sum();
        Self {
            before: largest * sum.powf(1.0 / 16.0),
            largest,
            powers,
            sum,
        }
    }

    /// The norm when some ranks have new loads.
    fn after(&self, new_loads: &[(usize, f64)]) -> f64 {
        let changes = new_loads
            .iter()
            .map(|(rank, load)| (load / self.largest).powi(16) - self.powers[*rank]);
        let sum = self.sum + changes.sum::<f64>();
        self.largest * sum.max(0.0).powf(1.0 / 16.0)
    }
}
