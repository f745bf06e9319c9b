//! Whether the duty may be taken: what others have heard decides, not what this agent has not.

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

/// Longer than anybody who claimed is given to reach all.
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

/// A process that has just started lost its first claim to one whom the asked ones have not heard yet: it is on its way to
/// them. Taking the duty from it would cost a large group seconds.
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

/// An old word of a former conductor is no sign of life of the one who claimed last.
#[test]
fn former_conductor() {
    let pace = Pace::new(12);
    assert!(matches!(
        verdict(&[heard(3, 10)], 6, Duration::ZERO, &pace),
        Verdict::Coming { .. }
    ));
}

/// All were started together, the last conductor with them: nobody is waited for.
#[test]
fn all_started() {
    let pace = Pace::new(129);
    assert_eq!(
        verdict(&[silent(900), silent(1_100)], 7, Duration::ZERO, &pace),
        Verdict::Gone
    );
    // One that has been up for long without a conductor is no sign of that.
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

/// Limits grow with the ranks, and a small group is not slower than it was.
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
    // Whatever the ranks, a conductor hears no more than it bears.
    for size in sizes {
        let heard = size as f64 / Pace::new(size).state_pause().as_secs_f64();
        assert!(heard <= 640.1, "{heard} states a second of {size} ranks");
    }
}

/// One box that stands still does not stretch the limits of all without end.
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
