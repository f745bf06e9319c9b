//! Assembles an entry and runs it until it receives a stop signal.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use clap::{Arg, Command, value_parser};
use dropshot::{ConfigDropshot, HandlerTaskMode, HttpServer, ServerBuilder};
use snafu::Snafu;
use sparscale_control::process;
use sparscale_telemetry::{DECISION, Signals};

use crate::api::{self, Api};
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
    #[snafu(display("callers: {message}; set a free address of this box"))]
    Callers {
        /// Error of the server.
        message: String,
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
        max_body_bytes: settings.max_body_bytes,
        ticket_lifetime: settings.ticket_lifetime,
        is_stopping: AtomicBool::new(false),
    });
    let server = serve(&settings, Arc::clone(&api))?;
    log::info!(name = name.as_str(), incarnation = process.incarnation, callers = server.local_addr().to_string().as_str(); "entry ready");
    process::wait_for_stop(&process.endpoint, &mut signals).await;
    stop(&settings, &api, server).await;
    let _closed = tokio::time::timeout(CLOSE_TIMEOUT, process.endpoint.close()).await;
    log::info!("entry stopped");
    Ok(())
}

fn serve(settings: &Settings, api: Arc<Api>) -> Result<HttpServer<Arc<Api>>, Error> {
    let description = api::description().map_err(|message| Error::Callers { message })?;
    let config = ConfigDropshot {
        bind_address: settings.callers,
        // The handlers read bodies themselves and reject those above the limit of the settings.
        default_request_body_max_bytes: usize::MAX,
        default_handler_task_mode: HandlerTaskMode::CancelOnDisconnect,
        ..ConfigDropshot::default()
    };
    ServerBuilder::new(description, api, sparscale_telemetry::dropshot_log())
        .config(config)
        .start()
        .map_err(|error| Error::Callers {
            message: error.to_string(),
        })
}

/// Reports "not ready" to the balancer, keeps accepting requests until the balancer has noticed, and finishes all
/// responses.
async fn stop(settings: &Settings, api: &Api, server: HttpServer<Arc<Api>>) {
    api.is_stopping.store(true, Ordering::Relaxed);
    log::info!(target: DECISION, decision = "drain", reason = "told to stop", in_progress = api.in_flight.total(); "draining");
    tokio::time::sleep(settings.stop_lag).await;
    if let Err(error) = server.close().await {
        log::warn!(error = error.as_str(); "closing the server for callers failed");
    }
}
