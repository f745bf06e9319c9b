//! Chooses targets by load: counts the requests that this entry has at each target and tracks recent failures.
//!
//! Many entries choose from the same delayed load reports. Without a weighted random choice all of them would send to
//! the same least loaded target until the next report.

use std::collections::{HashMap, VecDeque};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sparscale_catalog::{Directory, Incarnation, Instance, TargetStatus};
use sparscale_policy::spread::{Candidate, draw, shares};
use sparscale_wire::rank;
use tokio::time::Instant;

use crate::attempted_targets::AttemptedTargets;
use crate::stragglers::Stragglers;

/// How long a target is avoided after its first failure; doubled with each consecutive failure.
const INITIAL_AVOIDANCE: Duration = Duration::from_millis(250);
/// Maximum number of doublings.
const MAX_AVOIDANCE_DOUBLINGS: u32 = 4;
/// How long a target is avoided whose address now belongs to another incarnation; the roster removes it within this
/// time. Otherwise a request whose route allows two targets could be sent to two such targets right after a restart,
/// and be rejected.
const REPLACED_AVOIDANCE: Duration = Duration::from_secs(10);
/// Mean age of a rank's load at the time of use: it is read and reported every 100 ms, and forwarded once.
const MEAN_REPORT_AGE: Duration = Duration::from_millis(150);
/// Window over which the sends of this entry are counted, to estimate the send rate of all entries.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Penalty for a target in another hall, as a number of additional requests.
const OTHER_HALL_PENALTY_REQUESTS: f64 = 0.5;

/// State of one target, as observed by this entry.
#[derive(Debug, Default)]
struct State {
    /// Requests of this entry that have not finished.
    in_flight: u32,
    /// Consecutive failures.
    consecutive_failures: u32,
    avoid_until: Option<Instant>,
    /// Whether another incarnation responded at its address.
    replaced: bool,
    /// Recent sends that the latest load report may not include yet.
    recent_sends: VecDeque<Instant>,
}

impl State {
    fn is_avoided(&self, now: Instant) -> bool {
        self.avoid_until.is_some_and(|until| now < until)
    }

    fn unreported_sends(&self, now: Instant) -> usize {
        self.recent_sends
            .iter()
            .filter(|sent| **sent + MEAN_REPORT_AGE > now)
            .count()
    }
}

/// The load and recent failures of all targets.
#[derive(Debug)]
pub(crate) struct Loads {
    targets: Mutex<HashMap<Incarnation, State>>,
    /// Number of entries that send to the same targets, including this one.
    entry_count: Arc<AtomicUsize>,
    /// Sends of this entry to targets in groups within the last [`RATE_WINDOW`].
    group_sends: Mutex<VecDeque<Instant>>,
    /// Targets that slow their groups down.
    pub(crate) stragglers: Stragglers,
}

/// Selects the targets that a request may be sent to.
#[derive(Debug)]
pub(crate) struct Filter<'a> {
    pub(crate) service: &'a str,
    /// The only group that the request may go to, if it is bound to one.
    pub(crate) group: Option<&'a str>,
    /// Targets to exclude.
    pub(crate) excluded: &'a AttemptedTargets,
    /// Hall of this entry, preferred over others.
    pub(crate) hall: &'a str,
}

/// Counts a request as in flight at a target until dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    loads: Arc<Loads>,
    /// Key of the target.
    pub(crate) target: Incarnation,
}

impl Loads {
    /// Starts without any observations; `entry_count` is the number of entries that send to the same targets.
    pub(crate) fn new(entry_count: Arc<AtomicUsize>) -> Self {
        Self {
            targets: Mutex::default(),
            entry_count,
            group_sends: Mutex::default(),
            stragglers: Stragglers::default(),
        }
    }

    /// Chooses a target for `filter` among those that `may_take` accepts.
    ///
    /// Targets with a reported load are drawn at random so that all entries together fill them evenly (see
    /// [`sparscale_policy::spread`]). Without any reported load it is the target with the fewest requests of this
    /// entry. A target that failed recently is chosen only if there is no other.
    pub(crate) fn choose(
        &self,
        targets: &Directory,
        filter: &Filter<'_>,
        may_take: impl Fn(&Instance) -> bool,
        reported: impl Fn(&Instance) -> Option<rank::Load>,
    ) -> Option<Instance> {
        let is_available = |instance: &&Instance| {
            let is_ready = instance.target.status == TargetStatus::Ready;
            is_ready && !filter.excluded.contains(instance.key) && may_take(instance)
        };
        let in_group = |instance: &&Instance| {
            filter.group.is_none_or(|group| {
                let membership = instance.target.membership.as_ref();
                membership.is_some_and(|membership| membership.group == group)
            })
        };
        let available = targets.instances_of(filter.service).filter(is_available);
        let available: Vec<&Instance> = available
            .filter(|instance| !self.is_superseded(targets, instance))
            .collect();
        let eligible: Vec<&Instance> = available.iter().copied().filter(in_group).collect();
        let fraction = eligible.len() as f64 / available.len().max(1) as f64;
        let mut with_load: Vec<(&Instance, rank::Load)> = eligible
            .iter()
            .filter_map(|instance| reported(instance).map(|load| (*instance, load)))
            .collect();
        if with_load
            .iter()
            .any(|(instance, _)| !self.stragglers.contains(instance.key))
        {
            with_load.retain(|(instance, _)| !self.stragglers.contains(instance.key));
        }
        if with_load.is_empty() {
            return self.least_loaded(eligible.into_iter(), filter.hall).cloned();
        }
        self.draw_by_load(&with_load, fraction, filter.hall).cloned()
    }

    /// Whether a newer roster entry has the address of `instance`, unless that newer target was itself found to be
    /// replaced.
    fn is_superseded(&self, targets: &Directory, instance: &Instance) -> bool {
        if !instance.target.is_superseded {
            return false;
        }
        let Some(newer) = targets.successor(&instance.target) else {
            return false;
        };
        let now = Instant::now();
        let states = self.lock();
        !states
            .get(&newer.key)
            .is_some_and(|state| state.replaced && state.is_avoided(now))
    }

    /// The target with the fewest requests of this entry per slot. Ties go to the entry's own hall, then to a random
    /// one.
    fn least_loaded<'t>(&self, ready: impl Iterator<Item = &'t Instance>, hall: &str) -> Option<&'t Instance> {
        let now = Instant::now();
        let targets = self.lock();
        let cost = |instance: &Instance| {
            let target = &instance.target;
            let state = targets.get(&instance.key);
            let own_requests = state.map_or(0, |state| state.in_flight);
            Cost {
                avoided: state.is_some_and(|state| state.is_avoided(now)),
                load: f64::from(own_requests + 1) / f64::from(target.slots.max(1)),
                other_hall: target.hall != hall,
                random_tie_breaker: rand::random(),
            }
        };
        let costs = ready.map(|instance| (cost(instance), instance));
        let best = costs.min_by(|(left, _), (right, _)| left.total_cmp(right));
        best.map(|(_, instance)| instance)
    }

    /// Draws one of the targets with a reported load, so that all entries together fill them evenly. `fraction` is the
    /// fraction of this entry's requests that may go to these targets.
    fn draw_by_load<'t>(
        &self,
        with_load: &[(&'t Instance, rank::Load)],
        fraction: f64,
        hall: &str,
    ) -> Option<&'t Instance> {
        let now = Instant::now();
        let expected_arrivals = self.expected_arrivals(now) * fraction;
        let targets = self.lock();
        let is_avoided = |instance: &Instance| targets.get(&instance.key).is_some_and(|state| state.is_avoided(now));
        let mut candidates: Vec<&(&Instance, rank::Load)> =
            with_load.iter().filter(|(instance, _)| !is_avoided(instance)).collect();
        if candidates.is_empty() {
            candidates = with_load.iter().collect();
        }
        let candidate = |instance: &Instance, load: rank::Load| {
            let target = &instance.target;
            let state = targets.get(&instance.key);
            let own_requests = state.map_or(0, |state| state.in_flight);
            let unreported = state.map_or(0, |state| state.unreported_sends(now));
            // The report includes the requests of this entry as of the time it was made.
            let reported = f64::from(load.running) + f64::from(load.queued);
            let requests = f64::from(own_requests).max(reported + unreported as f64);
            let hall_penalty = if target.hall == hall {
                0.0
            } else {
                OTHER_HALL_PENALTY_REQUESTS
            };
            let capacity = f64::from(target.slots.max(1)) / load.slowdown();
            // The request itself takes longer on a slower rank.
            let slowdown_cost = (load.slowdown() - 1.0).max(0.0) / f64::from(target.slots.max(1));
            Candidate {
                load: (requests + hall_penalty) / capacity + slowdown_cost,
                capacity,
            }
        };
        let costs: Vec<Candidate> = candidates
            .iter()
            .map(|(instance, load)| candidate(instance, *load))
            .collect();
        let chosen = draw(&shares(&costs, expected_arrivals), rand::random())?;
        candidates.get(chosen).map(|(instance, _)| *instance)
    }

    /// Requests that the other entries send before the next report, if each sends at the rate of this one.
    fn expected_arrivals(&self, now: Instant) -> f64 {
        let mut sends = self.group_sends.lock().unwrap_or_else(PoisonError::into_inner);
        while sends.front().is_some_and(|sent| *sent + RATE_WINDOW < now) {
            sends.pop_front();
        }
        let others = self.entry_count.load(Ordering::Relaxed).saturating_sub(1);
        let rate = sends.len() as f64 / RATE_WINDOW.as_secs_f64();
        rate * others as f64 * MEAN_REPORT_AGE.as_secs_f64()
    }

    /// Counts a request as in flight at the target of `instance`.
    pub(crate) fn begin_request(self: &Arc<Self>, instance: &Instance) -> InFlightGuard {
        let now = Instant::now();
        if instance.target.membership.is_some() {
            let mut sends = self.group_sends.lock().unwrap_or_else(PoisonError::into_inner);
            sends.push_back(now);
        }
        let mut targets = self.lock();
        let state = targets.entry(instance.key).or_default();
        state.in_flight += 1;
        while state
            .recent_sends
            .front()
            .is_some_and(|sent| *sent + MEAN_REPORT_AGE < now)
        {
            state.recent_sends.pop_front();
        }
        state.recent_sends.push_back(now);
        drop(targets);
        InFlightGuard {
            loads: Arc::clone(self),
            target: instance.key,
        }
    }

    /// Records a successful response of a target.
    pub(crate) fn record_success(&self, target: Incarnation) {
        if let Some(state) = self.lock().get_mut(&target) {
            state.consecutive_failures = 0;
            state.avoid_until = None;
            state.replaced = false;
        }
    }

    /// Records a failure of a target, which is then avoided for a while.
    pub(crate) fn record_failure(&self, target: Incarnation) {
        let mut targets = self.lock();
        let state = targets.entry(target).or_default();
        let doublings = state.consecutive_failures.min(MAX_AVOIDANCE_DOUBLINGS);
        state.consecutive_failures += 1;
        state.avoid_until = Some(Instant::now() + INITIAL_AVOIDANCE * 2_u32.pow(doublings));
    }

    /// Records that another incarnation has the address of a target, which is then avoided until the roster removes it.
    pub(crate) fn record_replaced(&self, target: Incarnation) {
        let mut targets = self.lock();
        let state = targets.entry(target).or_default();
        state.avoid_until = Some(Instant::now() + REPLACED_AVOIDANCE);
        state.replaced = true;
    }

    /// Drops the state of targets that left the roster and have no requests in flight.
    pub(crate) fn retain(&self, targets: &Directory) {
        self.lock()
            .retain(|target, state| state.in_flight > 0 || targets.find(*target).is_some());
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Incarnation, State>> {
        self.targets.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        if let Some(state) = self.loads.lock().get_mut(&self.target) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }
}

/// Cost of choosing a target; fields in order of precedence.
struct Cost {
    avoided: bool,
    load: f64,
    other_hall: bool,
    random_tie_breaker: u32,
}

impl Cost {
    fn total_cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.avoided
            .cmp(&other.avoided)
            .then(self.load.total_cmp(&other.load))
            .then(self.other_hall.cmp(&other.other_hall))
            .then(self.random_tie_breaker.cmp(&other.random_tie_breaker))
    }
}
