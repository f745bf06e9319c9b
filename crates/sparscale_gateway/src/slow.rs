//! Ranks that hold their whole group back.
//!
//! All ranks of a group advance together, so each pass waits for the slowest rank that has requests. One that works at a
//! fraction of the others' pace gets no requests while that lasts, and those it has go on elsewhere, so that passes take
//! what the others need.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use sparscale_catalog::{Directory, Incarnation};
use sparscale_mesh::Mesh;
use sparscale_telemetry::DECISION;
use sparscale_wire::{GroupLoad, RankLoad};
use tokio::sync::watch;

/// How many times as long as the middle rank of its group a rank takes before it counts as slow: each pass of the group is
/// longer by as much, which is worse than a rank less.
const SLOW_FACTOR: f64 = 1.4;

/// Ranks of `load` that hold the others back.
pub fn slow_ranks(load: &GroupLoad) -> Vec<usize> {
    let mut paces: Vec<f64> = load.ranks.iter().flatten().map(RankLoad::pace).collect();
    paces.sort_by(f64::total_cmp);
    let Some(middle) = paces.get(paces.len() / 2).copied() else {
        return Vec::new();
    };
    let told = load.ranks.iter().enumerate();
    let slow = told.filter(|(_, rank)| rank.is_some_and(|rank| rank.pace() > middle * SLOW_FACTOR));
    slow.map(|(rank, _)| rank).collect()
}

/// Loads of a group, and the ranks that hold it back by them.
type SlowRanks = (Arc<GroupLoad>, Vec<usize>);

/// Targets that hold their groups back.
#[derive(Debug, Default)]
pub(crate) struct Slow {
    targets: watch::Sender<BTreeSet<Incarnation>>,
}

impl Slow {
    /// Works out anew who is slow, from the latest loads of the groups of `targets`. A load that was read before a target's
    /// present start says nothing about it.
    pub(crate) fn update(&self, mesh: &Mesh, targets: &Directory) {
        let mut groups: HashMap<&str, Option<SlowRanks>> = HashMap::new();
        let mut slow = BTreeSet::new();
        let mut names = Vec::new();
        for seat in targets.seats() {
            let Some(place) = &seat.target.membership else { continue };
            let told = groups.entry(&place.group).or_insert_with(|| {
                let load = mesh.group(&place.group)?;
                let ranks = slow_ranks(&load);
                Some((load, ranks))
            });
            let Some((load, ranks)) = told else { continue };
            let of_start = load.rank(place.rank, seat.target.start_mark()).is_some();
            if of_start && ranks.contains(&place.rank) {
                slow.insert(seat.key);
                names.push(seat.target.id.as_str());
            }
        }
        self.targets.send_if_modified(|known| {
            let changed = *known != slow;
            if changed {
                log::info!(target: DECISION, decision = "slow_targets", before = known.len(), now:? = names; "targets that hold their groups back");
                *known = slow;
            }
            changed
        });
    }

    pub(crate) fn contains(&self, target: Incarnation) -> bool {
        self.targets.borrow().contains(&target)
    }

    /// Returns once `target` is slow.
    pub(crate) async fn becomes(&self, target: Incarnation) {
        let mut targets = self.targets.subscribe();
        if targets.wait_for(|slow| slow.contains(&target)).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}
