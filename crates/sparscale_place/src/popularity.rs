//! Which experts are in demand now, from counts that arrive every moment.
//!
//! Demand stands still for seconds and then shifts at once, to other experts. So a sample that differs from what was
//! seen before by more than chance replaces it, and samples that agree are added up.

use std::time::Duration;

/// Distance between two distributions, from 0 to 2, beyond which demand has shifted. A shift moves most of the
/// demand; chance and the mix of the requests in progress move a few hundredths.
const SHIFTED: f64 = 0.35;
/// Picks in a sample below which its distance says nothing.
const MIN_SAMPLE: f64 = 1_000.0;

/// Picks of each expert in each set.
#[derive(Debug, Clone, PartialEq)]
pub struct Popularity {
    experts: usize,
    half_life: Duration,
    picks: Vec<f64>,
    /// Samples taken in since the last shift.
    samples: u32,
}

/// What a sample meant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trend {
    /// It agrees with what was seen before.
    Steady,
    /// It replaced what was seen before.
    Shifted,
    /// It was too small to tell.
    Small,
}

impl Popularity {
    /// Nothing is known yet of `sets` sets of `experts` experts. A pick is worth half after `half_life`.
    pub fn new(sets: usize, experts: usize, half_life: Duration) -> Self {
        Self {
            experts,
            half_life,
            picks: vec![0.0; sets * experts],
            samples: 0,
        }
    }

    /// Takes in the picks of the last `span`, set by set. A sample of another shape is left out.
    pub fn observe(&mut self, sample: &[f64], span: Duration) -> Trend {
        if sample.len() != self.picks.len() {
            return Trend::Small;
        }
        let picks: f64 = sample.iter().sum();
        if picks < MIN_SAMPLE {
            return Trend::Small;
        }
        if self.samples > 0 && self.distance(sample) > SHIFTED {
            self.picks.copy_from_slice(sample);
            self.samples = 1;
            return Trend::Shifted;
        }
        let keep = 0.5_f64.powf(span.as_secs_f64() / self.half_life.as_secs_f64().max(f64::MIN_POSITIVE));
        for (count, new) in self.picks.iter_mut().zip(sample) {
            *count = *count * keep + new;
        }
        self.samples += 1;
        Trend::Steady
    }

    /// Picks of one set, expert by expert.
    pub fn set(&self, set: usize) -> &[f64] {
        &self.picks[set * self.experts..(set + 1) * self.experts]
    }

    /// Samples since the last shift.
    pub fn samples(&self) -> u32 {
        self.samples
    }

    /// All picks that are remembered.
    pub fn total(&self) -> f64 {
        self.picks.iter().sum()
    }

    /// Sets.
    pub fn sets(&self) -> usize {
        self.picks.len() / self.experts.max(1)
    }

    /// Mean over the sets of the distance between the distribution of `sample` and the one seen before.
    fn distance(&self, sample: &[f64]) -> f64 {
        let sets = self.sets().max(1);
        let pairs = self.picks.chunks(self.experts).zip(sample.chunks(self.experts));
        let total: f64 = pairs.map(|(old, new)| distance(old, new)).sum();
        total / sets as f64
    }
}

fn distance(old: &[f64], new: &[f64]) -> f64 {
    let (old_sum, new_sum): (f64, f64) = (old.iter().sum(), new.iter().sum());
    if old_sum <= 0.0 || new_sum <= 0.0 {
        return 0.0;
    }
    let pairs = old.iter().zip(new);
    pairs.map(|(old, new)| (old / old_sum - new / new_sum).abs()).sum()
}
