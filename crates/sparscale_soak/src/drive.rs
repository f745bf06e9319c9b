//! Makes faults happen and mends them.

use std::sync::Arc;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;

use crate::fault::{Fault, Planned};
use crate::ledger::{Change, Trouble};
use crate::platform::BOUNDS;
use crate::proxy::Link;
use crate::stage::Stage;
use crate::target::Mood;

/// Time after which the store drops the entry of a target that says nothing any more.
const LAPSE: Duration = Duration::from_secs(3);
/// Time after the store's return in which living targets are listed again.
const RETURN: Duration = Duration::from_millis(1_500);
/// Time that a leaving target serves on after the store has taken it.
const SERVES_ON: Duration = Duration::from_secs(4);

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
        Fault::Kill { entry } => {
            stage.kill(entry).await;
            tokio::time::sleep(lasts).await;
            restart(stage, entry).await;
        }
        Fault::Freeze { entry } => {
            stage.signal(entry, Signal::SIGSTOP).await;
            tokio::time::sleep(lasts).await;
            stage.signal(entry, Signal::SIGCONT).await;
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
        Fault::Leave { target } => leave(stage, target).await,
        Fault::Die { target } => die(stage, target, lasts).await,
        Fault::Stall => {}
        Fault::Revoke { key } => revoke(stage, key).await,
        Fault::RevokeUnseen { key } => {
            let unseen = silence_store(stage, BOUNDS.revoked + lasts);
            tokio::join!(unseen, revoke(stage, key));
        }
        Fault::GrantUnseen { key } => {
            let unseen = silence_store(stage, BOUNDS.applied + lasts);
            tokio::join!(unseen, grant(stage, key));
        }
    }
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

async fn restart(stage: &Stage, entry: usize) {
    if let Err(what) = stage.start_entry(entry).await {
        stage
            .book
            .open()
            .incidents
            .push(crate::ledger::Incident { entry, what });
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
