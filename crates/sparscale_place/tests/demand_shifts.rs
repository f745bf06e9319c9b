//! Replays synthetic selection counts of a group whose demand shifts often: shifts are detected against the noise of
//! the samples, and maps refined from the estimate balance the demand that there really is.

use std::collections::VecDeque;
use std::time::Duration;

use sparscale_place::{LoadLimits, Map, Popularity, Shape, Trend, mean_skew, refine};

const SHAPE: Shape = Shape {
    ranks: 72,
    layers: 12,
    experts: 144,
    slots: 3,
};
const LIMITS: LoadLimits = LoadLimits {
    loads_per_rank: 3,
    loads_per_set: 2,
};
const WINDOW: Duration = Duration::from_millis(100);
const HALF_LIFE: Duration = Duration::from_millis(1_500);
/// Windows from one shift to the next.
const SHIFT_WINDOWS: usize = 24;
/// Windows from the count of a sample to the first pass with a map that was refined from it.
const SWITCH_WINDOWS: usize = 2;
/// Smallest reduction of the skew for which the map is changed.
const MIN_SKEW_REDUCTION: f64 = 0.08;
const SUBJECTS: usize = 9;
/// Selections of a token: the experts that it uses, in all sets.
const SELECTIONS_PER_TOKEN: f64 = 96.0;
/// Selections in a usual window of a third of the ranks.
const USUAL_SELECTIONS: f64 = 4.0e6;
/// Windows for which the running requests have the same mix of subjects.
const MIX_WINDOWS: usize = 5;

/// Seeded pseudo-random numbers (splitmix64).
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    fn below(&mut self, bound: usize) -> usize {
        (self.next() % bound as u64) as usize
    }

    fn uniform(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Approximately normal, with mean 0 and variance 1.
    fn normal(&mut self) -> f64 {
        (0..12).map(|_| self.uniform()).sum::<f64>() - 6.0
    }

    fn shuffled_experts(&mut self) -> Vec<usize> {
        let mut experts: Vec<usize> = (0..SHAPE.experts).collect();
        for index in (1..experts.len()).rev() {
            let other = self.below(index + 1);
            experts.swap(index, other);
        }
        experts
    }
}

/// How demand is distributed over the experts of a set.
#[derive(Clone, Copy)]
struct Profile {
    /// Shares of the most popular experts; the others share the remainder evenly.
    popular: &'static [f64],
    /// Popular experts of which a shift replaces every `shift_stride`-th one.
    shift_stride: usize,
}

/// The top expert has 3.7 % of the demand and a typical one 0.5 %; a shift is a distance of 0.23 to 0.35.
const FLAT: Profile = Profile {
    popular: &[
        0.037, 0.035, 0.032, 0.030, 0.028, 0.026, 0.024, 0.022, 0.020, 0.018, 0.016, 0.015, 0.014, 0.013, 0.012, 0.011,
    ],
    shift_stride: 2,
};
/// A few experts have most of the demand, and a shift is a distance of about 1.
const PEAKED: Profile = Profile {
    popular: &[0.23, 0.10, 0.06, 0.045, 0.03, 0.02, 0.015, 0.01],
    shift_stride: 1,
};

/// Demand that consists of subjects: each one's distribution is a mixture of a common part and its own part.
struct Demand {
    profile: Profile,
    /// Experts of each set, the most popular ones first.
    order: Vec<Vec<usize>>,
    /// Popular experts of each subject in each set.
    own_order: Vec<Vec<Vec<usize>>>,
}

const COMMON_SHARE: f64 = 0.7;
/// Experts that a subject prefers, and how many times as often as in the common part it selects them.
const OWN_EXPERTS: usize = 24;
const OWN_WEIGHT: f64 = 8.0;

impl Demand {
    fn new(profile: Profile, random: &mut Random) -> Self {
        let order = (0..SHAPE.layers).map(|_| random.shuffled_experts()).collect();
        let own = (0..SUBJECTS).map(|_| (0..SHAPE.layers).map(|_| random.shuffled_experts()).collect());
        Self {
            profile,
            order,
            own_order: own.collect(),
        }
    }

    /// Replaces popular experts of each set by unpopular ones.
    fn shift(&mut self, random: &mut Random) {
        let popular = self.profile.popular.len();
        for order in &mut self.order {
            let first = random.below(self.profile.shift_stride);
            for position in (first..popular).step_by(self.profile.shift_stride) {
                let other = popular + random.below(SHAPE.experts - popular);
                order.swap(position, other);
            }
        }
    }

    /// Shares of the experts, set by set, for tokens of one subject. The own part has the mean of the common one.
    fn of_subject(&self, subject: usize) -> Vec<f64> {
        let popular = self.profile.popular;
        let rest = (1.0 - popular.iter().sum::<f64>()) / (SHAPE.experts - popular.len()) as f64;
        let mut shares = vec![0.0; SHAPE.layers * SHAPE.experts];
        for (set, of_set) in shares.chunks_mut(SHAPE.experts).enumerate() {
            let own_weight = |expert: usize| {
                let is_own = self.own_order[subject][set][..OWN_EXPERTS].contains(&expert);
                if is_own { OWN_WEIGHT } else { 1.0 }
            };
            for (position, expert) in self.order[set].iter().enumerate() {
                of_set[*expert] = popular.get(position).copied().unwrap_or(rest);
            }
            let own: Vec<f64> = (0..SHAPE.experts)
                .map(|expert| of_set[expert] * own_weight(expert))
                .collect();
            let own_sum: f64 = own.iter().sum();
            for (share, own) in of_set.iter_mut().zip(own) {
                *share = COMMON_SHARE * *share + (1.0 - COMMON_SHARE) * own / own_sum;
            }
        }
        shares
    }

    fn subjects(&self) -> Vec<Vec<f64>> {
        (0..SUBJECTS).map(|subject| self.of_subject(subject)).collect()
    }

    /// Shares over all subjects: the demand that maps have to balance.
    fn mean(&self) -> Vec<f64> {
        let subjects = self.subjects();
        let mean = |expert: usize| subjects.iter().map(|shares| shares[expert]).sum::<f64>() / SUBJECTS as f64;
        (0..SHAPE.layers * SHAPE.experts).map(mean).collect()
    }
}

/// How many selections the windows have.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Load {
    /// About 4 million.
    Usual,
    /// Every sixth window, chosen by chance, has 0.1 to 0.3 million: few ranks report, or the group was held.
    Uneven,
    /// 0.1 to 0.3 million.
    Small,
}

fn profiles_and_loads() -> impl Iterator<Item = (Profile, Load)> {
    [FLAT, PEAKED]
        .into_iter()
        .flat_map(|profile| LOADS.map(|load| (profile, load)))
}

const LOADS: [Load; 3] = [Load::Usual, Load::Uneven, Load::Small];

impl Load {
    fn selections(self, random: &mut Random) -> f64 {
        let is_small = self == Self::Small || (self == Self::Uneven && random.below(6) == 0);
        if is_small {
            1.0e5 + 2.0e5 * random.uniform()
        } else {
            USUAL_SELECTIONS * (0.67 + 0.66 * random.uniform())
        }
    }
}

/// A mix in which every other request is of one subject, as when a large customer starts a job.
fn dominated_mix(random: &mut Random) -> [f64; SUBJECTS] {
    let mut mix = subject_mix(random).map(|share| 0.5 * share);
    mix[random.below(SUBJECTS)] += 0.5;
    mix
}

/// Shares of the subjects in the running requests.
fn subject_mix(random: &mut Random) -> [f64; SUBJECTS] {
    let weights = [0.0; SUBJECTS].map(|_| 0.6 + 0.8 * random.uniform());
    let sum: f64 = weights.iter().sum();
    weights.map(|weight| weight / sum)
}

/// Counts of one window in which tokens arrive in clusters of some hundred of one subject.
fn sample(subjects: &[Vec<f64>], mix: &[f64; SUBJECTS], selections: f64, random: &mut Random) -> Vec<f64> {
    let mut remaining = selections / SELECTIONS_PER_TOKEN;
    let mut tokens = [0.0; SUBJECTS];
    while remaining > 0.0 {
        let cluster = (100.0 + 300.0 * random.uniform()).min(remaining);
        let mut point = random.uniform();
        let subject = mix.iter().position(|share| {
            point -= share;
            point < 0.0
        });
        tokens[subject.unwrap_or(0)] += cluster;
        remaining -= cluster;
    }
    let per_set = SELECTIONS_PER_TOKEN / SHAPE.layers as f64;
    let count = |expert: usize| {
        let shares = subjects.iter().zip(tokens);
        let expected: f64 = shares.map(|(shares, tokens)| shares[expert] * tokens * per_set).sum();
        (expected + expected.sqrt() * random.normal()).max(0.0).round()
    };
    (0..SHAPE.layers * SHAPE.experts).map(count).collect()
}

fn mixed(old: &[f64], new: &[f64], old_share: f64) -> Vec<f64> {
    let pairs = old.iter().zip(new);
    pairs
        .map(|(old, new)| old_share * old + (1.0 - old_share) * new)
        .collect()
}

/// Distance between two distributions, from 0 to 2, as the mean over the sets.
fn distance(left: &[f64], right: &[f64]) -> f64 {
    let sets = left.chunks(SHAPE.experts).zip(right.chunks(SHAPE.experts));
    let of_set = |(left, right): (&[f64], &[f64])| {
        let (left_sum, right_sum): (f64, f64) = (left.iter().sum(), right.iter().sum());
        let pairs = left.iter().zip(right);
        pairs
            .map(|(left, right)| (left / left_sum - right / right_sum).abs())
            .sum::<f64>()
    };
    sets.map(of_set).sum::<f64>() / SHAPE.layers as f64
}

fn counts(popularity: &Popularity) -> Vec<f64> {
    (0..SHAPE.layers)
        .flat_map(|set| popularity.counts_of_set(set).to_vec())
        .collect()
}

fn popularity_of(counts: &[f64]) -> Popularity {
    let mut popularity = Popularity::new(SHAPE.layers, SHAPE.experts, HALF_LIFE);
    popularity.observe(counts, WINDOW);
    popularity
}

/// Estimates demand from the counts of each window.
trait Estimator {
    fn observe(&mut self, sample: &[f64]);
    fn estimate(&self) -> Popularity;
}

impl Estimator for Popularity {
    fn observe(&mut self, sample: &[f64]) {
        Self::observe(self, sample, WINDOW);
    }

    fn estimate(&self) -> Popularity {
        self.clone()
    }
}

/// Baseline: a shift is a distance above a fixed limit, and what the most popular experts keep of their share is the
/// part of its sample that predates it.
#[derive(Default)]
struct FixedLimit {
    counts: Vec<f64>,
}

const FIXED_SHIFT_DISTANCE: f64 = 0.35;

impl FixedLimit {
    fn old_share(&self, sample: &[f64]) -> f64 {
        let sets = self.counts.chunks(SHAPE.experts).zip(sample.chunks(SHAPE.experts));
        let of_set = |(old, new): (&[f64], &[f64])| {
            let (old_sum, new_sum): (f64, f64) = (old.iter().sum(), new.iter().sum());
            let mut experts: Vec<usize> = (0..SHAPE.experts).collect();
            experts.sort_by(|left, right| old[*right].total_cmp(&old[*left]));
            let kept = experts.iter().take(5);
            let kept = kept.map(|expert| (new[*expert] / new_sum) / (old[*expert] / old_sum));
            kept.fold(1.0, f64::min)
        };
        let mut shares: Vec<f64> = sets.map(of_set).collect();
        shares.sort_by(f64::total_cmp);
        shares[shares.len() / 2].min(0.8)
    }
}

impl Estimator for FixedLimit {
    fn observe(&mut self, sample: &[f64]) {
        if self.counts.is_empty() {
            self.counts = sample.to_vec();
        } else if distance(&self.counts, sample) > FIXED_SHIFT_DISTANCE {
            let old_share = self.old_share(sample);
            if old_share < 0.1 {
                self.counts = sample.to_vec();
                return;
            }
            let sets = self.counts.chunks(SHAPE.experts).zip(sample.chunks(SHAPE.experts));
            let remaining = sets.flat_map(|(old, new)| {
                let scale = old_share * new.iter().sum::<f64>() / old.iter().sum::<f64>();
                let pairs = old.iter().zip(new);
                pairs.map(move |(old, new)| (new - old * scale).max(0.0))
            });
            self.counts = remaining.collect();
        } else {
            let decay_factor = 0.5_f64.powf(WINDOW.as_secs_f64() / HALF_LIFE.as_secs_f64());
            for (count, new) in self.counts.iter_mut().zip(sample) {
                *count = *count * decay_factor + new;
            }
        }
    }

    fn estimate(&self) -> Popularity {
        popularity_of(&self.counts)
    }
}

/// All counts of the last windows, whether demand shifted or not.
struct Sliding {
    samples: VecDeque<Vec<f64>>,
    windows: usize,
}

impl Estimator for Sliding {
    fn observe(&mut self, sample: &[f64]) {
        self.samples.push_back(sample.to_vec());
        if self.samples.len() > self.windows {
            self.samples.pop_front();
        }
    }

    fn estimate(&self) -> Popularity {
        let sum = |expert: usize| self.samples.iter().map(|sample| sample[expert]).sum();
        let sums: Vec<f64> = (0..SHAPE.layers * SHAPE.experts).map(sum).collect();
        popularity_of(&sums)
    }
}

/// One window of a replay.
struct Window {
    /// Counts of the ranks that report.
    sample: Vec<f64>,
    /// Demand of the window.
    demand: Vec<f64>,
}

/// Windows in which demand shifts every 2.4 s, at some point within a window.
fn windows(profile: Profile, load: Load, count: usize, seed: u64) -> Vec<Window> {
    let mut random = Random(seed);
    let mut demand = Demand::new(profile, &mut random);
    let (mut subjects, mut mean) = (demand.subjects(), demand.mean());
    let mut mix = subject_mix(&mut random);
    let mut replayed = Vec::new();
    for index in 0..count {
        let size = load.selections(&mut random);
        if index % MIX_WINDOWS == 0 {
            mix = subject_mix(&mut random);
        }
        if !is_shift(index) {
            replayed.push(Window {
                sample: sample(&subjects, &mix, size, &mut random),
                demand: mean.clone(),
            });
            continue;
        }
        let old_share = random.uniform();
        let (old_subjects, old_mean) = (subjects, mean);
        demand.shift(&mut random);
        (subjects, mean) = (demand.subjects(), demand.mean());
        let old = sample(&old_subjects, &mix, size * old_share, &mut random);
        let new = sample(&subjects, &mix, size * (1.0 - old_share), &mut random);
        replayed.push(Window {
            sample: old.iter().zip(&new).map(|(old, new)| old + new).collect(),
            demand: mixed(&old_mean, &mean, old_share),
        });
    }
    replayed
}

/// Whether demand shifts within a window.
fn is_shift(index: usize) -> bool {
    index % SHIFT_WINDOWS == SHIFT_WINDOWS - 1
}

/// Mean skew of the passes when maps are refined from the estimates.
fn replayed_skew(windows: &[Window], mut estimator: impl Estimator) -> f64 {
    let mut map = Map::initial(SHAPE);
    let mut next: Option<(usize, Map)> = None;
    let mut skews = Vec::new();
    for (index, window) in windows.iter().enumerate() {
        if let Some((_, active)) = next.take_if(|(at, _)| *at == index) {
            map = active;
        }
        if index >= SHIFT_WINDOWS {
            skews.push(mean_skew(&popularity_of(&scaled(&window.demand)), &map, SHAPE, &[]));
        }
        estimator.observe(&window.sample);
        if next.is_none() {
            let refined = refine(&estimator.estimate(), &map, SHAPE, LIMITS, &[]);
            if refined.skew_before - refined.skew_after >= MIN_SKEW_REDUCTION {
                next = Some((index + SWITCH_WINDOWS, refined.map));
            }
        }
    }
    skews.iter().sum::<f64>() / skews.len() as f64
}

fn scaled(shares: &[f64]) -> Vec<f64> {
    shares.iter().map(|share| share * USUAL_SELECTIONS).collect()
}

fn adaptive() -> Popularity {
    Popularity::new(SHAPE.layers, SHAPE.experts, HALF_LIFE)
}

fn sliding() -> Sliding {
    Sliding {
        samples: VecDeque::new(),
        windows: 6,
    }
}

/// Mean skews with the fixed limit, the adaptive one and the sliding window.
fn compare(profile: Profile, load: Load) -> [f64; 3] {
    const SEEDS: u64 = 2;
    let mut sums = [0.0; 3];
    for seed in 1..=SEEDS {
        let windows = windows(profile, load, 4 * SHIFT_WINDOWS, seed);
        sums[0] += replayed_skew(&windows, FixedLimit::default());
        sums[1] += replayed_skew(&windows, adaptive());
        sums[2] += replayed_skew(&windows, sliding());
    }
    let means = sums.map(|sum| sum / SEEDS as f64);
    println!("{load:?}: fixed limit, adaptive, sliding window: {means:.3?}");
    means
}

/// Fails if shifts of a quarter of the demand are missed, or found where there are none: maps then follow a mixture of
/// old and new demand, or a single noisy sample.
fn check_flat(load: Load) {
    let [fixed, adaptive, sliding] = compare(FLAT, load);
    assert!(adaptive <= 1.02 * fixed.min(sliding));
}

#[test]
fn flat_demand_usual_samples() {
    check_flat(Load::Usual);
}

#[test]
fn flat_demand_uneven_samples() {
    check_flat(Load::Uneven);
}

#[test]
fn flat_demand_small_samples() {
    check_flat(Load::Small);
}

/// Fails if the estimate is worse than with the fixed limit where that limit fits: a few experts have most of the
/// demand.
fn check_peaked(load: Load) {
    let [fixed, adaptive, sliding] = compare(PEAKED, load);
    assert!(adaptive <= 1.02 * fixed.min(sliding));
}

#[test]
fn peaked_demand_usual_samples() {
    check_peaked(Load::Usual);
}

#[test]
fn peaked_demand_uneven_samples() {
    check_peaked(Load::Uneven);
}

#[test]
fn peaked_demand_small_samples() {
    check_peaked(Load::Small);
}

/// Guards against false shifts from the noise of the samples alone.
#[test]
fn steady_demand_has_no_shift() {
    for (profile, load) in profiles_and_loads() {
        let mut random = Random(11);
        let subjects = Demand::new(profile, &mut random).subjects();
        let mut popularity = adaptive();
        let mut mix = subject_mix(&mut random);
        for index in 0..1_000 {
            if index % MIX_WINDOWS == 0 {
                mix = subject_mix(&mut random);
            }
            let size = load.selections(&mut random);
            let trend = popularity.observe(&sample(&subjects, &mix, size, &mut random), WINDOW);
            assert_eq!(trend, Trend::Steady, "window {index}, {load:?}");
        }
        assert_eq!(popularity.shift_interval(), None);
    }
}

/// Guards against series of false shifts after a true one: a part that was wrongly subtracted from the first sample as
/// recorded before the shift makes the next one look like another shift, as does the noise of a small first sample.
#[test]
fn shift_detected_once() {
    for (profile, load) in profiles_and_loads() {
        for seed in 1..=8 {
            let mut popularity = adaptive();
            let mut shifts = Vec::new();
            let mut corrections = 0;
            let windows = windows(profile, load, 8 * SHIFT_WINDOWS + 3, seed);
            for (index, window) in windows.iter().enumerate() {
                match popularity.observe(&window.sample, WINDOW) {
                    Trend::Shifted => shifts.push(index),
                    Trend::Corrected => corrections += 1,
                    Trend::Steady => {}
                    Trend::TooSmall => unreachable!("each window has {:e} selections at least", 1.0e5),
                }
            }
            let true_shifts: Vec<usize> = (0..windows.len()).filter(|index| is_shift(*index)).collect();
            // The noise of small samples is nearly half of a flat shift.
            let delay = if load == Load::Usual { 1 } else { 2 };
            let is_prompt = |(seen, at): (&usize, &usize)| (*at..=at + delay).contains(seen);
            let all_prompt = shifts.len() == true_shifts.len() && shifts.iter().zip(&true_shifts).all(is_prompt);
            assert!(
                all_prompt,
                "seed {seed}, {load:?}: {shifts:?} instead of {true_shifts:?}"
            );
            assert!(corrections <= true_shifts.len(), "seed {seed}, {load:?}");
            let interval = popularity.shift_interval().expect("several shifts").as_secs_f64();
            assert!((2.3..2.5).contains(&interval), "seed {seed}, {load:?}: {interval}");
        }
    }
}

/// Guards against subtracting selections as recorded before a shift where demand is flat: experts that lost their
/// demand are still selected as often as the typical one.
#[test]
fn flat_shift_keeps_sample() {
    for seed in 1..=10 {
        let mut random = Random(seed);
        let mut demand = Demand::new(FLAT, &mut random);
        let mut popularity = adaptive();
        for _ in 0..20 {
            let mix = subject_mix(&mut random);
            popularity.observe(&sample(&demand.subjects(), &mix, USUAL_SELECTIONS, &mut random), WINDOW);
        }
        demand.shift(&mut random);
        let mix = subject_mix(&mut random);
        let after = sample(&demand.subjects(), &mix, USUAL_SELECTIONS, &mut random);
        assert_eq!(popularity.observe(&after, WINDOW), Trend::Shifted);
        assert_eq!(counts(&popularity), after, "seed {seed}");
    }
}

/// Guards against waiting for the most selected experts to lose demand when a shift replaces only others.
#[test]
fn shift_of_less_popular_experts() {
    let mut random = Random(21);
    let mut demand = Demand::new(FLAT, &mut random);
    let mut popularity = adaptive();
    let mut observe = |demand: &Demand| {
        let mix = subject_mix(&mut random);
        let sample = sample(&demand.subjects(), &mix, USUAL_SELECTIONS, &mut random);
        let trend = popularity.observe(&sample, WINDOW);
        (trend, counts(&popularity) == sample)
    };
    for _ in 0..20 {
        observe(&demand);
    }
    for order in &mut demand.order {
        for position in 6..FLAT.popular.len() {
            order.swap(position, position + 64);
        }
    }
    assert_eq!(observe(&demand), (Trend::Steady, false));
    assert_eq!(observe(&demand), (Trend::Shifted, true));
    assert_eq!(observe(&demand), (Trend::Steady, false));
}

/// Guards against an estimate that keeps old demand for long after a shift in the middle of a sample.
#[test]
fn mixed_sample_replaced() {
    for (profile, load) in profiles_and_loads() {
        for seed in 1..=6 {
            let windows = windows(profile, load, 4 * SHIFT_WINDOWS, seed);
            let mut popularity = adaptive();
            for (index, window) in windows.iter().enumerate() {
                popularity.observe(&window.sample, WINDOW);
                // The second sample that was recorded after the shift as a whole.
                if index > SHIFT_WINDOWS && index % SHIFT_WINDOWS == 1 {
                    let distance = distance(&counts(&popularity), &window.demand);
                    let limit = if load == Load::Usual { 0.08 } else { 0.16 };
                    assert!(distance < limit, "{load:?}, seed {seed}, window {index}: {distance:.3}");
                }
            }
        }
    }
}

/// Guards against false shifts while many requests of one subject arrive at the same time: such a sample differs as much
/// as after a small shift, but the most selected experts keep their shares.
#[test]
fn dominated_sample_is_no_shift() {
    for (profile, load) in profiles_and_loads() {
        let mut random = Random(11);
        let subjects = Demand::new(profile, &mut random).subjects();
        let mut popularity = adaptive();
        let mut distances = Vec::new();
        for index in 0..600 {
            let is_dominated = index % 20 == 19;
            let mix = if is_dominated {
                dominated_mix(&mut random)
            } else {
                subject_mix(&mut random)
            };
            let sample = sample(&subjects, &mix, load.selections(&mut random), &mut random);
            if is_dominated {
                distances.push(distance(&counts(&popularity), &sample));
            }
            assert_eq!(
                popularity.observe(&sample, WINDOW),
                Trend::Steady,
                "window {index}, {load:?}"
            );
        }
        let largest = distances.iter().copied().fold(0.0, f64::max);
        assert!(largest > 0.12, "{largest}");
    }
}
