//! No step ever begins on two maps where the group is held for a change: two conductors, orders that are answered
//! late, never or carried out seconds later, groups that re-form, conductors that die or wake.

mod forgotten_claims;
mod group;
mod late_answers;
mod silent_rank;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use sparscale_place::barrier::{Answer, Conductor, Order, Progress, Report};

use crate::group::Group;

const RANKS: usize = 3;
/// Fences of one claim.
const CLAIM: u64 = 1 << 10;
/// Claims in one walk.
const MAX_CLAIMS: u64 = 4;

#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
struct Sent {
    conductor: usize,
    claim: u64,
    rank: usize,
    order: Order,
}

#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
struct Told {
    conductor: usize,
    claim: u64,
    rank: usize,
    report: Report,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct World {
    group: Group,
    conductors: Vec<Option<(u64, Conductor)>>,
    /// Claims that were made.
    claims: u64,
    list: List,
    numbers: u64,
    orders: Vec<Sent>,
    /// Orders that were not answered and may be carried out at any time.
    late: Vec<Sent>,
    reports: Vec<Told>,
}

/// The list of claims, which may come back from an older copy.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
struct List {
    era: u64,
    end: u64,
    numbers: Numbers,
}

/// How claims are numbered.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
enum Numbers {
    /// By era, then by offset.
    ByPlace,
    /// By offset alone, which a restored list gives out again.
    ByOffset,
}

impl List {
    /// Claims at the end of the list; tells the number of the claim.
    fn claim(&mut self) -> u64 {
        let offset = self.end;
        self.end += 1;
        match self.numbers {
            Numbers::ByPlace => self.era * MAX_CLAIMS * 2 + offset + 1,
            Numbers::ByOffset => offset + 1,
        }
    }

    /// Comes back without its last claim.
    fn forget(&mut self) {
        self.era += 1;
        self.end = self.end.saturating_sub(1);
    }
}

#[derive(Clone, Copy, Debug)]
enum Action {
    Step,
    Reform,
    Tick(usize),
    Deliver(usize),
    /// The order gets no answer and may be carried out later.
    Silence(usize),
    Late(usize),
    Report(usize),
    /// The link to the rank breaks while an order is on its way.
    Lose(usize),
    Push(usize, usize),
    Claim(usize),
    /// The list of claims comes back from an older copy.
    Forget,
    Begin(usize),
    Abandon(usize),
}

impl World {
    fn new() -> Self {
        Self::numbered(Numbers::ByPlace)
    }

    fn numbered(numbers: Numbers) -> Self {
        let list = List {
            era: 0,
            end: 0,
            numbers,
        };
        let mut world = Self {
            list,
            group: Group::new(),
            conductors: vec![None, None],
            claims: 0,
            numbers: 0,
            orders: Vec::new(),
            late: Vec::new(),
            reports: Vec::new(),
        };
        world.act(Action::Claim(0));
        world
    }

    fn act(&mut self, action: Action) -> bool {
        match action {
            Action::Step => self.group.step(),
            Action::Reform => {
                self.group.reform();
                true
            }
            Action::Tick(conductor) => self.tick(conductor),
            Action::Deliver(index) => self.deliver(index),
            Action::Silence(index) => self.silence(index),
            Action::Late(index) => {
                if index >= self.late.len() {
                    return false;
                }
                let sent = self.late.remove(index);
                self.group.order(sent.rank, &sent.order);
                true
            }
            Action::Report(index) => {
                if index >= self.reports.len() {
                    return false;
                }
                let told = self.reports.remove(index);
                self.tell(told);
                true
            }
            Action::Lose(index) => self.lose(index),
            Action::Push(conductor, rank) => self.push(conductor, rank),
            Action::Claim(conductor) => self.claim(conductor),
            Action::Forget => {
                self.list.forget();
                true
            }
            Action::Begin(conductor) => {
                self.numbers += 1;
                let number = self.numbers;
                self.of(conductor).is_some_and(|conductor| conductor.begin(number))
            }
            Action::Abandon(conductor) => self.of(conductor).is_some_and(|conductor| {
                conductor.abandon();
                true
            }),
        }
    }

    fn of(&mut self, conductor: usize) -> Option<&mut Conductor> {
        self.conductors[conductor].as_mut().map(|(_, conductor)| conductor)
    }

    fn tick(&mut self, index: usize) -> bool {
        let Some((claim, conductor)) = &mut self.conductors[index] else {
            return false;
        };
        let claim = *claim;
        let orders = conductor.orders();
        let sent = !orders.is_empty();
        self.orders.extend(orders.into_iter().map(|(rank, order)| Sent {
            conductor: index,
            claim,
            rank,
            order,
        }));
        sent
    }

    /// The conductor asks a rank for its state, whatever it is doing.
    fn look(&mut self, index: usize, rank: usize) {
        let Some((claim, conductor)) = &mut self.conductors[index] else {
            return;
        };
        let claim = *claim;
        let order = conductor.look_at(rank);
        self.orders.extend(order.map(|order| Sent {
            conductor: index,
            claim,
            rank,
            order,
        }));
    }

    fn deliver(&mut self, index: usize) -> bool {
        if index >= self.orders.len() {
            return false;
        }
        let sent = self.orders.remove(index);
        let answer = self.group.order(sent.rank, &sent.order);
        self.answer(sent, answer);
        true
    }

    fn silence(&mut self, index: usize) -> bool {
        if index >= self.orders.len() {
            return false;
        }
        let sent = self.orders.remove(index);
        self.late.push(sent);
        self.answer(sent, Answer::Silent);
        true
    }

    fn answer(&mut self, sent: Sent, answer: Answer) {
        let view = self.group.view(sent.rank);
        self.reports.push(Told {
            conductor: sent.conductor,
            claim: sent.claim,
            rank: sent.rank,
            report: Report {
                serial: sent.order.serial,
                answer: Some(answer),
                view: Some(view),
            },
        });
    }

    fn tell(&mut self, told: Told) {
        if let Some((claim, conductor)) = &mut self.conductors[told.conductor]
            && *claim == told.claim
        {
            conductor.report(told.rank, told.report);
        }
    }

    /// The report of an order is lost with the link it would have come on.
    fn lose(&mut self, index: usize) -> bool {
        if index >= self.reports.len() {
            return false;
        }
        let told = self.reports.remove(index);
        if let Some((claim, conductor)) = &mut self.conductors[told.conductor]
            && *claim == told.claim
        {
            conductor.lost(told.rank);
        }
        true
    }

    fn push(&mut self, conductor: usize, rank: usize) -> bool {
        // What is told unasked comes in order behind the reports of the same rank.
        let waiting = |told: &Told| told.conductor == conductor && told.rank == rank;
        let view = Some(self.group.view(rank));
        let Some((claim, _)) = &self.conductors[conductor] else {
            return false;
        };
        if self.reports.iter().any(waiting) {
            return false;
        }
        let report = Report {
            serial: 0,
            answer: None,
            view,
        };
        let claim = *claim;
        self.tell(Told {
            conductor,
            claim,
            rank,
            report,
        });
        true
    }

    fn claim(&mut self, index: usize) -> bool {
        if self.claims >= MAX_CLAIMS {
            return false;
        }
        self.claims += 1;
        let claim = self.list.claim();
        let conductor = Conductor::new(RANKS, index, claim * CLAIM);
        self.conductors[index] = Some((claim, conductor));
        true
    }

    /// From here on everything arrives; the conductor claimed last leads.
    fn settle(&mut self) -> bool {
        self.orders.clear();
        self.reports.clear();
        let claim = self.list.claim();
        let conductor = Conductor::new(RANKS, 0, claim * CLAIM);
        self.conductors = vec![Some((claim, conductor)), None];
        self.numbers += 1;
        let goal = self.numbers;
        for _ in 0..400 {
            self.act(Action::Begin(0));
            self.numbers = goal;
            while self.tick(0) {
                while self.deliver(0) {}
                while self.act(Action::Report(0)) {}
            }
            for rank in 0..RANKS {
                self.push(0, rank);
            }
            self.group.step();
            let settled = self
                .of(0)
                .is_some_and(|conductor| conductor.progress() == Progress::Idle);
            let on_goal = self.group.ranks.iter().all(|rank| rank.map >= goal);
            if settled && on_goal && self.group.ranks.iter().all(|rank| rank.held.is_none()) {
                return true;
            }
        }
        false
    }
}

#[derive(Clone, Debug)]
struct Walk(Vec<Action>);

impl Arbitrary for Walk {
    fn arbitrary(g: &mut Gen) -> Self {
        // Most walks are gentle, so that many of them get far; some are all trouble.
        let trouble = *g.choose(&[1_u8, 4, 16]).expect("not empty");
        let length = usize::from(u8::arbitrary(g)) * 2 + 100;
        Self((0..length).map(|_| action(g, trouble)).collect())
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        Box::new(self.0.shrink_actions())
    }
}

trait Shrink {
    fn shrink_actions(&self) -> std::vec::IntoIter<Walk>;
}

impl Shrink for Vec<Action> {
    fn shrink_actions(&self) -> std::vec::IntoIter<Walk> {
        let mut shorter = Vec::new();
        let mut width = self.len() / 2;
        while width > 0 {
            for start in (0..self.len()).step_by(width) {
                let mut actions = self.clone();
                actions.drain(start..(start + width).min(self.len()));
                shorter.push(Walk(actions));
            }
            width /= 2;
        }
        shorter.into_iter()
    }
}

fn action(g: &mut Gen, trouble: u8) -> Action {
    let conductor = usize::from(bool::arbitrary(g));
    let small = usize::from(u8::arbitrary(g) % 4);
    let rank = small % RANKS;
    if u8::arbitrary(g) % 64 < trouble {
        return match u8::arbitrary(g) % 9 {
            8 => Action::Forget,
            0 => Action::Reform,
            1 | 2 => Action::Claim(conductor),
            3 => Action::Abandon(conductor),
            4 => Action::Lose(small),
            _ => Action::Silence(small),
        };
    }
    match u8::arbitrary(g) % 16 {
        0 => Action::Step,
        1 => Action::Late(small),
        2 => Action::Push(conductor, rank),
        3 | 4 => Action::Begin(conductor),
        5..=7 => Action::Tick(conductor),
        8..=11 => Action::Deliver(small),
        _ => Action::Report(small),
    }
}

#[test]
fn never_mixed() {
    fn holds(walk: Walk) -> bool {
        let mut world = World::new();
        for action in walk.0 {
            world.act(action);
            if world.group.mixed {
                return false;
            }
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 51))
        .tests(30_000)
        .max_tests(30_000)
        .quickcheck(holds as fn(Walk) -> bool);
}

#[test]
fn goes_on() {
    fn settles(walk: Walk) -> bool {
        let mut world = World::new();
        for action in walk.0 {
            world.act(action);
        }
        world.settle() && !world.group.mixed
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 52))
        .tests(6_000)
        .max_tests(6_000)
        .quickcheck(settles as fn(Walk) -> bool);
}

/// Looks at ranks that nobody tells of, between any two things that happen: they mix no maps, and the group goes on.
#[test]
fn looks_between() {
    fn holds(walk: Walk) -> bool {
        let mut world = World::new();
        for (index, action) in walk.0.into_iter().enumerate() {
            world.act(action);
            world.look(index % 2, index / 2 % RANKS);
            if world.group.mixed {
                return false;
            }
        }
        world.settle() && !world.group.mixed
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 53))
        .tests(6_000)
        .max_tests(6_000)
        .quickcheck(holds as fn(Walk) -> bool);
}

#[test]
fn changes_map() {
    let mut world = World::new();
    assert!(world.settle());
    let maps: Vec<u64> = world.group.ranks.iter().map(|rank| rank.map).collect();
    assert_eq!(maps, [world.numbers + 1; RANKS]);
}

/// An order to arm that is carried out after its try was taken back.
#[test]
fn late_arm() {
    let mut world = World::new();
    drive(&mut world, Progress::Arming);
    world.act(Action::Tick(0));
    world.silence(2);
    while world.deliver(0) {}
    while world.act(Action::Report(0)) {}
    world.act(Action::Abandon(0));
    drive(&mut world, Progress::Surveying);
    assert!(world.group.ranks.iter().all(|rank| rank.held.is_none()));
    assert!(world.act(Action::Late(0)));
    for _ in 0..3 {
        world.group.step();
    }
    assert!(!world.group.mixed, "{world:?}");
}

/// A conductor stops when it has just seen that all are armed, another takes over, and the first one wakes at any
/// moment of that.
#[test]
fn woken_conductor() {
    let mut world = World::new();
    drive(&mut world, Progress::Arming);
    world.act(Action::Tick(0));
    while world.deliver(0) {}
    while world.act(Action::Report(0)) {}
    assert_eq!(
        world.of(0).map(|conductor| conductor.progress()),
        Some(Progress::Releasing)
    );
    world.act(Action::Tick(0));
    let release = world.orders.remove(0);
    world.act(Action::Claim(1));
    let steady = [Action::Tick(1), Action::Deliver(0), Action::Report(0), Action::Step];
    let mut seen = std::collections::HashSet::new();
    let mut edge = vec![world];
    while let Some(world) = edge.pop() {
        assert!(!world.group.mixed, "{world:?}");
        let mut woken = world.clone();
        woken.group.order(release.rank, &release.order);
        let steps = steady.into_iter().filter_map(|action| {
            let mut after = world.clone();
            after.act(action).then_some(after)
        });
        for after in steps.chain([woken]) {
            // The group is watched for a few steps; looks go on for ever.
            let fence = after.conductors[1]
                .as_ref()
                .map_or(0, |(_, conductor)| conductor.fence());
            let bounded = after.group.step < 6 && fence < 3 * CLAIM;
            if bounded && seen.len() < 300_000 && seen.insert(after.clone()) {
                edge.push(after);
            }
        }
    }
    assert!(seen.len() > 1_000);
}

/// Every order of a few actions from a group that is being armed.
#[test]
fn every_interleaving() {
    let mut start = World::new();
    drive(&mut start, Progress::Arming);
    start.act(Action::Tick(0));
    let mut seen = std::collections::HashSet::new();
    let mut edge = vec![start];
    for _ in 0..7 {
        let mut next = Vec::new();
        for world in edge {
            for action in everything() {
                let mut after = world.clone();
                if !after.act(action) {
                    continue;
                }
                assert!(!after.group.mixed, "{after:?}");
                if seen.insert(after.clone()) {
                    next.push(after);
                }
            }
            if seen.len() > 400_000 {
                return;
            }
        }
        edge = next;
    }
}

fn drive(world: &mut World, goal: Progress) {
    for _ in 0..50 {
        if world.of(0).map(|conductor| conductor.progress()) == Some(goal) {
            return;
        }
        world.act(Action::Begin(0));
        world.act(Action::Tick(0));
        while world.deliver(0) {}
        while world.act(Action::Report(0)) {}
    }
    panic!("never came to {goal:?}");
}

fn everything() -> Vec<Action> {
    let mut all = vec![Action::Step, Action::Claim(1), Action::Forget, Action::Abandon(0)];
    for conductor in 0..2 {
        all.push(Action::Tick(conductor));
    }
    for index in 0..RANKS {
        all.extend([
            Action::Deliver(index),
            Action::Silence(index),
            Action::Late(index),
            Action::Report(index),
        ]);
    }
    all
}
