//! Estimators of the demand that are compared.

use std::collections::VecDeque;
use std::time::Duration;

use sparscale_place::Popularity;

use crate::demand::{SHAPE, WINDOW, distance};

const HALF_LIFE: Duration = Duration::from_millis(1_500);

pub(crate) fn counts(popularity: &Popularity) -> Vec<f64> {
    (0..SHAPE.layers)
        .flat_map(|set| popularity.counts_of_set(set).to_vec())
        .collect()
}

pub(crate) fn popularity_of(counts: &[f64]) -> Popularity {
    let mut popularity = Popularity::new(SHAPE.layers, SHAPE.experts, HALF_LIFE);
    popularity.observe(counts, WINDOW);
    popularity
}

/// Estimates demand from the counts of each window.
pub(crate) trait Estimator {
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
pub(crate) struct FixedLimit {
    counts: Vec<f64>,
}

pub(crate) const FIXED_SHIFT_DISTANCE: f64 = 0.35;

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
pub(crate) struct Sliding {
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

pub(crate) fn adaptive() -> Popularity {
    Popularity::new(SHAPE.layers, SHAPE.experts, HALF_LIFE)
}

pub(crate) fn sliding() -> Sliding {
    Sliding {
        samples: VecDeque::new(),
        windows: 6,
    }
}
