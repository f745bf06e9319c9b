//! Finds the few replica loads that balance a group's ranks most, for groups whose demand shifts often and whose
//! replicas load quickly.
//!
//! Packing all experts from scratch takes seconds to load, and by then the demand has shifted again. So a change loads
//! a few experts on each rank and is active a moment later, and the next change continues from there.

use crate::map::{Layer, Map, Shape};
use crate::popularity::Popularity;

/// Heaviest experts of the most loaded rank that are tried.
const EXPERTS: usize = 6;
/// Least loaded ranks that are tried as destinations.
const RANKS: usize = 4;
/// Share of a set's smooth largest load by which a change must lower it; less is noise.
const MIN_GAIN: f64 = 0.004;

/// Limits on what one change may load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Experts that one rank may load over all sets; they load one after the other, each in the same time.
    pub per_rank: usize,
    /// Experts that one rank may load in one set.
    pub per_set: usize,
}

/// A refined map with its costs and gains.
#[derive(Debug, Clone, PartialEq)]
pub struct Refined {
    /// The new map.
    pub map: Map,
    /// Experts loaded, over all ranks.
    pub loads: u32,
    /// Largest number of experts that one rank loads.
    pub deepest: u32,
    /// Skew of the old map: the mean over the sets of the largest rank load divided by the mean rank load.
    pub before: f64,
    /// Skew of the new map.
    pub after: f64,
}

/// Improves `map` within `limits`. `slowdowns` has a factor for each rank, 1 if nominal: a straggler gets
/// proportionally less load.
pub fn refine(popularity: &Popularity, map: &Map, shape: Shape, bounds: Bounds, paces: &[f64]) -> Refined {
    let mut sets: Vec<Set> = (0..shape.layers)
        .map(|set| Set::new(&map.layers[set], popularity.set(set), shape.slots, paces))
        .collect();
    let before = mean_skew(&sets);
    let mut loaded = vec![0_usize; shape.ranks];
    let mut loads = 0;
    let mut bests: Vec<Option<Change>> = sets.iter().map(|set| set.best(&loaded, bounds)).collect();
    while let Some(index) = best_of(&bests) {
        let Some(change) = bests[index].take() else { break };
        if change.loads_on.is_some_and(|rank| loaded[rank] >= bounds.per_rank) {
            // Changes of other sets have used up the limit of this rank.
            bests[index] = sets[index].best(&loaded, bounds);
            continue;
        }
        sets[index].apply(&change);
        if let Some(rank) = change.loads_on {
            loaded[rank] += 1;
            loads += 1;
        }
        bests[index] = sets[index].best(&loaded, bounds);
    }
    let after = mean_skew(&sets);
    let mut map = Map {
        layers: sets.into_iter().map(|set| Layer { ranks: set.ranks }).collect(),
    };
    map.sort();
    Refined {
        after,
        before,
        loads,
        deepest: loaded.iter().copied().max().unwrap_or(0) as u32,
        map,
    }
}

/// Skew of `map`: the mean over the sets of the largest rank load divided by the mean rank load.
pub fn skew_now(popularity: &Popularity, map: &Map, shape: Shape, paces: &[f64]) -> f64 {
    let sets = (0..shape.layers).map(|set| Set::new(&map.layers[set], popularity.set(set), shape.slots, paces));
    mean_skew(&sets.collect::<Vec<_>>())
}

fn best_of(bests: &[Option<Change>]) -> Option<usize> {
    let gains = bests.iter().enumerate();
    let gains = gains.filter_map(|(index, change)| change.as_ref().map(|change| (index, change.gain)));
    gains
        .max_by(|left, right| left.1.total_cmp(&right.1))
        .map(|(index, _)| index)
}

fn mean_skew(sets: &[Set<'_>]) -> f64 {
    let total: f64 = sets.iter().map(Set::skew).sum();
    total / sets.len().max(1) as f64
}

/// One set of layers during refinement. Loads are times, relative to the mean of ranks without slowdown.
#[derive(Debug, Clone)]
struct Set<'a> {
    tokens: &'a [f64],
    /// Factor from tokens to loads.
    scale: f64,
    slots: usize,
    ranks: Vec<Vec<u16>>,
    holders: Vec<Vec<usize>>,
    paces: &'a [f64],
    loads: Vec<f64>,
    /// Number of experts that each rank has loaded in this set.
    loaded: Vec<usize>,
}

/// A change of one set.
#[derive(Debug, Clone, PartialEq)]
struct Change {
    gain: f64,
    /// Rank that loads an expert, if any.
    loads_on: Option<usize>,
    edits: Vec<Edit>,
}

/// Adds a replica to a rank or drops one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Edit {
    Add { expert: u16, rank: usize },
    Drop { expert: u16, rank: usize },
}

impl<'a> Set<'a> {
    fn new(layer: &Layer, tokens: &'a [f64], slots: usize, paces: &'a [f64]) -> Self {
        let mut holders = vec![Vec::new(); tokens.len()];
        for (rank, held) in layer.ranks.iter().enumerate() {
            for expert in held {
                holders[usize::from(*expert)].push(rank);
            }
        }
        let sum: f64 = tokens.iter().sum();
        let scale = if sum > 0.0 { layer.ranks.len() as f64 / sum } else { 0.0 };
        let mut set = Self {
            tokens,
            scale,
            slots,
            paces,
            loads: vec![0.0; layer.ranks.len()],
            loaded: vec![0; layer.ranks.len()],
            ranks: layer.ranks.clone(),
            holders,
        };
        for rank in 0..set.ranks.len() {
            let tokens: f64 = set.ranks[rank].iter().map(|expert| set.share(*expert)).sum();
            set.loads[rank] = tokens * set.pace(rank);
        }
        set
    }

    fn pace(&self, rank: usize) -> f64 {
        self.paces.get(rank).copied().unwrap_or(1.0)
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
    fn best(&self, loaded: &[usize], bounds: Bounds) -> Option<Change> {
        let before = norm(&self.loads);
        let hot = (0..self.loads.len()).max_by(|left, right| self.loads[*left].total_cmp(&self.loads[*right]))?;
        let mut best: Option<Change> = None;
        for expert in self.heaviest_on(hot) {
            for change in self.changes(expert, hot, loaded, bounds) {
                let gain = before - norm(&self.loads_after(&change.edits));
                let better = best.as_ref().is_none_or(|best| gain > best.gain);
                if gain > before * MIN_GAIN && better {
                    best = Some(Change { gain, ..change });
                }
            }
        }
        best
    }

    fn heaviest_on(&self, rank: usize) -> Vec<u16> {
        let mut held = self.ranks[rank].clone();
        held.sort_by(|left, right| self.share(*right).total_cmp(&self.share(*left)));
        held.truncate(EXPERTS);
        held
    }

    /// Changes that take load of `expert` off rank `source`.
    fn changes(&self, expert: u16, hot: usize, loaded: &[usize], bounds: Bounds) -> Vec<Change> {
        let change = |loads_on, edits| Change {
            gain: 0.0,
            loads_on,
            edits,
        };
        let leave = Edit::Drop { expert, rank: hot };
        let mut found = Vec::new();
        if self.holders[usize::from(expert)].len() > 1 {
            found.push(change(None, vec![leave]));
        }
        for to in self.coolest(expert, loaded, bounds) {
            let add = Edit::Add { expert, rank: to };
            let mut edits = Vec::new();
            if self.ranks[to].len() >= self.slots {
                let Some(gone) = self.lightest_copy(to) else { continue };
                edits.push(Edit::Drop { expert: gone, rank: to });
            }
            edits.push(add);
            found.push(change(Some(to), edits.clone()));
            edits.push(leave);
            found.push(change(Some(to), edits));
        }
        found
    }

    /// Least loaded ranks that may load `expert`.
    fn coolest(&self, expert: u16, loaded: &[usize], bounds: Bounds) -> Vec<usize> {
        let may = |rank: &usize| {
            loaded[*rank] < bounds.per_rank
                && self.loaded[*rank] < bounds.per_set
                && !self.ranks[*rank].contains(&expert)
        };
        let mut ranks: Vec<usize> = (0..self.loads.len()).filter(may).collect();
        ranks.sort_by(|left, right| self.loads[*left].total_cmp(&self.loads[*right]));
        ranks.truncate(RANKS);
        ranks
    }

    /// The expert on `rank` with the smallest load, of those that have other replicas.
    fn lightest_copy(&self, rank: usize) -> Option<u16> {
        let copies = self.ranks[rank]
            .iter()
            .copied()
            .filter(|expert| self.holders[usize::from(*expert)].len() > 1);
        copies.min_by(|left, right| self.share(*left).total_cmp(&self.share(*right)))
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
                loads[*holder] -= share * self.pace(*holder);
            }
            for edit in edits.iter().filter(|edit| edit.expert() == expert) {
                edit.carry_out(&mut holders);
            }
            let total = self.tokens[usize::from(expert)] * self.scale;
            let share = total / holders.len().max(1) as f64;
            for holder in &holders {
                loads[*holder] += share * self.pace(*holder);
            }
        }
        loads
    }

    fn apply(&mut self, change: &Change) {
        self.loads = self.loads_after(&change.edits);
        for edit in &change.edits {
            edit.carry_out(&mut self.holders[usize::from(edit.expert())]);
            match edit {
                Edit::Add { expert, rank } => self.ranks[*rank].push(*expert),
                Edit::Drop { expert, rank } => self.ranks[*rank].retain(|held| held != expert),
            }
        }
        if let Some(rank) = change.loads_on {
            self.loaded[rank] += 1;
        }
    }
}

impl Edit {
    fn expert(self) -> u16 {
        match self {
            Self::Add { expert, .. } | Self::Drop { expert, .. } => expert,
        }
    }

    fn carry_out(self, holders: &mut Vec<usize>) {
        match self {
            Self::Add { rank, .. } => holders.push(rank),
            Self::Drop { rank, .. } => holders.retain(|holder| *holder != rank),
        }
    }
}

/// A smooth approximation of the largest of `loads`: their 16-norm, which also rewards lowering those that are nearly
/// largest.
fn norm(loads: &[f64]) -> f64 {
    let largest = loads.iter().copied().fold(0.0, f64::max);
    if largest <= 0.0 {
        return 0.0;
    }
    let sum: f64 = loads.iter().map(|load| (load / largest).powi(16)).sum();
    largest * sum.powf(1.0 / 16.0)
}
