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

use crate::caller::{Caller, ConnectionUse};
use crate::check::{self, Violation};
use crate::environment::Environment;
use crate::event_log::{FaultPeriod, Outcome};
use crate::fault::{self, Fault, Plan, PlannedFault, Resource};
use crate::injection;
use crate::layout::{CALLER_TIMEOUT, Net, ROUTES, Size};
use crate::platform::{BOUNDS, Platform, SERIES_BOUNDS};

/// Time within which entries must be ready at the start.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(20);
/// Time after the last fault within which every entry must serve every route: the platform's contact time, the time of
/// a request, and a margin for a busy machine.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);
/// Interval at which the processes are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Delay of a check beyond its interval that shows that the machine ran nothing; bounds on time don't apply then.
const STALL_THRESHOLD: Duration = Duration::from_millis(500);
/// Time after the last request during which a request reported as not run may still run, which breaks a promise.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Random stream of the callers, separate from that of the plan.
const CALLERS_STREAM: u64 = 1;

/// Most entries with several callers at each; with more entries, callers alone would saturate the machine.
const MAX_ENTRIES_WITH_ALL_CALLERS: usize = 6;

/// Rounds that this process has started. Stubs keep listening after their round, so each round needs its own addresses.
static ROUNDS_STARTED: AtomicU64 = AtomicU64::new(0);

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
    pub(crate) request_count: usize,
    /// Number of requests by outcome.
    pub(crate) outcome_counts: BTreeMap<String, usize>,
    pub(crate) fault_count: usize,
    /// Number of map switches.
    pub(crate) map_switch_count: u64,
    /// How often the machine ran nothing for a while.
    pub(crate) stall_count: usize,
    pub(crate) violations: Vec<Violation>,
}

/// Runs a round, with its files in `directory`.
pub(crate) async fn run(platform: Arc<dyn Platform>, round: Round, directory: &Path) -> Result<Report, String> {
    let net = Net::new(std::process::id(), ROUNDS_STARTED.fetch_add(1, Ordering::SeqCst));
    let bounds = match round.plan {
        Plan::Single
        | Plan::Returns
        | Plan::Restores
        | Plan::Groups
        | Plan::Deadly
        | Plan::Parts
        | Plan::Interrupted
        | Plan::Crowded
        | Plan::Pressed => BOUNDS,
        Plan::Series => SERIES_BOUNDS,
    };
    let environment = Arc::new(Environment::start(platform, net, round.size, bounds, directory).await?);
    let report = run_in(&environment, round).await;
    environment.kill_all().await;
    report
}

async fn run_in(environment: &Arc<Environment>, round: Round) -> Result<Report, String> {
    let Round {
        seed,
        length,
        plan,
        size,
    } = round;
    let served = await_service(environment, STARTUP_TIMEOUT).await;
    let switched = await_map_switch(environment, STARTUP_TIMEOUT).await;
    served
        .and(switched)
        .map_err(|missing| format!("at the start {missing}"))?;
    let stopped = watch::Sender::new(false);
    let callers = spawn_callers(environment, seed, &stopped);
    // Callers finish their last requests after the stop, and the machine may stall during that time, too.
    let callers_ended = watch::Sender::new(false);
    let watcher = tokio::spawn(watch_processes(Arc::clone(environment), callers_ended.subscribe()));
    for target in 0..size.targets {
        tokio::spawn(injection::replace_after_crashes(Arc::clone(environment), target));
    }
    if matches!(plan, Plan::Restores | Plan::Groups) {
        tokio::spawn(injection::renew_registrations(
            Arc::clone(environment),
            stopped.subscribe(),
        ));
    }
    let planned = fault::draw_faults(&mut ChaCha8Rng::seed_from_u64(seed), length, plan, size);
    let fault_count = inject_faults(environment, planned).await;
    let recovered = await_service(environment, RECOVERY_TIMEOUT).await;
    let switched = await_map_switch(environment, RECOVERY_TIMEOUT).await;
    stopped.send_replace(true);
    for task in callers {
        task.await.map_err(|error| error.to_string())?;
    }
    callers_ended.send_replace(true);
    watcher.await.map_err(|error| error.to_string())?;
    tokio::time::sleep(SETTLE_TIME).await;
    environment.check_logs();
    let event_log = environment.event_log.lock();
    let mut violations = check::all(&event_log, &environment.bounds);
    if let Err(details) = recovered {
        violations.push(Violation {
            promise: "recovery",
            details: format!("{} s after the last fault {details}", RECOVERY_TIMEOUT.as_secs()),
        });
    }
    if let Err(details) = switched {
        violations.push(Violation {
            promise: "group",
            details,
        });
    }
    let mixed_passes = environment.engines.group().mixed_passes().to_vec();
    violations.extend(mixed_passes.into_iter().map(|details| Violation {
        promise: "one map",
        details,
    }));
    let mut outcome_counts = BTreeMap::new();
    for caller_request in &event_log.caller_requests {
        *outcome_counts.entry(caller_request.outcome.label()).or_default() += 1;
    }
    let stalls = event_log
        .fault_periods
        .iter()
        .filter(|period| period.fault == Fault::Stall);
    Ok(Report {
        stall_count: stalls.count(),
        request_count: event_log.caller_requests.len(),
        outcome_counts,
        fault_count,
        map_switch_count: environment.engines.group().map_switch_count(),
        violations,
    })
}

/// Starts callers at all entries: three each, or one each with many entries.
fn spawn_callers(environment: &Arc<Environment>, seed: u64, stopped: &watch::Sender<bool>) -> Vec<JoinHandle<()>> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(CALLERS_STREAM);
    let connection_uses: &[ConnectionUse] = if environment.size.entries <= MAX_ENTRIES_WITH_ALL_CALLERS {
        &[
            ConnectionUse::KeepAlive,
            ConnectionUse::PerRequest,
            ConnectionUse::PerRequest,
        ]
    } else {
        &[ConnectionUse::KeepAlive]
    };
    let assignments = (0..environment.size.entries).flat_map(|entry| {
        connection_uses
            .iter()
            .map(move |connection_use| (entry, *connection_use))
    });
    assignments
        .map(|(entry, connection_use)| {
            let caller = Caller::new(environment, entry, connection_use, ChaCha8Rng::from_rng(&mut random));
            tokio::spawn(caller.run(stopped.subscribe()))
        })
        .collect()
}

/// Injects faults at their times and waits until all have ended; skips a fault whose resource is occupied. Returns the
/// number of injected faults.
async fn inject_faults(environment: &Arc<Environment>, planned: Vec<PlannedFault>) -> usize {
    let started_at = tokio::time::Instant::now();
    let mut active: Vec<(Resource, JoinHandle<()>)> = Vec::new();
    let mut injected_count = 0;
    for fault in planned {
        tokio::time::sleep_until(started_at + fault.offset).await;
        active.retain(|(_, task)| !task.is_finished());
        let resource = fault.fault.resource();
        if active.iter().any(|(other, _)| resource.conflicts_with(*other)) {
            continue;
        }
        injected_count += 1;
        active.push((
            resource,
            tokio::spawn(injection::inject(Arc::clone(environment), fault)),
        ));
    }
    for (_, task) in active {
        // A panic of the soak itself shows in its output.
        let _ended = task.await;
    }
    injected_count
}

async fn watch_processes(environment: Arc<Environment>, ended: watch::Receiver<bool>) {
    let mut checked_at = Instant::now();
    while !*ended.borrow() {
        environment.check_processes().await;
        tokio::time::sleep(CHECK_INTERVAL).await;
        let now = Instant::now();
        if now.duration_since(checked_at) > CHECK_INTERVAL + STALL_THRESHOLD {
            environment.event_log.lock().fault_periods.push(FaultPeriod {
                fault: Fault::Stall,
                started_at: checked_at,
                ended_at: now,
            });
        }
        checked_at = now;
    }
}

/// Waits until every entry has served every route.
async fn await_service(environment: &Arc<Environment>, timeout: Duration) -> Result<(), String> {
    let started_at = Instant::now();
    let mut callers = JoinSet::new();
    for entry in 0..environment.size.entries {
        let random = ChaCha8Rng::from_os_rng();
        let caller = Caller::new(environment, entry, ConnectionUse::PerRequest, random);
        callers.spawn(send_until_served(caller, started_at + timeout));
    }
    while let Some(served) = callers.join_next().await {
        served.map_err(|error| error.to_string())??;
    }
    Ok(())
}

/// Waits until the group, if there is one, has switched its map in one pass.
async fn await_map_switch(environment: &Arc<Environment>, timeout: Duration) -> Result<(), String> {
    if environment.size.ranks == 0 {
        return Ok(());
    }
    let initial_count = environment.engines.group().map_switch_count();
    let started_at = Instant::now();
    while environment.engines.group().map_switch_count() == initial_count {
        if started_at.elapsed() > timeout {
            return Err(format!("no change of map within {} s", timeout.as_secs()));
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    Ok(())
}

async fn send_until_served(mut caller: Caller, deadline: Instant) -> Result<(), String> {
    for (index, route) in ROUTES.iter().enumerate() {
        loop {
            let outcome = caller.send(index, "key-0").await;
            if is_served(&outcome) {
                break;
            }
            if Instant::now() > deadline {
                return Err(format!(
                    "entry {} does not serve {}: {outcome:?}",
                    caller.entry, route.name
                ));
            }
            tokio::time::sleep(CALLER_TIMEOUT / 30).await;
        }
    }
    Ok(())
}

fn is_served(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Answered(answer) if answer.status == 200 && answer.whole)
}
