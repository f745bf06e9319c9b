//! No step ever runs on two maps: exhaustively for two placers and three ranks in short histories, and by seeded random
//! walks for longer ones, under loss, delay, duplication, reordering, pauses and death of processes.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

use quickcheck::{Arbitrary, Gen, QuickCheck};
use sparscale_place::switch::{Act, Change, Coordinator, Order, Plan, Progress, Rank, Report};

const RANKS: usize = 3;
const LEAD_STEPS: u64 = 1;
const GOAL_MAP: u64 = 7;

#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
enum Message {
    Order { placer: usize, rank: usize, order: Order },
    Report { placer: usize, rank: usize, report: Report },
}

/// The whole system: ranks, placers, messages in flight, and the map that each rank used in the latest steps.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct World {
    ranks: Vec<Rank>,
    latest_steps: Vec<u64>,
    used_maps: BTreeMap<(u64, usize), u64>,
    placers: Vec<Option<Coordinator>>,
    /// Fence of the latest claim in the log; the next placer claims a higher one.
    latest_claim: u64,
    network: Vec<Message>,
    last_incarnation: u64,
}

#[derive(Clone, Copy, Debug)]
enum Action {
    BeginStep(usize),
    Tick(usize),
    Deliver(usize),
    Duplicate(usize),
    Drop(usize),
    Replace(usize),
    Claim(usize),
    AbandonAttempt(usize),
}

impl World {
    fn new() -> Self {
        let ranks = (0..RANKS as u64).map(Rank::cold_start).collect();
        Self {
            ranks,
            latest_steps: vec![0; RANKS],
            used_maps: BTreeMap::new(),
            placers: vec![Some(Coordinator::with_lead_steps(1, RANKS, GOAL_MAP, LEAD_STEPS)), None],
            latest_claim: 1,
            network: Vec::new(),
            last_incarnation: RANKS as u64,
        }
    }

    /// Carries out `action`; false if it has no effect in this state.
    fn act(&mut self, action: Action) -> bool {
        match action {
            Action::BeginStep(rank) => self.begin_step(rank),
            Action::Tick(placer) => self.tick(placer),
            Action::Deliver(index) => self.take_message(index).is_some_and(|message| self.deliver(message)),
            Action::Duplicate(index) => match self.network.get(index).copied() {
                Some(message) => self.deliver(message),
                None => false,
            },
            Action::Drop(index) => self.take_message(index).is_some(),
            Action::Replace(rank) => self.replace(rank),
            Action::Claim(placer) => self.claim(placer),
            Action::AbandonAttempt(placer) => self.placers[placer].as_mut().is_some_and(|coordinator| {
                coordinator.abandon_attempt();
                true
            }),
        }
    }

    fn take_message(&mut self, index: usize) -> Option<Message> {
        (index < self.network.len()).then(|| self.network.remove(index))
    }

    /// A rank begins its next step once every rank has begun the one before.
    fn begin_step(&mut self, rank: usize) -> bool {
        let step = self.latest_steps[rank] + 1;
        if self.latest_steps.iter().any(|latest| *latest + 1 < step) {
            return false;
        }
        let Some(number) = self.ranks[rank].begin_step(step) else {
            return false;
        };
        self.latest_steps[rank] = step;
        self.used_maps.insert((step, rank), number);
        let oldest_kept = step.saturating_sub(2);
        self.used_maps.retain(|(old, _), _| *old >= oldest_kept);
        true
    }

    fn tick(&mut self, placer: usize) -> bool {
        let Some(coordinator) = &mut self.placers[placer] else {
            return false;
        };
        coordinator.abandon_missed_attempt();
        for (rank, order) in coordinator.orders().into_iter().enumerate() {
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
                let report = self.ranks[rank].handle_order(&order, true);
                let message = Message::Report { placer, rank, report };
                if !self.network.contains(&message) {
                    self.network.push(message);
                }
            }
            Message::Report { placer, rank, report } => {
                if let Some(coordinator) = &mut self.placers[placer] {
                    coordinator.record_report(rank, report);
                }
            }
        }
        true
    }

    /// A new process replaces the rank. Its agent has read the log, so it knows the latest claim; what the old process
    /// did in an incomplete step is void.
    fn replace(&mut self, rank: usize) -> bool {
        self.last_incarnation += 1;
        self.ranks[rank] = Rank::joining(self.last_incarnation);
        self.ranks[rank].raise_fence(self.latest_claim);
        let last_complete = self.latest_steps.iter().copied().min().unwrap_or(0);
        self.latest_steps[rank] = last_complete;
        self.used_maps
            .retain(|(step, user), _| *user != rank || *step <= last_complete);
        true
    }

    fn claim(&mut self, placer: usize) -> bool {
        if self.latest_claim >= 3 {
            return false;
        }
        self.latest_claim += 1;
        self.placers[placer] = Some(Coordinator::with_lead_steps(
            self.latest_claim,
            RANKS,
            GOAL_MAP,
            LEAD_STEPS,
        ));
        true
    }

    fn has_mixed_step(&self) -> bool {
        let mut first: BTreeMap<u64, u64> = BTreeMap::new();
        self.used_maps
            .iter()
            .any(|((step, _), number)| *first.entry(*step).or_insert(*number) != *number)
    }

    fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.hash(&mut hasher);
        hasher.finish()
    }
}

/// Every action that may have an effect in `world`.
fn possible_actions(world: &World) -> Vec<Action> {
    let mut found: Vec<Action> = (0..RANKS).map(Action::BeginStep).collect();
    found.extend((0..2).map(Action::Tick));
    found.extend((0..world.network.len()).map(Action::Deliver));
    found.extend((0..world.network.len()).map(Action::Duplicate));
    found.extend((0..RANKS).map(Action::Replace));
    found.push(Action::Claim(1));
    found.push(Action::AbandonAttempt(0));
    found
}

fn enlist_order() -> Order {
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
        rank.handle_order(&join(4), false).plan,
        None,
        "the order was for the rank's predecessor"
    );
    assert_eq!(rank.handle_order(&join(5), false).plan, Some(plan));
}

#[test]
fn outdated_arm_order() {
    let arm = |at| Order {
        fence: 1,
        act: Act::Arm(Change { number: GOAL_MAP, at }),
    };
    let stage = Order {
        fence: 1,
        act: Act::Stage { number: GOAL_MAP },
    };
    let mut rank = Rank::cold_start(1);
    rank.handle_order(&stage, true);
    assert!(rank.handle_order(&arm(20), false).done);
    assert!(!rank.handle_order(&arm(10), false).done);
    assert_eq!(
        rank.handle_order(&enlist_order(), false).armed.map(|change| change.at),
        Some(20)
    );
}

/// A world in the middle of a switch, where faults are most dangerous.
fn armed_world() -> World {
    let mut world = World::new();
    // Until every rank is armed, all messages arrive in order.
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
    let mut switched_worlds = 0;
    while let Some((world, depth)) = frontier.pop_front() {
        assert!(!world.has_mixed_step(), "mixed step in {world:?}");
        switched_worlds += usize::from(world.used_maps.values().any(|number| *number == GOAL_MAP));
        if depth == DEPTH {
            continue;
        }
        for action in possible_actions(&world) {
            let mut next = world.clone();
            if next.act(action) && seen.insert(next.digest()) {
                frontier.push_back((next, depth + 1));
            }
        }
    }
    assert!(
        switched_worlds > 1_000,
        "too few worlds reached the new map to prove anything: {switched_worlds}"
    );
}

/// A schedule: pairs of numbers that select one action after the other.
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

fn pick_action(world: &World, kind: u8, choice: u8) -> Action {
    let message = if world.network.is_empty() {
        0
    } else {
        usize::from(choice) % world.network.len()
    };
    match kind {
        0..60 => Action::BeginStep(usize::from(choice) % RANKS),
        60..100 => Action::Tick(usize::from(choice) % 2),
        100..220 => Action::Deliver(message),
        220..232 => Action::Duplicate(message),
        232..244 => Action::Drop(message),
        244..248 => Action::Replace(usize::from(choice) % RANKS),
        248..250 => Action::Claim(usize::from(choice) % 2),
        _ => Action::AbandonAttempt(usize::from(choice) % 2),
    }
}

#[test]
fn random_walks() {
    fn never_mixes(schedule: Schedule) -> bool {
        let mut world = World::new();
        for (kind, choice) in schedule.0 {
            let action = pick_action(&world, kind, choice);
            world.act(action);
            if world.has_mixed_step() {
                return false;
            }
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 11))
        .tests(20_000)
        .quickcheck(never_mixes as fn(Schedule) -> bool);
}

/// After any walk, a new placer that reaches all ranks brings them all to the goal map: no rank stays held.
#[test]
fn recovers_after_walks() {
    fn recovers(schedule: Schedule) -> bool {
        let mut world = World::new();
        for (kind, choice) in schedule.0 {
            let action = pick_action(&world, kind, choice);
            world.act(action);
        }
        world.network.clear();
        world.latest_claim += 1;
        // Ranks begin steps between two rounds of orders, so the lead must cover them.
        world.placers = vec![
            Some(Coordinator::with_lead_steps(
                world.latest_claim,
                RANKS,
                GOAL_MAP,
                LEAD_STEPS + 2,
            )),
            None,
        ];
        for _ in 0..200 {
            world.act(Action::Tick(0));
            while !world.network.is_empty() {
                world.act(Action::Deliver(0));
            }
            for rank in 0..RANKS {
                world.act(Action::BeginStep(rank));
            }
            if world.placers[0]
                .as_ref()
                .is_some_and(|coordinator| coordinator.progress() == Progress::Done)
            {
                return !world.has_mixed_step();
            }
        }
        false
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 12))
        .tests(5_000)
        .quickcheck(recovers as fn(Schedule) -> bool);
}
