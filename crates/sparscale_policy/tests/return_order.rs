//! Who is turned away at a queue, and when each is told to come back.

use std::time::{Duration, Instant};

use quickcheck::quickcheck;
use sparscale_policy::queue::{Decision, Group, Queue, Request};
use sparscale_samples as samples;
use sparscale_wire::{GroupLoad, RankLoad};

const RANKS: usize = 12;
const PAUSE: Duration = Duration::from_millis(120);
const OBJECTIVE: Duration = Duration::from_millis(500);
/// Time that callers still wait.
const LEFT: Duration = Duration::from_secs(8);
/// Requests of this entry that are in.
const INSIDE: usize = 20;
/// A draw in the middle: times are told as they are.
const MIDDLE: f64 = 0.5;

/// A queue before a group whose ranks are full.
fn full(now: Instant) -> Queue<usize> {
    queue(samples::engine().slots, 1.1, now)
}

/// A queue before a group with `running` requests on each rank, whose experts' work is as uneven as `skew`.
fn queue(running: u32, skew: f64, now: Instant) -> Queue<usize> {
    shared(running, skew, 1, now)
}

/// The same of one of `entries` entries that share the group.
fn shared(running: u32, skew: f64, entries: usize, now: Instant) -> Queue<usize> {
    let rank = RankLoad {
        running,
        ..RankLoad::default()
    };
    let load = GroupLoad {
        group: "g".to_owned(),
        order: (1, 1),
        open: true,
        skew,
        pass_micros: 45_000,
        pass: 0,
        ranks: vec![Some(rank); RANKS],
    };
    let engine = samples::engine();
    let group = Group {
        engine: &engine,
        pause: PAUSE,
        ranks: RANKS,
        open_part: 1.0,
        entries,
    };
    let mut queue = Queue::new(now);
    queue.refresh(Some(&load), &group, INSIDE, now);
    queue
}

fn request(now: Instant, spent: Duration) -> Request {
    Request {
        began: now,
        objective: OBJECTIVE,
        pause: PAUSE,
        spent,
        left: LEFT.checked_sub(spent),
    }
}

/// Lets requests join until one is turned away, and gives the time that it is told.
fn fill(queue: &mut Queue<usize>, spent: Duration, now: Instant) -> (usize, Duration) {
    for number in 0..1_000 {
        match queue.decide(&request(now, spent), INSIDE, MIDDLE, now) {
            Decision::Wait { timely_until, .. } => queue.join((0, number), timely_until, number),
            Decision::Refuse { retry, .. } => return (number, retry),
            Decision::Enter => panic!("there is no room"),
        }
    }
    panic!("nobody was turned away");
}

/// The line holds as many as can be in time; who came back has waited before and stands in line for longer.
#[test]
fn line_stays_short() {
    let now = Instant::now();
    let (first_tries, _) = fill(&mut full(now), Duration::ZERO, now);
    let (returned, _) = fill(&mut full(now), Duration::from_secs(1), now);
    assert!(first_tries < returned, "{first_tries} and {returned}");
}

/// One of many entries has few requests in at the moment. It does not wait for those to leave: places that come free anywhere
/// in the group are shared by all entries.
#[test]
fn one_of_many() {
    let now = Instant::now();
    let queue = &mut shared(samples::engine().slots, 1.1, 24, now);
    let inside = 1;
    let decision = queue.decide(&request(now, Duration::ZERO), inside, MIDDLE, now);
    assert!(matches!(decision, Decision::Wait { .. }), "{decision:?}");
    let expected = queue.expected_wait(inside);
    // Six of its group's requests are its own share, and each stays for a second.
    assert!(expected <= Duration::from_millis(200), "{expected:?}");
}

#[test]
fn one_after_another() {
    let now = Instant::now();
    let mut queue = full(now);
    let (_, first) = fill(&mut queue, Duration::ZERO, now);
    let mut told = vec![first];
    for _ in 0..5 {
        told.push(fill(&mut queue, Duration::ZERO, now).1);
    }
    assert!(told.is_sorted(), "{told:?}");
    assert!(told[0] < told[5], "{told:?}");
}

/// Passes are too long for anybody to be in time, and there are places: a late answer is better than none, and nobody else
/// loses by it.
#[test]
fn late_at_worst() {
    let now = Instant::now();
    let mut queue = queue(4, 6.0, now);
    let room = queue.room();
    assert!(room.timely < 1.0 && room.late >= 1.0, "{room:?}");
    let decision = queue.decide(&request(now, Duration::ZERO), 0, MIDDLE, now);
    let Decision::Wait { timely_until, .. } = decision else {
        panic!("{decision:?}");
    };
    queue.join((0, 1), timely_until, 1);
    assert_eq!(queue.next(now), None);
    assert_eq!(queue.next(timely_until + Duration::from_millis(1)), Some(1));
}

/// While nobody tells loads, as long as that lasts, what is remembered of those let in does not grow.
#[test]
fn untold_bounded() {
    let now = Instant::now();
    let mut queue: Queue<usize> = Queue::new(now);
    let size = |queue: &Queue<usize>| format!("{queue:?}").len();
    let mut admit = |from: u64, to: u64| {
        for ms in from..to {
            queue.admit(now + Duration::from_millis(ms));
        }
        size(&queue)
    };
    let early = admit(0, 1_000);
    assert!(admit(1_000, 10_000) < early * 2);
}

quickcheck! {
    /// However many are turned away, whenever and by whatever draw: nobody is told a time at which its caller has come back
    /// by itself, or hardly any time at all.
    fn within_patience(lots: Vec<u8>, spent_ms: u16) -> bool {
        let now = Instant::now();
        let mut queue = full(now);
        let spent = Duration::from_millis(u64::from(spent_ms % 7_000));
        fill(&mut queue, Duration::from_secs(1), now);
        let request = request(now, spent);
        let longest = request.left.unwrap_or_default() / 3;
        lots.iter().all(|lot| match queue.decide(&request, INSIDE, f64::from(*lot) / 255.0, now) {
            Decision::Refuse { retry, .. } => retry <= longest + Duration::from_micros(1) && retry >= longest.min(Duration::from_millis(150)),
            Decision::Enter | Decision::Wait { .. } => false,
        })
    }
}
