//! Popularity of each expert, as token counts that decay with age.

use std::time::Duration;

use crate::map::Shape;

/// Decayed token counts of each expert in each layer.
#[derive(Debug, Clone, PartialEq)]
pub struct TokenCounts {
    shape: Shape,
    half_life: Duration,
    tokens: Vec<f64>,
}

impl TokenCounts {
    /// Empty counts. A count loses half its weight in each `half_life`.
    pub fn new(shape: Shape, half_life: Duration) -> Self {
        Self {
            shape,
            half_life,
            tokens: vec![0.0; shape.layers * shape.experts],
        }
    }

    /// Decays the counts for the time `elapsed`, then adds `tokens`: layer by layer, one number for each expert. A list
    /// of another length comes from a target of another shape and is ignored.
    pub fn observe(&mut self, tokens: &[f64], elapsed: Duration) {
        if tokens.len() != self.tokens.len() {
            return;
        }
        let half_lives = elapsed.as_secs_f64() / self.half_life.as_secs_f64().max(f64::MIN_POSITIVE);
        let decay_factor = 0.5_f64.powf(half_lives);
        for (count, new) in self.tokens.iter_mut().zip(tokens) {
            *count = *count * decay_factor + new;
        }
    }

    /// Counts of one layer, one for each expert.
    pub fn layer(&self, layer: usize) -> &[f64] {
        let start = layer * self.shape.experts;
        &self.tokens[start..start + self.shape.experts]
    }

    /// Sum of all counts.
    pub fn total(&self) -> f64 {
        self.tokens.iter().sum()
    }

    /// Dimensions of the group.
    pub fn shape(&self) -> Shape {
        self.shape
    }
}
