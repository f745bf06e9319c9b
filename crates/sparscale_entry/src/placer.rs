//! Runs the placer duties of this entry, with one task for each group.

use std::collections::HashSet;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use sparscale_control::process::Process;
use sparscale_journal::Duty;

use crate::board_control::SharedBoard;
use crate::duty::DutyWatch;
use crate::placer_context::Context;
use crate::placer_group::GroupPlacer;

/// Interval at which the groups of the bundle are checked.
const GROUP_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which a duty held by another entry is checked.
const DUTY_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Starts one placer task for each group.
pub(crate) struct Placers {
    context: Arc<Context>,
}

impl Placers {
    pub(crate) fn new(name: String, process: &Process, board: Arc<SharedBoard>) -> Self {
        Self {
            context: Arc::new(Context {
                name,
                incarnation: process.incarnation,
                journal: Arc::clone(&process.journal),
                endpoint: Arc::clone(&process.endpoint),
                board,
                boxes: process.boxes.clone(),
            }),
        }
    }

    /// Watches the duty of each group of the active bundle.
    pub(crate) async fn run(self) {
        let watched_groups: Arc<Mutex<HashSet<String>>> = Arc::default();
        loop {
            for group in self.context.groups() {
                let is_new = watched_groups
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .insert(group.clone());
                if !is_new {
                    continue;
                }
                let context = Arc::clone(&self.context);
                let watched_groups = Arc::clone(&watched_groups);
                tokio::spawn(async move {
                    watch_group(&context, &group).await;
                    watched_groups
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .remove(&group);
                });
            }
            tokio::time::sleep(GROUP_CHECK_INTERVAL).await;
        }
    }
}

impl Context {
    fn groups(&self) -> Vec<String> {
        let certificate = self.journal.active_certificate();
        let groups = certificate
            .iter()
            .flat_map(|certificate| &certificate.bundle.fleet().groups);
        groups.map(|group| group.name.clone()).collect()
    }
}

/// Watches the duty of one group and places its experts while this entry holds the duty, until the bundle has no such
/// group.
async fn watch_group(context: &Arc<Context>, group: &str) {
    let duty = Duty::Placer(group.to_owned());
    let mut watch = DutyWatch::new(duty, &context.name, context.incarnation);
    while context.groups().iter().any(|known| known == group) {
        let boxes = context.boxes.borrow().clone();
        match watch.hold_or_claim(&context.journal, &context.endpoint, &boxes).await {
            Some(fence) => {
                let is_stuck = GroupPlacer::new(Arc::clone(context), group, fence).run().await;
                if is_stuck {
                    watch.reclaim(&context.journal, fence).await;
                }
            }
            None => tokio::time::sleep(DUTY_CHECK_INTERVAL).await,
        }
    }
}
