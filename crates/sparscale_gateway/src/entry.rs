//! Starts and stops an entry: the background tasks that maintain its observed state, and the servers for callers and
//! for the readiness check.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use snafu::ResultExt as _;
use sparscale_belief::{Archive, Board, Source, read_configuration, read_roster, read_strikes, reader};
use sparscale_catalog::Group;
use sparscale_intake::{Intake, Listener, Phase, Port};
use sparscale_mesh::{self as mesh, Mesh};
use sparscale_quarantine::Strike;
use sparscale_telemetry::DECISION;
use sparscale_wire::{Endpoint, Identity, MAX_LONG_LIVED_STREAMS, Role};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::admission::Admission;
use crate::attempt::TargetClient;
use crate::exchange::Gateway;
use crate::exit::Exit;
use crate::gate::Gates;
use crate::loads::Loads;
use crate::metrics::{Metrics, register_gauges};
use crate::pool::Pool;
use crate::process_monitor::{Departures, ProcessMonitor};
use crate::queues::Queues;
use crate::readiness;
use crate::response_monitor::ResponseMonitor;
use crate::settings::{AddressSnafu, Dependencies, Error, ListenSnafu, PeersSnafu, Settings};
use crate::traffic_split::TrafficSplit;

/// Maximum idle time of a connection that is reused for a request which may run only once. Zero: the target may have
/// dropped an idle connection.
const MAX_IDLE_RUN_ONCE: Duration = Duration::ZERO;
/// Number of entries assumed to share the headroom of groups until another entry is known.
const ASSUMED_ENTRY_COUNT: usize = 4;
/// Number of catalog reads for each read of the strikes, which record requests that crash targets. Entries send strikes
/// to each other immediately; only an entry that is partitioned from all others depends on the store for them.
const CATALOG_READS_PER_STRIKES_READ: u32 = 2;
/// Time between two checks whether all connections of a stopping entry have ended.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time before the exit of a stopping entry at which it answers the last requests, so that the responses reach their
/// callers.
const LAST_RESPONSES_TIME: Duration = Duration::from_millis(200);

/// An entry that serves callers.
#[derive(Debug)]
pub struct Entry {
    /// Address that callers connect to.
    pub caller_address: SocketAddr,
    /// Address of the readiness check for the load balancer in front.
    pub ready_address: SocketAddr,
    /// Address that other processes of the system connect to.
    pub peer_address: SocketAddr,
    /// The observed state of the system.
    pub board: Arc<Board>,
    /// Links to the other processes of the system.
    pub mesh: Arc<Mesh>,
    settings: Settings,
    phase: watch::Sender<Phase>,
    exit: Arc<Exit>,
    intake: Arc<Intake>,
}

impl Entry {
    /// Starts the tasks of an entry on the current runtime.
    pub async fn start(settings: Settings, parts: Dependencies) -> Result<Self, Error> {
        let board = Board::new(Arc::clone(&parts.clock)).with_first_start(settings.is_first_start);
        let board = Arc::new(board);
        let callers = listen(settings.caller_address, &parts.intake, Port::Callers).await?;
        let ready = listen(settings.ready_address, &parts.intake, Port::Readiness).await?;
        let mesh = start_mesh(&settings, &board)?;
        let read_schedule = Arc::new(reader::Schedule::new(
            settings.max_observation_age,
            settings.read_delay_per_entry,
            Duration::ZERO,
        ));
        let registry = parts.registry;
        let read_metrics = || reader::Metrics::new(&registry);
        tokio::spawn(read_configuration(
            Arc::clone(&board),
            parts.configuration,
            Arc::clone(&read_schedule),
            read_metrics(),
        ));
        tokio::spawn(read_roster(
            Arc::clone(&board),
            parts.roster,
            Arc::clone(&read_schedule),
            read_metrics(),
        ));
        let strikes_schedule = spawn_quarantine(&settings, &board, parts.strikes, parts.archive, read_metrics());
        let entry_count = Arc::new(AtomicUsize::new(ASSUMED_ENTRY_COUNT));
        let pool = Arc::new(Pool::new(Arc::clone(&parts.clock)));
        let departures = Departures::new(&settings);
        let processes = ProcessMonitor::new(&pool, &board, &parts.clock, &registry, departures);
        let processes = Arc::new(processes);
        let exit = Arc::new(Exit::default());
        let gateway = Arc::new(Gateway {
            board: Arc::clone(&board),
            mesh: Arc::clone(&mesh),
            target_client: TargetClient {
                pool,
                processes: Arc::clone(&processes),
                clock: Arc::clone(&parts.clock),
                board: Arc::clone(&board),
                header_names: Arc::new(parts.header_names),
                max_idle_run_once: MAX_IDLE_RUN_ONCE,
            },
            loads: Arc::new(Loads::new(Arc::clone(&entry_count))),
            response_monitor: ResponseMonitor::default(),
            hall: settings.hall.clone(),
            allowance: settings.allowance,
            retry_budgets: Mutex::new(HashMap::new()),
            traffic_split: TrafficSplit::default(),
            metrics: Metrics::new(Arc::clone(&registry)),
            queues: Queues::new(Arc::clone(&mesh), Arc::clone(&entry_count)),
            sharers: AtomicUsize::new(0),
            exit: Arc::clone(&exit),
            started_at: board.now(),
            gates: Gates::default(),
            deadlines: Mutex::default(),
            retry_schedules: Mutex::default(),
        });
        register_gauges(&registry, &board, &mesh, &parts.intake);
        tokio::spawn(follow_group_loads(Arc::clone(&gateway)));
        let read_schedules = [read_schedule, strikes_schedule];
        tokio::spawn(follow_mesh_status(
            Arc::clone(&mesh),
            read_schedules,
            entry_count,
            Arc::clone(&gateway),
        ));
        tokio::spawn(follow_mesh_members(Arc::clone(&mesh), Arc::clone(&board)));
        tokio::spawn(drop_removed_state(Arc::clone(&gateway)));
        tokio::spawn(async move { processes.run().await });
        let (phase, phases) = watch::channel(Phase::Serving);
        let entry = Self {
            caller_address: callers.local_address().context(AddressSnafu)?,
            ready_address: ready.local_address().context(AddressSnafu)?,
            peer_address: mesh.address(),
            board: Arc::clone(&board),
            mesh: Arc::clone(&mesh),
            phase,
            exit,
            intake: parts.intake,
            settings,
        };
        tokio::spawn(readiness::serve(ready, board, phases.clone()));
        let freshness = entry.settings.freshness;
        let admission = Arc::new(Admission {
            gateway,
            freshness,
            phases: phases.clone(),
        });
        tokio::spawn(sparscale_intake::serve(
            callers,
            admission,
            entry.settings.stall_timeout,
            phases,
        ));
        log::info!(target: DECISION, decision = "start", name = entry.settings.name.as_str(), callers = entry.caller_address.to_string().as_str(); "entry started");
        Ok(entry)
    }

    /// Fails the readiness check, keeps serving until the load balancer has noticed, and returns once all connections
    /// have ended or the grace period is over. Requests that have no response shortly before its end get a refusal.
    pub async fn stop(&self) {
        let stop_requested_at = Instant::now();
        let connections = || self.intake.connections(Port::Callers);
        self.phase.send_replace(Phase::Draining);
        log::info!(target: DECISION, decision = "stop", connections = connections(); "stop requested; draining connections");
        let shutdown_timeout = self.settings.shutdown_timeout;
        let last_responses_time = shutdown_timeout.saturating_sub(LAST_RESPONSES_TIME);
        self.exit.schedule(stop_requested_at + last_responses_time);
        let stream_time = self.settings.drain_stream_time.min(shutdown_timeout);
        tokio::time::sleep_until(stop_requested_at + stream_time).await;
        self.phase.send_replace(Phase::Refusing);
        let notice_time = self.settings.drain_notice_time.min(shutdown_timeout);
        tokio::time::sleep_until(stop_requested_at + notice_time).await;
        self.phase.send_replace(Phase::Closing);
        while connections() > 0 && stop_requested_at.elapsed() < shutdown_timeout {
            tokio::time::sleep(STOP_CHECK_INTERVAL).await;
        }
        log::info!(target: DECISION, decision = "stopped", connections = connections(); "entry stopped");
    }
}

async fn listen(address: SocketAddr, intake: &Arc<Intake>, port: Port) -> Result<Listener, Error> {
    let listener = Listener::bind(address, Arc::clone(intake), port).await;
    listener.context(ListenSnafu { address })
}

fn start_mesh(settings: &Settings, board: &Arc<Board>) -> Result<Arc<Mesh>, Error> {
    let endpoint = Endpoint::bind_with_max_streams(
        settings.peer_address,
        Identity::SelfSigned(Role::Entry),
        MAX_LONG_LIVED_STREAMS,
    )
    .context(PeersSnafu)?;
    let settings = sparscale_mesh::Settings {
        address: endpoint.local_address().context(AddressSnafu)?,
        role: Role::Entry,
        seeds: settings.seeds.clone(),
        interval: settings.keepalive_interval,
        entries_per_load_step: sparscale_mesh::DEFAULT_ENTRIES_PER_LOAD_STEP,
    };
    let mesh = Mesh::new(settings, Arc::clone(board), Arc::new(endpoint));
    tokio::spawn(Arc::clone(&mesh).run_entry_links());
    tokio::spawn(Arc::clone(&mesh).accept());
    Ok(mesh)
}

/// Starts the tasks that exchange strikes with the store; returns their schedule of reads.
fn spawn_quarantine(
    settings: &Settings,
    board: &Arc<Board>,
    strikes: Box<dyn Source<Vec<Strike>>>,
    archive: Box<dyn Archive>,
    metrics: reader::Metrics,
) -> Arc<reader::Schedule> {
    let schedule = Arc::new(reader::Schedule::new(
        settings.max_observation_age * CATALOG_READS_PER_STRIKES_READ,
        settings.read_delay_per_entry * CATALOG_READS_PER_STRIKES_READ,
        Duration::ZERO,
    ));
    tokio::spawn(read_strikes(Arc::clone(board), strikes, Arc::clone(&schedule), metrics));
    if !settings.is_first_start {
        let board = Arc::clone(board);
        tokio::spawn(async move { board.quarantine.watch_history().await });
    }
    tokio::spawn(archive_strikes(Arc::clone(board), archive, Arc::clone(&schedule)));
    schedule
}

/// Writes the strikes to the archive, as long as this entry is the first reader of the store.
async fn archive_strikes(board: Arc<Board>, archive: Box<dyn Archive>, read_schedule: Arc<reader::Schedule>) {
    board
        .quarantine
        .sync_to_archive(archive, || read_schedule.reader_index() == 0)
        .await;
}

/// Follows the status of the mesh: the index of this entry among the readers of the store, and the numbers of entries
/// that share the headroom of groups and the slack of the retry budgets.
async fn follow_mesh_status(
    mesh: Arc<Mesh>,
    read_schedules: [Arc<reader::Schedule>; 2],
    entry_count: Arc<AtomicUsize>,
    gateway: Arc<Gateway>,
) {
    let mut status = mesh.status();
    let mut last_entry_count = status.borrow().entries;
    while status.changed().await.is_ok() {
        let mesh::Status {
            index,
            entries,
            sharers,
        } = *status.borrow_and_update();
        for read_schedule in &read_schedules {
            read_schedule.set_reader_index(index);
        }
        // The assumed number stays until another entry is known.
        if entries != last_entry_count {
            entry_count.store(entries, Ordering::Relaxed);
            last_entry_count = entries;
        }
        gateway.sharers.store(sharers.unwrap_or(0), Ordering::Relaxed);
        gateway.board.quarantine.set_entry_count(entries);
        log::info!(target: DECISION, decision = "line", place = index, entries, sharers; "status of the mesh changed");
    }
}

/// Follows the members of the mesh, among which the rate limits of targets are divided.
async fn follow_mesh_members(mesh: Arc<Mesh>, board: Arc<Board>) {
    let mut members = mesh.members();
    members.mark_changed();
    while members.changed().await.is_ok() {
        let members = members.borrow_and_update().clone();
        board.throttle.set_members(members);
    }
}

/// Minimum time between two updates from load reports: many groups send reports, and each update iterates over all
/// targets.
const MIN_LOAD_UPDATE_INTERVAL: Duration = Duration::from_millis(20);

/// Updates the stragglers and the response monitor on each change of load reports, and admits waiting requests.
async fn follow_group_loads(gateway: Arc<Gateway>) {
    let mut changes = gateway.mesh.subscribe_group_loads();
    while changes.next().await {
        let backlogged_groups = gateway.queues.groups_with_backlog();
        let (Some(catalog), Some(targets)) = (gateway.board.catalog(), gateway.board.targets()) else {
            continue;
        };
        gateway.loads.stragglers.update(&gateway.mesh, &targets.value);
        for load in gateway.mesh.group_loads() {
            gateway.response_monitor.record_report(&load);
        }
        // Engine and maximum pause by service, as a service may have many groups.
        let mut engines = HashMap::new();
        for group in backlogged_groups {
            let Some((service_name, size)) = targets.value.service_of(&group) else {
                continue;
            };
            let engine = *engines.entry(service_name).or_insert_with(|| {
                let service = catalog.value.find_service(service_name)?;
                let engine = catalog.value.service(service).engine.as_ref()?;
                Some((engine, catalog.value.max_pause_of(service_name)?))
            });
            if let Some((engine, max_pause)) = engine {
                let group = Group { name: &group, size };
                let open_fraction = gateway.open_fraction(&targets.value, group);
                gateway.queues.refresh(group, open_fraction, engine, max_pause);
            }
        }
        tokio::time::sleep(MIN_LOAD_UPDATE_INTERVAL).await;
    }
}

/// Drops the state of targets and routes that no longer exist, and the backlogs of evacuated groups.
async fn drop_removed_state(gateway: Arc<Gateway>) {
    let mut targets = gateway.board.subscribe_targets();
    while targets.changed().await.is_ok() {
        let Some(observation) = targets.borrow_and_update().clone() else {
            continue;
        };
        for group in gateway.queues.groups_with_backlog() {
            if observation.value.is_evacuated_group(&group) {
                gateway.queues.displace(&group);
            }
        }
        gateway.target_client.pool.retain(&observation.value);
        gateway.target_client.processes.retain(&observation.value);
        gateway.loads.retain(&observation.value);
        gateway.response_monitor.retain(&observation.value);
        gateway.board.throttle.retain(&observation.value);
        if let Some(catalog) = gateway.board.catalog() {
            let routes = &catalog.value.document().routes;
            let route_exists = |name: &str| routes.iter().any(|route| route.name == name);
            gateway.traffic_split.retain(route_exists);
            let mut deadlines = gateway.deadlines.lock().unwrap_or_else(PoisonError::into_inner);
            deadlines.retain(route_exists);
            gateway.exit.retain(route_exists);
        }
    }
}
