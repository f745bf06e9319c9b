//! Runs one round: starts everything, injects faults while callers send requests, undoes the faults, and checks the
//! promises.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

use crate::caller::{Caller, Habit};
use crate::check::{self, Violation};
use crate::drive;
use crate::fault::{self, Fault, Hold, Plan, Planned};
use crate::ledger::{Outcome, Trouble};
use crate::places::{DEADLINE, Net, ROUTES, Size};
use crate::platform::{BOUNDS, Platform, SERIES_BOUNDS};
use crate::stage::Stage;

/// Time within which entries must be ready at the start.
const START: Duration = Duration::from_secs(20);
/// Time after the last fault within which every entry must serve every route: the platform's contact time, the time of
/// a request, and a margin for a busy machine.
const RECOVERY: Duration = Duration::from_secs(12);
/// Interval at which the processes are checked.
const LOOK: Duration = Duration::from_millis(250);
/// Delay of a check beyond its interval that shows that the machine ran nothing; bounds on time don't apply then.
const STALL: Duration = Duration::from_millis(500);
/// Time after the last request during which a request reported as not run may still run, which breaks a promise.
const AFTERMATH: Duration = Duration::from_secs(2);
/// Random stream of the callers, separate from that of the plan.
const CALLERS_STREAM: u64 = 1;

/// Most entries with several callers at each; with more entries, callers alone would saturate the machine.
const FEW_ENTRIES: usize = 6;

/// Rounds that this process has started. Stubs keep listening after their round, so each round needs its own addresses.
static PLAYED: AtomicU64 = AtomicU64::new(0);

#[derive(Debug, Clone, Copy)]
pub(crate) struct Round {
    pub(crate) seed: u64,
    /// Time span in which faults are injected.
    pub(crate) length: Duration,
    pub(crate) plan: Plan,
    pub(crate) size: Size,
}

/// Result of a round.
#[derive(Debug)]
pub(crate) struct Report {
    pub(crate) requests: usize,
    /// Number of requests by outcome.
    pub(crate) outcomes: BTreeMap<String, usize>,
    pub(crate) faults: usize,
    /// Number of map switches.
    pub(crate) changes: u64,
    /// How often the machine ran nothing for a while.
    pub(crate) stalls: usize,
    pub(crate) violations: Vec<Violation>,
}

/// Runs a round, with its files in `folder`.
pub(crate) async fn play(platform: Arc<dyn Platform>, round: Round, folder: &Path) -> Result<Report, String> {
    let net = Net::of(std::process::id(), PLAYED.fetch_add(1, Ordering::SeqCst));
    let bounds = match round.plan {
        Plan::Single | Plan::Returns | Plan::Restores | Plan::Groups | Plan::Deadly | Plan::Pressed => BOUNDS,
        Plan::Series => SERIES_BOUNDS,
    };
    let stage = Arc::new(Stage::start(platform, net, round.size, bounds, folder).await?);
    let report = play_on(&stage, round).await;
    stage.end().await;
    report
}

async fn play_on(stage: &Arc<Stage>, round: Round) -> Result<Report, String> {
    let Round {
        seed,
        length,
        plan,
        size,
    } = round;
    let served = await_service(stage, START).await;
    let changed = await_change(stage, START).await;
    served
        .and(changed)
        .map_err(|missing| format!("at the start {missing}"))?;
    let over = watch::Sender::new(false);
    let callers = call(stage, seed, &over);
    // Callers finish their last requests after the stop, and the machine may stall during that time, too.
    let ended = watch::Sender::new(false);
    let watching = tokio::spawn(watch_processes(Arc::clone(stage), ended.subscribe()));
    for target in 0..size.targets {
        tokio::spawn(drive::crash(Arc::clone(stage), target));
    }
    if matches!(plan, Plan::Restores | Plan::Groups) {
        tokio::spawn(drive::beat(Arc::clone(stage), over.subscribe()));
    }
    let planned = fault::plan(&mut ChaCha8Rng::seed_from_u64(seed), length, plan, size);
    let faults = harm(stage, planned).await;
    let recovered = await_service(stage, RECOVERY).await;
    let followed = await_change(stage, RECOVERY).await;
    over.send_replace(true);
    for task in callers {
        task.await.map_err(|error| error.to_string())?;
    }
    ended.send_replace(true);
    watching.await.map_err(|error| error.to_string())?;
    tokio::time::sleep(AFTERMATH).await;
    stage.look_at_logs();
    let ledger = stage.book.open();
    let mut violations = check::all(&ledger, &stage.bounds);
    if let Err(what) = recovered {
        violations.push(Violation {
            promise: "recovery",
            what: format!("{} s after the last fault {what}", RECOVERY.as_secs()),
        });
    }
    if let Err(what) = followed {
        violations.push(Violation { promise: "group", what });
    }
    let mixed = stage.engines.group().mixed().to_vec();
    violations.extend(mixed.into_iter().map(|what| Violation {
        promise: "one map",
        what,
    }));
    let mut outcomes = BTreeMap::new();
    for attempt in &ledger.attempts {
        *outcomes.entry(attempt.outcome.name()).or_default() += 1;
    }
    let stalled = ledger.troubles.iter().filter(|trouble| trouble.fault == Fault::Stall);
    Ok(Report {
        stalls: stalled.count(),
        requests: ledger.attempts.len(),
        outcomes,
        faults,
        changes: stage.engines.group().changes(),
        violations,
    })
}

/// Starts callers at all entries: three each, or one each with many entries.
fn call(stage: &Arc<Stage>, seed: u64, over: &watch::Sender<bool>) -> Vec<JoinHandle<()>> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(CALLERS_STREAM);
    let each: &[Habit] = if stage.size.entries <= FEW_ENTRIES {
        &[Habit::Keeps, Habit::Opens, Habit::Opens]
    } else {
        &[Habit::Keeps]
    };
    let places = (0..stage.size.entries).flat_map(|entry| each.iter().map(move |habit| (entry, *habit)));
    places
        .map(|(entry, habit)| {
            let caller = Caller::new(stage, entry, habit, ChaCha8Rng::from_rng(&mut random));
            tokio::spawn(caller.run(over.subscribe()))
        })
        .collect()
}

/// Injects faults at their times and waits until all have ended; skips a fault whose resource is occupied. Returns the
/// number of injected faults.
async fn harm(stage: &Arc<Stage>, planned: Vec<Planned>) -> usize {
    let began = tokio::time::Instant::now();
    let mut ongoing: Vec<(Hold, JoinHandle<()>)> = Vec::new();
    let mut played = 0;
    for fault in planned {
        tokio::time::sleep_until(began + fault.at).await;
        ongoing.retain(|(_, task)| !task.is_finished());
        let hold = fault.fault.holds();
        if ongoing.iter().any(|(other, _)| hold.excludes(*other)) {
            continue;
        }
        played += 1;
        ongoing.push((hold, tokio::spawn(drive::play(Arc::clone(stage), fault))));
    }
    for (_, task) in ongoing {
        // A panic of the soak itself shows in its output.
        let _ended = task.await;
    }
    played
}

async fn watch_processes(stage: Arc<Stage>, ended: watch::Receiver<bool>) {
    let mut looked = Instant::now();
    while !*ended.borrow() {
        stage.look_at_processes().await;
        tokio::time::sleep(LOOK).await;
        let now = Instant::now();
        if now.duration_since(looked) > LOOK + STALL {
            stage.book.open().troubles.push(Trouble {
                fault: Fault::Stall,
                from: looked,
                to: now,
            });
        }
        looked = now;
    }
}

/// Waits until every entry has served every route.
async fn await_service(stage: &Arc<Stage>, limit: Duration) -> Result<(), String> {
    let began = Instant::now();
    let mut asking = JoinSet::new();
    for entry in 0..stage.size.entries {
        let random = ChaCha8Rng::from_os_rng();
        let caller = Caller::new(stage, entry, Habit::Opens, random);
        asking.spawn(ask_until_served(caller, began + limit));
    }
    while let Some(served) = asking.join_next().await {
        served.map_err(|error| error.to_string())??;
    }
    Ok(())
}

/// Waits until the group, if there is one, has switched its map in one pass.
async fn await_change(stage: &Arc<Stage>, limit: Duration) -> Result<(), String> {
    if stage.size.ranks == 0 {
        return Ok(());
    }
    let before = stage.engines.group().changes();
    let began = Instant::now();
    while stage.engines.group().changes() == before {
        if began.elapsed() > limit {
            return Err(format!("no change of map within {} s", limit.as_secs()));
        }
        tokio::time::sleep(LOOK).await;
    }
    Ok(())
}

async fn ask_until_served(mut caller: Caller, until: Instant) -> Result<(), String> {
    for (index, route) in ROUTES.iter().enumerate() {
        loop {
            let outcome = caller.ask(index, "key-0").await;
            if is_served(&outcome) {
                break;
            }
            if Instant::now() > until {
                return Err(format!(
                    "entry {} does not serve {}: {outcome:?}",
                    caller.entry, route.name
                ));
            }
            tokio::time::sleep(DEADLINE / 30).await;
        }
    }
    Ok(())
}

fn is_served(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Answered(answer) if answer.status == 200 && answer.whole)
}
