//! How many more requests a group of engines can take while its streams stay within their pauses.
//!
//! Load pattern: a burst, or a shift of demand that makes each pass longer until the next map is in force.
//!
//! All ranks of a group advance together, so a pass takes as long as the fullest rank needs. Up to a number of requests
//! that rises gently; beyond it every stream of the group is late, and since late streams hold their places longer, the
//! group does not come back by itself. So requests beyond that number wait, or are told when to come back.

use std::time::Duration;

use sparscale_catalog::Engine;
use sparscale_wire::{GroupLoad, RankLoad};

/// Part of the allowed pause that passes may take: the rest is for prompts that are read between, and for the way.
const PASS_PART: f64 = 0.62;
/// Part of the allowed pause that a pass may take by the engine's figures, which count prompts as read evenly. Holding
/// back more costs more answers than the pauses that it saves.
const TIMELY_PART: f64 = 1.1;
/// Skew that conductors keep groups within.
const USUAL_SKEW: f64 = 1.3;
/// Requests that a rank is filled with while streams are late however few there are: more would be late for long after
/// that.
const LATE_RANK: f64 = 6.0;
/// Least requests a rank is filled with, whatever the figures say: with fewer nothing gets done.
const MIN_RANK: f64 = 3.0;

/// Rooms, in requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Room {
    /// For requests that can still be in time.
    pub timely: f64,
    /// For requests that are late already.
    pub late: f64,
}

impl Room {
    /// Nothing is known that speaks against anybody.
    pub const OPEN: Self = Self {
        timely: f64::INFINITY,
        late: f64::INFINITY,
    };

    /// The same for both kinds.
    pub fn alike(requests: f64) -> Self {
        Self {
            timely: requests,
            late: requests,
        }
    }

    /// Adds `requests`, or takes them away.
    pub fn add(&mut self, requests: f64) {
        self.timely += requests;
        self.late += requests;
    }
}

/// Requests that the ranks of `load` may hold in all, waiting ones included.
///
/// The engine's own figures tell how a pass grows with the requests of a rank; the latest passes tell what they take
/// besides, such as reading prompts and uneven experts. Where even a lone request is late, places are all that counts.
pub fn capacity(load: &GroupLoad, engine: &Engine, pause: Duration) -> f64 {
    let ranks = load.ranks.len() as f64;
    let slots = f64::from(engine.slots);
    let heard: Vec<f64> = load
        .ranks
        .iter()
        .flatten()
        .map(|rank| f64::from(rank.running))
        .collect();
    if heard.is_empty() || load.pass_micros == 0 {
        return ranks * slots;
    }
    let mean = heard.iter().sum::<f64>() / heard.len() as f64;
    let context = f64::from(engine.usual_prompt + engine.usual_answer / 2);
    // A shift of demand leaves a large skew for a moment only; what lasts shows in the passes.
    let skew = load.skew.clamp(1.0, USUAL_SKEW);
    let model = |requests: f64| engine.pass_ms(requests, requests * context, skew);
    let measured = load.pass_micros as f64 / 1_000.0;
    // What passes take beyond the model does not vanish with fewer requests, so it is taken as it is.
    let besides = (measured - model(mean)).max(0.0);
    let allowed = pause.as_secs_f64() * 1_000.0 * PASS_PART;
    if besides > allowed {
        // A slow rank, say: every stream is late however few there are, and late answers are worth more than none.
        return ranks * slots.min(LATE_RANK);
    }
    let fits = |requests: f64| model(requests) + besides.min(allowed / 2.0) <= allowed;
    if !fits(1.0) {
        return ranks * slots;
    }
    let mut requests = slots;
    while requests > MIN_RANK && !fits(requests) {
        requests -= 0.5;
    }
    ranks * requests
}

/// What the ranks of `load` may hold in all under the skew of the moment: with so many timely requests passes stay within the
/// pause, with so many late ones late answers come soon.
///
/// While the passes of those that run are longer than streams allow, nobody else is let in who could be in time after
/// that moment: demand shifts at once, and the next map is in force half a second later. Those who are late already
/// lose nothing by it.
pub fn capacity_now(load: &GroupLoad, engine: &Engine, pause: Duration) -> Room {
    let late = capacity(load, engine, pause);
    if load.skew < 1.0 || load.pass_micros == 0 {
        return Room::alike(late);
    }
    let ranks = load.ranks.len() as f64;
    // A slow rank without requests has nothing of its own to do in a pass.
    let busy = load
        .ranks
        .iter()
        .flatten()
        .filter(|rank| rank.running + rank.queued > 0);
    let pace = busy.map(RankLoad::pace).fold(1.0, f64::max);
    let pause_ms = pause.as_secs_f64() * 1_000.0;
    let pass = |requests: f64| engine.lasting_pass_ms(requests, load.skew, pace);
    if pass(held(load) / ranks) > pause_ms {
        return Room { timely: 0.0, late };
    }
    let mut requests = f64::from(engine.slots);
    while requests > 0.0 && pass(requests) > pause_ms * TIMELY_PART {
        requests -= 0.25;
    }
    Room::alike(ranks * requests)
}

/// Requests that the ranks hold as last told, waiting ones included. A rank that was not heard counts as the mean.
pub fn held(load: &GroupLoad) -> f64 {
    let heard: Vec<f64> = load
        .ranks
        .iter()
        .flatten()
        .map(|rank| f64::from(rank.running + rank.queued))
        .collect();
    if heard.is_empty() {
        return 0.0;
    }
    heard.iter().sum::<f64>() / heard.len() as f64 * load.ranks.len() as f64
}
