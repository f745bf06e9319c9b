//! What is learnt from load reports and finished requests: step times and how long requests last.

use std::time::Duration;

/// Weight that an earlier observation keeps with each new one.
const FORGET: f64 = 0.98;
/// Step time without load before anything was observed, in milliseconds.
const INITIAL_BASE_MS: f64 = 4.5;
/// Step time added by each sequence before anything was observed, in milliseconds.
const INITIAL_SLOPE_MS: f64 = 0.1;
/// Spread of observed loads below which no slope can be told.
const MIN_SPREAD: f64 = 0.5;

/// Least squares, with forgetting, of step time over the largest rank load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StepModel {
    weight: f64,
    load: f64,
    time: f64,
    load_squared: f64,
    load_time: f64,
}

impl Default for StepModel {
    fn default() -> Self {
        Self {
            weight: 0.0,
            load: 0.0,
            time: 0.0,
            load_squared: 0.0,
            load_time: 0.0,
        }
    }
}

impl StepModel {
    /// Takes in a step of `milliseconds` whose most loaded rank ran `load` sequences.
    pub fn observe(&mut self, load: f64, milliseconds: f64) {
        self.weight = self.weight * FORGET + 1.0;
        self.load = self.load * FORGET + load;
        self.time = self.time * FORGET + milliseconds;
        self.load_squared = self.load_squared * FORGET + load * load;
        self.load_time = self.load_time * FORGET + load * milliseconds;
    }

    /// Step time added by one more sequence on the most loaded rank, in milliseconds.
    pub fn slope_ms(&self) -> f64 {
        if self.weight < 2.0 {
            return INITIAL_SLOPE_MS;
        }
        let mean = self.load / self.weight;
        let spread = self.load_squared / self.weight - mean * mean;
        if spread < MIN_SPREAD {
            return INITIAL_SLOPE_MS;
        }
        let covariance = self.load_time / self.weight - mean * self.time / self.weight;
        (covariance / spread).max(0.0)
    }

    /// Step time when the most loaded rank runs `load` sequences, in milliseconds.
    pub fn step_ms(&self, load: f64) -> f64 {
        if self.weight == 0.0 {
            return INITIAL_BASE_MS + INITIAL_SLOPE_MS * load;
        }
        let mean_load = self.load / self.weight;
        let mean_time = self.time / self.weight;
        mean_time + self.slope_ms() * (load - mean_load)
    }
}

/// Time that a request in progress is taken to last before any was observed, in seconds.
const INITIAL_RESIDUAL: f64 = 0.5;

/// How long requests last, with forgetting.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Holding {
    weight: f64,
    seconds: f64,
    seconds_squared: f64,
}

impl Holding {
    /// Takes in a request that lasted `held`.
    pub fn observe(&mut self, held: Duration) {
        let seconds = held.as_secs_f64();
        self.weight = self.weight * FORGET + 1.0;
        self.seconds = self.seconds * FORGET + seconds;
        self.seconds_squared = self.seconds_squared * FORGET + seconds * seconds;
    }

    /// Mean time that a request found in progress still lasts, in seconds. Long requests are found more often, so
    /// this is the second moment over twice the first.
    pub fn residual_seconds(&self) -> f64 {
        if self.weight < 2.0 || self.seconds <= 0.0 {
            return INITIAL_RESIDUAL;
        }
        self.seconds_squared / (2.0 * self.seconds)
    }
}
