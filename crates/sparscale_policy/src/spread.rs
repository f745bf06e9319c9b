//! Distributes the requests of many entries over targets when all entries act on the same delayed load report.
//!
//! Load pattern: many entries send to the same targets, each with few requests a second and without knowing what the
//! others send.
//!
//! All entries receive the same loads some time after these were read. If each entry sent to the least loaded target,
//! all of them would send to the same one until the next report. So each entry computes how the requests that all
//! entries will send until then should be placed to even out the loads (water-filling), and samples its target with a
//! probability proportional to the requests that each target should get.

/// A target that may be chosen.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Number of requests at the target divided by its capacity.
    pub load: f64,
    /// Number of requests that raise the load by one.
    pub capacity: f64,
}

/// The fraction of the next requests that each target should get, if `expected` requests arrive before the next report.
///
/// At least one request is assumed. The fractions add up to one.
pub fn shares(candidates: &[Candidate], expected: f64) -> Vec<f64> {
    let arriving = expected.max(1.0);
    let filled = filled_load(candidates, arriving);
    let placed = |candidate: &Candidate| (filled - candidate.load).max(0.0) * candidate.capacity;
    let sum: f64 = candidates.iter().map(placed).sum();
    candidates.iter().map(|candidate| placed(candidate) / sum).collect()
}

/// The load up to which `arriving` requests fill the least loaded candidates.
fn filled_load(candidates: &[Candidate], arriving: f64) -> f64 {
    let mut by_load: Vec<Candidate> = candidates.to_vec();
    by_load.sort_by(|left, right| left.load.total_cmp(&right.load));
    let mut capacity = 0.0;
    let mut requests = 0.0;
    for (index, candidate) in by_load.iter().enumerate() {
        capacity += candidate.capacity;
        requests += candidate.load * candidate.capacity;
        let filled = (arriving + requests) / capacity;
        let next_load = by_load.get(index + 1).map_or(f64::INFINITY, |next| next.load);
        if filled <= next_load {
            return filled;
        }
    }
    0.0
}

/// Samples an index with the probabilities `shares`; `sample` is uniform in 0..1.
pub fn draw(shares: &[f64], sample: f64) -> Option<usize> {
    let mut remaining = sample;
    let mut last = None;
    for (index, share) in shares.iter().enumerate() {
        if *share <= 0.0 {
            continue;
        }
        last = Some(index);
        remaining -= share;
        if remaining <= 0.0 {
            break;
        }
    }
    last
}
