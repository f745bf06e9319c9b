//! Tests a store that was restored from an older snapshot: strikes that it lost are written again, and those that it
//! still has are not.

use std::time::Duration;

use sparscale_quarantine::{EndedStart, Fingerprint, Strike, StrikeSource, StrikeStatus, Tracker};

const NOW_MS: u64 = 1_000_000;
const MARGIN: Duration = Duration::from_secs(2);

fn strike(content: &str, end: &str) -> Strike {
    Strike {
        subject: Fingerprint::of("POST", content, None, b""),
        ended_start: EndedStart::of(end, Some(1)),
        at_ms: NOW_MS - 60_000,
        status: StrikeStatus::Counted,
    }
}

/// A tracker with two strikes that the store had before it was restored.
fn stored_strikes() -> (Tracker, [Strike; 2]) {
    let strikes = [strike("/a", "m-1"), strike("/b", "m-2")];
    let mut tracker = Tracker::default();
    for strike in strikes {
        tracker.merge(strike, StrikeSource::Store, NOW_MS - 30_000);
    }
    (tracker, strikes)
}

#[test]
fn lost_strike_written_again() {
    let (mut tracker, strikes) = stored_strikes();
    assert!(tracker.unsaved().is_empty());
    tracker.mark_stored_unconfirmed();
    tracker.merge_snapshot(&strikes[..1], NOW_MS, MARGIN, NOW_MS);
    assert_eq!(tracker.unsaved(), strikes[1..]);
}

#[test]
fn written_once() {
    let (mut tracker, strikes) = stored_strikes();
    tracker.mark_stored_unconfirmed();
    tracker.merge_snapshot(&[], NOW_MS, MARGIN, NOW_MS);
    for strike in tracker.unsaved() {
        tracker.merge(strike, StrikeSource::Store, NOW_MS);
    }
    tracker.merge_snapshot(&strikes, NOW_MS + 1_000, MARGIN, NOW_MS + 1_000);
    assert!(tracker.unsaved().is_empty());
}

/// Without a restore, strikes missing from the store have expired and are not written again.
#[test]
fn expired_not_written() {
    let (mut tracker, _) = stored_strikes();
    tracker.merge_snapshot(&[], NOW_MS, MARGIN, NOW_MS);
    assert!(tracker.unsaved().is_empty());
}
