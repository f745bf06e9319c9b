//! How many requests a group may hold, by what its passes take.

use std::time::Duration;

use sparscale_gateway::{capacity, held};
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
