//! The time that a caller spent on earlier attempts, estimated from the deadlines on its route.

use std::time::{Duration, Instant};

use sparscale_policy::deadlines::DeadlineTracker;

const FIRST_DEADLINE: Duration = Duration::from_secs(8);

#[test]
fn first_attempts() {
    let mut deadlines = DeadlineTracker::default();
    let now = Instant::now();
    assert_eq!(deadlines.retry_age("a", FIRST_DEADLINE, now), Duration::ZERO);
    assert_eq!(deadlines.retry_age("a", FIRST_DEADLINE, now), Duration::ZERO);
}

#[test]
fn second_attempt() {
    let mut deadlines = DeadlineTracker::default();
    let now = Instant::now();
    deadlines.retry_age("a", FIRST_DEADLINE, now);
    let remaining = Duration::from_millis(7_300);
    assert_eq!(deadlines.retry_age("a", remaining, now), Duration::from_millis(700));
    assert_eq!(
        deadlines.retry_age("b", remaining, now),
        Duration::ZERO,
        "routes differ"
    );
}

/// Callers that send shorter deadlines than before must not count as retries for ever.
#[test]
fn shorter_deadlines() {
    let mut deadlines = DeadlineTracker::default();
    let start = Instant::now();
    deadlines.retry_age("a", FIRST_DEADLINE, start);
    let shorter = Duration::from_secs(3);
    let at = |seconds| start + Duration::from_secs(seconds);
    assert_eq!(deadlines.retry_age("a", shorter, at(1)), Duration::from_secs(5));
    assert_eq!(deadlines.retry_age("a", shorter, at(11)), Duration::from_secs(5));
    assert_eq!(deadlines.retry_age("a", shorter, at(22)), Duration::ZERO);
}
