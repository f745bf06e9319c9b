//! What a caller spent before this try, by the deadlines that callers of its route give.

use std::time::{Duration, Instant};

use sparscale_policy::spent::Deadlines;

const FIRST: Duration = Duration::from_secs(8);

#[test]
fn first_tries() {
    let mut deadlines = Deadlines::default();
    let now = Instant::now();
    assert_eq!(deadlines.spent("a", FIRST, now), Duration::ZERO);
    assert_eq!(deadlines.spent("a", FIRST, now), Duration::ZERO);
}

#[test]
fn second_try() {
    let mut deadlines = Deadlines::default();
    let now = Instant::now();
    deadlines.spent("a", FIRST, now);
    let left = Duration::from_millis(7_300);
    assert_eq!(deadlines.spent("a", left, now), Duration::from_millis(700));
    assert_eq!(deadlines.spent("b", left, now), Duration::ZERO, "routes differ");
}

/// Callers that wait for less than they did are not taken for ones that come back for ever.
#[test]
fn shorter_deadlines() {
    let mut deadlines = Deadlines::default();
    let began = Instant::now();
    deadlines.spent("a", FIRST, began);
    let shorter = Duration::from_secs(3);
    let later = |seconds| began + Duration::from_secs(seconds);
    assert_eq!(deadlines.spent("a", shorter, later(1)), Duration::from_secs(5));
    assert_eq!(deadlines.spent("a", shorter, later(11)), Duration::from_secs(5));
    assert_eq!(deadlines.spent("a", shorter, later(22)), Duration::ZERO);
}
