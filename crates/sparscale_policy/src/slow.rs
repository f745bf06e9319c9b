//! Ranks that hold their whole group back.
//!
//! Load pattern: a rank that computes at a fraction of the others' pace.
//!
//! All ranks of a group advance together, so each pass waits for the slowest rank that has requests. One that works at a
//! fraction of the others' pace gets no requests while that lasts, and those it has go on elsewhere, so that passes take
//! what the others need.

use sparscale_wire::{GroupLoad, RankLoad};

/// How many times as long as the middle rank of its group a rank takes before it counts as slow: each pass of the group is
/// longer by as much, which is worse than a rank less.
const SLOW_FACTOR: f64 = 1.4;

/// Ranks of `load` that hold the others back.
pub fn ranks(load: &GroupLoad) -> Vec<usize> {
    let mut paces: Vec<f64> = load.ranks.iter().flatten().map(RankLoad::pace).collect();
    paces.sort_by(f64::total_cmp);
    let Some(middle) = paces.get(paces.len() / 2).copied() else {
        return Vec::new();
    };
    let told = load.ranks.iter().enumerate();
    let slow = told.filter(|(_, rank)| rank.is_some_and(|rank| rank.pace() > middle * SLOW_FACTOR));
    slow.map(|(rank, _)| rank).collect()
}
