//! Synthetic demand for experts that shifts, drifts and is seen through noise.

use std::time::Duration;

use sparscale_place::{Popularity, Shape};

/// A linear congruential generator: demand differs by seed, and is the same in each run.
pub(crate) struct Numbers(pub(crate) u64);

impl Numbers {
    pub(crate) fn next(&mut self) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        self.0 >> 33
    }

    pub(crate) fn below(&mut self, limit: usize) -> usize {
        self.next() as usize % limit
    }

    /// Uniform from 0 to 1.
    pub(crate) fn fraction(&mut self) -> f64 {
        self.next() as f64 / (1_u64 << 31) as f64
    }
}

/// Demand for experts as the sum of nine subjects, each of which selects some experts of each set more often.
pub(crate) struct Demand {
    pub(crate) shape: Shape,
    pub(crate) numbers: Numbers,
    pub(crate) subjects: Vec<Vec<f64>>,
    /// Deviation of a subject's part of a window from its mean.
    pub(crate) spread: f64,
}

impl Demand {
    pub(crate) fn new(shape: Shape, seed: u64) -> Self {
        let mut demand = Self {
            shape,
            numbers: Numbers(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) + 1),
            subjects: Vec::new(),
            spread: 0.25,
        };
        for _ in 0..9 {
            let subject = demand.subject();
            demand.subjects.push(subject);
        }
        demand
    }

    pub(crate) fn subject(&mut self) -> Vec<f64> {
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
    pub(crate) fn shift(&mut self) {
        for index in 0..self.subjects.len() / 2 {
            self.subjects[index] = self.subject();
        }
        self.subjects.rotate_left(4);
    }

    /// Moves a few hundredths of the demand to another subject.
    pub(crate) fn drift(&mut self) {
        let target = self.subject();
        let index = self.numbers.below(self.subjects.len());
        for (share, new) in self.subjects[index].iter_mut().zip(target) {
            *share = *share * 0.9 + new * 0.1;
        }
    }

    /// Selection counts of 100 ms from the running requests, whose mix of subjects varies by chance.
    pub(crate) fn sample(&self, noise: &mut Numbers) -> Vec<f64> {
        let mut counts = vec![0.0; self.shape.layers * self.shape.experts];
        for subject in &self.subjects {
            let weight = 40_000.0 * (1.0 - self.spread + 2.0 * self.spread * noise.fraction());
            for (count, share) in counts.iter_mut().zip(subject) {
                *count += share * weight * (0.9 + 0.2 * noise.fraction());
            }
        }
        counts
    }

    /// Selection counts of 100 ms.
    pub(crate) fn counts(&self) -> Vec<f64> {
        let mut counts = vec![0.0; self.shape.layers * self.shape.experts];
        for subject in &self.subjects {
            for (count, share) in counts.iter_mut().zip(subject) {
                *count += share * 40_000.0;
            }
        }
        counts
    }

    pub(crate) fn popularity(&self) -> Popularity {
        let mut popularity = Popularity::new(self.shape.layers, self.shape.experts, Duration::from_millis(1_500));
        popularity.observe(&self.counts(), Duration::from_millis(100));
        popularity
    }
}
