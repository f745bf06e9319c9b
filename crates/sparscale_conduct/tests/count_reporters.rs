//! The count reports of a group fit the link of its leader for any group size.

use quickcheck::{Gen, QuickCheck, TestResult};
use sparscale_conduct::{Bandwidth, CountReporter};

/// Lowest bandwidth of a box's link, in megabits per second.
const MIN_LINK_MBPS: f64 = 6.0;
/// Share of a link that counts may use.
const COUNTS_SHARE: f64 = 0.4;

fn count_reporters(size: usize, values: usize) -> usize {
    (0..size)
        .filter(|rank| {
            CountReporter { rank: *rank, size }
                .reports_counts(values, Bandwidth::from_mbps(MIN_LINK_MBPS).counts_per_round())
        })
        .count()
}

#[test]
fn all_report() {
    assert_eq!(count_reporters(12, 4 * 72), 12);
}

#[test]
fn reports_fit_link() {
    fn holds(size: u16, values: u16) -> TestResult {
        let (size, values) = (usize::from(size % 1_500), usize::from(values % 9_000));
        if size == 0 {
            return TestResult::discard();
        }
        let reporters = count_reporters(size, values);
        // Ten rounds per second, one byte per value.
        let bits = (reporters.saturating_sub(1) * values * 10 * 8) as f64;
        let fits = bits <= MIN_LINK_MBPS * 1.0e6 * COUNTS_SHARE;
        TestResult::from_bool(reporters >= 1 && fits)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(10_000, 1))
        .quickcheck(holds as fn(u16, u16) -> TestResult);
}
