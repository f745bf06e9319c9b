//! Local search in one layer: finds the single change of the current placement that helps most, again and again.

use crate::load::rank_loads;
use crate::map::Layer;

/// Exponent of the norm that approximates the largest rank load; it also rewards lowering ranks that are nearly
/// largest.
const NORM_EXPONENT: i32 = 16;
/// Share of the norm by which a change must lower it; less is noise.
const MIN_GAIN_SHARE: f64 = 5e-4;
/// Heaviest experts of the most loaded rank that are tried.
const MAX_EXPERTS_TRIED: usize = 8;
/// Most loaded ranks that are tried, one after the other, until a change helps one.
const MAX_SOURCES_TRIED: usize = 1;
/// Least loaded ranks that are tried as destinations.
const MAX_DESTINATIONS_TRIED: usize = 4;

/// One layer with the loads and holders that the search keeps up to date.
#[derive(Debug, Clone)]
pub(crate) struct LayerSearch<'a> {
    layer: Layer,
    tokens: &'a [f64],
    slots: usize,
    /// Ranks that hold each expert.
    holders: Vec<Vec<usize>>,
    rank_loads: Vec<f64>,
}

/// A change of one layer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct LayerChange {
    /// Expert that gets another replica.
    expert: u16,
    /// Rank that loads it.
    to_rank: usize,
    /// How the expert gets a slot on that rank.
    slot: SlotUse,
    /// Rank that drops its replica of the expert, if the expert is moved rather than copied.
    dropped_from: Option<usize>,
    /// Decrease of the norm of the rank loads, in tokens.
    gain: f64,
    /// Replicas that have to be loaded.
    replica_loads: u32,
}

/// Successive changes of one layer and the point that each leads to.
#[derive(Debug, Clone)]
pub(crate) struct SearchPath {
    changes: Vec<LayerChange>,
    /// Points before the first change and after each one.
    pub(crate) points: Vec<PathPoint>,
}

/// State of a layer along a path.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct PathPoint {
    /// Replicas loaded so far.
    pub(crate) replica_loads: u32,
    /// Largest rank load, in tokens.
    pub(crate) max_rank_load: f64,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum SlotUse {
    /// The slot is free.
    Free,
    /// This expert is dropped; it has other replicas.
    Evict(u16),
    /// This expert moves to the slot that the moved expert leaves.
    Swap(u16),
}

impl<'a> LayerSearch<'a> {
    pub(crate) fn new(layer: &Layer, tokens: &'a [f64], slots: usize) -> Self {
        Self {
            holders: ranks_by_expert(layer, tokens.len()),
            rank_loads: rank_loads(layer, tokens),
            layer: layer.clone(),
            tokens,
            slots,
        }
    }

    /// Applies the best change again and again, until none helps, the largest load is down to `goal`, or `budget`
    /// replicas are loaded.
    pub(crate) fn path(mut self, goal: f64, budget: u32) -> SearchPath {
        let mut replica_loads = 0;
        let mut path = SearchPath {
            changes: Vec::new(),
            points: vec![self.point(0)],
        };
        while let Some(change) = self.best_change() {
            replica_loads += change.replica_loads;
            if replica_loads > budget {
                return path;
            }
            self.apply(change);
            path.changes.push(change);
            path.points.push(self.point(replica_loads));
            if self.max_rank_load() <= goal {
                return path;
            }
        }
        path
    }

    /// The layer after the first `count` changes of `path`.
    pub(crate) fn follow(mut self, path: &SearchPath, count: usize) -> Layer {
        for change in &path.changes[..count] {
            self.edit_ranks(*change);
        }
        self.layer
    }

    pub(crate) fn tokens(&self) -> &'a [f64] {
        self.tokens
    }

    pub(crate) fn slots(&self) -> usize {
        self.slots
    }

    /// Largest rank load, in tokens.
    pub(crate) fn max_rank_load(&self) -> f64 {
        self.rank_loads.iter().copied().fold(0.0, f64::max)
    }

    fn point(&self, replica_loads: u32) -> PathPoint {
        let max_rank_load = self.max_rank_load();
        PathPoint {
            replica_loads,
            max_rank_load,
        }
    }

    /// The change with the largest gain per replica load, if any gains.
    fn best_change(&self) -> Option<LayerChange> {
        let norm_before = smooth_max(&self.rank_loads);
        let sources = self.most_loaded_ranks();
        sources
            .into_iter()
            .find_map(|source| self.best_change_from(source, norm_before))
    }

    fn best_change_from(&self, source: usize, norm_before: f64) -> Option<LayerChange> {
        let mut best: Option<LayerChange> = None;
        for expert in self.heaviest_experts(source) {
            for to_rank in self.least_loaded_ranks(source) {
                if self.layer.ranks[to_rank].contains(&expert) {
                    continue;
                }
                for change in self.changes(expert, source, to_rank) {
                    let gain = norm_before - smooth_max(&self.loads_after(change));
                    let is_better = best.is_none_or(|best| {
                        gain / f64::from(change.replica_loads) > best.gain / f64::from(best.replica_loads)
                    });
                    if gain > norm_before * MIN_GAIN_SHARE && is_better {
                        best = Some(LayerChange { gain, ..change });
                    }
                }
            }
        }
        best
    }

    /// Applies `change` and updates loads and holders.
    fn apply(&mut self, change: LayerChange) {
        self.rank_loads = self.loads_after(change);
        self.edit_ranks(change);
        self.update_holders(change.expert, Some(change.to_rank), change.dropped_from);
        match change.slot {
            SlotUse::Free => {}
            SlotUse::Evict(old) => self.update_holders(old, None, Some(change.to_rank)),
            SlotUse::Swap(old) => self.update_holders(old, change.dropped_from, Some(change.to_rank)),
        }
    }

    fn update_holders(&mut self, expert: u16, added_to: Option<usize>, removed_from: Option<usize>) {
        let holders = &mut self.holders[usize::from(expert)];
        holders.retain(|rank| Some(*rank) != removed_from);
        holders.extend(added_to);
    }

    fn edit_ranks(&mut self, change: LayerChange) {
        match change.slot {
            SlotUse::Free => {}
            SlotUse::Evict(old) | SlotUse::Swap(old) => self.layer.ranks[change.to_rank].retain(|held| *held != old),
        }
        self.layer.ranks[change.to_rank].push(change.expert);
        if let Some(source) = change.dropped_from {
            self.layer.ranks[source].retain(|expert| *expert != change.expert);
            if let SlotUse::Swap(expert) = change.slot {
                self.layer.ranks[source].push(expert);
            }
        }
    }

    /// Rank loads after `change`; only holders of the experts that move are updated.
    fn loads_after(&self, change: LayerChange) -> Vec<f64> {
        let mut rank_loads = self.rank_loads.clone();
        self.shift_load(
            &mut rank_loads,
            change.expert,
            Some(change.to_rank),
            change.dropped_from,
        );
        match change.slot {
            SlotUse::Free => {}
            SlotUse::Evict(old) => self.shift_load(&mut rank_loads, old, None, Some(change.to_rank)),
            SlotUse::Swap(old) => self.shift_load(&mut rank_loads, old, change.dropped_from, Some(change.to_rank)),
        }
        rank_loads
    }

    /// Redistributes the tokens of `expert` when a rank gains a replica, another loses one, or both.
    fn shift_load(&self, rank_loads: &mut [f64], expert: u16, added_to: Option<usize>, removed_from: Option<usize>) {
        let expert = usize::from(expert);
        let holders = &self.holders[expert];
        let replica_count = holders.len() + usize::from(added_to.is_some()) - usize::from(removed_from.is_some());
        let share_before = self.tokens[expert] / holders.len().max(1) as f64;
        let share_after = self.tokens[expert] / replica_count.max(1) as f64;
        for holder in holders {
            rank_loads[*holder] -= share_before;
            if Some(*holder) != removed_from {
                rank_loads[*holder] += share_after;
            }
        }
        if let Some(rank) = added_to {
            rank_loads[rank] += share_after;
        }
    }

    fn most_loaded_ranks(&self) -> Vec<usize> {
        let mut ranks: Vec<usize> = (0..self.rank_loads.len()).collect();
        ranks.sort_by(|left, right| self.rank_loads[*right].total_cmp(&self.rank_loads[*left]));
        ranks.truncate(MAX_SOURCES_TRIED);
        ranks
    }

    fn heaviest_experts(&self, rank: usize) -> Vec<u16> {
        let mut experts = self.layer.ranks[rank].clone();
        experts.sort_by(|left, right| self.share(*right).total_cmp(&self.share(*left)));
        experts.truncate(MAX_EXPERTS_TRIED);
        experts
    }

    fn least_loaded_ranks(&self, excluded: usize) -> Vec<usize> {
        let mut ranks: Vec<usize> = (0..self.rank_loads.len()).filter(|rank| *rank != excluded).collect();
        ranks.sort_by(|left, right| self.rank_loads[*left].total_cmp(&self.rank_loads[*right]));
        ranks.truncate(MAX_DESTINATIONS_TRIED);
        ranks
    }

    /// Changes that bring `expert` from rank `source` to `to_rank`: another replica, or a move, if need be in
    /// exchange for a lighter expert.
    fn changes(&self, expert: u16, source: usize, to_rank: usize) -> Vec<LayerChange> {
        let change = |slot, dropped_from, replica_loads| LayerChange {
            expert,
            to_rank,
            slot,
            dropped_from,
            gain: 0.0,
            replica_loads,
        };
        let experts = &self.layer.ranks[to_rank];
        let mut found = Vec::new();
        if experts.len() < self.slots {
            found.push(change(SlotUse::Free, None, 1));
            found.push(change(SlotUse::Free, Some(source), 1));
        }
        if let Some(replicated) = self.lightest_expert(to_rank, |other| self.holders[usize::from(other)].len() > 1) {
            found.push(change(SlotUse::Evict(replicated), None, 1));
        }
        let fits_on_source = |other: u16| !self.layer.ranks[source].contains(&other);
        if let Some(lighter) = self.lightest_expert(to_rank, fits_on_source) {
            found.push(change(SlotUse::Swap(lighter), Some(source), 2));
        }
        found
    }

    fn lightest_expert(&self, rank: usize, allowed: impl Fn(u16) -> bool) -> Option<u16> {
        let allowed_experts = self.layer.ranks[rank].iter().copied().filter(|expert| allowed(*expert));
        allowed_experts.min_by(|left, right| self.share(*left).total_cmp(&self.share(*right)))
    }

    fn share(&self, expert: u16) -> f64 {
        let expert = usize::from(expert);
        self.tokens[expert] / self.holders[expert].len().max(1) as f64
    }
}

fn ranks_by_expert(layer: &Layer, experts: usize) -> Vec<Vec<usize>> {
    let mut holders = vec![Vec::new(); experts];
    for (rank, rank_experts) in layer.ranks.iter().enumerate() {
        for expert in rank_experts {
            holders[usize::from(*expert)].push(rank);
        }
    }
    holders
}

/// A smooth approximation of the largest of `loads`.
fn smooth_max(loads: &[f64]) -> f64 {
    let largest = loads.iter().copied().fold(0.0, f64::max);
    if largest <= 0.0 {
        return 0.0;
    }
    let sum: f64 = loads.iter().map(|load| (load / largest).powi(NORM_EXPONENT)).sum();
    largest * sum.powf(1.0 / f64::from(NORM_EXPONENT))
}
