//! Puts an agent together and runs it until it is told to stop.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use clap::{Arg, Command, value_parser};
use snafu::Snafu;
use sparscale_admit::queue::Limits;
use sparscale_control::{Journal, Listing, Standing, process};
use sparscale_telemetry::{DECISION, Signals};
use sparscale_wire::Endpoint;
use tokio::sync::watch;

use crate::connection::{self, Service};
use crate::core::Core;
use crate::engine::Engine;
use crate::http_engine::HttpEngine;
use crate::order::Orders;
use crate::settings::{Raw, Settings};

/// Time between two looks at the target's load.
const ENGINE_PAUSE: Duration = Duration::from_millis(250);
/// Time between two looks at whether a target that listened still does.
const LISTEN_PAUSE: Duration = Duration::from_secs(1);
/// Time between two looks at whether one that is gone is back.
const RETURN_PAUSE: Duration = Duration::from_millis(100);
/// Time between two sweeps of old answers.
const SWEEP_PAUSE: Duration = Duration::from_secs(1);
/// Pause between two looks at whether a draining agent is done.
const DRAIN_PAUSE: Duration = Duration::from_millis(20);
/// Time that the last frames get to reach entries before the socket closes.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Why an agent cannot run.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The settings file cannot be used.
    #[snafu(display("{source}"), context(false))]
    Settings {
        /// What is wrong with it.
        source: sparscale_settings::Error,
    },
    /// The process cannot start.
    #[snafu(display("{source}"), context(false))]
    Process {
        /// What is wrong.
        source: process::Error,
    },
}

/// The command line.
pub fn command() -> Command {
    Command::new("sparscale-agent")
        .about("Stands beside one target and is the only way to it")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(
            Arg::new("settings")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Settings file, JSON with comments"),
        )
}

/// Runs an agent with the settings file at `path` until SIGTERM, then drains.
pub async fn run(path: &std::path::Path, mut signals: Signals) -> Result<(), Error> {
    let settings: Settings = sparscale_settings::load::<Raw>(path)?;
    let process = settings.process.start("sparscale.agent")?;
    let name = settings.process.raw.name.clone();
    let engine: Arc<dyn Engine> = Arc::new(HttpEngine::new(&settings.target, settings.kind));
    cancel_leftovers(engine.as_ref()).await;
    let core = Arc::new(Core::new(
        process.incarnation,
        settings.ledger_entries,
        Arc::clone(&engine),
        process.metrics.clone(),
    ));
    let service = Arc::new(Service {
        core: Arc::clone(&core),
        journal: Arc::clone(&process.journal),
        orders: Orders::new(name.clone(), Arc::clone(&process.journal), engine),
    });
    tokio::spawn(follow_limits(Arc::clone(&core), Arc::clone(&process.journal)));
    tokio::spawn(follow_engine(Arc::clone(&core)));
    tokio::spawn(follow_target(Arc::clone(&core)));
    tokio::spawn(sweep(Arc::clone(&core)));
    tokio::spawn(leave_with_box(Arc::clone(&core), name.clone(), process.boxes.clone()));
    tokio::spawn(connection::accept(service, Arc::clone(&process.endpoint)));
    log::info!(name = name.as_str(), incarnation = process.incarnation, address = settings.process.raw.listen.to_string().as_str(); "agent ready");
    process::wait_for_stop(&process.endpoint, &mut signals).await;
    drain(&core).await;
    close(&process.endpoint).await;
    Ok(())
}

/// Stops at the target whatever an earlier incarnation left running: nobody can read those answers any more.
async fn cancel_leftovers(engine: &dyn Engine) {
    let running = engine.running().await.unwrap_or_default();
    for request in running {
        log::info!(request = request.as_str(); "cancelling what an earlier incarnation left");
        // A target that cannot be reached runs nothing for long.
        let _cancelled = engine.cancel(&request).await;
    }
}

async fn follow_limits(core: Arc<Core>, journal: Arc<Journal>) {
    let mut heads = journal.heads();
    loop {
        if let Some(certificate) = journal.in_force() {
            let limits = &certificate.bundle.fleet().limits;
            core.set_limits(Limits {
                running: limits.in_flight_per_target as usize,
                waiting: limits.queue_per_target as usize,
                floor_one_in: limits.floor_one_in,
            });
        }
        if heads.changed().await.is_err() {
            return;
        }
    }
}

async fn follow_engine(core: Arc<Core>) {
    loop {
        match core.engine().load().await {
            Ok(Some(load)) => core.set_engine_load(load),
            Ok(None) => return,
            Err(error) => log::debug!(error = error.to_string().as_str(); "the target reports no load"),
        }
        tokio::time::sleep(ENGINE_PAUSE).await;
    }
}

/// Looks whether the target listens, so that no entry sends work, or binds a key, to one that is gone.
async fn follow_target(core: Arc<Core>) {
    let mut closings = core.closings();
    loop {
        core.set_listening(core.engine().listens().await);
        closings.mark_unchanged();
        let pause = if core.is_listening() {
            LISTEN_PAUSE
        } else {
            RETURN_PAUSE
        };
        // A request that found the target gone shortens the pause.
        let found = tokio::time::timeout(pause, closings.changed()).await;
        if found.is_ok() {
            tokio::time::sleep(RETURN_PAUSE).await;
        }
    }
}

async fn sweep(core: Arc<Core>) {
    loop {
        tokio::time::sleep(SWEEP_PAUSE).await;
        core.sweep().await;
    }
}

/// Drains as soon as the box list shows this box as leaving.
async fn leave_with_box(core: Arc<Core>, name: String, mut boxes: watch::Receiver<Arc<Listing>>) {
    while boxes.changed().await.is_ok() {
        let listing = boxes.borrow().clone();
        let own = listing.boxes.iter().find(|listed| listed.name == name);
        if own.is_some_and(|listed| listed.standing == Standing::Leaving) {
            log::info!(target: DECISION, decision = "drain", reason = "the box list shows this box as leaving"; "draining");
            core.drain();
            return;
        }
    }
}

async fn drain(core: &Core) {
    log::info!(target: DECISION, decision = "drain", reason = "told to stop", in_progress = core.in_progress(); "draining");
    core.drain();
    while core.in_progress() > 0 {
        tokio::time::sleep(DRAIN_PAUSE).await;
    }
}

async fn close(endpoint: &Endpoint) {
    // Entries read the ends of their answers and close their streams; the pause gives them the time.
    tokio::time::sleep(DRAIN_PAUSE).await;
    let _closed = tokio::time::timeout(CLOSE_TIMEOUT, endpoint.close()).await;
    log::info!("agent stopped");
}
