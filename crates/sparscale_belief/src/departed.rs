//! Targets that are known to have left, for rosters that list them again after a restore from an older snapshot.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use sparscale_catalog::{Roster, Target, TargetStatus};
use sparscale_clock::Timestamp;

/// Time for which a departure is remembered: a snapshot is some seconds old, and the registrations that it brings back
/// expire soon after the restore.
const RETENTION: Duration = Duration::from_secs(30);

/// Identifies one start of a target: its id and its start time in milliseconds.
type StartKey = (String, Option<u64>);

/// Starts of targets that left or whose registrations were removed, with the time of the last roster that showed it.
#[derive(Debug, Default)]
pub(crate) struct Targets {
    departed_at: HashMap<StartKey, Timestamp>,
}

impl Targets {
    /// Records the targets that were removed between two rosters of the same era, and those that are leaving.
    pub(crate) fn record(&mut self, previous: &Roster, current: &Roster, at: Timestamp) {
        self.departed_at
            .retain(|_, departed_at| at.since(*departed_at) < RETENTION);
        // Rosters are long and read often, but seldom change.
        if previous.digest() == current.digest() {
            return;
        }
        let (previous_keys, current_keys) = (start_keys(previous), start_keys(current));
        let removed = previous
            .targets
            .iter()
            .filter(|target| !current_keys.contains(&borrowed_start_key(target)));
        let leaving = |target: &&Target| target.status == TargetStatus::Draining;
        let leaving = current.targets.iter().filter(leaving);
        self.departed_at
            .extend(removed.chain(leaving).map(|target| (start_key(target), at)));
        // A registration that reappears within the same era was written again, so its target is alive.
        let reappeared = |target: &&Target| {
            target.status == TargetStatus::Ready && !previous_keys.contains(&borrowed_start_key(target))
        };
        for target in current.targets.iter().filter(reappeared) {
            self.departed_at.remove(&start_key(target));
        }
    }

    /// A copy of `roster` in which departed targets are leaving; `None` if it lists none of them as ready.
    pub(crate) fn mark_leaving(&self, roster: &Roster, at: Timestamp) -> Option<Roster> {
        if self.departed_at.is_empty() {
            return None;
        }
        let has_departed = |target: &Target| {
            let departed_at = self.departed_at.get(&start_key(target));
            target.status == TargetStatus::Ready
                && departed_at.is_some_and(|departed_at| at.since(*departed_at) < RETENTION)
        };
        if !roster.targets.iter().any(has_departed) {
            return None;
        }
        let corrected = roster.targets.iter().map(|target| Target {
            status: if has_departed(target) {
                TargetStatus::Draining
            } else {
                target.status
            },
            ..target.clone()
        });
        Some(Roster::new(corrected.collect()))
    }
}

fn start_key(target: &Target) -> StartKey {
    (target.id.clone(), target.born_ms)
}

/// The same as [`start_key`] without cloning the id.
fn borrowed_start_key(target: &Target) -> (&str, Option<u64>) {
    (&target.id, target.born_ms)
}

fn start_keys(roster: &Roster) -> HashSet<(&str, Option<u64>)> {
    roster.targets.iter().map(borrowed_start_key).collect()
}
