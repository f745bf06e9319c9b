//! Controllers that write the board: bundle, box list, load reports.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sparscale_board::{Board, Load, Standing, TargetKey};
use sparscale_control::{Journal, Listing, Role as BoxRole, Standing as ListedStanding};
use sparscale_route::{Subset, subset};
use sparscale_wire::{Ask, Endpoint, Frame, Role};
use tokio::sync::watch;
use tokio::time::Instant;

/// Pause before a target that cannot be watched is tried again.
const WATCH_PAUSE: Duration = Duration::from_secs(1);

/// The board of this entry, with the time that it is measured in.
pub(crate) struct SharedBoard {
    board: Mutex<Board>,
    subsets: Mutex<HashMap<String, Subset>>,
    started: Instant,
    entry: String,
}

impl SharedBoard {
    pub(crate) fn new(entry: &str, hall: &str) -> Self {
        Self {
            board: Mutex::new(Board::new(hall)),
            subsets: Mutex::default(),
            started: Instant::now(),
            entry: entry.to_owned(),
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, Board> {
        self.board.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Targets that this entry considers for `pool`, whose members are `all`.
    pub(crate) fn subset(&self, board: &Board, pool: &str, all: &[TargetKey], limit: usize) -> Subset {
        let mut subsets = self.subsets.lock().unwrap_or_else(PoisonError::into_inner);
        let entry = self.entry.as_str();
        let known = subsets.entry(pool.to_owned());
        known.or_insert_with(|| subset(board, entry, all, limit)).clone()
    }

    fn forget_subsets(&self) {
        self.subsets.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }
}

/// Shows each bundle in force on the board.
pub(crate) async fn follow_bundle(
    board: Arc<SharedBoard>,
    journal: Arc<Journal>,
    boxes: watch::Receiver<Arc<Listing>>,
) {
    let mut heads = journal.heads();
    loop {
        if let Some(certificate) = journal.in_force()
            && certificate.bundle.version() > board.lock().version
        {
            board.lock().apply_bundle(&certificate.bundle);
            board.forget_subsets();
            apply_listing(&board, &boxes.borrow());
        }
        if heads.changed().await.is_err() {
            return;
        }
    }
}

/// Shows each change of the box list on the board.
pub(crate) async fn follow_boxes(board: Arc<SharedBoard>, mut boxes: watch::Receiver<Arc<Listing>>) {
    while boxes.changed().await.is_ok() {
        let listing = boxes.borrow_and_update().clone();
        apply_listing(&board, &listing);
    }
}

fn apply_listing(board: &SharedBoard, listing: &Listing) {
    let targets = listing.boxes.iter().filter(|listed| listed.role == BoxRole::Target);
    let listed: HashMap<String, (SocketAddr, Standing)> = targets
        .map(|listed| {
            let standing = match listed.standing {
                ListedStanding::Live => Standing::Live,
                ListedStanding::Leaving => Standing::Leaving,
            };
            (listed.name.clone(), (listed.address, standing))
        })
        .collect();
    board.lock().apply_listed(&listed);
}

/// Watches the load of every target that this entry considers.
pub(crate) async fn watch_loads(board: Arc<SharedBoard>, endpoint: Arc<Endpoint>, incarnation: u64, limit: usize) {
    let watched: Arc<Mutex<HashSet<(TargetKey, SocketAddr)>>> = Arc::default();
    loop {
        for (key, address) in considered(&board, limit) {
            let is_new = watched
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .insert((key, address));
            if is_new {
                let board = Arc::clone(&board);
                let endpoint = Arc::clone(&endpoint);
                let watched = Arc::clone(&watched);
                tokio::spawn(async move {
                    watch_one(&board, &endpoint, incarnation, key, address).await;
                    watched
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .remove(&(key, address));
                });
            }
        }
        tokio::time::sleep(WATCH_PAUSE).await;
    }
}

fn considered(board: &SharedBoard, limit: usize) -> Vec<(TargetKey, SocketAddr)> {
    let locked = board.lock();
    let models: HashSet<&str> = locked.groups().map(|(_, group)| group.model.as_str()).collect();
    let mut keys = Vec::new();
    for model in models {
        let all = locked.ranks_of(model);
        keys.extend(board.subset(&locked, &model_pool(model), &all, limit).targets);
    }
    let in_service = locked
        .targets()
        .filter(|(_, target)| target.rank.is_none())
        .map(|(key, _)| key);
    keys.extend(in_service);
    let addressed = |key: TargetKey| {
        Some((
            key,
            locked
                .target(key)
                .filter(|target| target.standing == Standing::Live)?
                .address?,
        ))
    };
    keys.into_iter().filter_map(addressed).collect()
}

/// Name of the subset of targets that serve `model`.
pub(crate) fn model_pool(model: &str) -> String {
    format!("model {model}")
}

async fn watch_one(board: &SharedBoard, endpoint: &Endpoint, incarnation: u64, key: TargetKey, address: SocketAddr) {
    let Ok(mut channel) = endpoint.open(address, Role::Agent).await else {
        return;
    };
    let ask = Frame::Ask(Ask::Watch { entry: incarnation });
    if channel.sender.send(&ask).await.is_err() {
        return;
    }
    while let Ok(Frame::Load(load)) = channel.receiver.receive().await {
        let now = board.now();
        board.lock().apply_load(key, board_load(&load), now);
    }
}

/// A load report in the board's units.
pub(crate) fn board_load(load: &sparscale_wire::Load) -> Load {
    Load {
        incarnation: load.incarnation,
        seen: load.seen,
        running: load.running,
        queued: load.queued,
        own: load.own,
        prefill_tokens: load.prefill_tokens,
        step_ms: f64::from(load.step_micros) / 1_000.0,
        map: load.map,
        draining: load.draining,
    }
}
