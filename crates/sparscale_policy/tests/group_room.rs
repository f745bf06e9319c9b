//! How many requests a group may hold, by what its passes take.

use std::time::Duration;

use sparscale_policy::room::{capacity, capacity_now, held};
use sparscale_policy::slow;
use sparscale_samples as samples;
use sparscale_wire::{GroupLoad, RankLoad};

const RANKS: usize = 12;
const PAUSE: Duration = Duration::from_millis(120);

/// A group with `running` requests a rank, whose passes take `pass`.
fn group(running: u32, pass: Duration) -> GroupLoad {
    let rank = RankLoad {
        running,
        ..RankLoad::default()
    };
    GroupLoad {
        group: "g".to_owned(),
        order: (1, 1),
        open: true,
        skew: 1.1,
        pass_micros: pass.as_micros() as u64,
        pass: 0,
        ranks: vec![Some(rank); RANKS],
    }
}

fn per_rank(running: u32, pass_ms: u64) -> f64 {
    let load = group(running, Duration::from_millis(pass_ms));
    capacity(&load, &samples::engine(), PAUSE) / RANKS as f64
}

/// Passes as the engine's figures say: the group fills up to where streams stay within their pauses.
#[test]
fn usual_passes() {
    let room = per_rank(4, 45);
    assert!((5.0..12.0).contains(&room), "{room}");
}

/// Long passes that fewer requests would shorten.
#[test]
fn long_passes() {
    assert!(per_rank(10, 110) < per_rank(4, 45));
}

/// A rank that is six times as slow makes every stream late, with few requests as with many: refusing them all would
/// help nobody.
#[test]
fn slow_rank() {
    assert!(per_rank(3, 150) >= 5.0, "{}", per_rank(3, 150));
    assert!(per_rank(3, 150) < 12.0, "{}", per_rank(3, 150));
}

#[test]
fn waiting_counts() {
    let mut load = group(3, Duration::from_millis(45));
    load.ranks[0] = None;
    if let Some(rank) = &mut load.ranks[1] {
        rank.queued = 11;
    }
    assert!((held(&load) - 48.0).abs() < 1e-9, "{}", held(&load));
}

/// The room of the moment for a group with `running` requests a rank and this skew, a rank.
fn now_per_rank(running: u32, skew: f64) -> (f64, f64) {
    let load = GroupLoad {
        skew,
        ..group(running, Duration::from_millis(45))
    };
    let capacity = capacity_now(&load, &samples::engine(), PAUSE);
    (capacity.timely / RANKS as f64, capacity.late / RANKS as f64)
}

/// A shift of demand takes room away until the next map is in force.
#[test]
fn shift_shrinks_room() {
    let (calm, _) = now_per_rank(4, 1.1);
    let (shifted, late) = now_per_rank(4, 2.5);
    assert!(shifted < calm * 0.8, "{shifted} of {calm}");
    assert!((shifted - late).abs() < 1e-9, "late ones would make the others late");
}

/// Those that run are late whatever is done: nobody joins them who could be in time later, only who is late already.
#[test]
fn spoiled_passes() {
    let (timely, late) = now_per_rank(10, 6.0);
    assert!(timely < 1e-9, "{timely}");
    assert!(late >= 3.0, "{late}");
}

/// A slow rank without requests holds nobody up.
#[test]
fn idle_slow_rank() {
    let room = |running| {
        let mut load = group(3, Duration::from_millis(45));
        load.ranks[5] = Some(RankLoad {
            running,
            pace_milli: 12_000,
            ..RankLoad::default()
        });
        capacity_now(&load, &samples::engine(), PAUSE).timely
    };
    assert!(room(3) < 1e-9, "{}", room(3));
    assert!(room(0) > 3.0 * RANKS as f64, "{}", room(0));
}

#[test]
fn slow_by_others() {
    let mut load = group(3, Duration::from_millis(45));
    assert_eq!(slow::ranks(&load), [0_usize; 0]);
    let paced = |pace_milli| {
        Some(RankLoad {
            pace_milli,
            ..RankLoad::default()
        })
    };
    load.ranks[4] = paced(5_000);
    load.ranks[7] = paced(1_300);
    assert_eq!(slow::ranks(&load), [4]);
    load.ranks.fill(paced(5_000));
    assert_eq!(slow::ranks(&load), [0_usize; 0], "all alike");
}
