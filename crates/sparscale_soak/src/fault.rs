//! Faults of a round, drawn from its seed.

use std::time::Duration;

use rand::Rng as _;
use rand_chacha::ChaCha8Rng;

use crate::mood::Mood;
use crate::places::{KEYS, LATER_KEYS, ROUTES, Size};
use crate::proxy::Link;

/// A fault to inject, or one that the soak detects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The store rejects all calls.
    StoreBusy,
    /// No process can reach the store.
    StoreSilent,
    /// The store rejects all calls, and the registrations of targets expire.
    StoreLapse,
    /// The link of one entry to the store is impaired.
    StoreLink { entry: usize, link: Link },
    /// An entry is killed and restarted.
    Kill { entry: usize },
    /// An entry is frozen.
    Freeze { entry: usize },
    /// An entry is stopped with SIGTERM and restarted.
    Stop { entry: usize },
    /// An entry gets a SIGHUP.
    HangUp { entry: usize },
    /// The link to a target is impaired.
    TargetLink { target: usize, link: Link },
    /// A target misbehaves.
    TargetMood { target: usize, mood: Mood },
    /// A target announces in its registration that it is draining, terminates and is replaced.
    Leave { target: usize },
    /// A target crashes, its registration expires later, and it is replaced.
    Die { target: usize },
    /// A key is revoked; the first key never is.
    Revoke { key: usize },
    /// A key is revoked while no entry reaches the store, for longer than an entry may trust its copy of a key.
    RevokeUnseen { key: usize },
    /// The machine ran nothing for a while; detected by the soak, never drawn.
    Stall,
    /// A key is granted while no entry reaches the store.
    GrantUnseen { key: usize },
    /// An entry is killed and restarted `times` times, after `delay` each time.
    KillSeries { entry: usize, times: u32, pause: Duration },
    /// All entries are killed and restarted in series at once.
    KillAll { times: u32, pause: Duration },
    /// An entry gets a SIGHUP and two SIGTERMs and is restarted, `times` times.
    StopSeries { entry: usize, times: u32 },
    /// All entries are stopped in series at once; their stops overlap.
    StopAll { times: u32 },
    /// All entries are frozen.
    FreezeAll,
    /// All targets misbehave in the same way.
    AllTargets { mood: Mood },
    /// Keys are revoked and granted in quick succession.
    Changes { times: u32 },
    /// A target terminates and restarts under its id; if `expired`, after its registration has expired.
    Return { target: usize, lapsed: bool },
    /// All targets restart under their ids.
    ReturnAll { lapsed: bool },
    /// A request that crashes every target that runs it reaches an entry again and again.
    Deadly { entry: usize, route: usize },
    /// The store is briefly unavailable and restored from a snapshot of age `snapshot_age`; `before` happens right
    /// before.
    Restore { copy: Duration, before: Before },
    /// The agent beside a rank is killed and restarted.
    KillAgent { rank: usize },
    /// The agent beside a rank is frozen.
    FreezeAgent { rank: usize },
    /// The agent that leads the group is killed, and restarted after another had time to take over.
    KillLeader,
    /// The agent that leads the group is frozen.
    FreezeLeader,
    /// All agents are killed and restarted.
    KillAgents,
    /// The link of a rank's agent to the store is impaired.
    AgentStoreLink { rank: usize, link: Link },
    /// Orders to a rank get no response, and most of them are carried out later.
    LateOrders { rank: usize },
    /// A rank's engine restarts, and the group is formed anew.
    EngineReturn { rank: usize },
    /// A target announces in its responses, but not in its registration, that it is draining, and is replaced.
    SaysLeaving { target: usize },
    /// Records of another writer appear in the store's list of targets.
    Foreign { target: usize },
}

/// What is written right before the store is restored, so that the snapshot lacks it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Before {
    Nothing,
    /// A key is revoked.
    Revoke { key: usize },
    /// A target announces that it is draining.
    Leave { target: usize },
    /// The leader of the group is killed; its successor is killed right after the store has recovered.
    Takeover,
}

/// Which faults a round draws from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Plan {
    /// Faults of a single process or target.
    Single,
    /// Single faults, and series of kills, signals and changes that also hit all processes at once and overlap.
    Series,
    /// Single faults, targets that restart under their ids, and records of another writer.
    Returns,
    /// Single faults, stores restored from older snapshots, requests that crash targets, and restarts of all entries.
    Restores,
    /// A group of engines whose agents are killed, frozen and cut off from a store that is restored from older
    /// snapshots.
    Groups,
    /// Single faults, requests that crash the targets that run them, and restarts of all entries.
    Deadly,
    /// Single faults, targets that limit their rate, request a backoff or announce that they drain, and restarts of all
    /// entries.
    Pressed,
}

/// A fault and when it is injected.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Planned {
    pub(crate) fault: Fault,
    /// Time from the start of the round.
    pub(crate) at: Duration,
    /// Time until the fault is undone, if it doesn't end by itself.
    pub(crate) lasts: Duration,
}

/// Time between the beginnings of two faults, in milliseconds.
const PAUSE: std::ops::Range<u64> = 200..1_500;
/// Duration of a fault, in milliseconds; the longest exceed every limit on the age of observed state.
const LASTS: std::ops::Range<u64> = 300..8_000;
/// Age of the snapshot that a store is restored from, in milliseconds.
const COPY: std::ops::Range<u64> = 1_000..10_000;
/// Delay on a slow link, in milliseconds.
const SLOW: std::ops::Range<u64> = 20..300;

/// Time between two kills of a series, in milliseconds; half of the series have none.
const KILL_PAUSE: std::ops::Range<u64> = 100..2_500;

impl Fault {
    fn draw_series(random: &mut ChaCha8Rng, size: Size) -> Self {
        let entry = random.random_range(0..size.entries);
        let pause = Duration::from_millis(random.random_range(KILL_PAUSE));
        let pause = if random.random() { pause } else { Duration::ZERO };
        let times = random.random_range(1..6);
        match random.random_range(0..14) {
            0 | 1 => Self::KillSeries { entry, times, pause },
            2 | 3 => Self::KillAll { times, pause },
            4 => Self::StopSeries { entry, times },
            5 => Self::StopAll { times: times.min(2) },
            6 => Self::FreezeAll,
            7..=9 => Self::AllTargets {
                mood: draw_mood(random),
            },
            10 => Self::Changes { times: times * 4 },
            _ => Self::draw(random, size),
        }
    }

    fn draw_deadly(random: &mut ChaCha8Rng, size: Size) -> Self {
        let entry = random.random_range(0..size.entries);
        let route = random.random_range(0..ROUTES.len());
        match random.random_range(0..8) {
            0..=3 => Self::Deadly { entry, route },
            4 => Self::KillAll {
                times: 1,
                pause: Duration::ZERO,
            },
            _ => Self::draw(random, size),
        }
    }

    fn draw_pressed(random: &mut ChaCha8Rng, size: Size) -> Self {
        let target = random.random_range(0..size.targets);
        let mood = if random.random() { Mood::Limited } else { Mood::Tired };
        match random.random_range(0..10) {
            0..=3 => Self::TargetMood { target, mood },
            4 => Self::AllTargets { mood },
            5 | 6 => Self::SaysLeaving { target },
            7 => Self::KillAll {
                times: 1,
                pause: Duration::ZERO,
            },
            _ => Self::draw(random, size),
        }
    }

    fn draw_restores(random: &mut ChaCha8Rng, size: Size) -> Self {
        let copy = Duration::from_millis(random.random_range(COPY));
        let before = match random.random_range(0..4) {
            0 => Before::Revoke {
                key: random.random_range(1..KEYS),
            },
            1 => Before::Leave {
                target: random.random_range(0..size.targets),
            },
            _ => Before::Nothing,
        };
        match random.random_range(0..8) {
            0..=3 => Self::Restore { copy, before },
            4 => Self::draw_deadly(random, size),
            _ => Self::draw(random, size),
        }
    }

    fn draw_groups(random: &mut ChaCha8Rng, size: Size) -> Self {
        let copy = Duration::from_millis(random.random_range(COPY));
        let rank = random.random_range(0..size.ranks);
        match random.random_range(0..16) {
            0..=2 => Self::Restore {
                copy,
                before: Before::Takeover,
            },
            3 => Self::Restore {
                copy,
                before: Before::Nothing,
            },
            4 | 5 => Self::KillLeader,
            6 | 7 => Self::FreezeLeader,
            8 => Self::KillAgent { rank },
            9 => Self::FreezeAgent { rank },
            10 => Self::KillAgents,
            11 => Self::AgentStoreLink {
                rank,
                link: draw_link(random),
            },
            12 | 13 => Self::LateOrders { rank },
            14 => Self::EngineReturn { rank },
            _ => Self::draw(random, size),
        }
    }

    fn draw_returns(random: &mut ChaCha8Rng, size: Size) -> Self {
        let target = random.random_range(0..size.targets);
        let lapsed = random.random();
        match random.random_range(0..10) {
            0..=2 => Self::Return { target, lapsed },
            3 => Self::ReturnAll { lapsed },
            4 | 5 => Self::Foreign { target },
            6 => Self::KillAll {
                times: 1,
                pause: Duration::ZERO,
            },
            _ => Self::draw(random, size),
        }
    }

    fn draw(random: &mut ChaCha8Rng, size: Size) -> Self {
        let entry = random.random_range(0..size.entries);
        let target = random.random_range(0..size.targets);
        match random.random_range(0..16) {
            0 => Self::StoreBusy,
            1 => Self::StoreSilent,
            2 => Self::StoreLapse,
            3 => Self::StoreLink {
                entry,
                link: draw_link(random),
            },
            4 => Self::Kill { entry },
            5 => Self::Freeze { entry },
            6 => Self::Stop { entry },
            7 => Self::HangUp { entry },
            8 | 9 => Self::TargetLink {
                target,
                link: draw_link(random),
            },
            10 => Self::TargetMood {
                target,
                mood: draw_mood(random),
            },
            11 => Self::Leave { target },
            12 => Self::Die { target },
            13 => Self::Revoke {
                key: random.random_range(1..KEYS),
            },
            14 => Self::RevokeUnseen {
                key: random.random_range(1..KEYS),
            },
            _ => Self::GrantUnseen {
                key: random.random_range(KEYS..KEYS + LATER_KEYS),
            },
        }
    }

    /// The resource that the fault occupies; two faults never occupy the same one at once.
    pub(crate) fn holds(self) -> Hold {
        match self {
            Self::StoreBusy | Self::StoreSilent | Self::RevokeUnseen { .. } | Self::GrantUnseen { .. } => Hold::Store,
            Self::Restore {
                before: Before::Takeover,
                ..
            } => Hold::StoreAndAgents,
            Self::StoreLapse | Self::Restore { .. } => Hold::StoreAndTargets,
            Self::StoreLink { entry, .. } => Hold::StoreLink(entry),
            Self::Kill { entry }
            | Self::Freeze { entry }
            | Self::Stop { entry }
            | Self::HangUp { entry }
            | Self::KillSeries { entry, .. }
            | Self::StopSeries { entry, .. } => Hold::Entry(entry),
            Self::KillAll { .. } | Self::StopAll { .. } | Self::FreezeAll => Hold::Entries,
            Self::AllTargets { .. } | Self::ReturnAll { .. } => Hold::Targets,
            Self::Changes { .. } => Hold::Keys,
            Self::TargetLink { target, .. }
            | Self::TargetMood { target, .. }
            | Self::Leave { target }
            | Self::SaysLeaving { target }
            | Self::Die { target }
            | Self::Return { target, .. } => Hold::Target(target),
            Self::Stall | Self::Foreign { .. } | Self::Deadly { .. } => Hold::Nothing,
            Self::Revoke { key } => Hold::Key(key),
            Self::KillAgent { rank } | Self::FreezeAgent { rank } => Hold::Agent(rank),
            Self::KillLeader | Self::FreezeLeader | Self::KillAgents => Hold::Agents,
            Self::AgentStoreLink { rank, .. } => Hold::AgentStoreLink(rank),
            Self::LateOrders { rank } | Self::EngineReturn { rank } => Hold::Engine(rank),
        }
    }
}

/// What a fault occupies while it lasts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Hold {
    Store,
    StoreAndTargets,
    StoreAndAgents,
    StoreLink(usize),
    AgentStoreLink(usize),
    Agent(usize),
    Agents,
    Engine(usize),
    Entry(usize),
    Entries,
    Target(usize),
    Targets,
    Key(usize),
    Keys,
    Nothing,
}

impl Hold {
    /// Whether two faults may not be active at once.
    pub(crate) fn excludes(self, other: Self) -> bool {
        match (self, other) {
            (Self::StoreAndTargets, Self::Store | Self::StoreAndTargets | Self::Target(_) | Self::Targets)
            | (Self::Store | Self::Target(_) | Self::Targets, Self::StoreAndTargets)
            | (
                Self::StoreAndAgents,
                Self::Store | Self::StoreAndTargets | Self::StoreAndAgents | Self::Agent(_) | Self::Agents,
            )
            | (Self::Store | Self::StoreAndTargets | Self::Agent(_) | Self::Agents, Self::StoreAndAgents)
            | (Self::Agents, Self::Agent(_))
            | (Self::Agent(_), Self::Agents)
            | (Self::Entries, Self::Entry(_))
            | (Self::Entry(_), Self::Entries)
            | (Self::Targets, Self::Target(_))
            | (Self::Target(_), Self::Targets)
            | (Self::Keys, Self::Key(_))
            | (Self::Key(_), Self::Keys)
            | (Self::Store, Self::StoreLink(_))
            | (Self::StoreLink(_), Self::Store) => true,
            _ => self == other,
        }
    }
}

fn draw_link(random: &mut ChaCha8Rng) -> Link {
    match random.random_range(0..5) {
        0 => Link::Slow(Duration::from_millis(random.random_range(SLOW))),
        1 => Link::Silent,
        2 => Link::CutUp,
        3 => Link::CutDown,
        _ => Link::Reset,
    }
}

fn draw_mood(random: &mut ChaCha8Rng) -> Mood {
    match random.random_range(0..3) {
        0 => Mood::Errors,
        1 => Mood::Full,
        _ => Mood::BreaksOff,
    }
}

/// Draws the faults of a round of `length`; faults may overlap.
pub(crate) fn plan(random: &mut ChaCha8Rng, length: Duration, plan: Plan, size: Size) -> Vec<Planned> {
    let mut planned = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += Duration::from_millis(random.random_range(PAUSE));
        let lasts = Duration::from_millis(random.random_range(LASTS));
        if at + lasts >= length {
            return planned;
        }
        let fault = match plan {
            Plan::Single => Fault::draw(random, size),
            Plan::Series => Fault::draw_series(random, size),
            Plan::Returns => Fault::draw_returns(random, size),
            Plan::Restores => Fault::draw_restores(random, size),
            Plan::Deadly => Fault::draw_deadly(random, size),
            Plan::Groups => Fault::draw_groups(random, size),
            Plan::Pressed => Fault::draw_pressed(random, size),
        };
        planned.push(Planned { fault, at, lasts });
    }
}
