//! Placements from scratch, as a baseline for decisions.

use crate::counts::Counts;
use crate::map::{Layer, Map};

/// A map packed from scratch, as published balancers for expert parallelism do it: spare slots go to replicas of the
/// most loaded experts, then replicas are packed, heaviest first, each on the least loaded rank with a free slot.
pub fn greedy_from_scratch(counts: &Counts) -> Map {
    let shape = counts.shape();
    let layers = (0..shape.layers).map(|layer| greedy_layer(counts.layer(layer), shape.ranks, shape.slots));
    Map {
        layers: layers.collect(),
    }
}

/// One layer of [`greedy_from_scratch`].
pub(crate) fn greedy_layer(tokens: &[f64], ranks: usize, slots: usize) -> Layer {
    let replicas = replicate(tokens, ranks, slots);
    let mut pieces: Vec<(f64, u16)> = Vec::new();
    for (expert, count) in replicas.iter().enumerate() {
        let share = tokens[expert] / *count as f64;
        pieces.extend(std::iter::repeat_n((share, expert as u16), *count));
    }
    pieces.sort_by(|left, right| right.0.total_cmp(&left.0).then(left.1.cmp(&right.1)));
    pack(&pieces, ranks, slots)
}

/// Number of replicas of each expert when all slots are used.
fn replicate(tokens: &[f64], ranks: usize, slots: usize) -> Vec<usize> {
    let mut replicas = vec![1; tokens.len()];
    for _ in tokens.len()..ranks * slots {
        let share = |expert: &usize| tokens[*expert] / replicas[*expert] as f64;
        let candidates = (0..tokens.len()).filter(|expert| replicas[*expert] < ranks);
        let hottest = candidates.max_by(|left, right| share(left).total_cmp(&share(right)));
        let Some(hottest) = hottest else { break };
        replicas[hottest] += 1;
    }
    replicas
}

fn pack(pieces: &[(f64, u16)], ranks: usize, slots: usize) -> Layer {
    let mut held: Vec<Vec<u16>> = vec![Vec::new(); ranks];
    let mut loads = vec![0.0_f64; ranks];
    for (share, expert) in pieces {
        let fits = |rank: &usize| held[*rank].len() < slots && !held[*rank].contains(expert);
        let rank = (0..ranks)
            .filter(fits)
            .min_by(|left, right| loads[*left].total_cmp(&loads[*right]));
        // A replica that fits on no rank is left out. It may be the first one of its expert, so a second pass places
        // experts that are missing.
        let Some(rank) = rank else { continue };
        held[rank].push(*expert);
        loads[rank] += share;
    }
    place_missing(pieces, &mut held);
    Layer { ranks: held }
}

/// Gives each expert without a replica the slot of an expert that has more than one.
fn place_missing(pieces: &[(f64, u16)], held: &mut [Vec<u16>]) {
    for (_, expert) in pieces {
        if held.iter().any(|rank| rank.contains(expert)) {
            continue;
        }
        let copies = |held: &[Vec<u16>], other: u16| held.iter().filter(|rank| rank.contains(&other)).count();
        let place = (0..held.len()).find_map(|rank| {
            let spare = held[rank].iter().position(|other| copies(held, *other) > 1)?;
            Some((rank, spare))
        });
        if let Some((rank, spare)) = place {
            held[rank][spare] = *expert;
        }
    }
}
