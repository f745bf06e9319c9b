//! Silence is held against a target that stands still, and never against one that is slow or waits with its group.

use std::time::Duration;

use quickcheck::{Arbitrary, Gen, quickcheck};
use sparscale_policy::silence::{Awaited, Evidence, Health, Usual};

const OBJECTIVE: Duration = Duration::from_millis(500);
const PAUSE: Duration = Duration::from_millis(150);
const GIVEN_UP_AFTER: Duration = Duration::from_secs(2);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A stream of a calm group, waiting for its next event.
fn stream() -> Evidence {
    Evidence {
        awaited: Awaited::Next,
        allowed: PAUSE,
        usual: Some(millis(50)),
        health: Health::Silent,
        others_heard: Some(millis(30)),
        others_idle: false,
        given_up_after: GIVEN_UP_AFTER,
    }
}

fn first() -> Evidence {
    Evidence {
        awaited: Awaited::First,
        allowed: OBJECTIVE,
        usual: Some(millis(200)),
        ..stream()
    }
}

/// Boxes stand still for three seconds: whoever is told of it leaves in time to be served elsewhere within twice the objective.
#[test]
fn asleep_left() {
    assert!(first().limit().is_some_and(|limit| limit <= OBJECTIVE));
    assert!(stream().limit().is_some_and(|limit| limit <= OBJECTIVE));
    // Nobody tells, as when the conductor sleeps, too: later, and still before the caller gives up.
    let unknown = |evidence: Evidence| Evidence {
        health: Health::Unknown,
        ..evidence
    };
    assert!(unknown(first()).limit().is_some_and(|limit| limit <= 2 * OBJECTIVE));
    assert!(unknown(stream()).limit().is_some_and(|limit| limit <= 2 * OBJECTIVE));
}

/// A straggler makes each pass of its group take 300 ms, up from 50 at once: nobody leaves, neither at first nor as it lasts.
#[test]
fn straggler_borne() {
    let mut usual = Usual::default();
    usual.note(millis(50));
    for _ in 0..100 {
        let seen = Evidence {
            usual: usual.mean(),
            health: Health::Alive,
            ..stream()
        };
        assert!(!seen.leaves(millis(300)), "{seen:?}");
        usual.note(millis(300));
    }
}

/// Load at its worst makes first events take over half of the callers' patience: leaving would send everything twice.
#[test]
fn overload_borne() {
    for health in [Health::Alive, Health::Unknown] {
        let seen = Evidence {
            usual: Some(millis(900)),
            health,
            ..first()
        };
        assert_eq!(seen.limit(), None);
        assert!(!seen.leaves(millis(1_900)));
    }
}

/// The last request of a burst meets the silent target, and nobody is heard any more because nobody owes anything.
#[test]
fn idle_others_left() {
    let last = Evidence {
        awaited: Awaited::Complete,
        others_heard: Some(Duration::from_secs(3)),
        others_idle: true,
        ..first()
    };
    assert!(last.leaves(2 * OBJECTIVE), "{last:?}");
    assert!(!last.leaves(OBJECTIVE / 2), "{last:?}");
}

/// One answer that took very long does not make silence usual.
#[test]
fn one_straggling_answer() {
    let mut usual = Usual::default();
    for _ in 0..50 {
        usual.note(millis(50));
    }
    usual.note(millis(8_000));
    assert!(usual.mean().is_some_and(|mean| mean <= millis(70)));
}

#[derive(Debug, Clone, Copy)]
struct Any(Evidence);

impl Arbitrary for Any {
    fn arbitrary(g: &mut Gen) -> Self {
        let time = |g: &mut Gen, most: u64| millis(u64::arbitrary(g) % most);
        let maybe = |g: &mut Gen, most: u64| bool::arbitrary(g).then(|| time(g, most));
        let awaited = [Awaited::First, Awaited::Next, Awaited::Complete];
        let health = [Health::Alive, Health::Silent, Health::Unknown];
        Self(Evidence {
            awaited: *g.choose(&awaited).unwrap_or(&Awaited::First),
            allowed: time(g, 2_000),
            usual: maybe(g, 4_000),
            health: *g.choose(&health).unwrap_or(&Health::Unknown),
            others_heard: maybe(g, 2_000),
            others_idle: bool::arbitrary(g),
            given_up_after: time(g, 10_000),
        })
    }
}

quickcheck! {
    /// Whoever leaves, leaves time for another target.
    fn time_is_left(any: Any, silence: u16) -> bool {
        let silence = millis(u64::from(silence));
        let limit = any.0.limit();
        limit.is_none_or(|limit| limit <= any.0.given_up_after.mul_f64(0.6)) && (!any.0.leaves(silence) || limit.is_some())
    }

    /// While others owe something and none of them is heard nobody is left: the group may stand still.
    fn stopped_group_borne(any: Any, silence: u16) -> bool {
        let stopped = Evidence { others_heard: None, others_idle: false, ..any.0 };
        !stopped.leaves(millis(u64::from(silence)))
    }

    /// A box that is told to be silent is never borne for longer than one that speaks.
    fn told_no_later(any: Any) -> bool {
        let of = |health| Evidence { health, ..any.0 }.limit().unwrap_or(Duration::MAX);
        of(Health::Silent) <= of(Health::Alive) && of(Health::Alive) == of(Health::Unknown)
    }

    /// What is usually slow is borne for longer.
    fn slow_borne_longer(any: Any, more: u16) -> bool {
        let Some(usual) = any.0.usual else { return true };
        let slower = Evidence { usual: Some(usual + millis(u64::from(more))), ..any.0 };
        any.0.limit().unwrap_or(Duration::MAX) <= slower.limit().unwrap_or(Duration::MAX)
    }
}
