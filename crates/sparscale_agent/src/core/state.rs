//! What an agent keeps of its requests: ledger, queue and answers, and the questions that only these decide.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use sparscale_admit::ledger::{self, Keyed, Ledger};
use sparscale_admit::queue::Queue;
use sparscale_wire::{Attempt, AttemptId};
use tokio::time::Instant;

use crate::answer::Answer;
use crate::engine::EngineLoad;
use crate::intake::Intake;

/// Time for which an answer that nobody reads stays buffered.
const LINGER: Duration = Duration::from_secs(10);
/// Time after which a request that may be repeated is cancelled because nobody reads its answer.
const ABANDONED: Duration = Duration::from_secs(5);
/// When to come back to a target that leaves: others take its place by then.
const LEAVING_RETRY: Duration = Duration::from_mins(1);
/// Entries whose highest counter is remembered.
const MAX_ENTRIES: usize = 4_096;

pub(super) struct State {
    pub(super) ledger: Ledger,
    pub(super) queue: Queue<AttemptId>,
    pub(super) attempts: HashMap<AttemptId, Held>,
    pub(super) seen: HashMap<u64, u64>,
    /// Requests that wait or run, by the incarnation of the entry that sent them.
    pub(super) in_progress: HashMap<u64, u32>,
    pub(super) draining: bool,
    /// Whether the target listened when it was last looked at.
    pub(super) listening: bool,
    pub(super) ready: bool,
    pub(super) engine_load: EngineLoad,
    pub(super) intake: Intake,
}

pub(super) struct Held {
    pub(super) attempt: Arc<Attempt>,
    pub(super) answer: Arc<Answer>,
    pub(super) keep_until: Instant,
}

impl State {
    /// Counts a request no longer as in progress.
    pub(super) fn leave(&mut self, id: AttemptId) {
        if let Some(count) = self.in_progress.get_mut(&id.entry) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.in_progress.remove(&id.entry);
            }
        }
    }
}

/// Time until the target takes requests again, if the attempt cannot wait for that.
pub(super) fn closed_for(state: &State, attempt: &Attempt) -> Option<Duration> {
    let bound = attempt
        .key
        .is_some_and(|key| state.ledger.bound(key.as_bytes()).is_some());
    let opens_in = state.intake.takes_in(state.queue.waiting()).unwrap_or(LEAVING_RETRY);
    let deadline = Duration::from_millis(attempt.deadline_ms);
    (!bound && opens_in >= deadline).then_some(opens_in)
}

/// What a re-send under a key meets.
pub(super) enum Earlier {
    Attempt(AttemptId),
    OtherBody,
}

pub(super) fn bind(state: &mut State, attempt: &Attempt) -> Option<Earlier> {
    let key = attempt.key?;
    match state
        .ledger
        .bind(*key.as_bytes(), attempt.call.digest(), ledger_id(attempt.id))
    {
        Keyed::New => None,
        Keyed::Earlier(earlier) => Some(Earlier::Attempt(AttemptId {
            entry: earlier.sender,
            counter: earlier.counter,
        })),
        Keyed::OtherBody => Some(Earlier::OtherBody),
    }
}

pub(super) fn ledger_id(id: AttemptId) -> ledger::Attempt {
    ledger::Attempt {
        sender: id.entry,
        counter: id.counter,
    }
}

pub(super) fn note_seen(seen: &mut HashMap<u64, u64>, id: AttemptId) {
    if seen.len() >= MAX_ENTRIES && !seen.contains_key(&id.entry) {
        // An entry that is gone is not missed; one that is not only sees a lower counter once.
        seen.clear();
    }
    let highest = seen.entry(id.entry).or_default();
    *highest = (*highest).max(id.counter);
}

pub(super) fn is_over(held: &Held, now: Instant) -> bool {
    let unread = held.answer.unread_since().is_some_and(|since| now >= since + LINGER);
    let kept = held.attempt.key.is_some() && now < held.keep_until;
    held.answer.has_ended() && unread && !kept
}

pub(super) fn is_abandoned(held: &Held, now: Instant) -> bool {
    let unread = held.answer.unread_since().is_some_and(|since| now >= since + ABANDONED);
    held.attempt.repeatable && held.attempt.key.is_none() && !held.answer.has_ended() && unread
}
