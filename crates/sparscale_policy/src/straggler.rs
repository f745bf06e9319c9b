//! Detects stragglers: ranks whose slowdown delays their whole group.
//!
//! Load pattern: one rank computes at a fraction of the speed of the others.
//!
//! All ranks of a group advance together, so each pass waits for the slowest rank that has requests. A straggler gets
//! no new requests while its slowdown lasts, and the requests that it has are moved to other ranks, so that passes take
//! as long as the other ranks need.

use sparscale_wire::{group, rank};

/// Slowdown relative to the median rank of the group above which a rank is a straggler: it lengthens each pass of the
/// group by as much, which costs more than doing without the rank.
const STRAGGLER_FACTOR: f64 = 1.4;

/// Returns the stragglers among the ranks of `load`.
pub fn find(load: &group::Load) -> Vec<usize> {
    let mut slowdowns: Vec<f64> = load.rank_loads.iter().flatten().map(rank::Load::slowdown).collect();
    slowdowns.sort_by(f64::total_cmp);
    let Some(median) = slowdowns.get(slowdowns.len() / 2).copied() else {
        return Vec::new();
    };
    let reported = load.rank_loads.iter().enumerate();
    let stragglers = reported.filter(|(_, rank)| rank.is_some_and(|rank| rank.slowdown() > median * STRAGGLER_FACTOR));
    stragglers.map(|(rank, _)| rank).collect()
}
