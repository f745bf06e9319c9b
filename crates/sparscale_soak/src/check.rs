//! Checks the promises of the system against what callers and targets observed.

mod pressure;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::caller::{self, PATIENCE};
use crate::fault::Fault;
use crate::ledger::{Acknowledged, Answer, Attempt, Change, Ledger, Outcome, Run, Trouble};
use crate::places::{DEADLINE, EVENTS, KEYS};
use crate::platform::{Bounds, RouteKind};
use crate::target;

/// Time without faults after which an entry and the store count as in contact (`contact_ms` in the requirements).
const CONTACT: Duration = Duration::from_secs(3);
/// Sends that may still follow for a request under which three targets have crashed.
const MOST_LATE: usize = 3;
/// Longest time that a request may spend on a slow link.
const ON_THE_WAY: Duration = Duration::from_millis(400);
/// Time past its deadline by which a final response must have arrived; the margin allows for a busy machine.
const LATE: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Violation {
    /// Name of the promise that was broken.
    pub(crate) promise: &'static str,
    /// What was observed.
    pub(crate) what: String,
}

/// Checks all promises.
pub(crate) fn all(ledger: &Ledger, bounds: &Bounds) -> Vec<Violation> {
    let runs = by_request(&ledger.runs);
    let none = Vec::new();
    let mut found = Vec::new();
    for attempt in &ledger.attempts {
        let runs = runs.get(attempt.request.as_str()).unwrap_or(&none);
        let mut judge = |promise, what: Option<String>| {
            let named = what.map(|what| format!("request {} at entry {}: {what}", attempt.request, attempt.entry));
            found.extend(named.map(|what| Violation { promise, what }));
        };
        judge("once", ran_twice(attempt, runs));
        judge("not run", ran_nevertheless(attempt, runs));
        judge("answer", wrong_answer(attempt, runs));
        judge("denied", denied(attempt, &ledger.acknowledged, bounds));
        judge("final answer", no_end(attempt, &ledger.troubles));
        judge("stop", cut_by_stop(attempt, runs, &ledger.troubles));
        judge("leaving", sent_to_leaving(attempt, runs, ledger, bounds));
    }
    found.extend(ran_after_revocation(ledger, bounds));
    found.extend(overspent(ledger, bounds));
    found.extend(deadly_sends(ledger));
    found.extend(pressure::all(ledger));
    let incidents = ledger.incidents.iter().map(|incident| Violation {
        promise: "process",
        what: format!("{}: {}", incident.process, incident.what),
    });
    found.extend(incidents);
    found
}

fn by_request(runs: &[Run]) -> BTreeMap<&str, Vec<&Run>> {
    let mut by_request: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
    for run in runs {
        by_request.entry(run.request.as_str()).or_default().push(run);
    }
    by_request
}

/// Reports a request of an at-most-once route that ran more than once.
fn ran_twice(attempt: &Attempt, runs: &[&Run]) -> Option<String> {
    let once = matches!(attempt.kind, RouteKind::Once | RouteKind::Stream);
    (once && runs.len() > 1).then(|| format!("{:?} ran {} times", attempt.kind, runs.len()))
}

/// Reports a response that promises that the request was not run although it ran, at any time.
fn ran_nevertheless(attempt: &Attempt, runs: &[&Run]) -> Option<String> {
    let Outcome::Answered(answer) = &attempt.outcome else {
        return None;
    };
    let promises = matches!(answer.status, 408 | 421 | 429 | 503);
    let run = runs.first().filter(|_| promises)?;
    Some(format!("{} although {} ran it", answer.status, run.target))
}

/// Reports a 200 response that names no target that ran the request, whose body differs from what was sent, or whose
/// events are out of order. A truncated body must be marked as such and be a prefix of the expected one.
fn wrong_answer(attempt: &Attempt, runs: &[&Run]) -> Option<String> {
    let Outcome::Answered(answer) = &attempt.outcome else {
        return None;
    };
    if answer.status != 200 {
        return None;
    }
    let ran = |digest: &String| runs.iter().any(|run| run.target == *digest);
    if !answer.digest.as_ref().is_some_and(ran) {
        return Some(format!("digest {:?} is of no target that ran it", answer.digest));
    }
    let expected = if caller::is_stream(attempt.kind) {
        (1..=EVENTS).map(target::event).collect()
    } else {
        target::expected(&attempt.request, &caller::body(&attempt.request))
    };
    is_wrong(answer, &expected).then(|| format!("whole {}, body {:?}", answer.whole, answer.body))
}

fn is_wrong(answer: &Answer, expected: &str) -> bool {
    if answer.whole {
        answer.body != expected
    } else {
        !expected.starts_with(&answer.body)
    }
}

/// Reports a 404 for a route, all of which exist throughout, and a 401 for a key that is active.
fn denied(attempt: &Attempt, acknowledged: &[Acknowledged], bounds: &Bounds) -> Option<String> {
    let Outcome::Answered(answer) = &attempt.outcome else {
        return None;
    };
    let denied = answer.status == 404 || (answer.status == 401 && is_in_force(attempt, acknowledged, bounds));
    denied.then(|| format!("{} for {}", answer.status, attempt.key))
}

/// Whether the key of a request was active throughout, for so long that every entry either knew the key or knew that
/// its configuration was out of date.
fn is_in_force(attempt: &Attempt, acknowledged: &[Acknowledged], bounds: &Bounds) -> bool {
    let at_start = (0..KEYS).any(|key| attempt.key == format!("key-{key}"));
    let granted = acknowledged.iter().any(|known| {
        known.what == Change::Granted(attempt.key.clone()) && attempt.began > known.stands + bounds.applied
    });
    let revoked = Change::Revoked(attempt.key.clone());
    let taken = acknowledged
        .iter()
        .any(|known| known.what == revoked && known.at < attempt.ended);
    (at_start || granted) && !taken
}

/// Reports a request without a final response by its deadline, unless its entry was stopped, killed or frozen
/// meanwhile.
fn no_end(attempt: &Attempt, troubles: &[Trouble]) -> Option<String> {
    let took = attempt.ended.saturating_duration_since(attempt.began);
    let nothing = attempt.outcome == Outcome::Nothing || took > DEADLINE + LATE;
    let harmed = troubles.iter().any(|trouble| {
        // A stream in progress may outlast the time that a stopping entry waits for it.
        let own = harms(trouble.fault, attempt.entry) || trouble.fault == Fault::Stall;
        own && overlaps(trouble, attempt.began, attempt.ended, PATIENCE)
    });
    (nothing && !harmed).then(|| format!("{:?} after {} ms", attempt.outcome, took.as_millis()))
}

/// Reports a response truncated by a stopping entry, which must finish forwarded requests; only if no other fault was
/// near.
fn cut_by_stop(attempt: &Attempt, runs: &[&Run], troubles: &[Trouble]) -> Option<String> {
    let cut = match &attempt.outcome {
        Outcome::Closed | Outcome::Nothing => true,
        Outcome::Answered(answer) => !answer.whole,
        Outcome::Unreached => false,
    };
    if !cut || runs.is_empty() {
        return None;
    }
    let mut near = troubles
        .iter()
        .filter(|trouble| overlaps(trouble, attempt.began, attempt.ended, CONTACT));
    let stopped = near
        .clone()
        .any(|trouble| harms(trouble.fault, attempt.entry) && is_stop(trouble.fault));
    let only = near.all(|trouble| {
        let elsewhere = entry_of(trouble.fault).is_some_and(|entry| entry != attempt.entry);
        let planned = matches!(
            trouble.fault,
            Fault::HangUp { .. } | Fault::Revoke { .. } | Fault::Changes { .. }
        );
        let calm = planned || is_stop(trouble.fault);
        elsewhere || calm
    });
    (stopped && only).then(|| format!("cut: {:?}", attempt.outcome))
}

/// Reports a request that ran on a draining target although its entry was in contact and should have stopped sending.
fn sent_to_leaving(attempt: &Attempt, runs: &[&Run], ledger: &Ledger, bounds: &Bounds) -> Option<String> {
    let run = runs.iter().find(|run| {
        ledger.acknowledged.iter().any(|acknowledged| {
            acknowledged.what == Change::Leaving(run.target.clone())
                && run.at > acknowledged.stands + bounds.left + ON_THE_WAY
        })
    })?;
    in_touch(&ledger.troubles, attempt.entry, run.at, CONTACT + bounds.left)
        .then(|| format!("ran on {} which had left", run.target))
}

/// Reports requests that ran with a revoked key after the bound for revocations; no fault excuses this.
fn ran_after_revocation(ledger: &Ledger, bounds: &Bounds) -> Vec<Violation> {
    let revoked = ledger.acknowledged.iter().filter_map(|known| match &known.what {
        Change::Revoked(key) => Some((key, known.stands)),
        Change::Leaving(_) | Change::Granted(_) => None,
    });
    let broken = revoked.flat_map(|(key, at)| {
        let late = move |run: &&Run| run.workspace == *key && run.at > at + bounds.revoked + ON_THE_WAY;
        ledger.runs.iter().filter(late).map(move |run| Violation {
            promise: "revocation",
            what: format!(
                "request {} of {key} ran on {} after {} ms",
                run.request,
                run.target,
                run.at.saturating_duration_since(at).as_millis()
            ),
        })
    });
    broken.collect()
}

/// Checks repeated arrivals against the retry budget that all entries share.
///
/// In any window they may reach a fraction of the requests that callers sent in it, in the window before it or in the
/// one half a window before it (the largest of the three), plus the slack.
fn overspent(ledger: &Ledger, bounds: &Bounds) -> Option<Violation> {
    let mut known = BTreeSet::new();
    let further = ledger
        .arrivals
        .iter()
        .filter(|arrival| !known.insert(arrival.request.as_str()));
    let further: Vec<Instant> = further.map(|arrival| arrival.at).collect();
    let sent: Vec<Instant> = ledger.attempts.iter().map(|attempt| attempt.began).collect();
    further.iter().find_map(|from| {
        let window = bounds.budget_window;
        let starts = [Duration::ZERO, window / 2, window].map(|back| from.checked_sub(back).unwrap_or(*from));
        let requests = starts
            .map(|start| within(&sent, start, window))
            .into_iter()
            .max()
            .unwrap_or(0);
        let beyond = within(&further, *from, window);
        let allowed = requests as f64 * bounds.budget_ratio + bounds.budget_slack;
        (beyond as f64 > allowed).then(|| Violation {
            promise: "budget",
            what: format!("{beyond} further arrivals beside {requests} requests"),
        })
    })
}

/// Reports a request that crashed three targets and then reached targets more than three more times, counting only
/// entries that were in contact for long enough to know of the crashes.
fn deadly_sends(ledger: &Ledger) -> Vec<Violation> {
    let paths: BTreeSet<&str> = ledger.ends.iter().map(|end| end.path.as_str()).collect();
    let entries: BTreeMap<&str, usize> = ledger
        .attempts
        .iter()
        .map(|attempt| (attempt.request.as_str(), attempt.entry))
        .collect();
    let judge = |path: &str| {
        let ends = ledger.ends.iter().filter(|end| end.path == path);
        let third = ends.clone().nth(2)?.at + CONTACT;
        let late = ledger.arrivals.iter().filter(|arrival| {
            let of_path = arrival.deadly.as_deref() == Some(path) && arrival.at > third;
            let entry = entries.get(arrival.request.as_str());
            of_path && entry.is_some_and(|entry| in_touch(&ledger.troubles, *entry, arrival.at, CONTACT))
        });
        let late = late.count();
        (late > MOST_LATE).then(|| Violation {
            promise: "deadly",
            what: format!("{path}: {} ended, {late} sends after three had", ends.count()),
        })
    };
    paths.into_iter().filter_map(judge).collect()
}

/// Whether no fault affected the entry or the store during `window` before `at`.
fn in_touch(troubles: &[Trouble], entry: usize, at: Instant, lately: Duration) -> bool {
    !troubles.iter().any(|trouble| {
        let store = matches!(
            trouble.fault,
            Fault::StoreBusy
                | Fault::StoreSilent
                | Fault::StoreLapse
                | Fault::Restore { .. }
                | Fault::StoreLink { .. }
                | Fault::RevokeUnseen { .. }
                | Fault::GrantUnseen { .. }
                | Fault::Stall
        );
        (store || harms(trouble.fault, entry)) && overlaps(trouble, at, at, lately)
    })
}

/// Number of `times` in the budget window that begins at `from`.
fn within(times: &[Instant], from: Instant, window: Duration) -> usize {
    let inside = times.iter().filter(|at| **at >= from && **at < from + window);
    inside.count()
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
fn harms(fault: Fault, entry: usize) -> bool {
    let all = matches!(fault, Fault::KillAll { .. } | Fault::StopAll { .. } | Fault::FreezeAll);
    all || entry_of(fault) == Some(entry)
}

fn is_stop(fault: Fault) -> bool {
    matches!(
        fault,
        Fault::Stop { .. } | Fault::StopSeries { .. } | Fault::StopAll { .. }
    )
}

/// Whether a fault was active between `margin` before `from` and `to`.
fn overlaps(trouble: &Trouble, from: Instant, to: Instant, margin: Duration) -> bool {
    trouble.from <= to && trouble.to + margin >= from
}
