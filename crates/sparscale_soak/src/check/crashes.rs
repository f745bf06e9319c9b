//! Checks how often requests that crash targets are sent, and that requests which share other parts of their prompt are
//! served.

use std::collections::{BTreeMap, BTreeSet};

use super::{CONTACT_WINDOW, Violation, is_in_contact};
use crate::event_log::{CallerRequest, CrashCause, EventLog, Outcome};
use crate::fault::Fault;
use crate::layout::CRASHING_PART_PREFIX;

/// Sends that may still follow once enough targets have crashed.
const MAX_LATE_SENDS: usize = 3;
/// Fewest requests from which the share of those held back is computed.
const MIN_SOUND_REQUESTS: usize = 10;
/// Largest share of the sound requests that may be held back.
const MAX_HELD_SHARE: f64 = 0.5;
/// Reason that an entry names for a request that it holds back.
const HELD_REASON: &str = "quarantined";

pub(super) fn all(event_log: &EventLog) -> Vec<Violation> {
    let causes: BTreeSet<&CrashCause> = event_log.crashes.iter().map(|crash| &crash.cause).collect();
    let excess = causes.into_iter().filter_map(|cause| excess_sends(event_log, cause));
    excess.chain(held_sound_requests(event_log)).collect()
}

/// Crashes after which an entry must know their cause.
fn allowed_crashes(cause: &CrashCause) -> usize {
    match cause {
        CrashCause::Request(_) => 3,
        CrashCause::Part(_) => 5,
    }
}

/// Reports a cause of crashes that reached targets more often than allowed, counting only entries that were in contact
/// for long enough to know of the crashes.
fn excess_sends(event_log: &EventLog, cause: &CrashCause) -> Option<Violation> {
    let entries: BTreeMap<&str, usize> = event_log
        .caller_requests
        .iter()
        .map(|caller_request| (caller_request.request_id.as_str(), caller_request.entry))
        .collect();
    let crashes = event_log.crashes.iter().filter(|crash| crash.cause == *cause);
    let allowed = allowed_crashes(cause);
    let known_at = crashes.clone().nth(allowed - 1)?.crashed_at + CONTACT_WINDOW;
    let late_sends = event_log.arrivals.iter().filter(|arrival| {
        let is_late = arrival.crash_cause.as_ref() == Some(cause) && arrival.arrived_at > known_at;
        let entry = entries.get(arrival.request_id.as_str());
        is_late
            && entry.is_some_and(|entry| {
                is_in_contact(&event_log.fault_periods, *entry, arrival.arrived_at, CONTACT_WINDOW)
            })
    });
    let late_send_count = late_sends.count();
    (late_send_count > MAX_LATE_SENDS).then(|| Violation {
        promise: "deadly",
        details: format!(
            "{cause:?}: {} ended, {late_send_count} sends after {allowed} had",
            crashes.count()
        ),
    })
}

/// Reports requests that were held back although they share only harmless parts with those that crash targets.
fn held_sound_requests(event_log: &EventLog) -> Vec<Violation> {
    let check_part = |period: &crate::event_log::FaultPeriod| {
        let Fault::CrashingPart { part } = period.fault else {
            return None;
        };
        let cause = CrashCause::Part(format!("{CRASHING_PART_PREFIX}{part:04x}"));
        let crashes = event_log.crashes.iter().filter(|crash| crash.cause == cause);
        let last = crashes.take(allowed_crashes(&cause)).last()?;
        let known_at = last.crashed_at + CONTACT_WINDOW * 2;
        let is_sound = |caller_request: &&CallerRequest| {
            let is_meanwhile = caller_request.sent_at > known_at && caller_request.ended_at < period.ended_at;
            let contact = CONTACT_WINDOW * 2;
            !caller_request.is_crashing
                && is_meanwhile
                && caller_request.key == "key-0"
                && is_in_contact(
                    &event_log.fault_periods,
                    caller_request.entry,
                    caller_request.sent_at,
                    contact,
                )
        };
        let sound = event_log.caller_requests.iter().filter(is_sound);
        let (total, held) = sound.fold((0, 0), |(total, held), caller_request| {
            (total + 1, held + usize::from(is_held(caller_request)))
        });
        let is_excess = total >= MIN_SOUND_REQUESTS && held as f64 > total as f64 * MAX_HELD_SHARE;
        is_excess.then(|| Violation {
            promise: "sound",
            details: format!("{cause:?}: {held} of {total} requests with the same first part were held back"),
        })
    };
    event_log.fault_periods.iter().filter_map(check_part).collect()
}

fn is_held(caller_request: &CallerRequest) -> bool {
    matches!(&caller_request.outcome, Outcome::Answered(answer) if answer.body.contains(HELD_REASON))
}
