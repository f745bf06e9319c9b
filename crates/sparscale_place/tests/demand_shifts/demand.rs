//! Synthetic selection counts of a group whose demand shifts often.

use std::time::Duration;

use sparscale_place::Shape;

pub(crate) const SHAPE: Shape = Shape {
    ranks: 72,
    layers: 12,
    experts: 144,
    slots: 3,
};
pub(crate) const WINDOW: Duration = Duration::from_millis(100);
/// Windows from one shift to the next.
pub(crate) const SHIFT_WINDOWS: usize = 24;
pub(crate) const SUBJECTS: usize = 9;
/// Selections of a token: the experts that it uses, in all sets.
pub(crate) const SELECTIONS_PER_TOKEN: f64 = 96.0;
/// Selections in a usual window of a third of the ranks.
pub(crate) const USUAL_SELECTIONS: f64 = 4.0e6;
/// Windows for which the running requests have the same mix of subjects.
pub(crate) const MIX_WINDOWS: usize = 5;

/// Seeded pseudo-random numbers (splitmix64).
pub(crate) struct Random(pub(crate) u64);

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
pub(crate) struct Profile {
    pub(crate) name: &'static str,
    /// Shares of the most popular experts; the others share the remainder evenly.
    pub(crate) popular: &'static [f64],
    /// Popular experts of which a shift replaces every `shift_stride`-th one.
    shift_stride: usize,
}

/// The top expert has 3.7 % of the demand and a typical one 0.5 %; a shift is a distance of 0.23 to 0.35.
pub(crate) const FLAT: Profile = Profile {
    name: "flat",
    popular: &[
        0.037, 0.035, 0.032, 0.030, 0.028, 0.026, 0.024, 0.022, 0.020, 0.018, 0.016, 0.015, 0.014, 0.013, 0.012, 0.011,
    ],
    shift_stride: 2,
};
/// A few experts have most of the demand, and a shift is a distance of about 1.
pub(crate) const PEAKED: Profile = Profile {
    name: "peaked",
    popular: &[0.23, 0.10, 0.06, 0.045, 0.03, 0.02, 0.015, 0.01],
    shift_stride: 1,
};

/// Demand that consists of subjects: each one's distribution is a mixture of a common part and its own part.
pub(crate) struct Demand {
    profile: Profile,
    /// Experts of each set, the most popular ones first.
    pub(crate) order: Vec<Vec<usize>>,
    /// Popular experts of each subject in each set.
    own_order: Vec<Vec<Vec<usize>>>,
}

pub(crate) const COMMON_SHARE: f64 = 0.7;
/// Experts that a subject prefers, and how many times as often as in the common part it selects them.
pub(crate) const OWN_EXPERTS: usize = 24;
pub(crate) const OWN_WEIGHT: f64 = 8.0;

impl Demand {
    pub(crate) fn new(profile: Profile, random: &mut Random) -> Self {
        let order = (0..SHAPE.layers).map(|_| random.shuffled_experts()).collect();
        let own = (0..SUBJECTS).map(|_| (0..SHAPE.layers).map(|_| random.shuffled_experts()).collect());
        Self {
            profile,
            order,
            own_order: own.collect(),
        }
    }

    /// Replaces popular experts of each set by unpopular ones.
    pub(crate) fn shift(&mut self, random: &mut Random) {
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

    pub(crate) fn subjects(&self) -> Vec<Vec<f64>> {
        (0..SUBJECTS).map(|subject| self.of_subject(subject)).collect()
    }

    /// Shares over all subjects: the demand that maps have to balance.
    pub(crate) fn mean(&self) -> Vec<f64> {
        let subjects = self.subjects();
        let mean = |expert: usize| subjects.iter().map(|shares| shares[expert]).sum::<f64>() / SUBJECTS as f64;
        (0..SHAPE.layers * SHAPE.experts).map(mean).collect()
    }
}

/// How many selections the windows have.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Load {
    /// About 4 million.
    Usual,
    /// Every sixth window, chosen by chance, has 0.1 to 0.3 million: few ranks report, or the group was held.
    Uneven,
    /// 0.1 to 0.3 million.
    Small,
    /// 0.03 to 0.09 million: two samples often differ by more than 0.35.
    Tiny,
}

pub(crate) const LOADS: [Load; 3] = [Load::Usual, Load::Uneven, Load::Small];

impl Load {
    pub(crate) fn selections(self, random: &mut Random) -> f64 {
        let is_small = self == Self::Uneven && random.below(6) == 0;
        let (least, range) = match self {
            Self::Tiny => (3.0e4, 6.0e4),
            Self::Small => (1.0e5, 2.0e5),
            Self::Uneven if is_small => (1.0e5, 2.0e5),
            Self::Usual | Self::Uneven => (0.67 * USUAL_SELECTIONS, 0.66 * USUAL_SELECTIONS),
        };
        least + range * random.uniform()
    }
}

/// A mix in which every other request is of one subject, as when a large customer starts a job.
pub(crate) fn dominated_mix(random: &mut Random) -> [f64; SUBJECTS] {
    let mut mix = subject_mix(random).map(|share| 0.5 * share);
    mix[random.below(SUBJECTS)] += 0.5;
    mix
}

/// Shares of the subjects in the running requests.
pub(crate) fn subject_mix(random: &mut Random) -> [f64; SUBJECTS] {
    let weights = [0.0; SUBJECTS].map(|_| 0.6 + 0.8 * random.uniform());
    let sum: f64 = weights.iter().sum();
    weights.map(|weight| weight / sum)
}

/// Counts of one window in which tokens arrive in clusters of some hundred of one subject.
pub(crate) fn sample(subjects: &[Vec<f64>], mix: &[f64; SUBJECTS], selections: f64, random: &mut Random) -> Vec<f64> {
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
pub(crate) fn distance(left: &[f64], right: &[f64]) -> f64 {
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

pub(crate) fn profiles_and_loads() -> impl Iterator<Item = (Profile, Load)> {
    [FLAT, PEAKED]
        .into_iter()
        .flat_map(|profile| LOADS.map(|load| (profile, load)))
}

/// One window of a replay.
pub(crate) struct Window {
    /// Counts of the ranks that report.
    pub(crate) sample: Vec<f64>,
    /// Demand of the window.
    pub(crate) demand: Vec<f64>,
}

/// Windows in which demand shifts every 2.4 s, at some point within a window.
pub(crate) fn windows(profile: Profile, load: Load, count: usize, seed: u64) -> Vec<Window> {
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
pub(crate) fn is_shift(index: usize) -> bool {
    index % SHIFT_WINDOWS == SHIFT_WINDOWS - 1
}
