//! How evenly an expert map spreads load over the ranks.

use crate::counts::TokenCounts;
use crate::map::{Layer, Map};

/// Step-time skew of `map` under `counts`: the sum over layers of the largest rank load, divided by the sum of the mean
/// rank loads. Every layer ends with a barrier, so each layer waits for its own slowest rank. 1 is perfect balance.
pub fn skew(map: &Map, counts: &TokenCounts) -> f64 {
    let mut sum_of_largest = 0.0;
    let mut sum_of_means = 0.0;
    for (index, layer) in map.layers.iter().enumerate() {
        let tokens = counts.layer(index);
        let rank_loads = rank_loads(layer, tokens);
        sum_of_largest += rank_loads.iter().copied().fold(0.0, f64::max);
        sum_of_means += tokens.iter().sum::<f64>() / rank_loads.len().max(1) as f64;
    }
    if sum_of_means > 0.0 {
        sum_of_largest / sum_of_means
    } else {
        1.0
    }
}

/// Load of each rank in one layer, in tokens: an expert's tokens are spread evenly over its replicas.
pub(crate) fn rank_loads(layer: &Layer, tokens: &[f64]) -> Vec<f64> {
    let replicas = replica_counts(layer, tokens.len());
    let share = |expert: &u16| {
        let expert = usize::from(*expert);
        tokens[expert] / f64::from(replicas[expert].max(1))
    };
    layer
        .ranks
        .iter()
        .map(|experts| experts.iter().map(share).sum())
        .collect()
}

/// Number of replicas of each expert.
fn replica_counts(layer: &Layer, experts: usize) -> Vec<u32> {
    let mut replicas = vec![0; experts];
    for expert in layer.ranks.iter().flatten() {
        replicas[usize::from(*expert)] += 1;
    }
    replicas
}
