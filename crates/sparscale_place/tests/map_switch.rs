//! No step ever runs on two maps: exhaustively for two placers and three ranks in short histories, and by seeded
//! random walks for longer ones, under loss, delay, duplication, reordering, pauses and death.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

use quickcheck::{Arbitrary, Gen, QuickCheck};
use sparscale_place::switch::{Act, Change, Conductor, Order, Plan, Progress, Rank, Report};

const RANKS: usize = 3;
const LEAD: u64 = 1;
const GOAL: u64 = 7;

#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
enum Message {
    Order { placer: usize, rank: usize, order: Order },
    Report { placer: usize, rank: usize, report: Report },
}

/// Everything that exists: ranks, placers, messages on their way, and which map each rank used in the open step.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct World {
    ranks: Vec<Rank>,
    begun: Vec<u64>,
    used: BTreeMap<(u64, usize), u64>,
    placers: Vec<Option<Conductor>>,
    /// Fence of the next placer; what the log's latest claim says.
    claimed: u64,
    network: Vec<Message>,
    incarnations: u64,
}

#[derive(Clone, Copy, Debug)]
enum Action {
    Begin(usize),
    Tick(usize),
    Deliver(usize),
    Double(usize),
    Drop(usize),
    Replace(usize),
    Claim(usize),
    Abandon(usize),
}

impl World {
    fn new() -> Self {
        let ranks = (0..RANKS as u64).map(Rank::cold).collect();
        Self {
            ranks,
            begun: vec![0; RANKS],
            used: BTreeMap::new(),
            placers: vec![Some(Conductor::with_lead(1, RANKS, GOAL, LEAD)), None],
            claimed: 1,
            network: Vec::new(),
            incarnations: RANKS as u64,
        }
    }

    /// Carries out `action`; false if it means nothing here.
    fn act(&mut self, action: Action) -> bool {
        match action {
            Action::Begin(rank) => self.begin(rank),
            Action::Tick(placer) => self.tick(placer),
            Action::Deliver(index) => self.take(index).is_some_and(|message| self.deliver(message)),
            Action::Double(index) => match self.network.get(index).copied() {
                Some(message) => self.deliver(message),
                None => false,
            },
            Action::Drop(index) => self.take(index).is_some(),
            Action::Replace(rank) => self.replace(rank),
            Action::Claim(placer) => self.claim(placer),
            Action::Abandon(placer) => self.placers[placer].as_mut().is_some_and(|conductor| {
                conductor.abandon_attempt();
                true
            }),
        }
    }

    fn take(&mut self, index: usize) -> Option<Message> {
        (index < self.network.len()).then(|| self.network.remove(index))
    }

    /// A rank begins its next step once every rank has begun the one before.
    fn begin(&mut self, rank: usize) -> bool {
        let step = self.begun[rank] + 1;
        if self.begun.iter().any(|begun| *begun + 1 < step) {
            return false;
        }
        let Some(number) = self.ranks[rank].begin(step) else {
            return false;
        };
        self.begun[rank] = step;
        self.used.insert((step, rank), number);
        let open = step.saturating_sub(2);
        self.used.retain(|(old, _), _| *old >= open);
        true
    }

    fn tick(&mut self, placer: usize) -> bool {
        let Some(conductor) = &mut self.placers[placer] else {
            return false;
        };
        conductor.drop_missed_attempt();
        for (rank, order) in conductor.orders().into_iter().enumerate() {
            let message = Message::Order { placer, rank, order };
            if !self.network.contains(&message) {
                self.network.push(message);
            }
        }
        true
    }

    fn deliver(&mut self, message: Message) -> bool {
        match message {
            Message::Order { placer, rank, order } => {
                let report = self.ranks[rank].order(&order, true);
                let answer = Message::Report { placer, rank, report };
                if !self.network.contains(&answer) {
                    self.network.push(answer);
                }
            }
            Message::Report { placer, rank, report } => {
                if let Some(conductor) = &mut self.placers[placer] {
                    conductor.reported(rank, report);
                }
            }
        }
        true
    }

    /// A new process takes the rank's place. Its agent has folded the log, so it knows the latest claim; what the old
    /// process did in the open step is void.
    fn replace(&mut self, rank: usize) -> bool {
        self.incarnations += 1;
        self.ranks[rank] = Rank::joining(self.incarnations);
        self.ranks[rank].raise_fence(self.claimed);
        let complete = self.begun.iter().copied().min().unwrap_or(0);
        self.begun[rank] = complete;
        self.used
            .retain(|(step, used_by), _| *used_by != rank || *step <= complete);
        true
    }

    fn claim(&mut self, placer: usize) -> bool {
        if self.claimed >= 3 {
            return false;
        }
        self.claimed += 1;
        self.placers[placer] = Some(Conductor::with_lead(self.claimed, RANKS, GOAL, LEAD));
        true
    }

    fn is_mixed(&self) -> bool {
        let mut first: BTreeMap<u64, u64> = BTreeMap::new();
        self.used
            .iter()
            .any(|((step, _), number)| *first.entry(*step).or_insert(*number) != *number)
    }

    fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.hash(&mut hasher);
        hasher.finish()
    }
}

/// Every action that may mean something in `world`, faults counted against `faults`.
fn actions(world: &World) -> Vec<Action> {
    let mut found: Vec<Action> = (0..RANKS).map(Action::Begin).collect();
    found.extend((0..2).map(Action::Tick));
    found.extend((0..world.network.len()).map(Action::Deliver));
    found.extend((0..world.network.len()).map(Action::Double));
    found.extend((0..RANKS).map(Action::Replace));
    found.push(Action::Claim(1));
    found.push(Action::Abandon(0));
    found
}

fn enlist() -> Order {
    Order {
        fence: 1,
        act: Act::Enlist,
    }
}

#[test]
fn late_join() {
    let plan = Plan { number: 0, next: None };
    let join = |incarnation| Order {
        fence: 1,
        act: Act::Join { plan, incarnation },
    };
    let mut rank = Rank::joining(5);
    assert_eq!(
        rank.order(&join(4), false).plan,
        None,
        "the order was for the rank's predecessor"
    );
    assert_eq!(rank.order(&join(5), false).plan, Some(plan));
}

#[test]
fn overtaken_arm() {
    let arm = |at| Order {
        fence: 1,
        act: Act::Arm(Change { number: GOAL, at }),
    };
    let stage = Order {
        fence: 1,
        act: Act::Stage { number: GOAL },
    };
    let mut rank = Rank::cold(1);
    rank.order(&stage, true);
    assert!(rank.order(&arm(20), false).done);
    assert!(!rank.order(&arm(10), false).done);
    assert_eq!(rank.order(&enlist(), false).armed.map(|change| change.at), Some(20));
}

/// Worlds that are reached from a switch in the middle, where all the danger is.
fn armed_world() -> World {
    let mut world = World::new();
    // Until every rank is armed, everything arrives in order.
    for _ in 0..3 {
        world.act(Action::Tick(0));
        while !world.network.is_empty() {
            world.act(Action::Deliver(0));
        }
    }
    world
}

#[test]
fn every_interleaving() {
    const DEPTH: usize = 6;
    let mut frontier = VecDeque::from([(armed_world(), 0)]);
    let mut seen = HashSet::new();
    let mut switched = 0;
    while let Some((world, depth)) = frontier.pop_front() {
        assert!(!world.is_mixed(), "mixed step in {world:?}");
        switched += usize::from(world.used.values().any(|number| *number == GOAL));
        if depth == DEPTH {
            continue;
        }
        for action in actions(&world) {
            let mut next = world.clone();
            if next.act(action) && seen.insert(next.digest()) {
                frontier.push_back((next, depth + 1));
            }
        }
    }
    assert!(
        switched > 1_000,
        "too few worlds reached the new map to prove anything: {switched}"
    );
}

/// A schedule: numbers that pick one action after the other.
#[derive(Clone, Debug)]
struct Schedule(Vec<(u8, u8)>);

impl Arbitrary for Schedule {
    fn arbitrary(g: &mut Gen) -> Self {
        let length = 400;
        Self((0..length).map(|_| (u8::arbitrary(g), u8::arbitrary(g))).collect())
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        Box::new(self.0.shrink().map(Self))
    }
}

fn pick(world: &World, kind: u8, which: u8) -> Action {
    let message = if world.network.is_empty() {
        0
    } else {
        usize::from(which) % world.network.len()
    };
    match kind {
        0..60 => Action::Begin(usize::from(which) % RANKS),
        60..100 => Action::Tick(usize::from(which) % 2),
        100..220 => Action::Deliver(message),
        220..232 => Action::Double(message),
        232..244 => Action::Drop(message),
        244..248 => Action::Replace(usize::from(which) % RANKS),
        248..250 => Action::Claim(usize::from(which) % 2),
        _ => Action::Abandon(usize::from(which) % 2),
    }
}

#[test]
fn random_walks() {
    fn walk(schedule: Schedule) -> bool {
        let mut world = World::new();
        for (kind, which) in schedule.0 {
            let action = pick(&world, kind, which);
            world.act(action);
            if world.is_mixed() {
                return false;
            }
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 11))
        .tests(20_000)
        .quickcheck(walk as fn(Schedule) -> bool);
}

/// After any walk, a new placer that reaches all ranks gets them all to the goal: nothing stays held.
#[test]
fn recovers_after_walks() {
    fn recovers(schedule: Schedule) -> bool {
        let mut world = World::new();
        for (kind, which) in schedule.0 {
            let action = pick(&world, kind, which);
            world.act(action);
        }
        world.network.clear();
        world.claimed += 1;
        // Ranks go on between two rounds of orders, so the lead has to cover that.
        world.placers = vec![Some(Conductor::with_lead(world.claimed, RANKS, GOAL, LEAD + 2)), None];
        for _ in 0..200 {
            world.act(Action::Tick(0));
            while !world.network.is_empty() {
                world.act(Action::Deliver(0));
            }
            for rank in 0..RANKS {
                world.act(Action::Begin(rank));
            }
            if world.placers[0]
                .as_ref()
                .is_some_and(|conductor| conductor.progress() == Progress::Done)
            {
                return !world.is_mixed();
            }
        }
        false
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 12))
        .tests(5_000)
        .quickcheck(recovers as fn(Schedule) -> bool);
}
