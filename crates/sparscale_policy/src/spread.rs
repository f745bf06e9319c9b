//! Where many entries send requests that act on the same late report.
//!
//! Load pattern: many entries before the same targets, each with few requests a second, none knowing what the others send.
//!
//! All entries hear the same loads, some time after they were read. If each sent to the least loaded target, all would
//! send to the same one until the next report. So each works out how the requests that all of them will send until
//! then would have to be placed to leave the targets evenly loaded (water-filling), and draws its target in proportion
//! to what each gets.

/// A target that may be chosen.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Requests that it has, over its capacity.
    pub load: f64,
    /// Requests that raise its load by one.
    pub capacity: f64,
}

/// What part of the next requests each target is to get, if `expected` requests come before anything new is known.
///
/// At least one request is placed. The parts add up to one.
pub fn shares(candidates: &[Candidate], expected: f64) -> Vec<f64> {
    let arriving = expected.max(1.0);
    let filled = filled_load(candidates, arriving);
    let taken = |candidate: &Candidate| (filled - candidate.load).max(0.0) * candidate.capacity;
    let sum: f64 = candidates.iter().map(taken).sum();
    candidates.iter().map(|candidate| taken(candidate) / sum).collect()
}

/// The load up to which `arriving` requests fill the least loaded candidates.
fn filled_load(candidates: &[Candidate], arriving: f64) -> f64 {
    let mut lowest: Vec<Candidate> = candidates.to_vec();
    lowest.sort_by(|left, right| left.load.total_cmp(&right.load));
    let mut capacity = 0.0;
    let mut requests = 0.0;
    for (index, candidate) in lowest.iter().enumerate() {
        capacity += candidate.capacity;
        requests += candidate.load * candidate.capacity;
        let filled = (arriving + requests) / capacity;
        let next = lowest.get(index + 1).map_or(f64::INFINITY, |next| next.load);
        if filled <= next {
            return filled;
        }
    }
    0.0
}

/// The index that `lot`, from 0 to 1, falls on.
pub fn draw(shares: &[f64], lot: f64) -> Option<usize> {
    let mut left = lot;
    let mut last = None;
    for (index, share) in shares.iter().enumerate() {
        if *share <= 0.0 {
            continue;
        }
        last = Some(index);
        left -= share;
        if left <= 0.0 {
            break;
        }
    }
    last
}
