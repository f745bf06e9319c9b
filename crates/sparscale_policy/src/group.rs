//! Which of a service's groups takes a request.
//!
//! Load pattern: a service whose targets make up several groups. Demand shifts in all of them, and one has its next map later
//! than the others, or has lost a rank: what it can't take now the others can. A request that waits for one group while
//! another has room is late for nothing, and one that is sent to all of them alike makes the slow group slower.

/// One group, as far as it matters for a request that comes now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Whether it runs, as far as is known.
    pub open: bool,
    /// Requests that this entry may still let in while they can be in time.
    pub room: f64,
    /// Time until a request that joins its line now would be let in, in seconds.
    pub wait: f64,
    /// Its ranks.
    pub ranks: usize,
}

/// The group for the next request; none if there is none at all. `lot` is drawn evenly from 0 to 1.
///
/// Groups that run go first. Of those with room one is drawn in proportion to it: whoever takes the roomiest sends there what
/// all entries have until the next news. With no room anywhere, the shortest wait.
pub fn choose(candidates: &[Candidate], lot: f64) -> Option<usize> {
    let any_open = candidates.iter().any(|candidate| candidate.open);
    let eligible = candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| candidate.open || !any_open);
    let eligible: Vec<(usize, &Candidate)> = eligible.collect();
    let room = |candidate: &Candidate| {
        if candidate.room >= 1.0 {
            // Nothing known speaks against a group: its ranks tell how much it takes.
            candidate.room.min(candidate.ranks as f64)
        } else {
            0.0
        }
    };
    let total: f64 = eligible.iter().map(|(_, candidate)| room(candidate)).sum();
    if total <= 0.0 {
        let shortest = eligible
            .iter()
            .min_by(|(_, left), (_, right)| left.wait.total_cmp(&right.wait));
        return shortest.map(|(index, _)| *index);
    }
    let mut left = lot.clamp(0.0, 1.0) * total;
    for (index, candidate) in &eligible {
        left -= room(candidate);
        if left < 0.0 {
            return Some(*index);
        }
    }
    let with_room = eligible.iter().rev().find(|(_, candidate)| room(candidate) > 0.0);
    with_room.map(|(index, _)| *index)
}
