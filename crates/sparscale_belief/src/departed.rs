//! Targets that were seen to leave, for a list that comes back from an older copy and shows them again.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use sparscale_catalog::{Roster, Standing, Target};
use sparscale_clock::Moment;

/// Time for which a departure is remembered: a copy is some seconds old, and what it brought back lapses soon after.
const MEMORY: Duration = Duration::from_secs(30);

/// A start of a target.
type Start = (String, Option<u64>);

/// Starts that left, or whose entries went, and when that was read last.
#[derive(Debug, Default)]
pub(crate) struct Departed {
    starts: HashMap<Start, Moment>,
}

impl Departed {
    /// Notes what went from one list to the next of the same era, and what was leaving.
    pub(crate) fn note(&mut self, before: &Roster, now: &Roster, at: Moment) {
        self.starts.retain(|_, seen| at.since(*seen) < MEMORY);
        // Lists are long and read often, and few readings change them.
        if before.digest() == now.digest() {
            return;
        }
        let (was_there, is_there) = (starts(before), starts(now));
        let went = before
            .targets
            .iter()
            .filter(|target| !is_there.contains(&named(target)));
        let leaving = |target: &&Target| target.standing == Standing::Leaving;
        let leaving = now.targets.iter().filter(leaving);
        self.starts
            .extend(went.chain(leaving).map(|target| (start(target), at)));
        // An entry that is there again in the same era was written again: its target lives.
        let back = |target: &&Target| target.standing == Standing::Ready && !was_there.contains(&named(target));
        for target in now.targets.iter().filter(back) {
            self.starts.remove(&start(target));
        }
    }

    /// `roster`, with those that were seen to leave as leaving; none if it shows none of them as ready.
    pub(crate) fn correct(&self, roster: &Roster, at: Moment) -> Option<Roster> {
        if self.starts.is_empty() {
            return None;
        }
        let left = |target: &Target| {
            let seen = self.starts.get(&start(target));
            target.standing == Standing::Ready && seen.is_some_and(|seen| at.since(*seen) < MEMORY)
        };
        if !roster.targets.iter().any(left) {
            return None;
        }
        let corrected = roster.targets.iter().map(|target| Target {
            standing: if left(target) {
                Standing::Leaving
            } else {
                target.standing
            },
            ..target.clone()
        });
        Some(Roster::new(corrected.collect()))
    }
}

fn start(target: &Target) -> Start {
    (target.id.clone(), target.born_ms)
}

/// The same without a copy of the id.
fn named(target: &Target) -> (&str, Option<u64>) {
    (&target.id, target.born_ms)
}

fn starts(roster: &Roster) -> HashSet<(&str, Option<u64>)> {
    roster.targets.iter().map(named).collect()
}
