//! All processes and stubs of a round.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use sparscale_fleet::Process;
use tokio::sync::Mutex;

use crate::engines::Engines;
use crate::ledger::{Book, Incident};
use crate::places::{GROUP, HOST, KEYS, MODEL, Net, PEER_PORT, ROUTES, SERVICE, Size};
use crate::platform::{AgentPlace, Bounds, EntryPlace, Listed, Offer, Platform, Rank};
use crate::proxy::Proxy;
use crate::store::Store;
use crate::target::Target;

/// Time past the shutdown timeout by which a process must have terminated; the margin allows for a busy machine.
const LATE: Duration = Duration::from_secs(2);
/// Interval at which a stopping process is polled.
const LOOK: Duration = Duration::from_millis(20);
/// Most entries that a settings file names as seeds.
const SEEDS: usize = 3;
/// Most resident memory of a process, in kilobytes: several times its use when idle.
const MEMORY_KB: u64 = 64 << 10;

/// A target and the proxy in front of it.
pub(crate) struct TargetPlace {
    pub(crate) target: Arc<Target>,
    pub(crate) proxy: Proxy,
    /// Number of the current incarnation.
    incarnations: Mutex<u32>,
}

/// An entry or agent and its process, if it runs.
struct Slot {
    name: String,
    program: &'static str,
    process: Mutex<Option<Process>>,
    /// Whether the process was asked to terminate.
    stopping: AtomicBool,
    log: PathBuf,
    settings: PathBuf,
}

/// Everything that runs in a round.
pub(crate) struct Stage {
    pub(crate) net: Net,
    pub(crate) size: Size,
    pub(crate) bounds: Bounds,
    pub(crate) platform: Arc<dyn Platform>,
    pub(crate) book: Arc<Book>,
    pub(crate) store: Arc<Store>,
    /// Proxies to the store, one for each process.
    pub(crate) store_proxies: Vec<Proxy>,
    pub(crate) targets: Vec<TargetPlace>,
    pub(crate) engines: Arc<Engines>,
    /// The entries, then the agents.
    processes: Vec<Slot>,
    offer: Mutex<Offer>,
}

impl Stage {
    /// Starts everything, with its files in `folder`.
    pub(crate) async fn start(
        platform: Arc<dyn Platform>,
        net: Net,
        size: Size,
        bounds: Bounds,
        folder: &Path,
    ) -> Result<Self, String> {
        let book = Arc::new(Book::default());
        let said = |error: std::io::Error| error.to_string();
        let store = Store::start(Arc::clone(&platform), net.store()).await.map_err(said)?;
        let mut store_proxies = Vec::new();
        for process in 0..size.processes() {
            let proxy = Proxy::start(net.store_for(process), net.store()).await.map_err(said)?;
            store_proxies.push(proxy);
        }
        let mut targets = Vec::new();
        for index in 0..size.targets {
            let dialect = platform.dialect();
            let id = incarnation(index, 0);
            let target = Target::start(index, net.target(index), id, dialect, Arc::clone(&book));
            targets.push(TargetPlace {
                target: target.await.map_err(said)?,
                proxy: Proxy::start(net.listed(index), net.target(index)).await.map_err(said)?,
                incarnations: Mutex::new(0),
            });
        }
        let offer = Offer {
            version: 1,
            host: HOST,
            service: SERVICE,
            routes: &ROUTES,
            keys: (0..KEYS).map(|key| format!("key-{key}")).collect(),
            model: (size.ranks > 0).then_some(MODEL),
        };
        let slot = |name: String, program| Slot {
            process: Mutex::default(),
            stopping: AtomicBool::new(false),
            log: folder.join(format!("{name}.log")),
            settings: folder.join(format!("{name}.json")),
            name,
            program,
        };
        let entries = (0..size.entries).map(|entry| slot(format!("entry-{entry}"), platform.program()));
        let agents = (0..size.ranks).map(|rank| slot(format!("agent-{rank}"), platform.agent_program()));
        let processes = entries.chain(agents).collect();
        let engines = Engines::start(Arc::clone(&platform), net, size).await.map_err(said)?;
        let stage = Self {
            net,
            size,
            bounds,
            platform,
            book,
            store,
            store_proxies,
            targets,
            engines,
            processes,
            offer: Mutex::new(offer),
        };
        stage.fill_store().await;
        for process in 0..size.processes() {
            stage.write_settings(process)?;
            stage.start_process(process).await?;
        }
        Ok(stage)
    }

    async fn fill_store(&self) {
        let offer = self.offer.lock().await;
        self.store.add(self.platform.offer(&offer));
        for index in 0..self.targets.len() {
            self.list(index, false);
        }
        for rank in 0..self.size.ranks {
            self.list_rank(rank);
        }
    }

    fn write_settings(&self, process: usize) -> Result<(), String> {
        let settings = match process.checked_sub(self.size.entries) {
            Some(rank) => self.agent_settings(rank),
            None => self.entry_settings(process),
        };
        let path = &self.processes[process].settings;
        std::fs::write(path, settings).map_err(|error| format!("{}: {error}", path.display()))
    }

    fn agent_settings(&self, rank: usize) -> String {
        let process = self.size.agent(rank);
        let seeds = 0..self.size.entries.min(SEEDS);
        let place = AgentPlace {
            name: self.processes[process].name.clone(),
            address: self.net.machine(process),
            metrics: self.net.metrics(process),
            peer_port: PEER_PORT,
            seeds: seeds.map(|entry| self.net.peer(entry)).collect(),
            engine: self.net.engine(process),
            service: MODEL,
            store: self.net.store_for(process),
        };
        self.platform.agent_settings(&place)
    }

    fn entry_settings(&self, entry: usize) -> String {
        let seeds = (0..self.size.entries).filter(|other| *other != entry).take(SEEDS);
        let place = EntryPlace {
            name: self.processes[entry].name.clone(),
            address: self.net.machine(entry),
            callers: self.net.callers(entry),
            ready: self.net.ready(entry),
            metrics: self.net.metrics(entry),
            peer_port: PEER_PORT,
            seeds: seeds.map(|other| self.net.peer(other)).collect(),
            store: self.net.store_for(entry),
            bounds: self.bounds,
        };
        self.platform.settings(&place)
    }

    pub(crate) async fn start_process(&self, process: usize) -> Result<(), String> {
        let slot = &self.processes[process];
        let arguments = [slot.settings.display().to_string()];
        let process = Process::start(slot.program, &arguments, &slot.log)?;
        slot.stopping.store(false, Ordering::SeqCst);
        *slot.process.lock().await = Some(process);
        Ok(())
    }

    /// Sends a signal to a process, if it runs.
    pub(crate) async fn signal(&self, index: usize, signal: Signal) {
        let process = self.processes[index].process.lock().await;
        let sent = process.as_ref().map(|process| process.signal(signal));
        if let Some(Err(error)) = sent {
            self.note(index, format!("{signal} could not be sent: {error}"));
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
        self.processes[index].stopping.store(true, Ordering::SeqCst);
        self.signal(index, Signal::SIGTERM).await;
        let asked = Instant::now();
        while asked.elapsed() < self.bounds.grace + LATE {
            if self.has_ended(index).await {
                self.kill(index).await;
                return;
            }
            tokio::time::sleep(LOOK).await;
        }
        self.note(
            index,
            format!("still there {} s after SIGTERM", asked.elapsed().as_secs()),
        );
        self.kill(index).await;
    }

    async fn has_ended(&self, index: usize) -> bool {
        let mut process = self.processes[index].process.lock().await;
        let Some(process) = process.as_mut() else { return true };
        match process.exit_status() {
            Some(status) if !status.success() => {
                self.note(index, format!("ended with {status} when asked to stop"));
                true
            }
            Some(_) => true,
            None => false,
        }
    }

    /// Records processes that have terminated on their own or use too much memory.
    pub(crate) async fn look_at_processes(&self) {
        for (index, slot) in self.processes.iter().enumerate() {
            let mut process = slot.process.lock().await;
            let Some(process) = process.as_mut() else { continue };
            let asked = slot.stopping.load(Ordering::SeqCst);
            if let Some(status) = process.exit_status().filter(|_| !asked) {
                self.note(index, format!("ended by itself with {status}"));
            }
            let memory = resident_kb(process.id()).unwrap_or(0);
            if memory > MEMORY_KB {
                self.note(index, format!("holds {memory} kB"));
            }
        }
    }

    /// Records panics that the logs show.
    pub(crate) fn look_at_logs(&self) {
        for (index, slot) in self.processes.iter().enumerate() {
            match std::fs::read_to_string(&slot.log) {
                Ok(text) if text.contains("panicked at") => self.note(index, "its log tells of a panic".to_owned()),
                Ok(_) => {}
                Err(error) => self.note(index, format!("its log cannot be read: {error}")),
            }
        }
    }

    /// Kills all processes.
    pub(crate) async fn end(&self) {
        for index in 0..self.processes.len() {
            self.kill(index).await;
        }
    }

    /// Registers target `index` in the store.
    pub(crate) fn list(&self, index: usize, leaving: bool) {
        let listed = Listed {
            id: self.targets[index].target.incarnation(),
            service: SERVICE,
            address: self.net.listed(index),
            leaving,
            born_ms: self.targets[index].target.born_ms(),
            rank: None,
        };
        self.store.add(self.platform.listed(&listed));
    }

    /// Registers an engine of the group in the store.
    pub(crate) fn list_rank(&self, rank: usize) {
        let report = self.engines.group().report(rank, Instant::now());
        let listed = Listed {
            id: format!("rank-{rank}"),
            service: MODEL,
            address: self.net.engine(self.size.agent(rank)),
            leaving: false,
            born_ms: report.born_ms,
            rank: Some(Rank {
                group: GROUP,
                epoch: report.epoch,
                number: rank,
                size: report.size,
            }),
        };
        self.store.add(self.platform.listed(&listed));
    }

    /// Renews the registrations of all targets.
    pub(crate) fn beat(&self) {
        let any = Listed {
            id: String::new(),
            service: SERVICE,
            address: self.net.listed(0),
            leaving: false,
            born_ms: 0,
            rank: None,
        };
        self.store.beat(self.platform.listed(&any).topic);
    }

    /// Removes the registration of an incarnation.
    pub(crate) fn unlist(&self, index: usize, id: String) {
        let listed = Listed {
            id,
            service: SERVICE,
            address: self.net.listed(index),
            leaving: true,
            born_ms: 0,
            rank: None,
        };
        let mut record = self.platform.listed(&listed);
        record.value = None;
        self.store.add(record);
    }

    /// Writes records of another writer, some of which copy the registration of target `index`.
    pub(crate) fn add_foreign(&self, index: usize) {
        let listed = Listed {
            id: self.targets[index].target.incarnation(),
            service: SERVICE,
            address: self.net.listed(index),
            leaving: false,
            born_ms: self.targets[index].target.born_ms(),
            rank: None,
        };
        for record in self.platform.foreign(&listed) {
            self.store.add(record);
        }
    }

    /// Deletes the records of another writer.
    pub(crate) fn drop_foreign(&self) {
        let listed = Listed {
            id: String::new(),
            service: SERVICE,
            address: self.net.listed(0),
            leaving: false,
            born_ms: 0,
            rank: None,
        };
        for mut record in self.platform.foreign(&listed) {
            record.value = None;
            self.store.add(record);
        }
    }

    /// Starts the next incarnation of target `index`.
    pub(crate) async fn renew(&self, index: usize) {
        let place = &self.targets[index];
        let mut incarnations = place.incarnations.lock().await;
        *incarnations += 1;
        place.target.become_new(incarnation(index, *incarnations));
    }

    /// Revokes a key; returns whether it was active.
    pub(crate) async fn revoke(&self, key: &str) -> bool {
        let mut offer = self.offer.lock().await;
        let before = offer.keys.len();
        offer.keys.retain(|known| known != key);
        if offer.keys.len() == before {
            return false;
        }
        offer.version += 1;
        self.store.add(self.platform.offer(&offer));
        true
    }

    /// Writes a configuration that differs in its version only.
    pub(crate) async fn renew_offer(&self) {
        let mut offer = self.offer.lock().await;
        offer.version += 1;
        self.store.add(self.platform.offer(&offer));
    }

    /// Grants a key; returns whether it was inactive.
    pub(crate) async fn grant(&self, key: &str) -> bool {
        let mut offer = self.offer.lock().await;
        if offer.keys.iter().any(|known| known == key) {
            return false;
        }
        offer.keys.push(key.to_owned());
        offer.version += 1;
        self.store.add(self.platform.offer(&offer));
        true
    }

    /// Records an unexpected event of a process.
    pub(crate) fn note(&self, process: usize, what: String) {
        let process = self.processes[process].name.clone();
        self.book.open().incidents.push(Incident { process, what });
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
