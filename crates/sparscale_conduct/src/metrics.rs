//! Metrics of an agent.

use std::sync::Arc;

use sparscale_place::barrier::{Act, Answer};
use sparscale_telemetry::{Counter, Gauge, Histogram, Registry};

/// Metrics about leading a group and ordering a rank.
#[derive(Debug, Clone)]
pub(crate) struct Metrics {
    registry: Arc<Registry>,
    pub(crate) leading: Arc<Gauge>,
    pub(crate) skew: Arc<Gauge>,
    pub(crate) observed_skew: Arc<Gauge>,
    pub(crate) pass_seconds: Arc<Gauge>,
    pub(crate) switch_seconds: Arc<Histogram>,
    pub(crate) hold_seconds: Arc<Histogram>,
    pub(crate) expert_loads: Arc<Counter>,
}

impl Metrics {
    pub(crate) fn new(registry: &Arc<Registry>) -> Self {
        let gauge = |name, help| registry.gauge(name, help, &[]);
        Self {
            leading: gauge("sparscale_leading", "1 while this agent leads its group."),
            skew: gauge(
                "sparscale_skew",
                "Mean over the sets of the largest rank load over the mean.",
            ),
            observed_skew: gauge(
                "sparscale_observed_skew",
                "Skew of the selections counted last under the active map.",
            ),
            pass_seconds: gauge("sparscale_pass_seconds", "Time of the latest passes of the group."),
            switch_seconds: registry.histogram(
                "sparscale_switch_seconds",
                "Time from a decision to the new map in force.",
                &[],
            ),
            hold_seconds: registry.histogram(
                "sparscale_hold_seconds",
                "Time from the hold of a switch to its end.",
                &[],
            ),
            expert_loads: registry.counter(
                "sparscale_expert_loads_total",
                "Experts that maps in force loaded.",
                &[],
            ),
            registry: Arc::clone(registry),
        }
    }

    /// Counts an order to the own rank by its answer.
    pub(crate) fn record_order(&self, act: &Act, answer: Answer) {
        let act = match act {
            Act::Look => "look",
            Act::Stage { .. } => "stage",
            Act::Hold { .. } => "hold",
            Act::Arm(_) => "arm",
            Act::Disarm { .. } => "disarm",
            Act::Release { .. } => "release",
        };
        let answer = match answer {
            Answer::Done => "done",
            Answer::Refused => "refused",
            Answer::Fenced => "fenced",
            Answer::Silent => "silent",
        };
        let help = "Orders to the rank of this agent, by response.";
        let labels = [("act", act), ("answer", answer)];
        self.registry
            .counter("sparscale_orders_total", help, &labels)
            .increment();
    }

    /// Counts a finished map switch by its result.
    pub(crate) fn record_switch_result(&self, in_force: bool) {
        let result = if in_force { "in_force" } else { "dropped" };
        let help = "Map switches, by result.";
        let labels = [("result", result)];
        self.registry
            .counter("sparscale_switches_total", help, &labels)
            .increment();
    }

    /// Counts a claim of the leadership by its result.
    pub(crate) fn record_claim(&self, result: &str) {
        let help = "Claims to lead the group, by result.";
        let labels = [("result", result)];
        self.registry
            .counter("sparscale_claims_total", help, &labels)
            .increment();
    }
}
