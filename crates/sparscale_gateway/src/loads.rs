//! What this entry has at each target, and how the targets have answered lately.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sparscale_catalog::{Roster, Standing, Target};
use sparscale_wire::RankLoad;
use tokio::time::Instant;

/// First time for which a target that failed is passed over; doubled with each failure in a row.
const FIRST_AVOIDANCE: Duration = Duration::from_millis(250);
/// Doublings of that time at most.
const MAX_DOUBLINGS: u32 = 4;

/// One target, as this entry sees it.
#[derive(Debug, Default)]
struct State {
    /// Requests of this entry that have not ended.
    running: u32,
    /// Failures in a row.
    failures: u32,
    avoid_until: Option<Instant>,
}

/// All targets.
#[derive(Debug, Default)]
pub(crate) struct Loads {
    targets: Mutex<HashMap<String, State>>,
}

/// A request that counts as running at a target until this is dropped.
#[derive(Debug)]
pub(crate) struct Running {
    loads: Arc<Loads>,
    target: String,
}

impl Loads {
    /// The target for a request of `service`, other than those tried, for an entry in `hall`.
    ///
    /// The one that would be least loaded with it, in proportion to its slots and pace; of equals one in the same hall,
    /// then any. A target that failed a moment ago is taken only if there is no other.
    pub(crate) fn choose(
        &self,
        roster: &Roster,
        service: &str,
        tried: &[String],
        hall: &str,
        reported: impl Fn(&Target) -> Option<RankLoad>,
    ) -> Option<Target> {
        let now = Instant::now();
        let targets = self.lock();
        let ready = roster
            .of_service(service)
            .filter(|target| target.standing == Standing::Ready && !tried.contains(&target.id));
        let cost = |target: &Target| {
            let state = targets.get(&target.id);
            let own = state.map_or(0, |state| state.running);
            let report = reported(target);
            // What is reported holds this entry's own requests, too, as they were then.
            let running = report.map_or(own, |load| own.max(load.running + load.queued));
            let pace = report.map_or(1.0, |load| load.pace());
            Cost {
                avoided: state.is_some_and(|state| state.avoid_until.is_some_and(|until| now < until)),
                load: f64::from(running + 1) * pace / f64::from(target.slots.max(1)),
                other_hall: target.hall != hall,
                lot: rand::random(),
            }
        };
        let costs = ready.map(|target| (cost(target), target));
        let best = costs.min_by(|(left, _), (right, _)| left.total_cmp(right));
        best.map(|(_, target)| target.clone())
    }

    /// Counts a request as running at `target`.
    pub(crate) fn enter(self: &Arc<Self>, target: &Target) -> Running {
        self.lock().entry(target.id.clone()).or_default().running += 1;
        Running {
            loads: Arc::clone(self),
            target: target.id.clone(),
        }
    }

    /// Notes a good answer of a target.
    pub(crate) fn note_good(&self, target: &str) {
        if let Some(state) = self.lock().get_mut(target) {
            state.failures = 0;
            state.avoid_until = None;
        }
    }

    /// Notes a failure of a target: it is avoided for a while.
    pub(crate) fn note_failure(&self, target: &str) {
        let mut targets = self.lock();
        let state = targets.entry(target.to_owned()).or_default();
        let doublings = state.failures.min(MAX_DOUBLINGS);
        state.failures += 1;
        state.avoid_until = Some(Instant::now() + FIRST_AVOIDANCE * 2_u32.pow(doublings));
    }

    /// Forgets targets that are gone and have nothing running.
    pub(crate) fn retain(&self, roster: &Roster) {
        self.lock()
            .retain(|target, state| state.running > 0 || roster.find(target).is_some());
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, State>> {
        self.targets.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        if let Some(state) = self.loads.lock().get_mut(&self.target) {
            state.running = state.running.saturating_sub(1);
        }
    }
}

/// What speaks against a target, the weightiest first.
struct Cost {
    avoided: bool,
    load: f64,
    other_hall: bool,
    lot: u32,
}

impl Cost {
    fn total_cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.avoided
            .cmp(&other.avoided)
            .then(self.load.total_cmp(&other.load))
            .then(self.other_hall.cmp(&other.other_hall))
            .then(self.lot.cmp(&other.lot))
    }
}
