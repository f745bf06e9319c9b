//! Compares the admission queue with unlimited admission under overload, in virtual time and by the engine's
//! performance model.
//!
//! `cargo test --release -p sparscale_policy --test overload -- --nocapture` prints one line for each load and kind of
//! admission.

mod model;

use model::{Admission, Load, Model, Second};
use sparscale_samples as samples;

/// Requests a second that the group serves on time under a steady load.
const STEADY_RATE: f64 = 45.0;
/// Number of entries, where a test names no other.
const ENTRIES: usize = 4;
/// Number of simulated seconds.
const SECONDS: usize = 16;
/// The seconds of the burst.
const BURST: std::ops::Range<usize> = 4..9;
const SEEDS: std::ops::RangeInclusive<u64> = 1..=3;
/// Worth of a late answer; one on time is worth 1.
const LATE_WORTH: f64 = 0.5;
/// Fraction of the worth that the queue may lose under one load, as it gains more under others.
const TOLERANCE: f64 = 0.03;

fn is_burst(ms: u64) -> bool {
    BURST.contains(&(ms as usize / 1_000))
}

/// Skew while demand shifts every 3.6 s and the next expert map is active half a second later.
fn shifting_skew(ms: u64) -> f64 {
    if ms > 2_000 && ms % 3_600 < 500 { 3.0 } else { 1.15 }
}

const fn steady_skew(_: u64) -> f64 {
    1.15
}

const fn usual_prompts(_: u64) -> f64 {
    0.0
}

fn steady_rate(_: u64) -> f64 {
    STEADY_RATE
}

fn busy_rate(ms: u64) -> f64 {
    if is_burst(ms) { STEADY_RATE * 1.7 } else { STEADY_RATE }
}

/// More than the group serves on time, throughout.
fn brisk_rate(_: u64) -> f64 {
    STEADY_RATE * 1.15
}

fn crowded_rate(ms: u64) -> f64 {
    if is_burst(ms) { STEADY_RATE * 2.5 } else { STEADY_RATE }
}

fn long_prompts(ms: u64) -> f64 {
    if is_burst(ms) { 0.3 } else { 0.0 }
}

const fn spread_evenly(_: u64) -> f64 {
    0.0
}

/// During the burst, nearly all callers reach the same entry.
fn concentrated(ms: u64) -> f64 {
    if is_burst(ms) { 0.9 } else { 0.0 }
}

const fn load(rate: fn(u64) -> f64, skew: fn(u64) -> f64, long_prompts: fn(u64) -> f64) -> Load {
    Load {
        rate,
        skew,
        long_prompts,
        immediate_retries: false,
        large_workspace: 0.0,
        entries: ENTRIES,
        at_one_entry: spread_evenly,
    }
}

/// The same load from callers that ignore their retry times.
const fn impatient(load: Load) -> Load {
    Load {
        immediate_retries: true,
        ..load
    }
}

/// Outcomes of one load, summed over all seeds.
struct Outcomes(Vec<Second>);

impl Outcomes {
    fn simulate(name: &str, load: Load, admission: Admission) -> Self {
        let runs = SEEDS.map(|seed| Model::new(samples::engine(), load, admission, seed).run(SECONDS as u64));
        let outcomes = Self(runs.fold(vec![Second::default(); SECONDS], |sum, seconds| {
            sum.iter().zip(&seconds).map(|(sum, second)| sum.plus(second)).collect()
        }));
        let (timely, lost) = (outcomes.fraction(0..SECONDS, |second| second.timely), outcomes.lost());
        let (worth, after) = (outcomes.worth(0..SECONDS), outcomes.worth(BURST.end + 1..SECONDS));
        println!("{name:>18} {admission:?}: worth {worth:.3}, after {after:.3}, timely {timely:.3}, lost {lost:.3}");
        outcomes
    }

    fn count(&self, span: std::ops::Range<usize>, of: impl Fn(&Second) -> u32) -> f64 {
        self.0[span].iter().map(|second| f64::from(of(second))).sum()
    }

    fn fraction(&self, span: std::ops::Range<usize>, of: impl Fn(&Second) -> u32) -> f64 {
        self.count(span.clone(), of) / self.count(span, |second| second.arrived)
    }

    /// Mean worth of the requests that arrived in `span`. An answer that is on time only by its retry is worth the mean
    /// of a timely and a late one.
    fn worth(&self, span: std::ops::Range<usize>) -> f64 {
        let fraction = |of: fn(&Second) -> u32| self.fraction(span.clone(), of);
        fraction(|second| second.timely)
            + LATE_WORTH * fraction(|second| second.late)
            + f64::midpoint(1.0, LATE_WORTH) * fraction(|second| second.timely_retry)
    }

    fn lost(&self) -> f64 {
        self.fraction(0..SECONDS, |second| second.rejected + second.abandoned)
    }
}

#[test]
fn steady_load_served() {
    let outcomes = Outcomes::simulate("calm", load(steady_rate, steady_skew, usual_prompts), Admission::Queue);
    assert!(outcomes.fraction(0..SECONDS, |second| second.timely) >= 0.97);
    assert!(outcomes.lost() < f64::EPSILON);
}

/// Waiting and rejections must pay off: compared with admitting every request at once, no load is worth less, and no
/// more callers end without an answer.
#[test]
fn better_than_open() {
    let loads = [
        ("shifts", load(steady_rate, shifting_skew, usual_prompts)),
        ("busy", load(busy_rate, steady_skew, usual_prompts)),
        ("busy, shifts", load(busy_rate, shifting_skew, usual_prompts)),
        ("crowded", load(crowded_rate, steady_skew, usual_prompts)),
        ("crowded, shifts", load(crowded_rate, shifting_skew, usual_prompts)),
        ("long prompts", load(steady_rate, steady_skew, long_prompts)),
    ];
    for (name, load) in loads {
        let open = Outcomes::simulate(name, load, Admission::Open);
        let queue = Outcomes::simulate(name, load, Admission::Queue);
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

/// During bursts of 1.7 and 2.5 times the steady rate, the number of timely answers is at least 0.8 of that under the
/// steady load.
#[test]
fn burst_on_time() {
    let steady = Outcomes::simulate("calm", load(steady_rate, steady_skew, usual_prompts), Admission::Queue);
    let steady = steady.count(BURST, |second| second.timely);
    for (name, rate) in [("busy", busy_rate as fn(u64) -> f64), ("crowded", crowded_rate)] {
        let burst = Outcomes::simulate(name, load(rate, steady_skew, usual_prompts), Admission::Queue);
        let timely = burst.count(BURST, |second| second.timely);
        assert!(
            timely >= 0.8 * steady,
            "{name}: {timely} on time, {steady} under the steady load"
        );
    }
}

/// Rejected callers retry when there is headroom: at most a twentieth of the callers end without an answer under loads
/// that could be served in full by the end.
#[test]
fn retries_served() {
    for (name, skew) in [("busy", steady_skew as fn(u64) -> f64), ("busy, shifts", shifting_skew)] {
        let outcomes = Outcomes::simulate(name, load(busy_rate, skew, usual_prompts), Admission::Queue);
        assert!(outcomes.lost() <= 0.05, "{name}: {:.3}", outcomes.lost());
    }
}

/// Callers that ignore their retry times lose only their own requests: with bursts of 1.7 and 2.5 times the steady
/// rate, as many requests that arrive after the burst are on time as with callers that keep to them.
#[test]
fn immediate_retries_harmless() {
    let loads = [
        ("busy", load(busy_rate, steady_skew, usual_prompts)),
        ("busy, shifts", load(busy_rate, shifting_skew, usual_prompts)),
        ("crowded", load(crowded_rate, steady_skew, usual_prompts)),
        ("crowded, shifts", load(crowded_rate, shifting_skew, usual_prompts)),
    ];
    for (name, load) in loads {
        let patient = Outcomes::simulate(name, load, Admission::Queue);
        let impatient = Outcomes::simulate(&format!("{name}, impatient"), impatient(load), Admission::Queue);
        let after = |outcomes: &Outcomes| outcomes.fraction(BURST.end + 1..SECONDS, |second| second.timely);
        let (with, without) = (after(&impatient), after(&patient));
        assert!(
            with >= without - TOLERANCE,
            "{name}: {with:.3} of those after the burst on time for {without:.3}"
        );
    }
}

/// While most callers reach one of the entries, requests are answered at the first attempt at least three quarters as
/// often as before, however many entries there are.
#[test]
fn one_busy_entry() {
    let loads = [
        ("calm", load(steady_rate, steady_skew, usual_prompts)),
        ("busy", load(brisk_rate, steady_skew, usual_prompts)),
        ("shifts", load(steady_rate, shifting_skew, usual_prompts)),
    ];
    for entries in [4, 16, 53, 106] {
        for (name, load) in loads {
            let load = Load {
                entries,
                at_one_entry: concentrated,
                ..load
            };
            let outcomes = Outcomes::simulate(&format!("{name}, {entries} entries"), load, Admission::Queue);
            let answered_first = |span| outcomes.fraction(span, |second| second.answered_first);
            let (before, during) = (answered_first(0..BURST.start), answered_first(BURST));
            assert!(
                during >= 0.75 * before,
                "{name}, {entries} entries: {during:.3} answered at the first attempt, {before:.3} before"
            );
        }
    }
}
