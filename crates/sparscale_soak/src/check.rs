//! Checks the promises of the system against what callers and targets observed.

mod backpressure;
mod crashes;
mod crowd;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::caller::{self, CALLER_TIMEOUT_MARGIN};
use crate::event_log::{AcknowledgedChange, Answer, CallerRequest, Change, EventLog, FaultPeriod, Outcome, Run};
use crate::fault::Fault;
use crate::layout::{CALLER_TIMEOUT, EVENTS_PER_STREAM, INITIAL_KEY_COUNT};
use crate::platform::{Bounds, RouteKind};
use crate::target;

/// Time without faults after which an entry and the store count as in contact (`contact_ms` in the requirements).
const CONTACT_WINDOW: Duration = Duration::from_secs(3);
/// Longest time that a request may spend on a slow link.
const MAX_TRANSIT_TIME: Duration = Duration::from_millis(400);
/// Time past its deadline by which a final response must have arrived; the margin allows for a busy machine.
const DEADLINE_MARGIN: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Violation {
    /// Name of the promise that was broken.
    pub(crate) promise: &'static str,
    /// What was observed.
    pub(crate) details: String,
}

/// Checks all promises.
pub(crate) fn all(event_log: &EventLog, bounds: &Bounds) -> Vec<Violation> {
    let runs = by_request(&event_log.runs);
    let no_runs = Vec::new();
    let mut violations = Vec::new();
    for caller_request in &event_log.caller_requests {
        let runs = runs.get(caller_request.request_id.as_str()).unwrap_or(&no_runs);
        let mut report = |promise, details: Option<String>| {
            let with_context = details.map(|details| {
                format!(
                    "request {} at entry {}: {details}",
                    caller_request.request_id, caller_request.entry
                )
            });
            violations.extend(with_context.map(|details| Violation { promise, details }));
        };
        report("once", ran_twice(caller_request, runs));
        report("not run", ran_after_rejection(caller_request, runs));
        report("answer", wrong_response(caller_request, runs));
        report(
            "denied",
            wrongly_denied(caller_request, &event_log.acknowledged_changes, bounds),
        );
        report(
            "final answer",
            no_final_response(caller_request, &event_log.fault_periods),
        );
        report(
            "stop",
            truncated_by_stop(caller_request, runs, &event_log.fault_periods),
        );
        report("leaving", sent_to_draining(caller_request, runs, event_log, bounds));
    }
    violations.extend(ran_after_revocation(event_log, bounds));
    violations.extend(exceeds_retry_budget(event_log, bounds));
    violations.extend(crashes::all(event_log));
    violations.extend(crowd::all(event_log));
    violations.extend(backpressure::all(event_log));
    let incidents = event_log.incidents.iter().map(|incident| Violation {
        promise: "process",
        details: format!("{}: {}", incident.process_name, incident.details),
    });
    violations.extend(incidents);
    violations
}

fn by_request(runs: &[Run]) -> BTreeMap<&str, Vec<&Run>> {
    let mut by_request: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
    for run in runs {
        by_request.entry(run.request_id.as_str()).or_default().push(run);
    }
    by_request
}

/// Reports a request of an at-most-once route that ran more than once.
fn ran_twice(caller_request: &CallerRequest, runs: &[&Run]) -> Option<String> {
    let is_at_most_once = matches!(caller_request.kind, RouteKind::Once | RouteKind::Stream);
    (is_at_most_once && runs.len() > 1).then(|| format!("{:?} ran {} times", caller_request.kind, runs.len()))
}

/// Reports a response that promises that the request was not run, although it ran before or after the response.
fn ran_after_rejection(caller_request: &CallerRequest, runs: &[&Run]) -> Option<String> {
    let Outcome::Answered(answer) = &caller_request.outcome else {
        return None;
    };
    let promises_not_run = matches!(answer.status, 408 | 421 | 429 | 503);
    let run = runs.first().filter(|_| promises_not_run)?;
    Some(format!("{} although {} ran it", answer.status, run.incarnation))
}

/// Reports a 200 response that names no target that ran the request, whose body differs from what was sent, or whose
/// events are out of order. A truncated body must be marked as such and be a prefix of the expected one.
fn wrong_response(caller_request: &CallerRequest, runs: &[&Run]) -> Option<String> {
    let Outcome::Answered(answer) = &caller_request.outcome else {
        return None;
    };
    if answer.status != 200 {
        return None;
    }
    let ran_on = |digest: &String| runs.iter().any(|run| run.incarnation == *digest);
    if !answer.digest.as_ref().is_some_and(ran_on) {
        return Some(format!("digest {:?} is of no target that ran it", answer.digest));
    }
    let expected = if caller::is_stream(caller_request.kind) {
        (1..=EVENTS_PER_STREAM).map(target::event_text).collect()
    } else {
        target::expected_body(
            &caller_request.request_id,
            &caller::request_body(&caller_request.request_id),
        )
    };
    is_wrong_body(answer, &expected).then(|| format!("whole {}, body {:?}", answer.whole, answer.body))
}

fn is_wrong_body(answer: &Answer, expected: &str) -> bool {
    if answer.whole {
        answer.body != expected
    } else {
        !expected.starts_with(&answer.body)
    }
}

/// Reports a 404 for a route, all of which exist throughout, and a 401 for a key that is active.
fn wrongly_denied(
    caller_request: &CallerRequest,
    acknowledged_changes: &[AcknowledgedChange],
    bounds: &Bounds,
) -> Option<String> {
    let Outcome::Answered(answer) = &caller_request.outcome else {
        return None;
    };
    let is_denied =
        answer.status == 404 || (answer.status == 401 && is_active(caller_request, acknowledged_changes, bounds));
    is_denied.then(|| format!("{} for {}", answer.status, caller_request.key))
}

/// Whether the key of a request was active throughout, for so long that every entry either knew the key or knew that
/// its configuration was out of date.
fn is_active(caller_request: &CallerRequest, acknowledged_changes: &[AcknowledgedChange], bounds: &Bounds) -> bool {
    let is_initial = (0..INITIAL_KEY_COUNT).any(|key| caller_request.key == format!("key-{key}"));
    let is_granted = acknowledged_changes.iter().any(|acknowledged| {
        acknowledged.change == Change::Granted(caller_request.key.clone())
            && caller_request.sent_at > acknowledged.effective_since + bounds.apply_timeout
    });
    let revoked = Change::Revoked(caller_request.key.clone());
    let is_revoked = acknowledged_changes
        .iter()
        .any(|acknowledged| acknowledged.change == revoked && acknowledged.acknowledged_at < caller_request.ended_at);
    (is_initial || is_granted) && !is_revoked
}

/// Reports a request without a final response by its deadline, unless its entry was stopped, killed or frozen
/// meanwhile.
fn no_final_response(caller_request: &CallerRequest, fault_periods: &[FaultPeriod]) -> Option<String> {
    let duration = caller_request
        .ended_at
        .saturating_duration_since(caller_request.sent_at);
    let timed_out = caller_request.outcome == Outcome::Nothing || duration > CALLER_TIMEOUT + DEADLINE_MARGIN;
    let is_excused = fault_periods.iter().any(|period| {
        // A stream in progress may outlast the time that a stopping entry waits for it.
        let affects_entry = affects(period.fault, caller_request.entry) || period.fault == Fault::Stall;
        affects_entry
            && overlaps(
                period,
                caller_request.sent_at,
                caller_request.ended_at,
                CALLER_TIMEOUT_MARGIN,
            )
    });
    (timed_out && !is_excused).then(|| format!("{:?} after {} ms", caller_request.outcome, duration.as_millis()))
}

/// Reports a response truncated by a stopping entry, which must finish forwarded requests; only if no other fault was
/// near.
fn truncated_by_stop(caller_request: &CallerRequest, runs: &[&Run], fault_periods: &[FaultPeriod]) -> Option<String> {
    let is_truncated = match &caller_request.outcome {
        Outcome::Closed | Outcome::Nothing => true,
        Outcome::Answered(answer) => !answer.whole,
        Outcome::Unreached => false,
    };
    if !is_truncated || runs.is_empty() {
        return None;
    }
    let mut nearby = fault_periods
        .iter()
        .filter(|period| overlaps(period, caller_request.sent_at, caller_request.ended_at, CONTACT_WINDOW));
    let is_stopped = nearby
        .clone()
        .any(|period| affects(period.fault, caller_request.entry) && is_stop(period.fault));
    let is_only_fault = nearby.all(|period| {
        let is_other_entry = entry_of(period.fault).is_some_and(|entry| entry != caller_request.entry);
        let is_routine = matches!(
            period.fault,
            Fault::HangUp { .. } | Fault::Revoke { .. } | Fault::KeyChanges { .. }
        );
        let is_harmless = is_routine || is_stop(period.fault);
        is_other_entry || is_harmless
    });
    (is_stopped && is_only_fault).then(|| format!("cut: {:?}", caller_request.outcome))
}

/// Reports a request that ran on a draining target although its entry was in contact and should have stopped sending.
fn sent_to_draining(
    caller_request: &CallerRequest,
    runs: &[&Run],
    event_log: &EventLog,
    bounds: &Bounds,
) -> Option<String> {
    let run = runs.iter().find(|run| {
        event_log.acknowledged_changes.iter().any(|acknowledged| {
            acknowledged.change == Change::Draining(run.incarnation.clone())
                && run.started_at > acknowledged.effective_since + bounds.drain_timeout + MAX_TRANSIT_TIME
        })
    })?;
    is_in_contact(
        &event_log.fault_periods,
        caller_request.entry,
        run.started_at,
        CONTACT_WINDOW + bounds.drain_timeout,
    )
    .then(|| format!("ran on {} which had left", run.incarnation))
}

/// Reports requests that ran with a revoked key after the bound for revocations; no fault excuses this.
fn ran_after_revocation(event_log: &EventLog, bounds: &Bounds) -> Vec<Violation> {
    let revoked = event_log
        .acknowledged_changes
        .iter()
        .filter_map(|acknowledged| match &acknowledged.change {
            Change::Revoked(key) => Some((key, acknowledged.effective_since)),
            Change::Draining(_) | Change::Granted(_) => None,
        });
    let violations = revoked.flat_map(|(key, at)| {
        let ran_late = move |run: &&Run| {
            run.workspace == *key && run.started_at > at + bounds.revocation_timeout + MAX_TRANSIT_TIME
        };
        event_log.runs.iter().filter(ran_late).map(move |run| Violation {
            promise: "revocation",
            details: format!(
                "request {} of {key} ran on {} after {} ms",
                run.request_id,
                run.incarnation,
                run.started_at.saturating_duration_since(at).as_millis()
            ),
        })
    });
    violations.collect()
}

/// Checks repeated arrivals against the retry budget that all entries share.
///
/// In any window they may reach a fraction of the requests that callers sent in it, in the window before it or in the
/// one half a window before it (the largest of the three), plus the slack.
fn exceeds_retry_budget(event_log: &EventLog, bounds: &Bounds) -> Option<Violation> {
    let mut seen = BTreeSet::new();
    let repeats = event_log
        .arrivals
        .iter()
        .filter(|arrival| !seen.insert(arrival.request_id.as_str()));
    let repeats: Vec<Instant> = repeats.map(|arrival| arrival.arrived_at).collect();
    let sent_at: Vec<Instant> = event_log
        .caller_requests
        .iter()
        .map(|caller_request| caller_request.sent_at)
        .collect();
    repeats.iter().find_map(|from| {
        let window = bounds.budget_window;
        let starts = [Duration::ZERO, window / 2, window].map(|offset| from.checked_sub(offset).unwrap_or(*from));
        let request_count = starts
            .map(|start| count_within(&sent_at, start, window))
            .into_iter()
            .max()
            .unwrap_or(0);
        let repeat_count = count_within(&repeats, *from, window);
        let allowed_count = request_count as f64 * bounds.budget_ratio + bounds.budget_slack;
        (repeat_count as f64 > allowed_count).then(|| Violation {
            promise: "budget",
            details: format!("{repeat_count} further arrivals beside {request_count} requests"),
        })
    })
}

/// Whether no fault affected the entry or the store during `window` before `at`.
fn is_in_contact(fault_periods: &[FaultPeriod], entry: usize, at: Instant, window: Duration) -> bool {
    !fault_periods.iter().any(|period| {
        let affects_store = matches!(
            period.fault,
            Fault::StoreRejecting
                | Fault::StoreUnreachable
                | Fault::RegistrationsExpire
                | Fault::Restore { .. }
                | Fault::StoreLink { .. }
                | Fault::RevokeDuringOutage { .. }
                | Fault::GrantDuringOutage { .. }
                | Fault::Stall
        );
        (affects_store || affects(period.fault, entry)) && overlaps(period, at, at, window)
    })
}

/// Number of `times` in the budget window that begins at `from`.
fn count_within(times: &[Instant], from: Instant, window: Duration) -> usize {
    let in_window = times.iter().filter(|at| **at >= from && **at < from + window);
    in_window.count()
}

/// The single entry that a fault kills, freezes or stops, if there is one.
fn entry_of(fault: Fault) -> Option<usize> {
    match fault {
        Fault::Kill { entry }
        | Fault::Freeze { entry }
        | Fault::Stop { entry }
        | Fault::KillSeries { entry, .. }
        | Fault::StopSeries { entry, .. } => Some(entry),
        _ => None,
    }
}

/// Whether a fault kills, freezes or stops this entry.
fn affects(fault: Fault, entry: usize) -> bool {
    let affects_all = matches!(fault, Fault::KillAll { .. } | Fault::StopAll { .. } | Fault::FreezeAll);
    affects_all || entry_of(fault) == Some(entry)
}

fn is_stop(fault: Fault) -> bool {
    matches!(
        fault,
        Fault::Stop { .. } | Fault::StopSeries { .. } | Fault::StopAll { .. }
    )
}

/// Whether a fault was active between `margin` before `from` and `to`.
fn overlaps(period: &FaultPeriod, from: Instant, to: Instant, margin: Duration) -> bool {
    period.started_at <= to && period.ended_at + margin >= from
}
