//! Builds an agent from its settings and runs it until it receives a stop signal.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use snafu::{ResultExt as _, Snafu};
use sparscale_belief::{Board, Source, read_configuration, read_roster, reader};
use sparscale_catalog::{Configuration, Roster};
use sparscale_mesh::Mesh;
use sparscale_telemetry::{DECISION, Registry, Signals};
use sparscale_wire::{Endpoint, EndpointError, Identity, MAX_LONG_LIVED_STREAMS, Role};

use crate::agent;
use crate::bandwidth::Bandwidth;
use crate::claims::Claims;
use crate::context::Context;
use crate::engine::Engines;
use crate::leadership;
use crate::link;
use crate::metrics::Metrics;
use crate::standby;

/// Longest delay between two attempts to read the store while they fail. Agents are many and serve no callers from this
/// data: a leader needs only the locations of its ranks, which seldom change.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(6);

/// Validated settings of an agent.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of this process.
    pub name: String,
    /// Address on which it accepts connections from other processes; every agent uses the same port.
    pub address: SocketAddr,
    /// Address of the engine beside it.
    pub engine_address: SocketAddr,
    /// Service that the engine belongs to.
    pub service: String,
    /// Addresses of the configured entries.
    pub seeds: Vec<SocketAddr>,
    /// Time between two messages on a link that has no updates.
    pub keepalive_interval: Duration,
    /// Bandwidth of this box's link.
    pub bandwidth: Bandwidth,
    /// Age of the observed state after which the agent reads the store itself, because no entry has sent it since.
    pub max_observation_age: Duration,
}

/// External services that an agent uses.
pub struct Dependencies {
    /// Source of the operators' configuration.
    pub configuration: Box<dyn Source<Configuration>>,
    /// Source of the roster.
    pub roster: Box<dyn Source<Roster>>,
    /// Connects to engines.
    pub engines: Arc<dyn Engines>,
    /// The platform's list of leadership claims.
    pub claims: Box<dyn Claims>,
    /// Metrics of the process.
    pub registry: Arc<Registry>,
}

impl std::fmt::Debug for Dependencies {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Parts").finish_non_exhaustive()
    }
}

/// Error that keeps an agent from starting.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The socket cannot be opened.
    #[snafu(display("{source}"))]
    Endpoint {
        /// Cause of the failure.
        source: EndpointError,
    },
}

/// Runs an agent until SIGTERM.
pub async fn run(
    settings: Settings,
    parts: Dependencies,
    mut signals: Signals,
    reload: impl FnMut(),
) -> Result<(), Error> {
    start(&settings, parts)?;
    signals.wait_for_stop(reload).await;
    log::info!(target: DECISION, decision = "stopped"; "agent stopped");
    Ok(())
}

/// Starts an agent's tasks on the current runtime.
pub fn start(settings: &Settings, parts: Dependencies) -> Result<(), Error> {
    let board = Arc::new(Board::default());
    let identity = Identity::SelfSigned(Role::Agent);
    let endpoint = Arc::new(
        Endpoint::bind_with_max_streams(settings.address, identity, MAX_LONG_LIVED_STREAMS).context(EndpointSnafu)?,
    );
    let mesh = Mesh::new(
        sparscale_mesh::Settings {
            address: settings.address,
            role: Role::Agent,
            seeds: settings.seeds.clone(),
            interval: settings.keepalive_interval,
            entries_per_load_step: sparscale_mesh::DEFAULT_ENTRIES_PER_LOAD_STEP,
        },
        Arc::clone(&board),
        Arc::clone(&endpoint),
    );
    tokio::spawn(Arc::clone(&mesh).run_agent_link());
    let new_schedule = || {
        let (interval, head_start) = (settings.max_observation_age, settings.max_observation_age);
        Arc::new(reader::Schedule::new(interval, Duration::ZERO, head_start).with_max_retry_delay(MAX_RETRY_DELAY))
    };
    let read_metrics = || reader::Metrics::new(&parts.registry);
    tokio::spawn(read_configuration(
        Arc::clone(&board),
        parts.configuration,
        new_schedule(),
        read_metrics(),
    ));
    tokio::spawn(read_roster(
        Arc::clone(&board),
        parts.roster,
        new_schedule(),
        read_metrics(),
    ));
    let metrics = Metrics::new(&parts.registry);
    let handle = agent::start(
        Arc::clone(&parts.engines),
        settings.engine_address,
        settings.bandwidth,
        metrics.clone(),
    );
    tokio::spawn(link::accept(Arc::clone(&endpoint), handle.clone()));
    let context = Context {
        board,
        mesh,
        endpoint: Arc::clone(&endpoint),
        engines: parts.engines,
        handle,
        engine_address: settings.engine_address,
        port: settings.address.port(),
        bandwidth: settings.bandwidth,
        metrics,
    };
    tokio::spawn(standby::run(context.clone()));
    tokio::spawn(leadership::run(context, parts.claims, settings.service.clone()));
    log::info!(target: DECISION, decision = "start", name = settings.name.as_str(), address = settings.address.to_string().as_str(); "agent started");
    Ok(())
}
