//! Which links there are, and who is known.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sparscale_belief::Board;
use sparscale_clock::Moment;
use sparscale_history::Place;
use sparscale_policy::rate_limit::{self, Members};
use sparscale_telemetry::DECISION;
use sparscale_wire::{Ask, Channel, Endpoint, Frame, GroupLoad, Peer, Role};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::link::Link;

/// Pause between two looks at which links are missing.
const DIAL_PAUSE: Duration = Duration::from_millis(200);
/// First pause before an entry that was not reached is dialled again, doubled up to [`MAX_REDIAL`].
const FIRST_REDIAL: Duration = Duration::from_millis(200);
const MAX_REDIAL: Duration = Duration::from_secs(3);
/// Time for which the entry with the larger address leaves the dialling to the other one.
const POLITENESS: Duration = Duration::from_millis(600);
/// Time that opening a link may take.
const OPEN_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time after which another entry is asked for a catalog or roster that did not come.
const ASK_TIMEOUT: Duration = Duration::from_millis(400);
/// An entry that was not heard for this long is forgotten, unless the settings name it. Links between regions are gone for
/// minutes, and an entry that is only cut off still spends its share of what all have in common.
const FORGET: Duration = Duration::from_mins(10);
/// An entry that was heard this long ago may still have requests in the groups whose room all share.
const LATELY: Duration = Duration::from_secs(12);

/// Who this process is, and whom it asks first.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Where this process takes connections from other processes.
    pub address: SocketAddr,
    /// What it is.
    pub role: Role,
    /// Entries that the settings name; they may be gone.
    pub seeds: Vec<SocketAddr>,
    /// Time between two messages on a link without news.
    pub interval: Duration,
    /// Entries up to which each passes loads on to all others as soon as it has them. Beyond, they wait for
    /// [`LOADS_PAUSE`] on each link for each so many entries: all links together carry about as much as they would among
    /// twice so many.
    pub few_entries: usize,
}

/// Usual [`Settings::few_entries`]: the deployments that were measured have 15 at most.
pub const FEW_ENTRIES: usize = 16;
/// Pause between two messages about loads on a link, for each `few_entries` beyond the first.
pub const LOADS_PAUSE: Duration = Duration::from_millis(100);
/// Longest such pause: what is known of a group's loads is used for about a second.
const MAX_LOADS_PAUSE: Duration = Duration::from_millis(500);

/// Place of this entry among those that are live.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Line {
    /// Place, 0 for the first.
    pub place: usize,
    /// Entries that are live or were lately, this one included.
    pub entries: usize,
    /// Entries that may spend from what all share: all that are known, this one included. None unless most of them are
    /// linked to this one: the others may be a majority that knows nothing of it.
    pub sharers: Option<usize>,
}

/// Another entry.
#[derive(Debug, Clone, Copy)]
struct Known {
    links: usize,
    heard: Option<Moment>,
    dial_at: Instant,
    failures: u32,
    met: Moment,
}

/// Position that an entry was asked for last, and when.
#[derive(Debug, Default)]
struct Asked(Mutex<Option<(Place, Instant)>>);

impl Asked {
    /// Notes a question, unless an entry was asked for this position or a later one a moment ago.
    fn ask(&self, position: Place) -> bool {
        let now = Instant::now();
        let mut asked = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if asked.is_some_and(|(of, at)| of >= position && now < at + ASK_TIMEOUT) {
            return false;
        }
        *asked = Some((position, now));
        true
    }
}

/// Counts of what other processes sent.
#[derive(Debug, Default)]
pub(crate) struct Heard {
    pub(crate) catalogs: AtomicU64,
    pub(crate) rosters: AtomicU64,
    pub(crate) loads: AtomicU64,
    pub(crate) addresses: AtomicU64,
}

/// What other processes sent to one, since its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Traffic {
    /// Whole catalogs.
    pub catalogs: u64,
    /// Whole rosters.
    pub rosters: u64,
    /// Loads of a group.
    pub loads: u64,
    /// Addresses of entries.
    pub addresses: u64,
}

/// This process among the others.
#[derive(Debug)]
pub struct Mesh {
    pub(crate) settings: Settings,
    pub(crate) board: Arc<Board>,
    pub(crate) started: Moment,
    endpoint: Arc<Endpoint>,
    entries: Mutex<BTreeMap<SocketAddr, Known>>,
    line: watch::Sender<Line>,
    members: watch::Sender<Members>,
    asked_catalog: Asked,
    asked_roster: Asked,
    pub(crate) heard: Heard,
    /// Latest loads of each group, and whether its conductor told them to this process itself.
    pub(crate) groups: watch::Sender<BTreeMap<String, GroupReport>>,
}

/// Loads of a group, and where they come from.
#[derive(Debug, Clone)]
pub(crate) struct GroupReport {
    pub(crate) load: Arc<GroupLoad>,
    /// Whether this process has to pass them on to the other entries.
    pub(crate) direct: bool,
}

impl Mesh {
    /// A mesh in which nobody is known yet but the seeds.
    pub fn new(settings: Settings, board: Arc<Board>, endpoint: Arc<Endpoint>) -> Arc<Self> {
        let mesh = Self {
            started: board.now(),
            board,
            endpoint,
            entries: Mutex::default(),
            line: watch::Sender::new(Line {
                place: 0,
                entries: 1,
                sharers: None,
            }),
            members: watch::Sender::new(Members::new(settings.address, &[])),
            asked_catalog: Asked::default(),
            asked_roster: Asked::default(),
            heard: Heard::default(),
            groups: watch::Sender::new(BTreeMap::new()),
            settings,
        };
        mesh.learn(&mesh.settings.seeds);
        Arc::new(mesh)
    }

    /// Where this process takes connections from other processes.
    pub fn address(&self) -> SocketAddr {
        self.settings.address
    }

    /// What other processes sent to this one.
    pub fn traffic(&self) -> Traffic {
        Traffic {
            catalogs: self.heard.catalogs.load(Ordering::Relaxed),
            rosters: self.heard.rosters.load(Ordering::Relaxed),
            loads: self.heard.loads.load(Ordering::Relaxed),
            addresses: self.heard.addresses.load(Ordering::Relaxed),
        }
    }

    /// This entry's place among the live ones.
    pub fn line(&self) -> watch::Receiver<Line> {
        self.line.subscribe()
    }

    /// Entries among which the rates of targets are divided.
    pub fn members(&self) -> watch::Receiver<Members> {
        self.members.subscribe()
    }

    /// Latest loads of a group.
    pub fn group(&self, name: &str) -> Option<Arc<GroupLoad>> {
        self.groups.borrow().get(name).map(|told| Arc::clone(&told.load))
    }

    /// Latest loads of all groups.
    pub fn groups(&self) -> Vec<Arc<GroupLoad>> {
        self.groups
            .borrow()
            .values()
            .map(|told| Arc::clone(&told.load))
            .collect()
    }

    /// Wakes whenever loads of any group were told.
    pub fn group_news(&self) -> GroupNews {
        GroupNews(self.groups.subscribe())
    }

    /// Takes in loads of a group; `direct` if its conductor told them to this process.
    pub fn offer_group(&self, load: GroupLoad, direct: bool) {
        self.groups.send_if_modified(|groups| {
            let newer = groups.get(&load.group).is_none_or(|told| told.load.order < load.order);
            if newer {
                let name = load.group.clone();
                let load = Arc::new(load);
                groups.insert(name, GroupReport { load, direct });
            }
            newer
        });
    }

    /// Keeps links to all other entries; never ends.
    pub async fn link_entries(self: Arc<Self>) {
        loop {
            for address in self.due() {
                tokio::spawn(Arc::clone(&self).dial(address));
            }
            self.forget_silent();
            self.update_line();
            tokio::time::sleep(DIAL_PAUSE).await;
        }
    }

    /// Keeps a link to one entry after the other; never ends. Agents spread over the entries by their addresses.
    pub async fn follow_one(self: Arc<Self>) {
        let mut turn = spread(self.settings.address);
        loop {
            let entries: Vec<SocketAddr> = self.lock().keys().copied().collect();
            if !entries.is_empty() {
                let address = entries[turn % entries.len()];
                Arc::clone(&self).dial(address).await;
                turn = turn.wrapping_add(1);
            }
            tokio::time::sleep(FIRST_REDIAL).await;
        }
    }

    /// Serves the streams that a peer opens to exchange beliefs; any other stream is refused.
    pub async fn serve(self: Arc<Self>, peer: Peer) {
        while let Ok(mut channel) = peer.accept().await {
            let mesh = Arc::clone(&self);
            let role = peer.role;
            tokio::spawn(async move {
                if matches!(channel.receiver.receive().await, Ok(Frame::Ask(Ask::Exchange))) {
                    mesh.run_link(channel, role).await;
                }
            });
        }
    }

    /// Accepts other processes until the endpoint closes.
    pub async fn accept(self: Arc<Self>) {
        while let Ok(incoming) = self.endpoint.accept().await {
            let mesh = Arc::clone(&self);
            tokio::spawn(async move {
                match incoming.establish().await {
                    Ok(peer) => mesh.serve(peer).await,
                    Err(error) => {
                        log::info!(target: DECISION, decision = "peer_refused", error = error.to_string().as_str(); "a connection was not established");
                    }
                }
            });
        }
    }

    /// Notes entries that someone knows.
    pub(crate) fn learn(&self, addresses: &[SocketAddr]) {
        let (now, met) = (Instant::now(), self.board.now());
        let mut entries = self.lock();
        for address in addresses {
            if *address != self.settings.address {
                entries.entry(*address).or_insert(Known {
                    links: 0,
                    heard: None,
                    dial_at: now,
                    failures: 0,
                    met,
                });
            }
        }
    }

    /// Whether to ask an entry for its catalog, of this version. An agent is told without asking.
    pub(crate) fn may_ask_catalog(&self, version: Place) -> bool {
        let known = self.board.catalog().map(|belief| belief.position);
        self.settings.role == Role::Entry && known < Some(version) && self.asked_catalog.ask(version)
    }

    /// The same for its roster, at this position.
    pub(crate) fn may_ask_roster(&self, position: Place) -> bool {
        let known = self.board.told_roster().map(|belief| belief.position);
        self.settings.role == Role::Entry && known < Some(position) && self.asked_roster.ask(position)
    }

    /// Pause between two messages about loads on a link.
    pub(crate) fn loads_pause(&self) -> Duration {
        let beyond = (self.line.borrow().entries.saturating_sub(1)) / self.settings.few_entries.max(1);
        let factor = u32::try_from(beyond).unwrap_or(u32::MAX);
        LOADS_PAUSE.saturating_mul(factor).min(MAX_LOADS_PAUSE)
    }

    /// Notes that an entry was heard.
    pub(crate) fn heard(&self, address: SocketAddr) {
        self.learn(&[address]);
        if let Some(known) = self.lock().get_mut(&address) {
            known.heard = Some(self.board.now());
            known.failures = 0;
        }
    }

    /// Entries that are live as far as this process can tell, itself included if it is one.
    pub(crate) fn live_entries(&self) -> Vec<SocketAddr> {
        let entries = self.lock();
        let live = entries.iter().filter(|(_, known)| known.links > 0);
        let mut addresses: Vec<SocketAddr> = live.map(|(address, _)| *address).collect();
        if self.settings.role == Role::Entry {
            addresses.push(self.settings.address);
        }
        addresses
    }

    pub(crate) fn count_link(&self, address: SocketAddr, change: isize) {
        let now = Instant::now();
        if let Some(known) = self.lock().get_mut(&address) {
            known.links = known.links.saturating_add_signed(change);
            known.dial_at = now;
        }
        self.update_line();
    }

    async fn dial(self: Arc<Self>, address: SocketAddr) {
        let opened = tokio::time::timeout(OPEN_TIMEOUT, self.open(address)).await;
        match opened {
            Ok(Some(channel)) => self.run_link(channel, Role::Entry).await,
            _ => self.note_failure(address),
        }
    }

    async fn open(&self, address: SocketAddr) -> Option<Channel> {
        let mut channel = self.endpoint.open(address, Role::Entry).await.ok()?;
        channel.sender.send(&Frame::Ask(Ask::Exchange)).await.ok()?;
        Some(channel)
    }

    async fn run_link(self: &Arc<Self>, channel: Channel, role: Role) {
        Link::new(Arc::clone(self), role).run(channel).await;
    }

    /// Entries without a link that may be dialled now.
    fn due(&self) -> Vec<SocketAddr> {
        let (now, moment) = (Instant::now(), self.board.now());
        let mut due = Vec::new();
        for (address, known) in self.lock().iter_mut() {
            let polite = *address < self.settings.address && moment < known.met + POLITENESS;
            if known.links == 0 && known.dial_at <= now && !polite {
                // The next try waits for this one to fail.
                known.dial_at = now + OPEN_TIMEOUT + FIRST_REDIAL;
                due.push(*address);
            }
        }
        due
    }

    fn note_failure(&self, address: SocketAddr) {
        let now = Instant::now();
        if let Some(known) = self.lock().get_mut(&address) {
            let pause = FIRST_REDIAL
                .saturating_mul(2_u32.saturating_pow(known.failures))
                .min(MAX_REDIAL);
            known.failures += 1;
            known.dial_at = now + pause;
        }
    }

    fn forget_silent(&self) {
        let now = self.board.now();
        let seeds = &self.settings.seeds;
        self.lock().retain(|address, known| {
            let last = known.heard.unwrap_or(known.met);
            known.links > 0 || now.since(last) < FORGET || seeds.contains(address)
        });
    }

    fn update_line(&self) {
        let now = self.board.now();
        let line = {
            let entries = self.lock();
            let before =
                |(address, known): &(&SocketAddr, &Known)| known.links > 0 && **address < self.settings.address;
            let linked = entries.values().filter(|known| known.links > 0).count() + 1;
            let known = entries.len() + 1;
            let live = |known: &&Known| {
                let lately = known.heard.is_some_and(|heard| now.since(heard) < LATELY);
                known.links > 0 || lately
            };
            Line {
                place: entries.iter().filter(before).count(),
                entries: entries.values().filter(live).count() + 1,
                sharers: (2 * linked > known).then_some(known),
            }
        };
        replace(&self.line, line);
        replace(&self.members, self.known_members());
    }

    fn known_members(&self) -> Members {
        let now = self.board.now();
        let entries = self.lock();
        let peer = |(address, known): (&SocketAddr, &Known)| rate_limit::Peer {
            address: *address,
            linked: known.links > 0,
            silent: known.heard.map(|heard| now.since(heard)),
        };
        let peers: Vec<rate_limit::Peer> = entries.iter().map(peer).collect();
        Members::new(self.settings.address, &peers)
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Known>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Readers are woken for a new value only.
fn replace<T: PartialEq>(cell: &watch::Sender<T>, value: T) {
    cell.send_if_modified(|known| {
        let changed = *known != value;
        *known = value;
        changed
    });
}

/// Wakes when loads of a group were told.
#[derive(Debug)]
pub struct GroupNews(watch::Receiver<BTreeMap<String, GroupReport>>);

impl GroupNews {
    /// Waits for the next news; false if there will be none.
    pub async fn next(&mut self) -> bool {
        self.0.changed().await.is_ok()
    }
}

/// A number that spreads processes evenly over a few choices.
fn spread(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else { return 0 };
    let octets = address.ip().octets();
    usize::from(octets[2]) * 7 + usize::from(octets[3])
}
