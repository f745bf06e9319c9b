//! Which of the maps within reach of one switch is best, and whether the switch pays off.
//!
//! The more experts a rank loads, the more even the load is, but the later the new map becomes active. A switch pays
//! off if the passes get shorter by more milliseconds until demand shifts again than loading and the hold cost.

mod conditions;
mod staging;

pub use conditions::Conditions;
pub use staging::{Link, Staging};

use crate::map::{Map, Shape};
use crate::patch::Patch;
use crate::popularity::Popularity;
use crate::refine::{LoadLimits, Refinement, Search};

/// Numbers of loads per rank that are compared, ascending.
const CANDIDATES: [usize; 9] = [1, 2, 3, 4, 6, 8, 12, 16, 24];
/// Time within which a switch must pay off if no shift of the demand is known.
const DEFAULT_HORIZON_MS: f64 = 900.0;
/// Part of the expected reduction of the skew that a switch attains in replays with little noise.
const ATTAINED_SHARE: f64 = 0.9;
/// Part by which passes are longer while a rank loads.
const LOADING_SLOWDOWN: f64 = 0.15;
/// Part of the time from hold to release by which the hold delays the group: 18 to 26 ms of 75 to 106 ms; before that
/// the current pass runs on.
const HOLD_DELAY_SHARE: f64 = 0.25;

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
