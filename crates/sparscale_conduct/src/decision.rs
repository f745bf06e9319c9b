//! Decides which expert map the group should use next.
//!
//! Demand is estimated from the expert selection counts of the ranks. A switch must save more time of passes than it
//! costs: loading experts lengthens the passes, and each switch holds the group.

use std::time::Duration;

use sparscale_catalog::ExpertLayout;
use sparscale_place::payoff::{self, Balance, Candidate, Conditions, Staging};
use sparscale_place::{Map, Popularity, Refinement, Shape, Trend, mean_skew, sample_skew};
use sparscale_telemetry::DECISION;
use tokio::time::Instant;

use crate::bandwidth::Bandwidth;

/// Half-life of a selection's weight while demand is steady: long enough to average over the mix of the requests in
/// progress, short enough to follow slow changes.
const DEMAND_HALF_LIFE: Duration = Duration::from_millis(1_500);
/// Time over which selections are accumulated before they are evaluated.
const SAMPLE_WINDOW: Duration = Duration::from_millis(100);
/// Time that a switch takes besides loading and sending the map: sending orders, holding and arming.
const SWITCH_OVERHEAD_MS: f64 = 30.0;
/// Time from hold to release that is assumed until a switch has been measured.
const DEFAULT_HOLD: Duration = Duration::from_millis(90);
/// Weight of a new hold in the mean.
const HOLD_MEAN_WEIGHT: f64 = 0.25;
/// Minimum time between two log lines about keeping the current map.
const STAY_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Factor by which the slowdown of a rank must change to be logged.
const SLOWDOWN_LOG_FACTOR: f64 = 1.3;
/// Pause between stream events that is assumed to be allowed until the catalog is known.
const DEFAULT_STREAM_PAUSE: Duration = Duration::from_millis(150);

/// Tracks the demand for experts and chooses the group's maps.
#[derive(Debug)]
pub(crate) struct Decider {
    shape: Shape,
    staging: Staging,
    expert_work_fraction: f64,
    popularity: Popularity,
    accumulated: Vec<f64>,
    window_start: Instant,
    slowdowns: Vec<f64>,
    /// Time of the latest passes divided by the pause that streams allow.
    pressure: f64,
    /// Skew of the selections of the last window under the map that was active at its end.
    observed_skew: Option<f64>,
    /// Mean time from hold to release of the recent switches.
    held: Duration,
    stay_logged_at: Option<Instant>,
}

impl Decider {
    /// Creates a decider without any demand data for a group of `ranks` ranks; `bandwidth` is that of the leader's
    /// link.
    pub(crate) fn new(experts: ExpertLayout, ranks: usize, bandwidth: Bandwidth) -> Self {
        let shape = Shape {
            ranks,
            layers: experts.set_count,
            experts: experts.experts_per_set,
            slots: experts.max_experts_per_rank,
        };
        Self {
            shape,
            staging: Staging {
                spare_per_set: experts.spare_experts_per_rank,
                load_ms: experts.load_ms(),
                overhead_ms: SWITCH_OVERHEAD_MS,
                link: payoff::Link {
                    bytes_per_ms: bandwidth.map_bytes_in(0.001),
                    burst_bytes: bandwidth.map_burst_bytes(),
                },
            },
            expert_work_fraction: experts.expert_work_fraction,
            popularity: Popularity::new(experts.set_count, experts.experts_per_set, DEMAND_HALF_LIFE),
            accumulated: vec![0.0; experts.set_count * experts.experts_per_set],
            window_start: Instant::now(),
            slowdowns: vec![1.0; ranks],
            pressure: 1.0,
            observed_skew: None,
            held: DEFAULT_HOLD,
            stay_logged_at: None,
        }
    }

    /// Sets how many times longer than usual the work of each rank takes.
    pub(crate) fn set_slowdowns(&mut self, slowdowns: Vec<f64>) {
        for (rank, (before, now)) in self.slowdowns.iter().zip(&slowdowns).enumerate() {
            if *now > before * SLOWDOWN_LOG_FACTOR || *before > now * SLOWDOWN_LOG_FACTOR {
                log::info!(target: DECISION, decision = "pace", rank, before, now; "slowdown of a rank changed");
            }
        }
        self.slowdowns = slowdowns;
    }

    /// Sets how long passes take, and how long the pause between stream events may be.
    pub(crate) fn set_pass_time(&mut self, pass: Duration, pause: Option<Duration>) {
        let pause = pause.unwrap_or(DEFAULT_STREAM_PAUSE);
        self.pressure = pass.as_secs_f64() / pause.as_secs_f64().max(f64::MIN_POSITIVE);
    }

    /// Records for how long a switch held the group.
    pub(crate) fn record_hold(&mut self, held: Duration) {
        self.held = self.held.mul_f64(1.0 - HOLD_MEAN_WEIGHT) + held.mul_f64(HOLD_MEAN_WEIGHT);
    }

    /// Dimensions of the group's expert maps.
    pub(crate) fn shape(&self) -> Shape {
        self.shape
    }

    /// Adds the selection counts of one rank; counts of another shape come from another configuration and are ignored.
    pub(crate) fn add_selections(&mut self, selections: &[u32]) {
        if selections.len() != self.accumulated.len() {
            return;
        }
        for (sum, new) in self.accumulated.iter_mut().zip(selections) {
            *sum += f64::from(*new);
        }
    }

    /// Evaluates the accumulated selections if the sample window is over. `map` is the active one.
    pub(crate) fn sample(&mut self, now: Instant, map: Option<&Map>) -> Option<Trend> {
        let span = now.saturating_duration_since(self.window_start);
        if span < SAMPLE_WINDOW {
            return None;
        }
        let trend = self.popularity.observe(&self.accumulated, span);
        if trend != Trend::TooSmall {
            self.observed_skew = map.map(|map| sample_skew(&self.accumulated, map, self.shape, &self.slowdowns));
            self.accumulated.fill(0.0);
            self.window_start = now;
        }
        Some(trend)
    }

    /// Mean over the sets of the ratio of the largest rank load to the mean rank load, under `map`.
    pub(crate) fn skew(&self, map: &Map) -> f64 {
        mean_skew(&self.popularity, map, self.shape, &self.slowdowns)
    }

    /// Skew of the last window's own selections under the map that was active, which passes really had. The skew of
    /// the estimate is less while demand has shifted and no sample has shown it.
    pub(crate) fn observed_skew(&self) -> Option<f64> {
        self.observed_skew
    }

    /// Whether any demand has been observed.
    pub(crate) fn has_demand(&self) -> bool {
        self.popularity.sample_count() > 0
    }

    /// Returns the next map if a switch pays off: of the candidates with different numbers of loads per rank, the one
    /// with the least skew over the horizon, loading included.
    pub(crate) fn next_map(&mut self, map: &Map) -> Option<Refinement> {
        if !self.has_demand() {
            return None;
        }
        let best = payoff::best_candidate(&self.popularity, map, self.shape, &self.slowdowns, &self.staging)?;
        let balance = best.weigh(&self.staging, &self.conditions());
        if !balance.pays_off {
            self.log_stay(&best, &balance);
            return None;
        }
        let refinement = best.refinement;
        log::info!(
            target: DECISION,
            decision = "move",
            skew_now = refinement.skew_before,
            skew_next = refinement.skew_after,
            loads = refinement.replica_loads,
            deepest = refinement.max_loads_per_rank,
            staging_ms = best.staging_ms,
            gain_ms = balance.gain_ms,
            cost_ms = balance.cost_ms,
            in_force_ms = balance.in_force_ms,
            pressure = self.pressure,
            observed_skew = self.observed_skew,
            samples = self.popularity.sample_count();
            "switching to another map"
        );
        Some(refinement)
    }

    /// What decides whether a switch pays off.
    fn conditions(&self) -> Conditions {
        Conditions {
            shift_interval: self.popularity.shift_interval(),
            since_shift: SAMPLE_WINDOW * self.popularity.sample_count(),
            held: self.held,
            expert_work_fraction: self.expert_work_fraction,
            pressure: self.pressure,
        }
    }

    /// Logs that the current map is kept, at most once per second, since most decisions are of this kind.
    fn log_stay(&mut self, best: &Candidate, balance: &Balance) {
        let now = Instant::now();
        if self
            .stay_logged_at
            .is_some_and(|logged| now < logged + STAY_LOG_INTERVAL)
        {
            return;
        }
        self.stay_logged_at = Some(now);
        log::info!(
            target: DECISION,
            decision = "stay",
            skew_now = best.refinement.skew_before,
            skew_next = best.refinement.skew_after,
            loads = best.refinement.replica_loads,
            gain_ms = balance.gain_ms,
            cost_ms = balance.cost_ms,
            in_force_ms = balance.in_force_ms,
            observed_skew = self.observed_skew,
            samples = self.popularity.sample_count();
            "keeping the current map"
        );
    }
}
