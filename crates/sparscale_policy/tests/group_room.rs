//! How many requests a group may hold, by the duration of its passes.

use std::time::Duration;

use sparscale_policy::headroom::{capacity, capacity_at_current_skew, reported_requests};
use sparscale_policy::straggler;
use sparscale_samples as samples;
use sparscale_wire::{group, rank};

const RANKS: usize = 12;
const PAUSE: Duration = Duration::from_millis(120);

/// A group with `running` requests on each rank, whose passes take `pass`.
fn group(running: u32, pass: Duration) -> group::Load {
    let rank = rank::Load {
        running,
        ..rank::Load::default()
    };
    group::Load {
        group: "g".to_owned(),
        sequence: (1, 1),
        is_running: true,
        skew: 1.1,
        mean_pass_micros: pass.as_micros() as u64,
        latest_pass: 0,
        rank_loads: vec![Some(rank); RANKS],
    }
}

/// Capacity for each rank.
fn capacity_per_rank(running: u32, pass_ms: u64) -> f64 {
    let load = group(running, Duration::from_millis(pass_ms));
    capacity(&load, &samples::engine(), PAUSE) / RANKS as f64
}

/// With passes as the performance model predicts, the group may hold as many requests as keep its streams within the
/// allowed pause.
#[test]
fn usual_passes() {
    let capacity = capacity_per_rank(4, 45);
    assert!((5.0..12.0).contains(&capacity), "{capacity}");
}

/// Long passes, which fewer requests would shorten, reduce the capacity.
#[test]
fn long_passes() {
    assert!(capacity_per_rank(10, 110) < capacity_per_rank(4, 45));
}

/// A rank with a slowdown of six makes every stream late at any number of requests: rejecting all of them would help no
/// caller.
#[test]
fn straggler() {
    assert!(capacity_per_rank(3, 150) >= 5.0, "{}", capacity_per_rank(3, 150));
    assert!(capacity_per_rank(3, 150) < 12.0, "{}", capacity_per_rank(3, 150));
}

#[test]
fn waiting_requests_counted() {
    let mut load = group(3, Duration::from_millis(45));
    load.rank_loads[0] = None;
    if let Some(rank) = &mut load.rank_loads[1] {
        rank.queued = 11;
    }
    assert!(
        (reported_requests(&load) - 48.0).abs() < 1e-9,
        "{}",
        reported_requests(&load)
    );
}

/// Capacity for each rank, timely and late, of a group with `running` requests on each rank and this skew.
fn capacity_per_rank_at(running: u32, skew: f64) -> (f64, f64) {
    let load = group::Load {
        skew,
        ..group(running, Duration::from_millis(45))
    };
    let capacity = capacity_at_current_skew(&load, &samples::engine(), PAUSE);
    (capacity.timely / RANKS as f64, capacity.late / RANKS as f64)
}

/// A shift of demand reduces the capacity until the next expert map is active.
#[test]
fn shift_reduces_capacity() {
    let (steady, _) = capacity_per_rank_at(4, 1.1);
    let (shifted, late) = capacity_per_rank_at(4, 2.5);
    assert!(shifted < steady * 0.8, "{shifted} of {steady}");
    assert!(
        (shifted - late).abs() < 1e-9,
        "late requests would make the others late"
    );
}

/// The requests that run are late in any case: only requests that are already late are admitted, and none that could be
/// on time later.
#[test]
fn only_late_admitted() {
    let (timely, late) = capacity_per_rank_at(10, 6.0);
    assert!(timely < 1e-9, "{timely}");
    assert!(late >= 3.0, "{late}");
}

/// A straggler without requests delays no other rank.
#[test]
fn idle_straggler() {
    let capacity = |running| {
        let mut load = group(3, Duration::from_millis(45));
        load.rank_loads[5] = Some(rank::Load {
            running,
            slowdown_milli: 12_000,
            ..rank::Load::default()
        });
        capacity_at_current_skew(&load, &samples::engine(), PAUSE).timely
    };
    assert!(capacity(3) < 1e-9, "{}", capacity(3));
    assert!(capacity(0) > 3.0 * RANKS as f64, "{}", capacity(0));
}

#[test]
fn straggler_relative_to_others() {
    let mut load = group(3, Duration::from_millis(45));
    assert_eq!(straggler::find(&load), [0_usize; 0]);
    let with_slowdown = |pace_milli| {
        Some(rank::Load {
            slowdown_milli: pace_milli,
            ..rank::Load::default()
        })
    };
    load.rank_loads[4] = with_slowdown(5_000);
    load.rank_loads[7] = with_slowdown(1_300);
    assert_eq!(straggler::find(&load), [4]);
    load.rank_loads.fill(with_slowdown(5_000));
    assert_eq!(straggler::find(&load), [0_usize; 0], "all ranks are equally slow");
}

/// A report with impossible counts must not end the entry by an overflow: the sum of both counts exceeds their type.
#[test]
fn impossible_counts() {
    let mut load = group(u32::MAX, Duration::from_millis(45));
    for rank in load.rank_loads.iter_mut().flatten() {
        rank.queued = u32::MAX;
    }
    assert!(reported_requests(&load) > 8.0e9);
    assert!(
        capacity_at_current_skew(&load, &samples::engine(), PAUSE)
            .timely
            .is_finite()
    );
}
