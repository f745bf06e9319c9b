//! Whether to change the map, and to which: changes are made one by one, each only while it pays for itself.

use std::collections::BinaryHeap;

use serde::Serialize;

use crate::counts::Counts;
use crate::load::skew;
use crate::map::{Layer, Map};
use crate::search::{Change, LayerSearch};

/// Smallest fall of skew for which a map is changed at all.
const HYSTERESIS: f64 = 0.02;
/// Tokens for each expert and layer below which nothing can be told.
const MIN_TOKENS: f64 = 10.0;

/// What a decision weighs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Costs {
    /// Cost of one unit of skew.
    pub weight_skew: f64,
    /// Cost of one second of loading.
    pub weight_move: f64,
    /// Time to load one replica on one rank at the weight store's rate, in seconds.
    pub seconds_per_load: f64,
    /// Share by which answers are slower while a replica loads: it adds to the cost of each second.
    pub slowed: f64,
    /// Replicas that one change of a map may load.
    pub move_budget: u32,
    /// Whether nothing may move at this hour.
    pub quiet: bool,
}

/// Why a decision came out as it did.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// Moving costs less than staying.
    Pays,
    /// No change pays for its loading.
    TooDear,
    /// The gain is within the hysteresis.
    TooSmall,
    /// Nothing moves at this hour.
    QuietHours,
    /// Too few tokens were counted.
    TooFewTokens,
}

/// A decision, also when it is to stay.
#[derive(Debug, Clone, PartialEq)]
pub struct Decision {
    /// The next map; none to stay.
    pub next: Option<Map>,
    /// Why.
    pub reason: Reason,
    /// Skew of the present map.
    pub skew_now: f64,
    /// Skew of the next map, or of the best that was found.
    pub skew_next: f64,
    /// Replicas that the next map loads.
    pub loads: u32,
    /// Cost of staying.
    pub cost_stay: f64,
    /// Cost of moving.
    pub cost_move: f64,
}

/// The best change of one layer, by gain for each load.
struct Offer {
    layer: usize,
    change: Change,
}

impl Offer {
    fn value(&self) -> f64 {
        self.change.gain / f64::from(self.change.loads)
    }
}

impl PartialEq for Offer {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Offer {}

impl PartialOrd for Offer {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Offer {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        let by_value = self.value().total_cmp(&other.value());
        // The same input must lead to the same map in every process.
        by_value.then_with(|| other.layer.cmp(&self.layer))
    }
}

/// Decides whether the group's map changes from `present`, and to what.
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
    let (next, _) = improve(counts, present, costs);
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

/// Makes changes, the one with the largest gain for each load first, while each pays and the budget lasts.
fn improve(counts: &Counts, present: &Map, costs: &Costs) -> (Map, u32) {
    let shape = counts.shape();
    let total_mean = counts.total() / shape.ranks as f64;
    let worth = |change: &Change| {
        let gained = costs.weight_skew * change.gain / total_mean;
        gained > f64::from(change.loads) * load_cost(costs)
    };
    let mut searches: Vec<LayerSearch<'_>> = present
        .layers
        .iter()
        .enumerate()
        .map(|(index, layer)| LayerSearch::new(layer, counts.layer(index), shape.slots))
        .collect();
    let best = |layer: usize, search: &LayerSearch<'_>| search.best().map(|change| Offer { layer, change });
    let mut offers: BinaryHeap<Offer> = searches
        .iter()
        .enumerate()
        .filter_map(|(layer, search)| best(layer, search))
        .collect();
    let mut left = costs.move_budget;
    while let Some(offer) = offers.pop() {
        if !worth(&offer.change) || offer.change.loads > left {
            continue;
        }
        left -= offer.change.loads;
        let search = &mut searches[offer.layer];
        search.apply(offer.change);
        offers.extend(best(offer.layer, search));
    }
    let layers: Vec<Layer> = searches.into_iter().map(LayerSearch::into_layer).collect();
    (Map { layers }, costs.move_budget - left)
}
