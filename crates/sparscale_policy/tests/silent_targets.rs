//! Requests leave a frozen target, and never one that is only slow or waits with its group.

use std::time::Duration;

use quickcheck::{Arbitrary, Gen, quickcheck};
use sparscale_policy::response_timeout::{Evidence, Health, ResponsePart, ResponseTimeMean};

const OBJECTIVE: Duration = Duration::from_millis(500);
const PAUSE: Duration = Duration::from_millis(150);
const CALLER_TIMEOUT: Duration = Duration::from_secs(2);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A stream of a lightly loaded group that waits for its next event.
fn next_event() -> Evidence {
    Evidence {
        response_part: ResponsePart::NextEvent,
        due_within: PAUSE,
        mean_time: Some(millis(50)),
        health: Health::Unresponsive,
        since_others_active: Some(millis(30)),
        are_others_idle: false,
        caller_timeout: CALLER_TIMEOUT,
    }
}

fn first_event() -> Evidence {
    Evidence {
        response_part: ResponsePart::FirstEvent,
        due_within: OBJECTIVE,
        mean_time: Some(millis(200)),
        ..next_event()
    }
}

/// Boxes freeze for three seconds. If the group leader reports it, the target is abandoned early enough for the request
/// to be served by another one within twice the objective.
#[test]
fn frozen_target_abandoned() {
    assert!(first_event().timeout().is_some_and(|limit| limit <= OBJECTIVE));
    assert!(next_event().timeout().is_some_and(|limit| limit <= OBJECTIVE));
    // Without a report, as when the leader is frozen, too: later, but still before the caller gives up.
    let unknown = |evidence: Evidence| Evidence {
        health: Health::Unknown,
        ..evidence
    };
    assert!(
        unknown(first_event())
            .timeout()
            .is_some_and(|limit| limit <= 2 * OBJECTIVE)
    );
    assert!(
        unknown(next_event())
            .timeout()
            .is_some_and(|limit| limit <= 2 * OBJECTIVE)
    );
}

/// A straggler raises the pass time of its group from 50 to 300 ms: no target is abandoned, neither at first nor while
/// this lasts.
#[test]
fn straggler_tolerated() {
    let mut mean_time = ResponseTimeMean::default();
    mean_time.record(millis(50));
    for _ in 0..100 {
        let evidence = Evidence {
            mean_time: mean_time.mean(),
            health: Health::Responsive,
            ..next_event()
        };
        assert!(!evidence.should_abandon(millis(300)), "{evidence:?}");
        mean_time.record(millis(300));
    }
}

/// At peak load, first events take 0.9 s of the callers' timeout of 2 s: abandoning targets would send every request
/// twice.
#[test]
fn overload_tolerated() {
    for health in [Health::Responsive, Health::Unknown] {
        let evidence = Evidence {
            mean_time: Some(millis(900)),
            health,
            ..first_event()
        };
        assert_eq!(evidence.timeout(), None);
        assert!(!evidence.should_abandon(millis(1_900)));
    }
}

/// The last request of a burst is at the unresponsive target, and no other target responds because none has a pending
/// response.
#[test]
fn abandoned_while_others_idle() {
    let last = Evidence {
        response_part: ResponsePart::FullResponse,
        since_others_active: Some(Duration::from_secs(3)),
        are_others_idle: true,
        ..first_event()
    };
    assert!(last.should_abandon(2 * OBJECTIVE), "{last:?}");
    assert!(!last.should_abandon(OBJECTIVE / 2), "{last:?}");
}

/// A single very slow response must not raise the mean much.
#[test]
fn outlier_capped() {
    let mut mean_time = ResponseTimeMean::default();
    for _ in 0..50 {
        mean_time.record(millis(50));
    }
    mean_time.record(millis(8_000));
    assert!(mean_time.mean().is_some_and(|mean| mean <= millis(70)));
}

#[derive(Debug, Clone, Copy)]
struct AnyEvidence(Evidence);

impl Arbitrary for AnyEvidence {
    fn arbitrary(g: &mut Gen) -> Self {
        let time = |g: &mut Gen, most: u64| millis(u64::arbitrary(g) % most);
        let maybe = |g: &mut Gen, most: u64| bool::arbitrary(g).then(|| time(g, most));
        let awaited = [
            ResponsePart::FirstEvent,
            ResponsePart::NextEvent,
            ResponsePart::FullResponse,
        ];
        let health = [Health::Responsive, Health::Unresponsive, Health::Unknown];
        Self(Evidence {
            response_part: *g.choose(&awaited).unwrap_or(&ResponsePart::FirstEvent),
            due_within: time(g, 2_000),
            mean_time: maybe(g, 4_000),
            health: *g.choose(&health).unwrap_or(&Health::Unknown),
            since_others_active: maybe(g, 2_000),
            are_others_idle: bool::arbitrary(g),
            caller_timeout: time(g, 10_000),
        })
    }
}

quickcheck! {
    /// If a target is abandoned, enough time remains for another one.
    fn time_remains(any: AnyEvidence, unresponsive_ms: u16) -> bool {
        let unresponsive_for = millis(u64::from(unresponsive_ms));
        let limit = any.0.timeout();
        limit.is_none_or(|limit| limit <= any.0.caller_timeout.mul_f64(0.6)) && (!any.0.should_abandon(unresponsive_for) || limit.is_some())
    }

    /// While other targets have pending responses and none of them responds, no target is abandoned: the group may be
    /// stalled.
    fn stalled_group_tolerated(any: AnyEvidence, unresponsive_ms: u16) -> bool {
        let stalled = Evidence { since_others_active: None, are_others_idle: false, ..any.0 };
        !stalled.should_abandon(millis(u64::from(unresponsive_ms)))
    }

    /// A box that is reported as unresponsive is never given more time than one that responds.
    fn unresponsive_box_abandoned_earlier(any: AnyEvidence) -> bool {
        let limit = |health| Evidence { health, ..any.0 }.timeout().unwrap_or(Duration::MAX);
        limit(Health::Unresponsive) <= limit(Health::Responsive) && limit(Health::Responsive) == limit(Health::Unknown)
    }

    /// Responses that usually take longer are given more time.
    fn slow_responses_given_more_time(any: AnyEvidence, more: u16) -> bool {
        let Some(usual) = any.0.mean_time else { return true };
        let slower = Evidence { mean_time: Some(usual + millis(u64::from(more))), ..any.0 };
        any.0.timeout().unwrap_or(Duration::MAX) <= slower.timeout().unwrap_or(Duration::MAX)
    }
}
