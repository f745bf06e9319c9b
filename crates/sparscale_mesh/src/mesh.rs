//! The links of a process, and the other entries that it knows.
//!
//! Entries keep links to all other entries, dial missing ones again with an exponential delay, and remove those that
//! stay unresponsive. The number of known and linked entries decides which share of common limits this process may use.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sparscale_belief::Board;
use sparscale_clock::Timestamp;
use sparscale_history::Position;
use sparscale_policy::rate_limit::{self, Members, Settling};
use sparscale_telemetry::DECISION;
use sparscale_wire::{Channel, Endpoint, Frame, Peer, Role, StreamRequest, group};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::link::Link;
use crate::request::Request;
use crate::traffic::{Counters, Traffic};

/// Interval at which missing links are dialled and unresponsive entries removed.
const DIAL_INTERVAL: Duration = Duration::from_millis(200);
/// First delay before an unreachable entry is dialled again, doubled up to [`MAX_REDIAL_DELAY`].
const MIN_REDIAL_DELAY: Duration = Duration::from_millis(200);
const MAX_REDIAL_DELAY: Duration = Duration::from_secs(3);
/// Time for which, of two entries, the one with the larger address waits for the other to dial.
const DIAL_DEFERRAL: Duration = Duration::from_millis(600);
/// Timeout of opening a link.
const OPEN_TIMEOUT: Duration = Duration::from_millis(1_500);
/// An entry from which nothing was received for this long is removed, unless the settings name it. Links between
/// regions can fail for minutes, and an entry that is only partitioned still uses its share of the common limits.
const ENTRY_RETENTION: Duration = Duration::from_mins(10);
/// An entry from which something was received within this time may still have requests in the groups whose headroom all
/// entries share.
const RECENTLY_SEEN_LIMIT: Duration = Duration::from_secs(12);

/// The address and role of this process, and how it exchanges observations.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Address at which this process accepts connections from other processes.
    pub address: SocketAddr,
    /// Role of this process.
    pub role: Role,
    /// Entries that the settings name; they may have been removed.
    pub seeds: Vec<SocketAddr>,
    /// Time between two exchanges on a link without changes.
    pub interval: Duration,
    /// Number of entries up to which each forwards loads to all others at once. Among more, the time between two load
    /// messages on a link grows by [`LOAD_INTERVAL_STEP`] for each further such number of entries, so that all links
    /// together carry about as much as among twice this number without that delay.
    pub entries_per_load_step: usize,
}

/// Default number of entries up to which loads are forwarded at once; known deployments have at most 15 entries.
pub const DEFAULT_ENTRIES_PER_LOAD_STEP: usize = 16;
/// Step by which the time between two load messages on a link grows with the number of entries; see [`Settings`].
pub const LOAD_INTERVAL_STEP: Duration = Duration::from_millis(100);
/// Longest time between two load messages on a link; the loads of a group are used for about a second.
const MAX_LOAD_INTERVAL: Duration = Duration::from_millis(500);

/// Index of this entry among the live ones, and their number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Status {
    /// Number of linked entries with a smaller address: 0 for the first entry.
    pub index: usize,
    /// Number of entries that are live or were recently, including this one.
    pub entries: usize,
    /// Number of entries among which common limits are divided: all known ones, including this one. `None` unless this
    /// entry and those linked to it are a majority of them, because the others may be a majority that does not know of
    /// it.
    pub sharers: Option<usize>,
}

/// What is known of another entry.
#[derive(Debug, Clone, Copy)]
struct Entry {
    link_count: usize,
    last_seen: Option<Timestamp>,
    /// When a linked entry last stated that it is linked to this one.
    last_named: Option<Timestamp>,
    /// Time for which it had been running at its last message.
    uptime: Option<Duration>,
    next_dial_at: Instant,
    dial_failures: u32,
    discovered_at: Timestamp,
}

/// The links of this process to others, and what it knows of them.
#[derive(Debug)]
pub struct Mesh {
    pub(crate) settings: Settings,
    pub(crate) board: Arc<Board>,
    pub(crate) started_at: Timestamp,
    endpoint: Arc<Endpoint>,
    entries: Mutex<BTreeMap<SocketAddr, Entry>>,
    status: watch::Sender<Status>,
    members: watch::Sender<Members>,
    settling: Mutex<Settling>,
    latest_catalog_request: Request,
    latest_roster_request: Request,
    pub(crate) received: Counters,
    /// Latest loads of each group.
    pub(crate) groups: watch::Sender<BTreeMap<String, Report>>,
}

/// Loads of a group, and how they were received.
#[derive(Debug, Clone)]
pub(crate) struct Report {
    pub(crate) load: Arc<group::Load>,
    /// Whether the group leader sent them to this process itself, which then forwards them to the other entries.
    pub(crate) from_leader: bool,
}

impl Mesh {
    /// A mesh that knows only the seeds.
    pub fn new(settings: Settings, board: Arc<Board>, endpoint: Arc<Endpoint>) -> Arc<Self> {
        let started_at = board.now();
        let mesh = Self {
            started_at,
            board,
            endpoint,
            entries: Mutex::default(),
            status: watch::Sender::new(Status {
                index: 0,
                entries: 1,
                sharers: None,
            }),
            members: watch::Sender::new(Members {
                is_settled: false,
                ..Members::new(settings.address, &[])
            }),
            settling: Mutex::new(Settling::new(started_at)),
            latest_catalog_request: Request::default(),
            latest_roster_request: Request::default(),
            received: Counters::default(),
            groups: watch::Sender::new(BTreeMap::new()),
            settings,
        };
        mesh.add_entries(&mesh.settings.seeds);
        Arc::new(mesh)
    }

    /// Address at which this process accepts connections from other processes.
    pub fn address(&self) -> SocketAddr {
        self.settings.address
    }

    /// Numbers of values that other processes sent to this one.
    pub fn traffic(&self) -> Traffic {
        Traffic {
            catalogs: self.received.catalogs.load(Ordering::Relaxed),
            rosters: self.received.rosters.load(Ordering::Relaxed),
            loads: self.received.loads.load(Ordering::Relaxed),
            addresses: self.received.addresses.load(Ordering::Relaxed),
        }
    }

    /// Subscribes to this entry's index among the live ones, and their number.
    pub fn status(&self) -> watch::Receiver<Status> {
        self.status.subscribe()
    }

    /// Subscribes to the entries among which the rates of targets are divided.
    pub fn members(&self) -> watch::Receiver<Members> {
        self.members.subscribe()
    }

    /// Latest loads of a group.
    pub fn group_load(&self, name: &str) -> Option<Arc<group::Load>> {
        self.groups.borrow().get(name).map(|report| Arc::clone(&report.load))
    }

    /// Latest loads of all groups.
    pub fn group_loads(&self) -> Vec<Arc<group::Load>> {
        self.groups
            .borrow()
            .values()
            .map(|report| Arc::clone(&report.load))
            .collect()
    }

    /// Subscribes to the loads of all groups.
    pub fn subscribe_group_loads(&self) -> Changes {
        Changes(self.groups.subscribe())
    }

    /// Merges loads of a group, unless later ones are known; `from_leader` if the group leader sent them to this
    /// process itself.
    pub fn merge_group_load(&self, load: group::Load, from_leader: bool) {
        self.groups.send_if_modified(|groups| {
            let is_newer = groups
                .get(&load.group)
                .is_none_or(|report| report.load.sequence < load.sequence);
            if is_newer {
                let name = load.group.clone();
                let load = Arc::new(load);
                groups.insert(name, Report { load, from_leader });
            }
            is_newer
        });
    }

    /// Keeps links to all other entries; never returns.
    pub async fn run_entry_links(self: Arc<Self>) {
        loop {
            for address in self.take_due_dials() {
                tokio::spawn(Arc::clone(&self).dial(address));
            }
            self.remove_unresponsive();
            self.update_status();
            tokio::time::sleep(DIAL_INTERVAL).await;
        }
    }

    /// Keeps a link to one entry, and to the next one when it ends; never returns. Agents start at an entry that
    /// depends on their address, so that they spread over the entries.
    pub async fn run_agent_link(self: Arc<Self>) {
        let mut index = spread_index(self.settings.address);
        loop {
            let entries: Vec<SocketAddr> = self.lock_entries().keys().copied().collect();
            if !entries.is_empty() {
                let address = entries[index % entries.len()];
                Arc::clone(&self).dial(address).await;
                index = index.wrapping_add(1);
            }
            tokio::time::sleep(MIN_REDIAL_DELAY).await;
        }
    }

    /// Serves the streams that a peer opens to exchange observations; other streams are closed.
    pub async fn serve(self: Arc<Self>, peer: Peer) {
        while let Ok(mut channel) = peer.accept().await {
            let mesh = Arc::clone(&self);
            let role = peer.role;
            tokio::spawn(async move {
                if matches!(
                    channel.receiver.receive().await,
                    Ok(Frame::Open(StreamRequest::ExchangeObservations))
                ) {
                    mesh.run_link(channel, role).await;
                }
            });
        }
    }

    /// Accepts connections of other processes until the endpoint closes.
    pub async fn accept(self: Arc<Self>) {
        while let Ok(incoming) = self.endpoint.accept().await {
            let mesh = Arc::clone(&self);
            tokio::spawn(async move {
                match incoming.establish().await {
                    Ok(peer) => mesh.serve(peer).await,
                    Err(error) => {
                        log::info!(target: DECISION, decision = "peer_refused", error = error.to_string().as_str(); "an incoming connection from another process could not be established");
                    }
                }
            });
        }
    }

    /// Adds entries that a peer or the settings named.
    pub(crate) fn add_entries(&self, addresses: &[SocketAddr]) {
        let (now, discovered_at) = (Instant::now(), self.board.now());
        let mut entries = self.lock_entries();
        for address in addresses {
            if *address != self.settings.address {
                entries.entry(*address).or_insert(Entry {
                    link_count: 0,
                    last_seen: None,
                    last_named: None,
                    uptime: None,
                    next_dial_at: now,
                    dial_failures: 0,
                    discovered_at,
                });
            }
        }
    }

    /// Whether to request the catalog of this version from an entry; if so, records the request. An agent receives it
    /// without a request.
    pub(crate) fn try_request_catalog(&self, version: Position) -> bool {
        let known_position = self.board.catalog().map(|observed| observed.position);
        self.settings.role == Role::Entry
            && known_position < Some(version)
            && self.latest_catalog_request.try_record(version)
    }

    /// Whether to request the roster at this position from an entry; if so, records the request. An agent receives it
    /// without a request.
    pub(crate) fn try_request_roster(&self, position: Position) -> bool {
        let known_position = self.board.store_roster().map(|observed| observed.position);
        self.settings.role == Role::Entry
            && known_position < Some(position)
            && self.latest_roster_request.try_record(position)
    }

    /// Time between two load messages on a link.
    pub(crate) fn load_interval(&self) -> Duration {
        let steps = (self.status.borrow().entries.saturating_sub(1)) / self.settings.entries_per_load_step.max(1);
        let steps = u32::try_from(steps).unwrap_or(u32::MAX);
        LOAD_INTERVAL_STEP.saturating_mul(steps).min(MAX_LOAD_INTERVAL)
    }

    /// Records the entries that a linked entry states to be linked to; it counts itself among them.
    pub(crate) fn record_named(&self, addresses: &[SocketAddr]) {
        self.add_entries(addresses);
        let now = self.board.now();
        let mut entries = self.lock_entries();
        for address in addresses {
            if let Some(entry) = entries.get_mut(address) {
                entry.last_named = Some(now);
            }
        }
    }

    /// Records that a message of an entry was received that had been running for `uptime`.
    pub(crate) fn record_seen(&self, address: SocketAddr, uptime: Duration) {
        self.add_entries(&[address]);
        if let Some(entry) = self.lock_entries().get_mut(&address) {
            entry.last_seen = Some(self.board.now());
            entry.uptime = Some(uptime);
            entry.dial_failures = 0;
        }
    }

    /// Addresses of the entries that have a link to this process, including its own if it is an entry.
    pub(crate) fn linked_entries(&self) -> Vec<SocketAddr> {
        let entries = self.lock_entries();
        let linked = entries.iter().filter(|(_, entry)| entry.link_count > 0);
        let mut addresses: Vec<SocketAddr> = linked.map(|(address, _)| *address).collect();
        if self.settings.role == Role::Entry {
            addresses.push(self.settings.address);
        }
        addresses
    }

    /// Adds `change` to the number of links to an entry.
    pub(crate) fn change_link_count(&self, address: SocketAddr, change: isize) {
        let now = Instant::now();
        if let Some(entry) = self.lock_entries().get_mut(&address) {
            entry.link_count = entry.link_count.saturating_add_signed(change);
            entry.next_dial_at = now;
        }
        self.update_status();
    }

    async fn dial(self: Arc<Self>, address: SocketAddr) {
        let opened = tokio::time::timeout(OPEN_TIMEOUT, self.open(address)).await;
        match opened {
            Ok(Some(channel)) => self.run_link(channel, Role::Entry).await,
            _ => self.record_dial_failure(address),
        }
    }

    async fn open(&self, address: SocketAddr) -> Option<Channel> {
        let mut channel = self.endpoint.open(address, Role::Entry).await.ok()?;
        channel
            .sender
            .send(&Frame::Open(StreamRequest::ExchangeObservations))
            .await
            .ok()?;
        Some(channel)
    }

    async fn run_link(self: &Arc<Self>, channel: Channel, role: Role) {
        Link::new(Arc::clone(self), role).run(channel).await;
    }

    /// Entries without a link that are due to be dialled; schedules their next attempt.
    fn take_due_dials(&self) -> Vec<SocketAddr> {
        let (now, timestamp) = (Instant::now(), self.board.now());
        let mut due = Vec::new();
        for (address, entry) in self.lock_entries().iter_mut() {
            let is_deferred = *address < self.settings.address && timestamp < entry.discovered_at + DIAL_DEFERRAL;
            if entry.link_count == 0 && entry.next_dial_at <= now && !is_deferred {
                // The next attempt starts only after this one has failed.
                entry.next_dial_at = now + OPEN_TIMEOUT + MIN_REDIAL_DELAY;
                due.push(*address);
            }
        }
        due
    }

    fn record_dial_failure(&self, address: SocketAddr) {
        let now = Instant::now();
        if let Some(entry) = self.lock_entries().get_mut(&address) {
            let delay = MIN_REDIAL_DELAY
                .saturating_mul(2_u32.saturating_pow(entry.dial_failures))
                .min(MAX_REDIAL_DELAY);
            entry.dial_failures += 1;
            entry.next_dial_at = now + delay;
        }
    }

    fn remove_unresponsive(&self) {
        let now = self.board.now();
        let seeds = &self.settings.seeds;
        self.lock_entries().retain(|address, entry| {
            let last_seen = entry.last_seen.unwrap_or(entry.discovered_at);
            entry.link_count > 0 || now.since(last_seen) < ENTRY_RETENTION || seeds.contains(address)
        });
    }

    fn update_status(&self) {
        let now = self.board.now();
        let status = {
            let entries = self.lock_entries();
            let precedes =
                |(address, entry): &(&SocketAddr, &Entry)| entry.link_count > 0 && **address < self.settings.address;
            let linked_count = entries.values().filter(|entry| entry.link_count > 0).count() + 1;
            let known_count = entries.len() + 1;
            let is_live = |entry: &&Entry| {
                let seen_recently = entry
                    .last_seen
                    .is_some_and(|last_seen| now.since(last_seen) < RECENTLY_SEEN_LIMIT);
                entry.link_count > 0 || seen_recently
            };
            Status {
                index: entries.iter().filter(precedes).count(),
                entries: entries.values().filter(is_live).count() + 1,
                sharers: (2 * linked_count > known_count).then_some(known_count),
            }
        };
        set_if_changed(&self.status, status);
        set_if_changed(&self.members, self.rate_members());
    }

    /// The entries among which the rates of targets are divided.
    fn rate_members(&self) -> Members {
        let now = self.board.now();
        let entries = self.lock_entries();
        let peer = |(address, entry): (&SocketAddr, &Entry)| rate_limit::Peer {
            address: *address,
            is_linked: entry.link_count > 0,
            since_last_message: entry.last_seen.map(|last_seen| now.since(last_seen)),
            since_named: entry.last_named.map(|last_named| now.since(last_named)),
            uptime: entry.uptime,
        };
        let peers: Vec<rate_limit::Peer> = entries.iter().map(peer).collect();
        let mut settling = self.settling.lock().unwrap_or_else(PoisonError::into_inner);
        Members {
            is_settled: settling.update(&peers, now),
            ..Members::new(self.settings.address, &peers)
        }
    }

    fn lock_entries(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Entry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Stores a value; wakes subscribers only if it changed.
fn set_if_changed<T: PartialEq>(cell: &watch::Sender<T>, value: T) {
    cell.send_if_modified(|latest| {
        let changed = *latest != value;
        *latest = value;
        changed
    });
}

/// A subscription to the loads of all groups.
#[derive(Debug)]
pub struct Changes(watch::Receiver<BTreeMap<String, Report>>);

impl Changes {
    /// Waits for the next change; false if the mesh was dropped.
    pub async fn next(&mut self) -> bool {
        self.0.changed().await.is_ok()
    }
}

/// An index derived from the address, which spreads processes evenly over a few choices.
fn spread_index(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else { return 0 };
    let octets = address.ip().octets();
    usize::from(octets[2]) * 7 + usize::from(octets[3])
}
