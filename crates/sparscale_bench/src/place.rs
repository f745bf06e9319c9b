//! Compares placement by cost with three baselines on the same input: never moving, a greedy map from scratch in each
//! period, and the same at a fixed interval.

use std::time::{Duration, Instant};

use rand::seq::SliceRandom as _;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use sparscale_place::baseline::greedy_from_scratch;
use sparscale_place::{Costs, Map, Shape, TokenCounts, decide, skew};

use crate::usage::fit_line;

/// Number of decision periods of one run, each [`PERIOD`] long.
const PERIOD_COUNT: usize = 240;
const PERIOD: Duration = Duration::from_secs(10);
const COUNT_HALF_LIFE: Duration = Duration::from_secs(20);
/// Tokens that a group processes in one period.
const TOKENS_PER_PERIOD: f64 = 400_000.0;
/// Exponent of the heavy-tailed distribution of expert popularity.
const POPULARITY_EXPONENT: f64 = 0.7;
/// Size of one expert in one layer.
const EXPERT_BYTES: f64 = 20e6;
/// Rate at which the weight store serves one group.
const STORE_BYTES_PER_SECOND: f64 = 2e9;
/// Periods between two maps of the greedy baseline at a fixed interval.
const FIXED_INTERVAL_PERIODS: usize = 30;
const SHAPE: Shape = Shape {
    ranks: 64,
    layers: 60,
    experts: 128,
    slots: 4,
};

/// Expert popularity that drifts, with occasional surges.
struct Drift {
    /// Weight of each expert, by layer.
    layers: Vec<Vec<f64>>,
    /// Layer and expert of each expert in the current surge.
    surging_experts: Vec<(usize, usize)>,
    surge_periods_left: usize,
    random: ChaCha8Rng,
}

impl Drift {
    fn new(shape: Shape, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let layers = (0..shape.layers).map(|_| {
            let mut weights: Vec<f64> = (1..=shape.experts)
                .map(|rank| (rank as f64).powf(-POPULARITY_EXPONENT))
                .collect();
            weights.shuffle(&mut random);
            weights
        });
        let layers = layers.collect();
        Self {
            layers,
            surging_experts: Vec::new(),
            surge_periods_left: 0,
            random,
        }
    }

    /// Advances by one period: every weight takes a random step. At random times, three experts in each layer surge for
    /// 30 periods.
    fn advance(&mut self) {
        for weight in self.layers.iter_mut().flatten() {
            *weight *= self.random.random_range(-0.01_f64..0.01).exp();
        }
        if self.surge_periods_left > 0 {
            self.surge_periods_left -= 1;
            if self.surge_periods_left == 0 {
                self.surging_experts.clear();
            }
        } else if self.random.random_bool(0.02) {
            let layers = self.layers.len();
            let experts = self.layers[0].len();
            self.surging_experts = (0..layers * 3)
                .map(|index| (index % layers, self.random.random_range(0..experts)))
                .collect();
            self.surge_periods_left = 30;
        }
    }

    /// Returns the tokens of each expert in one period, layer by layer, with sampling noise.
    fn tokens(&mut self) -> Vec<f64> {
        let popularity = self.popularity();
        let random = &mut self.random;
        popularity
            .into_iter()
            .map(|share| (share * TOKENS_PER_PERIOD) * random.random_range(0.95..1.05))
            .collect()
    }

    /// Returns each expert's share of its layer's tokens, layer by layer.
    fn popularity(&self) -> Vec<f64> {
        let mut shares = Vec::new();
        for (index, layer) in self.layers.iter().enumerate() {
            let mut weights = layer.clone();
            for (_, expert) in self
                .surging_experts
                .iter()
                .filter(|(surging_layer, _)| *surging_layer == index)
            {
                weights[*expert] *= 4.0;
            }
            let sum: f64 = weights.iter().sum();
            shares.extend(weights.into_iter().map(|weight| weight / sum));
        }
        shares
    }
}

/// When to compute a new map, and how.
#[derive(Clone, Copy)]
enum Policy {
    Never,
    Greedy,
    GreedyEvery(usize),
    CostBased { weight_move: f64 },
}

/// Results of one simulated run.
struct Summary {
    mean_skew: f64,
    p99_skew: f64,
    map_change_count: usize,
    replica_load_count: usize,
    mean_decision_ms: f64,
}

fn costs(weight_move: f64) -> Costs {
    Costs {
        weight_skew: 1.0,
        weight_move,
        seconds_per_load: EXPERT_BYTES / STORE_BYTES_PER_SECOND,
        slowdown_share: 0.1,
        move_budget: 20_000,
        in_quiet_hours: false,
    }
}

/// Runs `policy` over all periods; the input is the same for every policy.
fn simulate(policy: Policy) -> Summary {
    let mut drift = Drift::new(SHAPE, 7);
    let mut counts = TokenCounts::new(SHAPE, COUNT_HALF_LIFE);
    let mut map = Map::initial(SHAPE);
    let mut skews = Vec::new();
    let (mut map_change_count, mut replica_load_count) = (0, 0);
    let mut decision_time = Duration::ZERO;
    for period in 0..PERIOD_COUNT {
        counts.observe(&drift.tokens(), PERIOD);
        let started = Instant::now();
        let next = match policy {
            Policy::Never => None,
            Policy::Greedy => Some(greedy_from_scratch(&counts)),
            Policy::GreedyEvery(interval_periods) => {
                (period % interval_periods == 0).then(|| greedy_from_scratch(&counts))
            }
            Policy::CostBased { weight_move } => decide(&counts, &map, &costs(weight_move)).next_map,
        };
        decision_time += started.elapsed();
        if let Some(next) = next {
            map_change_count += 1;
            replica_load_count += map.replicas_to_load(&next);
            map = next;
        }
        drift.advance();
        let mut actual_counts = TokenCounts::new(SHAPE, COUNT_HALF_LIFE);
        actual_counts.observe(&drift.popularity(), Duration::ZERO);
        skews.push(skew(&map, &actual_counts));
    }
    skews.sort_by(f64::total_cmp);
    Summary {
        mean_skew: skews.iter().sum::<f64>() / skews.len() as f64,
        p99_skew: skews[skews.len() * 99 / 100],
        map_change_count,
        replica_load_count,
        mean_decision_ms: decision_time.as_secs_f64() * 1_000.0 / PERIOD_COUNT as f64,
    }
}

/// Returns the mean time of the first decision from the initial map, in milliseconds.
fn decision_ms(shape: Shape) -> f64 {
    const REPEAT_COUNT: u32 = 5;
    let mut drift = Drift::new(shape, 9);
    let mut counts = TokenCounts::new(shape, COUNT_HALF_LIFE);
    counts.observe(&drift.tokens(), PERIOD);
    let map = Map::initial(shape);
    let started = Instant::now();
    for _ in 0..REPEAT_COUNT {
        std::hint::black_box(decide(&counts, &map, &costs(0.01)));
    }
    started.elapsed().as_secs_f64() * 1_000.0 / f64::from(REPEAT_COUNT)
}

pub(crate) fn run() {
    println!(
        "{} ranks, {} layers, {} experts, {} slots; {PERIOD_COUNT} periods",
        SHAPE.ranks, SHAPE.layers, SHAPE.experts, SHAPE.slots
    );
    println!(
        "{:<28}{:>10}{:>10}{:>9}{:>10}{:>10}{:>12}{:>12}",
        "policy", "mean skew", "p99 skew", "changes", "loads", "GB", "load sec", "decide ms"
    );
    let policies = [
        ("never move", Policy::Never),
        ("greedy every time", Policy::Greedy),
        ("greedy, fixed period", Policy::GreedyEvery(FIXED_INTERVAL_PERIODS)),
        ("weighed, The Guild", Policy::CostBased { weight_move: 0.001 }),
        (
            "weighed, Saurashtra Skyways",
            Policy::CostBased { weight_move: 0.000_2 },
        ),
    ];
    for (name, policy) in policies {
        let summary = simulate(policy);
        let bytes = summary.replica_load_count as f64 * EXPERT_BYTES;
        println!(
            "{name:<28}{:>10.3}{:>10.3}{:>9}{:>10}{:>10.0}{:>12.0}{:>12.2}",
            summary.mean_skew,
            summary.p99_skew,
            summary.map_change_count,
            summary.replica_load_count,
            bytes / 1e9,
            bytes / STORE_BYTES_PER_SECOND,
            summary.mean_decision_ms
        );
    }
    println!("\ntime of the first decision from the initial map, in ms");
    for (name, shapes) in [
        (
            "ranks",
            [8, 16, 32, 64]
                .map(|ranks| {
                    (
                        ranks,
                        Shape {
                            ranks,
                            slots: 256 / ranks,
                            ..SHAPE
                        },
                    )
                })
                .to_vec(),
        ),
        (
            "experts",
            [32, 64, 96, 128]
                .map(|experts| (experts, Shape { experts, ..SHAPE }))
                .to_vec(),
        ),
        (
            "layers",
            [15, 30, 45, 60]
                .map(|layers| (layers, Shape { layers, ..SHAPE }))
                .to_vec(),
        ),
    ] {
        let points: Vec<(f64, f64)> = shapes
            .into_iter()
            .map(|(size, shape)| (size as f64, decision_ms(shape)))
            .collect();
        let (slope, _) = fit_line(&points);
        println!("{name:<10}{points:?}  slope {slope:.3} ms each");
    }
}
