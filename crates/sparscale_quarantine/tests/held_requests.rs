//! Which requests are held back, for how long, and what clears them.

use std::time::Duration;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use sparscale_quarantine::{End, Fingerprint, News, Register, Standing, Strike};

const NOW_MS: u64 = 1_800_000_000_000;
const MINUTE_MS: u64 = 60_000;
const DAY_MS: u64 = 24 * 60 * MINUTE_MS;

fn request(name: &str) -> Fingerprint {
    Fingerprint::of("POST", "/draft", Some("teal"), name.as_bytes())
}

fn strike(name: &str, target: u32, at_ms: u64) -> Strike {
    Strike {
        request: request(name),
        end: End::of(&format!("t-{target}"), None),
        at_ms,
        standing: Standing::Counts,
    }
}

fn register(strikes: &[Strike]) -> Register {
    let mut register = Register::default();
    for strike in strikes {
        register.take_in(*strike, News::Seen, NOW_MS);
    }
    register
}

fn held(register: &Register, name: &str, now_ms: u64) -> Option<Duration> {
    register.held(&request(name), now_ms).map(|hold| hold.left)
}

/// The parts of a request make it: each matters, and none runs into the next.
#[test]
fn parts_matter() {
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

/// One end proves nothing, seen by however many processes; a second one does for a while, a third for long.
#[test]
fn counted_by_target() {
    let mut register = register(&[strike("a", 1, NOW_MS), strike("a", 1, NOW_MS + 5)]);
    assert_eq!(held(&register, "a", NOW_MS), None);
    register.take_in(strike("a", 2, NOW_MS), News::Told, NOW_MS);
    assert_eq!(held(&register, "a", NOW_MS), Some(Duration::from_mins(1)));
    assert_eq!(
        held(&register, "a", NOW_MS + MINUTE_MS),
        None,
        "it may have been there by chance"
    );
    register.take_in(strike("a", 3, NOW_MS + MINUTE_MS), News::Seen, NOW_MS + MINUTE_MS);
    assert!(held(&register, "a", NOW_MS + DAY_MS).is_some());
    register.take_in(strike("a", 4, NOW_MS + 2 * DAY_MS), News::Seen, NOW_MS + 2 * DAY_MS);
    assert!(
        held(&register, "a", NOW_MS + 30 * DAY_MS).is_some(),
        "each trial costs a target"
    );
    assert_eq!(held(&register, "b", NOW_MS), None);
}

/// A request that many callers send is at most targets when they end; its answers speak for it. Those before the last end
/// do not.
#[test]
fn answers_clear() {
    let mut register = register(&[strike("a", 1, NOW_MS)]);
    for _ in 0..7 {
        assert!(!register.note_answer(&request("a"), NOW_MS));
    }
    register.take_in(strike("a", 2, NOW_MS), News::Seen, NOW_MS);
    assert!(!register.note_answer(&request("a"), NOW_MS));
    assert!(held(&register, "a", NOW_MS).is_some());
    let cleared = (0..7).filter(|_| register.note_answer(&request("a"), NOW_MS)).count();
    assert_eq!((cleared, held(&register, "a", NOW_MS)), (1, None));
    // The word of a process that has not heard of the answers changes nothing.
    assert!(!register.take_in(strike("a", 1, NOW_MS), News::Told, NOW_MS));
    assert_eq!(held(&register, "a", NOW_MS), None);
}

/// A clock that is ahead holds nothing for longer than others do.
#[test]
fn clock_ahead() {
    let register = register(&[strike("a", 1, NOW_MS + DAY_MS), strike("a", 2, NOW_MS + DAY_MS)]);
    assert_eq!(held(&register, "a", NOW_MS), Some(Duration::from_mins(1)));
}

/// Many requests that were each at one target which ended do not push out those that ended several.
#[test]
fn bounded() {
    let mut register = register(&[strike("a", 1, NOW_MS), strike("a", 2, NOW_MS), strike("a", 3, NOW_MS)]);
    for number in 0..10_000 {
        register.take_in(
            strike(&format!("other-{number}"), 9, NOW_MS + 1),
            News::Seen,
            NOW_MS + 1,
        );
    }
    assert!(held(&register, "a", NOW_MS + 1).is_some());
    let (known, _) = register.news(0);
    assert!(known.len() <= 4_096 + 2, "{} are known", known.len());
}

/// What is old is forgotten, and named so that the store can drop it.
#[test]
fn expires() {
    let mut register = register(&[strike("a", 1, NOW_MS), strike("b", 1, NOW_MS), strike("b", 2, NOW_MS)]);
    assert!(register.expire(NOW_MS + 59 * MINUTE_MS).is_empty());
    let dropped = register.expire(NOW_MS + 61 * MINUTE_MS);
    assert_eq!(dropped, [strike("a", 1, NOW_MS)]);
    assert_eq!(register.ends(&request("b")), 2);
}

/// What another process told, and the store does not show well after that, is told to the store by who reads it.
#[test]
fn left_untold() {
    let mut register = Register::default();
    let margin = Duration::from_secs(2);
    register.take_in(strike("a", 1, NOW_MS), News::Told, NOW_MS);
    register.read(&[], NOW_MS + 1_000, margin, NOW_MS + 1_000);
    assert!(register.untold().is_empty(), "who saw it may be telling");
    register.read(&[], NOW_MS + 2_500, margin, NOW_MS + 2_500);
    assert_eq!(register.untold(), [strike("a", 1, NOW_MS)]);
    register.read(&[strike("a", 1, NOW_MS)], NOW_MS + 3_000, margin, NOW_MS + 3_000);
    assert!(register.untold().is_empty());
}

/// Strikes and clearings in some order, some of them twice.
#[derive(Debug, Clone)]
struct History(Vec<(Strike, bool)>);

impl Arbitrary for History {
    fn arbitrary(g: &mut Gen) -> Self {
        let count = u32::arbitrary(g) % 12;
        let draw = |g: &mut Gen| {
            let name = *g.choose(&["a", "b"]).unwrap_or(&"a");
            let mut strike = strike(name, u32::arbitrary(g) % 4, NOW_MS);
            if u8::arbitrary(g).is_multiple_of(4) {
                strike.standing = Standing::Cleared;
            }
            (strike, bool::arbitrary(g))
        };
        Self((0..count).map(|_| draw(g)).collect())
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

/// Whatever the order and however often, all processes come to know the same.
#[test]
fn any_order() {
    #[expect(clippy::needless_pass_by_value, reason = "quickcheck hands its arguments over")]
    fn property(history: History) -> bool {
        let told = history.0.iter().map(|(strike, _)| *strike);
        let forwards = register(&told.clone().collect::<Vec<_>>());
        let twice = history.0.iter().filter(|(_, twice)| *twice).map(|(strike, _)| *strike);
        let backwards = register(&told.rev().chain(twice).collect::<Vec<_>>());
        let sorted = |register: &Register| {
            let (mut known, _) = register.news(0);
            known.sort_by_key(|strike| (strike.request, strike.end));
            known
        };
        sorted(&forwards) == sorted(&backwards)
    }
    QuickCheck::new()
        .tests(2_000)
        .quickcheck(property as fn(History) -> bool);
}
