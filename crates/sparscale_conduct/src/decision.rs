//! Decides which expert map the group should use next.
//!
//! Demand is estimated from the expert selection counts of the ranks. A switch must reduce the skew by a minimum,
//! because loading experts lengthens the passes of the ranks that load.

use std::time::Duration;

use sparscale_catalog::Experts;
use sparscale_place::{Bounds, Map, Popularity, Refined, Shape, Trend, refine, skew_now};
use sparscale_telemetry::DECISION;
use tokio::time::Instant;

/// Half-life of a selection's weight while demand is steady: long enough to average over the mix of the requests in
/// progress, short enough to follow slow changes.
const HALF_LIFE: Duration = Duration::from_millis(1_500);
/// Time over which selections are accumulated before they are evaluated.
const SAMPLE: Duration = Duration::from_millis(100);
/// Time that a switch takes besides loading: sending orders, holding and arming.
const CHANGE_MS: f64 = 30.0;
/// Time within which a switch must pay off; after that the next switch follows, or demand has shifted.
const HORIZON_MS: f64 = 900.0;
/// Maximum number of experts that one rank loads in one switch.
const MAX_DEPTH: usize = 3;
/// Minimum time between two log lines about keeping the current map.
const STAY_PAUSE: Duration = Duration::from_secs(1);
/// Minimum reduction of the skew for a switch while passes take as long as streams allow.
const MIN_FALL: f64 = 0.08;
/// Addition to that minimum in an idle group: while passes are short a little skew delays no request, but loading does.
const IDLE_FALL: f64 = 0.3;
/// Share of the allowed pause between stream events up to which a pass counts as short.
const SHORT_PART: f64 = 0.6;
/// Factor by which the slowdown of a rank must change to be logged.
const PACE_CHANGE: f64 = 1.3;
/// Pause between stream events that is assumed to be allowed until the catalog is known.
const USUAL_PAUSE: Duration = Duration::from_millis(150);

/// Tracks the demand for experts and chooses the group's maps.
#[derive(Debug)]
pub(crate) struct Decider {
    shape: Shape,
    experts: Experts,
    popularity: Popularity,
    gathered: Vec<f64>,
    since: Instant,
    paces: Vec<f64>,
    /// Time of the latest passes divided by the pause that streams allow.
    pressure: f64,
    told_stay: Option<Instant>,
}

impl Decider {
    /// Creates a decider without any demand data for a group of `ranks` ranks.
    pub(crate) fn new(experts: Experts, ranks: usize) -> Self {
        let shape = Shape {
            ranks,
            layers: experts.sets,
            experts: experts.count,
            slots: experts.places,
        };
        Self {
            shape,
            experts,
            popularity: Popularity::new(experts.sets, experts.count, HALF_LIFE),
            gathered: vec![0.0; experts.sets * experts.count],
            since: Instant::now(),
            paces: vec![1.0; ranks],
            pressure: 1.0,
            told_stay: None,
        }
    }

    /// Sets how many times longer than usual the work of each rank takes.
    pub(crate) fn pace(&mut self, paces: Vec<f64>) {
        for (rank, (before, now)) in self.paces.iter().zip(&paces).enumerate() {
            if *now > before * PACE_CHANGE || *before > now * PACE_CHANGE {
                log::info!(target: DECISION, decision = "pace", rank, before, now; "a rank works at another pace");
            }
        }
        self.paces = paces;
    }

    /// Sets how long passes take, and how long the pause between stream events may be.
    pub(crate) fn press(&mut self, pass: Duration, pause: Option<Duration>) {
        let pause = pause.unwrap_or(USUAL_PAUSE);
        self.pressure = pass.as_secs_f64() / pause.as_secs_f64().max(f64::MIN_POSITIVE);
    }

    /// Dimensions of the group's expert maps.
    pub(crate) fn shape(&self) -> Shape {
        self.shape
    }

    /// Adds the selection counts of one rank; counts of another shape come from another configuration and are ignored.
    pub(crate) fn count(&mut self, picks: &[u32]) {
        if picks.len() != self.gathered.len() {
            return;
        }
        for (sum, new) in self.gathered.iter_mut().zip(picks) {
            *sum += f64::from(*new);
        }
    }

    /// Evaluates the accumulated selections if the sample window is over.
    pub(crate) fn sample(&mut self, now: Instant) -> Option<Trend> {
        let span = now.saturating_duration_since(self.since);
        if span < SAMPLE {
            return None;
        }
        let trend = self.popularity.observe(&self.gathered, span);
        if trend != Trend::Small {
            self.gathered.fill(0.0);
            self.since = now;
        }
        Some(trend)
    }

    /// Mean over the sets of the ratio of the largest rank load to the mean rank load, under `map`.
    pub(crate) fn skew(&self, map: &Map) -> f64 {
        skew_now(&self.popularity, map, self.shape, &self.paces)
    }

    /// Whether any demand has been observed.
    pub(crate) fn knows(&self) -> bool {
        self.popularity.samples() > 0
    }

    /// Returns the next map if a switch pays off: of the candidates with different numbers of loads per rank, the one
    /// with the least skew over the horizon, loading included.
    pub(crate) fn next(&mut self, map: &Map) -> Option<Refined> {
        if !self.knows() {
            return None;
        }
        let depths = 1..=MAX_DEPTH.min(self.experts.spare);
        let candidates = depths.map(|per_rank| {
            let bounds = Bounds {
                per_rank,
                per_set: self.experts.spare,
            };
            let refined = refine(&self.popularity, map, self.shape, bounds, &self.paces);
            (self.cost(&refined), refined)
        });
        let (_, best) = candidates.min_by(|(left, _), (right, _)| left.total_cmp(right))?;
        let slack = ((SHORT_PART - self.pressure) / SHORT_PART).clamp(0.0, 1.0);
        let pays = best.before - best.after >= MIN_FALL + IDLE_FALL * slack;
        if !pays {
            self.log_stay(&best);
        }
        if pays {
            log::info!(
                target: DECISION,
                decision = "move",
                skew_now = best.before,
                skew_next = best.after,
                loads = best.loads,
                deepest = best.deepest,
                pressure = self.pressure,
                samples = self.popularity.samples();
                "placement"
            );
        }
        pays.then_some(best)
    }

    /// Logs that the current map is kept, at most once per second, since most decisions are of this kind.
    fn log_stay(&mut self, best: &Refined) {
        let now = Instant::now();
        if self.told_stay.is_some_and(|told| now < told + STAY_PAUSE) {
            return;
        }
        self.told_stay = Some(now);
        log::info!(
            target: DECISION,
            decision = "stay",
            skew_now = best.before,
            skew_next = best.after,
            loads = best.loads,
            samples = self.popularity.samples();
            "placement"
        );
    }

    /// Skew times milliseconds over the horizon if the group switches to `refined`.
    fn cost(&self, refined: &Refined) -> f64 {
        let wait = (f64::from(refined.deepest) * self.experts.load_ms() + CHANGE_MS).min(HORIZON_MS);
        wait * refined.before + (HORIZON_MS - wait) * refined.after
    }
}
