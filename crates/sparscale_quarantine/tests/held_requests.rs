//! Tests which requests are held back, for how long, and what clears their strikes.

use std::time::Duration;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use sparscale_quarantine::{Content, EndedStart, Fingerprint, Strike, StrikeSource, StrikeStatus, Tracker};

const NOW_MS: u64 = 1_800_000_000_000;
const MINUTE_MS: u64 = 60_000;
const DAY_MS: u64 = 24 * 60 * MINUTE_MS;

fn request(name: &str) -> Fingerprint {
    Fingerprint::of("POST", "/draft", Some("teal"), name.as_bytes())
}

fn strike(name: &str, target: u32, at_ms: u64) -> Strike {
    Strike {
        subject: request(name),
        ended_start: EndedStart::of(&format!("t-{target}"), None),
        at_ms,
        status: StrikeStatus::Counted,
    }
}

fn tracker_of(strikes: &[Strike]) -> Tracker {
    let mut tracker = Tracker::default();
    for strike in strikes {
        tracker.merge(*strike, StrikeSource::Local, NOW_MS);
    }
    tracker
}

fn content(name: &str) -> Content {
    Content::new(request(name), [])
}

fn remaining_hold(tracker: &mut Tracker, name: &str, now_ms: u64) -> Option<Duration> {
    tracker
        .active_hold(&content(name), 0.0, now_ms)
        .map(|hold| hold.remaining)
}

/// Records a complete response; returns whether that cleared the request.
fn record_response(tracker: &mut Tracker, name: &str) -> bool {
    tracker.record_response(&content(name), NOW_MS) == [request(name)]
}

/// Each part of a request changes the fingerprint, and bytes that move from one part to the next change it too.
#[test]
fn fingerprint_covers_parts() {
    let of = |method, path, workspace, body: &str| Fingerprint::of(method, path, workspace, body.as_bytes());
    let base = of("POST", "/a/b", Some("teal"), "body");
    assert_eq!(base, of("POST", "/a/b", Some("teal"), "body"));
    for other in [
        of("GET", "/a/b", Some("teal"), "body"),
        of("POST", "/a/bt", Some("eal"), "body"),
        of("POST", "/a/b", Some("tealb"), "ody"),
        of("POST", "/a/b", None, "body"),
        of("POST", "/a/b?x=1", Some("teal"), "body"),
        of("POST", "/a/b", Some("teal"), ""),
    ] {
        assert_ne!(base, other);
    }
    assert_eq!(base.to_string().parse(), Ok(base));
}

/// One termination does not hold a request, however many processes observe it; a second one holds it for a minute, a
/// third for a day.
#[test]
fn holds_by_termination_count() {
    let mut tracker = tracker_of(&[strike("a", 1, NOW_MS), strike("a", 1, NOW_MS + 5)]);
    assert_eq!(remaining_hold(&mut tracker, "a", NOW_MS), None);
    tracker.merge(strike("a", 2, NOW_MS), StrikeSource::Peer, NOW_MS);
    assert_eq!(remaining_hold(&mut tracker, "a", NOW_MS), Some(Duration::from_mins(1)));
    assert_eq!(
        remaining_hold(&mut tracker, "a", NOW_MS + MINUTE_MS),
        None,
        "the request may have been there by chance and can run again"
    );
    tracker.merge(
        strike("a", 3, NOW_MS + MINUTE_MS),
        StrikeSource::Local,
        NOW_MS + MINUTE_MS,
    );
    assert!(remaining_hold(&mut tracker, "a", NOW_MS + DAY_MS).is_some());
    tracker.merge(
        strike("a", 4, NOW_MS + 2 * DAY_MS),
        StrikeSource::Local,
        NOW_MS + 2 * DAY_MS,
    );
    assert!(
        remaining_hold(&mut tracker, "a", NOW_MS + 30 * DAY_MS).is_some(),
        "each further run costs a target"
    );
    assert_eq!(remaining_hold(&mut tracker, "b", NOW_MS), None);
}

/// A request that many callers send is running on most targets when they terminate. Its complete responses clear it,
/// but only those after the last termination count.
#[test]
fn responses_clear() {
    let mut tracker = tracker_of(&[strike("a", 1, NOW_MS)]);
    for _ in 0..7 {
        assert!(!record_response(&mut tracker, "a"));
    }
    tracker.merge(strike("a", 2, NOW_MS), StrikeSource::Local, NOW_MS);
    assert!(!record_response(&mut tracker, "a"));
    assert!(remaining_hold(&mut tracker, "a", NOW_MS).is_some());
    let cleared = (0..7).filter(|_| record_response(&mut tracker, "a")).count();
    assert_eq!((cleared, remaining_hold(&mut tracker, "a", NOW_MS)), (1, None));
    // A strike from a peer that does not know of the responses changes nothing.
    assert!(!tracker.merge(strike("a", 1, NOW_MS), StrikeSource::Peer, NOW_MS));
    assert_eq!(remaining_hold(&mut tracker, "a", NOW_MS), None);
}

/// A strike from a process whose clock is ahead does not extend the hold.
#[test]
fn clock_ahead_keeps_hold() {
    let mut tracker = tracker_of(&[strike("a", 1, NOW_MS + DAY_MS), strike("a", 2, NOW_MS + DAY_MS)]);
    assert_eq!(remaining_hold(&mut tracker, "a", NOW_MS), Some(Duration::from_mins(1)));
}

/// A flood of requests with one termination each does not evict a request with several.
#[test]
fn bounded_requests() {
    let mut tracker = tracker_of(&[strike("a", 1, NOW_MS), strike("a", 2, NOW_MS), strike("a", 3, NOW_MS)]);
    for number in 0..10_000 {
        tracker.merge(
            strike(&format!("other-{number}"), 9, NOW_MS + 1),
            StrikeSource::Local,
            NOW_MS + 1,
        );
    }
    assert!(remaining_hold(&mut tracker, "a", NOW_MS + 1).is_some());
    let (known, _) = tracker.changes_since(0);
    assert!(known.len() <= 4_096 + 2, "{} strikes are known", known.len());
}

/// Strikes expire after an hour and are returned, so that the caller can remove them from the store.
#[test]
fn expired_strikes_returned() {
    let mut tracker = tracker_of(&[strike("a", 1, NOW_MS), strike("b", 1, NOW_MS), strike("b", 2, NOW_MS)]);
    assert!(tracker.remove_expired(NOW_MS + 59 * MINUTE_MS).is_empty());
    let dropped = tracker.remove_expired(NOW_MS + 61 * MINUTE_MS);
    assert_eq!(dropped, [strike("a", 1, NOW_MS)]);
    assert_eq!(tracker.end_count(&request("b")), 2);
}

/// A strike from a peer that the store lacks after the margin was never written; the process that reads the store
/// writes it.
#[test]
fn unwritten_peer_strike() {
    let mut tracker = Tracker::default();
    let margin = Duration::from_secs(2);
    tracker.merge(strike("a", 1, NOW_MS), StrikeSource::Peer, NOW_MS);
    tracker.merge_snapshot(&[], NOW_MS + 1_000, margin, NOW_MS + 1_000);
    assert!(
        tracker.unsaved().is_empty(),
        "the process that observed it may still write it"
    );
    tracker.merge_snapshot(&[], NOW_MS + 2_500, margin, NOW_MS + 2_500);
    assert_eq!(tracker.unsaved(), [strike("a", 1, NOW_MS)]);
    tracker.merge_snapshot(&[strike("a", 1, NOW_MS)], NOW_MS + 3_000, margin, NOW_MS + 3_000);
    assert!(tracker.unsaved().is_empty());
}

/// Counted and cleared strikes in random order; those with the flag set are merged twice.
#[derive(Debug, Clone)]
struct History(Vec<(Strike, bool)>);

impl Arbitrary for History {
    fn arbitrary(g: &mut Gen) -> Self {
        let count = u32::arbitrary(g) % 12;
        let random_strike = |g: &mut Gen| {
            let name = *g.choose(&["a", "b"]).unwrap_or(&"a");
            let mut strike = strike(name, u32::arbitrary(g) % 4, NOW_MS);
            if u8::arbitrary(g).is_multiple_of(4) {
                strike.status = StrikeStatus::Cleared;
            }
            (strike, bool::arbitrary(g))
        };
        Self((0..count).map(|_| random_strike(g)).collect())
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let history = self.0.clone();
        let shorter = (0..history.len()).map(move |index| {
            let mut shorter = history.clone();
            shorter.remove(index);
            Self(shorter)
        });
        Box::new(shorter)
    }
}

/// Strikes merged in any order and any number of times lead to the same state.
#[test]
fn merge_order_irrelevant() {
    #[expect(clippy::needless_pass_by_value, reason = "quickcheck passes arguments by value")]
    fn property(history: History) -> bool {
        let strikes = history.0.iter().map(|(strike, _)| *strike);
        let forwards = tracker_of(&strikes.clone().collect::<Vec<_>>());
        let twice = history.0.iter().filter(|(_, twice)| *twice).map(|(strike, _)| *strike);
        let backwards = tracker_of(&strikes.rev().chain(twice).collect::<Vec<_>>());
        let sorted = |tracker: &Tracker| {
            let (mut known, _) = tracker.changes_since(0);
            known.sort_by_key(|strike| (strike.subject, strike.ended_start));
            known
        };
        sorted(&forwards) == sorted(&backwards)
    }
    QuickCheck::new()
        .tests(2_000)
        .quickcheck(property as fn(History) -> bool);
}

/// A flood of requests that each saw one termination does not displace the record that strikes were lost.
#[test]
fn loss_survives_flood() {
    let mut tracker = Tracker::default();
    tracker.record_history_loss(NOW_MS - MINUTE_MS);
    for number in 0..5_000 {
        tracker.merge(strike(&format!("r-{number}"), 1, NOW_MS), StrikeSource::Local, NOW_MS);
    }
    tracker.merge(strike("a", 2, NOW_MS), StrikeSource::Local, NOW_MS);
    assert!(remaining_hold(&mut tracker, "a", NOW_MS).is_some());
}
