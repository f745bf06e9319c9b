//! A few loads balance a group; every change keeps within its limits and keeps at least one replica of every expert.

use std::time::Duration;

use quickcheck::{Gen, QuickCheck};
use sparscale_place::{LoadLimits, Map, Popularity, Shape, Trend, mean_skew, refine, sample_skew};

const SHAPE: Shape = Shape {
    ranks: 12,
    layers: 4,
    experts: 72,
    slots: 8,
};

/// Demand that falls steeply from expert to expert, in an order shuffled by `seed`.
fn demand(seed: u64) -> Vec<f64> {
    let mut sample = Vec::new();
    for set in 0..SHAPE.layers as u64 {
        let mut experts: Vec<usize> = (0..SHAPE.experts).collect();
        let mut state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (set + 1);
        for index in (1..experts.len()).rev() {
            state = state
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            experts.swap(index, (state >> 33) as usize % (index + 1));
        }
        let mut tokens = vec![0.0; SHAPE.experts];
        for (position, expert) in experts.into_iter().enumerate() {
            tokens[expert] = 20_000.0 / (1.0 + position as f64).powf(1.2);
        }
        sample.extend(tokens);
    }
    sample
}

fn popularity(seed: u64) -> Popularity {
    let mut popularity = Popularity::new(SHAPE.layers, SHAPE.experts, Duration::from_secs(2));
    popularity.observe(&demand(seed), Duration::from_millis(100));
    popularity
}

const ONE_LOAD_PER_RANK: LoadLimits = LoadLimits {
    loads_per_rank: 1,
    loads_per_set: 3,
};

#[test]
fn limits_kept() {
    fn keeps_limits(seed: u64, per_rank: u8, rounds: u8) -> bool {
        let limits = LoadLimits {
            loads_per_rank: usize::from(per_rank % 4) + 1,
            loads_per_set: 3,
        };
        let mut map = Map::initial(SHAPE);
        for round in 0..=u64::from(rounds % 5) {
            let popularity = popularity(seed.wrapping_add(round));
            let refined = refine(&popularity, &map, SHAPE, limits, &[]);
            let loads = map.replicas_to_load(&refined.map);
            let new_expert_counts = |rank: usize| {
                let layers = map.layers.iter().zip(&refined.map.layers);
                let new = layers.map(|(old, new)| {
                    let old_experts = &old.ranks[rank];
                    new.ranks[rank]
                        .iter()
                        .filter(|expert| !old_experts.contains(expert))
                        .count()
                });
                new.collect::<Vec<usize>>()
            };
            let is_within = (0..SHAPE.ranks).all(|rank| {
                let new = new_expert_counts(rank);
                new.iter().sum::<usize>() <= limits.loads_per_rank && new.iter().all(|new| *new <= limits.loads_per_set)
            });
            let is_better = refined.skew_after <= refined.skew_before + 1e-9;
            if !refined.map.fits(SHAPE) || !is_within || !is_better || loads > refined.replica_loads as usize {
                return false;
            }
            map = refined.map;
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 61))
        .tests(300)
        .quickcheck(keeps_limits as fn(u64, u8, u8) -> bool);
}

#[test]
fn few_loads_suffice() {
    let mut map = Map::initial(SHAPE);
    for seed in 0..20 {
        let popularity = popularity(seed);
        let before = mean_skew(&popularity, &map, SHAPE, &[]);
        for _ in 0..4 {
            map = refine(&popularity, &map, SHAPE, ONE_LOAD_PER_RANK, &[]).map;
        }
        let after = mean_skew(&popularity, &map, SHAPE, &[]);
        assert!(after < 1.35, "seed {seed}: from {before} to {after}");
    }
}

#[test]
fn shift_replaces_counts() {
    let mut popularity = popularity(1);
    let span = Duration::from_millis(100);
    assert_eq!(popularity.observe(&demand(1), span), Trend::Steady);
    assert_eq!(popularity.observe(&demand(2), span), Trend::Shifted);
    assert_eq!(popularity.counts_of_set(0), &demand(2)[..SHAPE.experts]);
    assert_eq!(popularity.observe(&demand(2), span), Trend::Steady);
}

/// A shift in the middle of a sample: selections from before the shift do not count as new demand.
#[test]
fn shift_within_sample() {
    let mut popularity = popularity(1);
    let span = Duration::from_millis(100);
    let (old, new) = (demand(1), demand(2));
    let mixed: Vec<f64> = old.iter().zip(&new).map(|(old, new)| 0.6 * old + 0.4 * new).collect();
    assert_eq!(popularity.observe(&mixed, span), Trend::Shifted);
    let distance_to_new = |popularity: &Popularity| {
        let seen = popularity.counts_of_set(0);
        let (seen_sum, new_sum): (f64, f64) = (seen.iter().sum(), new[..SHAPE.experts].iter().sum());
        let pairs = seen.iter().zip(&new);
        pairs
            .map(|(seen, new)| (seen / seen_sum - new / new_sum).abs())
            .sum::<f64>()
    };
    // Unfiltered, the sample would be more than 0.6 away from the new demand, on a scale from 0 to 2.
    assert!(distance_to_new(&popularity) < 0.15, "{}", distance_to_new(&popularity));
}

#[test]
fn small_sample_ignored() {
    let mut popularity = popularity(1);
    let small: Vec<f64> = demand(2).iter().map(|tokens| tokens / 1_000.0).collect();
    assert_eq!(popularity.observe(&small, Duration::from_millis(100)), Trend::TooSmall);
    assert_eq!(popularity.observe(&[1.0], Duration::from_millis(100)), Trend::TooSmall);
}

/// The observed skew is that of the sample alone: after a shift it is larger than the skew that was expected.
#[test]
fn skew_of_one_sample() {
    let old = popularity(1);
    let map = refine(&old, &Map::initial(SHAPE), SHAPE, ONE_LOAD_PER_RANK, &[]).map;
    let expected = mean_skew(&old, &map, SHAPE, &[]);
    let observed = |seed| sample_skew(&demand(seed), &map, SHAPE, &[]);
    assert!((observed(1) - expected).abs() < 1e-9, "{} {expected}", observed(1));
    assert!(observed(2) > expected + 0.5, "{} {expected}", observed(2));
}

/// A rank with a slowdown of six gets little load; the other ranks share the remainder.
#[test]
fn straggler_relieved() {
    let popularity = popularity(5);
    let mut slowdowns = [1.0; SHAPE.ranks];
    let mut map = Map::initial(SHAPE);
    for _ in 0..6 {
        map = refine(&popularity, &map, SHAPE, ONE_LOAD_PER_RANK, &slowdowns).map;
    }
    slowdowns[3] = 6.0;
    let before = mean_skew(&popularity, &map, SHAPE, &slowdowns);
    for _ in 0..6 {
        map = refine(&popularity, &map, SHAPE, ONE_LOAD_PER_RANK, &slowdowns).map;
    }
    let after = mean_skew(&popularity, &map, SHAPE, &slowdowns);
    assert!(before > 4.0 && after < 1.6, "from {before} to {after}");
}
