//! A process that starts while a restored store still holds an older configuration than its peers.
//!
//! If the first catalog from the older snapshot were active at once, revoked API keys would be accepted until peers
//! have sent the newest one.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use sparscale_belief::{Board, Error, Source, Versioned, read_configuration, reader};
use sparscale_catalog::{Catalog, Configuration, Evacuations};
use sparscale_history::Position;
use sparscale_samples as samples;
use sparscale_telemetry::Registry;
use tokio::time::{Instant, sleep};

/// Version in the restored store.
const RESTORED: u64 = 4;
/// Version that peers have.
const NEWEST: u64 = 5;
/// Time after which a process without peers must be serving; with one second for its start, a third of the time that
/// recovery may take.
const MAX_WAIT_WITHOUT_PEERS: Duration = Duration::from_secs(1);

/// A store whose era is the field.
struct Store(u64);

#[async_trait]
impl Source<Configuration> for Store {
    async fn read(&mut self) -> Result<Versioned<Configuration>, Error> {
        Ok(Versioned {
            value: Arc::new(Configuration {
                catalog: catalog(RESTORED),
                evacuations: Evacuations::default(),
            }),
            position: Position::new(self.0, RESTORED),
        })
    }
}

fn catalog(version: u64) -> Arc<Catalog> {
    Arc::new(Catalog::try_from(samples::document(version)).expect("a valid configuration"))
}

/// The board of a process that has just started beside a store of era `era`.
fn start(era: u64) -> Arc<Board> {
    let board = Arc::new(Board::default());
    let schedule = reader::Schedule::new(Duration::from_millis(500), Duration::from_millis(100), Duration::ZERO);
    let metrics = reader::Metrics::new(&Arc::new(Registry::default()));
    tokio::spawn(read_configuration(
        Arc::clone(&board),
        Box::new(Store(era)),
        Arc::new(schedule),
        metrics,
    ));
    board
}

async fn first_version(board: &Board) -> u64 {
    let mut catalogs = board.subscribe_catalogs();
    let first = catalogs
        .wait_for(Option::is_some)
        .await
        .expect("the board is not dropped");
    first.as_ref().expect("a catalog").value.version()
}

#[tokio::test(start_paused = true)]
async fn peer_catalog_wins() {
    let board = start(1);
    let peer_board = Arc::clone(&board);
    tokio::spawn(async move {
        sleep(Duration::from_millis(100)).await;
        peer_board.merge_catalog(catalog(NEWEST), peer_board.now(), "peer");
    });
    assert_eq!(
        first_version(&board).await,
        NEWEST,
        "the restored catalog must never be active"
    );
    sleep(MAX_WAIT_WITHOUT_PEERS).await;
    assert_eq!(board.catalog().expect("a catalog").value.version(), NEWEST);
}

#[tokio::test(start_paused = true)]
async fn starts_without_peers() {
    let started_at = Instant::now();
    assert_eq!(first_version(&start(1)).await, RESTORED);
    assert!(
        started_at.elapsed() <= MAX_WAIT_WITHOUT_PEERS,
        "{:?}",
        started_at.elapsed()
    );
}

/// The catalog of a store that was never restored is used at once.
#[tokio::test(start_paused = true)]
async fn first_era_not_delayed() {
    let started_at = Instant::now();
    assert_eq!(first_version(&start(0)).await, RESTORED);
    assert!(
        started_at.elapsed() < Duration::from_millis(50),
        "{:?}",
        started_at.elapsed()
    );
}
