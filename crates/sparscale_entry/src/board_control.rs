//! Controllers that write the board: they follow the bundle, the box list and the load reports of targets.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sparscale_board::{Board, Load, Standing, TargetKey};
use sparscale_control::{BoxList, BoxRole, BoxStanding as ListedStanding, Journal};
use sparscale_route::{Subset, select_subset};
use sparscale_wire::{Endpoint, Frame, Role, StreamRequest};
use tokio::sync::watch;
use tokio::time::Instant;

/// Interval at which the set of watched targets is updated.
const WATCH_UPDATE_INTERVAL: Duration = Duration::from_secs(1);
/// Most targets that one entry watches.
const MAX_WATCHED_TARGETS: usize = 16;
/// Interval between two reports of a target, for each target that is watched, and its minimum.
const REPORT_INTERVAL_PER_TARGET: Duration = Duration::from_millis(60);
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// The board of this entry, with the clock that its times refer to.
pub(crate) struct SharedBoard {
    board: Mutex<Board>,
    subsets: Mutex<HashMap<String, Subset>>,
    started_at: Instant,
    entry: String,
}

impl SharedBoard {
    pub(crate) fn new(entry: &str, hall: &str) -> Self {
        Self {
            board: Mutex::new(Board::new(hall)),
            subsets: Mutex::default(),
            started_at: Instant::now(),
            entry: entry.to_owned(),
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, Board> {
        self.board.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Subset of `all` that this entry considers for `pool`; it is computed once for each bundle.
    pub(crate) fn subset(&self, board: &Board, pool: &str, all: &[TargetKey], limit: usize) -> Subset {
        let mut subsets = self.subsets.lock().unwrap_or_else(PoisonError::into_inner);
        let entry = self.entry.as_str();
        let cached = subsets.entry(pool.to_owned());
        cached
            .or_insert_with(|| select_subset(board, entry, all, limit))
            .clone()
    }

    fn clear_subsets(&self) {
        self.subsets.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }
}

/// Applies each new active bundle to the board.
pub(crate) async fn follow_bundle(
    board: Arc<SharedBoard>,
    journal: Arc<Journal>,
    boxes: watch::Receiver<Arc<BoxList>>,
) {
    let mut heads = journal.subscribe_heads();
    loop {
        if let Some(certificate) = journal.active_certificate()
            && certificate.bundle.version() > board.lock().bundle_version
        {
            board.lock().apply_bundle(&certificate.bundle);
            board.clear_subsets();
            apply_listing(&board, &boxes.borrow());
        }
        if heads.changed().await.is_err() {
            return;
        }
    }
}

/// Applies each change of the box list to the board.
pub(crate) async fn follow_boxes(board: Arc<SharedBoard>, mut boxes: watch::Receiver<Arc<BoxList>>) {
    while boxes.changed().await.is_ok() {
        let listing = boxes.borrow_and_update().clone();
        apply_listing(&board, &listing);
    }
}

fn apply_listing(board: &SharedBoard, listing: &BoxList) {
    let targets = listing.boxes.iter().filter(|listed| listed.role == BoxRole::Target);
    let listed: HashMap<String, (SocketAddr, Standing)> = targets
        .map(|listed| {
            let standing = match listed.standing {
                ListedStanding::Live => Standing::Live,
                ListedStanding::Leaving => Standing::Draining,
            };
            (listed.name.clone(), (listed.address, standing))
        })
        .collect();
    board.lock().apply_box_list(&listed);
}

/// Targets that this entry watches, with their addresses.
type Watched = Arc<Mutex<HashMap<TargetKey, SocketAddr>>>;

/// Subscribes to load reports of the targets that this entry used last. The load of other targets arrives with their
/// responses.
pub(crate) async fn watch_loads(board: Arc<SharedBoard>, endpoint: Arc<Endpoint>, incarnation: u64) {
    let watched: Watched = Arc::default();
    loop {
        let wanted = targets_to_watch(&board);
        let new_targets = update_watched(&watched, &wanted);
        for (key, address) in new_targets {
            let watch = LoadWatch {
                board: Arc::clone(&board),
                watched: Arc::clone(&watched),
                key,
                address,
                interval: watch_interval(wanted.len()),
            };
            let endpoint = Arc::clone(&endpoint);
            tokio::spawn(async move { watch.run(&endpoint, incarnation).await });
        }
        endpoint.close_unused();
        tokio::time::sleep(WATCH_UPDATE_INTERVAL).await;
    }
}

/// Report interval for `count` watched targets: it grows with their number, so that the reports stay within the traffic
/// budget of a node.
fn watch_interval(count: usize) -> Duration {
    (REPORT_INTERVAL_PER_TARGET * count as u32).max(MIN_REPORT_INTERVAL)
}

/// Replaces the watched targets by `wanted` and returns those that are new.
fn update_watched(watched: &Watched, wanted: &HashMap<TargetKey, SocketAddr>) -> Vec<(TargetKey, SocketAddr)> {
    let mut watched = watched.lock().unwrap_or_else(PoisonError::into_inner);
    watched.retain(|key, address| wanted.get(key) == Some(address));
    let new_targets = wanted.iter().filter(|(key, _)| !watched.contains_key(*key));
    let new_targets: Vec<(TargetKey, SocketAddr)> = new_targets.map(|(key, address)| (*key, *address)).collect();
    watched.extend(new_targets.iter().copied());
    new_targets
}

/// Selects the targets to watch: those used last, then the nearest of those never used.
fn targets_to_watch(board: &SharedBoard) -> HashMap<TargetKey, SocketAddr> {
    let locked = board.lock();
    let live = locked.targets().filter(|(_, target)| target.standing == Standing::Live);
    let mut ranked: Vec<_> = live
        .filter_map(|(key, target)| {
            Some((
                std::cmp::Reverse(target.last_sent_counter),
                target.distance,
                key,
                target.address?,
            ))
        })
        .collect();
    ranked.sort_unstable_by_key(|(last_sent, distance, _, _)| (*last_sent, *distance));
    ranked
        .into_iter()
        .take(MAX_WATCHED_TARGETS)
        .map(|(_, _, key, address)| (key, address))
        .collect()
}

/// Subscription to the load reports of one target.
struct LoadWatch {
    board: Arc<SharedBoard>,
    watched: Watched,
    key: TargetKey,
    address: SocketAddr,
    interval: Duration,
}

impl LoadWatch {
    /// Applies load reports until the target is no longer watched or its stream ends.
    async fn run(self, endpoint: &Endpoint, incarnation: u64) {
        // The next update of the watched targets restarts the stream if it ended early.
        let _ended = self.follow(endpoint, incarnation).await;
        self.watched
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&self.key);
    }

    async fn follow(&self, endpoint: &Endpoint, incarnation: u64) -> Option<()> {
        let mut channel = endpoint.open(self.address, Role::Agent).await.ok()?;
        let interval_ms = self.interval.as_millis() as u64;
        let ask = StreamRequest::WatchLoad {
            entry_incarnation: incarnation,
            interval_ms,
        };
        channel.sender.send(&Frame::Open(ask)).await.ok()?;
        while self.is_watched() {
            let Frame::Load(load) = channel.receiver.receive().await.ok()? else {
                return None;
            };
            let now = self.board.now();
            self.board.lock().apply_load(self.key, board_load(&load), now);
        }
        None
    }

    fn is_watched(&self) -> bool {
        let watched = self.watched.lock().unwrap_or_else(PoisonError::into_inner);
        watched.get(&self.key) == Some(&self.address)
    }
}

/// Name of the pool of targets that serve `model`.
pub(crate) fn model_pool(model: &str) -> String {
    format!("model {model}")
}

/// Converts a load report to the units of the board.
pub(crate) fn board_load(load: &sparscale_wire::TargetLoad) -> Load {
    Load {
        incarnation: load.incarnation,
        last_seen_counter: load.highest_counter,
        running: load.running,
        queued: load.queued,
        own_requests: load.from_entry,
        prefill_tokens: load.prefill_tokens,
        step_ms: f64::from(load.step_micros) / 1_000.0,
        map_number: load.map_number,
        is_closed: load.is_closed,
    }
}
