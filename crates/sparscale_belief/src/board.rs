//! The blackboard on which a process keeps its beliefs: readers and peers write, everything else reads.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sparscale_catalog::{Catalog, Directory, Incarnations, Roster};
use sparscale_clock::{Clock, Moment};
use sparscale_history::Place;
use sparscale_telemetry::DECISION;
use tokio::sync::watch;

use crate::belief::{Belief, Change};
use crate::heard::Heard;
use crate::quarantine::Quarantine;
use crate::throttle::Throttle;

/// Beliefs of one process.
#[derive(Debug)]
pub struct Board {
    catalog: watch::Sender<Option<Belief<Catalog>>>,
    targets: watch::Sender<Option<Belief<Directory>>>,
    /// The roster as the store gave it; `targets` is what this process goes by.
    heard: Mutex<Heard>,
    seating: Mutex<Seating>,
    /// Requests that crash targets.
    pub quarantine: Quarantine,
    /// What targets ask of those that send to them.
    pub throttle: Throttle,
    clock: Arc<dyn Clock>,
}

/// Gives targets the keys of their starts.
#[derive(Debug, Default)]
struct Seating {
    starts: Incarnations,
    /// Digest of the roster that was seated last, and its directory: rosters are confirmed far more often than they change.
    latest: Option<(u64, Arc<Directory>)>,
}

impl Seating {
    fn seat(&mut self, roster: &Roster) -> Arc<Directory> {
        let digest = roster.digest();
        if let Some((seated, directory)) = &self.latest
            && *seated == digest
        {
            return Arc::clone(directory);
        }
        let directory = Arc::new(Directory::new(roster, &mut self.starts));
        self.latest = Some((digest, Arc::clone(&directory)));
        directory
    }
}

impl Default for Board {
    fn default() -> Self {
        Self::new(sparscale_clock::machine())
    }
}

impl Board {
    /// A board on which nothing is known yet; ages are told by `clock`.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            catalog: watch::Sender::new(None),
            targets: watch::Sender::new(None),
            heard: Mutex::default(),
            seating: Mutex::default(),
            quarantine: Quarantine::new(Arc::clone(&clock)),
            throttle: Throttle::new(Arc::clone(&clock)),
            clock,
        }
    }

    /// Now, by the clock that ages are told by.
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// The catalog as last read.
    pub fn catalog(&self) -> Option<Belief<Catalog>> {
        self.catalog.borrow().clone()
    }

    /// The targets that this process goes by: as last read, and for a moment after an outage with those whose entries may
    /// have lapsed meanwhile.
    pub fn targets(&self) -> Option<Belief<Directory>> {
        self.targets.borrow().clone()
    }

    /// The roster as the store gave it: what other processes are told, who know themselves what they miss in it.
    pub fn told_roster(&self) -> Option<Belief<Roster>> {
        self.heard().belief()
    }

    /// Shows each new catalog.
    pub fn catalogs(&self) -> watch::Receiver<Option<Belief<Catalog>>> {
        self.catalog.subscribe()
    }

    /// Shows each new list of targets.
    pub fn target_lists(&self) -> watch::Receiver<Option<Belief<Directory>>> {
        self.targets.subscribe()
    }

    /// Age of the catalog; none if there is none.
    pub fn catalog_age(&self) -> Option<Duration> {
        age(&self.catalog, self.now())
    }

    /// Age of the roster; none if there is none.
    pub fn roster_age(&self) -> Option<Duration> {
        age(&self.targets, self.now())
    }

    /// Takes in a catalog that `source` told.
    pub fn offer_catalog(&self, catalog: Arc<Catalog>, as_of: Moment, source: &str) -> Change {
        let version = catalog.version();
        let change = offer(&self.catalog, catalog, Place::from(version), as_of);
        if change == Change::Replaced {
            log::info!(target: DECISION, decision = "catalog", version, source, age_ms = self.now().since(as_of).as_millis() as u64; "catalog in force");
        }
        change
    }

    /// Notes that version `version` was still the newest at `as_of`.
    pub fn confirm_catalog(&self, version: u64, as_of: Moment) -> Change {
        confirm(&self.catalog, Place::from(version), as_of)
    }

    /// Takes in a roster that `source` told.
    pub fn offer_roster(&self, roster: Arc<Roster>, position: impl Into<Place>, as_of: Moment, source: &str) -> Change {
        let position = position.into();
        // Held throughout: two that tell at once must not overtake each other on the way to the readers.
        let mut heard = self.heard();
        let Some(belief) = heard.take_in(roster, position, as_of) else {
            return Change::Older;
        };
        let targets = belief.value.targets.len();
        let change = replace(&self.targets, self.seat(&belief));
        if change == Change::Replaced {
            log::info!(target: DECISION, decision = "roster", position = position.to_string().as_str(), targets, source, age_ms = self.now().since(as_of).as_millis() as u64; "roster changed");
        }
        change
    }

    /// Gives each target the key of its start.
    fn seat(&self, belief: &Belief<Roster>) -> Belief<Directory> {
        let mut seating = self.seating.lock().unwrap_or_else(PoisonError::into_inner);
        Belief {
            value: seating.seat(&belief.value),
            position: belief.position,
            as_of: belief.as_of,
        }
    }

    fn heard(&self) -> MutexGuard<'_, Heard> {
        // A panic leaves whole values: each is replaced in one step.
        self.heard.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Waiting readers are woken for a new value only.
fn replace(cell: &watch::Sender<Option<Belief<Directory>>>, belief: Belief<Directory>) -> Change {
    let mut change = Change::Replaced;
    cell.send_if_modified(|known| {
        if known.as_ref().is_some_and(|known| known.value == belief.value) {
            change = Change::Confirmed;
        }
        *known = Some(belief);
        change == Change::Replaced
    });
    change
}

fn age<T: PartialEq>(cell: &watch::Sender<Option<Belief<T>>>, now: Moment) -> Option<Duration> {
    cell.borrow().as_ref().map(|belief| belief.age(now))
}

/// Waiting readers are woken for a new value only: ages change all the time.
fn offer<T: PartialEq>(
    cell: &watch::Sender<Option<Belief<T>>>,
    value: Arc<T>,
    position: Place,
    as_of: Moment,
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

fn confirm<T: PartialEq>(cell: &watch::Sender<Option<Belief<T>>>, position: Place, as_of: Moment) -> Change {
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
