//! Which map the group should have next.

use std::time::Duration;

use sparscale_catalog::Experts;
use sparscale_place::{Bounds, Map, Popularity, Refined, Shape, Trend, refine, skew_now};
use sparscale_telemetry::DECISION;
use tokio::time::Instant;

/// Time in which a pick's weight halves while demand stands still: long enough to even out the mix of the requests in
/// progress, short enough to follow slow changes.
const HALF_LIFE: Duration = Duration::from_millis(1_500);
/// Time over which picks are gathered before they are looked at.
const SAMPLE: Duration = Duration::from_millis(100);
/// Time that a change takes besides loading: telling, holding, arming.
const CHANGE_MS: f64 = 30.0;
/// Time over which a change has to pay; after that the next one goes on, or demand has shifted.
const HORIZON_MS: f64 = 900.0;
/// Most loads on one rank in one change.
const MAX_DEPTH: usize = 3;
/// Time between two lines of the log about staying.
const STAY_PAUSE: Duration = Duration::from_secs(1);
/// Fall of the skew for which a change is made while passes take as long as streams allow.
const MIN_FALL: f64 = 0.08;
/// What an idle group adds to it: while passes are short, a little skew costs nobody anything, and loads do.
const IDLE_FALL: f64 = 0.3;
/// Part of the allowed pause up to which a pass counts as short.
const SHORT_PART: f64 = 0.6;
/// Factor between two paces of a rank that is worth a line.
const PACE_CHANGE: f64 = 1.3;
/// Pause between events that is taken to be allowed until the catalog says it.
const USUAL_PAUSE: Duration = Duration::from_millis(150);

/// Follows the demand for experts, and decides.
#[derive(Debug)]
pub(crate) struct Decider {
    shape: Shape,
    experts: Experts,
    popularity: Popularity,
    gathered: Vec<f64>,
    since: Instant,
    paces: Vec<f64>,
    /// Time of the latest passes, over the pause that streams allow.
    pressure: f64,
    told_stay: Option<Instant>,
}

impl Decider {
    /// Nothing is known yet of a group of `ranks` ranks.
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

    /// Notes how many times as long as usual each rank's work takes.
    pub(crate) fn pace(&mut self, paces: Vec<f64>) {
        for (rank, (before, now)) in self.paces.iter().zip(&paces).enumerate() {
            if *now > before * PACE_CHANGE || *before > now * PACE_CHANGE {
                log::info!(target: DECISION, decision = "pace", rank, before, now; "a rank works at another pace");
            }
        }
        self.paces = paces;
    }

    /// Notes how long passes take, and how long they may.
    pub(crate) fn press(&mut self, pass: Duration, pause: Option<Duration>) {
        let pause = pause.unwrap_or(USUAL_PAUSE);
        self.pressure = pass.as_secs_f64() / pause.as_secs_f64().max(f64::MIN_POSITIVE);
    }

    /// Dimensions of the group.
    pub(crate) fn shape(&self) -> Shape {
        self.shape
    }

    /// Takes in the picks of one rank; picks of another shape come from another configuration and are left out.
    pub(crate) fn count(&mut self, picks: &[u32]) {
        if picks.len() != self.gathered.len() {
            return;
        }
        for (sum, new) in self.gathered.iter_mut().zip(picks) {
            *sum += f64::from(*new);
        }
    }

    /// Looks at what was gathered, if enough time has passed.
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

    /// Mean over the sets of the largest rank load over the mean, under `map`.
    pub(crate) fn skew(&self, map: &Map) -> f64 {
        skew_now(&self.popularity, map, self.shape, &self.paces)
    }

    /// Whether the demand is known.
    pub(crate) fn knows(&self) -> bool {
        self.popularity.samples() > 0
    }

    /// The next map, if one pays: as many loads on a rank as leave the least skew over the horizon, loading included.
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

    /// Most decisions are to stay; one line a second tells of them.
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

    /// Skew times milliseconds over the horizon, if `refined` is put in force.
    fn cost(&self, refined: &Refined) -> f64 {
        let wait = (f64::from(refined.deepest) * self.experts.load_ms() + CHANGE_MS).min(HORIZON_MS);
        wait * refined.before + (HORIZON_MS - wait) * refined.after
    }
}
