//! The roster as read from the store, corrected after an outage or a restore of the store.

use std::sync::Arc;

use sparscale_catalog::Roster;
use sparscale_clock::Timestamp;
use sparscale_history::Position;
use sparscale_telemetry::DECISION;

use crate::observation::{MergeOutcome, Observation};
use crate::{departed, missing};

/// Most target ids in one log line; the loss of a whole hall would make it too long.
const MAX_LOGGED_IDS: usize = 8;

/// The last roster from the store, and what is needed to correct it.
#[derive(Debug, Default)]
pub(crate) struct StoreRoster {
    latest: Option<Observation<Roster>>,
    /// The corrected roster of the last merge.
    corrected: Option<Observation<Roster>>,
    missing: Option<missing::Targets>,
    departed: departed::Targets,
    /// Whether the store was restored from an older snapshot, so that the roster may list targets that have left.
    restored: bool,
}

impl StoreRoster {
    /// The roster exactly as the store returned it.
    pub(crate) fn latest(&self) -> Option<Observation<Roster>> {
        self.latest.clone()
    }

    /// The corrected roster of the last merge.
    pub(crate) fn corrected(&self) -> Option<Observation<Roster>> {
        self.corrected.clone()
    }

    /// Whether a target of the roster is in `hall`.
    pub(crate) fn has_hall(&self, hall: &str) -> bool {
        let targets = self.latest.iter().flat_map(|observed| &observed.value.targets);
        targets.into_iter().any(|target| target.hall == hall)
    }

    /// Merges the roster that the store returned to a query sent at `as_of`. Returns the corrected roster to use, or
    /// `None` if the answer is older than the known roster.
    pub(crate) fn merge(
        &mut self,
        roster: Arc<Roster>,
        position: Position,
        as_of: Timestamp,
    ) -> Option<Observation<Roster>> {
        let corrected = self.correct(roster, position, as_of)?;
        self.corrected = Some(corrected.clone());
        Some(corrected)
    }

    fn correct(&mut self, roster: Arc<Roster>, position: Position, as_of: Timestamp) -> Option<Observation<Roster>> {
        let Some(latest) = &mut self.latest else {
            let first = Observation {
                value: roster,
                position,
                as_of,
            };
            self.latest = Some(first.clone());
            return Some(first);
        };
        let previous = latest.clone();
        if latest.merge(roster, position, as_of) == MergeOutcome::Stale {
            return None;
        }
        let current = latest.clone();
        let era = current.position.era;
        if era > previous.position.era {
            self.restored = true;
            log::info!(target: DECISION, decision = "restored", era, before = previous.position.to_string().as_str(), now = current.position.to_string().as_str(), targets = current.value.targets.len(); "the store was restored from an older snapshot; its roster may list targets that have left");
        } else {
            self.departed.record(&previous.value, &current.value, current.as_of);
        }
        if let Some(missing) = missing::Targets::between(&previous, &current) {
            log_missing(&missing);
            self.missing = Some(missing);
        }
        Some(self.add_missing(current))
    }

    /// Marks targets that are known to have left as leaving, if the store was restored from an older snapshot.
    fn mark_departed(&self, observed: Observation<Roster>) -> Observation<Roster> {
        let corrected = if self.restored {
            self.departed.mark_leaving(&observed.value, observed.as_of)
        } else {
            None
        };
        match corrected {
            Some(roster) => Observation {
                value: Arc::new(roster),
                ..observed
            },
            None => observed,
        }
    }

    /// The roster to use when the store returns `observed`: corrected, and with the targets that are missing since an
    /// outage.
    fn add_missing(&mut self, observed: Observation<Roster>) -> Observation<Roster> {
        let observed = self.mark_departed(observed);
        let Some(missing) = &mut self.missing else {
            return observed;
        };
        missing.remove_present(&observed.value);
        if missing.is_over(observed.as_of) {
            log_removed(missing);
            self.missing = None;
            return observed;
        }
        Observation {
            value: Arc::new(missing.append_to(&observed.value)),
            ..observed
        }
    }
}

fn log_missing(missing: &missing::Targets) {
    let (targets, first) = summarize(missing);
    log::info!(target: DECISION, decision = "await", targets, first = first.as_str(); "targets are missing from the roster after an outage of the store; keeping them until they had time to register again");
}

fn log_removed(missing: &missing::Targets) {
    let (targets, first) = summarize(missing);
    log::info!(target: DECISION, decision = "gone", targets, first = first.as_str(); "the wait for targets to register again after an outage of the store is over; removing those still missing");
}

/// Number of missing targets, and the ids of the first [`MAX_LOGGED_IDS`].
fn summarize(missing: &missing::Targets) -> (usize, String) {
    let ids: Vec<&str> = missing.targets().iter().map(|target| target.id.as_str()).collect();
    let logged = &ids[..ids.len().min(MAX_LOGGED_IDS)];
    (ids.len(), logged.join(" "))
}
