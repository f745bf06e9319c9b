//! Computes how many more requests a group of engines can take while its streams keep to the allowed pauses.
//!
//! Load pattern: a burst, or a shift of demand that lengthens each pass until the next expert map is active.
//!
//! All ranks of a group advance together, so a pass takes as long as the rank with the most requests needs. The pass
//! time rises slowly up to a certain number of requests. Beyond it every stream of the group is late, and since late
//! streams occupy their places longer, the group doesn't recover by itself. So requests beyond that number wait, or
//! their callers are given a retry time.

use std::time::Duration;

use sparscale_catalog::EngineProfile;
use sparscale_wire::{group, rank};

/// Fraction of the allowed pause that passes may take: the remainder is for prompts processed in between and for the
/// network.
const MAX_PASS_FRACTION: f64 = 0.62;
/// Fraction of the allowed pause that a pass may take by the engine's performance model, which spreads prompts evenly.
/// A lower limit costs more answers than it saves pauses.
const MAX_MODEL_PASS_FRACTION: f64 = 1.1;
/// Skew within which group leaders keep their groups.
const USUAL_SKEW: f64 = 1.3;
/// Requests for each rank while streams are late at any number of requests: with more, streams would stay late long
/// after the cause has ended.
const LATE_REQUESTS_PER_RANK: f64 = 6.0;
/// Minimum number of requests for each rank, whatever the pass times: with fewer there is hardly any throughput.
const MIN_REQUESTS_PER_RANK: f64 = 3.0;

/// How many more requests fit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Headroom {
    /// For requests that can still be on time.
    pub timely: f64,
    /// For requests that are already late.
    pub late: f64,
}

impl Headroom {
    /// No limit, for a group whose loads are not known.
    pub const UNLIMITED: Self = Self {
        timely: f64::INFINITY,
        late: f64::INFINITY,
    };

    /// The same headroom for timely and late requests.
    pub fn uniform(requests: f64) -> Self {
        Self {
            timely: requests,
            late: requests,
        }
    }

    /// Adds `requests`, which may be negative.
    pub fn add(&mut self, requests: f64) {
        self.timely += requests;
        self.late += requests;
    }
}

/// Number of requests that the ranks of `load` may hold in total, waiting ones included.
///
/// The engine's performance model gives the growth of the pass time with the requests of a rank. The latest passes show
/// what they take in addition, such as for prompts and uneven experts. Where even a single request is late, only the
/// number of slots limits the capacity.
pub fn capacity(load: &group::Load, engine: &EngineProfile, max_pause: Duration) -> f64 {
    let ranks = load.rank_loads.len() as f64;
    let slots = f64::from(engine.slots);
    let reported: Vec<f64> = load
        .rank_loads
        .iter()
        .flatten()
        .map(|rank| f64::from(rank.running))
        .collect();
    if reported.is_empty() || load.mean_pass_micros == 0 {
        return ranks * slots;
    }
    let mean = reported.iter().sum::<f64>() / reported.len() as f64;
    let context = f64::from(engine.mean_prompt_tokens + engine.mean_response_tokens / 2);
    // A shift of demand causes a large skew only briefly; a lasting skew shows in the pass times.
    let skew = load.skew.clamp(1.0, USUAL_SKEW);
    let model_ms = |requests: f64| engine.pass_ms(requests, requests * context, skew);
    let actual_ms = load.mean_pass_micros as f64 / 1_000.0;
    // The time that passes take beyond the model does not shrink with fewer requests, so it counts as constant.
    let extra_ms = (actual_ms - model_ms(mean)).max(0.0);
    let allowed_ms = max_pause.as_secs_f64() * 1_000.0 * MAX_PASS_FRACTION;
    if extra_ms > allowed_ms {
        // Because of a straggler, for example: every stream is late at any number of requests, and a late answer is
        // worth more than none.
        return ranks * slots.min(LATE_REQUESTS_PER_RANK);
    }
    let fits = |requests: f64| model_ms(requests) + extra_ms.min(allowed_ms / 2.0) <= allowed_ms;
    if !fits(1.0) {
        return ranks * slots;
    }
    let mut requests = slots;
    while requests > MIN_REQUESTS_PER_RANK && !fits(requests) {
        requests -= 0.5;
    }
    ranks * requests
}

/// Number of requests that the ranks of `load` may hold in total under the current skew: as `timely`, the number at
/// which passes keep to the allowed pause; as `late`, the number at which late answers still arrive soon.
///
/// While passes with the current requests are longer than the allowed pause, no further request is admitted that could
/// be on time later: demand shifts at once, and the next expert map is active half a second later. Requests that are
/// already late lose nothing by being admitted in the meantime.
pub fn capacity_at_current_skew(load: &group::Load, engine: &EngineProfile, max_pause: Duration) -> Headroom {
    let late = capacity(load, engine, max_pause);
    if load.skew < 1.0 || load.mean_pass_micros == 0 {
        return Headroom::uniform(late);
    }
    let ranks = load.rank_loads.len() as f64;
    // A straggler without requests has no work of its own in a pass.
    let busy = load
        .rank_loads
        .iter()
        .flatten()
        .filter(|rank| rank.running > 0 || rank.queued > 0);
    let slowdown = busy.map(rank::Load::slowdown).fold(1.0, f64::max);
    let pause_ms = max_pause.as_secs_f64() * 1_000.0;
    let pass_ms = |requests: f64| engine.sustained_pass_ms(requests, load.skew, slowdown);
    if pass_ms(reported_requests(load) / ranks) > pause_ms {
        return Headroom { timely: 0.0, late };
    }
    let mut requests = f64::from(engine.slots);
    while requests > 0.0 && pass_ms(requests) > pause_ms * MAX_MODEL_PASS_FRACTION {
        requests -= 0.25;
    }
    Headroom::uniform(ranks * requests)
}

/// Number of requests that the ranks hold by the latest report, waiting ones included. A rank that did not report
/// counts as the mean of the others.
pub fn reported_requests(load: &group::Load) -> f64 {
    let reported: Vec<f64> = load
        .rank_loads
        .iter()
        .flatten()
        .map(|rank| f64::from(rank.running) + f64::from(rank.queued))
        .collect();
    if reported.is_empty() {
        return 0.0;
    }
    reported.iter().sum::<f64>() / reported.len() as f64 * load.rank_loads.len() as f64
}
