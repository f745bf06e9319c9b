//! All processes and stubs of a round.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use sparscale_fleet::Process;
use tokio::sync::Mutex;

use crate::caller::BusyEntry;
use crate::engines::Engines;
use crate::event_log::{Incident, SharedEventLog};
use crate::layout::{GROUP_NAME, GROUP_SERVICE, HOST, INITIAL_KEY_COUNT, Net, PEER_PORT, ROUTES, SERVICE, Size};
use crate::platform::{AgentConfig, Bounds, Configuration, EntryConfig, Membership, Platform, Registration};
use crate::proxy::Proxy;
use crate::store::Store;
use crate::target::Target;

/// Time past the shutdown timeout by which a process must have terminated; the margin allows for a busy machine.
const SHUTDOWN_MARGIN: Duration = Duration::from_secs(2);
/// Interval at which a stopping process is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Most entries that a settings file names as seeds.
const MAX_SEEDS: usize = 3;
/// Most resident memory of a process, in kilobytes: several times its use when idle.
const MAX_MEMORY_KB: u64 = 64 << 10;

/// A target and the proxy in front of it.
pub(crate) struct TargetHandle {
    pub(crate) target: Arc<Target>,
    pub(crate) proxy: Proxy,
    /// Number of the current incarnation.
    incarnation_number: Mutex<u32>,
}

/// An entry or agent and its process, if it runs.
struct ManagedProcess {
    name: String,
    program: &'static str,
    process: Mutex<Option<Process>>,
    /// Whether the process was asked to terminate.
    is_stopping: AtomicBool,
    log_path: PathBuf,
    settings_path: PathBuf,
}

/// Everything that runs in a round.
pub(crate) struct Environment {
    pub(crate) net: Net,
    pub(crate) size: Size,
    pub(crate) bounds: Bounds,
    pub(crate) platform: Arc<dyn Platform>,
    pub(crate) event_log: Arc<SharedEventLog>,
    pub(crate) store: Arc<Store>,
    /// Proxies to the store, one for each process.
    pub(crate) store_proxies: Vec<Proxy>,
    pub(crate) targets: Vec<TargetHandle>,
    pub(crate) engines: Arc<Engines>,
    pub(crate) busy_entry: Arc<BusyEntry>,
    /// The entries, then the agents.
    processes: Vec<ManagedProcess>,
    configuration: Mutex<Configuration>,
}

impl Environment {
    /// Starts everything, with its files in `directory`.
    pub(crate) async fn start(
        platform: Arc<dyn Platform>,
        net: Net,
        size: Size,
        bounds: Bounds,
        directory: &Path,
    ) -> Result<Self, String> {
        let event_log = Arc::new(SharedEventLog::default());
        let to_text = |error: std::io::Error| error.to_string();
        let store = Store::start(Arc::clone(&platform), net.store_address())
            .await
            .map_err(to_text)?;
        let mut store_proxies = Vec::new();
        for process in 0..size.process_count() {
            let proxy = Proxy::start(net.store_proxy_address(process), net.store_address())
                .await
                .map_err(to_text)?;
            store_proxies.push(proxy);
        }
        let mut targets = Vec::new();
        for index in 0..size.targets {
            let header_names = platform.header_names();
            let id = incarnation(index, 0);
            let target = Target::start(
                index,
                net.target_address(index),
                id,
                header_names,
                Arc::clone(&event_log),
            );
            targets.push(TargetHandle {
                target: target.await.map_err(to_text)?,
                proxy: Proxy::start(net.target_proxy_address(index), net.target_address(index))
                    .await
                    .map_err(to_text)?,
                incarnation_number: Mutex::new(0),
            });
        }
        let configuration = Configuration {
            version: 1,
            host: HOST,
            service: SERVICE,
            routes: &ROUTES,
            keys: (0..INITIAL_KEY_COUNT).map(|key| format!("key-{key}")).collect(),
            group_service: (size.ranks > 0).then_some(GROUP_SERVICE),
        };
        let managed = |name: String, program| ManagedProcess {
            process: Mutex::default(),
            is_stopping: AtomicBool::new(false),
            log_path: directory.join(format!("{name}.log")),
            settings_path: directory.join(format!("{name}.json")),
            name,
            program,
        };
        let entries = (0..size.entries).map(|entry| managed(format!("entry-{entry}"), platform.entry_program()));
        let agents = (0..size.ranks).map(|rank| managed(format!("agent-{rank}"), platform.agent_program()));
        let processes = entries.chain(agents).collect();
        let engines = Engines::start(Arc::clone(&platform), net, size)
            .await
            .map_err(to_text)?;
        let environment = Self {
            net,
            size,
            bounds,
            platform,
            event_log,
            store,
            store_proxies,
            targets,
            engines,
            busy_entry: Arc::default(),
            processes,
            configuration: Mutex::new(configuration),
        };
        environment.fill_store().await;
        for process in 0..size.process_count() {
            environment.write_settings(process)?;
            environment.start_process(process).await?;
        }
        Ok(environment)
    }

    async fn fill_store(&self) {
        let configuration = self.configuration.lock().await;
        self.store.add(self.platform.encode_configuration(&configuration));
        for index in 0..self.targets.len() {
            self.register(index, false);
        }
        for rank in 0..self.size.ranks {
            self.register_rank(rank);
        }
    }

    fn write_settings(&self, process: usize) -> Result<(), String> {
        let settings = match process.checked_sub(self.size.entries) {
            Some(rank) => self.agent_settings(rank),
            None => self.entry_settings(process),
        };
        let path = &self.processes[process].settings_path;
        std::fs::write(path, settings).map_err(|error| format!("{}: {error}", path.display()))
    }

    fn agent_settings(&self, rank: usize) -> String {
        let process = self.size.agent_index(rank);
        let seeds = 0..self.size.entries.min(MAX_SEEDS);
        let agent = AgentConfig {
            name: self.processes[process].name.clone(),
            address: self.net.process_ip(process),
            metrics_address: self.net.metrics_address(process),
            peer_port: PEER_PORT,
            seeds: seeds.map(|entry| self.net.peer_address(entry)).collect(),
            engine_address: self.net.engine_address(process),
            service: GROUP_SERVICE,
            store_address: self.net.store_proxy_address(process),
        };
        self.platform.agent_settings(&agent)
    }

    fn entry_settings(&self, entry: usize) -> String {
        let seeds = (0..self.size.entries).filter(|other| *other != entry).take(MAX_SEEDS);
        let config = EntryConfig {
            name: self.processes[entry].name.clone(),
            address: self.net.process_ip(entry),
            caller_address: self.net.caller_address(entry),
            ready_address: self.net.ready_address(entry),
            metrics_address: self.net.metrics_address(entry),
            peer_port: PEER_PORT,
            seeds: seeds.map(|other| self.net.peer_address(other)).collect(),
            store_address: self.net.store_proxy_address(entry),
            bounds: self.bounds,
        };
        self.platform.entry_settings(&config)
    }

    pub(crate) async fn start_process(&self, process: usize) -> Result<(), String> {
        let managed = &self.processes[process];
        let arguments = [managed.settings_path.display().to_string()];
        let process = Process::start(managed.program, &arguments, &managed.log_path)?;
        managed.is_stopping.store(false, Ordering::SeqCst);
        *managed.process.lock().await = Some(process);
        Ok(())
    }

    /// Id of a process; none if it has ended.
    pub(crate) async fn process_id(&self, index: usize) -> Option<u32> {
        let mut process = self.processes[index].process.lock().await;
        let process = process.as_mut()?;
        process.exit_status().is_none().then(|| process.id())
    }

    /// Sends a signal to a process, if it runs.
    pub(crate) async fn signal(&self, index: usize, signal: Signal) {
        let process = self.processes[index].process.lock().await;
        let result = process.as_ref().map(|process| process.signal(signal));
        if let Some(Err(error)) = result {
            self.record_incident(index, format!("{signal} could not be sent: {error}"));
        }
    }

    /// Kills a process.
    pub(crate) async fn kill(&self, index: usize) {
        if let Some(process) = self.processes[index].process.lock().await.take() {
            process.kill();
        }
    }

    /// Asks a process to terminate, waits until it has, and kills it after the timeout.
    pub(crate) async fn stop(&self, index: usize) {
        self.processes[index].is_stopping.store(true, Ordering::SeqCst);
        self.signal(index, Signal::SIGTERM).await;
        let asked_at = Instant::now();
        while asked_at.elapsed() < self.bounds.shutdown_timeout + SHUTDOWN_MARGIN {
            if self.has_terminated(index).await {
                self.kill(index).await;
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        self.record_incident(
            index,
            format!("still there {} s after SIGTERM", asked_at.elapsed().as_secs()),
        );
        self.kill(index).await;
    }

    async fn has_terminated(&self, index: usize) -> bool {
        let mut process = self.processes[index].process.lock().await;
        let Some(process) = process.as_mut() else { return true };
        match process.exit_status() {
            Some(status) if !status.success() => {
                self.record_incident(index, format!("ended with {status} when asked to stop"));
                true
            }
            Some(_) => true,
            None => false,
        }
    }

    /// Records processes that have terminated on their own or use too much memory.
    pub(crate) async fn check_processes(&self) {
        for (index, managed) in self.processes.iter().enumerate() {
            let mut process = managed.process.lock().await;
            let Some(process) = process.as_mut() else { continue };
            let is_stopping = managed.is_stopping.load(Ordering::SeqCst);
            if let Some(status) = process.exit_status().filter(|_| !is_stopping) {
                self.record_incident(index, format!("ended by itself with {status}"));
            }
            let memory_kb = resident_kb(process.id()).unwrap_or(0);
            if memory_kb > MAX_MEMORY_KB {
                self.record_incident(index, format!("holds {memory_kb} kB"));
            }
        }
    }

    /// Records panics that the logs show.
    pub(crate) fn check_logs(&self) {
        for (index, managed) in self.processes.iter().enumerate() {
            match std::fs::read_to_string(&managed.log_path) {
                Ok(text) if text.contains("panicked at") => {
                    self.record_incident(index, "its log tells of a panic".to_owned());
                }
                Ok(_) => {}
                Err(error) => self.record_incident(index, format!("its log cannot be read: {error}")),
            }
        }
    }

    /// Kills all processes.
    pub(crate) async fn kill_all(&self) {
        for index in 0..self.processes.len() {
            self.kill(index).await;
        }
    }

    /// Kills all processes without waiting for anything else that handles them.
    pub(crate) fn kill_remaining(&mut self) {
        for managed in &mut self.processes {
            if let Some(process) = managed.process.get_mut().take() {
                process.kill();
            }
        }
    }

    /// Registers target `index` in the store.
    pub(crate) fn register(&self, index: usize, draining: bool) {
        let registration = Registration {
            id: self.targets[index].target.incarnation(),
            service: SERVICE,
            address: self.net.target_proxy_address(index),
            is_draining: draining,
            born_ms: self.targets[index].target.started_at_ms(),
            membership: None,
        };
        self.store.add(self.platform.encode_registration(&registration));
    }

    /// Registers an engine of the group in the store.
    pub(crate) fn register_rank(&self, rank: usize) {
        let report = self.engines.group().report(rank, Instant::now());
        let registration = Registration {
            id: format!("rank-{rank}"),
            service: GROUP_SERVICE,
            address: self.net.engine_address(self.size.agent_index(rank)),
            is_draining: false,
            born_ms: report.born_ms,
            membership: Some(Membership {
                group: GROUP_NAME,
                epoch: report.epoch,
                rank_index: rank,
                rank_count: report.rank_count,
            }),
        };
        self.store.add(self.platform.encode_registration(&registration));
    }

    /// Renews the registrations of all targets.
    pub(crate) fn renew_registrations(&self) {
        let placeholder = Registration {
            id: String::new(),
            service: SERVICE,
            address: self.net.target_proxy_address(0),
            is_draining: false,
            born_ms: 0,
            membership: None,
        };
        self.store.renew(self.platform.encode_registration(&placeholder).topic);
    }

    /// Removes the registration of an incarnation.
    pub(crate) fn unregister(&self, index: usize, id: String) {
        let registration = Registration {
            id,
            service: SERVICE,
            address: self.net.target_proxy_address(index),
            is_draining: true,
            born_ms: 0,
            membership: None,
        };
        let mut record = self.platform.encode_registration(&registration);
        record.value = None;
        self.store.add(record);
    }

    /// Writes records of another writer, some of which copy the registration of target `index`.
    pub(crate) fn add_foreign_records(&self, index: usize) {
        let registration = Registration {
            id: self.targets[index].target.incarnation(),
            service: SERVICE,
            address: self.net.target_proxy_address(index),
            is_draining: false,
            born_ms: self.targets[index].target.started_at_ms(),
            membership: None,
        };
        for record in self.platform.foreign_records(&registration) {
            self.store.add(record);
        }
    }

    /// Deletes the records of another writer.
    pub(crate) fn remove_foreign_records(&self) {
        let registration = Registration {
            id: String::new(),
            service: SERVICE,
            address: self.net.target_proxy_address(0),
            is_draining: false,
            born_ms: 0,
            membership: None,
        };
        for mut record in self.platform.foreign_records(&registration) {
            record.value = None;
            self.store.add(record);
        }
    }

    /// Starts the next incarnation of target `index`.
    pub(crate) async fn start_next_incarnation(&self, index: usize) {
        let handle = &self.targets[index];
        let mut incarnation_number = handle.incarnation_number.lock().await;
        *incarnation_number += 1;
        handle.target.set_incarnation(incarnation(index, *incarnation_number));
    }

    /// Revokes a key; returns whether it was active.
    pub(crate) async fn revoke(&self, key: &str) -> bool {
        let mut configuration = self.configuration.lock().await;
        let previous_count = configuration.keys.len();
        configuration.keys.retain(|known| known != key);
        if configuration.keys.len() == previous_count {
            return false;
        }
        configuration.version += 1;
        self.store.add(self.platform.encode_configuration(&configuration));
        true
    }

    /// Writes a configuration that differs in its version only.
    pub(crate) async fn bump_configuration_version(&self) {
        let mut configuration = self.configuration.lock().await;
        configuration.version += 1;
        self.store.add(self.platform.encode_configuration(&configuration));
    }

    /// Grants a key; returns whether it was inactive.
    pub(crate) async fn grant(&self, key: &str) -> bool {
        let mut configuration = self.configuration.lock().await;
        if configuration.keys.iter().any(|known| known == key) {
            return false;
        }
        configuration.keys.push(key.to_owned());
        configuration.version += 1;
        self.store.add(self.platform.encode_configuration(&configuration));
        true
    }

    /// Records an unexpected event of a process.
    pub(crate) fn record_incident(&self, process: usize, details: String) {
        let process_name = self.processes[process].name.clone();
        self.event_log.lock().incidents.push(Incident { process_name, details });
    }
}

fn incarnation(target: usize, number: u32) -> String {
    format!("t{target}-{number}")
}

/// Resident memory of a process; none once it has terminated.
fn resident_kb(id: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}
