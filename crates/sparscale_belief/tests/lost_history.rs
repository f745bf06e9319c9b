//! A process that starts while the store is unavailable, and finds no peer with the earlier strikes, holds requests
//! back after a single one.

use std::sync::Arc;
use std::time::Duration;

use sparscale_belief::{Board, Error, MAX_HISTORY_WAIT, Source, Versioned, read_strikes, reader};
use sparscale_quarantine::{Content, EndedStart, Fingerprint, Strike};
use sparscale_telemetry::Registry;

/// A store that fails a number of times before it returns no strikes.
struct Store {
    failures: usize,
}

#[async_trait::async_trait]
impl Source<Vec<Strike>> for Store {
    async fn read(&mut self) -> Result<Versioned<Vec<Strike>>, Error> {
        if self.failures == 0 {
            return Ok(Versioned {
                value: Arc::default(),
                position: 1.into(),
            });
        }
        self.failures -= 1;
        Err(Error::Unavailable {
            message: "down".to_owned(),
        })
    }
}

/// Whether a process whose first reads of the store fail holds a request after one termination.
async fn is_held_after_one(failures: usize, peer_knows_earlier: bool) -> bool {
    let before = Board::default().now();
    tokio::time::sleep(Duration::from_millis(5)).await;
    let board = Arc::new(Board::default());
    let schedule = reader::Schedule::new(Duration::from_millis(200), Duration::ZERO, Duration::ZERO);
    tokio::spawn(read_strikes(
        Arc::clone(&board),
        Box::new(Store { failures }),
        Arc::new(schedule),
        reader::Metrics::new(&Arc::new(Registry::default())),
    ));
    if peer_knows_earlier {
        board.quarantine.confirm_from_peer(before);
    }
    board.quarantine.watch_history().await;
    let content = Content::new(Fingerprint::of("POST", "/draft", None, b"deadly"), []);
    board.quarantine.record_end(&content, EndedStart::of("t-1", None));
    board.quarantine.active_hold(&content).is_some()
}

#[tokio::test(start_paused = true)]
async fn store_unavailable_at_start() {
    assert!(MAX_HISTORY_WAIT >= Duration::from_secs(1));
    assert!(is_held_after_one(1, false).await, "strikes may be lost");
    assert!(!is_held_after_one(0, false).await, "the store was read at once");
    assert!(
        !is_held_after_one(1, true).await,
        "a peer has known the strikes since before"
    );
}
