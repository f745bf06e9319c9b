//! Targets whose entries lapsed while the store was away.
//!
//! A store that was away has heard no heartbeats, so it may have dropped the entries of targets that are well. They are
//! back shortly after the store is; until then, a list without them says nothing about them.

use std::time::Duration;

use sparscale_catalog::{Roster, Standing, Target};
use sparscale_clock::Moment;

use crate::belief::Belief;

/// Time without a reading after which entries may have lapsed: the store drops them after three heartbeats that it did
/// not hear. Readings of a store that answers are less than half as far apart.
const AWAY: Duration = Duration::from_secs(2);
/// Time after the store's return in which the entries of living targets are back (a bound of the platform's).
const RETURN: Duration = Duration::from_secs(2);

/// Targets that were known when the store went away and have not shown up since its return.
#[derive(Debug)]
pub(crate) struct Lapse {
    until: Moment,
    missing: Vec<Target>,
}

impl Lapse {
    /// What `now` lacks of the targets that the store showed in `before`; none if it was not away in between, or if
    /// nothing is missing. A target that was leaving is not awaited.
    pub(crate) fn between(before: &Belief<Roster>, now: &Belief<Roster>) -> Option<Self> {
        // A copy may lack entries that were written after it was made.
        let restored = now.position.era > before.position.era;
        if !restored && now.as_of.since(before.as_of) < AWAY {
            return None;
        }
        let shown = before.value.targets.iter();
        let ready = shown.filter(|target| target.standing == Standing::Ready);
        let mut lapse = Self {
            until: now.as_of + RETURN,
            missing: ready.cloned().collect(),
        };
        lapse.note(&now.value);
        (!lapse.missing.is_empty()).then_some(lapse)
    }

    /// Strikes what `roster` shows, and what it shows a successor of.
    pub(crate) fn note(&mut self, roster: &Roster) {
        self.missing
            .retain(|missing| !roster.targets.iter().any(|shown| replaces(shown, missing)));
    }

    /// Whether nothing is awaited any more at `now`.
    pub(crate) fn is_over(&self, now: Moment) -> bool {
        now >= self.until || self.missing.is_empty()
    }

    /// Targets that are awaited.
    pub(crate) fn missing(&self) -> &[Target] {
        &self.missing
    }

    /// `roster` and what is awaited beside it.
    pub(crate) fn fill(&self, roster: &Roster) -> Roster {
        Roster::new([roster.targets.as_slice(), &self.missing].concat())
    }
}

/// Whether `shown` is `missing` itself, or stands where it stood. An entry of another service that names its address is
/// no word on it.
fn replaces(shown: &Target, missing: &Target) -> bool {
    if shown.id == missing.id {
        return true;
    }
    if shown.service != missing.service {
        return false;
    }
    if shown.address == missing.address {
        return true;
    }
    match (&shown.membership, &missing.membership) {
        (Some(new), Some(old)) => new.group == old.group && new.rank == old.rank,
        _ => false,
    }
}
