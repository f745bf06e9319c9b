//! The parts of a board that are read from one source each.

use std::sync::Arc;
use std::time::Duration;

use sparscale_catalog as catalog;
use sparscale_clock::Timestamp;
use sparscale_quarantine::Strike;

use crate::board::Board;
use crate::observation::MergeOutcome;
use crate::source::Versioned;

/// The part of a [`Board`] that is read from one source.
pub(crate) trait View<T>: Send + Sync {
    fn board(&self) -> &Board;

    /// Age of the observation; `None` before the first one.
    fn age(&self) -> Option<Duration>;

    /// Merges what the store returned to a query at `queried_at`.
    fn merge(&self, reading: Versioned<T>, queried_at: Timestamp) -> MergeOutcome;

    /// Records that the store could not be read.
    fn record_failure(&self) {}
}

/// The catalog and the evacuations.
pub(crate) struct Configuration(pub(crate) Arc<Board>);

impl View<catalog::Configuration> for Configuration {
    fn board(&self) -> &Board {
        &self.0
    }

    fn age(&self) -> Option<Duration> {
        self.0.catalog_age()
    }

    fn merge(&self, reading: Versioned<catalog::Configuration>, queried_at: Timestamp) -> MergeOutcome {
        let catalog::Configuration { catalog, evacuations } = reading.value.as_ref();
        self.0.merge_evacuations(evacuations, reading.position, "store");
        self.0.merge_catalog(Arc::clone(catalog), queried_at, "store")
    }
}

/// The roster.
pub(crate) struct Roster(pub(crate) Arc<Board>);

impl View<catalog::Roster> for Roster {
    fn board(&self) -> &Board {
        &self.0
    }

    fn age(&self) -> Option<Duration> {
        self.0.roster_age()
    }

    fn merge(&self, reading: Versioned<catalog::Roster>, queried_at: Timestamp) -> MergeOutcome {
        self.0
            .merge_roster(reading.value, reading.position, queried_at, "store")
    }
}

/// The strikes against requests.
pub(crate) struct Strikes(pub(crate) Arc<Board>);

impl View<Vec<Strike>> for Strikes {
    fn board(&self) -> &Board {
        &self.0
    }

    fn age(&self) -> Option<Duration> {
        self.0.quarantine.age()
    }

    fn merge(&self, reading: Versioned<Vec<Strike>>, queried_at: Timestamp) -> MergeOutcome {
        self.0
            .quarantine
            .merge_from_store(&reading.value, reading.position.era, queried_at);
        MergeOutcome::Confirmed
    }

    fn record_failure(&self) {
        self.0.quarantine.record_failed_read();
    }
}
