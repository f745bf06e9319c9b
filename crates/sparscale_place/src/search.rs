//! Local search in one layer: the one change of the present map that helps most.

use crate::load::{rank_loads, replica_counts};
use crate::map::Layer;

/// Exponent of the norm that stands for the largest rank load; it also rewards lowering ranks that are nearly largest.
const NORM: i32 = 16;
/// Experts of the most loaded rank that are looked at.
const EXPERTS: usize = 8;
/// Least loaded ranks that are looked at.
const RANKS: usize = 6;

/// One layer with what the search needs to know about it.
#[derive(Debug, Clone)]
pub(crate) struct LayerSearch<'a> {
    layer: Layer,
    tokens: &'a [f64],
    slots: usize,
    replicas: Vec<u32>,
    loads: Vec<f64>,
}

/// A change of one layer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Change {
    /// Expert that gets another replica.
    expert: u16,
    /// Rank that it is loaded on.
    to: usize,
    /// What happens to the slot that it takes.
    slot: Slot,
    /// Whether the replica on the most loaded rank goes, and from where.
    leaves: Option<usize>,
    /// By how much the largest load falls, in tokens.
    pub(crate) gain: f64,
    /// Replicas that have to be loaded.
    pub(crate) loads: u32,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Slot {
    /// It is free.
    Free,
    /// A replica of this expert goes; others are left.
    Evict(u16),
    /// This expert takes the place that the moved one leaves.
    Swap(u16),
}

impl<'a> LayerSearch<'a> {
    pub(crate) fn new(layer: &Layer, tokens: &'a [f64], slots: usize) -> Self {
        Self {
            replicas: replica_counts(layer, tokens.len()),
            loads: rank_loads(layer, tokens),
            layer: layer.clone(),
            tokens,
            slots,
        }
    }

    pub(crate) fn into_layer(self) -> Layer {
        self.layer
    }

    /// The change with the largest gain for each load, if any gains.
    pub(crate) fn best(&self) -> Option<Change> {
        let hot = self.hottest()?;
        let before = norm(&self.loads);
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
                    if gain > 0.0 && better {
                        best = Some(Change { gain, ..change });
                    }
                }
            }
        }
        best
    }

    /// Carries `change` out.
    pub(crate) fn apply(&mut self, change: Change) {
        self.edit(change);
        self.replicas = replica_counts(&self.layer, self.tokens.len());
        self.loads = rank_loads(&self.layer, self.tokens);
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

    fn loads_after(&self, change: Change) -> Vec<f64> {
        let mut after = self.clone();
        after.edit(change);
        rank_loads(&after.layer, self.tokens)
    }

    fn hottest(&self) -> Option<usize> {
        (0..self.loads.len()).max_by(|left, right| self.loads[*left].total_cmp(&self.loads[*right]))
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

    /// Ways to bring `expert` from `hot` to `to`: another replica, or a move in exchange for a lighter expert.
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
        if let Some(spare) = self.lightest(to, |other| self.replicas[usize::from(other)] > 1) {
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
        self.tokens[expert] / f64::from(self.replicas[expert].max(1))
    }
}

/// A smooth stand-in for the largest of `loads`.
fn norm(loads: &[f64]) -> f64 {
    let largest = loads.iter().copied().fold(0.0, f64::max);
    if largest <= 0.0 {
        return 0.0;
    }
    let sum: f64 = loads.iter().map(|load| (load / largest).powi(NORM)).sum();
    largest * sum.powf(1.0 / f64::from(NORM))
}
