//! A request goes to a group that runs and has headroom, if there is one.

use quickcheck::{Arbitrary, Gen, quickcheck};
use sparscale_policy::group::{Candidate, choose};

fn group(headroom: f64, wait: f64) -> Candidate {
    Candidate {
        open: true,
        headroom,
        expected_wait_secs: wait,
        rank_count: 24,
    }
}

/// How often each candidate is chosen.
fn choice_counts(candidates: &[Candidate]) -> Vec<usize> {
    let mut counts = vec![0; candidates.len()];
    for step in 0..1_000 {
        let chosen = choose(candidates, f64::from(step) / 1_000.0).expect("there are groups");
        counts[chosen] += 1;
    }
    counts
}

/// One of three groups gets its next expert map later: it gets no requests while the others have headroom, and those
/// get requests in proportion to it.
#[test]
fn full_group_avoided() {
    let counts = choice_counts(&[group(-3.0, 0.4), group(4.0, 0.0), group(2.0, 0.0)]);
    assert_eq!(counts[0], 0);
    assert!((660..=674).contains(&counts[1]), "{counts:?}");
}

/// At peak load no group has headroom, so the request joins the backlog with the shortest wait.
#[test]
fn shortest_wait() {
    assert_eq!(
        choice_counts(&[group(-3.0, 0.9), group(0.4, 0.2), group(-9.0, 1.4)]),
        [0, 1_000, 0]
    );
}

/// A group that lost a rank rejects every request: the others take its share.
#[test]
fn closed_group_avoided() {
    let closed = Candidate {
        open: false,
        ..group(9.0, 0.0)
    };
    assert_eq!(
        choice_counts(&[closed, group(-1.0, 0.3), group(-2.0, 0.5)]),
        [0, 1_000, 0]
    );
    assert_eq!(choice_counts(&[closed]), [1_000]);
}

/// While no loads are known, groups are weighted by their numbers of ranks.
#[test]
fn unknown_loads_weighted_by_ranks() {
    let small = Candidate {
        rank_count: 12,
        ..group(f64::INFINITY, 0.0)
    };
    let counts = choice_counts(&[small, group(f64::INFINITY, 0.0)]);
    assert!((330..=337).contains(&counts[0]), "{counts:?}");
}

#[derive(Debug, Clone)]
struct Candidates(Vec<Candidate>);

impl Arbitrary for Candidates {
    fn arbitrary(g: &mut Gen) -> Self {
        let count = usize::arbitrary(g) % 5;
        let mut candidate = || Candidate {
            open: bool::arbitrary(g),
            headroom: f64::from(i16::arbitrary(g)) / 100.0,
            expected_wait_secs: f64::from(u8::arbitrary(g)) / 50.0,
            rank_count: usize::arbitrary(g) % 130,
        };
        Self((0..count).map(|_| candidate()).collect())
    }
}

quickcheck! {
    /// A group is chosen if there is any, and never a closed one while another is open.
    fn open_group_chosen(candidates: Candidates, sample: u16) -> bool {
        let sample = f64::from(sample) / f64::from(u16::MAX);
        let any_open = candidates.0.iter().any(|candidate| candidate.open);
        match choose(&candidates.0, sample) {
            Some(chosen) => candidates.0[chosen].open || !any_open,
            None => candidates.0.is_empty(),
        }
    }
}
