//! A running entry: its tasks, and how it stops.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use snafu::ResultExt as _;
use sparscale_belief::{Archive, Board, ReadMetrics, ReadSchedule, read_catalog, read_roster, read_strikes};
use sparscale_catalog::Group;
use sparscale_mesh::{Mesh, MeshStatus};
use sparscale_telemetry::DECISION;
use sparscale_wire::{Endpoint, FEW_STREAMS, Identity, Role};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::admission::Admission;
use crate::attempt::TargetClient;
use crate::exchange::Gateway;
use crate::figures::{Figures, tell_levels};
use crate::gate::Gates;
use crate::loads::Loads;
use crate::phase::{ConnectionCounter, Phase};
use crate::pool::Pool;
use crate::queues::Queues;
use crate::ready;
use crate::response_monitor::ResponseMonitor;
use crate::server;
use crate::settings::{AddressSnafu, Error, ListenSnafu, Parts, PeersSnafu, Settings};
use crate::traffic_split::TrafficSplit;

/// Longest rest of a connection on which a request that may run once is sent: a target may have forgotten it.
const MAX_REST_ONCE: Duration = Duration::ZERO;
/// Entries that are taken to share the room of groups before any other is known.
const UNKNOWN_ENTRIES: usize = 4;
/// Readings of the catalog to one of the requests that crash targets: entries tell each other of those at once, and only one
/// that no other reaches has to hear of them from the store.
const STRIKES_INTERVALS: u32 = 2;
/// Pause between two looks at whether a stopping entry is done.
const STOP_PAUSE: Duration = Duration::from_millis(20);

/// An entry that serves callers.
#[derive(Debug)]
pub struct Entry {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether this entry takes callers.
    pub ready: SocketAddr,
    /// Where other processes connect.
    pub peers: SocketAddr,
    /// What the entry believes.
    pub board: Arc<Board>,
    /// What it hears from the system's other processes.
    pub mesh: Arc<Mesh>,
    settings: Settings,
    phase: watch::Sender<Phase>,
    progress: Arc<ConnectionCounter>,
}

impl Entry {
    /// Starts an entry's tasks on the present runtime.
    pub async fn start(settings: Settings, parts: Parts) -> Result<Self, Error> {
        let board = Arc::new(Board::new(Arc::clone(&parts.clock)));
        let callers = listen(settings.callers).await?;
        let ready = listen(settings.ready).await?;
        let mesh = mesh(&settings, &board)?;
        let pace = Arc::new(ReadSchedule::new(
            settings.read_interval,
            settings.read_step,
            Duration::ZERO,
        ));
        let registry = parts.registry;
        let figures = || ReadMetrics::new(&registry);
        tokio::spawn(read_catalog(
            Arc::clone(&board),
            parts.catalog,
            Arc::clone(&pace),
            figures(),
        ));
        tokio::spawn(read_roster(
            Arc::clone(&board),
            parts.roster,
            Arc::clone(&pace),
            figures(),
        ));
        let strikes_pace = Arc::new(ReadSchedule::new(
            settings.read_interval * STRIKES_INTERVALS,
            settings.read_step * STRIKES_INTERVALS,
            Duration::ZERO,
        ));
        tokio::spawn(read_strikes(
            Arc::clone(&board),
            parts.strikes,
            Arc::clone(&strikes_pace),
            figures(),
        ));
        tokio::spawn(keep_strikes(
            Arc::clone(&board),
            parts.archive,
            Arc::clone(&strikes_pace),
        ));
        let entries = Arc::new(AtomicUsize::new(UNKNOWN_ENTRIES));
        let gateway = Arc::new(Gateway {
            board: Arc::clone(&board),
            mesh: Arc::clone(&mesh),
            target_client: TargetClient {
                pool: Arc::new(Pool::new(Arc::clone(&parts.clock))),
                clock: Arc::clone(&parts.clock),
                board: Arc::clone(&board),
                dialect: Arc::new(parts.dialect),
                max_idle_run_once: MAX_REST_ONCE,
            },
            loads: Arc::new(Loads::new(Arc::clone(&entries))),
            response_monitor: ResponseMonitor::default(),
            hall: settings.hall.clone(),
            allowance: settings.allowance,
            retry_budgets: Mutex::new(HashMap::new()),
            traffic_split: TrafficSplit::default(),
            metrics: Figures::new(Arc::clone(&registry)),
            queues: Queues::new(Arc::clone(&mesh), Arc::clone(&entries)),
            sharers: AtomicUsize::new(0),
            started_at: board.now(),
            gates: Gates::default(),
            deadlines: Mutex::default(),
            retry_schedules: Mutex::default(),
        });
        let progress = Arc::new(ConnectionCounter::default());
        tell_levels(&registry, &board, &mesh, &progress);
        tokio::spawn(admit_waiting(Arc::clone(&gateway)));
        let paces = [pace, strikes_pace];
        tokio::spawn(follow_line(Arc::clone(&mesh), paces, entries, Arc::clone(&gateway)));
        tokio::spawn(follow_members(Arc::clone(&mesh), Arc::clone(&board)));
        tokio::spawn(forget_gone(Arc::clone(&gateway)));
        let (phase, phases) = watch::channel(Phase::Serving);
        let entry = Self {
            callers: callers.local_addr().context(AddressSnafu)?,
            ready: ready.local_addr().context(AddressSnafu)?,
            peers: mesh.address(),
            board: Arc::clone(&board),
            mesh: Arc::clone(&mesh),
            phase,
            progress,
            settings,
        };
        tokio::spawn(ready::serve(ready, board, phases.clone()));
        let freshness = entry.settings.freshness;
        let admission = Arc::new(Admission { gateway, freshness });
        tokio::spawn(server::serve(callers, admission, Arc::clone(&entry.progress), phases));
        log::info!(target: DECISION, decision = "start", name = entry.settings.name.as_str(), callers = entry.callers.to_string().as_str(); "entry started");
        Ok(entry)
    }

    /// Tells the balancer, serves what it still sends, and ends when nothing is in progress or the grace is over.
    pub async fn stop(&self) {
        let began = Instant::now();
        let connections = || self.progress.connections.load(Ordering::Relaxed);
        self.phase.send_replace(Phase::Draining);
        log::info!(target: DECISION, decision = "stop", connections = connections(); "told to stop");
        tokio::time::sleep(self.settings.leave_time).await;
        self.phase.send_replace(Phase::Closing);
        while connections() > 0 && began.elapsed() < self.settings.grace {
            tokio::time::sleep(STOP_PAUSE).await;
        }
        log::info!(target: DECISION, decision = "stopped", connections = connections(); "stopped");
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.context(ListenSnafu { address })
}

fn mesh(settings: &Settings, board: &Arc<Board>) -> Result<Arc<Mesh>, Error> {
    let endpoint =
        Endpoint::with_streams(settings.peers, Identity::Made(Role::Entry), FEW_STREAMS).context(PeersSnafu)?;
    let settings = sparscale_mesh::Settings {
        address: endpoint.local_address().context(AddressSnafu)?,
        role: Role::Entry,
        seeds: settings.seeds.clone(),
        interval: settings.interval,
        entries_per_load_step: sparscale_mesh::DEFAULT_ENTRIES_PER_LOAD_STEP,
    };
    let mesh = Mesh::new(settings, Arc::clone(board), Arc::new(endpoint));
    tokio::spawn(Arc::clone(&mesh).run_entry_links());
    tokio::spawn(Arc::clone(&mesh).accept());
    Ok(mesh)
}

/// Tells the store of requests that crash targets.
async fn keep_strikes(board: Arc<Board>, archive: Box<dyn Archive>, pace: Arc<ReadSchedule>) {
    board
        .quarantine
        .sync_to_archive(archive, || pace.reader_index() == 0)
        .await;
}

/// Keeps this entry's place among the readers of the store, its share of the room of groups and of the budget's slack.
async fn follow_line(mesh: Arc<Mesh>, paces: [Arc<ReadSchedule>; 2], room: Arc<AtomicUsize>, gateway: Arc<Gateway>) {
    let mut line = mesh.status();
    let mut told = line.borrow().entries;
    while line.changed().await.is_ok() {
        let MeshStatus {
            index: place,
            entries,
            sharers,
        } = *line.borrow_and_update();
        for pace in &paces {
            pace.set_reader_index(place);
        }
        // Before any other entry is met, the guess stays.
        if entries != told {
            room.store(entries, Ordering::Relaxed);
            told = entries;
        }
        gateway.sharers.store(sharers.unwrap_or(0), Ordering::Relaxed);
        log::info!(target: DECISION, decision = "line", place, entries, sharers; "place among the entries");
    }
}

/// Keeps this entry's share of the rates of targets.
async fn follow_members(mesh: Arc<Mesh>, board: Arc<Board>) {
    let mut members = mesh.members();
    members.mark_changed();
    while members.changed().await.is_ok() {
        let members = members.borrow_and_update().clone();
        board.throttle.set_members(members);
    }
}

/// Pause after news of loads: many groups tell theirs at many times, and each look goes through all targets.
const NEWS_PAUSE: Duration = Duration::from_millis(20);

/// Lets requests in that wait whenever loads were told.
async fn admit_waiting(gateway: Arc<Gateway>) {
    let mut news = gateway.mesh.subscribe_group_loads();
    while news.next().await {
        let crowded = gateway.queues.groups_with_backlog();
        let (Some(catalog), Some(targets)) = (gateway.board.catalog(), gateway.board.targets()) else {
            continue;
        };
        gateway.loads.stragglers.update(&gateway.mesh, &targets.value);
        for load in gateway.mesh.group_loads() {
            gateway.response_monitor.record_report(&load);
        }
        // Looked up once a service: it may have many groups.
        let mut limits = HashMap::new();
        for group in crowded {
            let Some((name, size)) = targets.value.service_of(&group) else {
                continue;
            };
            let limits = *limits.entry(name).or_insert_with(|| {
                let service = catalog.value.find_service(name)?;
                let engine = catalog.value.service(service).engine.as_ref()?;
                Some((engine, catalog.value.pause_of(name)?))
            });
            if let Some((engine, pause)) = limits {
                let ranks = Group { name: &group, size };
                let open_part = gateway.open_fraction(&targets.value, ranks);
                gateway.queues.refresh(ranks, open_part, engine, pause);
            }
        }
        tokio::time::sleep(NEWS_PAUSE).await;
    }
}

/// Drops what is kept about targets that are gone.
async fn forget_gone(gateway: Arc<Gateway>) {
    let mut targets = gateway.board.subscribe_targets();
    while targets.changed().await.is_ok() {
        let Some(belief) = targets.borrow_and_update().clone() else {
            continue;
        };
        gateway.target_client.pool.retain(&belief.value);
        gateway.loads.retain(&belief.value);
        gateway.response_monitor.retain(&belief.value);
        gateway.board.throttle.retain(&belief.value);
        if let Some(catalog) = gateway.board.catalog() {
            let routes = &catalog.value.document().routes;
            let is_there = |name: &str| routes.iter().any(|route| route.name == name);
            gateway.traffic_split.retain(is_there);
            let mut deadlines = gateway.deadlines.lock().unwrap_or_else(PoisonError::into_inner);
            deadlines.retain(is_there);
        }
    }
}
