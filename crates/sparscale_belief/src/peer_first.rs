//! A catalog source that lets peers answer first when a process starts beside a restored store.
//!
//! The older snapshot may hold a configuration from before an API key was revoked, until the operator writes the newest
//! one again. Peers that ran before the restore have the newer configuration and send it within a few exchanges.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use sparscale_catalog::Configuration;
use sparscale_telemetry::DECISION;
use tokio::time::Instant;

use crate::board::Board;
use crate::source::{Error, Source, Versioned};

/// Time that peers get to send a newer catalog. It is part of the recovery after all entries have ended, which may take
/// three seconds.
const PEER_WAIT: Duration = Duration::from_millis(400);

/// Delays the first catalog that is read from a restored store until peers had time to send a newer one.
pub(crate) struct Delay {
    source: Box<dyn Source<Configuration>>,
    board: Arc<Board>,
    deadline: Option<Instant>,
}

impl Delay {
    pub(crate) fn new(source: Box<dyn Source<Configuration>>, board: Arc<Board>) -> Self {
        Self {
            source,
            board,
            deadline: None,
        }
    }
}

#[async_trait]
impl Source<Configuration> for Delay {
    async fn read(&mut self) -> Result<Versioned<Configuration>, Error> {
        let reading = self.source.read().await?;
        if reading.position.era == 0 || self.board.catalog().is_some() {
            return Ok(reading);
        }
        let deadline = *self.deadline.get_or_insert_with(|| Instant::now() + PEER_WAIT);
        let mut catalogs = self.board.subscribe_catalogs();
        let received = tokio::time::timeout_at(deadline, catalogs.wait_for(Option::is_some)).await;
        let received = matches!(received, Ok(Ok(_)));
        log::info!(target: DECISION, decision = "doubt_catalog", era = reading.position.era, version = reading.value.catalog.version(), told = received; "delayed the catalog of a restored store so that peers could send a newer one");
        Ok(reading)
    }
}
