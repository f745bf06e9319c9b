//! Chooses the group of a service that takes a request.
//!
//! Load pattern: a service with several groups of targets. When demand shifts in all of them, one may get its next
//! expert map later than the others, or may have lost a rank; the other groups can take the requests that it can't. A
//! request that waits for one group while another has headroom is late without need, and an even distribution over all
//! groups slows the slow one down further.

/// The state of one group that matters for a new request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Whether the group runs, as far as is known.
    pub open: bool,
    /// Requests that this entry may still admit while they can be on time.
    pub headroom: f64,
    /// Expected time until a request that joins the backlog now is admitted, in seconds.
    pub expected_wait_secs: f64,
    /// Number of its ranks.
    pub rank_count: usize,
}

/// Chooses the group for the next request; none if there are no candidates. `sample` is uniform in 0..1.
///
/// Groups that run are preferred. Among those with headroom, one is sampled in proportion to its headroom: if each
/// entry chose the group with the most headroom, all entries would send to the same one until the next report. If no
/// group has headroom, the one with the shortest wait is chosen.
pub fn choose(candidates: &[Candidate], sample: f64) -> Option<usize> {
    let any_open = candidates.iter().any(|candidate| candidate.open);
    let eligible = candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| candidate.open || !any_open);
    let eligible: Vec<(usize, &Candidate)> = eligible.collect();
    let headroom = |candidate: &Candidate| {
        if candidate.headroom >= 1.0 {
            // The headroom is unlimited while no loads are known: the number of ranks then serves as the weight.
            candidate.headroom.min(candidate.rank_count as f64)
        } else {
            0.0
        }
    };
    let total: f64 = eligible.iter().map(|(_, candidate)| headroom(candidate)).sum();
    if total <= 0.0 {
        let shortest_wait = eligible
            .iter()
            .min_by(|(_, left), (_, right)| left.expected_wait_secs.total_cmp(&right.expected_wait_secs));
        return shortest_wait.map(|(index, _)| *index);
    }
    let mut remaining = sample.clamp(0.0, 1.0) * total;
    for (index, candidate) in &eligible {
        remaining -= headroom(candidate);
        if remaining < 0.0 {
            return Some(*index);
        }
    }
    let last_with_headroom = eligible.iter().rev().find(|(_, candidate)| headroom(candidate) > 0.0);
    last_with_headroom.map(|(index, _)| *index)
}
