//! Shares of workspaces in the admissions under overload: a large workspace with nine tenths of the requests beside
//! twenty small ones, played in virtual time.
//!
//! `cargo test --release -p sparscale_policy --test fair_shares -- --nocapture` prints one line for each load.

#[path = "overload/model.rs"]
mod model;

use std::time::{Duration, Instant};

use model::{Admission, Load, Model, Second};
use quickcheck::quickcheck;
use sparscale_policy::fair_share::{FairShares, Workspace};
use sparscale_samples as samples;

/// Requests a second that the group serves on time under a steady load.
const STEADY_RATE: f64 = 45.0;
const SECONDS: u64 = 16;
/// The seconds of the burst.
const BURST: std::ops::Range<u64> = 4..9;
const SEEDS: std::ops::RangeInclusive<u64> = 1..=3;
/// Fraction of the requests that belong to the large workspace.
const LARGE: f64 = 0.9;

fn steady_rate(_: u64) -> f64 {
    STEADY_RATE
}

fn busy_rate(ms: u64) -> f64 {
    if BURST.contains(&(ms / 1_000)) {
        STEADY_RATE * 1.7
    } else {
        STEADY_RATE
    }
}

fn crowded_rate(ms: u64) -> f64 {
    if BURST.contains(&(ms / 1_000)) {
        STEADY_RATE * 2.5
    } else {
        STEADY_RATE
    }
}

const fn steady_skew(_: u64) -> f64 {
    1.15
}

const fn usual_prompts(_: u64) -> f64 {
    0.0
}

/// Sum of the outcomes over all seeds.
fn simulate(name: &str, rate: fn(u64) -> f64, admission: Admission, immediate_retries: bool) -> Second {
    let load = Load {
        rate,
        skew: steady_skew,
        long_prompts: usual_prompts,
        immediate_retries,
        large_workspace: LARGE,
        entries: 4,
        at_one_entry: |_| 0.0,
    };
    let seconds = SEEDS.flat_map(|seed| Model::new(samples::engine(), load, admission, seed).run(SECONDS));
    let sum = seconds.fold(Second::default(), |sum, second| sum.plus(&second));
    let of = |part: u32, whole: u32| f64::from(part) / f64::from(whole);
    let lost = sum.rejected + sum.abandoned;
    println!(
        "{name:>20} {admission:?}: worth {:.3}, timely {:.3}, lost {:.3}; small: timely {:.3}, lost {:.3}",
        of(sum.timely, sum.arrived) + 0.5 * of(sum.late, sum.arrived) + 0.75 * of(sum.timely_retry, sum.arrived),
        of(sum.timely, sum.arrived),
        of(lost, sum.arrived),
        of(sum.small_timely, sum.small_arrived),
        of(sum.small_lost, sum.small_arrived)
    );
    sum
}

/// Requests of small workspaces would wait behind those of a large one that alone causes the overload: they are on time
/// more often than the others, and hardly any of them ends without an answer.
#[test]
fn small_workspaces_served() {
    let mut outcomes = Vec::new();
    for (name, rate) in [
        ("steady", steady_rate as fn(u64) -> f64),
        ("busy", busy_rate),
        ("crowded", crowded_rate),
    ] {
        simulate(name, rate, Admission::Open, false);
        outcomes.push((name, simulate(name, rate, Admission::Queue, false)));
        let impatient = format!("{name}, impatient");
        outcomes.push((name, simulate(&impatient, rate, Admission::Queue, true)));
    }
    for (name, sum) in outcomes {
        let small_timely = f64::from(sum.small_timely) / f64::from(sum.small_arrived);
        let timely = f64::from(sum.timely) / f64::from(sum.arrived);
        let small_lost = f64::from(sum.small_lost) / f64::from(sum.small_arrived);
        assert!(small_timely >= timely, "{name}: {small_timely:.3} for {timely:.3}");
        assert!(small_lost <= 0.02, "{name}: {small_lost:.3}");
    }
}

/// An idle workspace must not be held back for a burst that it ended long ago.
#[test]
fn counts_decay() {
    let start = Instant::now();
    let workspace = Workspace::named(b"w");
    let mut shares = FairShares::default();
    for _ in 0..100 {
        shares.record(workspace, start);
    }
    assert!(shares.count(workspace, start) > 99.0);
    let later = start + Duration::from_mins(1);
    assert!(shares.count(workspace, later) < 0.01);
    shares.record(Workspace::named(b"other"), later);
    assert_eq!(shares.len(), 1, "a workspace without recent admissions is dropped");
}

/// Callers with ever new workspaces must not use up memory.
#[test]
fn workspaces_bounded() {
    let start = Instant::now();
    let mut shares = FairShares::default();
    for number in 0..20_000_u32 {
        shares.record(Workspace::named(&number.to_le_bytes()), start);
    }
    assert!(shares.len() <= 4_096, "{}", shares.len());
}

quickcheck! {
    /// Whatever the order and times of admissions: the counts are the sums of decayed admissions, also across
    /// clean-ups.
    fn counts_add_up(gaps: Vec<(u8, u16)>) -> bool {
        let start = Instant::now();
        let mut shares = FairShares::default();
        let mut now = start;
        let mut admissions = Vec::new();
        for (number, gap_ms) in gaps {
            now += Duration::from_millis(u64::from(gap_ms % 9_000));
            let workspace = Workspace::named(&[number % 3]);
            shares.record(workspace, now);
            admissions.push((workspace, now));
        }
        (0..3_u8).all(|number| {
            let workspace = Workspace::named(&[number]);
            let own = admissions.iter().filter(|(other, _)| *other == workspace);
            let expected: f64 = own.map(|(_, at)| (-(now - *at).as_secs_f64() / 4.0).exp()).sum();
            // Dropped counts are at most 0.05, at each of the clean-ups.
            (shares.count(workspace, now) - expected).abs() < 0.06
        })
    }
}
