//! Models estimated from load reports and finished requests: step time and residence time.

use std::time::Duration;

/// Factor by which earlier observations are discounted with each new one.
const RETENTION: f64 = 0.98;
/// Step time without load before the first observation, in milliseconds.
const INITIAL_BASE_MS: f64 = 4.5;
/// Step time added by each sequence before the first observation, in milliseconds.
const INITIAL_SLOPE_MS: f64 = 0.1;
/// Variance of observed loads below which the slope cannot be estimated.
const MIN_LOAD_VARIANCE: f64 = 0.5;

/// Linear least-squares fit of step time over the largest rank load, with exponential forgetting.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StepModel {
    weight: f64,
    load_sum: f64,
    time_sum: f64,
    load_squared_sum: f64,
    load_time_sum: f64,
}

impl Default for StepModel {
    fn default() -> Self {
        Self {
            weight: 0.0,
            load_sum: 0.0,
            time_sum: 0.0,
            load_squared_sum: 0.0,
            load_time_sum: 0.0,
        }
    }
}

impl StepModel {
    /// Records a step of `milliseconds` whose most loaded rank ran `load` sequences.
    pub fn observe(&mut self, load: f64, milliseconds: f64) {
        self.weight = self.weight * RETENTION + 1.0;
        self.load_sum = self.load_sum * RETENTION + load;
        self.time_sum = self.time_sum * RETENTION + milliseconds;
        self.load_squared_sum = self.load_squared_sum * RETENTION + load * load;
        self.load_time_sum = self.load_time_sum * RETENTION + load * milliseconds;
    }

    /// Step time added by one more sequence on the most loaded rank, in milliseconds.
    pub fn slope_ms(&self) -> f64 {
        if self.weight < 2.0 {
            return INITIAL_SLOPE_MS;
        }
        let mean = self.load_sum / self.weight;
        let variance = self.load_squared_sum / self.weight - mean * mean;
        if variance < MIN_LOAD_VARIANCE {
            return INITIAL_SLOPE_MS;
        }
        let covariance = self.load_time_sum / self.weight - mean * self.time_sum / self.weight;
        (covariance / variance).max(0.0)
    }

    /// Step time when the most loaded rank runs `load` sequences, in milliseconds.
    pub fn step_ms(&self, load: f64) -> f64 {
        if self.weight == 0.0 {
            return INITIAL_BASE_MS + INITIAL_SLOPE_MS * load;
        }
        let mean_load = self.load_sum / self.weight;
        let mean_time = self.time_sum / self.weight;
        mean_time + self.slope_ms() * (load - mean_load)
    }
}

/// Remaining time assumed for a request in progress before the first observation, in seconds.
const INITIAL_RESIDUAL_SECS: f64 = 0.5;

/// Residence time of requests, with exponential forgetting.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ResidenceTimes {
    weight: f64,
    seconds_sum: f64,
    seconds_squared_sum: f64,
}

impl ResidenceTimes {
    /// Records a request that lasted `residence`.
    pub fn observe(&mut self, residence: Duration) {
        let seconds = residence.as_secs_f64();
        self.weight = self.weight * RETENTION + 1.0;
        self.seconds_sum = self.seconds_sum * RETENTION + seconds;
        self.seconds_squared_sum = self.seconds_squared_sum * RETENTION + seconds * seconds;
    }

    /// Mean remaining time of a request that is in progress at a random moment, in seconds. Such a request is more
    /// likely to be a long one, so this is the second moment over twice the first.
    pub fn residual_seconds(&self) -> f64 {
        if self.weight < 2.0 || self.seconds_sum <= 0.0 {
            return INITIAL_RESIDUAL_SECS;
        }
        self.seconds_squared_sum / (2.0 * self.seconds_sum)
    }
}
