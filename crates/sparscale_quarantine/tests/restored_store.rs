//! Tests a store that was restored from an older snapshot: strikes that it lost are written again, and those that it still
//! has are not.

use std::time::Duration;

use sparscale_quarantine::{End, Fingerprint, News, Register, Standing, Strike};

const NOW_MS: u64 = 1_000_000;
const MARGIN: Duration = Duration::from_secs(2);

fn strike(content: &str, end: &str) -> Strike {
    Strike {
        request: Fingerprint::of("POST", content, None, b""),
        end: End::of(end, Some(1)),
        at_ms: NOW_MS - 60_000,
        standing: Standing::Counts,
    }
}

/// A tracker with two strikes that the store had before it was restored.
fn stored_strikes() -> (Register, [Strike; 2]) {
    let strikes = [strike("/a", "m-1"), strike("/b", "m-2")];
    let mut tracker = Register::default();
    for strike in strikes {
        tracker.take_in(strike, News::Read, NOW_MS - 30_000);
    }
    (tracker, strikes)
}

#[test]
fn lost_strike_written_again() {
    let (mut tracker, strikes) = stored_strikes();
    assert!(tracker.untold().is_empty());
    tracker.doubt_store();
    tracker.read(&strikes[..1], NOW_MS, MARGIN, NOW_MS);
    assert_eq!(tracker.untold(), strikes[1..]);
}

#[test]
fn written_once() {
    let (mut tracker, strikes) = stored_strikes();
    tracker.doubt_store();
    tracker.read(&[], NOW_MS, MARGIN, NOW_MS);
    for strike in tracker.untold() {
        tracker.take_in(strike, News::Read, NOW_MS);
    }
    tracker.read(&strikes, NOW_MS + 1_000, MARGIN, NOW_MS + 1_000);
    assert!(tracker.untold().is_empty());
}

/// Without a restore, strikes missing from the store have expired and are not written again.
#[test]
fn expired_not_written() {
    let (mut tracker, _) = stored_strikes();
    tracker.read(&[], NOW_MS, MARGIN, NOW_MS);
    assert!(tracker.untold().is_empty());
}
