//! Which of the maps within reach of one switch is best: the more experts a rank loads, the more even the load is, but
//! the later the new map becomes active.

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

impl Candidate {
    fn new(refinement: Refinement, map: &Map, shape: Shape, staging: &Staging) -> Self {
        let patch_bytes = Patch::between(map, &refinement.map).size_bytes() as f64;
        Self {
            staging_ms: staging.staging_ms(refinement.max_loads_per_rank, patch_bytes, shape.ranks),
            refinement,
        }
    }

    /// Skew times milliseconds over the horizon if the group switches to this map.
    fn cost(&self, horizon_ms: f64) -> f64 {
        let staging_ms = self.staging_ms.min(horizon_ms);
        staging_ms * self.refinement.skew_before + (horizon_ms - staging_ms) * self.refinement.skew_after
    }

    /// A lower bound of the cost of a candidate with more loads: its skew can't be less than 1.
    fn least_cost_of_next(&self, horizon_ms: f64, staging: &Staging) -> f64 {
        let staging_ms = (self.staging_ms + staging.load_ms).min(horizon_ms);
        staging_ms * self.refinement.skew_before + (horizon_ms - staging_ms)
    }
}

/// Returns the map with the least skew over the next `horizon_ms`, staging included, of the candidates with different
/// numbers of loads per rank; none if ranks can't load anything.
pub fn best_candidate(
    popularity: &Popularity,
    map: &Map,
    shape: Shape,
    slowdowns: &[f64],
    staging: &Staging,
    horizon_ms: f64,
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
        let least_cost_of_next = candidate.least_cost_of_next(horizon_ms, staging);
        let is_better = best
            .as_ref()
            .is_none_or(|best| candidate.cost(horizon_ms) < best.cost(horizon_ms));
        if is_better {
            best = Some(candidate);
        } else if !is_small {
            break;
        }
        let cost = best.as_ref().map_or(f64::INFINITY, |best| best.cost(horizon_ms));
        // A refinement that leaves its limit unused is the same with any higher limit.
        if !reaches_limit || (loads_per_rank >= staging.small_limit() && least_cost_of_next >= cost) {
            break;
        }
    }
    best
}
