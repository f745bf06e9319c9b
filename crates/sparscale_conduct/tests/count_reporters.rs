//! The counts of a group fit into its conductor's link, whatever the size of the group.

use quickcheck::{Gen, QuickCheck, TestResult};
use sparscale_conduct::{MAX_NUMBERS, Reporter};

fn tellers(size: usize, numbers: usize) -> usize {
    (0..size)
        .filter(|rank| Reporter { rank: *rank, size }.tells(numbers))
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
        let fits = tellers.saturating_sub(1) * numbers <= MAX_NUMBERS;
        TestResult::from_bool(tellers >= 1 && fits)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(10_000, 1))
        .quickcheck(holds as fn(u16, u16) -> TestResult);
}
