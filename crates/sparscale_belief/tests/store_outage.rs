//! Readers call a store that is away seldom, and soon enough once it is back.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use sparscale_belief::{Board, Error, Pace, ReadFigures, Reading, Source, read_roster};
use sparscale_catalog::Roster;
use sparscale_samples as samples;
use tokio::time::Instant;

const INTERVAL: Duration = Duration::from_millis(700);
const OUTAGE: Duration = Duration::from_secs(8);
/// Time in which a machine has to be up to date after trouble, less what it takes to tell others.
const BACK: Duration = Duration::from_millis(2_500);

/// A store that refuses while it is away.
#[derive(Clone, Default)]
struct Store {
    away: Arc<AtomicBool>,
    calls: Arc<AtomicU32>,
}

#[async_trait]
impl Source<Roster> for Store {
    async fn read(&mut self) -> Result<Reading<Roster>, Error> {
        let position = self.calls.fetch_add(1, Ordering::Relaxed);
        if self.away.load(Ordering::Relaxed) {
            let message = "away".to_owned();
            return Err(Error::Unavailable { message });
        }
        Ok(Reading {
            value: Arc::new(samples::roster()),
            position: u64::from(position).into(),
        })
    }
}

/// Calls during an outage, and the age of the belief some time after it.
async fn outage(pace: Pace) -> (u32, Option<Duration>) {
    let board = Arc::new(Board::default());
    let store = Store::default();
    let figures = ReadFigures::new(&Arc::default());
    let source = Box::new(store.clone());
    let reading = tokio::spawn(read_roster(Arc::clone(&board), source, Arc::new(pace), figures));
    tokio::time::sleep(INTERVAL * 3).await;
    store.away.store(true, Ordering::Relaxed);
    let before = store.calls.load(Ordering::Relaxed);
    tokio::time::sleep(OUTAGE).await;
    store.away.store(false, Ordering::Relaxed);
    let calls = store.calls.load(Ordering::Relaxed) - before;
    let back = Instant::now();
    tokio::time::sleep(BACK).await;
    reading.abort();
    (calls, board.roster_age().filter(|age| *age < back.elapsed()))
}

#[tokio::test(start_paused = true)]
async fn few_calls() {
    let (calls, age) = outage(Pace::new(INTERVAL, Duration::ZERO, Duration::ZERO)).await;
    assert!(calls <= 12, "{calls} calls");
    assert!(age.is_some(), "nothing new {BACK:?} after the outage");
}

/// Those that need it least call least.
#[tokio::test(start_paused = true)]
async fn patient_reader() {
    let pace = Pace::new(INTERVAL, Duration::ZERO, Duration::ZERO).with_max_retry(Duration::from_secs(6));
    let (calls, _) = outage(pace).await;
    assert!(calls <= 7, "{calls} calls");
}
