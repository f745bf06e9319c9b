//! Targets whose registrations expired while the store was unavailable.
//!
//! During an outage the store receives no heartbeats, so afterwards it may have dropped registrations of healthy
//! targets. They register again shortly after the store recovers; until then, their absence from the roster does not
//! mean that they have left.

use std::time::Duration;

use sparscale_catalog::{Roster, Target, TargetStatus};
use sparscale_clock::Timestamp;

use crate::observation::Observation;

/// Time without a successful read after which registrations may have expired: the store drops a registration after
/// three missed heartbeats. Reads of a store that answers are less than half as far apart.
const MIN_OUTAGE: Duration = Duration::from_secs(2);
/// Time in which live targets register again after the store recovers; guaranteed by the platform.
const REGISTRATION_TIMEOUT: Duration = Duration::from_secs(2);

/// Targets that were registered before an outage and have not registered again since.
#[derive(Debug)]
pub(crate) struct Targets {
    deadline: Timestamp,
    targets: Vec<Target>,
}

impl Targets {
    /// The ready targets of `previous` that `current` lacks; `None` if no outage or restore lies between the two, or if
    /// no target is missing. Targets that were leaving are not included.
    pub(crate) fn between(previous: &Observation<Roster>, current: &Observation<Roster>) -> Option<Self> {
        // An older snapshot may lack registrations that were written after it was taken.
        let restored = current.position.era > previous.position.era;
        if !restored && current.as_of.since(previous.as_of) < MIN_OUTAGE {
            return None;
        }
        let registered = previous.value.targets.iter();
        let ready = registered.filter(|target| target.status == TargetStatus::Ready);
        let mut missing = Self {
            deadline: current.as_of + REGISTRATION_TIMEOUT,
            targets: ready.cloned().collect(),
        };
        missing.remove_present(&current.value);
        (!missing.targets.is_empty()).then_some(missing)
    }

    /// Removes targets that `roster` lists, and those that it lists a successor of.
    pub(crate) fn remove_present(&mut self, roster: &Roster) {
        self.targets
            .retain(|missing| !roster.targets.iter().any(|listed| replaces(listed, missing)));
    }

    /// Whether the wait is over at `now`: no target is missing any more, or the deadline has passed.
    pub(crate) fn is_over(&self, now: Timestamp) -> bool {
        now >= self.deadline || self.targets.is_empty()
    }

    /// The targets that are still missing.
    pub(crate) fn targets(&self) -> &[Target] {
        &self.targets
    }

    /// A copy of `roster` with the missing targets appended.
    pub(crate) fn append_to(&self, roster: &Roster) -> Roster {
        Roster::new([roster.targets.as_slice(), &self.targets].concat())
    }
}

/// Whether `listed` is `missing` itself, or has taken its address or its rank within the same service. A target of
/// another service with the same address does not replace it.
fn replaces(listed: &Target, missing: &Target) -> bool {
    if listed.id == missing.id {
        return true;
    }
    if listed.service != missing.service {
        return false;
    }
    if listed.address == missing.address {
        return true;
    }
    match (&listed.membership, &missing.membership) {
        (Some(new), Some(old)) => new.group == old.group && new.rank == old.rank,
        _ => false,
    }
}
