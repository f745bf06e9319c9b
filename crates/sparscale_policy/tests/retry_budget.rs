//! Searches histories of entries that start and restart for one in which the retries of all entries together exceed the
//! budget.

use std::time::Duration;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use sparscale_clock::{Clock as _, SystemClock, Timestamp};
use sparscale_policy::budget::{Allowance, Budget, Source};

const ENTRIES: usize = 6;
const WINDOW: u64 = 10_000;
/// Longest time that a send can take to arrive, as the connections of entries limit it.
const LATE: u64 = 2_500;
const HISTORIES: u64 = 4_000;

/// One event of a history.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// Time passes, in ms.
    Elapse(u64),
    /// Requests arrive at an entry.
    Requests(usize, u32),
    /// An entry retries as often as it may, up to this number.
    Retries(usize, u32),
    /// An entry is killed and restarts.
    Restart(usize),
    /// All entries are killed and restart.
    RestartAll,
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let entry = usize::arbitrary(g) % ENTRIES;
        let count = 1 + u32::arbitrary(g) % 60;
        // Long and short pauses: around the window, and around the longest delay of sends.
        let pauses = [1, 40, 500, 2_400, 2_600, 4_900, 5_100, 9_900, 10_100, 13_100];
        match u32::arbitrary(g) % 16 {
            0..=3 => Self::Elapse(*g.choose(&pauses).unwrap_or(&1)),
            4..=8 => Self::Requests(entry, count),
            9..=13 => Self::Retries(entry, count),
            14 => Self::Restart(entry),
            _ => Self::RestartAll,
        }
    }
}

/// The entries, their requests, and their retries.
struct World {
    allowance: Allowance,
    start: Timestamp,
    now: u64,
    budgets: Vec<Budget>,
    requests: Vec<u64>,
    /// Time of each paid retry, and the source that paid for it.
    retries: Vec<(u64, Source)>,
    sharers: Option<usize>,
}

impl World {
    fn new(allowance: Allowance, sharers: Option<usize>) -> Self {
        let start = SystemClock::default().now();
        Self {
            allowance,
            start,
            now: 0,
            budgets: (0..ENTRIES).map(|_| Budget::new(allowance, start)).collect(),
            requests: Vec::new(),
            retries: Vec::new(),
            sharers,
        }
    }

    fn timestamp(&self) -> Timestamp {
        self.start + Duration::from_millis(self.now)
    }

    fn play(&mut self, events: impl IntoIterator<Item = Event>) {
        for event in events {
            let now = self.timestamp();
            match event {
                Event::Elapse(time) => self.now += time,
                Event::Requests(entry, count) => {
                    (0..count).for_each(|_| self.budgets[entry].record_request(now));
                    self.requests.extend((0..count).map(|_| self.now));
                }
                Event::Retries(entry, count) => {
                    let share = self.allowance.slack_share(self.sharers);
                    for _ in 0..count {
                        let outcome = self.budgets[entry].try_spend(share, now);
                        self.retries.extend(outcome.source.map(|source| (self.now, source)));
                    }
                }
                Event::Restart(entry) => self.budgets[entry] = Budget::new(self.allowance, now),
                Event::RestartAll => {
                    let new_budget = || Budget::new(self.allowance, now);
                    self.budgets = (0..ENTRIES).map(|_| new_budget()).collect();
                }
            }
        }
    }

    /// Largest number of retries beyond the limit over all windows; `arrivals` are the times at which the retries
    /// arrive.
    fn excess(&self, arrivals: &[u64], slack: f64) -> f64 {
        let within = |times: &[u64], from: u64| times.iter().filter(|at| (from..from + WINDOW).contains(at)).count();
        // Requests are shifted by one window, so that the window before the earliest one has a start.
        let requests: Vec<u64> = self.requests.iter().map(|at| at + WINDOW).collect();
        let windows = arrivals.iter().map(|from| {
            let counts = [WINDOW, WINDOW / 2, 0].map(|start| within(&requests, from + start));
            let most = counts.into_iter().max().unwrap_or(0) as f64;
            within(arrivals, *from) as f64 - most * self.allowance.ratio - slack
        });
        windows.fold(f64::MIN, f64::max)
    }
}

fn allowance(ratio: f64, slack: f64) -> Allowance {
    Allowance {
        ratio,
        slack,
        window: Duration::from_millis(WINDOW),
    }
}

fn search(property: fn(Vec<Event>) -> bool) {
    QuickCheck::new()
        .rng(Gen::new(120))
        .tests(HISTORIES)
        .quickcheck(property);
}

/// Whether all retries of a history, arriving at once, stay within the limit with `slack`, if each entry counts
/// `sharers`.
fn holds(events: Vec<Event>, allowance: Allowance, sharers: Option<usize>, slack: f64) -> bool {
    let mut world = World::new(allowance, sharers);
    world.play(events);
    let arrivals: Vec<u64> = world.retries.iter().map(|(at, _)| *at).collect();
    world.excess(&arrivals, slack) <= 0.0
}

/// Entries that know nothing of each other pay from credit alone, and use no more of the slack than the one retry that
/// each may hold in any case.
#[test]
fn no_entries_known() {
    search(|events| holds(events, allowance(0.2, 88.0), None, ENTRIES as f64));
}

/// All entries know the correct number of entries.
#[test]
fn all_entries_known() {
    search(|events| holds(events, allowance(0.2, 40.0), Some(ENTRIES), 40.0));
}

/// The network is partitioned, and on both sides entries have started that know only their own side.
#[test]
fn split_network() {
    search(|events| holds(events, allowance(0.2, 40.0), Some(ENTRIES / 2), 40.0));
}

/// Retries paid for from the slack stay within the shares, even if some arrive as late as possible and the others at
/// once.
#[test]
fn slack_arrives_late() {
    fn holds(events: Vec<Event>) -> bool {
        let mut world = World::new(allowance(0.0, 40.0), Some(ENTRIES));
        world.play(events);
        let late_until = world.retries.iter().map(|(at, _)| *at).max().unwrap_or(0) / 2;
        let delay = |at: u64| if at <= late_until { LATE } else { 0 };
        let arrivals: Vec<u64> = world.retries.iter().map(|(at, _)| at + delay(*at)).collect();
        world.excess(&arrivals, 40.0) <= 0.0
    }
    search(holds);
}

/// The share becomes available once no send of a predecessor can arrive in the same window, and after its use it is
/// available again after the same time.
#[test]
fn slack_share_renewed() {
    let mut world = World::new(allowance(0.0, 40.0), Some(2));
    let retries = Event::Retries(0, 60);
    world.play([retries, Event::Elapse(WINDOW), retries]);
    assert_eq!(world.retries.len(), 0);
    world.play([Event::Elapse(LATE), retries]);
    assert_eq!(world.retries.len(), 10);
    world.play([Event::Elapse(WINDOW + LATE), retries]);
    assert_eq!(world.retries.len(), 10);
    world.play([Event::Elapse(WINDOW / 20), retries]);
    assert_eq!(world.retries.len(), 20);
}

/// Requests pay for retries of a fifth of their number. Half of that may be held for a burst, however long no retry was
/// made.
#[test]
fn credit_limited() {
    let mut world = World::new(allowance(0.2, 0.0), None);
    let without_retries = [Event::Requests(0, 202), Event::Elapse(9_900)];
    world.play([without_retries, without_retries, without_retries].concat());
    world.play([Event::Retries(0, 60)]);
    assert_eq!(world.retries.len(), 20);
    world.play([Event::Requests(0, 105), Event::Retries(0, 60)]);
    assert_eq!(world.retries.len(), 30);
}
