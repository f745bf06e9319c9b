//! A process that starts beside a store which came back from an older copy.
//!
//! The copy may hold a configuration from before a key was taken away, until the operator has written the newest one
//! again. Whoever ran before knows better, and tells within a few exchanges.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use sparscale_catalog::Catalog;
use sparscale_telemetry::DECISION;
use tokio::time::Instant;

use crate::board::Board;
use crate::source::{Error, Reading, Source};

/// Time that peers get to tell of a newer configuration. Counts into the return after all entries have ended, which may
/// take three seconds.
const PEERS_WAIT: Duration = Duration::from_millis(400);

/// Keeps the first reading of a restored store back until peers had time to tell a newer one.
pub(crate) struct Doubted {
    source: Box<dyn Source<Catalog>>,
    board: Arc<Board>,
    until: Option<Instant>,
}

impl Doubted {
    pub(crate) fn new(source: Box<dyn Source<Catalog>>, board: Arc<Board>) -> Self {
        Self {
            source,
            board,
            until: None,
        }
    }
}

#[async_trait]
impl Source<Catalog> for Doubted {
    async fn read(&mut self) -> Result<Reading<Catalog>, Error> {
        let reading = self.source.read().await?;
        if reading.position.era == 0 || self.board.catalog().is_some() {
            return Ok(reading);
        }
        let until = *self.until.get_or_insert_with(|| Instant::now() + PEERS_WAIT);
        let mut catalogs = self.board.catalogs();
        let told = tokio::time::timeout_at(until, catalogs.wait_for(Option::is_some)).await;
        let told = matches!(told, Ok(Ok(_)));
        log::info!(target: DECISION, decision = "doubt_catalog", era = reading.position.era, version = reading.position.offset, told; "a restored store's configuration waited for peers");
        Ok(reading)
    }
}
