//! Ranks that accept no requests count as full, and callers of a service that accepts none retry one after the other.

use std::time::{Duration, Instant};

use sparscale_clock::{Clock as _, SystemClock};
use sparscale_policy::queue::{Group, Queue};
use sparscale_policy::retry_schedule::RetrySchedule;
use sparscale_samples as samples;
use sparscale_wire::{group, rank};

const RANKS: usize = 12;

/// Headroom of a group whose ranks hold one request each; the fraction `open_part` of them accepts requests.
fn headroom(open_part: f64) -> f64 {
    let now = Instant::now();
    let rank = rank::Load {
        running: 1,
        ..rank::Load::default()
    };
    let load = group::Load {
        group: "g".to_owned(),
        sequence: (1, 1),
        is_running: true,
        skew: 1.1,
        mean_pass_micros: 20_000,
        latest_pass: 0,
        rank_loads: vec![Some(rank); RANKS],
    };
    let engine = samples::engine();
    let group = Group {
        engine: &engine,
        max_pause: Duration::from_millis(120),
        rank_count: RANKS,
        open_fraction: open_part,
        entry_count: 1,
    };
    let mut queue: Queue<usize> = Queue::new(now);
    queue.refresh(Some(&load), &group, RANKS, now);
    queue.headroom().timely
}

/// Guards against admitting requests for ranks that reject them.
#[test]
fn closed_ranks_count_as_full() {
    let (all, half, none) = (headroom(1.0), headroom(0.5), headroom(0.0));
    let requests = RANKS as f64;
    assert!(all > requests, "{all}");
    assert!(
        (half - (f64::midpoint(all, requests) - requests)).abs() < 1e-9,
        "{half} of {all}"
    );
    assert!(none <= 0.0, "{none}");
}

/// Guards against callers that are rejected at the same time and retry at the same time.
#[test]
fn retries_spaced() {
    let now = SystemClock::default().now();
    let mut returns = RetrySchedule::default();
    let (opens_in, interval) = (Duration::from_secs(2), Duration::from_millis(100));
    let delays: Vec<Duration> = (0..4)
        .map(|_| returns.next_delay(now + opens_in, interval, now))
        .collect();
    let expected: Vec<Duration> = (0..4).map(|position| opens_in + interval * position).collect();
    assert_eq!(delays, expected);
    let later = now + Duration::from_mins(1);
    assert_eq!(
        returns.next_delay(later + opens_in, interval, later),
        opens_in,
        "earlier retry times have passed"
    );
    for _ in 0..1_000 {
        assert!(returns.next_delay(later + opens_in, interval, later) <= Duration::from_secs(30));
    }
}
