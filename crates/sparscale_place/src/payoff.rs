//! Which of the maps within reach of one switch is best, and whether the switch pays off.
//!
//! The more experts a rank loads, the more even the load is, but the later the new map becomes active. A switch pays off
//! if the passes get shorter by more milliseconds until demand shifts again than loading and the hold cost.

use std::time::Duration;

use crate::map::{Map, Shape};
use crate::patch::Patch;
use crate::popularity::Popularity;
use crate::refine::{LoadLimits, Refinement, Search};

/// Numbers of loads per rank that are compared, ascending.
const CANDIDATES: [usize; 9] = [1, 2, 3, 4, 6, 8, 12, 16, 24];
/// Candidates up to this number are all compared, each refined from the active map. Higher ones continue the
/// refinement of the one before, as long as each is better than all before it.
const SMALL_CANDIDATE: usize = 3;
/// Load time from which only small candidates are compared, by load times alone: the estimate of the demand ages while
/// a large switch is staged, and no other switch can begin.
const SLOW_LOAD_MS: f64 = 100.0;
/// Time within which a switch must pay off if no shift of the demand is known.
const DEFAULT_HORIZON_MS: f64 = 900.0;
/// Part of the time since the demand last shifted for which it is expected to stay as it is, if no interval between
/// shifts is known; and the longest such time.
const STEADY_SHARE: f64 = 0.5;
const MAX_STEADY_MS: f64 = 2_000.0;
/// Longest time to the next shift that is expected: demand drifts also between shifts.
const MAX_REMAINING_MS: f64 = 5_000.0;
/// Shortest time to the next shift that is expected: part of the demand outlasts a shift, and a series of false shifts
/// must not end all switches.
const MIN_REMAINING_MS: f64 = 600.0;
/// Part of the mean interval between shifts that is expected to remain at least, since intervals vary.
const MIN_REMAINING_SHARE: f64 = 0.5;
/// Part of the expected reduction of the skew that a switch attains in replays with little noise.
const ATTAINED_SHARE: f64 = 0.9;
/// Reduction of the skew that the noise of an estimate from [`NOISE_WINDOW`] suggests. It falls with the square root of
/// the time since the last shift, up to the time over which the estimate averages. Without it, replays in which windows
/// were at a distance of 0.07 and more from the demand had half as many switches again, and lost 1 to 2 % more.
const NOISE_SKEW: f64 = 0.1;
const NOISE_WINDOW: Duration = Duration::from_millis(100);
const MAX_NOISE_WINDOWS: f64 = 20.0;
/// Part by which passes are longer while a rank loads.
const LOADING_SLOWDOWN: f64 = 0.15;
/// Part of the time from hold to release by which the hold delays the group: 18 to 26 ms of 75 to 106 ms; before that
/// the current pass runs on.
const HOLD_DELAY_SHARE: f64 = 0.25;
/// Minimum reduction of the skew in an idle group and on engines with slow loads.
const MIN_SKEW_REDUCTION: f64 = 0.08;
/// Addition to that minimum in an idle group: while passes are short a little skew delays no request, but loading does.
const IDLE_SKEW_REDUCTION: f64 = 0.3;
/// Share of the allowed pause between stream events up to which a pass counts as short.
const SHORT_PASS_SHARE: f64 = 0.6;
/// Bytes of a map message beside the edits of its patch: base, count and digest.
const PATCH_HEADER_BYTES: f64 = 24.0;

/// What determines how long a switch takes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Staging {
    /// Experts that a rank can load in one set beside those that it serves.
    pub spare_per_set: usize,
    /// Time in which a rank loads one expert; a rank loads one after the other.
    pub load_ms: f64,
    /// Time that a switch takes besides loading and sending the map.
    pub overhead_ms: f64,
    /// Bandwidth for maps of the leader's link.
    pub link: Link,
}

/// Bandwidth for maps of the leader's link.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Link {
    /// Bytes of maps sent per millisecond.
    pub bytes_per_ms: f64,
    /// Bytes sent at once after a pause.
    pub burst_bytes: f64,
}

/// What decides whether a switch pays off, beside the candidate itself.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Conditions {
    /// Mean time between the last shifts of the demand, if known.
    pub shift_interval: Option<Duration>,
    /// Time since the last shift.
    pub since_shift: Duration,
    /// Mean time from hold to release of the recent switches.
    pub held: Duration,
    /// Fraction of the work for a token that its experts do.
    pub expert_work_fraction: f64,
    /// Time of the latest passes divided by the pause that streams allow.
    pub pressure: f64,
}

/// What a switch saves and costs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Balance {
    /// Milliseconds of passes that are saved while the map is in force.
    pub gain_ms: f64,
    /// Milliseconds of passes that loading and the hold cost.
    pub cost_ms: f64,
    /// Expected time for which the map is in force.
    pub in_force_ms: f64,
    /// Whether to switch.
    pub pays_off: bool,
}

/// A refined map and the time until it is active.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// The map with its loads and skews.
    pub refinement: Refinement,
    /// Time from the decision until the map is active.
    pub staging_ms: f64,
}

impl Staging {
    /// Time from the decision until a map is active.
    fn staging_ms(&self, max_loads_per_rank: u32, patch_bytes: f64, ranks: usize) -> f64 {
        let receivers = ranks.saturating_sub(1) as f64;
        let paced_bytes = ((patch_bytes + PATCH_HEADER_BYTES) * receivers - self.link.burst_bytes).max(0.0);
        let sending_ms = paced_bytes / self.link.bytes_per_ms.max(f64::MIN_POSITIVE);
        let sending_ms = if self.has_slow_loads() { 0.0 } else { sending_ms };
        f64::from(max_loads_per_rank) * self.load_ms + sending_ms + self.overhead_ms
    }

    fn has_slow_loads(&self) -> bool {
        self.load_ms >= SLOW_LOAD_MS
    }

    /// Whether ranks may load this many experts in one switch.
    fn allows(&self, loads_per_rank: usize, sets: usize) -> bool {
        loads_per_rank <= self.small_limit() || (!self.has_slow_loads() && loads_per_rank <= self.spare_per_set * sets)
    }

    /// Largest candidate that is compared in any case.
    fn small_limit(&self) -> usize {
        SMALL_CANDIDATE.min(self.spare_per_set)
    }
}

impl Conditions {
    /// Expected time from now to the next shift.
    fn remaining_ms(&self) -> f64 {
        let since_shift_ms = self.since_shift.as_secs_f64() * 1_000.0;
        let Some(interval) = self.shift_interval else {
            return (since_shift_ms * STEADY_SHARE).clamp(DEFAULT_HORIZON_MS, MAX_STEADY_MS);
        };
        let interval_ms = interval.as_secs_f64() * 1_000.0;
        let left_ms = interval_ms - since_shift_ms;
        left_ms
            .max(interval_ms * MIN_REMAINING_SHARE)
            .clamp(MIN_REMAINING_MS, MAX_REMAINING_MS)
    }

    /// Reduction of the skew that noise of the estimate suggests.
    fn noise_skew(&self) -> f64 {
        let windows = self.since_shift.as_secs_f64() / NOISE_WINDOW.as_secs_f64();
        NOISE_SKEW / windows.clamp(1.0, MAX_NOISE_WINDOWS).sqrt()
    }

    /// Minimum reduction of the skew, whatever it saves.
    fn min_reduction(&self, has_slow_loads: bool) -> f64 {
        let slack = ((SHORT_PASS_SHARE - self.pressure) / SHORT_PASS_SHARE).clamp(0.0, 1.0);
        if slack > 0.0 || has_slow_loads {
            MIN_SKEW_REDUCTION + IDLE_SKEW_REDUCTION * slack
        } else {
            0.0
        }
    }
}

impl Candidate {
    /// Weighs what a switch to this map saves against what it costs. On engines with slow loads the reduction of the
    /// skew decides alone.
    pub fn weigh(&self, staging: &Staging, conditions: &Conditions) -> Balance {
        let Refinement {
            skew_before,
            skew_after,
            max_loads_per_rank,
            ..
        } = self.refinement;
        let in_force_ms = (conditions.remaining_ms() - self.staging_ms).max(0.0);
        let expert_part = conditions.expert_work_fraction;
        let pass_before = expert_part * skew_before + 1.0 - expert_part;
        let reduction = skew_before - skew_after;
        let attained = (reduction * ATTAINED_SHARE - conditions.noise_skew()).max(0.0);
        let saved_share = expert_part * attained / pass_before.max(f64::MIN_POSITIVE);
        let gain_ms = saved_share * in_force_ms;
        let loading_ms = f64::from(max_loads_per_rank) * staging.load_ms;
        let held_ms = conditions.held.as_secs_f64() * 1_000.0;
        let cost_ms = loading_ms * LOADING_SLOWDOWN + held_ms * HOLD_DELAY_SHARE;
        let has_slow_loads = staging.has_slow_loads();
        let reduces_enough = reduction >= conditions.min_reduction(has_slow_loads);
        Balance {
            gain_ms,
            cost_ms,
            in_force_ms,
            pays_off: reduces_enough && (has_slow_loads || gain_ms > cost_ms),
        }
    }

    fn new(refinement: Refinement, map: &Map, shape: Shape, staging: &Staging) -> Self {
        let patch_bytes = Patch::between(map, &refinement.map).size_bytes() as f64;
        Self {
            staging_ms: staging.staging_ms(refinement.max_loads_per_rank, patch_bytes, shape.ranks),
            refinement,
        }
    }

    /// Skew times milliseconds over the horizon if the group switches to this map.
    fn cost(&self) -> f64 {
        let staging_ms = self.staging_ms.min(DEFAULT_HORIZON_MS);
        staging_ms * self.refinement.skew_before + (DEFAULT_HORIZON_MS - staging_ms) * self.refinement.skew_after
    }

    /// A lower bound of the cost of a candidate with more loads: its skew can't be less than 1.
    fn least_cost_of_next(&self, staging: &Staging) -> f64 {
        let staging_ms = (self.staging_ms + staging.load_ms).min(DEFAULT_HORIZON_MS);
        staging_ms * self.refinement.skew_before + (DEFAULT_HORIZON_MS - staging_ms)
    }
}

/// Returns the map with the least skew over [`DEFAULT_HORIZON_MS`], staging included, of the candidates with different
/// numbers of loads per rank; none if ranks can't load anything. The horizon is short even if the map will be in force
/// for longer: the next switch continues from there, and a map that is soon active is worth more after a shift.
pub fn best_candidate(
    popularity: &Popularity,
    map: &Map,
    shape: Shape,
    slowdowns: &[f64],
    staging: &Staging,
) -> Option<Candidate> {
    let start = Search::new(popularity, map, shape, slowdowns);
    let mut search = start.clone();
    let mut best: Option<Candidate> = None;
    for loads_per_rank in CANDIDATES {
        let is_small = loads_per_rank <= staging.small_limit();
        if !staging.allows(loads_per_rank, shape.layers) {
            break;
        }
        if is_small {
            search = start.clone();
        }
        let limits = LoadLimits {
            loads_per_rank,
            loads_per_set: staging.spare_per_set,
        };
        let changed = search.extend(limits);
        if !changed && !is_small {
            break;
        }
        let refinement = search.refinement();
        let reaches_limit = refinement.max_loads_per_rank as usize >= loads_per_rank;
        let candidate = Candidate::new(refinement, map, shape, staging);
        let least_cost_of_next = candidate.least_cost_of_next(staging);
        let is_better = best.as_ref().is_none_or(|best| candidate.cost() < best.cost());
        if is_better {
            best = Some(candidate);
        } else if !is_small {
            break;
        }
        let cost = best.as_ref().map_or(f64::INFINITY, Candidate::cost);
        // A refinement that leaves its limit unused is the same with any higher limit.
        if !reaches_limit || (loads_per_rank >= staging.small_limit() && least_cost_of_next >= cost) {
            break;
        }
    }
    best
}
