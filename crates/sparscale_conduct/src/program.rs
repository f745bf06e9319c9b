//! Puts an agent together and runs it until it is told to stop.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use snafu::{ResultExt as _, Snafu};
use sparscale_belief::{Board, Pace, ReadFigures, Source, read_catalog, read_roster};
use sparscale_catalog::{Catalog, Roster};
use sparscale_mesh::Mesh;
use sparscale_telemetry::{DECISION, Registry, Signals};
use sparscale_wire::{Endpoint, EndpointError, FEW_STREAMS, Identity, Role};

use crate::bandwidth::Bandwidth;
use crate::claims::Claims;
use crate::context::Context;
use crate::engine::Engines;
use crate::figures::Figures;
use crate::leadership;
use crate::link;
use crate::rank;
use crate::standby;

/// Longest pause between two readings of the store while they fail. Agents are many, and serve nobody by what they read:
/// a conductor needs to know where its ranks are, and that changes seldom.
const MAX_RETRY: Duration = Duration::from_secs(6);

/// Checked settings of an agent.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of this process.
    pub name: String,
    /// Where it takes connections from other processes; every agent uses the same port.
    pub address: SocketAddr,
    /// The engine beside it.
    pub engine: SocketAddr,
    /// Service that the engine belongs to.
    pub service: String,
    /// Entries that the settings name.
    pub seeds: Vec<SocketAddr>,
    /// Time between two messages on a link without news.
    pub interval: Duration,
    /// Link of this box.
    pub bandwidth: Bandwidth,
    /// Age of a belief at which the agent reads the store itself: no entry has told it for so long.
    pub read_interval: Duration,
}

/// What an agent is connected to.
pub struct Parts {
    /// Gives the catalog.
    pub catalog: Box<dyn Source<Catalog>>,
    /// Gives the roster.
    pub roster: Box<dyn Source<Roster>>,
    /// Reaches engines.
    pub engines: Arc<dyn Engines>,
    /// The list of claims.
    pub claims: Box<dyn Claims>,
    /// The process's figures.
    pub registry: Arc<Registry>,
}

impl std::fmt::Debug for Parts {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Parts").finish_non_exhaustive()
    }
}

/// Why an agent cannot run.
#[derive(Debug, Snafu)]
pub enum Error {
    /// Its socket cannot be opened.
    #[snafu(display("{source}"))]
    Endpoint {
        /// What is wrong.
        source: EndpointError,
    },
}

/// Runs an agent until SIGTERM.
pub async fn run(settings: Settings, parts: Parts, mut signals: Signals, reload: impl FnMut()) -> Result<(), Error> {
    start(&settings, parts)?;
    signals.wait_for_stop(reload).await;
    log::info!(target: DECISION, decision = "stopped"; "stopped");
    Ok(())
}

/// Starts an agent's tasks on the present runtime.
pub fn start(settings: &Settings, parts: Parts) -> Result<(), Error> {
    let board = Arc::new(Board::default());
    let identity = Identity::Made(Role::Agent);
    let endpoint = Arc::new(Endpoint::with_streams(settings.address, identity, FEW_STREAMS).context(EndpointSnafu)?);
    let mesh = Mesh::new(
        sparscale_mesh::Settings {
            address: settings.address,
            role: Role::Agent,
            seeds: settings.seeds.clone(),
            interval: settings.interval,
            few_entries: sparscale_mesh::FEW_ENTRIES,
        },
        Arc::clone(&board),
        Arc::clone(&endpoint),
    );
    tokio::spawn(Arc::clone(&mesh).follow_one());
    let pace = || {
        let (interval, head_start) = (settings.read_interval, settings.read_interval);
        Arc::new(Pace::new(interval, Duration::ZERO, head_start).with_max_retry(MAX_RETRY))
    };
    let reads = || ReadFigures::new(&parts.registry);
    tokio::spawn(read_catalog(Arc::clone(&board), parts.catalog, pace(), reads()));
    tokio::spawn(read_roster(Arc::clone(&board), parts.roster, pace(), reads()));
    let figures = Figures::new(&parts.registry);
    let handle = rank::start(
        Arc::clone(&parts.engines),
        settings.engine,
        settings.bandwidth,
        figures.clone(),
    );
    tokio::spawn(link::accept(Arc::clone(&endpoint), handle.clone()));
    let context = Context {
        board,
        mesh,
        endpoint: Arc::clone(&endpoint),
        engines: parts.engines,
        handle,
        engine: settings.engine,
        port: settings.address.port(),
        bandwidth: settings.bandwidth,
        figures,
    };
    tokio::spawn(standby::run(context.clone()));
    tokio::spawn(leadership::run(context, parts.claims, settings.service.clone()));
    log::info!(target: DECISION, decision = "start", name = settings.name.as_str(), address = settings.address.to_string().as_str(); "agent started");
    Ok(())
}
