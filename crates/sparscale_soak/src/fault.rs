//! Faults of a round, drawn from its seed.

use std::time::Duration;

use rand::Rng as _;
use rand_chacha::ChaCha8Rng;

use crate::behavior::Behavior;
use crate::layout::{INITIAL_KEY_COUNT, LATER_KEY_COUNT, ROUTES, Size};
use crate::proxy::Link;

/// A fault to inject, or one that the soak detects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The store rejects all calls.
    StoreRejecting,
    /// No process can reach the store.
    StoreUnreachable,
    /// The store rejects all calls, and the registrations of targets expire.
    RegistrationsExpire,
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
    TargetBehavior { target: usize, behavior: Behavior },
    /// A target announces in its registration that it is draining, terminates and is replaced.
    DrainTarget { target: usize },
    /// A target crashes, its registration expires later, and it is replaced.
    CrashTarget { target: usize },
    /// A key is revoked; the first key never is.
    Revoke { key: usize },
    /// A key is revoked while no entry reaches the store, for longer than an entry may trust its copy of a key.
    RevokeDuringOutage { key: usize },
    /// The machine ran nothing for a while; detected by the soak, never drawn.
    Stall,
    /// A key is granted while no entry reaches the store.
    GrantDuringOutage { key: usize },
    /// An entry is killed and restarted `repeat_count` times, after `delay` each time.
    KillSeries {
        entry: usize,
        repeat_count: u32,
        delay: Duration,
    },
    /// All entries are killed and restarted in series at once.
    KillAll { repeat_count: u32, delay: Duration },
    /// An entry gets a SIGHUP and two SIGTERMs and is restarted, `repeat_count` times.
    StopSeries { entry: usize, repeat_count: u32 },
    /// All entries are stopped in series at once; their stops overlap.
    StopAll { repeat_count: u32 },
    /// All entries are frozen.
    FreezeAll,
    /// All targets misbehave in the same way.
    AllTargets { behavior: Behavior },
    /// Keys are revoked and granted in quick succession.
    KeyChanges { repeat_count: u32 },
    /// A target terminates and restarts under its id; if `expired`, after its registration has expired.
    RestartTarget { target: usize, expired: bool },
    /// All targets restart under their ids.
    RestartAllTargets { expired: bool },
    /// A request that crashes every target that runs it reaches an entry again and again.
    CrashRequests { entry: usize, route: usize },
    /// Requests that share a part of their prompt, which crashes every target, reach all entries again and again.
    CrashingPart { part: u16 },
    /// Nearly all new connections of callers reach one entry.
    BusyEntry { entry: usize },
    /// The store is briefly unavailable and restored from a snapshot of age `snapshot_age`; `before` happens right
    /// before.
    Restore {
        snapshot_age: Duration,
        before: BeforeRestore,
    },
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
    UnansweredOrders { rank: usize },
    /// A rank's engine restarts, and the group is formed anew.
    RestartEngine { rank: usize },
    /// A target announces in its responses, but not in its registration, that it is draining, and is replaced.
    DrainByHeader { target: usize },
    /// Records of another writer appear in the store's list of targets.
    ForeignRecords { target: usize },
}

/// What is written right before the store is restored, so that the snapshot lacks it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BeforeRestore {
    /// Nothing is written.
    Nothing,
    /// A key is revoked.
    Revoke { key: usize },
    /// A target announces that it is draining.
    Drain { target: usize },
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
    /// A group of engines whose agents are killed, are frozen or lose their link to the store, which is restored from
    /// older snapshots.
    Groups,
    /// Single faults, requests that crash the targets that run them, and restarts of all entries.
    Deadly,
    /// Single faults, parts of prompts that crash targets, responses that end with their connection, and restarts of all
    /// entries.
    Parts,
    /// Single faults, targets that end their responses with their connections and reset most of them, and targets that
    /// restart under their ids.
    Interrupted,
    /// Callers that all reach one entry, while keys change and processes get SIGHUPs.
    Crowded,
    /// Single faults, targets that limit their rate, request a backoff or announce that they drain, and restarts of all
    /// entries.
    Pressed,
}

/// A fault and when it is injected.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PlannedFault {
    pub(crate) fault: Fault,
    /// Time from the start of the round.
    pub(crate) offset: Duration,
    /// Time until the fault is undone, if it doesn't end by itself.
    pub(crate) duration: Duration,
}

/// Time between the beginnings of two faults, in milliseconds.
const FAULT_INTERVAL_MS: std::ops::Range<u64> = 200..1_500;
/// Duration of a fault, in milliseconds; the longest exceed every limit on the age of observed state.
const FAULT_DURATION_MS: std::ops::Range<u64> = 300..8_000;
/// Age of the snapshot that a store is restored from, in milliseconds.
const SNAPSHOT_AGE_MS: std::ops::Range<u64> = 1_000..10_000;
/// Delay on a slow link, in milliseconds.
const LINK_DELAY_MS: std::ops::Range<u64> = 20..300;

/// Time that a killed process of a series stays down, in milliseconds; half of the series have none.
const KILL_DELAY_MS: std::ops::Range<u64> = 100..2_500;

impl Fault {
    fn draw_series(random: &mut ChaCha8Rng, size: Size) -> Self {
        let entry = random.random_range(0..size.entries);
        let delay = Duration::from_millis(random.random_range(KILL_DELAY_MS));
        let delay = if random.random() { delay } else { Duration::ZERO };
        let repeat_count = random.random_range(1..6);
        match random.random_range(0..14) {
            0 | 1 => Self::KillSeries {
                entry,
                repeat_count,
                delay,
            },
            2 | 3 => Self::KillAll { repeat_count, delay },
            4 => Self::StopSeries { entry, repeat_count },
            5 => Self::StopAll {
                repeat_count: repeat_count.min(2),
            },
            6 => Self::FreezeAll,
            7..=9 => Self::AllTargets {
                behavior: draw_behavior(random),
            },
            10 => Self::KeyChanges {
                repeat_count: repeat_count * 4,
            },
            _ => Self::draw(random, size),
        }
    }

    fn draw_deadly(random: &mut ChaCha8Rng, size: Size) -> Self {
        let entry = random.random_range(0..size.entries);
        let route = random.random_range(0..ROUTES.len());
        match random.random_range(0..8) {
            0..=3 => Self::CrashRequests { entry, route },
            4 => Self::KillAll {
                repeat_count: 1,
                delay: Duration::ZERO,
            },
            _ => Self::draw(random, size),
        }
    }

    fn draw_parts(random: &mut ChaCha8Rng, size: Size) -> Self {
        let entry = random.random_range(0..size.entries);
        match random.random_range(0..10) {
            0..=3 => Self::CrashingPart { part: random.random() },
            4 => Self::KillAll {
                repeat_count: 1,
                delay: Duration::ZERO,
            },
            5 => Self::Kill { entry },
            6 | 7 => Self::TargetBehavior {
                target: random.random_range(0..size.targets),
                behavior: Behavior::Undelimited,
            },
            _ => Self::draw(random, size),
        }
    }

    fn draw_interrupted(random: &mut ChaCha8Rng, size: Size) -> Self {
        let target = random.random_range(0..size.targets);
        match random.random_range(0..10) {
            0..=2 => Self::TargetBehavior {
                target,
                behavior: Behavior::Resetting,
            },
            3 => Self::AllTargets {
                behavior: Behavior::Resetting,
            },
            4 | 5 => Self::AllTargets {
                behavior: Behavior::Undelimited,
            },
            6 | 7 => Self::RestartTarget { target, expired: false },
            _ => Self::draw(random, size),
        }
    }

    fn draw_crowded(random: &mut ChaCha8Rng, size: Size) -> Self {
        let entry = random.random_range(0..size.entries);
        match random.random_range(0..4) {
            0 | 1 => Self::BusyEntry { entry },
            2 => Self::HangUp { entry },
            _ => Self::Revoke {
                key: random.random_range(1..INITIAL_KEY_COUNT),
            },
        }
    }

    fn draw_pressed(random: &mut ChaCha8Rng, size: Size) -> Self {
        let target = random.random_range(0..size.targets);
        let behavior = if random.random() {
            Behavior::RateLimited
        } else {
            Behavior::RequestingBackoff
        };
        match random.random_range(0..10) {
            0..=3 => Self::TargetBehavior { target, behavior },
            4 => Self::AllTargets { behavior },
            5 | 6 => Self::DrainByHeader { target },
            7 => Self::KillAll {
                repeat_count: 1,
                delay: Duration::ZERO,
            },
            _ => Self::draw(random, size),
        }
    }

    fn draw_restores(random: &mut ChaCha8Rng, size: Size) -> Self {
        let snapshot_age = Duration::from_millis(random.random_range(SNAPSHOT_AGE_MS));
        let before = match random.random_range(0..4) {
            0 => BeforeRestore::Revoke {
                key: random.random_range(1..INITIAL_KEY_COUNT),
            },
            1 => BeforeRestore::Drain {
                target: random.random_range(0..size.targets),
            },
            _ => BeforeRestore::Nothing,
        };
        match random.random_range(0..8) {
            0..=3 => Self::Restore { snapshot_age, before },
            4 => Self::draw_deadly(random, size),
            _ => Self::draw(random, size),
        }
    }

    fn draw_groups(random: &mut ChaCha8Rng, size: Size) -> Self {
        let snapshot_age = Duration::from_millis(random.random_range(SNAPSHOT_AGE_MS));
        let rank = random.random_range(0..size.ranks);
        match random.random_range(0..16) {
            0..=2 => Self::Restore {
                snapshot_age,
                before: BeforeRestore::Takeover,
            },
            3 => Self::Restore {
                snapshot_age,
                before: BeforeRestore::Nothing,
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
            12 | 13 => Self::UnansweredOrders { rank },
            14 => Self::RestartEngine { rank },
            _ => Self::draw(random, size),
        }
    }

    fn draw_returns(random: &mut ChaCha8Rng, size: Size) -> Self {
        let target = random.random_range(0..size.targets);
        let expired = random.random();
        match random.random_range(0..10) {
            0..=2 => Self::RestartTarget { target, expired },
            3 => Self::RestartAllTargets { expired },
            4 | 5 => Self::ForeignRecords { target },
            6 => Self::KillAll {
                repeat_count: 1,
                delay: Duration::ZERO,
            },
            _ => Self::draw(random, size),
        }
    }

    fn draw(random: &mut ChaCha8Rng, size: Size) -> Self {
        let entry = random.random_range(0..size.entries);
        let target = random.random_range(0..size.targets);
        match random.random_range(0..16) {
            0 => Self::StoreRejecting,
            1 => Self::StoreUnreachable,
            2 => Self::RegistrationsExpire,
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
            10 => Self::TargetBehavior {
                target,
                behavior: draw_behavior(random),
            },
            11 => Self::DrainTarget { target },
            12 => Self::CrashTarget { target },
            13 => Self::Revoke {
                key: random.random_range(1..INITIAL_KEY_COUNT),
            },
            14 => Self::RevokeDuringOutage {
                key: random.random_range(1..INITIAL_KEY_COUNT),
            },
            _ => Self::GrantDuringOutage {
                key: random.random_range(INITIAL_KEY_COUNT..INITIAL_KEY_COUNT + LATER_KEY_COUNT),
            },
        }
    }

    /// The resource that the fault occupies; two faults never occupy the same one at once.
    pub(crate) fn resource(self) -> Resource {
        match self {
            Self::StoreRejecting
            | Self::StoreUnreachable
            | Self::RevokeDuringOutage { .. }
            | Self::GrantDuringOutage { .. } => Resource::Store,
            Self::Restore {
                before: BeforeRestore::Takeover,
                ..
            } => Resource::StoreAndAgents,
            Self::RegistrationsExpire | Self::Restore { .. } => Resource::StoreAndTargets,
            Self::StoreLink { entry, .. } => Resource::StoreLink(entry),
            Self::Kill { entry }
            | Self::Freeze { entry }
            | Self::Stop { entry }
            | Self::HangUp { entry }
            | Self::KillSeries { entry, .. }
            | Self::StopSeries { entry, .. } => Resource::Entry(entry),
            Self::KillAll { .. } | Self::StopAll { .. } | Self::FreezeAll => Resource::Entries,
            Self::AllTargets { .. } | Self::RestartAllTargets { .. } => Resource::Targets,
            Self::KeyChanges { .. } => Resource::Keys,
            Self::TargetLink { target, .. }
            | Self::TargetBehavior { target, .. }
            | Self::DrainTarget { target }
            | Self::DrainByHeader { target }
            | Self::CrashTarget { target }
            | Self::RestartTarget { target, .. } => Resource::Target(target),
            Self::Stall | Self::ForeignRecords { .. } | Self::CrashRequests { .. } => Resource::Nothing,
            Self::CrashingPart { .. } => Resource::CrashingPart,
            Self::BusyEntry { .. } => Resource::Callers,
            Self::Revoke { key } => Resource::Key(key),
            Self::KillAgent { rank } | Self::FreezeAgent { rank } => Resource::Agent(rank),
            Self::KillLeader | Self::FreezeLeader | Self::KillAgents => Resource::Agents,
            Self::AgentStoreLink { rank, .. } => Resource::AgentStoreLink(rank),
            Self::UnansweredOrders { rank } | Self::RestartEngine { rank } => Resource::Engine(rank),
        }
    }
}

/// What a fault occupies while it lasts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Resource {
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
    CrashingPart,
    Callers,
    Nothing,
}

impl Resource {
    /// Whether two faults may not be active at once.
    pub(crate) fn conflicts_with(self, other: Self) -> bool {
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
        0 => Link::Delayed(Duration::from_millis(random.random_range(LINK_DELAY_MS))),
        1 => Link::Blackhole,
        2 => Link::DropUpstream,
        3 => Link::DropDownstream,
        _ => Link::Reset,
    }
}

fn draw_behavior(random: &mut ChaCha8Rng) -> Behavior {
    match random.random_range(0..3) {
        0 => Behavior::ServerErrors,
        1 => Behavior::Rejecting,
        _ => Behavior::AbortingBody,
    }
}

/// Draws the faults of a round of `length`; faults may overlap.
pub(crate) fn draw_faults(random: &mut ChaCha8Rng, length: Duration, plan: Plan, size: Size) -> Vec<PlannedFault> {
    let mut planned = Vec::new();
    let mut offset = Duration::ZERO;
    loop {
        offset += Duration::from_millis(random.random_range(FAULT_INTERVAL_MS));
        let duration = Duration::from_millis(random.random_range(FAULT_DURATION_MS));
        if offset + duration >= length {
            return planned;
        }
        let fault = match plan {
            Plan::Single => Fault::draw(random, size),
            Plan::Series => Fault::draw_series(random, size),
            Plan::Returns => Fault::draw_returns(random, size),
            Plan::Restores => Fault::draw_restores(random, size),
            Plan::Deadly => Fault::draw_deadly(random, size),
            Plan::Parts => Fault::draw_parts(random, size),
            Plan::Interrupted => Fault::draw_interrupted(random, size),
            Plan::Crowded => Fault::draw_crowded(random, size),
            Plan::Groups => Fault::draw_groups(random, size),
            Plan::Pressed => Fault::draw_pressed(random, size),
        };
        planned.push(PlannedFault {
            fault,
            offset,
            duration,
        });
    }
}
