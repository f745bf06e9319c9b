//! State of an agent's requests (ledger, queue and buffered responses) and the functions that need nothing else.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use sparscale_admit::ledger::{self, KeyBinding, Ledger};
use sparscale_admit::queue::Queue;
use sparscale_wire::{Attempt, AttemptId};
use tokio::time::Instant;

use crate::engine::EngineLoad;
use crate::response_buffer::ResponseBuffer;
use crate::throttle::Throttle;

/// Time for which a complete response without a reader stays buffered.
const UNREAD_RETENTION: Duration = Duration::from_secs(10);
/// Time without a reader after which a running, retryable request is cancelled.
const ABANDON_AFTER: Duration = Duration::from_secs(5);
/// Retry delay for requests to a draining target; long enough for another target to replace it.
const DRAINING_RETRY: Duration = Duration::from_mins(1);
/// Maximum number of entries whose highest counter is kept.
const MAX_ENTRIES: usize = 4_096;

pub(super) struct State {
    pub(super) ledger: Ledger,
    pub(super) queue: Queue<AttemptId>,
    pub(super) attempts: HashMap<AttemptId, AttemptRecord>,
    /// Highest attempt counter received, by the incarnation of the entry.
    pub(super) highest_counters: HashMap<u64, u64>,
    /// Number of queued and running requests, by the incarnation of the entry that sent them.
    pub(super) in_progress_by_entry: HashMap<u64, u32>,
    pub(super) is_draining: bool,
    /// Whether the target listened at the last check.
    pub(super) is_listening: bool,
    /// Number of times that the target has stopped listening.
    pub(super) end_count: u64,
    /// Whether the limits of a bundle have been set.
    pub(super) is_ready: bool,
    pub(super) engine_load: EngineLoad,
    pub(super) throttle: Throttle,
}

/// An admitted attempt and its buffered response.
pub(super) struct AttemptRecord {
    pub(super) attempt: Arc<Attempt>,
    pub(super) response: Arc<ResponseBuffer>,
    pub(super) keep_until: Instant,
}

impl State {
    /// Removes a request from its entry's count of requests in progress.
    pub(super) fn record_end(&mut self, id: AttemptId) {
        if let Some(count) = self.in_progress_by_entry.get_mut(&id.entry_incarnation) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.in_progress_by_entry.remove(&id.entry_incarnation);
            }
        }
    }
}

/// Time until the target accepts the attempt, if that is past the attempt's deadline; `None` if the attempt can wait.
pub(super) fn wait_past_deadline(state: &State, attempt: &Attempt) -> Option<Duration> {
    let is_bound = attempt
        .key
        .is_some_and(|key| state.ledger.attempt_of_key(key.as_bytes()).is_some());
    let wait = state
        .throttle
        .expected_wait(state.queue.queued_count())
        .unwrap_or(DRAINING_RETRY);
    let deadline = Duration::from_millis(attempt.remaining_ms);
    (!is_bound && wait >= deadline).then_some(wait)
}

/// Earlier use of an idempotency key.
pub(super) enum EarlierUse {
    /// The same request was sent by this attempt.
    Attempt(AttemptId),
    /// The key was used for a request with another body.
    OtherBody,
}

/// Binds the attempt's idempotency key, if it has one; returns the earlier use of a key that is already bound.
pub(super) fn bind_key(state: &mut State, attempt: &Attempt) -> Option<EarlierUse> {
    let key = attempt.key?;
    match state
        .ledger
        .bind_key(*key.as_bytes(), attempt.call.digest(), ledger_id(attempt.id))
    {
        KeyBinding::New => None,
        KeyBinding::Earlier(earlier) => Some(EarlierUse::Attempt(AttemptId {
            entry_incarnation: earlier.sender_incarnation,
            counter: earlier.counter,
        })),
        KeyBinding::BodyMismatch => Some(EarlierUse::OtherBody),
    }
}

pub(super) fn ledger_id(id: AttemptId) -> ledger::Attempt {
    ledger::Attempt {
        sender_incarnation: id.entry_incarnation,
        counter: id.counter,
    }
}

/// Records the counter of an attempt if it is the highest one received from its entry.
pub(super) fn record_counter(highest_counters: &mut HashMap<u64, u64>, id: AttemptId) {
    if highest_counters.len() >= MAX_ENTRIES && !highest_counters.contains_key(&id.entry_incarnation) {
        // Counters of terminated entries aren't needed, and an active entry merely receives a lower counter once.
        highest_counters.clear();
    }
    let highest = highest_counters.entry(id.entry_incarnation).or_default();
    *highest = (*highest).max(id.counter);
}

/// Returns whether the buffered response can be dropped: it has ended, isn't read, and no key keeps it.
pub(super) fn is_expired(record: &AttemptRecord, now: Instant) -> bool {
    let is_unread = record
        .response
        .unread_since()
        .is_some_and(|since| now >= since + UNREAD_RETENTION);
    let is_kept_for_key = record.attempt.key.is_some() && now < record.keep_until;
    record.response.has_ended() && is_unread && !is_kept_for_key
}

/// Returns whether a running request can be cancelled because its response has had no reader for a while.
pub(super) fn is_abandoned(record: &AttemptRecord, now: Instant) -> bool {
    let is_unread = record
        .response
        .unread_since()
        .is_some_and(|since| now >= since + ABANDON_AFTER);
    record.attempt.retryable && record.attempt.key.is_none() && !record.response.has_ended() && is_unread
}
