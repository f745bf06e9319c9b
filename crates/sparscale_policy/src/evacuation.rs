//! Decides which halls get no new requests while the operators evacuate them.
//!
//! Load pattern: the operators empty a hall and fill it again, while the store is slow, turns some processes away, or
//! is restored from an older snapshot. A restored store lacks the latest orders until the operators repeat them; a
//! process that followed it at once would send requests into a hall that is still evacuated.

use std::time::Duration;

use sparscale_catalog::Evacuations;
use sparscale_clock::Timestamp;
use sparscale_history::Position;

/// Time for which the orders from before a restore of the store stay in force, so that the operators can repeat them.
const RESTORE_RETENTION: Duration = Duration::from_secs(5);

/// Effect of merging the orders that were observed at one position.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Merge {
    /// The orders are older than the known ones and were ignored.
    Stale,
    /// The orders are the known ones.
    Unchanged,
    /// The orders differ from the known ones.
    Changed,
}

/// The latest orders that a process knows.
#[derive(Debug, Default)]
pub struct Register {
    evacuations: Evacuations,
    position: Option<Position>,
    /// Orders from before a restore of the store, and the end of their retention.
    retained: Option<(Evacuations, Timestamp)>,
}

impl Register {
    /// Merges the orders at `position` in the store's history.
    pub fn merge(&mut self, evacuations: &Evacuations, position: Position, now: Timestamp) -> Merge {
        if Some(position) < self.position {
            return Merge::Stale;
        }
        let was_restored = self.position.is_some_and(|known| known.era < position.era);
        self.position = Some(position);
        if *evacuations == self.evacuations {
            return Merge::Unchanged;
        }
        let previous = std::mem::replace(&mut self.evacuations, evacuations.clone());
        if was_restored {
            self.retained = Some((previous, now + RESTORE_RETENTION));
        }
        Merge::Changed
    }

    /// The orders in force at `now`.
    pub fn in_force(&self, now: Timestamp) -> Evacuations {
        match &self.retained {
            Some((retained, until)) if now < *until => self.evacuations.union(retained),
            _ => self.evacuations.clone(),
        }
    }

    /// The latest orders as the store returned them, and their position; none before the first read.
    pub fn latest(&self) -> Option<(&Evacuations, Position)> {
        Some((&self.evacuations, self.position?))
    }
}
