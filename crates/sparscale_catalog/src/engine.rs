//! The performance model of a model engine, as the operator's configuration describes it.

use serde::{Deserialize, Serialize};

/// Performance model of the engines of one service. Times are in milliseconds, counts in tokens unless a field says
/// otherwise.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineProfile {
    /// Most requests that one target runs at once.
    pub slots: u32,
    /// Context tokens that fit into the memory of one target.
    pub memory_tokens: u64,
    /// Decoding steps in one pass; the event at the end of a pass carries as many tokens.
    pub steps_per_pass: u32,
    /// Time of a decoding step without requests.
    pub step_ms: f64,
    /// Time that each decoding request adds to a step.
    pub step_ms_per_request: f64,
    /// Time that each thousand context tokens add to a step.
    #[serde(rename = "step_ms_per_thousand")]
    pub step_ms_per_thousand_tokens: f64,
    /// Prompt tokens prefilled per millisecond.
    #[serde(rename = "prefill_per_ms")]
    pub prefill_tokens_per_ms: f64,
    /// Prefill time of a million pairs of a prompt token and an earlier one, which is the quadratic cost of attention.
    pub prefill_ms_per_million_pairs: f64,
    /// Most prompt tokens that are prefilled in one step.
    #[serde(rename = "prefill_chunk")]
    pub prefill_chunk_tokens: u32,
    /// Age of the load when the report of a target reaches other boxes.
    pub report_lag_ms: f64,
    /// Mean prompt length of a request.
    #[serde(rename = "usual_prompt")]
    pub mean_prompt_tokens: u32,
    /// Mean response length of a request.
    #[serde(rename = "usual_answer")]
    pub mean_response_tokens: u32,
    /// Layout of the experts; none for a dense model.
    pub experts: Option<ExpertLayout>,
}

/// Layout of the experts in a group of ranks.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ExpertLayout {
    /// Number of layer sets; each has its own placement of experts.
    #[serde(rename = "sets")]
    pub set_count: usize,
    /// Number of experts in each set.
    #[serde(rename = "count")]
    pub experts_per_set: usize,
    /// Most experts of a set that one rank serves.
    #[serde(rename = "places")]
    pub max_experts_per_rank: usize,
    /// Experts of a set that a rank can load in addition to those it serves.
    #[serde(rename = "spare")]
    pub spare_experts_per_rank: usize,
    /// Size of the weights of one expert, in megabytes.
    #[serde(rename = "megabytes")]
    pub expert_megabytes: f64,
    /// Rate at which a rank loads weights, in megabits per second.
    pub load_mbps: f64,
    /// Fraction of the work for a token that its experts do.
    #[serde(rename = "work_share")]
    pub expert_work_fraction: f64,
    /// Time that a broken group takes to open again once its ranks have recovered.
    #[serde(rename = "form_ms")]
    pub group_recovery_ms: f64,
}

impl ExpertLayout {
    /// Time in which a rank loads one expert, in milliseconds.
    pub fn load_ms(&self) -> f64 {
        self.expert_megabytes * 8.0 / self.load_mbps.max(f64::MIN_POSITIVE) * 1_000.0
    }
}

impl EngineProfile {
    /// Time of one pass over `requests` decoding requests with `context_tokens` in total, in milliseconds.
    ///
    /// `skew` is the time of the slowest rank relative to the mean.
    pub fn pass_ms(&self, requests: f64, context_tokens: f64, skew: f64) -> f64 {
        let requests_ms = self.step_ms_per_request * requests;
        let context_ms = self.step_ms_per_thousand_tokens * context_tokens / 1_000.0;
        f64::from(self.steps_per_pass) * (self.step_ms + requests_ms + context_ms) * skew
    }

    /// Time of one pass in steady state with `requests` requests on each rank, in milliseconds: each completed response
    /// is followed by the prefill of a new prompt.
    ///
    /// `skew` is the load skew of the experts, `slowdown` that of the slowest rank with requests. A slowdown applies to
    /// the whole pass: a single request on a rank with a slowdown of 12 makes the pass take 12 times as long.
    pub fn sustained_pass_ms(&self, requests: f64, skew: f64, slowdown: f64) -> f64 {
        let context_per_request = f64::from(self.mean_prompt_tokens + self.mean_response_tokens / 2);
        let passes = f64::from(self.mean_response_tokens.max(1)) / f64::from(self.steps_per_pass.max(1));
        let prefill_ms = requests / passes.max(1.0) * self.prefill_ms(self.mean_prompt_tokens);
        let balanced_ms = self.pass_ms(requests, requests * context_per_request, 1.0) + prefill_ms;
        let expert_fraction = self.experts.map_or(0.0, |experts| experts.expert_work_fraction);
        balanced_ms * (expert_fraction * skew + 1.0 - expert_fraction).max(slowdown)
    }

    /// Time in which an idle engine prefills a prompt of `tokens`, in milliseconds.
    pub fn prefill_ms(&self, tokens: u32) -> f64 {
        let tokens = f64::from(tokens);
        let million_pairs = tokens * tokens / 2.0 / 1.0e6;
        tokens / self.prefill_tokens_per_ms.max(f64::MIN_POSITIVE) + million_pairs * self.prefill_ms_per_million_pairs
    }
}
