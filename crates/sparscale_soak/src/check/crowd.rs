//! Checks that an entry which gets nearly all callers serves them.

use std::time::{Duration, Instant};

use super::{CONTACT_WINDOW, Violation, overlaps};
use crate::event_log::{EventLog, FaultPeriod, Outcome};
use crate::fault::Fault;

/// Time before the fault whose requests are compared with.
const BASELINE_TIME: Duration = Duration::from_secs(4);
/// Smallest allowed share of requests served, relative to the time before.
const MIN_SERVED_SHARE: f64 = 0.75;
/// Fewest requests from which a share is computed.
const MIN_REQUESTS: usize = 20;

pub(super) fn all(event_log: &EventLog) -> Vec<Violation> {
    let periods = event_log.fault_periods.iter();
    periods.filter_map(|period| check_period(event_log, period)).collect()
}

fn check_period(event_log: &EventLog, period: &FaultPeriod) -> Option<Violation> {
    let Fault::BusyEntry { entry } = period.fault else {
        return None;
    };
    let from = period.started_at + CONTACT_WINDOW;
    let is_disturbed = event_log.fault_periods.iter().any(|other| {
        let is_routine = matches!(other.fault, Fault::HangUp { .. } | Fault::Revoke { .. });
        let is_same = other.fault == period.fault && other.started_at == period.started_at;
        !is_routine && !is_same && overlaps(other, period.started_at, period.ended_at, BASELINE_TIME)
    });
    if is_disturbed {
        return None;
    }
    let before = served_share(
        event_log,
        period.started_at.checked_sub(BASELINE_TIME)?,
        period.started_at,
    )?;
    let during = served_share(event_log, from, period.ended_at)?;
    (during < before * MIN_SERVED_SHARE).then(|| Violation {
        promise: "crowd",
        details: format!("entry {entry} served {during:.2} of its callers, {before:.2} were served before"),
    })
}

/// Share of the requests sent from `from` until `until` that were served; none if there are too few. Requests with keys
/// that are revoked or not granted yet are left out.
fn served_share(event_log: &EventLog, from: Instant, until: Instant) -> Option<f64> {
    let requests = event_log
        .caller_requests
        .iter()
        .filter(|request| request.sent_at >= from && request.sent_at < until)
        .filter(|request| !matches!(&request.outcome, Outcome::Answered(answer) if answer.status == 401));
    let total = requests.clone().count();
    let is_served = |outcome: &Outcome| matches!(outcome, Outcome::Answered(answer) if answer.status == 200);
    let served = requests.filter(|request| is_served(&request.outcome)).count();
    (total >= MIN_REQUESTS).then(|| served as f64 / total as f64)
}
