//! The budget of sends beyond the first, summed over entries that come and go: histories are searched for one that
//! breaks the rule of all entries together.

use std::time::Duration;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use sparscale_clock::{Clock as _, Machine, Moment};
use sparscale_policy::budget::{Allowance, Budget, Source};

const ENTRIES: usize = 6;
const WINDOW: u64 = 10_000;
/// Time that a send may be on its way, as the connections of entries have it.
const LATE: u64 = 2_500;
const HISTORIES: u64 = 4_000;

/// What happens next.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// Time passes, in ms.
    Passes(u64),
    /// Requests come to an entry.
    Requests(usize, u32),
    /// An entry sends again as often as it may, so many times at most.
    Spends(usize, u32),
    /// An entry is killed and starts again.
    Restarts(usize),
    /// All are.
    AllRestart,
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let entry = usize::arbitrary(g) % ENTRIES;
        let count = 1 + u32::arbitrary(g) % 60;
        // Long and short pauses: around the window, and around the time that sends are on their way.
        let pauses = [1, 40, 500, 2_400, 2_600, 4_900, 5_100, 9_900, 10_100, 13_100];
        match u32::arbitrary(g) % 16 {
            0..=3 => Self::Passes(*g.choose(&pauses).unwrap_or(&1)),
            4..=8 => Self::Requests(entry, count),
            9..=13 => Self::Spends(entry, count),
            14 => Self::Restarts(entry),
            _ => Self::AllRestart,
        }
    }
}

/// Entries, what came to them, and what targets got.
struct World {
    allowance: Allowance,
    began: Moment,
    now: u64,
    budgets: Vec<Budget>,
    requests: Vec<u64>,
    /// Sends beyond the first, by the time at which they were paid for, and by what.
    sends: Vec<(u64, Source)>,
    sharers: Option<usize>,
}

impl World {
    fn new(allowance: Allowance, sharers: Option<usize>) -> Self {
        let began = Machine::default().now();
        Self {
            allowance,
            began,
            now: 0,
            budgets: (0..ENTRIES).map(|_| Budget::new(allowance, began)).collect(),
            requests: Vec::new(),
            sends: Vec::new(),
            sharers,
        }
    }

    fn moment(&self) -> Moment {
        self.began + Duration::from_millis(self.now)
    }

    fn play(&mut self, events: impl IntoIterator<Item = Event>) {
        for event in events {
            let moment = self.moment();
            match event {
                Event::Passes(time) => self.now += time,
                Event::Requests(entry, count) => {
                    (0..count).for_each(|_| self.budgets[entry].earn(moment));
                    self.requests.extend((0..count).map(|_| self.now));
                }
                Event::Spends(entry, count) => {
                    let share = self.allowance.share(self.sharers);
                    for _ in 0..count {
                        let verdict = self.budgets[entry].spend(share, moment);
                        self.sends.extend(verdict.source.map(|source| (self.now, source)));
                    }
                }
                Event::Restarts(entry) => self.budgets[entry] = Budget::new(self.allowance, moment),
                Event::AllRestart => {
                    let fresh = || Budget::new(self.allowance, moment);
                    self.budgets = (0..ENTRIES).map(|_| fresh()).collect();
                }
            }
        }
    }

    /// Most sends beyond what the rule allows, over all windows; `arrivals` are the times at which sends arrive.
    fn excess(&self, arrivals: &[u64], slack: f64) -> f64 {
        let within = |times: &[u64], from: u64| times.iter().filter(|at| (from..from + WINDOW).contains(at)).count();
        // Requests are told one window later than they came, so that the earliest windows have a beginning.
        let requests: Vec<u64> = self.requests.iter().map(|at| at + WINDOW).collect();
        let windows = arrivals.iter().map(|from| {
            let counted = [WINDOW, WINDOW / 2, 0].map(|start| within(&requests, from + start));
            let most = counted.into_iter().max().unwrap_or(0) as f64;
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

/// Whether all sends of a history, arriving at once, stay within the rule with `slack`, where each entry counts `sharers`.
fn holds(events: Vec<Event>, allowance: Allowance, sharers: Option<usize>, slack: f64) -> bool {
    let mut world = World::new(allowance, sharers);
    world.play(events);
    let arrivals: Vec<u64> = world.sends.iter().map(|(at, _)| *at).collect();
    world.excess(&arrivals, slack) <= 0.0
}

/// Entries that know nothing of each other pay from credit alone, and need no more of the slack than the one send that each
/// may hold in any case.
#[test]
fn nobody_known() {
    search(|events| holds(events, allowance(0.2, 88.0), None, ENTRIES as f64));
}

/// Entries that count each other rightly.
#[test]
fn all_known() {
    search(|events| holds(events, allowance(0.2, 40.0), Some(ENTRIES), 40.0));
}

/// The network is split, and on both sides entries started that know of their own side only.
#[test]
fn split_network() {
    search(|events| holds(events, allowance(0.2, 40.0), Some(ENTRIES / 2), 40.0));
}

/// What the slack pays for stays within the shares, even if some of it arrives as late as it can and the rest at once.
#[test]
fn slack_arrives_late() {
    fn holds(events: Vec<Event>) -> bool {
        let mut world = World::new(allowance(0.0, 40.0), Some(ENTRIES));
        world.play(events);
        let late_until = world.sends.iter().map(|(at, _)| *at).max().unwrap_or(0) / 2;
        let delay = |at: u64| if at <= late_until { LATE } else { 0 };
        let arrivals: Vec<u64> = world.sends.iter().map(|(at, _)| at + delay(*at)).collect();
        world.excess(&arrivals, 40.0) <= 0.0
    }
    search(holds);
}

/// The share is there once nothing that a predecessor sent can arrive in a window with it, and is whole again as late after
/// it was used.
#[test]
fn share_returns() {
    let mut world = World::new(allowance(0.0, 40.0), Some(2));
    let spend = Event::Spends(0, 60);
    world.play([spend, Event::Passes(WINDOW), spend]);
    assert_eq!(world.sends.len(), 0);
    world.play([Event::Passes(LATE), spend]);
    assert_eq!(world.sends.len(), 10);
    world.play([Event::Passes(WINDOW + LATE), spend]);
    assert_eq!(world.sends.len(), 10);
    world.play([Event::Passes(WINDOW / 20), spend]);
    assert_eq!(world.sends.len(), 20);
}

/// Requests pay for a fifth of their number: half of that may be held for a burst, however long nothing was spent.
#[test]
fn credit_held() {
    let mut world = World::new(allowance(0.2, 0.0), None);
    let quiet = [Event::Requests(0, 202), Event::Passes(9_900)];
    world.play([quiet, quiet, quiet].concat());
    world.play([Event::Spends(0, 60)]);
    assert_eq!(world.sends.len(), 20);
    world.play([Event::Requests(0, 105), Event::Spends(0, 60)]);
    assert_eq!(world.sends.len(), 30);
}
