//! Readers send few calls to an unavailable store, and notice in time when it has recovered.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use sparscale_belief::{Board, Error, Source, Versioned, read_roster, reader};
use sparscale_catalog::Roster;
use sparscale_samples as samples;
use tokio::time::Instant;

const READ_INTERVAL: Duration = Duration::from_millis(700);
const OUTAGE: Duration = Duration::from_secs(8);
/// Time in which a box has to be up to date after an outage, less the time to inform its peers.
const RECOVERY_LIMIT: Duration = Duration::from_millis(2_500);

/// A store that rejects reads while it is unavailable.
#[derive(Clone, Default)]
struct Store {
    unavailable: Arc<AtomicBool>,
    calls: Arc<AtomicU32>,
}

#[async_trait]
impl Source<Roster> for Store {
    async fn read(&mut self) -> Result<Versioned<Roster>, Error> {
        let position = self.calls.fetch_add(1, Ordering::Relaxed);
        if self.unavailable.load(Ordering::Relaxed) {
            let message = "unavailable".to_owned();
            return Err(Error::Unavailable { message });
        }
        Ok(Versioned {
            value: Arc::new(samples::roster()),
            position: u64::from(position).into(),
        })
    }
}

/// The number of calls during an outage, and the age of the roster after it if it was read since the outage.
async fn run_outage(schedule: reader::Schedule) -> (u32, Option<Duration>) {
    let board = Arc::new(Board::default());
    let store = Store::default();
    let metrics = reader::Metrics::new(&Arc::default());
    let source = Box::new(store.clone());
    let reader = tokio::spawn(read_roster(Arc::clone(&board), source, Arc::new(schedule), metrics));
    tokio::time::sleep(READ_INTERVAL * 3).await;
    store.unavailable.store(true, Ordering::Relaxed);
    let calls_before = store.calls.load(Ordering::Relaxed);
    tokio::time::sleep(OUTAGE).await;
    store.unavailable.store(false, Ordering::Relaxed);
    let calls = store.calls.load(Ordering::Relaxed) - calls_before;
    let recovered_at = Instant::now();
    tokio::time::sleep(RECOVERY_LIMIT).await;
    reader.abort();
    (calls, board.roster_age().filter(|age| *age < recovered_at.elapsed()))
}

#[tokio::test(start_paused = true)]
async fn few_calls_during_outage() {
    let (calls, age) = run_outage(reader::Schedule::new(READ_INTERVAL, Duration::ZERO, Duration::ZERO)).await;
    assert!(calls <= 12, "{calls} calls");
    assert!(age.is_some(), "no read within {RECOVERY_LIMIT:?} after the outage");
}

/// A process that needs the roster less urgently retries less often.
#[tokio::test(start_paused = true)]
async fn fewer_calls_with_long_retry_delay() {
    let schedule = reader::Schedule::new(READ_INTERVAL, Duration::ZERO, Duration::ZERO)
        .with_max_retry_delay(Duration::from_secs(6));
    let (calls, _) = run_outage(schedule).await;
    assert!(calls <= 7, "{calls} calls");
}
