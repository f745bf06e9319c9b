//! The tracked limit of a target follows the latest statement of its present start.

use std::net::SocketAddr;
use std::time::Duration;

use sparscale_catalog::StartId;
use sparscale_clock::{Clock as _, SystemClock, Timestamp};
use sparscale_policy::rate_limit::{Members, Rate};
use sparscale_policy::throttle::{Availability, Notice, Origin, Tracker};

const SECOND: Duration = Duration::from_secs(1);

fn tracker() -> (Tracker, Timestamp) {
    let now = SystemClock::default().now();
    let mut tracker = Tracker::default();
    tracker.set_members(Members::new(SocketAddr::from(([10, 0, 0, 1], 7_000)), &[]), now);
    (tracker, now)
}

fn notice(born_ms: u64, rate: Option<f64>, as_of: Timestamp) -> Notice {
    Notice {
        start: StartId::of("target-1", Some(born_ms)),
        rate: rate.map(|rate| Rate::try_from(rate).expect("a rate")),
        is_draining: false,
        as_of,
        origin: Origin {
            reporter: 1,
            sequence: 1,
        },
    }
}

fn is_open(tracker: &Tracker, start: StartId, now: Timestamp) -> bool {
    tracker.availability(start, now) == Availability::Now
}

/// A notice of another reporter, which is ordered by its time.
fn notice_elsewhere(born_ms: u64, rate: Option<f64>, as_of: Timestamp) -> Notice {
    let origin = Origin {
        reporter: 2,
        sequence: 1,
    };
    Notice {
        origin,
        ..notice(born_ms, rate, as_of)
    }
}

/// A notice that is older than the known state and arrives late changes nothing.
#[test]
fn late_notice_ignored() {
    let (mut tracker, now) = tracker();
    let later = now + SECOND;
    assert!(tracker.merge(notice(1, Some(1.0), later), later));
    assert!(
        !tracker.merge(notice_elsewhere(1, None, now), later),
        "an older notice ended the limit"
    );
    assert!(!is_open(&tracker, notice(1, None, now).start, later));
    assert!(
        tracker.merge(notice(1, None, later), later),
        "the latest notice applies"
    );
    assert!(is_open(&tracker, notice(1, None, now).start, later));
}

/// A limit that another entry announced counts although it is dated before this entry first noted anything of the target.
#[test]
fn first_notice_applies() {
    let (mut tracker, now) = tracker();
    let start = notice(1, None, now).start;
    let later = now + SECOND;
    tracker.record_backoff(start, SECOND / 10, later);
    assert!(tracker.merge(notice_elsewhere(1, Some(1.0), now), later));
    assert!(!is_open(&tracker, start, later + SECOND / 10));
}

/// A restarted target has no limits yet.
#[test]
fn restart_clears_limit() {
    let (mut tracker, now) = tracker();
    tracker.merge(notice(1, Some(1.0), now), now);
    assert!(is_open(&tracker, StartId::of("target-1", Some(2)), now));
}

/// Guards against starvation: each new rate must not restart the wait, or a target whose rate changes with each
/// response would get no requests.
#[test]
fn changing_rate() {
    let (mut tracker, start) = tracker();
    let mut sends = 0;
    for tenth in 0_u32..100 {
        let now = start + SECOND / 10 * tenth;
        let rate = 1.0 + f64::from(tenth % 3) / 10.0;
        tracker.merge(notice(1, Some(rate), now), now);
        sends += u32::from(tracker.try_acquire(notice(1, None, now).start, now));
    }
    assert!((7..=12).contains(&sends), "{sends} sends in 10 s");
}

/// Each limit is listed once as a change, and so is its end.
#[test]
fn changes_listed_once() {
    let (mut tracker, now) = tracker();
    tracker.merge(notice(1, Some(1.0), now), now);
    let (changes, position) = tracker.changes_since(0);
    assert_eq!(changes, [notice(1, Some(1.0), now)]);
    assert!(tracker.changes_since(position).0.is_empty());
    tracker.merge(notice(1, None, now + SECOND), now + SECOND);
    assert_eq!(tracker.changes_since(position).0, [notice(1, None, now + SECOND)]);
}

/// A backoff lasts until its end, whatever the rate and even if a shorter one follows; its length is capped.
#[test]
fn backoff() {
    let (mut tracker, now) = tracker();
    let start = notice(1, None, now).start;
    assert!(tracker.record_backoff(start, 3 * SECOND, now).is_some());
    assert!(
        tracker.record_backoff(start, SECOND, now).is_none(),
        "a longer backoff is known"
    );
    tracker.merge(notice(1, Some(40.0), now), now);
    assert!(!tracker.try_acquire(start, now + 2 * SECOND));
    assert_eq!(tracker.availability(start, now), Availability::At(now + 3 * SECOND));
    assert!(tracker.try_acquire(start, now + 3 * SECOND));
    tracker.record_backoff(start, Duration::MAX, now);
    assert!(
        tracker.try_acquire(start, now + Duration::from_hours(1)),
        "a backoff without end"
    );
}

/// Leaving takes effect at once and is final, even if its notice arrives late; it does not apply to the target's next
/// start.
#[test]
fn draining_is_final() {
    let (mut tracker, now) = tracker();
    let draining = Notice {
        is_draining: true,
        ..notice_elsewhere(1, None, now)
    };
    tracker.merge(notice(1, Some(1.0), now + SECOND), now + SECOND);
    assert!(tracker.merge(draining, now + 2 * SECOND));
    tracker.merge(notice(1, None, now + 3 * SECOND), now + 3 * SECOND);
    assert_eq!(
        tracker.availability(draining.start, now + 4 * SECOND),
        Availability::Never
    );
    assert!(!tracker.try_acquire(draining.start, now + 4 * SECOND));
    assert!(is_open(&tracker, StartId::of("target-1", Some(2)), now));
}

/// Guards against a flood of announcements by a target that states another rate in each response. A sharp drop and the
/// end of a limit are announced at once.
#[test]
fn announcements_limited() {
    let (mut tracker, start) = tracker();
    let mut announcements = 0;
    for hundredth in 0_u32..500 {
        let now = start + SECOND / 100 * hundredth;
        let rate = 10.0 + f64::from(hundredth % 7) / 10.0;
        announcements += u32::from(tracker.merge(notice(1, Some(rate), now), now));
    }
    assert!(announcements <= 6, "{announcements} announcements in 5 s");
    let now = start + 5 * SECOND;
    assert!(
        tracker.merge(notice(1, Some(2.0), now), now),
        "a drop is announced at once"
    );
    assert!(tracker.merge(notice(1, None, now), now), "an end is announced at once");
}
