//! Replays in virtual time the start of many entries at the same time, while targets are cold: the entries learn of
//! each other gradually, and have more requests than the targets handle. No cold target may get more than it tolerates.

use std::net::SocketAddr;
use std::time::Duration;

use sparscale_catalog::StartId;
use sparscale_clock::{Clock as _, SystemClock, Timestamp};
use sparscale_policy::rate_limit::{ESTABLISHED_TIME, Limit, Members, Peer, Rate, SETTLING_TIME, Settling};
use sparscale_policy::throttle::Tracker;

const STEP_MS: u64 = 10;
/// Time between two checks for due links and messages.
const EXCHANGE_STEP_MS: u64 = 50;
/// Time between two messages on a link.
const MESSAGE_INTERVAL_MS: u64 = 300;
/// Time between two updates of a view whose links do not change.
const VIEW_INTERVAL_MS: u64 = 200;
const COLD_RATE: f64 = 26.0;
const TARGETS: [&str; 3] = ["target-1", "target-2", "target-3"];

/// A pseudorandom number that depends on `words` only.
fn random(words: &[u64]) -> u64 {
    words.iter().fold(0x9E37_79B9_7F4A_7C15, |mixed: u64, word| {
        let mixed = (mixed ^ word).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        mixed ^ (mixed >> 29)
    })
}

/// A set of entries.
#[derive(Debug, Clone, Default, PartialEq)]
struct Set(Vec<u64>);

impl Set {
    fn new(entries: usize) -> Self {
        Self(vec![0; entries.div_ceil(64)])
    }

    fn contains(&self, entry: usize) -> bool {
        self.0[entry / 64] >> (entry % 64) & 1 == 1
    }

    fn insert(&mut self, entry: usize) {
        self.0[entry / 64] |= 1 << (entry % 64);
    }

    fn remove(&mut self, entry: usize) {
        self.0[entry / 64] &= !(1 << (entry % 64));
    }

    fn add(&mut self, other: &Self) {
        for (word, other_word) in self.0.iter_mut().zip(&other.0) {
            *word |= other_word;
        }
    }
}

/// The entries that an entry knows from its settings.
#[derive(Debug, Clone, Copy)]
enum Seeds {
    /// The first ones.
    First(usize),
    /// The one before it, and the last one for the first entry.
    Previous,
}

/// What is random about a start.
#[derive(Debug, Clone, Copy)]
struct Setup {
    entries: usize,
    seeds: Seeds,
    /// Time over which the starts of the entries are spread, in ms.
    start_spread: u64,
    /// Longest time until a link is up, in ms.
    max_link_time: u64,
    /// Number of links among a hundred that come up only after [`LATE_LINK_MS`].
    late_links: u64,
    random: u64,
}

const LATE_LINK_MS: u64 = 5_000;

struct Entry {
    starts_at: u64,
    known: Set,
    linked: Set,
    last_seen: Vec<Option<u64>>,
    last_named: Vec<Option<u64>>,
    uptimes: Vec<Option<u64>>,
    settling: Settling,
    settled_at: Option<u64>,
    tracker: Tracker,
    has_read_roster: bool,
}

struct World {
    begin: Timestamp,
    now: u64,
    setup: Setup,
    entries: Vec<Entry>,
    /// Since when both entries of a pair run and one knows the other, in ms.
    dialled_at: Vec<Vec<Option<u64>>>,
    cuts: Vec<Set>,
    /// Time until which the targets are cold, in ms; the roster lists it.
    cold_until: u64,
    /// Sends to each target while it was cold, in ms.
    sends: [Vec<u64>; TARGETS.len()],
}

impl World {
    fn new(setup: Setup, cold_until: u64) -> Self {
        let begin = SystemClock::default().now();
        let count = setup.entries;
        let start = |index: usize| random(&[setup.random, index as u64, 1]) % setup.start_spread.max(1);
        let mut world = Self {
            begin,
            now: 0,
            setup,
            entries: (0..count).map(|index| Entry::new(count, begin, start(index))).collect(),
            dialled_at: vec![vec![None; count]; count],
            cuts: vec![Set::new(count); count],
            cold_until,
            sends: Default::default(),
        };
        for index in 0..count {
            world.restart_at(index, start(index));
        }
        world
    }

    /// Starts an entry, without any history, at the time `at`.
    fn restart_at(&mut self, index: usize, at: u64) {
        let count = self.entries.len();
        let begin = self.begin + Duration::from_millis(at);
        self.entries[index] = Entry::new(count, begin, at);
        let seeds = match self.setup.seeds {
            Seeds::First(seeds) => 0..seeds.min(count),
            Seeds::Previous => {
                let previous = (index + count - 1) % count;
                previous..previous + 1
            }
        };
        for seed in seeds.filter(|seed| *seed != index) {
            self.entries[index].known.insert(seed);
        }
        for other in 0..count {
            self.entries[other].linked.remove(index);
            self.dialled_at[index][other] = None;
            self.dialled_at[other][index] = None;
        }
    }

    fn cut(&mut self, one: usize, other: usize) {
        self.cuts[one].insert(other);
        self.cuts[other].insert(one);
        for (own, peer) in [(one, other), (other, one)] {
            self.entries[own].linked.remove(peer);
        }
    }

    fn runs(&self, index: usize) -> bool {
        self.entries[index].starts_at <= self.now
    }

    fn link_time(&self, one: usize, other: usize) -> u64 {
        let words = [self.setup.random, one as u64, other as u64];
        if random(&words) % 100 < self.setup.late_links {
            return LATE_LINK_MS;
        }
        100 + random(&words) / 100 % self.setup.max_link_time
    }

    fn elapse(&mut self, time: u64) {
        for _ in 0..time / STEP_MS {
            if self.now.is_multiple_of(EXCHANGE_STEP_MS) {
                self.exchange();
            }
            for index in 0..self.entries.len() {
                self.step(index);
            }
            self.now += STEP_MS;
        }
    }

    /// Establishes the links whose time has come, and sends the messages that are due. A message states the linked
    /// entries of its sender.
    fn exchange(&mut self) {
        let count = self.entries.len();
        let mut messages: Vec<(usize, usize)> = Vec::new();
        for one in 0..count {
            for other in 0..one {
                let (known, linked) = (
                    self.entries[one].known.contains(other) || self.entries[other].known.contains(one),
                    self.entries[one].linked.contains(other),
                );
                if !known || linked || !self.runs(one) || !self.runs(other) || self.cuts[one].contains(other) {
                    continue;
                }
                let dialled_at = *self.dialled_at[one][other].get_or_insert(self.now);
                if self.now >= dialled_at + self.link_time(one, other) {
                    messages.extend([(one, other), (other, one)]);
                }
            }
        }
        // Each side sends its list as it was before the link.
        let mut lists: Vec<Set> = self.entries.iter().map(|entry| entry.linked.clone()).collect();
        for (own, peer) in &messages {
            self.entries[*own].linked.insert(*peer);
        }
        for (sender, list) in lists.iter_mut().enumerate() {
            let phase = random(&[self.setup.random, sender as u64, 3]) % MESSAGE_INTERVAL_MS;
            if (self.now + phase) % MESSAGE_INTERVAL_MS < EXCHANGE_STEP_MS {
                list.clone_from(&self.entries[sender].linked);
                let linked = (0..count).filter(|receiver| list.contains(*receiver));
                messages.extend(linked.map(|receiver| (receiver, sender)));
            }
        }
        let mut has_changed = Set::new(count);
        for (own, sender) in messages {
            let uptime = self.now - self.entries[sender].starts_at;
            let entry = &mut self.entries[own];
            let known = entry.known.clone();
            entry.last_seen[sender] = Some(self.now);
            entry.uptimes[sender] = Some(uptime);
            entry.known.add(&lists[sender]);
            entry.known.insert(sender);
            entry.known.remove(own);
            for named in (0..count).filter(|peer| *peer != own && lists[sender].contains(*peer)) {
                entry.last_named[named] = Some(self.now);
            }
            if entry.known != known {
                has_changed.insert(own);
            }
        }
        for index in (0..count).filter(|index| has_changed.contains(*index)) {
            self.update_view(index);
        }
    }

    /// Updates the view of an entry that runs, and sends to each cold target if the entry may.
    fn step(&mut self, index: usize) {
        if !self.runs(index) {
            return;
        }
        let now = self.begin + Duration::from_millis(self.now);
        let read_at = self.entries[index].starts_at + 50 + random(&[self.setup.random, index as u64, 2]) % 600;
        if self.now.is_multiple_of(VIEW_INTERVAL_MS) {
            self.update_view(index);
        }
        let (cold_until, begin) = (self.cold_until, self.begin);
        let is_cold = self.now < cold_until;
        let entry = &mut self.entries[index];
        if self.now < read_at || !is_cold {
            return;
        }
        if !std::mem::replace(&mut entry.has_read_roster, true) {
            for target in TARGETS {
                let rate = Rate::try_from(COLD_RATE).expect("a rate");
                let until = begin + Duration::from_millis(cold_until);
                entry.tracker.record_cold(StartId::of(target, None), rate, until, now);
            }
        }
        for (target, sends) in TARGETS.iter().zip(&mut self.sends) {
            if entry.tracker.try_acquire(StartId::of(target, None), now) {
                sends.push(self.now);
            }
        }
    }

    fn update_view(&mut self, index: usize) {
        let members = self.members(index);
        let now = self.begin + Duration::from_millis(self.now);
        self.entries[index].tracker.set_members(members, now);
    }

    fn members(&mut self, index: usize) -> Members {
        let time = self.now;
        let address = |entry: usize| SocketAddr::from(([10, 0, 0, 1], 7_000 + entry as u16));
        let entry = &mut self.entries[index];
        let since = |at: Option<u64>| at.map(|at| Duration::from_millis(time - at));
        let peer = |peer: usize| Peer {
            address: address(peer),
            is_linked: entry.linked.contains(peer),
            since_last_message: since(entry.last_seen[peer]),
            since_named: since(entry.last_named[peer]),
            uptime: entry.uptimes[peer].map(Duration::from_millis),
        };
        let known = (0..entry.last_seen.len()).filter(|peer| entry.known.contains(*peer));
        let peers: Vec<Peer> = known.map(peer).collect();
        let is_settled = entry.settling.update(&peers, self.begin + Duration::from_millis(time));
        if is_settled {
            entry.settled_at.get_or_insert(time);
        }
        Members {
            is_settled,
            ..Members::new(address(index), &peers)
        }
    }

    fn assert_within(&self) {
        let tolerated = Limit::cold(Rate::try_from(COLD_RATE).expect("a rate")).tolerated();
        for sends in &self.sends {
            let in_second = |from: &u64| sends.iter().filter(|at| (*from..from + 1_000).contains(at)).count();
            let most = sends.iter().map(in_second).max().unwrap_or(0);
            assert!(
                most as f64 <= tolerated,
                "{most} requests in a second: {:?}",
                self.setup
            );
        }
    }
}

impl Entry {
    fn new(entries: usize, begin: Timestamp, starts_at: u64) -> Self {
        Self {
            starts_at,
            known: Set::new(entries),
            linked: Set::new(entries),
            last_seen: vec![None; entries],
            last_named: vec![None; entries],
            uptimes: vec![None; entries],
            settling: Settling::new(begin),
            settled_at: None,
            tracker: Tracker::default(),
            has_read_roster: false,
        }
    }
}

/// The starts to replay: fewer of the large ones, which take longer.
fn setups(start_spread: u64) -> impl Iterator<Item = Setup> {
    let runs = [(1, 0..1), (4, 0..40), (16, 0..20), (53, 0..4), (285, 1..2)];
    runs.into_iter().flat_map(move |(entries, runs)| {
        runs.map(move |run| {
            let index = usize::try_from(run).expect("few runs");
            let seeds = [Seeds::First(1), Seeds::Previous, Seeds::First(3), Seeds::First(4)][index % 4];
            Setup {
                entries,
                seeds,
                start_spread,
                max_link_time: [300, 1_000, 1_900][index % 3],
                // With one seed each, a late link would leave two parts that do not know of each other.
                late_links: match seeds {
                    Seeds::First(3 | 4) => [0, 5, 20][index / 2 % 3],
                    _ => 0,
                },
                random: run,
            }
        })
    })
}

/// Entries that all start at once and know only the seeds at first must not each take the whole rate, nor large shares.
#[test]
fn rate_exceeded_when_all_start() {
    for setup in setups(0) {
        let mut world = World::new(setup, 9_000);
        world.elapse(9_000);
        world.assert_within();
        for (target, sends) in TARGETS.iter().zip(&world.sends) {
            assert!(!sends.is_empty(), "{target} gets nothing: {setup:?}");
        }
    }
}

/// The same for starts that are spread over a second.
#[test]
fn rate_exceeded_when_all_start_staggered() {
    for setup in setups(1_000) {
        let mut world = World::new(setup, 6_000);
        world.elapse(6_000);
        world.assert_within();
    }
}

/// Links that are cut and entries that are killed again while all start must not let the others exceed the rate.
#[test]
fn rate_exceeded_by_cuts_and_restarts() {
    for setup in setups(1_000).filter(|setup| (4..=53).contains(&setup.entries)) {
        let mut world = World::new(setup, 12_000);
        for turn in 0..12 {
            world.elapse(1_000);
            let index = |salt: u64| random(&[setup.random, turn, salt]) as usize % setup.entries;
            for salt in 0..setup.entries as u64 / 2 {
                let (one, other) = (index(10 + salt), index(1_000 + salt));
                if one != other {
                    world.cut(one, other);
                }
            }
            for salt in 0..=setup.entries as u64 / 8 {
                let restarts_at = world.now + 300;
                world.restart_at(index(5_000 + salt), restarts_at);
            }
        }
        world.assert_within();
    }
}

/// Entries that never get a link to some others, which run, must not take these for entries that do not exist.
#[test]
fn rate_exceeded_when_links_are_missing() {
    for random_seed in 0..20 {
        let setup = Setup {
            entries: 16,
            seeds: Seeds::First(2),
            start_spread: 0,
            max_link_time: 300,
            late_links: 0,
            random: random_seed,
        };
        let mut world = World::new(setup, 12_000);
        for one in 2..16 {
            for other in (2..one).filter(|other| (one % 2) != (other % 2)) {
                world.cut(one, other);
            }
        }
        world.elapse(12_000);
        world.assert_within();
    }
}

/// An entry without seeds and peers serves cold targets after a short time.
#[test]
fn lone_entry() {
    let setup = setups(0).find(|setup| setup.entries == 1).expect("a lone entry");
    let mut world = World::new(
        Setup {
            seeds: Seeds::First(0),
            ..setup
        },
        6_000,
    );
    world.elapse(6_000);
    world.assert_within();
    let settled_at = Duration::from_millis(world.entries[0].settled_at.expect("it settles"));
    assert!(
        settled_at <= SETTLING_TIME + Duration::from_millis(VIEW_INTERVAL_MS),
        "{settled_at:?}"
    );
    for sends in &world.sends {
        assert!(sends.len() > 80, "{} requests in four seconds", sends.len());
    }
}

/// An entry that restarts while the others run takes its share again once their messages have listed all entries.
#[test]
fn lone_restart() {
    for entries in [4, 16, 53] {
        let setup = Setup {
            entries,
            seeds: Seeds::First(3),
            start_spread: 1_000,
            max_link_time: 200,
            late_links: 0,
            random: 7,
        };
        let mut world = World::new(setup, 0);
        let settled_in = ESTABLISHED_TIME + Duration::from_secs(3);
        world.elapse(settled_in.as_millis() as u64);
        let restarts_at = world.now;
        world.cold_until = restarts_at + 6_000;
        world.restart_at(entries - 1, restarts_at);
        world.elapse(6_000);
        world.assert_within();
        let settled_at = world.entries[entries - 1].settled_at.expect("it settles");
        let delay = settled_at - restarts_at;
        assert!(delay <= 800, "{entries} entries: settled after {delay} ms");
    }
}

/// A process that was paused right after its start has learned nothing in the meantime.
#[test]
fn paused_after_start() {
    let start = SystemClock::default().now();
    let mut settling = Settling::new(start);
    assert!(!settling.update(&[], start + Duration::from_millis(200)));
    assert!(!settling.update(&[], start + Duration::from_mins(1)));
}
