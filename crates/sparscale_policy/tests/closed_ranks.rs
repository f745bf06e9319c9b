//! Ranks that take no requests count as full, and callers of a service that takes none come back one after the other.

use std::time::{Duration, Instant};

use sparscale_clock::{Clock as _, Machine};
use sparscale_policy::queue::{Group, Queue};
use sparscale_policy::returns::Returns;
use sparscale_samples as samples;
use sparscale_wire::{GroupLoad, RankLoad};

const RANKS: usize = 12;

/// Room of a group whose ranks hold one request each, `open_part` of which take requests.
fn room(open_part: f64) -> f64 {
    let now = Instant::now();
    let rank = RankLoad {
        running: 1,
        ..RankLoad::default()
    };
    let load = GroupLoad {
        group: "g".to_owned(),
        order: (1, 1),
        open: true,
        skew: 1.1,
        pass_micros: 20_000,
        pass: 0,
        ranks: vec![Some(rank); RANKS],
    };
    let engine = samples::engine();
    let group = Group {
        engine: &engine,
        pause: Duration::from_millis(120),
        ranks: RANKS,
        open_part,
        entries: 1,
    };
    let mut queue: Queue<usize> = Queue::new(now);
    queue.refresh(Some(&load), &group, RANKS, now);
    queue.room().timely
}

/// Requests are let in for ranks that turn them away.
#[test]
fn closed_ranks_filled() {
    let (all, half, none) = (room(1.0), room(0.5), room(0.0));
    let held = RANKS as f64;
    assert!(all > held, "{all}");
    assert!(
        (half - (f64::midpoint(all, held) - held)).abs() < 1e-9,
        "{half} of {all}"
    );
    assert!(none <= 0.0, "{none}");
}

/// Callers that are turned away together come back together.
#[test]
fn returns_together() {
    let now = Machine::default().now();
    let mut returns = Returns::default();
    let (opens_in, gap) = (Duration::from_secs(2), Duration::from_millis(100));
    let waits: Vec<Duration> = (0..4).map(|_| returns.promise(now + opens_in, gap, now)).collect();
    let expected: Vec<Duration> = (0..4).map(|turn| opens_in + gap * turn).collect();
    assert_eq!(waits, expected);
    let late = now + Duration::from_mins(1);
    assert_eq!(
        returns.promise(late + opens_in, gap, late),
        opens_in,
        "old promises are over"
    );
    for _ in 0..1_000 {
        assert!(returns.promise(late + opens_in, gap, late) <= Duration::from_secs(30));
    }
}
