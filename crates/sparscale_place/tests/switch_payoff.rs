//! A switch loads as many experts per rank as pays off: many where loads are fast, few where they are slow or where the
//! map takes long to reach all ranks.

use std::time::{Duration, Instant};

use sparscale_place::payoff::{Link, Staging, best_candidate};
use sparscale_place::{LoadLimits, Map, Popularity, Refinement, Shape, refine};

const HORIZON_MS: f64 = 900.0;
const OVERHEAD_MS: f64 = 30.0;
/// A link of 8 Mbit/s, of which maps get 0.6.
const LINK: Link = Link {
    bytes_per_ms: 600.0,
    burst_bytes: 8_192.0,
};
const LARGE: Shape = Shape {
    ranks: 72,
    layers: 12,
    experts: 144,
    slots: 3,
};
const LARGEST: Shape = Shape {
    ranks: 129,
    layers: 16,
    experts: 258,
    slots: 3,
};
const SMALL: Shape = Shape {
    ranks: 12,
    layers: 4,
    experts: 72,
    slots: 8,
};

fn staging(load_ms: f64) -> Staging {
    Staging {
        spare_per_set: 2,
        load_ms,
        overhead_ms: OVERHEAD_MS,
        link: LINK,
    }
}

/// A linear congruential generator: demand differs by seed, and is the same in each run.
struct Numbers(u64);

impl Numbers {
    fn next(&mut self) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        self.0 >> 33
    }

    fn below(&mut self, limit: usize) -> usize {
        self.next() as usize % limit
    }

    /// Uniform from 0 to 1.
    fn fraction(&mut self) -> f64 {
        self.next() as f64 / (1_u64 << 31) as f64
    }
}

/// Demand for experts as the sum of nine subjects, each of which selects some experts of each set more often.
struct Demand {
    shape: Shape,
    numbers: Numbers,
    subjects: Vec<Vec<f64>>,
}

impl Demand {
    fn new(shape: Shape, seed: u64) -> Self {
        let mut demand = Self {
            shape,
            numbers: Numbers(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) + 1),
            subjects: Vec::new(),
        };
        for _ in 0..9 {
            let subject = demand.subject();
            demand.subjects.push(subject);
        }
        demand
    }

    fn subject(&mut self) -> Vec<f64> {
        let mut shares = Vec::new();
        for _ in 0..self.shape.layers {
            let mut set = vec![0.3; self.shape.experts];
            for _ in 0..self.shape.experts / 9 {
                set[self.numbers.below(self.shape.experts)] += 4.0 * self.numbers.fraction();
            }
            let sum: f64 = set.iter().sum();
            shares.extend(set.into_iter().map(|share| share / sum));
        }
        shares
    }

    /// Replaces half of the subjects.
    fn shift(&mut self) {
        for index in 0..self.subjects.len() / 2 {
            self.subjects[index] = self.subject();
        }
        self.subjects.rotate_left(4);
    }

    /// Selection counts of 100 ms.
    fn counts(&self) -> Vec<f64> {
        let mut counts = vec![0.0; self.shape.layers * self.shape.experts];
        for subject in &self.subjects {
            for (count, share) in counts.iter_mut().zip(subject) {
                *count += share * 40_000.0;
            }
        }
        counts
    }

    fn popularity(&self) -> Popularity {
        let mut popularity = Popularity::new(self.shape.layers, self.shape.experts, Duration::from_millis(1_500));
        popularity.observe(&self.counts(), Duration::from_millis(100));
        popularity
    }
}

/// A map that was refined for the demand before the last shift.
fn settled_map(demand: &Demand) -> Map {
    let mut map = Map::initial(demand.shape);
    let popularity = demand.popularity();
    for _ in 0..4 {
        map = refine(&popularity, &map, demand.shape, limits(3), &[]).map;
    }
    map
}

fn limits(loads_per_rank: usize) -> LoadLimits {
    LoadLimits {
        loads_per_rank,
        loads_per_set: 2,
    }
}

/// The best of one to three loads per rank, with a constant overhead.
fn best_of_few(popularity: &Popularity, map: &Map, shape: Shape, load_ms: f64, most: usize) -> Refinement {
    let cost = |refined: &Refinement| {
        let switch_ms = (f64::from(refined.max_loads_per_rank) * load_ms + OVERHEAD_MS).min(HORIZON_MS);
        switch_ms * refined.skew_before + (HORIZON_MS - switch_ms) * refined.skew_after
    };
    let candidates = (1..=most).map(|loads| refine(popularity, map, shape, limits(loads), &[]));
    candidates
        .min_by(|left, right| cost(left).total_cmp(&cost(right)))
        .expect("at least one candidate")
}

/// Guards against switches of two loads per rank where a shift needs many and each takes 16 ms.
#[test]
fn fast_loads_go_further() {
    let mut gains = (0.0, 0.0);
    let mut loads = 0;
    for seed in 0..4 {
        let mut demand = Demand::new(LARGE, seed);
        let map = settled_map(&demand);
        demand.shift();
        let popularity = demand.popularity();
        let best = best_candidate(&popularity, &map, LARGE, &[], &staging(16.0), HORIZON_MS).unwrap();
        let refined = &best.refinement;
        assert!(refined.map.fits(LARGE));
        println!(
            "seed {seed}: {} loads per rank, skew {:.3} to {:.3} in {:.0} ms",
            refined.max_loads_per_rank, refined.skew_before, refined.skew_after, best.staging_ms
        );
        loads += refined.max_loads_per_rank;
        assert!(
            best.staging_ms < HORIZON_MS / 2.0,
            "seed {seed}: {} ms",
            best.staging_ms
        );
        let two = refine(&popularity, &map, LARGE, limits(2), &[]);
        gains.0 += two.skew_before - two.skew_after;
        gains.1 += refined.skew_before - refined.skew_after;
    }
    assert!(loads >= 12, "{loads}");
    assert!(gains.1 > gains.0 * 1.02, "{gains:?}");
}

/// Guards against long stagings on engines whose loads are slow: they keep the best of one to
/// three loads per rank, of which there may be no more than spare experts in a set.
#[test]
fn slow_loads_choose_among_three() {
    for shape in [SMALL, LARGE, LARGEST] {
        for load_ms in [100.0, 150.0, 200.0] {
            for seed in 0..if shape == SMALL { 20 } else { 3 } {
                let mut demand = Demand::new(shape, seed);
                let map = settled_map(&demand);
                demand.shift();
                let popularity = demand.popularity();
                let best = best_candidate(&popularity, &map, shape, &[], &staging(load_ms), HORIZON_MS).unwrap();
                let expected = best_of_few(&popularity, &map, shape, load_ms, 2);
                assert!(
                    best.refinement == expected,
                    "{shape:?}, {load_ms} ms, seed {seed}: {} loads per rank instead of {}",
                    best.refinement.max_loads_per_rank,
                    expected.max_loads_per_rank
                );
            }
        }
    }
}

/// Guards against an estimate without the time to send the map to all ranks: over a tenth of the bandwidth, a large
/// switch is no longer worth it.
#[test]
fn link_limits_loads() {
    let mut demand = Demand::new(LARGE, 1);
    let map = settled_map(&demand);
    demand.shift();
    let popularity = demand.popularity();
    let wide = best_candidate(&popularity, &map, LARGE, &[], &staging(16.0), HORIZON_MS).unwrap();
    let narrow = Staging {
        link: Link {
            bytes_per_ms: 60.0,
            ..LINK
        },
        ..staging(16.0)
    };
    let narrow = best_candidate(&popularity, &map, LARGE, &[], &narrow, HORIZON_MS).unwrap();
    assert!(narrow.refinement.max_loads_per_rank < wide.refinement.max_loads_per_rank);
}

/// Guards against a refinement that is worse for being continued from lower limits, and against broken limits.
#[test]
fn continued_refinement_as_good() {
    let mut demand = Demand::new(LARGE, 2);
    let map = settled_map(&demand);
    demand.shift();
    let popularity = demand.popularity();
    let best = best_candidate(&popularity, &map, LARGE, &[], &staging(5.0), HORIZON_MS).unwrap();
    let loads = best.refinement.max_loads_per_rank as usize;
    assert!(loads > 3);
    let direct = refine(&popularity, &map, LARGE, limits(loads), &[]);
    assert!(best.refinement.skew_after < direct.skew_after + 0.03);
    for (old, new) in map.layers.iter().zip(&best.refinement.map.layers) {
        for (old, new) in old.ranks.iter().zip(&new.ranks) {
            assert!(new.iter().filter(|expert| !old.contains(expert)).count() <= 2);
        }
    }
}

/// Prints the time of a decision; run in a release build with `--ignored --nocapture`.
#[test]
#[ignore = "measures time; asserts nothing"]
fn time_of_decision() {
    for (shape, load_ms) in [(LARGE, 16.0), (LARGEST, 16.0), (LARGEST, 150.0)] {
        let mut demand = Demand::new(shape, 3);
        let map = settled_map(&demand);
        demand.shift();
        let popularity = demand.popularity();
        let started = Instant::now();
        let best = best_candidate(&popularity, &map, shape, &[], &staging(load_ms), HORIZON_MS).unwrap();
        let took = started.elapsed();
        let started = Instant::now();
        best_of_few(&popularity, &map, shape, load_ms, 2);
        println!(
            "{} ranks, {load_ms} ms per load: {took:?} for {} loads, {:.3} to {:.3}, {:.0} ms; best of two {:?}",
            shape.ranks,
            best.refinement.max_loads_per_rank,
            best.refinement.skew_before,
            best.refinement.skew_after,
            best.staging_ms,
            started.elapsed()
        );
    }
}
