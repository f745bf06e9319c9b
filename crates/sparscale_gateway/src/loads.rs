//! Chooses targets by load: counts the requests that this entry has at each target and tracks recent failures.
//!
//! Many entries choose from the same delayed load reports. Without a weighted random choice all of them would send to
//! the same least loaded target until the next report.

use std::collections::{HashMap, VecDeque};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sparscale_catalog::{Directory, Incarnation, Seat, Standing};
use sparscale_policy::spread::{Candidate, draw, shares};
use sparscale_wire::RankLoad;
use tokio::time::Instant;

use crate::slow::Slow;
use crate::tried::Tried;

/// How long a target is avoided after its first failure; doubled with each consecutive failure.
const FIRST_AVOIDANCE: Duration = Duration::from_millis(250);
/// Maximum number of doublings.
const MAX_DOUBLINGS: u32 = 4;
/// How long a target is avoided whose address now belongs to another incarnation; the roster removes it within this
/// time. Otherwise a request whose route allows two targets could be sent to two such targets right after a restart,
/// and be rejected.
const GONE_AVOIDANCE: Duration = Duration::from_secs(10);
/// Mean age of a rank's load at the time of use: it is read and reported every 100 ms, and forwarded once.
const STALE: Duration = Duration::from_millis(150);
/// Window over which the sends of this entry are counted, to estimate the send rate of all entries.
const RATE_SPAN: Duration = Duration::from_secs(1);
/// Penalty for a target in another hall, as a number of additional requests.
const OTHER_HALL: f64 = 0.5;

/// State of one target, as observed by this entry.
#[derive(Debug, Default)]
struct State {
    /// Requests of this entry that have not finished.
    running: u32,
    /// Consecutive failures.
    failures: u32,
    avoid_until: Option<Instant>,
    /// Whether another incarnation answered at its address.
    gone: bool,
    /// Recent sends that the latest load report may not include yet.
    unreported: VecDeque<Instant>,
}

impl State {
    fn avoided(&self, now: Instant) -> bool {
        self.avoid_until.is_some_and(|until| now < until)
    }

    fn unreported(&self, now: Instant) -> usize {
        self.unreported.iter().filter(|sent| **sent + STALE > now).count()
    }
}

/// The load and recent failures of all targets.
#[derive(Debug)]
pub(crate) struct Loads {
    targets: Mutex<HashMap<Incarnation, State>>,
    /// Number of entries that send to the same targets, including this one.
    entries: Arc<AtomicUsize>,
    /// Sends of this entry to targets in groups within the last [`RATE_SPAN`].
    sends: Mutex<VecDeque<Instant>>,
    /// Targets that slow their groups down.
    pub(crate) slow: Slow,
}

/// Selects the targets that a request may be sent to.
#[derive(Debug)]
pub(crate) struct Search<'a> {
    pub(crate) service: &'a str,
    /// The only group that the request may go to, if it is bound to one.
    pub(crate) group: Option<&'a str>,
    /// Targets to exclude.
    pub(crate) tried: &'a Tried,
    /// Hall of this entry, preferred over others.
    pub(crate) hall: &'a str,
}

/// Counts a request as in flight at a target until dropped.
#[derive(Debug)]
pub(crate) struct Running {
    loads: Arc<Loads>,
    /// Key of the target.
    pub(crate) target: Incarnation,
}

impl Loads {
    /// Starts without any observations; `entries` counts the entries that send to the same targets.
    pub(crate) fn new(entries: Arc<AtomicUsize>) -> Self {
        Self {
            targets: Mutex::default(),
            entries,
            sends: Mutex::default(),
            slow: Slow::default(),
        }
    }

    /// Chooses a target for `search` among those that `may_take` accepts.
    ///
    /// Targets with a reported load are drawn at random so that all entries together fill them evenly (see
    /// [`sparscale_policy::spread`]). Without any reported load it is the target with the fewest requests of this
    /// entry. A target that failed recently is chosen only if there is no other.
    pub(crate) fn choose(
        &self,
        targets: &Directory,
        search: &Search<'_>,
        may_take: impl Fn(&Seat) -> bool,
        reported: impl Fn(&Seat) -> Option<RankLoad>,
    ) -> Option<Seat> {
        let ready = |seat: &&Seat| {
            let is_ready = seat.target.standing == Standing::Ready;
            is_ready && !search.tried.contains(seat.key) && may_take(seat)
        };
        let of_group = |seat: &&Seat| {
            search.group.is_none_or(|group| {
                let place = seat.target.membership.as_ref();
                place.is_some_and(|place| place.group == group)
            })
        };
        let all = targets.of_service(search.service).filter(ready);
        let all: Vec<&Seat> = all.filter(|seat| !self.is_superseded(targets, seat)).collect();
        let open: Vec<&Seat> = all.iter().copied().filter(of_group).collect();
        let part = open.len() as f64 / all.len().max(1) as f64;
        let mut told: Vec<(&Seat, RankLoad)> = open
            .iter()
            .filter_map(|seat| reported(seat).map(|load| (*seat, load)))
            .collect();
        if told.iter().any(|(seat, _)| !self.slow.contains(seat.key)) {
            told.retain(|(seat, _)| !self.slow.contains(seat.key));
        }
        if told.is_empty() {
            return self.least(open.into_iter(), search.hall).cloned();
        }
        self.spread(&told, part, search.hall).cloned()
    }

    /// Whether a newer roster entry has the address of `seat`, unless that newer target was itself found to be
    /// replaced.
    fn is_superseded(&self, targets: &Directory, seat: &Seat) -> bool {
        if !seat.target.superseded {
            return false;
        }
        let Some(later) = targets.successor(&seat.target) else {
            return false;
        };
        let now = Instant::now();
        let states = self.lock();
        !states
            .get(&later.key)
            .is_some_and(|state| state.gone && state.avoided(now))
    }

    /// The target with the fewest requests of this entry per slot. Ties go to the entry's own hall, then to a random
    /// one.
    fn least<'t>(&self, ready: impl Iterator<Item = &'t Seat>, hall: &str) -> Option<&'t Seat> {
        let now = Instant::now();
        let targets = self.lock();
        let cost = |seat: &Seat| {
            let target = &seat.target;
            let state = targets.get(&seat.key);
            let own = state.map_or(0, |state| state.running);
            Cost {
                avoided: state.is_some_and(|state| state.avoided(now)),
                load: f64::from(own + 1) / f64::from(target.slots.max(1)),
                other_hall: target.hall != hall,
                lot: rand::random(),
            }
        };
        let costs = ready.map(|seat| (cost(seat), seat));
        let best = costs.min_by(|(left, _), (right, _)| left.total_cmp(right));
        best.map(|(_, seat)| seat)
    }

    /// Draws one of the targets with a reported load, so that all entries together fill them evenly. `part` is the
    /// fraction of this entry's requests that may go to these targets.
    fn spread<'t>(&self, told: &[(&'t Seat, RankLoad)], part: f64, hall: &str) -> Option<&'t Seat> {
        let now = Instant::now();
        let expected = self.expected(now) * part;
        let targets = self.lock();
        let avoided = |seat: &Seat| targets.get(&seat.key).is_some_and(|state| state.avoided(now));
        let mut open: Vec<&(&Seat, RankLoad)> = told.iter().filter(|(seat, _)| !avoided(seat)).collect();
        if open.is_empty() {
            open = told.iter().collect();
        }
        let candidate = |seat: &Seat, load: RankLoad| {
            let target = &seat.target;
            let state = targets.get(&seat.key);
            let own = state.map_or(0, |state| state.running);
            let unreported = state.map_or(0, |state| state.unreported(now));
            // The report includes the requests of this entry as of the time it was made.
            let running = f64::from(own).max(f64::from(load.running + load.queued) + unreported as f64);
            let distance = if target.hall == hall { 0.0 } else { OTHER_HALL };
            let capacity = f64::from(target.slots.max(1)) / load.pace();
            // The request itself takes longer on a slower rank.
            let slowness = (load.pace() - 1.0).max(0.0) / f64::from(target.slots.max(1));
            Candidate {
                load: (running + distance) / capacity + slowness,
                capacity,
            }
        };
        let candidates: Vec<Candidate> = open.iter().map(|(seat, load)| candidate(seat, *load)).collect();
        let chosen = draw(&shares(&candidates, expected), rand::random())?;
        open.get(chosen).map(|(seat, _)| *seat)
    }

    /// Requests that the other entries send before the next report, if each sends at the rate of this one.
    fn expected(&self, now: Instant) -> f64 {
        let mut sends = self.sends.lock().unwrap_or_else(PoisonError::into_inner);
        while sends.front().is_some_and(|sent| *sent + RATE_SPAN < now) {
            sends.pop_front();
        }
        let others = self.entries.load(Ordering::Relaxed).saturating_sub(1);
        let rate = sends.len() as f64 / RATE_SPAN.as_secs_f64();
        rate * others as f64 * STALE.as_secs_f64()
    }

    /// Counts a request as in flight at the target of `seat`.
    pub(crate) fn enter(self: &Arc<Self>, seat: &Seat) -> Running {
        let now = Instant::now();
        if seat.target.membership.is_some() {
            let mut sends = self.sends.lock().unwrap_or_else(PoisonError::into_inner);
            sends.push_back(now);
        }
        let mut targets = self.lock();
        let state = targets.entry(seat.key).or_default();
        state.running += 1;
        while state.unreported.front().is_some_and(|sent| *sent + STALE < now) {
            state.unreported.pop_front();
        }
        state.unreported.push_back(now);
        drop(targets);
        Running {
            loads: Arc::clone(self),
            target: seat.key,
        }
    }

    /// Records a successful answer of a target.
    pub(crate) fn note_good(&self, target: Incarnation) {
        if let Some(state) = self.lock().get_mut(&target) {
            state.failures = 0;
            state.avoid_until = None;
            state.gone = false;
        }
    }

    /// Records a failure of a target, which is then avoided for a while.
    pub(crate) fn note_failure(&self, target: Incarnation) {
        let mut targets = self.lock();
        let state = targets.entry(target).or_default();
        let doublings = state.failures.min(MAX_DOUBLINGS);
        state.failures += 1;
        state.avoid_until = Some(Instant::now() + FIRST_AVOIDANCE * 2_u32.pow(doublings));
    }

    /// Records that another incarnation has the address of a target, which is then avoided until the roster removes it.
    pub(crate) fn note_gone(&self, target: Incarnation) {
        let mut targets = self.lock();
        let state = targets.entry(target).or_default();
        state.avoid_until = Some(Instant::now() + GONE_AVOIDANCE);
        state.gone = true;
    }

    /// Drops the state of targets that left the roster and have no requests in flight.
    pub(crate) fn retain(&self, targets: &Directory) {
        self.lock()
            .retain(|target, state| state.running > 0 || targets.find(*target).is_some());
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Incarnation, State>> {
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

/// Cost of choosing a target; fields in order of precedence.
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
