//! An agent claims the leadership only if other agents confirm that the leader is gone; its own lack of messages from
//! the leader is not enough.

use std::time::Duration;

use sparscale_conduct::{Pace, Verdict, verdict};
use sparscale_wire::Sighting;

const LONG_UP: u64 = 60_000;

fn heard(claim: u64, heard_ms: u64) -> Sighting {
    Sighting {
        claim: Some(claim),
        heard_ms,
        up_ms: LONG_UP,
    }
}

fn silent(up_ms: u64) -> Sighting {
    Sighting {
        claim: None,
        heard_ms: up_ms,
        up_ms,
    }
}

/// Longer than the time that a new claimant has to connect to all ranks.
const LONG: Duration = Duration::from_secs(30);

#[test]
fn conductor_lives() {
    let pace = Pace::new(129);
    let words = [heard(4, 2_000), heard(5, 300)];
    assert_eq!(verdict(&words, 6, LONG, &pace), Verdict::Lives { claim: 5 });
}

#[test]
fn conductor_gone() {
    for size in [4, 12, 63, 129] {
        let pace = Pace::new(size);
        let gone = pace.patience().as_millis() as u64;
        assert_eq!(
            verdict(&[heard(5, gone), heard(5, gone + 80)], 6, LONG, &pace),
            Verdict::Gone
        );
    }
}

/// A process that has just started loses its first claim to a new leader that has not connected to the polled agents
/// yet. Claiming again at once would depose that leader and cost a large group seconds.
#[test]
fn successor_comes() {
    let pace = Pace::new(129);
    let words = [heard(0, 1_300), heard(0, 1_250)];
    let known = Duration::from_millis(400);
    let coming = verdict(&words, 2, known, &pace);
    assert_eq!(
        coming,
        Verdict::Coming {
            wait: pace.reach().saturating_sub(known)
        }
    );
    assert_eq!(verdict(&words, 2, pace.reach(), &pace), Verdict::Gone);
}

/// A recent message from a former leader does not show that the latest claimant is alive.
#[test]
fn former_conductor() {
    let pace = Pace::new(12);
    assert!(matches!(
        verdict(&[heard(3, 10)], 6, Duration::ZERO, &pace),
        Verdict::Coming { .. }
    ));
}

/// If all agents, including the last leader, were started together, no claimant is waited for.
#[test]
fn all_started() {
    let pace = Pace::new(129);
    assert_eq!(
        verdict(&[silent(900), silent(1_100)], 7, Duration::ZERO, &pace),
        Verdict::Gone
    );
    // An agent with a long uptime and no leader does not show a common start.
    let one_new = [silent(900), silent(LONG_UP)];
    assert!(matches!(
        verdict(&one_new, 7, Duration::ZERO, &pace),
        Verdict::Coming { .. }
    ));
}

#[test]
fn nobody_answers() {
    assert_eq!(verdict(&[], 3, LONG, &Pace::new(12)), Verdict::Alone);
}

/// Limits grow with the number of ranks, and those of a small group stay short.
#[test]
fn paces_grow() {
    let sizes = [1, 4, 12, 24, 63, 129, 512];
    for pair in sizes.windows(2) {
        let (less, more) = (Pace::new(pair[0]), Pace::new(pair[1]));
        assert!(less.patience() <= more.patience() && less.order_limit() < more.order_limit());
        assert!(less.hold_limit() < more.hold_limit() && less.place(pair[0] - 1) < more.place(pair[1] - 1));
    }
    let small = Pace::new(12);
    assert_eq!(small.patience(), Duration::from_millis(700));
    assert!(small.hold_limit() <= Duration::from_millis(220));
    // The state messages that a leader receives stay within its capacity for any number of ranks.
    for size in sizes {
        let heard = size as f64 / Pace::new(size).state_pause().as_secs_f64();
        assert!(heard <= 640.1, "{heard} states a second of {size} ranks");
    }
}

/// A single frozen box must not lengthen the limits of the group without bound.
#[test]
fn stretch_bounded() {
    let mut pace = Pace::new(12);
    let before = pace.hold_limit();
    for _ in 0..100 {
        pace.note_round(vec![Duration::from_mins(1); 12]);
    }
    assert!(pace.hold_limit() < before * 4);
    for _ in 0..100 {
        pace.note_round(vec![Duration::from_millis(1); 12]);
    }
    assert!(pace.hold_limit() <= before + Duration::from_millis(1));
}
