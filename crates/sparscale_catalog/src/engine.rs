//! How a model engine computes, as the operator's configuration describes it.

use serde::{Deserialize, Serialize};

/// Figures of the engines of one service. Times are in milliseconds, counts in tokens unless a field says otherwise.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Requests that one target runs at once.
    pub slots: u32,
    /// Tokens of context that fit into one target's memory.
    pub memory_tokens: u64,
    /// Steps of decoding in one pass; the event that ends a pass carries that many tokens.
    pub steps_per_pass: u32,
    /// Time of a decoding step with nobody on it.
    pub step_ms: f64,
    /// Time that each writing request adds to a step.
    pub step_ms_per_request: f64,
    /// Time that each thousand tokens of context add to a step.
    pub step_ms_per_thousand: f64,
    /// Prompt tokens read in a millisecond.
    pub prefill_per_ms: f64,
    /// Time of a million pairs of a prompt token and one before it.
    pub prefill_ms_per_million_pairs: f64,
    /// Prompt tokens that are read in one step at most.
    pub prefill_chunk: u32,
    /// Age of the load that a target reports to other boxes.
    pub report_lag_ms: f64,
    /// Mean prompt of a request.
    pub usual_prompt: u32,
    /// Mean answer of a request.
    pub usual_answer: u32,
    /// How its experts are laid out; none for a dense model.
    pub experts: Option<Experts>,
}

/// Experts of a group of ranks.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Experts {
    /// Sets of layers; each has a placement of its own.
    pub sets: usize,
    /// Experts in each set.
    pub count: usize,
    /// Experts that one rank holds of a set at most.
    pub places: usize,
    /// Experts of a set that a rank can load beside those in use.
    pub spare: usize,
    /// Size of one expert's weights, in megabytes.
    pub megabytes: f64,
    /// Rate at which a rank loads weights, in megabits a second.
    pub load_mbps: f64,
    /// Part of the work for a token that its experts do.
    pub work_share: f64,
    /// Time after which a broken group opens again once its ranks are back.
    pub form_ms: f64,
}

impl Experts {
    /// Time that a rank takes to load one expert, in milliseconds.
    pub fn load_ms(&self) -> f64 {
        self.megabytes * 8.0 / self.load_mbps.max(f64::MIN_POSITIVE) * 1_000.0
    }
}

impl Engine {
    /// Time of one pass over `requests` writing requests with `context` tokens of context in all, when the slowest
    /// rank takes `skew` times the mean, in milliseconds.
    pub fn pass_ms(&self, requests: f64, context: f64, skew: f64) -> f64 {
        let per_request = self.step_ms_per_request * requests;
        let per_context = self.step_ms_per_thousand * context / 1_000.0;
        f64::from(self.steps_per_pass) * (self.step_ms + per_request + per_context) * skew
    }

    /// Time of one pass while `requests` requests are kept up on each rank, in milliseconds: as many prompts are read as
    /// answers end. `skew` is that of the experts, `pace` how many times as long as usual the slowest rank with requests
    /// takes: a pass with one request on a rank twelve times as slow was seen to take as long as twelve.
    pub fn lasting_pass_ms(&self, requests: f64, skew: f64, pace: f64) -> f64 {
        let context = f64::from(self.usual_prompt + self.usual_answer / 2);
        let passes = f64::from(self.usual_answer.max(1)) / f64::from(self.steps_per_pass.max(1));
        let prompts = requests / passes.max(1.0) * self.prefill_ms(self.usual_prompt);
        let even = self.pass_ms(requests, requests * context, 1.0) + prompts;
        let of_experts = self.experts.map_or(0.0, |experts| experts.work_share);
        even * (of_experts * skew + 1.0 - of_experts).max(pace)
    }

    /// Time that reading a prompt of `tokens` takes an idle engine, in milliseconds.
    pub fn prefill_ms(&self, tokens: u32) -> f64 {
        let tokens = f64::from(tokens);
        let pairs = tokens * tokens / 2.0 / 1.0e6;
        tokens / self.prefill_per_ms.max(f64::MIN_POSITIVE) + pairs * self.prefill_ms_per_million_pairs
    }
}
