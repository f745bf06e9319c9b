//! A process that starts while a restored store still holds an older configuration than its peers know.
//!
//! The first reading of the copy was in force at once: for as long as peers needed to tell the newest one, keys that it
//! takes away were served.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use sparscale_belief::{Board, Error, Pace, ReadFigures, Reading, Source, read_catalog};
use sparscale_catalog::Catalog;
use sparscale_history::Place;
use sparscale_samples as samples;
use sparscale_telemetry::Registry;
use tokio::time::{Instant, sleep};

/// Version that the store holds.
const COPIED: u64 = 4;
/// Version that peers know.
const NEWEST: u64 = 5;
/// Time in which a process serves without peers: with a second for its start, a third of what the return may take.
const ALONE: Duration = Duration::from_secs(1);

/// A store of one era.
struct Store(u64);

#[async_trait]
impl Source<Catalog> for Store {
    async fn read(&mut self) -> Result<Reading<Catalog>, Error> {
        Ok(Reading {
            value: catalog(COPIED),
            position: Place::new(self.0, COPIED),
        })
    }
}

fn catalog(version: u64) -> Arc<Catalog> {
    Arc::new(Catalog::try_from(samples::document(version)).expect("a valid configuration"))
}

/// A process that has just started beside a store of era `era`.
fn start(era: u64) -> Arc<Board> {
    let board = Arc::new(Board::default());
    let pace = Pace::new(Duration::from_millis(500), Duration::from_millis(100), Duration::ZERO);
    let figures = ReadFigures::new(&Arc::new(Registry::default()));
    tokio::spawn(read_catalog(
        Arc::clone(&board),
        Box::new(Store(era)),
        Arc::new(pace),
        figures,
    ));
    board
}

async fn first_version(board: &Board) -> u64 {
    let mut catalogs = board.catalogs();
    let first = catalogs.wait_for(Option::is_some).await.expect("the board lives");
    first.as_ref().expect("a catalog").value.version()
}

#[tokio::test(start_paused = true)]
async fn peers_first() {
    let board = start(1);
    let told = Arc::clone(&board);
    tokio::spawn(async move {
        sleep(Duration::from_millis(100)).await;
        told.offer_catalog(catalog(NEWEST), told.now(), "peer");
    });
    assert_eq!(first_version(&board).await, NEWEST, "the copy's is never in force");
    sleep(ALONE).await;
    assert_eq!(board.catalog().expect("a catalog").value.version(), NEWEST);
}

#[tokio::test(start_paused = true)]
async fn alone_soon() {
    let began = Instant::now();
    assert_eq!(first_version(&start(1)).await, COPIED);
    assert!(began.elapsed() <= ALONE, "{:?}", began.elapsed());
}

/// A store that never came back from a copy is believed at once.
#[tokio::test(start_paused = true)]
async fn first_era_trusted() {
    let began = Instant::now();
    assert_eq!(first_version(&start(0)).await, COPIED);
    assert!(began.elapsed() < Duration::from_millis(50), "{:?}", began.elapsed());
}
