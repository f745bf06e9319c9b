//! Decides whether to change the expert map, and to which: each layer changes only as far as the lower skew outweighs
//! the cost of loading replicas.

use serde::Serialize;

use crate::baseline::greedy_layer;
use crate::counts::TokenCounts;
use crate::load::{rank_loads, skew};
use crate::map::{Layer, Map};
use crate::search::{LayerSearch, PathPoint, SearchPath};

/// Smallest decrease of the skew for which a map is changed at all.
const HYSTERESIS_SKEW: f64 = 0.02;
/// Tokens per expert and layer below which the counts are too few to decide on.
const MIN_TOKENS_PER_EXPERT: f64 = 10.0;

/// Costs that a decision compares.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Costs {
    /// Cost of one unit of skew.
    pub weight_skew: f64,
    /// Cost of one second of loading.
    pub weight_move: f64,
    /// Time to load one replica on one rank at the weight store's rate, in seconds.
    pub seconds_per_load: f64,
    /// Share by which responses are slower while a replica loads; it adds to the cost of each second.
    pub slowdown_share: f64,
    /// Largest number of replicas that one change of the map may load.
    pub move_budget: u32,
    /// Whether moves are forbidden at this hour.
    pub in_quiet_hours: bool,
}

/// Reason for a decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// Moving costs less than staying.
    Pays,
    /// No change is worth its loading cost.
    TooDear,
    /// The gain is within the hysteresis.
    TooSmall,
    /// Moves are forbidden at this hour.
    QuietHours,
    /// Too few tokens were counted.
    TooFewTokens,
}

/// A decision to move to another map or to stay.
#[derive(Debug, Clone, PartialEq)]
pub struct Decision {
    /// The next map; none to stay.
    pub next_map: Option<Map>,
    /// Reason for the decision.
    pub reason: Reason,
    /// Skew of the current map.
    pub skew_now: f64,
    /// Skew of the next map, or of the best one found.
    pub skew_next: f64,
    /// Replicas that the next map loads.
    pub replica_loads: u32,
    /// Cost of staying.
    pub cost_stay: f64,
    /// Cost of moving.
    pub cost_move: f64,
}

/// Decides whether the group's map changes from `current`, and to which.
pub fn decide(counts: &TokenCounts, current: &Map, costs: &Costs) -> Decision {
    let skew_now = skew(current, counts);
    let stay = |reason| Decision {
        next_map: None,
        reason,
        skew_now,
        skew_next: skew_now,
        replica_loads: 0,
        cost_stay: costs.weight_skew * (skew_now - 1.0),
        cost_move: f64::INFINITY,
    };
    let shape = counts.shape();
    if counts.total() < MIN_TOKENS_PER_EXPERT * (shape.layers * shape.experts) as f64 {
        return stay(Reason::TooFewTokens);
    }
    if costs.in_quiet_hours {
        return stay(Reason::QuietHours);
    }
    let next = improve_map(counts, current, costs);
    let loads = current.replicas_to_load(&next) as u32;
    if loads == 0 {
        return stay(Reason::TooDear);
    }
    let skew_next = skew(&next, counts);
    let cost_move = costs.weight_skew * (skew_next - 1.0) + f64::from(loads) * replica_load_cost(costs);
    let cost_stay = costs.weight_skew * (skew_now - 1.0);
    let reason = if skew_now - skew_next < HYSTERESIS_SKEW {
        Reason::TooSmall
    } else if cost_move >= cost_stay {
        Reason::TooDear
    } else {
        Reason::Pays
    };
    Decision {
        next_map: (reason == Reason::Pays).then_some(next),
        reason,
        skew_now,
        skew_next,
        replica_loads: loads,
        cost_stay,
        cost_move,
    }
}

fn replica_load_cost(costs: &Costs) -> f64 {
    costs.weight_move * costs.seconds_per_load * (1.0 + costs.slowdown_share)
}

/// A layer that may change: by changes along a search path, or by one jump to a layer packed from scratch.
///
/// Packing from scratch splits the load into more and smaller replicas, which single changes never reach. Its ranks are
/// matched to the current ones first, so that it loads as few replicas as it can.
struct Candidate<'a> {
    layer_index: usize,
    search: LayerSearch<'a>,
    path: SearchPath,
    packed: Layer,
    packed_point: PathPoint,
}

/// How a candidate changes.
#[derive(Clone, Copy, PartialEq)]
enum Choice {
    /// The first changes of the path.
    PathSteps(usize),
    /// The layer packed from scratch.
    Packed,
}

impl<'a> Candidate<'a> {
    fn new(layer_index: usize, current: &Layer, search: LayerSearch<'a>, budget: u32) -> Self {
        let packed = match_ranks(
            &greedy_layer(search.tokens(), current.ranks.len(), search.slots()),
            current,
        );
        let max_rank_load = rank_loads(&packed, search.tokens()).into_iter().fold(0.0, f64::max);
        let replica_loads = current.replicas_to_load(&packed) as u32;
        Self {
            layer_index,
            // Changes that load more than the layer packed from scratch, or go below its largest load, cannot be the
            // better choice.
            path: search.clone().path(max_rank_load, budget.min(replica_loads)),
            search,
            packed,
            packed_point: PathPoint {
                replica_loads,
                max_rank_load,
            },
        }
    }

    /// The choice of the highest value: the decrease of the largest rank load, less `price` tokens for each replica
    /// that it loads.
    ///
    /// All points of the path are compared, not one change at a time: where many ranks are equally loaded, the first
    /// changes gain next to nothing and only all of them together pay.
    fn choose(&self, price: f64) -> (Choice, PathPoint) {
        let start = self.path.points[0];
        let value =
            |point: PathPoint| start.max_rank_load - point.max_rank_load - f64::from(point.replica_loads) * price;
        let path_choices = self
            .path
            .points
            .iter()
            .enumerate()
            .map(|(count, point)| (Choice::PathSteps(count), *point));
        let choices = path_choices.chain([(Choice::Packed, self.packed_point)]);
        let best = choices.max_by(|(_, left), (_, right)| value(*left).total_cmp(&value(*right)));
        best.filter(|(_, point)| value(*point) > 0.0)
            .unwrap_or((Choice::PathSteps(0), start))
    }

    fn into_layer(self, choice: Choice) -> Layer {
        match choice {
            Choice::PathSteps(count) => self.search.follow(&self.path, count),
            Choice::Packed => self.packed,
        }
    }
}

/// Reorders the ranks of the layer `packed`, greedily, so that they share many experts with those of `current`.
fn match_ranks(packed: &Layer, current: &Layer) -> Layer {
    let shared = |old: &[u16], new: &[u16]| new.iter().filter(|expert| old.contains(expert)).count();
    let count = current.ranks.len();
    let mut pairs: Vec<(usize, usize, usize)> = Vec::with_capacity(count * count);
    for (old, old_experts) in current.ranks.iter().enumerate() {
        pairs.extend(
            packed
                .ranks
                .iter()
                .enumerate()
                .map(|(new, new_experts)| (shared(old_experts, new_experts), old, new)),
        );
    }
    pairs.sort_unstable_by_key(|(shared, old, new)| (std::cmp::Reverse(*shared), *old, *new));
    let mut ranks: Vec<Option<Vec<u16>>> = vec![None; count];
    let mut is_used = vec![false; count];
    for (_, old, new) in pairs {
        if ranks[old].is_none() && !is_used[new] {
            is_used[new] = true;
            ranks[old] = Some(packed.ranks[new].clone());
        }
    }
    Layer {
        ranks: ranks.into_iter().map(Option::unwrap_or_default).collect(),
    }
}

/// Changes each layer as far as that pays. If this exceeds the budget, the price of a replica load is raised until it
/// does not.
fn improve_map(counts: &TokenCounts, current: &Map, costs: &Costs) -> Map {
    const PRICE_SEARCH_STEPS: usize = 32;
    let mean_rank_load = counts.total() / counts.shape().ranks as f64;
    // Tokens by which the largest rank loads have to fall for one replica load to be worth its cost.
    let price = replica_load_cost(costs) / costs.weight_skew.max(f64::MIN_POSITIVE) * mean_rank_load;
    let candidates = candidates(counts, current, costs, price);
    let total_loads = |price: f64| {
        candidates
            .iter()
            .map(|candidate| candidate.choose(price).1.replica_loads)
            .sum::<u32>()
    };
    let mut final_price = price;
    if total_loads(price) > costs.move_budget {
        // No replica load is worth more tokens than were counted.
        let (mut low, mut high) = (price, counts.total());
        for _ in 0..PRICE_SEARCH_STEPS {
            let middle = f64::midpoint(low, high);
            if total_loads(middle) > costs.move_budget {
                low = middle;
            } else {
                high = middle;
            }
        }
        final_price = high;
    }
    let mut layers: Vec<Layer> = current.layers.clone();
    for candidate in candidates {
        let (choice, _) = candidate.choose(final_price);
        let layer_index = candidate.layer_index;
        layers[layer_index] = candidate.into_layer(choice);
    }
    Map { layers }
}

/// Layers in which at least one replica load could pay.
fn candidates<'a>(counts: &'a TokenCounts, current: &Map, costs: &Costs, price: f64) -> Vec<Candidate<'a>> {
    let shape = counts.shape();
    let candidate = |(layer_index, layer): (usize, &Layer)| {
        let tokens = counts.layer(layer_index);
        let search = LayerSearch::new(layer, tokens, shape.slots);
        let mean_rank_load = tokens.iter().sum::<f64>() / shape.ranks as f64;
        if search.max_rank_load() - mean_rank_load <= price {
            return None;
        }
        Some(Candidate::new(layer_index, layer, search, costs.move_budget))
    };
    current.layers.iter().enumerate().filter_map(candidate).collect()
}
