//! Placements from scratch, as a baseline for decisions.

use crate::counts::TokenCounts;
use crate::map::{Layer, Map};

/// A map packed from scratch, as published balancers for expert parallelism do it: spare slots go to replicas of the
/// most loaded experts, then replicas are packed, heaviest first, each on the least loaded rank with a free slot.
pub fn greedy_from_scratch(counts: &TokenCounts) -> Map {
    let shape = counts.shape();
    let layers = (0..shape.layers).map(|layer| greedy_layer(counts.layer(layer), shape.ranks, shape.slots));
    Map {
        layers: layers.collect(),
    }
}

/// One layer of [`greedy_from_scratch`].
pub(crate) fn greedy_layer(tokens: &[f64], ranks: usize, slots: usize) -> Layer {
    let replica_counts = count_replicas(tokens, ranks, slots);
    let mut shares: Vec<(f64, u16)> = Vec::new();
    for (expert, count) in replica_counts.iter().enumerate() {
        let share = tokens[expert] / *count as f64;
        shares.extend(std::iter::repeat_n((share, expert as u16), *count));
    }
    shares.sort_by(|left, right| right.0.total_cmp(&left.0).then(left.1.cmp(&right.1)));
    pack(&shares, ranks, slots)
}

/// Number of replicas of each expert when all slots are used.
fn count_replicas(tokens: &[f64], ranks: usize, slots: usize) -> Vec<usize> {
    let mut replica_counts = vec![1; tokens.len()];
    for _ in tokens.len()..ranks * slots {
        let share = |expert: &usize| tokens[*expert] / replica_counts[*expert] as f64;
        let candidates = (0..tokens.len()).filter(|expert| replica_counts[*expert] < ranks);
        let most_loaded = candidates.max_by(|left, right| share(left).total_cmp(&share(right)));
        let Some(most_loaded) = most_loaded else { break };
        replica_counts[most_loaded] += 1;
    }
    replica_counts
}

fn pack(shares: &[(f64, u16)], ranks: usize, slots: usize) -> Layer {
    let mut experts_by_rank: Vec<Vec<u16>> = vec![Vec::new(); ranks];
    let mut rank_loads = vec![0.0_f64; ranks];
    for (share, expert) in shares {
        let fits = |rank: &usize| experts_by_rank[*rank].len() < slots && !experts_by_rank[*rank].contains(expert);
        let rank = (0..ranks)
            .filter(fits)
            .min_by(|left, right| rank_loads[*left].total_cmp(&rank_loads[*right]));
        // A replica that fits on no rank is left out. It may be the first one of its expert, so a second pass places
        // experts that are missing.
        let Some(rank) = rank else { continue };
        experts_by_rank[rank].push(*expert);
        rank_loads[rank] += share;
    }
    place_missing_experts(shares, &mut experts_by_rank);
    Layer { ranks: experts_by_rank }
}

/// Gives each expert without a replica the slot of an expert that has more than one.
fn place_missing_experts(shares: &[(f64, u16)], experts_by_rank: &mut [Vec<u16>]) {
    for (_, expert) in shares {
        if experts_by_rank.iter().any(|rank| rank.contains(expert)) {
            continue;
        }
        let replica_count = |experts_by_rank: &[Vec<u16>], other: u16| {
            experts_by_rank.iter().filter(|rank| rank.contains(&other)).count()
        };
        let slot = (0..experts_by_rank.len()).find_map(|rank| {
            let position = experts_by_rank[rank]
                .iter()
                .position(|other| replica_count(experts_by_rank, *other) > 1)?;
            Some((rank, position))
        });
        if let Some((rank, position)) = slot {
            experts_by_rank[rank][position] = *expert;
        }
    }
}
