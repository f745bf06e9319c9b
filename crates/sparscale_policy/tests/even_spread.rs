//! Entries that act on the same late report fill the targets evenly.

use quickcheck::{Arbitrary, Gen, QuickCheck};
use sparscale_policy::spread::{Candidate, draw, shares};

/// Numbers from 0 to 1, the same each time.
struct Dice(u64);

impl Dice {
    fn roll(&mut self) -> f64 {
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
/// Time that a request stays, in seconds.
const STAY: f64 = 1.2;
/// Time between two reports, in seconds; each is as old again when it is used.
const REPORT: f64 = 0.1;

/// Part of the requests that find all slots of their target taken.
fn blocked(choose: impl Fn(&[f64], f64) -> usize) -> f64 {
    let mut dice = Dice(7);
    let mut ends: Vec<Vec<f64>> = vec![Vec::new(); TARGETS];
    let (mut told, mut next) = (vec![0.0; TARGETS], vec![0.0; TARGETS]);
    let (mut now, mut reported, mut late, mut all) = (0.0, 0.0, 0, 0);
    while now < 60.0 {
        now += -(1.0 - dice.roll()).ln() / RATE;
        for running in &mut ends {
            running.retain(|end| *end > now);
        }
        if now > reported + REPORT {
            reported = now;
            told = next;
            next = ends.iter().map(|running| running.len() as f64).collect();
        }
        let target = choose(&told, dice.roll());
        late += u32::from(ends[target].len() as f64 >= SLOTS);
        all += 1;
        ends[target].push(now + STAY * (0.4 + 1.2 * dice.roll()));
    }
    f64::from(late) / f64::from(all)
}

fn candidates(told: &[f64]) -> Vec<Candidate> {
    told.iter()
        .map(|load| Candidate {
            load: *load,
            capacity: 1.0,
        })
        .collect()
}

/// Without the drawing, all entries send to the targets that were least loaded a moment ago.
#[test]
fn no_herds() {
    let least = blocked(|told, lot| {
        let lowest = told.iter().copied().fold(f64::INFINITY, f64::min);
        let equals: Vec<usize> = (0..TARGETS).filter(|target| told[*target] <= lowest).collect();
        equals[(lot * equals.len() as f64) as usize]
    });
    let expected = RATE / ENTRIES * (ENTRIES - 1.0) * REPORT * 1.5;
    let drawn = blocked(|told, lot| draw(&shares(&candidates(told), expected), lot).expect("a target"));
    assert!(least > 0.05, "{least}");
    assert!(drawn < 0.01, "{drawn}");
}

#[derive(Debug, Clone)]
struct Row(Vec<Candidate>, f64);

impl Arbitrary for Row {
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
fn parts_of_one() {
    fn holds(Row(candidates, expected): Row) -> bool {
        let parts = shares(&candidates, expected);
        (parts.iter().sum::<f64>() - 1.0).abs() < 1e-9 && parts.iter().all(|part| *part >= 0.0)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(50, 1))
        .quickcheck(holds as fn(Row) -> bool);
}

/// Nobody is filled above another one that gets nothing.
#[test]
fn lowest_first() {
    fn holds(Row(candidates, expected): Row) -> bool {
        let parts = shares(&candidates, expected);
        let arriving = expected.max(1.0);
        let after = candidates
            .iter()
            .zip(&parts)
            .map(|(candidate, part)| candidate.load + part * arriving / candidate.capacity);
        let highest = after
            .zip(&parts)
            .filter(|(_, part)| **part > 0.0)
            .map(|(load, _)| load)
            .fold(0.0, f64::max);
        let lowest_left = candidates
            .iter()
            .zip(&parts)
            .filter(|(_, part)| **part <= 0.0)
            .map(|(candidate, _)| candidate.load);
        lowest_left.fold(f64::INFINITY, f64::min) >= highest - 1e-6
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(50, 2))
        .quickcheck(holds as fn(Row) -> bool);
}

/// One request at a time goes to the lowest.
#[test]
fn lone_entry() {
    let parts = shares(&candidates(&[3.0, 1.0, 2.5]), 0.0);
    assert_eq!(draw(&parts, 0.99), Some(1));
}
