//! Checks that entries respect the backpressure that targets signal: backoff, rate limits and draining.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::{CONTACT_WINDOW, MAX_TRANSIT_TIME, Violation, affects, overlaps};
use crate::behavior::Behavior;
use crate::event_log::{Arrival, CallerRequest, EventLog, FaultPeriod, TargetStart};
use crate::fault::Fault;
use crate::layout::{BACKOFF, RATE_LIMIT_PER_SEC};

/// Time after a response of a target during which requests that are already in flight may still arrive.
const IN_FLIGHT_MARGIN: Duration = Duration::from_millis(500);
/// Requests that may reach a target during its backoff.
const MAX_SENDS_DURING_BACKOFF: usize = 2;
/// Window over which the requests to a rate-limited target are counted.
const RATE_WINDOW: Duration = Duration::from_secs(4);
/// Multiple of its rate limit that a target accepts in a window, and a number of requests on top.
const RATE_FACTOR: f64 = 1.5;
const RATE_BURST: f64 = 5.0;
/// Time after a target announces that it is draining during which it may still get requests.
const DRAIN_MARGIN: Duration = Duration::from_secs(2);

/// An arrival and the caller's request that it belongs to.
#[derive(Clone, Copy)]
struct Sent<'a> {
    arrival: &'a Arrival,
    caller_request: &'a CallerRequest,
}

pub(super) fn all(event_log: &EventLog) -> Vec<Violation> {
    let caller_requests: BTreeMap<&str, &CallerRequest> = event_log
        .caller_requests
        .iter()
        .map(|caller_request| (caller_request.request_id.as_str(), caller_request))
        .collect();
    let mut by_start: BTreeMap<&TargetStart, Vec<Sent<'_>>> = BTreeMap::new();
    for arrival in &event_log.arrivals {
        if let Some(caller_request) = caller_requests.get(arrival.request_id.as_str()) {
            by_start.entry(&arrival.target_start).or_default().push(Sent {
                arrival,
                caller_request,
            });
        }
    }
    let mut violations = Vec::new();
    for (start, sent) in by_start {
        let with_context = |details: String| format!("{}: {details}", start.incarnation);
        let mut report = |promise, details: Option<String>| {
            violations.extend(details.map(with_context).map(|details| Violation { promise, details }));
        };
        let is_relevant =
            |period: &&FaultPeriod| !matches!(period.fault, Fault::TargetLink { target, .. } if target != start.target);
        let fault_periods: Vec<&FaultPeriod> = event_log.fault_periods.iter().filter(is_relevant).collect();
        report("rest", sent_during_backoff(&sent, &fault_periods));
        report("rate", sent_beyond_rate(&sent, &fault_periods));
        report("word of leaving", sent_after_draining(&sent, &fault_periods));
    }
    violations
}

/// Reports an entry that sends more than a few requests to a target that asked it to back off.
fn sent_during_backoff(sent: &[Sent<'_>], fault_periods: &[&FaultPeriod]) -> Option<String> {
    let backing_off = sent
        .iter()
        .filter(|sent| sent.arrival.behavior == Behavior::RequestingBackoff);
    backing_off.clone().find_map(|announcement| {
        let entry = announcement.caller_request.entry;
        let from = announcement.arrival.arrived_at + IN_FLIGHT_MARGIN;
        let backoff = from..announcement.arrival.arrived_at + BACKOFF;
        let late = sent
            .iter()
            .filter(|sent| sent.caller_request.entry == entry && backoff.contains(&sent.arrival.arrived_at));
        let late_count = late.count();
        let is_excused = is_affected(fault_periods, entry, announcement.arrival.arrived_at, backoff.end);
        (late_count > MAX_SENDS_DURING_BACKOFF && !is_excused)
            .then(|| format!("{late_count} requests from entry {entry} while it rested"))
    })
}

/// Reports entries that together exceed the rate limit that a target announced to them.
fn sent_beyond_rate(sent: &[Sent<'_>], fault_periods: &[&FaultPeriod]) -> Option<String> {
    let limited: Vec<&Sent<'_>> = sent
        .iter()
        .filter(|sent| sent.arrival.behavior == Behavior::RateLimited)
        .collect();
    let first = limited.first()?.arrival.arrived_at;
    let entries: BTreeSet<usize> = limited.iter().map(|sent| sent.caller_request.entry).collect();
    let informed_at: BTreeMap<usize, Instant> = entries
        .into_iter()
        .filter_map(|entry| {
            let first_of_entry = limited.iter().find(|sent| sent.caller_request.entry == entry)?;
            // A response may take as long on a slow link as a request.
            Some((
                entry,
                first_of_entry.arrival.arrived_at + IN_FLIGHT_MARGIN + MAX_TRANSIT_TIME,
            ))
        })
        .collect();
    let counted = limited.iter().filter(|sent| {
        let entry = sent.caller_request.entry;
        let from = informed_at.get(&entry).copied().unwrap_or(first);
        sent.arrival.arrived_at >= from && !is_affected(fault_periods, entry, from, sent.arrival.arrived_at)
    });
    let arrival_times: Vec<Instant> = counted.map(|sent| sent.arrival.arrived_at).collect();
    arrival_times
        .iter()
        .filter(|from| **from >= first + CONTACT_WINDOW)
        .find_map(|from| {
            let window = *from..*from + RATE_WINDOW;
            let request_count = arrival_times.iter().filter(|at| window.contains(*at)).count();
            let allowed_count = RATE_LIMIT_PER_SEC * RATE_WINDOW.as_secs_f64() * RATE_FACTOR + RATE_BURST;
            (request_count as f64 > allowed_count)
                .then(|| format!("{request_count} requests within {} s", RATE_WINDOW.as_secs()))
        })
}

/// Reports a request sent to a target after the target announced to that entry that it is draining; requests that
/// callers sent earlier are allowed.
fn sent_after_draining(sent: &[Sent<'_>], fault_periods: &[&FaultPeriod]) -> Option<String> {
    let announcements = sent.iter().filter(|sent| sent.arrival.behavior == Behavior::Draining);
    announcements.clone().find_map(|announcement| {
        let entry = announcement.caller_request.entry;
        let deadline = announcement.arrival.arrived_at + DRAIN_MARGIN + MAX_TRANSIT_TIME;
        let late = sent.iter().find(|sent| {
            sent.caller_request.entry == entry
                && sent.caller_request.sent_at > deadline
                && !is_affected(
                    fault_periods,
                    entry,
                    announcement.arrival.arrived_at,
                    sent.arrival.arrived_at,
                )
        })?;
        Some(format!(
            "request {} from entry {entry} after its word",
            late.caller_request.request_id
        ))
    })
}

/// Whether a fault affected an entry, or its link to the target, in that time.
fn is_affected(fault_periods: &[&FaultPeriod], entry: usize, from: Instant, to: Instant) -> bool {
    let is_harmful = |fault: Fault| affects(fault, entry) || matches!(fault, Fault::Stall | Fault::TargetLink { .. });
    fault_periods
        .iter()
        .any(|period| is_harmful(period.fault) && overlaps(period, from, to, MAX_TRANSIT_TIME))
}
