//! Placement against never moving, greedy from scratch each time, and greedy at a fixed period, on one input.

use std::time::{Duration, Instant};

use rand::seq::SliceRandom as _;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use sparscale_place::baseline::greedy_from_scratch;
use sparscale_place::{Costs, Map, Shape, TokenCounts, decide, skew};

use crate::usage::line;

/// Decision periods of one run, ten seconds each.
const PERIODS: usize = 240;
const PERIOD: Duration = Duration::from_secs(10);
const HALF_LIFE: Duration = Duration::from_secs(20);
/// Tokens that a group serves in one period.
const TOKENS: f64 = 400_000.0;
/// Exponent of the heavy-tailed popularity.
const TAIL: f64 = 0.7;
/// Size of one expert of one layer, and the weight store's rate for one group.
const EXPERT_BYTES: f64 = 20e6;
const STORE_RATE: f64 = 2e9;
const FIXED_PERIOD: usize = 30;
const SHAPE: Shape = Shape {
    ranks: 64,
    layers: 60,
    experts: 128,
    slots: 4,
};

/// Popularity that drifts, with surges.
struct Drift {
    layers: Vec<Vec<f64>>,
    surge: Vec<(usize, usize)>,
    surge_left: usize,
    random: ChaCha8Rng,
}

impl Drift {
    fn new(shape: Shape, number: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(number);
        let layers = (0..shape.layers).map(|_| {
            let mut weights: Vec<f64> = (1..=shape.experts).map(|rank| (rank as f64).powf(-TAIL)).collect();
            weights.shuffle(&mut random);
            weights
        });
        let layers = layers.collect();
        Self {
            layers,
            surge: Vec::new(),
            surge_left: 0,
            random,
        }
    }

    /// Lets one period pass: every weight wanders, and now and then a few experts surge for a while.
    fn advance(&mut self) {
        for weight in self.layers.iter_mut().flatten() {
            *weight *= self.random.random_range(-0.01_f64..0.01).exp();
        }
        if self.surge_left > 0 {
            self.surge_left -= 1;
            if self.surge_left == 0 {
                self.surge.clear();
            }
        } else if self.random.random_bool(0.02) {
            let layers = self.layers.len();
            let experts = self.layers[0].len();
            self.surge = (0..layers * 3)
                .map(|index| (index % layers, self.random.random_range(0..experts)))
                .collect();
            self.surge_left = 30;
        }
    }

    /// Tokens of one period, layer by layer, with sampling noise.
    fn tokens(&mut self) -> Vec<f64> {
        let popularity = self.popularity();
        let random = &mut self.random;
        popularity
            .into_iter()
            .map(|share| (share * TOKENS) * random.random_range(0.95..1.05))
            .collect()
    }

    fn popularity(&self) -> Vec<f64> {
        let mut all = Vec::new();
        for (index, layer) in self.layers.iter().enumerate() {
            let mut weights = layer.clone();
            for (_, expert) in self.surge.iter().filter(|(surging, _)| *surging == index) {
                weights[*expert] *= 4.0;
            }
            let sum: f64 = weights.iter().sum();
            all.extend(weights.into_iter().map(|weight| weight / sum));
        }
        all
    }
}

#[derive(Clone, Copy)]
enum Policy {
    Never,
    Greedy,
    GreedyEvery(usize),
    Weighed { weight_move: f64 },
}

struct Summary {
    mean: f64,
    p99: f64,
    changes: usize,
    loads: usize,
    decide_ms: f64,
}

fn costs(weight_move: f64) -> Costs {
    Costs {
        weight_skew: 1.0,
        weight_move,
        seconds_per_load: EXPERT_BYTES / STORE_RATE,
        slowdown_share: 0.1,
        move_budget: 20_000,
        in_quiet_hours: false,
    }
}

fn simulate(policy: Policy) -> Summary {
    let mut drift = Drift::new(SHAPE, 7);
    let mut counts = TokenCounts::new(SHAPE, HALF_LIFE);
    let mut map = Map::initial(SHAPE);
    let mut skews = Vec::new();
    let (mut changes, mut loads) = (0, 0);
    let mut deciding = Duration::ZERO;
    for period in 0..PERIODS {
        counts.observe(&drift.tokens(), PERIOD);
        let began = Instant::now();
        let next = match policy {
            Policy::Never => None,
            Policy::Greedy => Some(greedy_from_scratch(&counts)),
            Policy::GreedyEvery(every) => (period % every == 0).then(|| greedy_from_scratch(&counts)),
            Policy::Weighed { weight_move } => decide(&counts, &map, &costs(weight_move)).next_map,
        };
        deciding += began.elapsed();
        if let Some(next) = next {
            changes += 1;
            loads += map.replicas_to_load(&next);
            map = next;
        }
        drift.advance();
        let mut truth = TokenCounts::new(SHAPE, HALF_LIFE);
        truth.observe(&drift.popularity(), Duration::ZERO);
        skews.push(skew(&map, &truth));
    }
    skews.sort_by(f64::total_cmp);
    Summary {
        mean: skews.iter().sum::<f64>() / skews.len() as f64,
        p99: skews[skews.len() * 99 / 100],
        changes,
        loads,
        decide_ms: deciding.as_secs_f64() * 1_000.0 / PERIODS as f64,
    }
}

fn decision_ms(shape: Shape) -> f64 {
    const REPEATS: u32 = 5;
    let mut drift = Drift::new(shape, 9);
    let mut counts = TokenCounts::new(shape, HALF_LIFE);
    counts.observe(&drift.tokens(), PERIOD);
    let map = Map::initial(shape);
    let began = Instant::now();
    for _ in 0..REPEATS {
        std::hint::black_box(decide(&counts, &map, &costs(0.01)));
    }
    began.elapsed().as_secs_f64() * 1_000.0 / f64::from(REPEATS)
}

pub(crate) fn run() {
    println!(
        "{} ranks, {} layers, {} experts, {} slots; {PERIODS} periods",
        SHAPE.ranks, SHAPE.layers, SHAPE.experts, SHAPE.slots
    );
    println!(
        "{:<28}{:>10}{:>10}{:>9}{:>10}{:>10}{:>12}{:>12}",
        "policy", "mean skew", "p99 skew", "changes", "loads", "GB", "load sec", "decide ms"
    );
    let policies = [
        ("never move", Policy::Never),
        ("greedy every time", Policy::Greedy),
        ("greedy, fixed period", Policy::GreedyEvery(FIXED_PERIOD)),
        ("weighed, The Guild", Policy::Weighed { weight_move: 0.001 }),
        ("weighed, Saurashtra Skyways", Policy::Weighed { weight_move: 0.000_2 }),
    ];
    for (name, policy) in policies {
        let result = simulate(policy);
        let bytes = result.loads as f64 * EXPERT_BYTES;
        println!(
            "{name:<28}{:>10.3}{:>10.3}{:>9}{:>10}{:>10.0}{:>12.0}{:>12.2}",
            result.mean,
            result.p99,
            result.changes,
            result.loads,
            bytes / 1e9,
            bytes / STORE_RATE,
            result.decide_ms
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
        let (slope, _) = line(&points);
        println!("{name:<10}{points:?}  slope {slope:.3} ms each");
    }
}
