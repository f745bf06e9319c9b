//! What is known of a target's limit follows the latest word of its present start.

use std::net::SocketAddr;
use std::time::Duration;

use sparscale_catalog::Start;
use sparscale_clock::{Clock as _, Machine, Moment};
use sparscale_policy::rate_limit::{Members, Rate};
use sparscale_policy::throttle::{Notice, Opening, Register};

const SECOND: Duration = Duration::from_secs(1);

fn register() -> (Register, Moment) {
    let now = Machine::default().now();
    let mut register = Register::default();
    register.set_members(Members::new(SocketAddr::from(([10, 0, 0, 1], 7_000)), &[]), now);
    (register, now)
}

fn limit(born_ms: u64, rate: Option<f64>, as_of: Moment) -> Notice {
    Notice {
        start: Start::of("target-1", Some(born_ms)),
        rate: rate.map(|rate| Rate::try_from(rate).expect("a rate")),
        leaving: false,
        as_of,
    }
}

fn is_open(register: &Register, start: Start, now: Moment) -> bool {
    register.opening(start, now) == Opening::Now
}

/// A word that is older than what is known, told late, changes nothing.
#[test]
fn late_word() {
    let (mut register, now) = register();
    let later = now + SECOND;
    assert!(register.note(limit(1, Some(1.0), later), later));
    assert!(
        !register.note(limit(1, None, now), later),
        "an older word ended the limit"
    );
    assert!(!is_open(&register, limit(1, None, now).start, later));
    assert!(register.note(limit(1, None, later), later), "the latest word counts");
    assert!(is_open(&register, limit(1, None, now).start, later));
}

/// A target that starts again asks nothing yet.
#[test]
fn next_start() {
    let (mut register, now) = register();
    register.note(limit(1, Some(1.0), now), now);
    assert!(is_open(&register, Start::of("target-1", Some(2)), now));
}

/// A rate that changes with each answer does not keep the target from getting any.
#[test]
fn changing_rate() {
    let (mut register, began) = register();
    let mut sends = 0;
    for tenth in 0_u32..100 {
        let now = began + SECOND / 10 * tenth;
        let rate = 1.0 + f64::from(tenth % 3) / 10.0;
        register.note(limit(1, Some(rate), now), now);
        sends += u32::from(register.take(limit(1, None, now).start, now));
    }
    assert!((7..=12).contains(&sends), "{sends} sends in 10 s");
}

/// Whoever asks for news hears of each limit once, and of its end.
#[test]
fn news_once() {
    let (mut register, now) = register();
    register.note(limit(1, Some(1.0), now), now);
    let (news, position) = register.news(0);
    assert_eq!(news, [limit(1, Some(1.0), now)]);
    assert!(register.news(position).0.is_empty());
    register.note(limit(1, None, now + SECOND), now + SECOND);
    assert_eq!(register.news(position).0, [limit(1, None, now + SECOND)]);
}

/// A rest holds until its end, whatever is asked meanwhile; a shorter one does not end it, and none lasts for ever.
#[test]
fn rests() {
    let (mut register, now) = register();
    let start = limit(1, None, now).start;
    assert!(register.rest(start, 3 * SECOND, now).is_some());
    assert!(register.rest(start, SECOND, now).is_none(), "it asked for more before");
    register.note(limit(1, Some(40.0), now), now);
    assert!(!register.take(start, now + 2 * SECOND));
    assert_eq!(register.opening(start, now), Opening::At(now + 3 * SECOND));
    assert!(register.take(start, now + 3 * SECOND));
    register.rest(start, Duration::MAX, now);
    assert!(
        register.take(start, now + Duration::from_hours(1)),
        "a rest without end"
    );
}

/// That a target leaves counts at once and for good, however late it is told; for its next start it says nothing.
#[test]
fn leaves() {
    let (mut register, now) = register();
    let leaving = Notice {
        leaving: true,
        ..limit(1, None, now)
    };
    register.note(limit(1, Some(1.0), now + SECOND), now + SECOND);
    assert!(register.note(leaving, now + 2 * SECOND));
    register.note(limit(1, None, now + 3 * SECOND), now + 3 * SECOND);
    assert_eq!(register.opening(leaving.start, now + 4 * SECOND), Opening::Never);
    assert!(!register.take(leaving.start, now + 4 * SECOND));
    assert!(is_open(&register, Start::of("target-1", Some(2)), now));
}

/// A target that names another rate in every answer does not keep all entries busy with it; a fall is told at once.
#[test]
fn news_seldom() {
    let (mut register, began) = register();
    let mut news = 0;
    for hundredth in 0_u32..500 {
        let now = began + SECOND / 100 * hundredth;
        let rate = 10.0 + f64::from(hundredth % 7) / 10.0;
        news += u32::from(register.note(limit(1, Some(rate), now), now));
    }
    assert!(news <= 6, "{news} tellings in 5 s");
    let now = began + 5 * SECOND;
    assert!(register.note(limit(1, Some(2.0), now), now), "a fall is told at once");
    assert!(register.note(limit(1, None, now), now), "an end is told at once");
}
