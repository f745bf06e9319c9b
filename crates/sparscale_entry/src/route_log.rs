//! Logs the choice of a target.

use serde::Serialize;
use sparscale_board::Board;
use sparscale_route::Decision;
use sparscale_telemetry::DECISION;

use crate::job::{Job, SentAttempt};

/// A candidate in a decision line; costs in milliseconds.
#[derive(Serialize)]
struct Candidate<'a> {
    name: &'a str,
    cost: f64,
    wait: f64,
    prefill: f64,
    steps: f64,
    others: f64,
    distance: f64,
}

/// The scored candidates as one JSON text, because log values must be flat.
pub(crate) fn candidate_lines(board: &Board, decision: &Decision) -> String {
    let candidates = decision.scored_targets.iter().filter_map(|scored| {
        Some(Candidate {
            name: &board.target(scored.key)?.name,
            cost: scored.cost_ms,
            wait: scored.wait_ms,
            prefill: scored.prefill_ms,
            steps: scored.decode_ms,
            others: scored.group_delay_ms,
            distance: scored.round_trip_ms,
        })
    });
    serde_json::to_string(&candidates.collect::<Vec<_>>()).unwrap_or_default()
}

pub(crate) fn log_route(job: &Job, sent: &SentAttempt, decision: &Decision, candidates: &str, version: u64, map: u64) {
    log::info!(
        target: DECISION,
        decision = "route",
        attempt = sent.attempt.to_string().as_str(),
        workspace = job.workspace.name.as_str(),
        tier = job.tier,
        agent = sent.target_name.as_str(),
        reason:? = decision.reason,
        candidates,
        bundle = version,
        map;
        "routed"
    );
}
