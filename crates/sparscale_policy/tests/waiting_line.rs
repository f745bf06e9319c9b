//! The order in which requests of a backlog are admitted.

use std::time::{Duration, Instant};

use sparscale_policy::backlog::{Backlog, Entry};
use sparscale_policy::fair_share::Workspace;
use sparscale_policy::headroom::Headroom;

/// Time from the creation of the backlog to the admissions.
const ELAPSED: Duration = Duration::from_secs(10);
const HEADROOM: Headroom = Headroom { timely: 1.0, late: 1.0 };

/// Adds requests given as `(tier, number, time from now until which it can be on time, in milliseconds)` and returns
/// the order in which `headroom` admits them.
fn admission_order(waiting: &[(u8, usize, i64)], headroom: Headroom) -> Vec<usize> {
    let start = Instant::now();
    let now = start + ELAPSED;
    let mut backlog = Backlog::default();
    for (tier, number, until_ms) in waiting {
        let offset = Duration::from_millis(until_ms.unsigned_abs());
        let until = start
            + if *until_ms < 0 {
                ELAPSED.saturating_sub(offset)
            } else {
                ELAPSED + offset
            };
        let entry = Entry {
            ticket: (*tier, *number),
            timely_until: until,
            is_retry: false,
            workspace: Workspace::default(),
        };
        backlog.insert(entry, *number);
    }
    let mut admitted = Vec::new();
    while let Some(number) = backlog.next(headroom, now) {
        admitted.push(number);
    }
    admitted
}

#[test]
fn order_by_tier_then_arrival() {
    assert_eq!(
        admission_order(&[(2, 1, 100), (1, 3, 100), (1, 2, 300)], HEADROOM),
        [2, 3, 1]
    );
}

/// A late request loses nothing by waiting longer, while one that can still be on time would.
#[test]
fn late_request_last() {
    assert_eq!(
        admission_order(&[(0, 1, -50), (1, 2, 100), (1, 3, 100)], HEADROOM),
        [2, 3, 1]
    );
}

/// While passes are too long for any request to be on time, only late requests are admitted.
#[test]
fn only_late_admitted() {
    let headroom = Headroom { timely: 0.0, late: 1.0 };
    assert_eq!(admission_order(&[(1, 1, 100), (1, 2, -50)], headroom), [2]);
}

#[test]
fn no_headroom() {
    let headroom = Headroom { timely: 0.9, late: 0.9 };
    assert_eq!(admission_order(&[(1, 1, 100), (1, 2, -50)], headroom), [0_usize; 0]);
}

/// An early rejection has already cost a part of the worth of a retry, so a first attempt comes before it; a late
/// request of any kind comes after both.
#[test]
fn first_attempt_before_retry() {
    let now = Instant::now();
    let mut backlog = Backlog::default();
    for (number, until_ms, is_retry) in [(1, 1_100, true), (2, 1_100, false), (3, 900, false), (4, 1_100, true)] {
        let entry = Entry {
            ticket: (0, number),
            timely_until: now + Duration::from_millis(until_ms),
            is_retry,
            workspace: Workspace::default(),
        };
        backlog.insert(entry, number);
    }
    let later = now + Duration::from_secs(1);
    let order: Vec<usize> = std::iter::from_fn(|| backlog.next(HEADROOM, later)).collect();
    assert_eq!(order, [2, 1, 4, 3]);
}

/// Requests of a workspace with many recent admissions would hold back those of the others. The tier still comes first,
/// and late requests, which lose nothing by waiting, keep the order of arrival.
#[test]
fn few_admissions_first() {
    let now = Instant::now();
    let (large, small) = (Workspace::named(b"large"), Workspace::named(b"small"));
    let mut backlog = Backlog::default();
    for _ in 0..9 {
        backlog.record_admission(large, now);
    }
    backlog.record_admission(small, now);
    let waiting = [
        (1, 1, 1_100, large),
        (1, 2, 1_100, small),
        (0, 3, 1_100, large),
        (1, 4, 900, large),
        (1, 5, 900, small),
    ];
    for (tier, number, until_ms, workspace) in waiting {
        let entry = Entry {
            ticket: (tier, number),
            timely_until: now + Duration::from_millis(until_ms),
            is_retry: false,
            workspace,
        };
        backlog.insert(entry, number);
    }
    let later = now + Duration::from_secs(1);
    let order: Vec<usize> = std::iter::from_fn(|| backlog.next(HEADROOM, later)).collect();
    assert_eq!(order, [3, 2, 1, 4, 5]);
}
