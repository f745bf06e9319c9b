//! The blackboard that holds the latest observations of a process: readers and peers write to it, all other parts read
//! it.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sparscale_catalog::{Catalog, Directory, Evacuations, Roster};
use sparscale_clock::{Clock, Timestamp};
use sparscale_history::Position;
use sparscale_policy::evacuation::{Merge, Register};
use sparscale_telemetry::DECISION;
use tokio::sync::watch;

use crate::observation::{MergeOutcome, Observation};
use crate::quarantine::Quarantine;
use crate::store_roster::StoreRoster;
use crate::throttle::Throttle;
use crate::{cold, directory};

/// The observations of one process.
#[derive(Debug)]
pub struct Board {
    catalog: watch::Sender<Option<Observation<Catalog>>>,
    targets: watch::Sender<Option<Observation<Directory>>>,
    /// The roster as the store returned it; `targets` is the corrected list that this process uses.
    store_roster: Mutex<StoreRoster>,
    evacuations: Mutex<Register>,
    /// Notifies subscribers of changed evacuations.
    evacuations_changed: watch::Sender<()>,
    directory_builder: Mutex<directory::Builder>,
    cold_targets: Mutex<cold::Targets>,
    /// Requests that crash targets.
    pub quarantine: Quarantine,
    /// Restrictions that targets announce to their senders.
    pub throttle: Throttle,
    clock: Arc<dyn Clock>,
}

impl Default for Board {
    fn default() -> Self {
        Self::new(sparscale_clock::system_clock())
    }
}

impl Board {
    /// An empty board whose ages are measured by `clock`.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            catalog: watch::Sender::new(None),
            targets: watch::Sender::new(None),
            store_roster: Mutex::default(),
            evacuations: Mutex::default(),
            evacuations_changed: watch::Sender::new(()),
            directory_builder: Mutex::default(),
            cold_targets: Mutex::default(),
            quarantine: Quarantine::new(Arc::clone(&clock)),
            throttle: Throttle::new(Arc::clone(&clock)),
            clock,
        }
    }

    /// States whether the system starts for the first time, so that recent starts of targets are not cold ones.
    #[must_use]
    pub fn with_first_start(self, is_first_start: bool) -> Self {
        Self {
            cold_targets: Mutex::new(cold::Targets::new(is_first_start)),
            ..self
        }
    }

    /// The current time on the clock that measures ages.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// The latest catalog.
    pub fn catalog(&self) -> Option<Observation<Catalog>> {
        self.catalog.borrow().clone()
    }

    /// The targets that this process uses: those of the latest roster, and for a short time after an outage of the
    /// store those whose registrations may have expired in it.
    pub fn targets(&self) -> Option<Observation<Directory>> {
        self.targets.borrow().clone()
    }

    /// The latest roster as the store returned it. This is what peers are sent: each corrects it by its own
    /// observations.
    pub fn store_roster(&self) -> Option<Observation<Roster>> {
        self.lock_store_roster().latest()
    }

    /// Subscribes to new catalogs.
    pub fn subscribe_catalogs(&self) -> watch::Receiver<Option<Observation<Catalog>>> {
        self.catalog.subscribe()
    }

    /// Subscribes to new lists of targets.
    pub fn subscribe_targets(&self) -> watch::Receiver<Option<Observation<Directory>>> {
        self.targets.subscribe()
    }

    /// Age of the catalog; `None` before the first one.
    pub fn catalog_age(&self) -> Option<Duration> {
        age(&self.catalog, self.now())
    }

    /// Age of the roster; `None` before the first one.
    pub fn roster_age(&self) -> Option<Duration> {
        age(&self.targets, self.now())
    }

    /// Merges a catalog that was received from `source`.
    pub fn merge_catalog(&self, catalog: Arc<Catalog>, as_of: Timestamp, source: &str) -> MergeOutcome {
        let version = catalog.version();
        // Locked as in `merge_roster`, so that the directory of a concurrent merge is limited by one of the two.
        let store_roster = self.lock_store_roster();
        let is_newer = self
            .catalog()
            .is_none_or(|known| known.position < Position::from(version));
        if is_newer && let Some(targets) = self.targets() {
            self.limit_cold(&targets.value, &catalog);
        }
        let outcome = merge(&self.catalog, catalog, Position::from(version), as_of);
        drop(store_roster);
        if outcome == MergeOutcome::Replaced {
            log::info!(target: DECISION, decision = "catalog", version, source, age_ms = self.now().since(as_of).as_millis() as u64; "a new catalog is active");
        }
        outcome
    }

    /// Records that `version` was still the newest catalog at `as_of`.
    pub fn confirm_catalog(&self, version: u64, as_of: Timestamp) -> MergeOutcome {
        confirm(&self.catalog, Position::from(version), as_of)
    }

    /// Merges a roster that was received from `source`.
    pub fn merge_roster(
        &self,
        roster: Arc<Roster>,
        position: impl Into<Position>,
        as_of: Timestamp,
        source: &str,
    ) -> MergeOutcome {
        let position = position.into();
        // The lock is held until the targets are published, so that concurrent merges are published in order.
        let mut store_roster = self.lock_store_roster();
        let Some(observed) = store_roster.merge(roster, position, as_of) else {
            return MergeOutcome::Stale;
        };
        let targets = observed.value.targets.len();
        let outcome = publish(&self.targets, self.build_directory(&observed));
        if outcome == MergeOutcome::Replaced {
            log::info!(target: DECISION, decision = "roster", position = position.to_string().as_str(), targets, source, age_ms = self.now().since(as_of).as_millis() as u64; "the list of targets changed");
        }
        outcome
    }

    /// Merges the evacuations that `source` observed at `position` in the store's history.
    pub fn merge_evacuations(&self, evacuations: &Evacuations, position: Position, source: &str) -> MergeOutcome {
        // Locked before the register, as in `merge_roster`.
        let store_roster = self.lock_store_roster();
        match self.lock_evacuations().merge(evacuations, position, self.now()) {
            Merge::Stale => return MergeOutcome::Stale,
            Merge::Unchanged => return MergeOutcome::Confirmed,
            Merge::Changed => {}
        }
        let halls: Vec<&str> = evacuations.halls().collect();
        let unknown = evacuations.halls().filter(|hall| !store_roster.has_hall(hall)).count();
        log::info!(target: DECISION, decision = "evacuations", halls = halls.join(" ").as_str(), unknown, position = position.to_string().as_str(), source; "the evacuated halls changed; their targets get no new requests");
        if let Some(observed) = store_roster.corrected() {
            publish(&self.targets, self.build_directory(&observed));
        }
        drop(store_roster);
        self.evacuations_changed.send_replace(());
        MergeOutcome::Replaced
    }

    /// The latest evacuations as the store returned them, and their position; none before the first read.
    pub fn evacuations(&self) -> Option<(Evacuations, Position)> {
        let register = self.lock_evacuations();
        register
            .latest()
            .map(|(evacuations, position)| (evacuations.clone(), position))
    }

    /// Subscribes to changes of the evacuations.
    pub fn subscribe_evacuations(&self) -> watch::Receiver<()> {
        self.evacuations_changed.subscribe()
    }

    /// The directory of an observed roster.
    fn build_directory(&self, observed: &Observation<Roster>) -> Observation<Directory> {
        let evacuations = self.lock_evacuations().in_force(self.now());
        let directory = {
            let mut builder = self.directory_builder.lock().unwrap_or_else(PoisonError::into_inner);
            builder.build(&observed.value, evacuations)
        };
        if let Some(catalog) = self.catalog() {
            self.limit_cold(&directory, &catalog.value);
        }
        Observation {
            value: directory,
            position: observed.position,
            as_of: observed.as_of,
        }
    }

    /// Limits the cold targets of a directory by the rates in a catalog. Must happen before the later of the two is
    /// published: otherwise all waiting requests would go to them.
    fn limit_cold(&self, directory: &Arc<Directory>, catalog: &Catalog) {
        let now = self.now();
        let mut cold_targets = self.cold_targets.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(limits) = cold_targets.check(directory, catalog, now) {
            self.throttle.record_cold(&limits);
        }
    }

    fn lock_evacuations(&self) -> MutexGuard<'_, Register> {
        self.evacuations.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_store_roster(&self) -> MutexGuard<'_, StoreRoster> {
        // A panic cannot leave a partial value, because each is replaced in one step; so a poisoned lock is usable.
        self.store_roster.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Stores an observation; wakes subscribers only if the value changed.
fn publish(cell: &watch::Sender<Option<Observation<Directory>>>, observed: Observation<Directory>) -> MergeOutcome {
    let mut outcome = MergeOutcome::Replaced;
    cell.send_if_modified(|latest| {
        if latest.as_ref().is_some_and(|latest| latest.value == observed.value) {
            outcome = MergeOutcome::Confirmed;
        }
        *latest = Some(observed);
        outcome == MergeOutcome::Replaced
    });
    outcome
}

fn age<T: PartialEq>(cell: &watch::Sender<Option<Observation<T>>>, now: Timestamp) -> Option<Duration> {
    cell.borrow().as_ref().map(|observed| observed.age(now))
}

/// Merges an answer; wakes subscribers only if the value changed, because its age changes all the time.
fn merge<T: PartialEq>(
    cell: &watch::Sender<Option<Observation<T>>>,
    value: Arc<T>,
    position: Position,
    as_of: Timestamp,
) -> MergeOutcome {
    let mut outcome = MergeOutcome::Replaced;
    cell.send_if_modified(|latest| {
        match latest {
            Some(observed) => outcome = observed.merge(value, position, as_of),
            None => *latest = Some(Observation { value, position, as_of }),
        }
        outcome == MergeOutcome::Replaced
    });
    outcome
}

/// Updates the age of the latest value if it is at `position`.
fn confirm<T: PartialEq>(
    cell: &watch::Sender<Option<Observation<T>>>,
    position: Position,
    as_of: Timestamp,
) -> MergeOutcome {
    let mut outcome = MergeOutcome::Stale;
    cell.send_if_modified(|latest| {
        if let Some(observed) = latest
            && observed.position == position
        {
            observed.as_of = observed.as_of.max(as_of);
            outcome = MergeOutcome::Confirmed;
        }
        false
    });
    outcome
}
