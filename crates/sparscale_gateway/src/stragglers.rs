//! Tracks the stragglers: targets that slow down the whole group they belong to; see [`straggler`].

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use sparscale_catalog::{Directory, Incarnation};
use sparscale_mesh::Mesh;
use sparscale_policy::straggler;
use sparscale_telemetry::DECISION;
use sparscale_wire::group;
use tokio::sync::watch;

/// The load report of a group, and the ranks that are stragglers according to it.
type GroupStragglers = (Arc<group::Load>, Vec<usize>);

/// The current stragglers.
#[derive(Debug, Default)]
pub(crate) struct Stragglers {
    targets: watch::Sender<BTreeSet<Incarnation>>,
}

impl Stragglers {
    /// Recomputes the stragglers from the latest load reports of the groups of `targets`. A report made before the
    /// current start of a target is ignored for that target.
    pub(crate) fn update(&self, mesh: &Mesh, targets: &Directory) {
        let mut groups: HashMap<&str, Option<GroupStragglers>> = HashMap::new();
        let mut stragglers = BTreeSet::new();
        let mut names = Vec::new();
        for instance in targets.instances() {
            let Some(membership) = &instance.target.membership else {
                continue;
            };
            let report = groups.entry(&membership.group).or_insert_with(|| {
                let load = mesh.group_load(&membership.group)?;
                let slow_ranks = straggler::find(&load);
                Some((load, slow_ranks))
            });
            let Some((load, slow_ranks)) = report else { continue };
            let from_current_start = load.rank_load(membership.rank, instance.target.start_mark()).is_some();
            if from_current_start && slow_ranks.contains(&membership.rank) {
                stragglers.insert(instance.key);
                names.push(instance.target.id.as_str());
            }
        }
        self.targets.send_if_modified(|previous| {
            let changed = *previous != stragglers;
            if changed {
                log::info!(target: DECISION, decision = "slow_targets", before = previous.len(), now:? = names; "stragglers changed");
                *previous = stragglers;
            }
            changed
        });
    }

    pub(crate) fn contains(&self, target: Incarnation) -> bool {
        self.targets.borrow().contains(&target)
    }

    /// Returns once `target` is a straggler.
    pub(crate) async fn wait_until_straggler(&self, target: Incarnation) {
        let mut targets = self.targets.subscribe();
        if targets
            .wait_for(|stragglers| stragglers.contains(&target))
            .await
            .is_err()
        {
            std::future::pending::<()>().await;
        }
    }
}
