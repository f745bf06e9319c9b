//! Local search in one layer: finds the single change of the current placement that helps most, again and again.

use crate::load::rank_loads;
use crate::map::Layer;

/// Exponent of the norm that approximates the largest rank load; it also rewards lowering ranks that are nearly
/// largest.
const NORM: i32 = 16;
/// Share of the norm by which a change must lower it; less is noise.
const MIN_GAIN: f64 = 5e-4;
/// Heaviest experts of the most loaded rank that are tried.
const EXPERTS: usize = 8;
/// Most loaded ranks that are tried, one after the other, until a change helps one.
const HOT_RANKS: usize = 1;
/// Least loaded ranks that are tried as destinations.
const RANKS: usize = 4;

/// One layer with the loads and holders that the search keeps up to date.
#[derive(Debug, Clone)]
pub(crate) struct LayerSearch<'a> {
    layer: Layer,
    tokens: &'a [f64],
    slots: usize,
    /// Ranks that hold each expert.
    holders: Vec<Vec<usize>>,
    loads: Vec<f64>,
}

/// A change of one layer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Change {
    /// Expert that gets another replica.
    expert: u16,
    /// Rank that loads it.
    to: usize,
    /// How the expert gets a slot on that rank.
    slot: Slot,
    /// Rank that drops its replica of the expert, if the expert is moved rather than copied.
    leaves: Option<usize>,
    /// Decrease of the norm of the rank loads, in tokens.
    gain: f64,
    /// Replicas that have to be loaded.
    loads: u32,
}

/// Successive changes of one layer and the point that each leads to.
#[derive(Debug, Clone)]
pub(crate) struct Path {
    changes: Vec<Change>,
    /// Points before the first change and after each one.
    pub(crate) points: Vec<Point>,
}

/// State of a layer along a path.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Point {
    /// Replicas loaded so far.
    pub(crate) loads: u32,
    /// Largest rank load, in tokens.
    pub(crate) largest: f64,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Slot {
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
            holders: holders(layer, tokens.len()),
            loads: rank_loads(layer, tokens),
            layer: layer.clone(),
            tokens,
            slots,
        }
    }

    /// Applies the best change again and again, until none helps, the largest load is down to `goal`, or `budget`
    /// replicas are loaded.
    pub(crate) fn path(mut self, goal: f64, budget: u32) -> Path {
        let mut loads = 0;
        let mut path = Path {
            changes: Vec::new(),
            points: vec![self.point(0)],
        };
        while let Some(change) = self.best() {
            loads += change.loads;
            if loads > budget {
                return path;
            }
            self.apply(change);
            path.changes.push(change);
            path.points.push(self.point(loads));
            if self.largest() <= goal {
                return path;
            }
        }
        path
    }

    /// The layer after the first `count` changes of `path`.
    pub(crate) fn follow(mut self, path: &Path, count: usize) -> Layer {
        for change in &path.changes[..count] {
            self.edit(*change);
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
    pub(crate) fn largest(&self) -> f64 {
        self.loads.iter().copied().fold(0.0, f64::max)
    }

    fn point(&self, loads: u32) -> Point {
        let largest = self.largest();
        Point { loads, largest }
    }

    /// The change with the largest gain per replica load, if any gains.
    fn best(&self) -> Option<Change> {
        let before = norm(&self.loads);
        let hottest = self.hottest();
        hottest.into_iter().find_map(|hot| self.best_from(hot, before))
    }

    fn best_from(&self, hot: usize, before: f64) -> Option<Change> {
        let mut best: Option<Change> = None;
        for expert in self.heaviest_on(hot) {
            for to in self.coolest(hot) {
                if self.layer.ranks[to].contains(&expert) {
                    continue;
                }
                for change in self.changes(expert, hot, to) {
                    let gain = before - norm(&self.loads_after(change));
                    let better =
                        best.is_none_or(|best| gain / f64::from(change.loads) > best.gain / f64::from(best.loads));
                    if gain > before * MIN_GAIN && better {
                        best = Some(Change { gain, ..change });
                    }
                }
            }
        }
        best
    }

    /// Applies `change` and updates loads and holders.
    fn apply(&mut self, change: Change) {
        self.loads = self.loads_after(change);
        self.edit(change);
        self.move_holder(change.expert, Some(change.to), change.leaves);
        match change.slot {
            Slot::Free => {}
            Slot::Evict(gone) => self.move_holder(gone, None, Some(change.to)),
            Slot::Swap(back) => self.move_holder(back, change.leaves, Some(change.to)),
        }
    }

    fn move_holder(&mut self, expert: u16, gets: Option<usize>, loses: Option<usize>) {
        let holders = &mut self.holders[usize::from(expert)];
        holders.retain(|rank| Some(*rank) != loses);
        holders.extend(gets);
    }

    fn edit(&mut self, change: Change) {
        match change.slot {
            Slot::Free => {}
            Slot::Evict(gone) | Slot::Swap(gone) => self.layer.ranks[change.to].retain(|held| *held != gone),
        }
        self.layer.ranks[change.to].push(change.expert);
        if let Some(from) = change.leaves {
            self.layer.ranks[from].retain(|held| *held != change.expert);
            if let Slot::Swap(expert) = change.slot {
                self.layer.ranks[from].push(expert);
            }
        }
    }

    /// Rank loads after `change`; only holders of the experts that move are updated.
    fn loads_after(&self, change: Change) -> Vec<f64> {
        let mut loads = self.loads.clone();
        self.shift(&mut loads, change.expert, Some(change.to), change.leaves);
        match change.slot {
            Slot::Free => {}
            Slot::Evict(gone) => self.shift(&mut loads, gone, None, Some(change.to)),
            Slot::Swap(back) => self.shift(&mut loads, back, change.leaves, Some(change.to)),
        }
        loads
    }

    /// Redistributes the tokens of `expert` when a rank gains a replica, another loses one, or both.
    fn shift(&self, loads: &mut [f64], expert: u16, gets: Option<usize>, loses: Option<usize>) {
        let expert = usize::from(expert);
        let holders = &self.holders[expert];
        let count = holders.len() + usize::from(gets.is_some()) - usize::from(loses.is_some());
        let before = self.tokens[expert] / holders.len().max(1) as f64;
        let after = self.tokens[expert] / count.max(1) as f64;
        for holder in holders {
            loads[*holder] -= before;
            if Some(*holder) != loses {
                loads[*holder] += after;
            }
        }
        if let Some(rank) = gets {
            loads[rank] += after;
        }
    }

    fn hottest(&self) -> Vec<usize> {
        let mut ranks: Vec<usize> = (0..self.loads.len()).collect();
        ranks.sort_by(|left, right| self.loads[*right].total_cmp(&self.loads[*left]));
        ranks.truncate(HOT_RANKS);
        ranks
    }

    fn heaviest_on(&self, rank: usize) -> Vec<u16> {
        let mut held = self.layer.ranks[rank].clone();
        held.sort_by(|left, right| self.share(*right).total_cmp(&self.share(*left)));
        held.truncate(EXPERTS);
        held
    }

    fn coolest(&self, not: usize) -> Vec<usize> {
        let mut ranks: Vec<usize> = (0..self.loads.len()).filter(|rank| *rank != not).collect();
        ranks.sort_by(|left, right| self.loads[*left].total_cmp(&self.loads[*right]));
        ranks.truncate(RANKS);
        ranks
    }

    /// Changes that bring `expert` from rank `source` to `destination`: another replica, or a move, if need be in
    /// exchange for a lighter expert.
    fn changes(&self, expert: u16, hot: usize, to: usize) -> Vec<Change> {
        let change = |slot, leaves, loads| Change {
            expert,
            to,
            slot,
            leaves,
            gain: 0.0,
            loads,
        };
        let held = &self.layer.ranks[to];
        let mut found = Vec::new();
        if held.len() < self.slots {
            found.push(change(Slot::Free, None, 1));
            found.push(change(Slot::Free, Some(hot), 1));
        }
        if let Some(spare) = self.lightest(to, |other| self.holders[usize::from(other)].len() > 1) {
            found.push(change(Slot::Evict(spare), None, 1));
        }
        let fits_back = |other: u16| !self.layer.ranks[hot].contains(&other);
        if let Some(light) = self.lightest(to, fits_back) {
            found.push(change(Slot::Swap(light), Some(hot), 2));
        }
        found
    }

    fn lightest(&self, rank: usize, allowed: impl Fn(u16) -> bool) -> Option<u16> {
        let held = self.layer.ranks[rank].iter().copied().filter(|expert| allowed(*expert));
        held.min_by(|left, right| self.share(*left).total_cmp(&self.share(*right)))
    }

    fn share(&self, expert: u16) -> f64 {
        let expert = usize::from(expert);
        self.tokens[expert] / self.holders[expert].len().max(1) as f64
    }
}

fn holders(layer: &Layer, experts: usize) -> Vec<Vec<usize>> {
    let mut holders = vec![Vec::new(); experts];
    for (rank, held) in layer.ranks.iter().enumerate() {
        for expert in held {
            holders[usize::from(*expert)].push(rank);
        }
    }
    holders
}

/// A smooth approximation of the largest of `loads`.
fn norm(loads: &[f64]) -> f64 {
    let largest = loads.iter().copied().fold(0.0, f64::max);
    if largest <= 0.0 {
        return 0.0;
    }
    let sum: f64 = loads.iter().map(|load| (load / largest).powi(NORM)).sum();
    largest * sum.powf(1.0 / f64::from(NORM))
}
