//! Entries that act on the same delayed load report fill the targets evenly.

use quickcheck::{Arbitrary, Gen, QuickCheck};
use sparscale_policy::spread::{Candidate, draw, shares};

/// Pseudorandom numbers in 0..1, the same in each run.
struct Random(u64);

impl Random {
    fn sample(&mut self) -> f64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }
}

const TARGETS: usize = 63;
const ENTRIES: f64 = 15.0;
const SLOTS: f64 = 10.0;
/// Requests a second, over all entries.
const RATE: f64 = 250.0;
/// Time that a request occupies its slot, in seconds.
const RESIDENCE_SECS: f64 = 1.2;
/// Time between two reports, in seconds; a report is as old as that again when it is used.
const REPORT_INTERVAL_SECS: f64 = 0.1;

/// Simulates `choose` and returns the fraction of requests that find all slots of their target occupied.
fn blocked_fraction(choose: impl Fn(&[f64], f64) -> usize) -> f64 {
    let mut random = Random(7);
    let mut ends: Vec<Vec<f64>> = vec![Vec::new(); TARGETS];
    let (mut reported, mut next) = (vec![0.0; TARGETS], vec![0.0; TARGETS]);
    let (mut now, mut last_report, mut blocked, mut all) = (0.0, 0.0, 0, 0);
    while now < 60.0 {
        now += -(1.0 - random.sample()).ln() / RATE;
        for running in &mut ends {
            running.retain(|end| *end > now);
        }
        if now > last_report + REPORT_INTERVAL_SECS {
            last_report = now;
            reported = next;
            next = ends.iter().map(|running| running.len() as f64).collect();
        }
        let target = choose(&reported, random.sample());
        blocked += u32::from(ends[target].len() as f64 >= SLOTS);
        all += 1;
        ends[target].push(now + RESIDENCE_SECS * (0.4 + 1.2 * random.sample()));
    }
    f64::from(blocked) / f64::from(all)
}

fn candidates(loads: &[f64]) -> Vec<Candidate> {
    loads
        .iter()
        .map(|load| Candidate {
            load: *load,
            capacity: 1.0,
        })
        .collect()
}

/// Guards against herding: without the sampling, all entries send to the targets that were least loaded in the last
/// report.
#[test]
fn no_herding() {
    let least_loaded = blocked_fraction(|reported, sample| {
        let lowest = reported.iter().copied().fold(f64::INFINITY, f64::min);
        let equals: Vec<usize> = (0..TARGETS).filter(|target| reported[*target] <= lowest).collect();
        equals[(sample * equals.len() as f64) as usize]
    });
    let expected = RATE / ENTRIES * (ENTRIES - 1.0) * REPORT_INTERVAL_SECS * 1.5;
    let sampled =
        blocked_fraction(|reported, sample| draw(&shares(&candidates(reported), expected), sample).expect("a target"));
    assert!(least_loaded > 0.05, "{least_loaded}");
    assert!(sampled < 0.01, "{sampled}");
}

#[derive(Debug, Clone)]
struct Input(Vec<Candidate>, f64);

impl Arbitrary for Input {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut candidate = || Candidate {
            load: f64::from(u8::arbitrary(g)) / 10.0,
            capacity: f64::from(u8::arbitrary(g)) + 1.0,
        };
        let candidates = (0..12).map(|_| candidate()).collect();
        Self(candidates, f64::from(u8::arbitrary(g)))
    }
}

#[test]
fn shares_sum_to_one() {
    fn holds(Input(candidates, expected): Input) -> bool {
        let shares = shares(&candidates, expected);
        (shares.iter().sum::<f64>() - 1.0).abs() < 1e-9 && shares.iter().all(|share| *share >= 0.0)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(50, 1))
        .quickcheck(holds as fn(Input) -> bool);
}

/// No target is filled above the load of one that gets nothing.
#[test]
fn lowest_loads_first() {
    fn holds(Input(candidates, expected): Input) -> bool {
        let shares = shares(&candidates, expected);
        let arriving = expected.max(1.0);
        let after = candidates
            .iter()
            .zip(&shares)
            .map(|(candidate, share)| candidate.load + share * arriving / candidate.capacity);
        let highest = after
            .zip(&shares)
            .filter(|(_, share)| **share > 0.0)
            .map(|(load, _)| load)
            .fold(0.0, f64::max);
        let lowest_unused = candidates
            .iter()
            .zip(&shares)
            .filter(|(_, share)| **share <= 0.0)
            .map(|(candidate, _)| candidate.load);
        lowest_unused.fold(f64::INFINITY, f64::min) >= highest - 1e-6
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(50, 2))
        .quickcheck(holds as fn(Input) -> bool);
}

/// A single request goes to the least loaded target.
#[test]
fn single_request() {
    let shares = shares(&candidates(&[3.0, 1.0, 2.5]), 0.0);
    assert_eq!(draw(&shares, 0.99), Some(1));
}
