//! Searches histories of entries that start, end and lose contact for one in which a target gets more requests than it
//! tolerates under its rate limit. Under stable conditions it must also get most of what it accepts.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use sparscale_catalog::StartId;
use sparscale_clock::{Clock as _, SystemClock, Timestamp};
use sparscale_policy::rate_limit::{Limit, Members, Pacer, Peer, Rate, Share};

const HISTORIES: u64 = 100;
/// Time between two attempts of an entry to send.
const STEP_MS: u64 = 50;
/// Steps between two updates of an entry's view of the live entries.
const VIEW_UPDATE_STEPS: u64 = 4;
/// Time between two announcements of an unchanged limit.
const ANNOUNCE_INTERVAL_MS: u64 = 3_000;
const START: &str = "target-1";

/// One event of a history.
#[derive(Debug, Clone)]
enum Event {
    /// Time passes, in ms.
    Elapse(u64),
    /// The link between two entries fails, or is restored.
    Cut(usize, usize),
    Restore(usize, usize),
    /// The entries below this number lose contact with all others.
    Partition(usize),
    /// All links are restored.
    Heal,
    /// An entry is killed and restarts, without links at first.
    Restart(usize),
    /// An entry ends for good.
    End(usize),
    /// An entry freezes, or resumes.
    Freeze(usize),
    Resume(usize),
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let (one, other) = (usize::arbitrary(g), usize::arbitrary(g));
        let pauses = [100, 900, 2_000, 4_100, 11_500, 12_500, 20_000];
        match u32::arbitrary(g) % 20 {
            0..=7 => Self::Elapse(*g.choose(&pauses).unwrap_or(&100)),
            8 | 9 => Self::Cut(one, other),
            10 => Self::Restore(one, other),
            11 | 12 => Self::Partition(one),
            13 => Self::Heal,
            14..=16 => Self::Restart(one),
            17 => Self::End(one),
            18 => Self::Freeze(one),
            _ => Self::Resume(one),
        }
    }
}

#[derive(Debug, Clone)]
struct History {
    entries: usize,
    rate: f64,
    events: Vec<Event>,
}

impl Arbitrary for History {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            entries: *g.choose(&[1, 2, 3, 4, 5, 15, 53]).unwrap_or(&4),
            rate: *g.choose(&[0.0, 0.3, 1.0, 2.5, 10.0, 40.0]).unwrap_or(&1.0),
            events: (0..12).map(|_| Event::arbitrary(g)).collect(),
        }
    }
}

struct Entry {
    address: SocketAddr,
    pacer: Pacer,
    is_frozen: bool,
    has_ended: bool,
    /// Whether it has nothing to send.
    is_idle: bool,
    /// When it last announced the limit to the others, in ms.
    announced_at: u64,
    /// When it last received a message from each other entry, in ms; none if it never did since its start.
    last_seen: Vec<Option<u64>>,
}

struct World {
    start: Timestamp,
    now: u64,
    limit: Limit,
    target_start: StartId,
    entries: Vec<Entry>,
    cut_links: HashSet<(usize, usize)>,
    sends: Vec<u64>,
}

impl World {
    fn new(entries: usize, rate: f64) -> Self {
        Self::with_limit(entries, Limit::announced(Rate::try_from(rate).expect("a rate")))
    }

    fn with_limit(entries: usize, limit: Limit) -> Self {
        let start = SystemClock::default().now();
        let entry = |index: usize| Entry {
            address: SocketAddr::from(([10, 0, 0, 1], 7_000 + index as u16)),
            pacer: Pacer::new(start),
            is_frozen: false,
            has_ended: false,
            is_idle: false,
            announced_at: 0,
            last_seen: vec![Some(0); entries],
        };
        Self {
            start,
            now: 0,
            limit,
            target_start: StartId::of(START, None),
            entries: (0..entries).map(entry).collect(),
            cut_links: HashSet::new(),
            sends: Vec::new(),
        }
    }

    fn is_linked(&self, one: usize, other: usize) -> bool {
        let runs = |index: usize| !self.entries[index].is_frozen && !self.entries[index].has_ended;
        runs(one) && runs(other) && !self.cut_links.contains(&(one.min(other), one.max(other)))
    }

    fn play(&mut self, events: &[Event]) {
        let count = self.entries.len();
        for event in events {
            match event {
                Event::Elapse(time) => self.elapse(*time),
                Event::Cut(one, other) => {
                    let (one, other) = (one % count, other % count);
                    self.cut_links.insert((one.min(other), one.max(other)));
                }
                Event::Restore(one, other) => {
                    let (one, other) = (one % count, other % count);
                    self.cut_links.remove(&(one.min(other), one.max(other)));
                }
                Event::Partition(at) => {
                    let at = at % count;
                    self.cut_links
                        .extend((0..at).flat_map(|one| (at..count).map(move |other| (one, other))));
                }
                Event::Heal => self.cut_links.clear(),
                Event::Restart(index) => {
                    let now = self.start + Duration::from_millis(self.now);
                    let entry = &mut self.entries[index % count];
                    entry.pacer = Pacer::new(now);
                    entry.has_ended = false;
                    entry.last_seen = vec![None; count];
                }
                Event::End(index) => self.entries[index % count].has_ended = true,
                Event::Freeze(index) => self.entries[index % count].is_frozen = true,
                Event::Resume(index) => self.entries[index % count].is_frozen = false,
            }
        }
    }

    fn elapse(&mut self, time: u64) {
        for step in 0..time / STEP_MS {
            self.now += STEP_MS;
            if step % VIEW_UPDATE_STEPS == 0 {
                self.update_views();
            }
            for index in 0..self.entries.len() {
                self.send(index);
            }
        }
    }

    /// Sends if the entry may. The target confirms its limit, which the entry announces to the others at intervals.
    fn send(&mut self, index: usize) {
        let now = self.start + Duration::from_millis(self.now);
        let entry = &mut self.entries[index];
        if entry.is_frozen || entry.has_ended || entry.is_idle || !entry.pacer.try_acquire(now) {
            return;
        }
        self.sends.push(self.now);
        entry.pacer.confirm(now);
        if self.now < entry.announced_at + ANNOUNCE_INTERVAL_MS {
            return;
        }
        entry.announced_at = self.now;
        for other in 0..self.entries.len() {
            if other != index && self.is_linked(index, other) {
                self.entries[other].pacer.confirm(now);
            }
        }
    }

    /// Updates the view of every entry that runs.
    fn update_views(&mut self) {
        let now = self.start + Duration::from_millis(self.now);
        for index in 0..self.entries.len() {
            if self.entries[index].is_frozen || self.entries[index].has_ended {
                continue;
            }
            let others = (0..self.entries.len()).filter(|other| *other != index);
            let others: Vec<(usize, bool)> = others.map(|other| (other, self.is_linked(index, other))).collect();
            for (other, _) in others.iter().filter(|(_, linked)| *linked) {
                self.entries[index].last_seen[*other] = Some(self.now);
            }
            let peer = |(other, linked): &(usize, bool)| Peer {
                address: self.entries[*other].address,
                is_linked: *linked,
                since_last_message: self.entries[index].last_seen[*other]
                    .map(|last_seen| Duration::from_millis(self.now - last_seen)),
                since_named: None,
                uptime: None,
            };
            let peers: Vec<Peer> = others.iter().map(peer).collect();
            let members = Members::new(self.entries[index].address, &peers);
            let share = members.share(self.limit, self.target_start);
            self.entries[index].pacer.set_share(share, now);
        }
    }

    /// Largest number of sends in a window, and the number that the target tolerates.
    fn max_sends(&self) -> (usize, f64) {
        let window = self.limit.window.as_millis() as u64;
        let in_window = |from: &u64| {
            self.sends
                .iter()
                .filter(|at| (*from..from + window).contains(at))
                .count()
        };
        let most = self.sends.iter().map(in_window).max().unwrap_or(0);
        (most, self.limit.tolerated())
    }
}

#[expect(clippy::needless_pass_by_value, reason = "quickcheck passes histories by value")]
fn stays_within(history: History) -> bool {
    within_limit(&history, Limit::announced)
}

#[expect(clippy::needless_pass_by_value, reason = "quickcheck passes histories by value")]
fn stays_within_cold(history: History) -> bool {
    within_limit(&history, Limit::cold)
}

fn within_limit(history: &History, limit: fn(Rate) -> Limit) -> bool {
    let limit = limit(Rate::try_from(history.rate).expect("a rate"));
    let mut world = World::with_limit(history.entries, limit);
    world.elapse(5_000);
    world.play(&history.events);
    world.elapse(5_000);
    let (most, tolerated) = world.max_sends();
    most as f64 <= tolerated
}

/// Entries that start, end, freeze and lose contact with each other never send more than the target tolerates.
#[test]
fn rate_exceeded() {
    QuickCheck::new()
        .tests(HISTORIES)
        .quickcheck(stays_within as fn(History) -> bool);
}

/// The same for a cold target, which tolerates fewer requests in a shorter window.
#[test]
fn cold_rate_exceeded() {
    QuickCheck::new()
        .tests(HISTORIES)
        .quickcheck(stays_within_cold as fn(History) -> bool);
}

fn assert_within(world: &World) {
    let (most, tolerated) = world.max_sends();
    assert!(
        most as f64 <= tolerated,
        "{most} requests in a window, {tolerated} are tolerated"
    );
}

/// Entries that have all lost contact with each other must not each use the whole rate.
#[test]
fn rate_exceeded_when_isolated() {
    let mut world = World::new(15, 1.0);
    let cuts: Vec<Event> = (0..15)
        .flat_map(|one| (0..one).map(move |other| Event::Cut(one, other)))
        .collect();
    world.play(&cuts);
    world.elapse(30_000);
    assert_within(&world);
}

/// Entries that restart repeatedly must not send after each restart.
#[test]
fn rate_exceeded_by_restarts() {
    let mut world = World::new(53, 1.0);
    for _ in 0..40 {
        let restarts: Vec<Event> = (0..53).map(Event::Restart).collect();
        world.play(&restarts);
        world.elapse(500);
    }
    assert_within(&world);
}

/// An entry that repeatedly loses and regains its share must not send each time that it regains it.
#[test]
fn rate_exceeded_by_share_changes() {
    let start = SystemClock::default().now();
    let mut pacer = Pacer::new(start);
    for turn in 1..100 {
        let now = start + Duration::from_millis(100) * turn;
        let share = if turn % 2 == 0 {
            Share::Interval(Duration::from_secs(1))
        } else {
            Share::None
        };
        pacer.set_share(share, now);
        assert!(!pacer.try_acquire(now + Duration::from_millis(99)), "turn {turn}");
    }
}

/// If the holders have nothing to send, the other entries probe whether the limit has ended, a few at a time.
#[test]
fn idle_holders() {
    for entries in [4, 53] {
        let mut world = World::new(entries, 1.0);
        world.update_views();
        let now = world.start;
        for entry in &mut world.entries {
            entry.is_idle = entry
                .pacer
                .next_send()
                .is_none_or(|next_send| next_send < now + Duration::from_secs(9));
        }
        world.elapse(60_000);
        assert_within(&world);
        assert!(!world.sends.is_empty(), "{entries} entries never probe the target");
    }
}

/// Under stable conditions the target gets most of the requests that it accepts.
#[test]
fn rate_wasted() {
    for entries in [1, 2, 4, 15, 53, 75] {
        for rate in [1.0, 5.0, 20.0] {
            let mut world = World::new(entries, rate);
            world.elapse(40_000);
            let sent_per_second = world.sends.len() as f64 / 40.0;
            assert!(
                sent_per_second >= 0.75 * rate,
                "{entries} entries send {sent_per_second} of {rate} a second"
            );
        }
    }
}

/// Limited targets spread over the entries: each entry has a share of some of them, and none of too many.
#[test]
fn shares_spread() {
    let world = World::new(53, 1.0);
    let peers: Vec<Peer> = world
        .entries
        .iter()
        .map(|entry| Peer {
            address: entry.address,
            is_linked: true,
            since_last_message: None,
            since_named: None,
            uptime: None,
        })
        .collect();
    let limit = Limit::announced(Rate::try_from(1.0).expect("a rate"));
    for index in 0..53 {
        let others: Vec<Peer> = peers
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != index)
            .map(|(_, peer)| *peer)
            .collect();
        let members = Members::new(peers[index].address, &others);
        let share_count = (0..129)
            .filter(|target| {
                let start = StartId::of(&format!("target-{target}"), None);
                matches!(members.share(limit, start), Share::Interval(_))
            })
            .count();
        assert!(
            (1..=16).contains(&share_count),
            "entry {index} has shares of {share_count} targets"
        );
    }
}

/// A text that is not a rate is rejected; a rate of zero still lets single requests show that the limit has ended.
#[test]
fn invalid_rates() {
    for text in ["", "-1", "NaN", "inf", "1e999", "many", "1,5"] {
        assert!(Rate::try_from(text).is_err(), "{text}");
    }
    assert!(Rate::try_from("0").is_ok_and(|rate| rate.per_second() > 0.0));
    assert_eq!(Rate::try_from(" 2.5 ").map(Rate::per_second), Ok(2.5));
}
