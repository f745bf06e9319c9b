//! The strikes that one process knows, and the requests that it holds back because of them.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::fingerprint::Fingerprint;
use crate::strike::{EndedStart, Strike, StrikeStatus};

/// Terminations under one request after which it is held back. A single one proves nothing, because a target may run a
/// whole batch of requests when it terminates. When the batch is retried elsewhere, hardly any request but the cause
/// meets a second termination. A group of ranks serves no requests for seconds after each, so the hold does not wait
/// for a third.
const SUSPECT_ENDS: usize = 2;
/// Terminations after which the request is certainly the cause.
const CONFIRMED_ENDS: usize = 3;
/// Hold of a request with [`SUSPECT_ENDS`] terminations; short, so that a request that was there by chance can run soon
/// after.
const SUSPECT_HOLD: Duration = Duration::from_mins(1);
/// Hold of a request with [`CONFIRMED_ENDS`] terminations: by its end the caller or the targets have been fixed, or the
/// request crashes one more target.
const CONFIRMED_HOLD: Duration = Duration::from_hours(24);
/// Hold of a request with more than [`CONFIRMED_ENDS`] terminations.
const REPEATED_HOLD: Duration = Duration::from_hours(30 * 24);
/// Complete responses since the last termination after which a request is not considered the cause. A request that many
/// callers send is running on most targets whenever one terminates; a request that crashes only some of its targets
/// rarely gets so many in a row.
const RESPONSES_TO_CLEAR: u32 = 8;
/// Time for which strikes of a request below [`SUSPECT_ENDS`] terminations are kept.
const UNHELD_RETENTION: Duration = Duration::from_hours(1);
/// Time after a loss of strikes in which one termination is enough to hold a request: the request that caused the lost
/// ones may arrive again anywhere, also where the next strike is not known yet.
const HISTORY_LOSS_CAUTION: Duration = Duration::from_mins(10);
/// Most requests that are tracked, at about 200 bytes each.
const MAX_REQUESTS: usize = 4_096;
/// Most strikes that are kept for one request.
const MAX_ENDS_PER_REQUEST: usize = 16;

/// Where a strike came from, which decides whether this process has to write it to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StrikeSource {
    /// Observed by this process, which has to write it to the store.
    Local,
    /// Received from a peer; the process that observed it writes it to the store.
    Peer,
    /// Read from the store, or written to it.
    Store,
}

/// An active hold: the request is not sent to targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hold {
    /// Number of targets that terminated under the request.
    pub end_count: usize,
    /// Remaining time of the hold.
    pub remaining: Duration,
}

/// What is known of one termination under one request.
#[derive(Debug, Clone, Copy)]
struct Record {
    at_ms: u64,
    status: StrikeStatus,
    /// Version of the tracker with which this entry last changed.
    version: u64,
    /// When this entry last changed, in milliseconds since 1970.
    changed_at_ms: u64,
    source: StrikeSource,
}

/// The terminations and responses of one request.
#[derive(Debug, Default)]
struct History {
    ends: BTreeMap<EndedStart, Record>,
    /// Complete responses since this process learned of the latest termination.
    responses_since_end: u32,
}

impl History {
    fn counted_ends(&self) -> usize {
        let is_counted = |record: &&Record| record.status == StrikeStatus::Counted;
        self.ends.values().filter(is_counted).count()
    }

    fn last_end_ms(&self) -> u64 {
        self.ends.values().map(|record| record.at_ms).max().unwrap_or(0)
    }

    /// `suspect_ends` is the number of terminations after which a request is held.
    fn hold_deadline_ms(&self, suspect_ends: usize) -> u64 {
        let hold = match self.counted_ends() {
            ends if ends < suspect_ends => return 0,
            ..=SUSPECT_ENDS => SUSPECT_HOLD,
            CONFIRMED_ENDS => CONFIRMED_HOLD,
            _ => REPEATED_HOLD,
        };
        self.last_end_ms().saturating_add(millis(hold))
    }

    /// A request is kept for longer than its hold, so that the next termination adds to the earlier ones.
    fn retention_deadline_ms(&self) -> u64 {
        let retention = match self.counted_ends() {
            0..SUSPECT_ENDS => UNHELD_RETENTION,
            SUSPECT_ENDS => CONFIRMED_HOLD,
            _ => REPEATED_HOLD + UNHELD_RETENTION,
        };
        self.last_end_ms().saturating_add(millis(retention))
    }
}

/// All requests that were running on targets which terminated.
#[derive(Debug, Default)]
pub struct Tracker {
    requests: HashMap<Fingerprint, History>,
    version: u64,
}

impl Tracker {
    /// Merges a strike at `now_ms`; returns whether it changed anything.
    pub fn merge(&mut self, strike: Strike, source: StrikeSource, now_ms: u64) -> bool {
        self.evict_if_full(strike.request);
        let history = self.requests.entry(strike.request).or_default();
        if let Some(record) = history.ends.get_mut(&strike.ended_start) {
            if source == StrikeSource::Store && strike.status == record.status {
                record.source = StrikeSource::Store;
            }
            if strike.status <= record.status {
                return false;
            }
            record.status = strike.status;
            record.source = source;
            self.version += 1;
            record.version = self.version;
            record.changed_at_ms = now_ms;
            return true;
        }
        if history.ends.len() >= MAX_ENDS_PER_REQUEST {
            return false;
        }
        self.version += 1;
        let record = Record {
            // A process whose clock is ahead must not extend the hold.
            at_ms: strike.at_ms.min(now_ms),
            status: strike.status,
            version: self.version,
            changed_at_ms: now_ms,
            source,
        };
        history.ends.insert(strike.ended_start, record);
        history.responses_since_end = 0;
        true
    }

    /// Returns the hold of `request` that is active at `now_ms`.
    pub fn active_hold(&self, request: &Fingerprint, now_ms: u64) -> Option<Hold> {
        let history = self.requests.get(request)?;
        let suspect_ends = if self.may_lack_strikes(now_ms) { 1 } else { SUSPECT_ENDS };
        let remaining_ms = history
            .hold_deadline_ms(suspect_ends)
            .checked_sub(now_ms)
            .filter(|remaining_ms| *remaining_ms > 0)?;
        Some(Hold {
            end_count: history.counted_ends(),
            remaining: Duration::from_millis(remaining_ms),
        })
    }

    /// Records that this process started without the earlier strikes, because the store was unavailable and no peer had
    /// them: strikes that were not stored yet are lost. The record spreads to other processes like a strike.
    pub fn record_history_loss(&mut self, now_ms: u64) {
        let loss = Strike {
            request: Fingerprint::HISTORY_LOSS,
            // All processes that start in the same outage make the same record.
            ended_start: EndedStart::numbered(now_ms / millis(HISTORY_LOSS_CAUTION)),
            at_ms: now_ms,
            status: StrikeStatus::Counted,
        };
        self.merge(loss, StrikeSource::Local, now_ms);
    }

    /// Whether strikes were lost so recently that the request which caused them may arrive again.
    fn may_lack_strikes(&self, now_ms: u64) -> bool {
        let losses = self.requests.get(&Fingerprint::HISTORY_LOSS);
        losses.is_some_and(|losses| losses.last_end_ms() + millis(HISTORY_LOSS_CAUTION) > now_ms)
    }

    /// Number of targets that terminated under `request` and count against it.
    pub fn end_count(&self, request: &Fingerprint) -> usize {
        self.requests.get(request).map_or(0, History::counted_ends)
    }

    /// Records a complete response to `request`; returns whether that cleared its strikes.
    pub fn record_response(&mut self, request: &Fingerprint, now_ms: u64) -> bool {
        let Some(history) = self.requests.get_mut(request) else {
            return false;
        };
        history.responses_since_end += 1;
        if history.responses_since_end < RESPONSES_TO_CLEAR || history.counted_ends() == 0 {
            return false;
        }
        self.version += 1;
        for record in history.ends.values_mut() {
            record.status = StrikeStatus::Cleared;
            record.source = StrikeSource::Local;
            record.version = self.version;
            record.changed_at_ms = now_ms;
        }
        true
    }

    /// Returns the strikes that changed after version `since`, and the current version.
    pub fn changes_since(&self, since: u64) -> (Vec<Strike>, u64) {
        let changed = self.strikes().filter(|(_, record)| record.version > since);
        (changed.map(|(strike, _)| strike).collect(), self.version)
    }

    /// Returns the strikes that this process has to write to the store.
    pub fn unsaved(&self) -> Vec<Strike> {
        let unsaved = self
            .strikes()
            .filter(|(_, record)| record.source == StrikeSource::Local);
        unsaved.map(|(strike, _)| strike).collect()
    }

    /// Merges the complete content of the store, as queried at `queried_at_ms`; returns whether anything changed.
    ///
    /// A strike that a peer sent more than `margin` before the query, but that the store lacks, was never written: its
    /// process may have terminated. This process then writes it.
    pub fn merge_snapshot(&mut self, strikes: &[Strike], queried_at_ms: u64, margin: Duration, now_ms: u64) -> bool {
        let mut changed = false;
        for strike in strikes {
            changed |= self.merge(*strike, StrikeSource::Store, now_ms);
        }
        let records = self.requests.values_mut().flat_map(|history| history.ends.values_mut());
        for record in records.filter(|record| record.source == StrikeSource::Peer) {
            if record.changed_at_ms + millis(margin) < queried_at_ms {
                record.source = StrikeSource::Local;
                changed = true;
            }
        }
        changed
    }

    /// Handles a store that was restored from an older snapshot: strikes missing from its next content are written
    /// again.
    pub fn mark_stored_unconfirmed(&mut self) {
        let records = self.requests.values_mut().flat_map(|history| history.ends.values_mut());
        for record in records.filter(|record| record.source == StrikeSource::Store) {
            record.source = StrikeSource::Peer;
        }
    }

    /// Removes strikes of requests whose retention time is over, and returns them.
    pub fn remove_expired(&mut self, now_ms: u64) -> Vec<Strike> {
        let is_expired = |request: &Fingerprint, history: &History| {
            let deadline_ms = if *request == Fingerprint::HISTORY_LOSS {
                history.last_end_ms() + millis(HISTORY_LOSS_CAUTION)
            } else {
                history.retention_deadline_ms()
            };
            deadline_ms <= now_ms
        };
        let dropped = self.strikes().filter(|(strike, _)| {
            let history = self.requests.get(&strike.request);
            history.is_some_and(|history| is_expired(&strike.request, history))
        });
        let dropped = dropped.map(|(strike, _)| strike).collect();
        self.requests.retain(|request, history| !is_expired(request, history));
        dropped
    }

    fn strikes(&self) -> impl Iterator<Item = (Strike, &Record)> {
        self.requests.iter().flat_map(|(request, history)| {
            history.ends.iter().map(|(end, record)| {
                let strike = Strike {
                    request: *request,
                    ended_start: *end,
                    at_ms: record.at_ms,
                    status: record.status,
                };
                (strike, record)
            })
        })
    }

    /// Evicts requests if there is no capacity for a new one: those with the fewest terminations first, and of these
    /// the oldest. Many are evicted at once, so that the cost per request stays low during a flood of new ones.
    fn evict_if_full(&mut self, request: Fingerprint) {
        if self.requests.len() < MAX_REQUESTS || self.requests.contains_key(&request) {
            return;
        }
        let priority =
            |(request, history): (&Fingerprint, &History)| (history.counted_ends(), history.last_end_ms(), *request);
        let is_request = |(request, _): &(&Fingerprint, &History)| **request != Fingerprint::HISTORY_LOSS;
        let mut candidates: Vec<(usize, u64, Fingerprint)> =
            self.requests.iter().filter(is_request).map(priority).collect();
        candidates.sort_unstable();
        for (_, _, request) in &candidates[..MAX_REQUESTS / 8] {
            self.requests.remove(request);
        }
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
