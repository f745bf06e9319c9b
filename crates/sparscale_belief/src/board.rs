//! The blackboard on which a process keeps its beliefs: readers and peers write, everything else reads.

use std::sync::Arc;
use std::time::Duration;

use sparscale_catalog::{Catalog, Roster};
use sparscale_telemetry::DECISION;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::belief::{Belief, Change};

/// Beliefs of one process.
#[derive(Debug)]
pub struct Board {
    catalog: watch::Sender<Option<Belief<Catalog>>>,
    roster: watch::Sender<Option<Belief<Roster>>>,
}

impl Default for Board {
    fn default() -> Self {
        Self {
            catalog: watch::Sender::new(None),
            roster: watch::Sender::new(None),
        }
    }
}

impl Board {
    /// The catalog as last read.
    pub fn catalog(&self) -> Option<Belief<Catalog>> {
        self.catalog.borrow().clone()
    }

    /// The roster as last read.
    pub fn roster(&self) -> Option<Belief<Roster>> {
        self.roster.borrow().clone()
    }

    /// Shows each new catalog.
    pub fn catalogs(&self) -> watch::Receiver<Option<Belief<Catalog>>> {
        self.catalog.subscribe()
    }

    /// Shows each new roster.
    pub fn rosters(&self) -> watch::Receiver<Option<Belief<Roster>>> {
        self.roster.subscribe()
    }

    /// Age of the catalog; none if there is none.
    pub fn catalog_age(&self) -> Option<Duration> {
        age(&self.catalog)
    }

    /// Age of the roster; none if there is none.
    pub fn roster_age(&self) -> Option<Duration> {
        age(&self.roster)
    }

    /// Takes in a catalog that `source` told.
    pub fn offer_catalog(&self, catalog: Arc<Catalog>, as_of: Instant, source: &str) -> Change {
        let version = catalog.version();
        let change = offer(&self.catalog, catalog, version, as_of);
        if change == Change::Replaced {
            log::info!(target: DECISION, decision = "catalog", version, source, age_ms = as_of.elapsed().as_millis() as u64; "catalog in force");
        }
        change
    }

    /// Notes that version `version` was still the newest at `as_of`.
    pub fn confirm_catalog(&self, version: u64, as_of: Instant) -> Change {
        confirm(&self.catalog, version, as_of)
    }

    /// Takes in a roster that `source` told.
    pub fn offer_roster(&self, roster: Arc<Roster>, position: u64, as_of: Instant, source: &str) -> Change {
        let targets = roster.targets.len();
        let change = offer(&self.roster, roster, position, as_of);
        if change == Change::Replaced {
            log::info!(target: DECISION, decision = "roster", position, targets, source, age_ms = as_of.elapsed().as_millis() as u64; "roster changed");
        }
        change
    }
}

fn age<T: PartialEq>(cell: &watch::Sender<Option<Belief<T>>>) -> Option<Duration> {
    cell.borrow().as_ref().map(|belief| belief.age(Instant::now()))
}

/// Waiting readers are woken for a new value only: ages change all the time.
fn offer<T: PartialEq>(
    cell: &watch::Sender<Option<Belief<T>>>,
    value: Arc<T>,
    position: u64,
    as_of: Instant,
) -> Change {
    let mut change = Change::Replaced;
    cell.send_if_modified(|known| {
        match known {
            Some(belief) => change = belief.offer(value, position, as_of),
            None => *known = Some(Belief { value, position, as_of }),
        }
        change == Change::Replaced
    });
    change
}

fn confirm<T: PartialEq>(cell: &watch::Sender<Option<Belief<T>>>, position: u64, as_of: Instant) -> Change {
    let mut change = Change::Older;
    cell.send_if_modified(|known| {
        if let Some(belief) = known
            && belief.position == position
        {
            belief.as_of = belief.as_of.max(as_of);
            change = Change::Confirmed;
        }
        false
    });
    change
}
