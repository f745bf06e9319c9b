//! Tracks the stragglers: targets that slow down the whole group they belong to; see [`slow`].

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use sparscale_catalog::{Directory, Incarnation};
use sparscale_mesh::Mesh;
use sparscale_policy::slow;
use sparscale_telemetry::DECISION;
use sparscale_wire::GroupLoad;
use tokio::sync::watch;

/// The load report of a group, and the ranks that are stragglers according to it.
type SlowRanks = (Arc<GroupLoad>, Vec<usize>);

/// The current stragglers.
#[derive(Debug, Default)]
pub(crate) struct Slow {
    targets: watch::Sender<BTreeSet<Incarnation>>,
}

impl Slow {
    /// Recomputes the stragglers from the latest load reports of the groups of `targets`. A report made before the
    /// current start of a target is ignored for that target.
    pub(crate) fn update(&self, mesh: &Mesh, targets: &Directory) {
        let mut groups: HashMap<&str, Option<SlowRanks>> = HashMap::new();
        let mut found = BTreeSet::new();
        let mut names = Vec::new();
        for seat in targets.seats() {
            let Some(place) = &seat.target.membership else { continue };
            let told = groups.entry(&place.group).or_insert_with(|| {
                let load = mesh.group(&place.group)?;
                let ranks = slow::ranks(&load);
                Some((load, ranks))
            });
            let Some((load, ranks)) = told else { continue };
            let of_start = load.rank(place.rank, seat.target.start_mark()).is_some();
            if of_start && ranks.contains(&place.rank) {
                found.insert(seat.key);
                names.push(seat.target.id.as_str());
            }
        }
        self.targets.send_if_modified(|known| {
            let changed = *known != found;
            if changed {
                log::info!(target: DECISION, decision = "slow_targets", before = known.len(), now:? = names; "stragglers changed");
                *known = found;
            }
            changed
        });
    }

    pub(crate) fn contains(&self, target: Incarnation) -> bool {
        self.targets.borrow().contains(&target)
    }

    /// Returns once `target` is a straggler.
    pub(crate) async fn becomes(&self, target: Incarnation) {
        let mut targets = self.targets.subscribe();
        if targets.wait_for(|slow| slow.contains(&target)).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}
