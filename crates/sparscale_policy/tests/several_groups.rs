//! A request goes to a group that runs and has room, if there is one.

use quickcheck::{Arbitrary, Gen, quickcheck};
use sparscale_policy::group::{Candidate, choose};

fn group(room: f64, wait: f64) -> Candidate {
    Candidate {
        open: true,
        room,
        wait,
        ranks: 24,
    }
}

fn drawn(candidates: &[Candidate]) -> Vec<usize> {
    let mut counts = vec![0; candidates.len()];
    for lot in 0..1_000 {
        let chosen = choose(candidates, f64::from(lot) / 1_000.0).expect("there are groups");
        counts[chosen] += 1;
    }
    counts
}

/// One of three groups has its next map later: it gets nothing while the others have room, and those what they can take.
#[test]
fn full_group_spared() {
    let counts = drawn(&[group(-3.0, 0.4), group(4.0, 0.0), group(2.0, 0.0)]);
    assert_eq!(counts[0], 0);
    assert!((660..=674).contains(&counts[1]), "{counts:?}");
}

/// Load at its worst: no group has room, so the shortest line is joined.
#[test]
fn shortest_line() {
    assert_eq!(
        drawn(&[group(-3.0, 0.9), group(0.4, 0.2), group(-9.0, 1.4)]),
        [0, 1_000, 0]
    );
}

/// A group that lost a rank turns everything away: the others take its part.
#[test]
fn closed_group_passed_over() {
    let closed = Candidate {
        open: false,
        ..group(9.0, 0.0)
    };
    assert_eq!(drawn(&[closed, group(-1.0, 0.3), group(-2.0, 0.5)]), [0, 1_000, 0]);
    assert_eq!(drawn(&[closed]), [1_000]);
}

/// Nothing is known of any group: each gets what its ranks can take.
#[test]
fn unknown_by_ranks() {
    let small = Candidate {
        ranks: 12,
        ..group(f64::INFINITY, 0.0)
    };
    let counts = drawn(&[small, group(f64::INFINITY, 0.0)]);
    assert!((330..=337).contains(&counts[0]), "{counts:?}");
}

#[derive(Debug, Clone)]
struct Any(Vec<Candidate>);

impl Arbitrary for Any {
    fn arbitrary(g: &mut Gen) -> Self {
        let count = usize::arbitrary(g) % 5;
        let mut any = || Candidate {
            open: bool::arbitrary(g),
            room: f64::from(i16::arbitrary(g)) / 100.0,
            wait: f64::from(u8::arbitrary(g)) / 50.0,
            ranks: usize::arbitrary(g) % 130,
        };
        Self((0..count).map(|_| any()).collect())
    }
}

quickcheck! {
    /// Somebody takes the request if there is a group, and nobody who is closed while another is open.
    fn somebody_open(any: Any, lot: u16) -> bool {
        let lot = f64::from(lot) / f64::from(u16::MAX);
        let any_open = any.0.iter().any(|candidate| candidate.open);
        match choose(&any.0, lot) {
            Some(chosen) => any.0[chosen].open || !any_open,
            None => any.0.is_empty(),
        }
    }
}
