//! Injects faults and undoes them.

use std::sync::Arc;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;

use crate::caller::{Caller, Habit};
use crate::fault::{Before, Fault, Planned};
use crate::ledger::{Change, Trouble};
use crate::mood::Mood;
use crate::places::{DEADLY, KEYS, LATER_KEYS};
use crate::proxy::Link;
use crate::stage::Stage;

/// Time after which the store drops the registration of a target that stops renewing it.
const LAPSE: Duration = Duration::from_secs(3);
/// Time after the store recovers within which running targets are registered again.
const RETURN: Duration = Duration::from_millis(1_500);
/// Time that a draining target keeps serving after the store has accepted its draining state.
const SERVES_ON: Duration = Duration::from_secs(4);

/// Longest outage of a store before it is restored from a snapshot, and time until other writers have written their
/// lost records again.
const MOST_AWAY: Duration = Duration::from_secs(3);
const WRITTEN_AGAIN: Duration = Duration::from_millis(1_500);
/// Interval at which targets renew their registrations.
const HEARTBEAT: Duration = Duration::from_millis(250);
/// Time within which at least one entry has read a record just written.
const READ: Duration = Duration::from_millis(400);

/// Time that a target is down after a crash.
const DOWN: Duration = Duration::from_millis(1_500);
/// Delay between two requests that crash their targets.
const BETWEEN_DEADLY: Duration = Duration::from_millis(250);
/// Time that a process of a series runs before it is killed or stopped again.
const LIVES: Duration = Duration::from_millis(900);
/// Longest wait for a map switch, and interval at which the group is polled for one.
const BAD_MOMENT: Duration = Duration::from_millis(1_500);
const GLANCE: Duration = Duration::from_millis(1);
/// Time within which another agent has become the leader.
const FOLLOWED: Duration = Duration::from_secs(2);
/// Delay between two signals to one process, and from its start to the first signal.
const BETWEEN_SIGNALS: Duration = Duration::from_millis(40);
/// Delay between two configurations of a series.
const BETWEEN_CHANGES: Duration = Duration::from_millis(60);

/// Runs one fault from beginning to end and records its period.
pub(crate) async fn play(stage: Arc<Stage>, planned: Planned) {
    let from = Instant::now();
    let index = {
        let mut ledger = stage.book.open();
        let fault = planned.fault;
        // The fault may affect anything until it has ended.
        let to = from + Duration::from_hours(1);
        ledger.troubles.push(Trouble { fault, from, to });
        ledger.troubles.len() - 1
    };
    act(&stage, planned).await;
    stage.book.open().troubles[index].to = Instant::now();
}

async fn act(stage: &Stage, planned: Planned) {
    let lasts = planned.lasts;
    match planned.fault {
        Fault::StoreBusy => {
            stage.store.set_busy(true);
            tokio::time::sleep(lasts).await;
            stage.store.set_busy(false);
        }
        Fault::StoreSilent => silence_store(stage, lasts).await,
        Fault::StoreLapse => lapse(stage, lasts).await,
        Fault::StoreLink { entry, link } => {
            stage.store_proxies[entry].set(link);
            tokio::time::sleep(lasts).await;
            stage.store_proxies[entry].set(Link::Open);
        }
        Fault::Kill { entry } => kill(stage, entry, 1, lasts).await,
        Fault::KillSeries { entry, times, pause } => kill(stage, entry, times, pause).await,
        Fault::KillAll { times, pause } => {
            let kills = (0..stage.size.entries).map(|entry| kill(stage, entry, times, pause));
            futures::future::join_all(kills).await;
        }
        Fault::StopSeries { entry, times } => stop_series(stage, entry, times).await,
        Fault::StopAll { times } => {
            let stops = (0..stage.size.entries).map(|entry| stop_series(stage, entry, times));
            futures::future::join_all(stops).await;
        }
        Fault::Freeze { entry } => freeze(stage, entry, lasts).await,
        Fault::FreezeAll => {
            let freezes = (0..stage.size.entries).map(|entry| freeze(stage, entry, lasts));
            futures::future::join_all(freezes).await;
        }
        Fault::Stop { entry } => {
            stage.stop(entry).await;
            restart(stage, entry).await;
        }
        Fault::HangUp { entry } => stage.signal(entry, Signal::SIGHUP).await,
        Fault::TargetLink { target, link } => {
            stage.targets[target].proxy.set(link);
            tokio::time::sleep(lasts).await;
            stage.targets[target].proxy.set(Link::Open);
        }
        Fault::TargetMood { target, mood } => {
            stage.targets[target].target.set_mood(mood);
            tokio::time::sleep(lasts).await;
            stage.targets[target].target.set_mood(Mood::Well);
        }
        Fault::AllTargets { mood } => {
            stage.targets.iter().for_each(|place| place.target.set_mood(mood));
            tokio::time::sleep(lasts).await;
            stage.targets.iter().for_each(|place| place.target.set_mood(Mood::Well));
        }
        Fault::Changes { times } => change(stage, times).await,
        Fault::Return { target, lapsed } => come_back(stage, target, lapsed, lasts).await,
        Fault::ReturnAll { lapsed } => {
            let all = (0..stage.size.targets).map(|target| come_back(stage, target, lapsed, RETURN));
            futures::future::join_all(all).await;
        }
        Fault::Foreign { target } => {
            stage.add_foreign(target);
            tokio::time::sleep(lasts).await;
            stage.drop_foreign();
        }
        Fault::Restore { copy, before } => restore(stage, copy, before, lasts).await,
        Fault::Deadly { entry, route } => send_deadly(stage, entry, route, lasts).await,
        Fault::Leave { target } => leave(stage, target).await,
        Fault::SaysLeaving { target } => say_leaving(stage, target).await,
        Fault::Die { target } => die(stage, target, lasts).await,
        Fault::Stall => {}
        Fault::Revoke { key } => revoke(stage, key).await,
        Fault::RevokeUnseen { key } => {
            let unseen = silence_store(stage, stage.bounds.revoked + lasts);
            tokio::join!(unseen, revoke(stage, key));
        }
        Fault::GrantUnseen { key } => {
            let unseen = silence_store(stage, stage.bounds.applied + lasts);
            tokio::join!(unseen, grant(stage, key));
        }
        of_group => act_on_group(stage, of_group, lasts).await,
    }
}

/// Applies a fault of the group of engines or of its agents.
async fn act_on_group(stage: &Stage, fault: Fault, lasts: Duration) {
    match fault {
        Fault::KillAgent { rank } => kill(stage, stage.size.agent(rank), 1, lasts).await,
        Fault::FreezeAgent { rank } => freeze(stage, stage.size.agent(rank), lasts).await,
        Fault::KillLeader => kill_leader(stage, lasts).await,
        Fault::FreezeLeader => {
            await_bad_moment(stage).await;
            if let Some(leader) = leader(stage) {
                freeze(stage, leader, lasts).await;
            }
        }
        Fault::KillAgents => {
            let kills = (0..stage.size.ranks).map(|rank| kill(stage, stage.size.agent(rank), 1, Duration::ZERO));
            futures::future::join_all(kills).await;
        }
        Fault::AgentStoreLink { rank, link } => {
            let proxy = &stage.store_proxies[stage.size.agent(rank)];
            proxy.set(link);
            tokio::time::sleep(lasts).await;
            proxy.set(Link::Open);
        }
        Fault::LateOrders { rank } => {
            let until = Instant::now() + lasts;
            stage.engines.group().leave_unanswered(rank, until);
            tokio::time::sleep(lasts).await;
        }
        Fault::EngineReturn { rank } => {
            stage.engines.group().restart(rank, Instant::now());
            (0..stage.size.ranks).for_each(|rank| stage.list_rank(rank));
        }
        _ => {}
    }
}

/// Sends a request that crashes its target again and again, each time under a new id.
async fn send_deadly(stage: &Stage, entry: usize, route: usize, lasts: Duration) {
    let mut caller = Caller::new(stage, entry, Habit::Opens, ChaCha8Rng::from_os_rng());
    caller.body = Some(DEADLY);
    let until = Instant::now() + lasts;
    while Instant::now() < until {
        caller.ask(route, "key-0").await;
        tokio::time::sleep(BETWEEN_DEADLY).await;
    }
}

/// Replaces target `target` whenever it crashes and registers the new incarnation; never returns.
pub(crate) async fn crash(stage: Arc<Stage>, target: usize) {
    let place = &stage.targets[target];
    let mut crashes = place.target.crashes.subscribe();
    while crashes.changed().await.is_ok() {
        let from = Instant::now();
        place.proxy.set(Link::Closed);
        let id = place.target.incarnation();
        tokio::time::sleep(DOWN).await;
        stage.renew(target).await;
        place.proxy.set(Link::Open);
        stage.list(target, false);
        // The entries are not to blame for requests that this crash ends.
        let fault = Fault::Die { target };
        stage.book.open().troubles.push(Trouble {
            fault,
            from,
            to: Instant::now(),
        });
        let stage = Arc::clone(&stage);
        tokio::spawn(async move {
            tokio::time::sleep(LAPSE).await;
            stage.unlist(target, id);
        });
    }
}

/// Renews all registrations of targets at an interval, so that a list restored from a snapshot soon grows past its old
/// end.
pub(crate) async fn beat(stage: Arc<Stage>, over: watch::Receiver<bool>) {
    while !*over.borrow() {
        stage.beat();
        tokio::time::sleep(HEARTBEAT).await;
    }
}

/// Kills a process and restarts it after `delay`, `times` times.
async fn kill(stage: &Stage, process: usize, times: u32, pause: Duration) {
    for _ in 0..times {
        stage.kill(process).await;
        tokio::time::sleep(pause).await;
        restart(stage, process).await;
        // Callers reach the process before the next kill.
        tokio::time::sleep(LIVES).await;
    }
}

/// Process index of the agent that leads the group, as far as the store knows.
fn leader(stage: &Stage) -> Option<usize> {
    let rank = stage.store.leader().filter(|rank| *rank < stage.size.ranks);
    rank.map(|rank| stage.size.agent(rank))
}

/// Waits until the group switches its map, up to `MAX_MAP_SWITCH_WAIT`: the worst time to lose the leader.
async fn await_bad_moment(stage: &Stage) {
    let began = Instant::now();
    while !stage.engines.group().is_changing() && began.elapsed() < BAD_MOMENT {
        tokio::time::sleep(GLANCE).await;
    }
}

async fn kill_leader(stage: &Stage, pause: Duration) {
    await_bad_moment(stage).await;
    if let Some(leader) = leader(stage) {
        kill(stage, leader, 1, pause).await;
    }
}

/// Sends overlapping signals: SIGHUP before, during and after the stop, and a second SIGTERM while the process stops.
/// The new process gets a SIGHUP as early as possible.
async fn stop_series(stage: &Stage, entry: usize, times: u32) {
    for _ in 0..times {
        stage.signal(entry, Signal::SIGHUP).await;
        let again = async {
            tokio::time::sleep(BETWEEN_SIGNALS).await;
            stage.signal(entry, Signal::SIGHUP).await;
            stage.signal(entry, Signal::SIGTERM).await;
        };
        tokio::join!(stage.stop(entry), again);
        restart(stage, entry).await;
        tokio::time::sleep(BETWEEN_SIGNALS).await;
        stage.signal(entry, Signal::SIGHUP).await;
        tokio::time::sleep(LIVES).await;
    }
}

async fn freeze(stage: &Stage, process: usize, lasts: Duration) {
    stage.signal(process, Signal::SIGSTOP).await;
    tokio::time::sleep(lasts).await;
    stage.signal(process, Signal::SIGCONT).await;
}

/// Writes configurations in quick succession: one revokes a key, one grants a key, the others change nothing. Most keys
/// stay, so that most requests are served.
async fn change(stage: &Stage, times: u32) {
    revoke(stage, 1 + times as usize % (KEYS - 1)).await;
    for _ in 0..times {
        stage.renew_offer().await;
        tokio::time::sleep(BETWEEN_CHANGES).await;
    }
    grant(stage, KEYS + times as usize % LATER_KEYS).await;
}

async fn revoke(stage: &Stage, key: usize) {
    let key = format!("key-{key}");
    if stage.revoke(&key).await {
        stage.book.acknowledge(Change::Revoked(key));
    }
}

async fn grant(stage: &Stage, key: usize) {
    let key = format!("key-{key}");
    if stage.grant(&key).await {
        stage.book.acknowledge(Change::Granted(key));
    }
}

async fn restart(stage: &Stage, process: usize) {
    if let Err(what) = stage.start_process(process).await {
        stage.note(process, what);
    }
}

async fn silence_store(stage: &Stage, lasts: Duration) {
    for proxy in &stage.store_proxies {
        proxy.set(Link::Silent);
    }
    tokio::time::sleep(lasts).await;
    for proxy in &stage.store_proxies {
        proxy.set(Link::Open);
    }
}

/// Makes the store unavailable until the registrations of all targets have expired; they are registered again soon
/// after.
async fn lapse(stage: &Stage, lasts: Duration) {
    stage.store.set_busy(true);
    tokio::time::sleep(lasts + LAPSE).await;
    for (index, place) in stage.targets.iter().enumerate() {
        stage.unlist(index, place.target.incarnation());
    }
    stage.store.set_busy(false);
    tokio::time::sleep(RETURN).await;
    for index in 0..stage.targets.len() {
        stage.list(index, false);
    }
}

/// Makes the store unavailable and restores it from an older snapshot; operators and targets soon write their lost
/// records again.
async fn restore(stage: &Stage, copy: Duration, before: Before, lasts: Duration) {
    let leaves = match before {
        Before::Nothing => None,
        Before::Revoke { key } => {
            revoke(stage, key).await;
            None
        }
        Before::Leave { target } => {
            stage.list(target, true);
            stage
                .book
                .acknowledge(Change::Leaving(stage.targets[target].target.incarnation()));
            Some(target)
        }
        Before::Takeover => {
            kill_leader(stage, FOLLOWED).await;
            None
        }
    };
    tokio::time::sleep(READ).await;
    let copied = Instant::now().checked_sub(copy).unwrap_or_else(Instant::now);
    let claimed = leader(stage);
    stage.store.set_busy(true);
    tokio::time::sleep(lasts.min(MOST_AWAY)).await;
    let lost = stage.store.restore(copied);
    let back = Instant::now();
    stage.store.set_busy(false);
    if before == Before::Takeover {
        // The current leader's claim is lost: the store knows an earlier leader or none.
        if let Some(leader) = claimed {
            kill(stage, leader, 1, FOLLOWED).await;
        }
    }
    tokio::time::sleep(WRITTEN_AGAIN).await;
    for record in lost {
        stage.store.add_again(record, back);
    }
    stage.book.acknowledge_again(copied);
    if let Some(target) = leaves {
        tokio::time::sleep(SERVES_ON).await;
        stage.unlist(target, stage.targets[target].target.incarnation());
        stage.renew(target).await;
        stage.list(target, false);
    }
}

async fn leave(stage: &Stage, target: usize) {
    let place = &stage.targets[target];
    let id = place.target.incarnation();
    stage.list(target, true);
    stage.book.acknowledge(Change::Leaving(id.clone()));
    tokio::time::sleep(SERVES_ON).await;
    stage.unlist(target, id);
    stage.renew(target).await;
    stage.list(target, false);
}

/// Drains a target that announces it only in its responses; the list changes once the target has terminated.
async fn say_leaving(stage: &Stage, target: usize) {
    let place = &stage.targets[target];
    place.target.set_mood(Mood::Leaving);
    tokio::time::sleep(SERVES_ON).await;
    stage.unlist(target, place.target.incarnation());
    stage.renew(target).await;
    place.target.set_mood(Mood::Well);
    stage.list(target, false);
}

/// Terminates a target and restarts it under its id, at once or after its registration has expired.
async fn come_back(stage: &Stage, target: usize, lapsed: bool, lasts: Duration) {
    let place = &stage.targets[target];
    place.proxy.set(Link::Reset);
    if lapsed {
        tokio::time::sleep(LAPSE).await;
        stage.unlist(target, place.target.incarnation());
        tokio::time::sleep(lasts).await;
    }
    place.target.start_again();
    place.proxy.set(Link::Open);
    stage.list(target, false);
}

async fn die(stage: &Stage, target: usize, lasts: Duration) {
    let place = &stage.targets[target];
    let id = place.target.incarnation();
    place.proxy.set(Link::Reset);
    tokio::time::sleep(LAPSE).await;
    stage.unlist(target, id);
    tokio::time::sleep(lasts).await;
    stage.renew(target).await;
    place.proxy.set(Link::Open);
    stage.list(target, false);
}
