//! Decides whether to change the expert map, and to which: each layer changes only as far as the lower skew outweighs
//! the cost of loading replicas.

use serde::Serialize;

use crate::baseline::greedy_layer;
use crate::counts::Counts;
use crate::load::{rank_loads, skew};
use crate::map::{Layer, Map};
use crate::search::{LayerSearch, Path, Point};

/// Smallest decrease of the skew for which a map is changed at all.
const HYSTERESIS: f64 = 0.02;
/// Tokens per expert and layer below which the counts are too few to decide on.
const MIN_TOKENS: f64 = 10.0;

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
    pub slowed: f64,
    /// Largest number of replicas that one change of the map may load.
    pub move_budget: u32,
    /// Whether moves are forbidden at this hour.
    pub quiet: bool,
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
    pub next: Option<Map>,
    /// Reason for the decision.
    pub reason: Reason,
    /// Skew of the current map.
    pub skew_now: f64,
    /// Skew of the next map, or of the best one found.
    pub skew_next: f64,
    /// Replicas that the next map loads.
    pub loads: u32,
    /// Cost of staying.
    pub cost_stay: f64,
    /// Cost of moving.
    pub cost_move: f64,
}

/// Decides whether the group's map changes from `current`, and to which.
pub fn decide(counts: &Counts, present: &Map, costs: &Costs) -> Decision {
    let skew_now = skew(present, counts);
    let stay = |reason| Decision {
        next: None,
        reason,
        skew_now,
        skew_next: skew_now,
        loads: 0,
        cost_stay: costs.weight_skew * (skew_now - 1.0),
        cost_move: f64::INFINITY,
    };
    let shape = counts.shape();
    if counts.total() < MIN_TOKENS * (shape.layers * shape.experts) as f64 {
        return stay(Reason::TooFewTokens);
    }
    if costs.quiet {
        return stay(Reason::QuietHours);
    }
    let next = improve(counts, present, costs);
    let loads = present.loads_of(&next) as u32;
    if loads == 0 {
        return stay(Reason::TooDear);
    }
    let skew_next = skew(&next, counts);
    let cost_move = costs.weight_skew * (skew_next - 1.0) + f64::from(loads) * load_cost(costs);
    let cost_stay = costs.weight_skew * (skew_now - 1.0);
    let reason = if skew_now - skew_next < HYSTERESIS {
        Reason::TooSmall
    } else if cost_move >= cost_stay {
        Reason::TooDear
    } else {
        Reason::Pays
    };
    Decision {
        next: (reason == Reason::Pays).then_some(next),
        reason,
        skew_now,
        skew_next,
        loads,
        cost_stay,
        cost_move,
    }
}

fn load_cost(costs: &Costs) -> f64 {
    costs.weight_move * costs.seconds_per_load * (1.0 + costs.slowed)
}

/// A layer that may change: by changes along a search path, or by one jump to a layer packed from scratch.
///
/// Packing from scratch splits the load into more and smaller replicas, which single changes never reach. Its ranks are
/// matched to the current ones first, so that it loads as few replicas as it can.
struct Candidate<'a> {
    layer: usize,
    search: LayerSearch<'a>,
    path: Path,
    fresh: Layer,
    fresh_point: Point,
}

/// How a candidate changes.
#[derive(Clone, Copy, PartialEq)]
enum Choice {
    /// The first changes of the path.
    Steps(usize),
    /// The layer packed from scratch.
    Fresh,
}

impl<'a> Candidate<'a> {
    fn new(layer: usize, present: &Layer, search: LayerSearch<'a>, budget: u32) -> Self {
        let fresh = relabel(
            &greedy_layer(search.tokens(), present.ranks.len(), search.slots()),
            present,
        );
        let largest = rank_loads(&fresh, search.tokens()).into_iter().fold(0.0, f64::max);
        let loads = present.loads_of(&fresh) as u32;
        Self {
            layer,
            // Changes that load more than the layer packed from scratch, or go below its largest load, cannot be the
            // better choice.
            path: search.clone().path(largest, budget.min(loads)),
            search,
            fresh,
            fresh_point: Point { loads, largest },
        }
    }

    /// The choice of the highest value: the decrease of the largest rank load, less `price` tokens for each replica
    /// that it loads.
    ///
    /// All points of the path are compared, not one change at a time: where many ranks are equally loaded, the first
    /// changes gain next to nothing and only all of them together pay.
    fn choose(&self, price: f64) -> (Choice, Point) {
        let start = self.path.points[0];
        let value = |point: Point| start.largest - point.largest - f64::from(point.loads) * price;
        let steps = self
            .path
            .points
            .iter()
            .enumerate()
            .map(|(count, point)| (Choice::Steps(count), *point));
        let all = steps.chain([(Choice::Fresh, self.fresh_point)]);
        let best = all.max_by(|(_, left), (_, right)| value(*left).total_cmp(&value(*right)));
        best.filter(|(_, point)| value(*point) > 0.0)
            .unwrap_or((Choice::Steps(0), start))
    }

    fn carry_out(self, choice: Choice) -> Layer {
        match choice {
            Choice::Steps(count) => self.search.follow(&self.path, count),
            Choice::Fresh => self.fresh,
        }
    }
}

/// Reorders the ranks of the layer `packed` so that they share as many experts as possible with those of `current`.
fn relabel(fresh: &Layer, present: &Layer) -> Layer {
    let shared = |old: &[u16], new: &[u16]| new.iter().filter(|expert| old.contains(expert)).count();
    let count = present.ranks.len();
    let mut pairs: Vec<(usize, usize, usize)> = Vec::with_capacity(count * count);
    for (old, held) in present.ranks.iter().enumerate() {
        pairs.extend(
            fresh
                .ranks
                .iter()
                .enumerate()
                .map(|(new, packed)| (shared(held, packed), old, new)),
        );
    }
    pairs.sort_unstable_by_key(|(shared, old, new)| (std::cmp::Reverse(*shared), *old, *new));
    let mut ranks: Vec<Option<Vec<u16>>> = vec![None; count];
    let mut used = vec![false; count];
    for (_, old, new) in pairs {
        if ranks[old].is_none() && !used[new] {
            used[new] = true;
            ranks[old] = Some(fresh.ranks[new].clone());
        }
    }
    Layer {
        ranks: ranks.into_iter().map(Option::unwrap_or_default).collect(),
    }
}

/// Changes each layer as far as that pays. If this exceeds the budget, the price of a replica load is raised until it
/// does not.
fn improve(counts: &Counts, present: &Map, costs: &Costs) -> Map {
    const RAISES: usize = 32;
    let mean = counts.total() / counts.shape().ranks as f64;
    // Tokens by which the largest rank loads have to fall for one replica load to be worth its cost.
    let price = load_cost(costs) / costs.weight_skew.max(f64::MIN_POSITIVE) * mean;
    let candidates = candidates(counts, present, costs, price);
    let total = |price: f64| {
        candidates
            .iter()
            .map(|candidate| candidate.choose(price).1.loads)
            .sum::<u32>()
    };
    let mut paid = price;
    if total(price) > costs.move_budget {
        // No replica load is worth more tokens than were counted.
        let (mut low, mut high) = (price, counts.total());
        for _ in 0..RAISES {
            let middle = f64::midpoint(low, high);
            if total(middle) > costs.move_budget {
                low = middle;
            } else {
                high = middle;
            }
        }
        paid = high;
    }
    let mut layers: Vec<Layer> = present.layers.clone();
    for candidate in candidates {
        let (choice, _) = candidate.choose(paid);
        let layer = candidate.layer;
        layers[layer] = candidate.carry_out(choice);
    }
    Map { layers }
}

/// Layers in which at least one replica load could pay.
fn candidates<'a>(counts: &'a Counts, present: &Map, costs: &Costs, price: f64) -> Vec<Candidate<'a>> {
    let shape = counts.shape();
    let search = |(layer, held): (usize, &Layer)| {
        let tokens = counts.layer(layer);
        let search = LayerSearch::new(held, tokens, shape.slots);
        let mean = tokens.iter().sum::<f64>() / shape.ranks as f64;
        if search.largest() - mean <= price {
            return None;
        }
        Some(Candidate::new(layer, held, search, costs.move_budget))
    };
    present.layers.iter().enumerate().filter_map(search).collect()
}
