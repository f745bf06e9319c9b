//! Decisions fit the group, keep to their budget and pay for themselves.
#![expect(clippy::needless_pass_by_value, reason = "quickcheck passes arguments by value")]

use std::time::Duration;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use sparscale_place::baseline::greedy_from_scratch;
use sparscale_place::{Costs, Counts, Map, Reason, Shape, decide, skew};

const COSTS: Costs = Costs {
    weight_skew: 1.0,
    weight_move: 0.001,
    seconds_per_load: 0.1,
    slowed: 0.0,
    move_budget: 1_000,
    quiet: false,
};

/// A group and popularity counts with a heavy tail.
#[derive(Clone, Debug)]
struct Case {
    shape: Shape,
    tokens: Vec<f64>,
    budget: u32,
}

impl Arbitrary for Case {
    fn arbitrary(g: &mut Gen) -> Self {
        let ranks = 2 + usize::arbitrary(g) % 7;
        let experts = ranks + usize::arbitrary(g) % 24;
        let shape = Shape {
            ranks,
            layers: 1 + usize::arbitrary(g) % 3,
            experts,
            slots: experts.div_ceil(ranks) + usize::arbitrary(g) % 3,
        };
        let heavy = |g: &mut Gen| 1_000.0 / (1.0 + f64::from(u8::arbitrary(g)));
        let tokens = (0..shape.layers * shape.experts).map(|_| heavy(g)).collect();
        let budget = u32::arbitrary(g) % 20;
        Self { shape, tokens, budget }
    }
}

fn counts(case: &Case) -> Counts {
    let mut counts = Counts::new(case.shape, Duration::from_mins(1));
    counts.observe(&case.tokens, Duration::ZERO);
    counts
}

fn check(property: fn(Case) -> bool, seed: u64) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(50, seed))
        .tests(2_000)
        .quickcheck(property);
}

#[test]
fn decisions_fit() {
    fn fit(case: Case) -> bool {
        let counts = counts(&case);
        let present = Map::initial(case.shape);
        let costs = Costs {
            move_budget: case.budget,
            ..COSTS
        };
        let decision = decide(&counts, &present, &costs);
        let Some(next) = &decision.next else {
            return decision.reason != Reason::Pays;
        };
        let loads = present.loads_of(next) as u32;
        let same_again = decide(&counts, &present, &costs) == decision;
        next.fits(case.shape)
            && loads == decision.loads
            && loads <= case.budget
            && (skew(next, &counts) - decision.skew_next).abs() < 1e-9
            && decision.skew_next < decision.skew_now
            && decision.cost_move < decision.cost_stay
            && same_again
    }
    check(fit, 51);
}

#[test]
fn greedy_fits() {
    check(|case| greedy_from_scratch(&counts(&case)).fits(case.shape), 52);
}

#[test]
fn something_moves() {
    // Guards the property above: if nothing ever moved, it would prove nothing.
    let mut g = Gen::from_size_and_seed(50, 53);
    let moved = (0..200).filter(|_| {
        let case = Case::arbitrary(&mut g);
        decide(&counts(&case), &Map::initial(case.shape), &COSTS).next.is_some()
    });
    let moved = moved.count();
    assert!(moved > 150, "only {moved} of 200 groups moved an expert");
}

#[test]
fn weights_decide() {
    let mut g = Gen::from_size_and_seed(50, 54);
    let (mut eager_loads, mut thrifty_loads) = (0, 0);
    for _ in 0..200 {
        let case = Case::arbitrary(&mut g);
        let counts = counts(&case);
        let present = Map::initial(case.shape);
        let thrifty = Costs {
            weight_move: 0.5,
            ..COSTS
        };
        eager_loads += decide(&counts, &present, &COSTS).loads;
        let decision = decide(&counts, &present, &thrifty);
        thrifty_loads += if decision.next.is_some() { decision.loads } else { 0 };
    }
    assert!(thrifty_loads * 2 < eager_loads, "{thrifty_loads} against {eager_loads}");
}

#[test]
fn quiet_hours() {
    let mut g = Gen::from_size_and_seed(50, 55);
    let case = Case::arbitrary(&mut g);
    let quiet = Costs { quiet: true, ..COSTS };
    let decision = decide(&counts(&case), &Map::initial(case.shape), &quiet);
    assert_eq!((decision.next, decision.reason), (None, Reason::QuietHours));
}

#[test]
fn counts_fade() {
    let shape = Shape {
        ranks: 1,
        layers: 1,
        experts: 1,
        slots: 1,
    };
    let mut counts = Counts::new(shape, Duration::from_secs(10));
    counts.observe(&[100.0], Duration::ZERO);
    counts.observe(&[0.0], Duration::from_secs(10));
    assert!((counts.total() - 50.0).abs() < 1e-9);
    counts.observe(&[1.0, 2.0], Duration::ZERO);
    assert!(
        (counts.total() - 50.0).abs() < 1e-9,
        "a list of another shape is left out"
    );
}
