//! Injects faults and undoes them.

use std::sync::Arc;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;

use crate::behavior::Behavior;
use crate::caller::{Caller, ConnectionUse};
use crate::environment::Environment;
use crate::event_log::{Change, FaultPeriod};
use crate::fault::{BeforeRestore, Fault, PlannedFault};
use crate::layout::{CRASH_BODY, CRASHING_PART_PREFIX, INITIAL_KEY_COUNT, LATER_KEY_COUNT};
use crate::proxy::Link;

/// Time after which the store drops the registration of a target that stops renewing it.
const REGISTRATION_TTL: Duration = Duration::from_secs(3);
/// Time after the store recovers within which running targets are registered again.
const REREGISTRATION_TIME: Duration = Duration::from_millis(1_500);
/// Time that a draining target keeps serving after the store has accepted its draining state.
const DRAIN_TIME: Duration = Duration::from_secs(4);

/// Longest outage of a store before it is restored from a snapshot, and time until other writers have written their
/// lost records again.
const MAX_STORE_OUTAGE: Duration = Duration::from_secs(3);
const REWRITE_DELAY: Duration = Duration::from_millis(1_500);
/// Interval at which targets renew their registrations.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(250);
/// Time within which at least one entry has read a record just written.
const READ_PROPAGATION_TIME: Duration = Duration::from_millis(400);

/// Time that a target is down after a crash.
const CRASH_DOWNTIME: Duration = Duration::from_millis(1_500);
/// Delay between two requests that crash their targets.
const CRASH_REQUEST_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which requests with a crashing part are sent beyond the duration of their fault: long enough to see whether
/// sound requests are served meanwhile.
const CRASHING_PART_TIME: Duration = Duration::from_secs(10);
/// Time for which callers reach one entry beyond the duration of their fault.
const BUSY_ENTRY_TIME: Duration = Duration::from_secs(6);
/// Time that a process of a series runs before it is killed or stopped again.
const UPTIME_BETWEEN_RESTARTS: Duration = Duration::from_millis(900);
/// Longest wait for a map switch, and interval at which the group is polled for one.
const MAX_MAP_SWITCH_WAIT: Duration = Duration::from_millis(1_500);
const MAP_SWITCH_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Time within which another agent has become the leader.
const TAKEOVER_TIME: Duration = Duration::from_secs(2);
/// Delay between two signals to one process, and from its start to the first signal.
const SIGNAL_DELAY: Duration = Duration::from_millis(40);
/// Delay between two configurations of a series.
const CONFIGURATION_DELAY: Duration = Duration::from_millis(60);

/// Runs one fault from beginning to end and records its period.
pub(crate) async fn inject(environment: Arc<Environment>, planned: PlannedFault) {
    let started_at = Instant::now();
    let index = {
        let mut event_log = environment.event_log.lock();
        let fault = planned.fault;
        // The fault may affect anything until it has ended.
        let ended_at = started_at + Duration::from_hours(1);
        event_log.fault_periods.push(FaultPeriod {
            fault,
            started_at,
            ended_at,
        });
        event_log.fault_periods.len() - 1
    };
    apply_fault(&environment, planned).await;
    environment.event_log.lock().fault_periods[index].ended_at = Instant::now();
}

async fn apply_fault(environment: &Environment, planned: PlannedFault) {
    let duration = planned.duration;
    match planned.fault {
        Fault::StoreRejecting => {
            environment.store.set_unavailable(true);
            tokio::time::sleep(duration).await;
            environment.store.set_unavailable(false);
        }
        Fault::StoreUnreachable => block_store(environment, duration).await,
        Fault::RegistrationsExpire => expire_registrations(environment, duration).await,
        Fault::StoreLink { entry, link } => {
            environment.store_proxies[entry].set(link);
            tokio::time::sleep(duration).await;
            environment.store_proxies[entry].set(Link::Open);
        }
        Fault::Kill { entry } => kill(environment, entry, 1, duration).await,
        Fault::KillSeries {
            entry,
            repeat_count,
            delay,
        } => kill(environment, entry, repeat_count, delay).await,
        Fault::KillAll { repeat_count, delay } => {
            let kills = (0..environment.size.entries).map(|entry| kill(environment, entry, repeat_count, delay));
            futures::future::join_all(kills).await;
        }
        Fault::StopSeries { entry, repeat_count } => stop_series(environment, entry, repeat_count).await,
        Fault::StopAll { repeat_count } => {
            let stops = (0..environment.size.entries).map(|entry| stop_series(environment, entry, repeat_count));
            futures::future::join_all(stops).await;
        }
        Fault::Freeze { entry } => freeze(environment, entry, duration).await,
        Fault::FreezeAll => {
            let freezes = (0..environment.size.entries).map(|entry| freeze(environment, entry, duration));
            futures::future::join_all(freezes).await;
        }
        Fault::Stop { entry } => {
            environment.stop(entry).await;
            restart(environment, entry).await;
        }
        Fault::HangUp { entry } => environment.signal(entry, Signal::SIGHUP).await,
        Fault::TargetLink { target, link } => {
            environment.targets[target].proxy.set(link);
            tokio::time::sleep(duration).await;
            environment.targets[target].proxy.set(Link::Open);
        }
        Fault::TargetBehavior { target, behavior } => {
            environment.targets[target].target.set_behavior(behavior);
            tokio::time::sleep(duration).await;
            environment.targets[target].target.set_behavior(Behavior::Healthy);
        }
        Fault::AllTargets { behavior } => {
            environment
                .targets
                .iter()
                .for_each(|handle| handle.target.set_behavior(behavior));
            tokio::time::sleep(duration).await;
            environment
                .targets
                .iter()
                .for_each(|handle| handle.target.set_behavior(Behavior::Healthy));
        }
        Fault::KeyChanges { repeat_count } => change_keys(environment, repeat_count).await,
        Fault::RestartTarget { target, expired } => restart_target(environment, target, expired, duration).await,
        Fault::RestartAllTargets { expired } => {
            let restarts = (0..environment.size.targets)
                .map(|target| restart_target(environment, target, expired, REREGISTRATION_TIME));
            futures::future::join_all(restarts).await;
        }
        Fault::ForeignRecords { target } => {
            environment.add_foreign_records(target);
            tokio::time::sleep(duration).await;
            environment.remove_foreign_records();
        }
        Fault::Restore { snapshot_age, before } => restore(environment, snapshot_age, before, duration).await,
        Fault::CrashRequests { entry, route } => send_crash_requests(environment, entry, route, duration).await,
        Fault::CrashingPart { part } => send_crashing_part(environment, part, duration).await,
        Fault::BusyEntry { entry } => {
            environment.busy_entry.set(Some(entry));
            tokio::time::sleep(duration + BUSY_ENTRY_TIME).await;
            environment.busy_entry.set(None);
        }
        Fault::DrainTarget { target } => drain(environment, target).await,
        Fault::DrainByHeader { target } => drain_by_header(environment, target).await,
        Fault::CrashTarget { target } => crash_target(environment, target, duration).await,
        Fault::Stall => {}
        Fault::Revoke { key } => revoke(environment, key).await,
        Fault::RevokeDuringOutage { key } => {
            let outage = block_store(environment, environment.bounds.revocation_timeout + duration);
            tokio::join!(outage, revoke(environment, key));
        }
        Fault::GrantDuringOutage { key } => {
            let outage = block_store(environment, environment.bounds.apply_timeout + duration);
            tokio::join!(outage, grant(environment, key));
        }
        group_fault => apply_group_fault(environment, group_fault, duration).await,
    }
}

/// Applies a fault of the group of engines or of its agents.
async fn apply_group_fault(environment: &Environment, fault: Fault, duration: Duration) {
    match fault {
        Fault::KillAgent { rank } => kill(environment, environment.size.agent_index(rank), 1, duration).await,
        Fault::FreezeAgent { rank } => freeze(environment, environment.size.agent_index(rank), duration).await,
        Fault::KillLeader => kill_leader(environment, duration).await,
        Fault::FreezeLeader => {
            await_map_switch(environment).await;
            if let Some(leader) = leader(environment) {
                freeze(environment, leader, duration).await;
            }
        }
        Fault::KillAgents => {
            let kills = (0..environment.size.ranks)
                .map(|rank| kill(environment, environment.size.agent_index(rank), 1, Duration::ZERO));
            futures::future::join_all(kills).await;
        }
        Fault::AgentStoreLink { rank, link } => {
            let proxy = &environment.store_proxies[environment.size.agent_index(rank)];
            proxy.set(link);
            tokio::time::sleep(duration).await;
            proxy.set(Link::Open);
        }
        Fault::UnansweredOrders { rank } => {
            let deadline = Instant::now() + duration;
            environment.engines.group().withhold_responses(rank, deadline);
            tokio::time::sleep(duration).await;
        }
        Fault::RestartEngine { rank } => {
            environment.engines.group().restart(rank, Instant::now());
            (0..environment.size.ranks).for_each(|rank| environment.register_rank(rank));
        }
        _ => {}
    }
}

/// Sends a request that crashes its target again and again, each time under a new id.
async fn send_crash_requests(environment: &Environment, entry: usize, route: usize, duration: Duration) {
    let mut caller = Caller::new(environment, entry, ConnectionUse::PerRequest, ChaCha8Rng::from_os_rng());
    caller.body = Some(CRASH_BODY);
    let deadline = Instant::now() + duration;
    while Instant::now() < deadline {
        caller.send(route, "key-0").await;
        tokio::time::sleep(CRASH_REQUEST_INTERVAL).await;
    }
}

/// Sends requests that share a crashing part, and the first part with the requests of `key-0`, to all entries in turn.
async fn send_crashing_part(environment: &Environment, part: u16, duration: Duration) {
    let deadline = Instant::now() + duration + CRASHING_PART_TIME;
    let stream_routes = [2, 3];
    for number in 0_usize.. {
        if Instant::now() >= deadline {
            return;
        }
        let entry = number % environment.size.entries;
        let mut caller = Caller::new(environment, entry, ConnectionUse::PerRequest, ChaCha8Rng::from_os_rng());
        caller.crashing_part = Some(format!("{CRASHING_PART_PREFIX}{part:04x}"));
        caller.send(stream_routes[number % stream_routes.len()], "key-0").await;
        tokio::time::sleep(CRASH_REQUEST_INTERVAL).await;
    }
}

/// Replaces target `target` whenever it crashes and registers the new incarnation; never returns.
pub(crate) async fn replace_after_crashes(environment: Arc<Environment>, target: usize) {
    let handle = &environment.targets[target];
    let mut crashes = handle.target.crashes.subscribe();
    while crashes.changed().await.is_ok() {
        let started_at = Instant::now();
        handle.proxy.set(Link::Closed);
        let id = handle.target.incarnation();
        tokio::time::sleep(CRASH_DOWNTIME).await;
        environment.start_next_incarnation(target).await;
        handle.proxy.set(Link::Open);
        environment.register(target, false);
        // The entries are not to blame for requests that this crash ends.
        let fault = Fault::CrashTarget { target };
        environment.event_log.lock().fault_periods.push(FaultPeriod {
            fault,
            started_at,
            ended_at: Instant::now(),
        });
        let environment = Arc::clone(&environment);
        tokio::spawn(async move {
            tokio::time::sleep(REGISTRATION_TTL).await;
            environment.unregister(target, id);
        });
    }
}

/// Renews all registrations of targets at an interval, so that a list restored from a snapshot soon grows past its old
/// end.
pub(crate) async fn renew_registrations(environment: Arc<Environment>, stopped: watch::Receiver<bool>) {
    while !*stopped.borrow() {
        environment.renew_registrations();
        tokio::time::sleep(RENEWAL_INTERVAL).await;
    }
}

/// Kills a process and restarts it after `delay`, `repeat_count` times.
async fn kill(environment: &Environment, process: usize, repeat_count: u32, delay: Duration) {
    for _ in 0..repeat_count {
        environment.kill(process).await;
        tokio::time::sleep(delay).await;
        restart(environment, process).await;
        // Callers reach the process before the next kill.
        tokio::time::sleep(UPTIME_BETWEEN_RESTARTS).await;
    }
}

/// Process index of the agent that leads the group, as far as the store knows.
fn leader(environment: &Environment) -> Option<usize> {
    let rank = environment.store.leader().filter(|rank| *rank < environment.size.ranks);
    rank.map(|rank| environment.size.agent_index(rank))
}

/// Waits until the group switches its map, up to `MAX_MAP_SWITCH_WAIT`: the worst time to lose the leader.
async fn await_map_switch(environment: &Environment) {
    let started_at = Instant::now();
    while !environment.engines.group().is_switching_map() && started_at.elapsed() < MAX_MAP_SWITCH_WAIT {
        tokio::time::sleep(MAP_SWITCH_POLL_INTERVAL).await;
    }
}

async fn kill_leader(environment: &Environment, delay: Duration) {
    await_map_switch(environment).await;
    if let Some(leader) = leader(environment) {
        kill(environment, leader, 1, delay).await;
    }
}

/// Sends overlapping signals: SIGHUP before, during and after the stop, and a second SIGTERM while the process stops.
/// The new process gets a SIGHUP as early as possible.
async fn stop_series(environment: &Environment, entry: usize, repeat_count: u32) {
    for _ in 0..repeat_count {
        environment.signal(entry, Signal::SIGHUP).await;
        let second_stop = async {
            tokio::time::sleep(SIGNAL_DELAY).await;
            environment.signal(entry, Signal::SIGHUP).await;
            environment.signal(entry, Signal::SIGTERM).await;
        };
        tokio::join!(environment.stop(entry), second_stop);
        restart(environment, entry).await;
        tokio::time::sleep(SIGNAL_DELAY).await;
        environment.signal(entry, Signal::SIGHUP).await;
        tokio::time::sleep(UPTIME_BETWEEN_RESTARTS).await;
    }
}

async fn freeze(environment: &Environment, process: usize, duration: Duration) {
    environment.signal(process, Signal::SIGSTOP).await;
    tokio::time::sleep(duration).await;
    environment.signal(process, Signal::SIGCONT).await;
}

/// Writes configurations in quick succession: one revokes a key, one grants a key, the others change nothing. Most keys
/// stay, so that most requests are served.
async fn change_keys(environment: &Environment, repeat_count: u32) {
    revoke(environment, 1 + repeat_count as usize % (INITIAL_KEY_COUNT - 1)).await;
    for _ in 0..repeat_count {
        environment.bump_configuration_version().await;
        tokio::time::sleep(CONFIGURATION_DELAY).await;
    }
    grant(environment, INITIAL_KEY_COUNT + repeat_count as usize % LATER_KEY_COUNT).await;
}

async fn revoke(environment: &Environment, key: usize) {
    let key = format!("key-{key}");
    if environment.revoke(&key).await {
        environment.event_log.record_acknowledgement(Change::Revoked(key));
    }
}

async fn grant(environment: &Environment, key: usize) {
    let key = format!("key-{key}");
    if environment.grant(&key).await {
        environment.event_log.record_acknowledgement(Change::Granted(key));
    }
}

async fn restart(environment: &Environment, process: usize) {
    if let Err(details) = environment.start_process(process).await {
        environment.record_incident(process, details);
    }
}

async fn block_store(environment: &Environment, duration: Duration) {
    for proxy in &environment.store_proxies {
        proxy.set(Link::Blackhole);
    }
    tokio::time::sleep(duration).await;
    for proxy in &environment.store_proxies {
        proxy.set(Link::Open);
    }
}

/// Makes the store unavailable until the registrations of all targets have expired; they are registered again soon
/// after.
async fn expire_registrations(environment: &Environment, duration: Duration) {
    environment.store.set_unavailable(true);
    tokio::time::sleep(duration + REGISTRATION_TTL).await;
    for (index, handle) in environment.targets.iter().enumerate() {
        environment.unregister(index, handle.target.incarnation());
    }
    environment.store.set_unavailable(false);
    tokio::time::sleep(REREGISTRATION_TIME).await;
    for index in 0..environment.targets.len() {
        environment.register(index, false);
    }
}

/// Makes the store unavailable and restores it from an older snapshot; operators and targets soon write their lost
/// records again.
async fn restore(environment: &Environment, snapshot_age: Duration, before: BeforeRestore, duration: Duration) {
    let drained = match before {
        BeforeRestore::Nothing => None,
        BeforeRestore::Revoke { key } => {
            revoke(environment, key).await;
            None
        }
        BeforeRestore::Drain { target } => {
            environment.register(target, true);
            environment
                .event_log
                .record_acknowledgement(Change::Draining(environment.targets[target].target.incarnation()));
            Some(target)
        }
        BeforeRestore::Takeover => {
            kill_leader(environment, TAKEOVER_TIME).await;
            None
        }
    };
    tokio::time::sleep(READ_PROPAGATION_TIME).await;
    let snapshot_at = Instant::now().checked_sub(snapshot_age).unwrap_or_else(Instant::now);
    let claimant = leader(environment);
    environment.store.set_unavailable(true);
    tokio::time::sleep(duration.min(MAX_STORE_OUTAGE)).await;
    let lost_records = environment.store.restore(snapshot_at);
    let restored_at = Instant::now();
    environment.store.set_unavailable(false);
    if before == BeforeRestore::Takeover {
        // The current leader's claim is lost: the store knows an earlier leader or none.
        if let Some(leader) = claimant {
            kill(environment, leader, 1, TAKEOVER_TIME).await;
        }
    }
    tokio::time::sleep(REWRITE_DELAY).await;
    for record in lost_records {
        environment.store.add_unless_rewritten(record, restored_at);
    }
    environment.event_log.reset_acknowledgements(snapshot_at);
    if let Some(target) = drained {
        tokio::time::sleep(DRAIN_TIME).await;
        environment.unregister(target, environment.targets[target].target.incarnation());
        environment.start_next_incarnation(target).await;
        environment.register(target, false);
    }
}

async fn drain(environment: &Environment, target: usize) {
    let handle = &environment.targets[target];
    let id = handle.target.incarnation();
    environment.register(target, true);
    environment
        .event_log
        .record_acknowledgement(Change::Draining(id.clone()));
    tokio::time::sleep(DRAIN_TIME).await;
    environment.unregister(target, id);
    environment.start_next_incarnation(target).await;
    environment.register(target, false);
}

/// Drains a target that announces it only in its responses; the list changes once the target has terminated.
async fn drain_by_header(environment: &Environment, target: usize) {
    let handle = &environment.targets[target];
    handle.target.set_behavior(Behavior::Draining);
    tokio::time::sleep(DRAIN_TIME).await;
    environment.unregister(target, handle.target.incarnation());
    environment.start_next_incarnation(target).await;
    handle.target.set_behavior(Behavior::Healthy);
    environment.register(target, false);
}

/// Terminates a target and restarts it under its id, at once or after its registration has expired.
async fn restart_target(environment: &Environment, target: usize, expired: bool, duration: Duration) {
    let handle = &environment.targets[target];
    handle.proxy.set(Link::Reset);
    if expired {
        tokio::time::sleep(REGISTRATION_TTL).await;
        environment.unregister(target, handle.target.incarnation());
        tokio::time::sleep(duration).await;
    }
    handle.target.restart();
    handle.proxy.set(Link::Open);
    environment.register(target, false);
}

async fn crash_target(environment: &Environment, target: usize, duration: Duration) {
    let handle = &environment.targets[target];
    let id = handle.target.incarnation();
    handle.proxy.set(Link::Reset);
    tokio::time::sleep(REGISTRATION_TTL).await;
    environment.unregister(target, id);
    tokio::time::sleep(duration).await;
    environment.start_next_incarnation(target).await;
    handle.proxy.set(Link::Open);
    environment.register(target, false);
}
