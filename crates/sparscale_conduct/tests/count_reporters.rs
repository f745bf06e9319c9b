//! The count reports of a group fit the link of its leader for any group size.

use quickcheck::{Gen, QuickCheck, TestResult};
use sparscale_conduct::{Bandwidth, Reporter};

/// Lowest bandwidth of a box's link, in megabits per second.
const SLIM: f64 = 6.0;
/// Share of a link that counts may use.
const PART: f64 = 0.4;

fn tellers(size: usize, numbers: usize) -> usize {
    (0..size)
        .filter(|rank| Reporter { rank: *rank, size }.tells(numbers, Bandwidth::from_mbps(SLIM).numbers_a_round()))
        .count()
}

#[test]
fn all_tell() {
    assert_eq!(tellers(12, 4 * 72), 12);
}

#[test]
fn link_fits() {
    fn holds(size: u16, numbers: u16) -> TestResult {
        let (size, numbers) = (usize::from(size % 1_500), usize::from(numbers % 9_000));
        if size == 0 {
            return TestResult::discard();
        }
        let tellers = tellers(size, numbers);
        // Ten rounds per second, one byte per value.
        let bits = (tellers.saturating_sub(1) * numbers * 10 * 8) as f64;
        let fits = bits <= SLIM * 1.0e6 * PART;
        TestResult::from_bool(tellers >= 1 && fits)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(10_000, 1))
        .quickcheck(holds as fn(u16, u16) -> TestResult);
}
