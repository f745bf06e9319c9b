//! Placement decisions fit the group, stay within the budget and cost less than staying.
#![expect(clippy::needless_pass_by_value, reason = "quickcheck passes arguments by value")]

use std::time::Duration;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use sparscale_place::baseline::greedy_from_scratch;
use sparscale_place::{Costs, Map, Reason, Shape, TokenCounts, decide, skew};

const COSTS: Costs = Costs {
    weight_skew: 1.0,
    weight_move: 0.001,
    seconds_per_load: 0.1,
    slowdown_share: 0.0,
    move_budget: 1_000,
    in_quiet_hours: false,
};

/// A group with heavy-tailed token counts.
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
        let heavy_tailed = |g: &mut Gen| 1_000.0 / (1.0 + f64::from(u8::arbitrary(g)));
        let tokens = (0..shape.layers * shape.experts).map(|_| heavy_tailed(g)).collect();
        let budget = u32::arbitrary(g) % 20;
        Self { shape, tokens, budget }
    }
}

fn counts(case: &Case) -> TokenCounts {
    let mut counts = TokenCounts::new(case.shape, Duration::from_mins(1));
    counts.observe(&case.tokens, Duration::ZERO);
    counts
}

fn check_property(property: fn(Case) -> bool, seed: u64) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(50, seed))
        .tests(2_000)
        .quickcheck(property);
}

#[test]
fn decisions_fit() {
    fn fits_and_pays(case: Case) -> bool {
        let counts = counts(&case);
        let current = Map::initial(case.shape);
        let costs = Costs {
            move_budget: case.budget,
            ..COSTS
        };
        let decision = decide(&counts, &current, &costs);
        let Some(next) = &decision.next_map else {
            return decision.reason != Reason::Pays;
        };
        let loads = current.replicas_to_load(next) as u32;
        let is_repeatable = decide(&counts, &current, &costs) == decision;
        next.fits(case.shape)
            && loads == decision.replica_loads
            && loads <= case.budget
            && (skew(next, &counts) - decision.skew_next).abs() < 1e-9
            && decision.skew_next < decision.skew_now
            && decision.cost_move < decision.cost_stay
            && is_repeatable
    }
    check_property(fits_and_pays, 51);
}

#[test]
fn greedy_fits() {
    check_property(|case| greedy_from_scratch(&counts(&case)).fits(case.shape), 52);
}

#[test]
fn most_groups_move() {
    // Without any move, the property tested by `decisions_fit` would hold trivially.
    let mut g = Gen::from_size_and_seed(50, 53);
    let moves = (0..200).filter(|_| {
        let case = Case::arbitrary(&mut g);
        decide(&counts(&case), &Map::initial(case.shape), &COSTS)
            .next_map
            .is_some()
    });
    let moved_count = moves.count();
    assert!(moved_count > 150, "only {moved_count} of 200 groups moved an expert");
}

#[test]
fn costly_moves_load_less() {
    let mut g = Gen::from_size_and_seed(50, 54);
    let (mut cheap_loads, mut costly_loads) = (0, 0);
    for _ in 0..200 {
        let case = Case::arbitrary(&mut g);
        let counts = counts(&case);
        let current = Map::initial(case.shape);
        let costly_moves = Costs {
            weight_move: 0.5,
            ..COSTS
        };
        cheap_loads += decide(&counts, &current, &COSTS).replica_loads;
        let decision = decide(&counts, &current, &costly_moves);
        costly_loads += if decision.next_map.is_some() {
            decision.replica_loads
        } else {
            0
        };
    }
    assert!(costly_loads * 2 < cheap_loads, "{costly_loads} against {cheap_loads}");
}

#[test]
fn quiet_hours() {
    let mut g = Gen::from_size_and_seed(50, 55);
    let case = Case::arbitrary(&mut g);
    let quiet = Costs {
        in_quiet_hours: true,
        ..COSTS
    };
    let decision = decide(&counts(&case), &Map::initial(case.shape), &quiet);
    assert_eq!((decision.next_map, decision.reason), (None, Reason::QuietHours));
}

#[test]
fn counts_decay() {
    let shape = Shape {
        ranks: 1,
        layers: 1,
        experts: 1,
        slots: 1,
    };
    let mut counts = TokenCounts::new(shape, Duration::from_secs(10));
    counts.observe(&[100.0], Duration::ZERO);
    counts.observe(&[0.0], Duration::from_secs(10));
    assert!((counts.total() - 50.0).abs() < 1e-9);
    counts.observe(&[1.0, 2.0], Duration::ZERO);
    assert!(
        (counts.total() - 50.0).abs() < 1e-9,
        "tokens of another shape are ignored"
    );
}
