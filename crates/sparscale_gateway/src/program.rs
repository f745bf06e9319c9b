//! Puts a gateway together and runs it until it is told to stop.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use snafu::{ResultExt as _, Snafu};
use sparscale_belief::{Board, Pace, Source, read_catalog, read_roster};
use sparscale_catalog::{Catalog, Roster};
use sparscale_mesh::{Line, Mesh};
use sparscale_telemetry::DECISION;
use sparscale_wire::{Endpoint, EndpointError, Identity, Role};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::admission::{Admission, Freshness};
use crate::attempt::Caller;
use crate::budget::Allowance;
use crate::dialect::Dialect;
use crate::exchange::Gateway;
use crate::loads::Loads;
use crate::pool::Pool;
use crate::ready;
use crate::server::{self, Phase, Progress};
use crate::split::Splits;

/// Longest rest of a connection on which a request that may run once is sent: a target may have forgotten it.
const MAX_REST_ONCE: Duration = Duration::ZERO;
/// Entries that are taken to share the budget before any other is known.
const UNKNOWN_ENTRIES: usize = 4;
/// Pause between two looks at whether a stopping entry is done.
const STOP_PAUSE: Duration = Duration::from_millis(20);

/// Checked settings of a gateway.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of this process.
    pub name: String,
    /// Hall that its box stands in.
    pub hall: String,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether this entry takes callers.
    pub ready: SocketAddr,
    /// Where this process takes connections from other processes.
    pub peers: SocketAddr,
    /// Entries that the settings name.
    pub seeds: Vec<SocketAddr>,
    /// Time between two messages on a link without news.
    pub interval: Duration,
    /// How old beliefs may be.
    pub freshness: Freshness,
    /// Budget of sends beyond the first, over all entries.
    pub allowance: Allowance,
    /// Age at which the first reader in line reads the store.
    pub read_interval: Duration,
    /// What each place in line adds to it.
    pub read_step: Duration,
    /// Time after SIGTERM for which callers are still accepted: until the balancer has noticed.
    pub leave_time: Duration,
    /// Time after SIGTERM at which the process ends whatever is in progress.
    pub grace: Duration,
}

/// What a gateway is connected to.
pub struct Parts {
    /// Gives the catalog.
    pub catalog: Box<dyn Source<Catalog>>,
    /// Gives the roster.
    pub roster: Box<dyn Source<Roster>>,
    /// Names of the headers.
    pub dialect: Dialect,
}

impl std::fmt::Debug for Parts {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Parts")
            .field("dialect", &self.dialect)
            .finish_non_exhaustive()
    }
}

/// Why a gateway cannot run.
#[derive(Debug, Snafu)]
pub enum Error {
    /// An address cannot be listened at.
    #[snafu(display("{address}: cannot be listened at: {source}; choose a free address of this box"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// The socket towards other processes cannot be opened.
    #[snafu(display("{source}"))]
    Peers {
        /// What is wrong.
        source: EndpointError,
    },
    /// Signals cannot be received.
    #[snafu(display("signals cannot be received: {source}"))]
    Signal {
        /// What the operating system said.
        source: std::io::Error,
    },
}

/// Runs a gateway until SIGTERM, then finishes what is in progress.
pub async fn run(settings: Settings, parts: Parts) -> Result<(), Error> {
    let board = Arc::new(Board::default());
    let callers = listen(settings.callers).await?;
    let ready = listen(settings.ready).await?;
    let endpoint = Endpoint::bind(settings.peers, Identity::Made(Role::Entry)).context(PeersSnafu)?;
    let mesh = mesh(&settings, &board, endpoint);
    tokio::spawn(Arc::clone(&mesh).link_entries());
    tokio::spawn(Arc::clone(&mesh).accept());
    let pace = Arc::new(Pace::new(settings.read_interval, settings.read_step));
    tokio::spawn(read_catalog(Arc::clone(&board), parts.catalog, Arc::clone(&pace)));
    tokio::spawn(read_roster(Arc::clone(&board), parts.roster, Arc::clone(&pace)));
    let gateway = Arc::new(Gateway {
        board: Arc::clone(&board),
        mesh: Arc::clone(&mesh),
        caller: Caller {
            pool: Arc::new(Pool::default()),
            dialect: Arc::new(parts.dialect),
            max_rest_once: MAX_REST_ONCE,
        },
        loads: Arc::new(Loads::default()),
        hall: settings.hall.clone(),
        allowance: settings.allowance,
        budgets: Mutex::new(HashMap::new()),
        splits: Splits::default(),
        entries: AtomicUsize::new(UNKNOWN_ENTRIES),
    });
    tokio::spawn(follow_line(Arc::clone(&mesh), pace, Arc::clone(&gateway)));
    tokio::spawn(forget_gone(Arc::clone(&gateway)));
    let (phase, phases) = watch::channel(Phase::Serving);
    tokio::spawn(ready::serve(ready, board, phases.clone()));
    let progress = Arc::new(Progress::default());
    let freshness = settings.freshness;
    let admission = Arc::new(Admission { gateway, freshness });
    tokio::spawn(server::serve(callers, admission, Arc::clone(&progress), phases));
    log::info!(target: DECISION, decision = "start", name = settings.name.as_str(), callers = settings.callers.to_string().as_str(); "entry started");
    wait_for_stop().await?;
    stop(&settings, &phase, &progress).await;
    Ok(())
}

fn mesh(settings: &Settings, board: &Arc<Board>, endpoint: Endpoint) -> Arc<Mesh> {
    let settings = sparscale_mesh::Settings {
        address: settings.peers,
        role: Role::Entry,
        seeds: settings.seeds.clone(),
        interval: settings.interval,
    };
    Mesh::new(settings, Arc::clone(board), Arc::new(endpoint))
}

/// Keeps this entry's place among the readers of the store, and its share of the budget.
async fn follow_line(mesh: Arc<Mesh>, pace: Arc<Pace>, gateway: Arc<Gateway>) {
    let mut line = mesh.line();
    while line.changed().await.is_ok() {
        let Line { place, entries } = *line.borrow_and_update();
        pace.set_place(place);
        gateway.entries.store(entries, Ordering::Relaxed);
        log::info!(target: DECISION, decision = "line", place, entries; "place among the entries");
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.context(ListenSnafu { address })
}

/// Drops what is kept about targets that are gone.
async fn forget_gone(gateway: Arc<Gateway>) {
    let mut rosters = gateway.board.rosters();
    while rosters.changed().await.is_ok() {
        let Some(belief) = rosters.borrow_and_update().clone() else {
            continue;
        };
        gateway.caller.pool.retain(&belief.value);
        gateway.loads.retain(&belief.value);
        if let Some(catalog) = gateway.board.catalog() {
            let routes = &catalog.value.document().routes;
            gateway
                .splits
                .retain(|name| routes.iter().any(|route| route.name == name));
        }
    }
}

async fn wait_for_stop() -> Result<(), Error> {
    let mut terminate = signal(SignalKind::terminate()).context(SignalSnafu)?;
    let mut interrupt = signal(SignalKind::interrupt()).context(SignalSnafu)?;
    let mut hangup = signal(SignalKind::hangup()).context(SignalSnafu)?;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = hangup.recv() => log::info!(target: DECISION, decision = "reload"; "settings may have changed"),
        }
    }
}

/// Tells the balancer, serves what it still sends, and ends when nothing is in progress.
async fn stop(settings: &Settings, phase: &watch::Sender<Phase>, progress: &Progress) {
    let began = Instant::now();
    phase.send_replace(Phase::Leaving);
    log::info!(target: DECISION, decision = "stop", connections = progress.connections.load(Ordering::Relaxed); "told to stop");
    tokio::time::sleep(settings.leave_time).await;
    phase.send_replace(Phase::Closing);
    while progress.connections.load(Ordering::Relaxed) > 0 && began.elapsed() < settings.grace {
        tokio::time::sleep(STOP_PAUSE).await;
    }
    log::info!(target: DECISION, decision = "stopped", connections = progress.connections.load(Ordering::Relaxed); "stopped");
}
