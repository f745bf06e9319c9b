//! Load at its worst, replayed in virtual time against the engine's own figures.
//!
//! To compare two ways: `cargo test --release -p sparscale_policy --test overload -- --nocapture` prints a line a load.

mod model;

use model::{Load, Model, Second, Way};
use sparscale_samples as samples;

/// Requests a second that the group serves in time on a calm day.
const CALM: f64 = 45.0;
/// Seconds that are played.
const SECONDS: usize = 16;
/// Those with a burst.
const BURST: std::ops::Range<usize> = 4..9;
const SEEDS: std::ops::RangeInclusive<u64> = 1..=3;
/// Worth of a late answer; one in time is worth 1.
const LATE: f64 = 0.5;
/// Part of the worth that may be lost where more is gained elsewhere.
const TOLERANCE: f64 = 0.03;

fn is_burst(ms: u64) -> bool {
    BURST.contains(&(ms as usize / 1_000))
}

/// Demand shifts each 3.6 s; the next map is in force half a second later.
fn shifts(ms: u64) -> f64 {
    if ms > 2_000 && ms % 3_600 < 500 { 3.0 } else { 1.15 }
}

const fn steady(_: u64) -> f64 {
    1.15
}

const fn usual(_: u64) -> f64 {
    0.0
}

fn calm(_: u64) -> f64 {
    CALM
}

fn busy(ms: u64) -> f64 {
    if is_burst(ms) { CALM * 1.7 } else { CALM }
}

fn crowded(ms: u64) -> f64 {
    if is_burst(ms) { CALM * 2.5 } else { CALM }
}

fn long_prompts(ms: u64) -> f64 {
    if is_burst(ms) { 0.3 } else { 0.0 }
}

const fn load(rate: fn(u64) -> f64, skew: fn(u64) -> f64, long_prompts: fn(u64) -> f64) -> Load {
    Load {
        rate,
        skew,
        long_prompts,
    }
}

/// Outcomes of one load, over all seeds.
struct Played(Vec<Second>);

impl Played {
    fn new(name: &str, load: Load, way: Way) -> Self {
        let plays = SEEDS.map(|seed| Model::new(samples::engine(), load, way, seed).run(SECONDS as u64));
        let played = Self(plays.fold(vec![Second::default(); SECONDS], |sum, seconds| {
            sum.iter().zip(&seconds).map(|(sum, second)| sum.plus(second)).collect()
        }));
        let (timely, lost) = (played.part(0..SECONDS, |second| second.timely), played.lost());
        let (worth, after) = (played.worth(0..SECONDS), played.worth(BURST.end + 1..SECONDS));
        println!("{name:>18} {way:?}: worth {worth:.3}, after {after:.3}, timely {timely:.3}, lost {lost:.3}");
        played
    }

    fn count(&self, span: std::ops::Range<usize>, of: impl Fn(&Second) -> u32) -> f64 {
        self.0[span].iter().map(|second| f64::from(of(second))).sum()
    }

    fn part(&self, span: std::ops::Range<usize>, of: impl Fn(&Second) -> u32) -> f64 {
        self.count(span.clone(), of) / self.count(span, |second| second.came)
    }

    /// Worth of what came in `span`; an answer in time by a later try lies between a timely and a late one.
    fn worth(&self, span: std::ops::Range<usize>) -> f64 {
        let part = |of: fn(&Second) -> u32| self.part(span.clone(), of);
        part(|second| second.timely)
            + LATE * part(|second| second.late)
            + f64::midpoint(1.0, LATE) * part(|second| second.again)
    }

    fn lost(&self) -> f64 {
        self.part(0..SECONDS, |second| second.refused + second.left)
    }
}

#[test]
fn calm_day() {
    let played = Played::new("calm", load(calm, steady, usual), Way::Queue);
    assert!(played.part(0..SECONDS, |second| second.timely) >= 0.97);
    assert!(played.lost() < f64::EPSILON);
}

/// Whoever waits or is turned away does so for something: against letting everybody in at once no load is worth less,
/// and fewer callers end with nothing.
#[test]
fn better_than_open() {
    let loads = [
        ("shifts", load(calm, shifts, usual)),
        ("busy", load(busy, steady, usual)),
        ("busy, shifts", load(busy, shifts, usual)),
        ("crowded", load(crowded, steady, usual)),
        ("crowded, shifts", load(crowded, shifts, usual)),
        ("long prompts", load(calm, steady, long_prompts)),
    ];
    for (name, load) in loads {
        let open = Played::new(name, load, Way::Open);
        let queue = Played::new(name, load, Way::Queue);
        let (with, without) = (queue.worth(0..SECONDS), open.worth(0..SECONDS));
        assert!(with >= without - TOLERANCE, "{name}: worth {with:.3} for {without:.3}");
        assert!(
            queue.lost() <= open.lost() + TOLERANCE,
            "{name}: lost {:.3} for {:.3}",
            queue.lost(),
            open.lost()
        );
    }
}

/// While half as much again and more comes, as many a second are in time as 0.8 of a calm second's.
#[test]
fn burst_in_time() {
    let calm = Played::new("calm", load(calm, steady, usual), Way::Queue);
    let calm = calm.count(BURST, |second| second.timely);
    for (name, rate) in [("busy", busy as fn(u64) -> f64), ("crowded", crowded)] {
        let burst = Played::new(name, load(rate, steady, usual), Way::Queue);
        let timely = burst.count(BURST, |second| second.timely);
        assert!(timely >= 0.8 * calm, "{name}: {timely} in time, {calm} on a calm day");
    }
}

/// Those who were turned away come back when there is room: a twentieth of them at most ends with nothing where all that
/// came could be served in the end.
#[test]
fn returns_served() {
    for (name, skew) in [("busy", steady as fn(u64) -> f64), ("busy, shifts", shifts)] {
        let played = Played::new(name, load(busy, skew, usual), Way::Queue);
        assert!(played.lost() <= 0.05, "{name}: {:.3}", played.lost());
    }
}
