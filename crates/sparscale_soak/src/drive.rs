//! Makes faults happen and mends them.

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

/// Time after which the store drops the entry of a target that says nothing any more.
const LAPSE: Duration = Duration::from_secs(3);
/// Time after the store's return in which living targets are listed again.
const RETURN: Duration = Duration::from_millis(1_500);
/// Time that a leaving target serves on after the store has taken it.
const SERVES_ON: Duration = Duration::from_secs(4);

/// Longest time for which a store is away that comes back from an older copy, and time after which what others wrote is there again.
const MOST_AWAY: Duration = Duration::from_secs(3);
const WRITTEN_AGAIN: Duration = Duration::from_millis(1_500);
/// Time between two words of a target.
const HEARTBEAT: Duration = Duration::from_millis(250);
/// Time in which some entry has read what was written right before.
const READ: Duration = Duration::from_millis(400);

/// Time for which a target is down after a crash.
const DOWN: Duration = Duration::from_millis(1_500);
/// Time between two tries of a caller whose request ends what runs it.
const BETWEEN_DEADLY: Duration = Duration::from_millis(250);
/// Time that a process of a series has before its next end.
const LIVES: Duration = Duration::from_millis(900);
/// Longest wait for a change of map, and pause between two looks for one.
const BAD_MOMENT: Duration = Duration::from_millis(1_500);
const GLANCE: Duration = Duration::from_millis(1);
/// Time in which another agent has followed the one that led.
const FOLLOWED: Duration = Duration::from_secs(2);
/// Time between two signals to one process, and from its start to its first one.
const BETWEEN_SIGNALS: Duration = Duration::from_millis(40);
/// Time between two configurations of a series.
const BETWEEN_CHANGES: Duration = Duration::from_millis(60);

/// Plays one fault from its beginning to its end, and notes when it was there.
pub(crate) async fn play(stage: Arc<Stage>, planned: Planned) {
    let from = Instant::now();
    let index = {
        let mut ledger = stage.book.open();
        let fault = planned.fault;
        // Until it is over it may harm anything that happens.
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

/// Faults of the group of engines and of its agents.
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

/// Sends a request that ends what runs it, each time under a new id.
async fn send_deadly(stage: &Stage, entry: usize, route: usize, lasts: Duration) {
    let mut caller = Caller::new(stage, entry, Habit::Opens, ChaCha8Rng::from_os_rng());
    caller.body = Some(DEADLY);
    let until = Instant::now() + lasts;
    while Instant::now() < until {
        caller.ask(route, "key-0").await;
        tokio::time::sleep(BETWEEN_DEADLY).await;
    }
}

/// Lets target `target` crash whenever it says so, and lists its successor when that is there; never ends.
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
        // What it ends with is no fault of the entries.
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

/// Lets targets write their entries again and again, so that a list that came back from a copy soon ends behind where it did.
pub(crate) async fn beat(stage: Arc<Stage>, over: watch::Receiver<bool>) {
    while !*over.borrow() {
        stage.beat();
        tokio::time::sleep(HEARTBEAT).await;
    }
}

/// Kills a process and starts it again after `pause`, `times` times.
async fn kill(stage: &Stage, process: usize, times: u32, pause: Duration) {
    for _ in 0..times {
        stage.kill(process).await;
        tokio::time::sleep(pause).await;
        restart(stage, process).await;
        // Callers find it before the next kill.
        tokio::time::sleep(LIVES).await;
    }
}

/// Number among the processes of the agent that leads the group, as far as the store knows.
fn leader(stage: &Stage) -> Option<usize> {
    let rank = stage.store.leader().filter(|rank| *rank < stage.size.ranks);
    rank.map(|rank| stage.size.agent(rank))
}

/// Waits until the group changes its map, for a while.
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

/// Signals overlap: hang-up before, during and after the stop, and a second request to stop while it stops. The new process
/// gets a hang-up as early as it can.
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

/// Configurations right after each other: one takes a key away, one puts a key into force, the others change nothing. Most
/// keys stay, so that most requests are served.
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

/// The store is away, and the entries of all targets lapse; they are back a moment after it.
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

/// The store is away and comes back from an older copy; what operators and targets wrote since is written again soon.
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
        // Whoever leads now has claimed what the store has forgotten: it knows an earlier one, or none.
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

/// The list tells of it only when it has gone.
async fn say_leaving(stage: &Stage, target: usize) {
    let place = &stage.targets[target];
    place.target.set_mood(Mood::Leaving);
    tokio::time::sleep(SERVES_ON).await;
    stage.unlist(target, place.target.incarnation());
    stage.renew(target).await;
    place.target.set_mood(Mood::Well);
    stage.list(target, false);
}

/// A target dies and starts again under its id, at once or after its entry has gone.
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
