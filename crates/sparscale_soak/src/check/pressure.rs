//! Checks that entries respect the backpressure that targets signal: backoff, rate limits and draining.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::{CONTACT, ON_THE_WAY, Violation, harms, overlaps};
use crate::fault::Fault;
use crate::ledger::{Arrival, Attempt, Ledger, Start, Trouble};
use crate::mood::Mood;
use crate::places::{RATE, REST};

/// Time after a response of a target during which requests that are already in flight may still arrive.
const UNDER_WAY: Duration = Duration::from_millis(500);
/// Requests that may reach a target during its backoff.
const MOST_RESTING: usize = 2;
/// Window over which the requests to a rate-limited target are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Multiple of its rate limit that a target accepts in a window, and a number of requests on top.
const FACTOR: f64 = 1.5;
const BURST: f64 = 5.0;
/// Time after a target announces that it is draining during which it may still get requests.
const DRAIN: Duration = Duration::from_secs(2);

/// An arrival and the caller's request that it belongs to.
#[derive(Clone, Copy)]
struct Sent<'a> {
    arrival: &'a Arrival,
    attempt: &'a Attempt,
}

pub(super) fn all(ledger: &Ledger) -> Vec<Violation> {
    let attempts: BTreeMap<&str, &Attempt> = ledger
        .attempts
        .iter()
        .map(|attempt| (attempt.request.as_str(), attempt))
        .collect();
    let mut by_start: BTreeMap<&Start, Vec<Sent<'_>>> = BTreeMap::new();
    for arrival in &ledger.arrivals {
        if let Some(attempt) = attempts.get(arrival.request.as_str()) {
            by_start
                .entry(&arrival.start)
                .or_default()
                .push(Sent { arrival, attempt });
        }
    }
    let mut found = Vec::new();
    for (start, sent) in by_start {
        let named = |what: String| format!("{}: {what}", start.incarnation);
        let mut judge = |promise, what: Option<String>| {
            found.extend(what.map(named).map(|what| Violation { promise, what }));
        };
        let own =
            |trouble: &&Trouble| !matches!(trouble.fault, Fault::TargetLink { target, .. } if target != start.target);
        let troubles: Vec<&Trouble> = ledger.troubles.iter().filter(own).collect();
        judge("rest", sent_while_resting(&sent, &troubles));
        judge("rate", sent_beyond_rate(&sent, &troubles));
        judge("word of leaving", sent_after_word(&sent, &troubles));
    }
    found
}

/// Reports an entry that sends more than a few requests to a target that asked it to back off.
fn sent_while_resting(sent: &[Sent<'_>], troubles: &[&Trouble]) -> Option<String> {
    let asked = sent.iter().filter(|sent| sent.arrival.mood == Mood::Tired);
    asked.clone().find_map(|word| {
        let entry = word.attempt.entry;
        let from = word.arrival.at + UNDER_WAY;
        let rest = from..word.arrival.at + REST;
        let late = sent
            .iter()
            .filter(|sent| sent.attempt.entry == entry && rest.contains(&sent.arrival.at));
        let late = late.count();
        let excused = is_harmed(troubles, entry, word.arrival.at, rest.end);
        (late > MOST_RESTING && !excused).then(|| format!("{late} requests from entry {entry} while it rested"))
    })
}

/// Reports entries that together exceed the rate limit that a target announced to them.
fn sent_beyond_rate(sent: &[Sent<'_>], troubles: &[&Trouble]) -> Option<String> {
    let limited: Vec<&Sent<'_>> = sent.iter().filter(|sent| sent.arrival.mood == Mood::Limited).collect();
    let first = limited.first()?.arrival.at;
    let entries: BTreeSet<usize> = limited.iter().map(|sent| sent.attempt.entry).collect();
    let told: BTreeMap<usize, Instant> = entries
        .into_iter()
        .filter_map(|entry| {
            let own = limited.iter().find(|sent| sent.attempt.entry == entry)?;
            // A response may take as long on a slow link as a request.
            Some((entry, own.arrival.at + UNDER_WAY + ON_THE_WAY))
        })
        .collect();
    let counted = limited.iter().filter(|sent| {
        let entry = sent.attempt.entry;
        let from = told.get(&entry).copied().unwrap_or(first);
        sent.arrival.at >= from && !is_harmed(troubles, entry, from, sent.arrival.at)
    });
    let times: Vec<Instant> = counted.map(|sent| sent.arrival.at).collect();
    times.iter().filter(|from| **from >= first + CONTACT).find_map(|from| {
        let window = *from..*from + WINDOW;
        let most = times.iter().filter(|at| window.contains(*at)).count();
        let allowed = RATE * WINDOW.as_secs_f64() * FACTOR + BURST;
        (most as f64 > allowed).then(|| format!("{most} requests within {} s", WINDOW.as_secs()))
    })
}

/// Reports a request sent to a target after the target told that entry that it is draining; requests that callers sent
/// earlier are allowed.
fn sent_after_word(sent: &[Sent<'_>], troubles: &[&Trouble]) -> Option<String> {
    let words = sent.iter().filter(|sent| sent.arrival.mood == Mood::Leaving);
    words.clone().find_map(|word| {
        let entry = word.attempt.entry;
        let until = word.arrival.at + DRAIN + ON_THE_WAY;
        let late = sent.iter().find(|sent| {
            sent.attempt.entry == entry
                && sent.attempt.began > until
                && !is_harmed(troubles, entry, word.arrival.at, sent.arrival.at)
        })?;
        Some(format!(
            "request {} from entry {entry} after its word",
            late.attempt.request
        ))
    })
}

/// Whether a fault affected an entry, or its link to the target, in that time.
fn is_harmed(troubles: &[&Trouble], entry: usize, from: Instant, to: Instant) -> bool {
    let harming = |fault: Fault| harms(fault, entry) || matches!(fault, Fault::Stall | Fault::TargetLink { .. });
    troubles
        .iter()
        .any(|trouble| harming(trouble.fault) && overlaps(trouble, from, to, ON_THE_WAY))
}
