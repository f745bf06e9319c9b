//! Assembles an entry and runs it until it receives a stop signal.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use clap::{Arg, Command, value_parser};
use snafu::{ResultExt as _, Snafu};
use sparscale_catalog::Limits;
use sparscale_control::process;
use sparscale_intake::{Intake, Listener, Phase, Port};
use sparscale_telemetry::{DECISION, Registry, Signals};
use tokio::sync::watch;

use crate::api::Api;
use crate::board_control::{SharedBoard, follow_boxes, follow_bundle, watch_loads};
use crate::dispatch::Dispatcher;
use crate::limits::InFlight;
use crate::peer;
use crate::placer::Placers;
use crate::quarantine::Quarantine;
use crate::settings::{Raw, Settings};
use crate::ticket::Seal;

/// Time to deliver the last frames before the socket closes.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest header section of a request, in bytes.
const MAX_HEADER_BYTES: usize = 64 << 10;
/// Time within which a header section has to arrive, and the longest pause inside a body.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest time that a connection may stay idle between two requests.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);
/// Time without progress after which a caller that does not read its response is cut off.
const STALL_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two checks whether all connections of a stopping entry have ended.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Why an entry cannot run.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The settings file cannot be used.
    #[snafu(display("{source}"), context(false))]
    Settings {
        /// The errors in the file.
        source: sparscale_settings::Error,
    },
    /// The process cannot start.
    #[snafu(display("{source}"), context(false))]
    Process {
        /// Why it cannot start.
        source: process::Error,
    },
    /// Callers cannot be served.
    #[snafu(display("callers: {source}; set a free address of this box"))]
    Callers {
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// The command line.
pub fn command() -> Command {
    Command::new("sparscale-entry")
        .about("Takes requests from callers and routes them to targets")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(
            Arg::new("settings")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Settings file, JSON with comments"),
        )
}

/// Runs an entry with the settings file at `path` until SIGTERM, then finishes what is in progress.
pub async fn run(path: &Path, mut signals: Signals) -> Result<(), Error> {
    let settings: Settings = sparscale_settings::load::<Raw>(path)?;
    let process = settings.process.start("sparscale.entry")?;
    let name = settings.process.raw.name.clone();
    let board = Arc::new(SharedBoard::new(&name, &settings.process.raw.hall));
    tokio::spawn(follow_bundle(
        Arc::clone(&board),
        Arc::clone(&process.journal),
        process.boxes.clone(),
    ));
    tokio::spawn(follow_boxes(Arc::clone(&board), process.boxes.clone()));
    tokio::spawn(watch_loads(
        Arc::clone(&board),
        Arc::clone(&process.endpoint),
        process.incarnation,
    ));
    tokio::spawn(peer::accept(
        Arc::clone(&process.journal),
        Arc::clone(&process.endpoint),
        process.incarnation,
    ));
    tokio::spawn(Placers::new(name.clone(), &process, Arc::clone(&board)).run());
    let dispatcher = Dispatcher::new(
        board,
        Arc::clone(&process.endpoint),
        Seal::new(&settings.secret),
        process.metrics.clone(),
        Quarantine::new(Arc::clone(&process.journal)),
        process.incarnation,
    );
    let api = Arc::new(Api {
        dispatcher: Arc::new(dispatcher),
        journal: Arc::clone(&process.journal),
        in_flight: InFlight::default(),
        limits: Limits {
            max_header_bytes: MAX_HEADER_BYTES,
            max_body_bytes: settings.max_body_bytes,
            header_timeout: HEADER_TIMEOUT,
            idle_timeout: IDLE_TIMEOUT,
        },
        ticket_lifetime: settings.ticket_lifetime,
        is_stopping: AtomicBool::new(false),
    });
    let intake = Intake::new(settings.capacity, &Registry::default());
    let listener = Listener::bind(settings.callers, Arc::clone(&intake), Port::Callers).await;
    let listener = listener.context(CallersSnafu)?;
    let callers = listener.local_address().context(CallersSnafu)?;
    let (phase, phases) = watch::channel(Phase::Serving);
    tokio::spawn(sparscale_intake::serve(
        listener,
        Arc::clone(&api),
        STALL_TIMEOUT,
        phases,
    ));
    log::info!(name = name.as_str(), incarnation = process.incarnation, callers = callers.to_string().as_str(); "entry ready");
    process::wait_for_stop(&process.endpoint, &mut signals).await;
    stop(&settings, &api, &phase, &intake).await;
    let _closed = tokio::time::timeout(CLOSE_TIMEOUT, process.endpoint.close()).await;
    log::info!("entry stopped");
    Ok(())
}

/// Reports "not ready" to the balancer, keeps accepting requests until the balancer has noticed, and finishes all
/// responses.
async fn stop(settings: &Settings, api: &Api, phase: &watch::Sender<Phase>, intake: &Intake) {
    api.is_stopping.store(true, Ordering::Relaxed);
    log::info!(target: DECISION, decision = "drain", reason = "told to stop", in_progress = api.in_flight.total(); "draining");
    phase.send_replace(Phase::Draining);
    tokio::time::sleep(settings.stop_lag).await;
    phase.send_replace(Phase::Closing);
    while intake.connections(Port::Callers) > 0 {
        tokio::time::sleep(STOP_CHECK_INTERVAL).await;
    }
}
