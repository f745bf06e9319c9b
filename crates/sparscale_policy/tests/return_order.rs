//! Which requests an admission queue rejects, and when their callers should retry.

use std::time::{Duration, Instant};

use quickcheck::quickcheck;
use sparscale_policy::caller_timeout;
use sparscale_policy::fair_share::Workspace;
use sparscale_policy::queue::{Decision, Group, Queue, Request, Review};
use sparscale_samples as samples;
use sparscale_wire::{group, rank};

const RANKS: usize = 12;
const PAUSE: Duration = Duration::from_millis(120);
const OBJECTIVE: Duration = Duration::from_millis(500);
/// Time for which callers still wait.
const REMAINING: Duration = Duration::from_secs(8);
/// Requests of this entry that are in flight.
const IN_FLIGHT: usize = 20;
/// The sample without jitter: delays are returned as computed.
const MEDIAN_SAMPLE: f64 = 0.5;

/// A queue for a group whose ranks are full.
fn full_queue(now: Instant) -> Queue<usize> {
    queue(samples::engine().slots, 1.1, now)
}

/// A queue for a group with `running` requests on each rank and a `skew` of the experts' work.
fn queue(running: u32, skew: f64, now: Instant) -> Queue<usize> {
    shared_queue(running, skew, 1, now)
}

/// The same for one of `entries` entries that share the group.
fn shared_queue(running: u32, skew: f64, entries: usize, now: Instant) -> Queue<usize> {
    let rank = rank::Load {
        running,
        ..rank::Load::default()
    };
    let load = group::Load {
        group: "g".to_owned(),
        sequence: (1, 1),
        is_running: true,
        skew,
        mean_pass_micros: 45_000,
        latest_pass: 0,
        rank_loads: vec![Some(rank); RANKS],
    };
    let engine = samples::engine();
    let group = Group {
        engine: &engine,
        max_pause: PAUSE,
        rank_count: RANKS,
        open_fraction: 1.0,
        entry_count: entries,
    };
    let mut queue = Queue::new(now);
    queue.refresh(Some(&load), &group, IN_FLIGHT, now);
    queue
}

fn request(now: Instant, spent: Duration) -> Request {
    Request {
        arrived_at: now,
        objective: OBJECTIVE,
        max_pause: PAUSE,
        retry_age: spent,
        remaining: REMAINING.checked_sub(spent),
        workspace: Workspace::default(),
    }
}

/// Adds requests until one is rejected. Returns the number added and the retry delay of the rejected one.
fn fill(queue: &mut Queue<usize>, spent: Duration, now: Instant) -> (usize, Duration) {
    let request = request(now, spent);
    let waiting = queue.backlog_len();
    for number in 0..1_000 {
        let ticket = (0, waiting + number);
        match queue.decide(ticket, &request, IN_FLIGHT, MEDIAN_SAMPLE, now) {
            Decision::Wait { .. } => queue.enqueue(ticket, &request, number),
            Decision::Reject { retry_after: retry, .. } => return (number, retry),
            Decision::Admit => panic!("there is no headroom"),
        }
    }
    panic!("no request was rejected");
}

/// The backlog holds as many first attempts as can be on time; a retry has already waited, so it may wait longer.
#[test]
fn backlog_stays_short() {
    let now = Instant::now();
    let (first_attempts, _) = fill(&mut full_queue(now), Duration::ZERO, now);
    let (retries, _) = fill(&mut full_queue(now), Duration::from_secs(1), now);
    assert!(first_attempts < retries, "{first_attempts} and {retries}");
}

/// One of many entries has few requests in flight. It must not wait for those to end: all entries share the places that
/// become free anywhere in the group.
#[test]
fn one_of_many_entries() {
    let now = Instant::now();
    let queue = &mut shared_queue(samples::engine().slots, 1.1, 24, now);
    let in_flight = 1;
    let decision = queue.decide((0, 1), &request(now, Duration::ZERO), in_flight, MEDIAN_SAMPLE, now);
    assert!(matches!(decision, Decision::Wait { .. }), "{decision:?}");
    let expected = queue.expected_wait(in_flight);
    // The entry's share is six of the requests in the group, and each of them stays for a second.
    assert!(expected <= Duration::from_millis(200), "{expected:?}");
}

#[test]
fn retry_delays_increase() {
    let now = Instant::now();
    let mut queue = full_queue(now);
    let (_, first) = fill(&mut queue, Duration::ZERO, now);
    let mut delays = vec![first];
    for _ in 0..5 {
        delays.push(fill(&mut queue, Duration::ZERO, now).1);
    }
    assert!(delays.is_sorted(), "{delays:?}");
    assert!(delays[0] < delays[5], "{delays:?}");
}

/// Passes are too long for any request to be on time, and there are free places: a late answer is better than none, and
/// it delays no other request.
#[test]
fn waits_until_late() {
    let now = Instant::now();
    let mut queue = queue(4, 6.0, now);
    let headroom = queue.headroom();
    assert!(headroom.timely < 1.0 && headroom.late >= 1.0, "{headroom:?}");
    let request = request(now, Duration::ZERO);
    let decision = queue.decide((0, 1), &request, 0, MEDIAN_SAMPLE, now);
    assert!(matches!(decision, Decision::Wait { .. }), "{decision:?}");
    queue.enqueue((0, 1), &request, 1);
    assert_eq!(queue.next(now), None);
    // Later than any request can be admitted and still be on time.
    assert_eq!(queue.next(now + OBJECTIVE), Some(1));
}

/// While no loads are reported, for however long, the record of recent admissions must not grow.
#[test]
fn unreported_admissions_bounded() {
    let now = Instant::now();
    let mut queue: Queue<usize> = Queue::new(now);
    let size = |queue: &Queue<usize>| format!("{queue:?}").len();
    let mut admit = |from: u64, to: u64| {
        for ms in from..to {
            queue.admit(now + Duration::from_millis(ms));
        }
        size(&queue)
    };
    let early_size = admit(0, 1_000);
    assert!(admit(1_000, 10_000) < early_size * 2);
}

/// How many of `count` requests that wait in a full group until the end of their wait are admitted then.
fn admitted_at_end(count: usize, spent: Duration) -> usize {
    let start = Instant::now();
    let mut queue = full_queue(start);
    let request = request(start, spent);
    for number in 0..count {
        queue.enqueue((0, number), &request, number);
    }
    let end = start + caller_timeout::max_admission_wait(OBJECTIVE, PAUSE);
    let mut admitted = 0;
    for number in 0..count {
        match queue.review((0, number), &request, IN_FLIGHT, end) {
            Some(Review::Admit) => {
                queue.admit(end);
                admitted += 1;
            }
            Some(Review::Leave) => {
                let decision = queue.decide((0, number), &request, IN_FLIGHT, MEDIAN_SAMPLE, end);
                assert!(matches!(decision, Decision::Reject { .. }), "{decision:?}");
            }
            other => panic!("{other:?} at the end of the wait"),
        }
    }
    assert_eq!(queue.backlog_len(), 0);
    admitted
}

/// First attempts admitted at the end of their wait, whatever the headroom, would make all streams of the group late.
/// Callers that were rejected before are not rejected again.
#[test]
fn late_admissions_bounded() {
    let first_attempts = admitted_at_end(12, Duration::ZERO);
    assert!((1..=3).contains(&first_attempts), "{first_attempts}");
    assert_eq!(admitted_at_end(12, Duration::from_secs(1)), 12);
}

/// If no place becomes free, a request that was expected to get one is rejected while that is useful to its caller, and
/// not after all of its time.
#[test]
fn rejected_while_useful() {
    let start = Instant::now();
    let mut queue = full_queue(start);
    let request = request(start, Duration::ZERO);
    fill(&mut queue, Duration::ZERO, start);
    let last = (0, queue.backlog_len() - 1);
    let review_at = start + OBJECTIVE / 4;
    assert_eq!(queue.review(last, &request, IN_FLIGHT, review_at), Some(Review::Leave));
    let decision = queue.decide(last, &request, IN_FLIGHT, MEDIAN_SAMPLE, review_at);
    assert!(matches!(decision, Decision::Reject { .. }), "{decision:?}");
    assert_eq!(queue.review(last, &request, IN_FLIGHT, review_at), None);
}

/// A request whose caller has a short deadline must not wait until the caller has given up.
#[test]
fn wait_ends_before_deadline() {
    let now = Instant::now();
    let remaining = Duration::from_millis(800);
    for spent in [Duration::ZERO, Duration::from_secs(1)] {
        let request = Request {
            remaining: Some(remaining),
            ..request(now, spent)
        };
        let mut queue = full_queue(now);
        queue.enqueue((0, 1), &request, 1);
        let latest = now + remaining.mul_f64(0.75);
        let review = queue.review((0, 1), &request, IN_FLIGHT, latest);
        assert_eq!(review, Some(Review::Admit), "{spent:?} spent");
    }
}

quickcheck! {
    /// However many requests are rejected, and whatever the sample: no retry delay is so long that the caller would
    /// have retried by itself, or close to zero.
    fn delay_within_bounds(samples: Vec<u8>, spent_ms: u16) -> bool {
        let now = Instant::now();
        let mut queue = full_queue(now);
        let spent = Duration::from_millis(u64::from(spent_ms % 7_000));
        fill(&mut queue, Duration::ZERO, now);
        fill(&mut queue, Duration::from_secs(1), now);
        let request = request(now, spent);
        let longest = request.remaining.unwrap_or_default() / 3;
        samples.iter().all(|sample| match queue.decide((0, 1_000), &request, IN_FLIGHT, f64::from(*sample) / 255.0, now) {
            Decision::Reject { retry_after: retry, .. } => retry <= longest + Duration::from_micros(1) && retry >= longest.min(Duration::from_millis(150)),
            Decision::Admit | Decision::Wait { .. } => false,
        })
    }
}
