//! Assembles an agent, runs it until a stop signal arrives, and drains it.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use clap::{Arg, Command, value_parser};
use snafu::Snafu;
use sparscale_admit::queue::Limits;
use sparscale_control::{BoxList, BoxStanding, Journal, process};
use sparscale_telemetry::{DECISION, Signals};
use sparscale_wire::Endpoint;
use tokio::sync::watch;

use crate::connection::{self, StreamContext};
use crate::core::Core;
use crate::engine::Engine;
use crate::http_engine::HttpEngine;
use crate::order::OrderForwarder;
use crate::settings::{Raw, Settings};

/// Interval between two reads of the target's load.
const LOAD_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between two checks of a target that is listening.
const LISTEN_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between two checks of a target that isn't listening; short, so that a restarted target gets requests
/// quickly.
const RECOVERY_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between two sweeps of expired responses and abandoned requests.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between two checks whether a draining agent has finished its requests.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which a stopping agent waits until entries have received its last frames.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Error that ends an agent.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The settings file is invalid.
    #[snafu(display("{source}"), context(false))]
    Settings {
        /// Cause, with file and line.
        source: sparscale_settings::Error,
    },
    /// The process couldn't start.
    #[snafu(display("{source}"), context(false))]
    Process {
        /// Cause of the failure.
        source: process::Error,
    },
}

/// Builds the command line parser.
pub fn command() -> Command {
    Command::new("sparscale-agent")
        .about("Runs beside one target and forwards all of its requests")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(
            Arg::new("settings")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Settings file, JSON with comments"),
        )
}

/// Runs an agent with the settings file at `path` until SIGTERM, then drains it.
pub async fn run(path: &std::path::Path, mut signals: Signals) -> Result<(), Error> {
    let settings: Settings = sparscale_settings::load::<Raw>(path)?;
    let process = settings.process.start("sparscale.agent")?;
    let name = settings.process.raw.name.clone();
    let engine: Arc<dyn Engine> = Arc::new(HttpEngine::new(&settings.target, settings.kind));
    cancel_orphaned_requests(engine.as_ref()).await;
    let core = Arc::new(Core::new(
        process.incarnation,
        settings.ledger_entries,
        Arc::clone(&engine),
        process.metrics.clone(),
    ));
    let context = Arc::new(StreamContext {
        core: Arc::clone(&core),
        journal: Arc::clone(&process.journal),
        orders: OrderForwarder::new(name.clone(), Arc::clone(&process.journal), engine),
    });
    tokio::spawn(follow_limits(Arc::clone(&core), Arc::clone(&process.journal)));
    tokio::spawn(poll_engine_load(Arc::clone(&core)));
    tokio::spawn(monitor_target(Arc::clone(&core)));
    tokio::spawn(sweep(Arc::clone(&core)));
    tokio::spawn(drain_with_box(Arc::clone(&core), name.clone(), process.boxes.clone()));
    tokio::spawn(connection::accept(context, Arc::clone(&process.endpoint)));
    log::info!(name = name.as_str(), incarnation = process.incarnation, address = settings.process.raw.listen.to_string().as_str(); "agent ready");
    process::wait_for_stop(&process.endpoint, &mut signals).await;
    drain(&core).await;
    close(&process.endpoint).await;
    Ok(())
}

/// Cancels the requests that an earlier incarnation left running at the target: their responses can't be read any more.
async fn cancel_orphaned_requests(engine: &dyn Engine) {
    let requests = engine.running_requests().await.unwrap_or_default();
    for request in requests {
        log::info!(request = request.as_str(); "cancelling a request of an earlier incarnation");
        // If the target can't be reached, its requests end without a cancel.
        let _cancelled = engine.cancel(&request).await;
    }
}

async fn follow_limits(core: Arc<Core>, journal: Arc<Journal>) {
    let mut heads = journal.subscribe_heads();
    loop {
        if let Some(certificate) = journal.active_certificate() {
            let limits = &certificate.bundle.fleet().limits;
            core.set_limits(Limits {
                max_running: limits.in_flight_per_target as usize,
                max_queued: limits.queue_per_target as usize,
                floor_one_in: limits.floor_one_in,
            });
        }
        if heads.changed().await.is_err() {
            return;
        }
    }
}

async fn poll_engine_load(core: Arc<Core>) {
    loop {
        match core.engine().load().await {
            Ok(Some(load)) => core.set_engine_load(load),
            Ok(None) => return,
            Err(error) => log::debug!(error = error.to_string().as_str(); "the target reports no load"),
        }
        tokio::time::sleep(LOAD_POLL_INTERVAL).await;
    }
}

/// Checks periodically whether the target listens, so that entries don't send requests or bind keys to a terminated
/// one.
async fn monitor_target(core: Arc<Core>) {
    let mut availability_changes = core.subscribe_availability();
    loop {
        core.set_listening(core.engine().is_listening().await);
        availability_changes.mark_unchanged();
        let interval = if core.is_listening() {
            LISTEN_CHECK_INTERVAL
        } else {
            RECOVERY_CHECK_INTERVAL
        };
        // A request that couldn't reach the target ends the wait early.
        let changed = tokio::time::timeout(interval, availability_changes.changed()).await;
        if changed.is_ok() {
            tokio::time::sleep(RECOVERY_CHECK_INTERVAL).await;
        }
    }
}

async fn sweep(core: Arc<Core>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        core.sweep().await;
    }
}

/// Drains the agent as soon as the box list marks this box as leaving.
async fn drain_with_box(core: Arc<Core>, name: String, mut boxes: watch::Receiver<Arc<BoxList>>) {
    while boxes.changed().await.is_ok() {
        let listing = boxes.borrow().clone();
        let own = listing.boxes.iter().find(|listed| listed.name == name);
        if own.is_some_and(|listed| listed.standing == BoxStanding::Leaving) {
            log::info!(target: DECISION, decision = "drain", reason = "the box list shows this box as leaving"; "draining");
            core.drain();
            return;
        }
    }
}

async fn drain(core: &Core) {
    log::info!(target: DECISION, decision = "drain", reason = "told to stop", in_progress = core.in_progress_count(); "draining");
    core.drain();
    while core.in_progress_count() > 0 {
        tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
    }
}

async fn close(endpoint: &Endpoint) {
    // The delay lets entries read the ends of their responses and close their streams.
    tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
    let _closed = tokio::time::timeout(CLOSE_TIMEOUT, endpoint.close()).await;
    log::info!("agent stopped");
}
