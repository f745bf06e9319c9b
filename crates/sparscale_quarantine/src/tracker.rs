//! The strikes that one process knows, and the requests that it holds back because of them.

use std::collections::HashMap;
use std::time::Duration;

use crate::content::Content;
use crate::fingerprint::Fingerprint;
use crate::history::{History, Record};
use crate::hold::Probe;
use crate::sound_parts::SoundParts;
use crate::strike::{EndedStart, Strike, StrikeStatus};
use crate::{millis, policy};

/// Time after a loss of strikes in which one termination is enough to hold a request: the request that caused the lost
/// ones may arrive again anywhere, also where the next strike is not known yet.
const HISTORY_LOSS_CAUTION: Duration = Duration::from_mins(10);
/// Most requests and prompt parts that are tracked, at about 200 bytes each.
const MAX_SUBJECTS: usize = 4_096;

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

/// All requests that were running on targets which terminated, and the parts of their prompts.
#[derive(Debug, Default)]
pub struct Tracker {
    pub(crate) histories: HashMap<Fingerprint, History>,
    /// Parts with which this process has received complete responses.
    sound_parts: SoundParts,
    pub(crate) probes: HashMap<Fingerprint, Probe>,
    version: u64,
}

impl Tracker {
    /// Merges a strike at `now_ms`; returns whether it changed anything.
    pub fn merge(&mut self, strike: Strike, source: StrikeSource, now_ms: u64) -> bool {
        self.evict_if_full(strike.subject);
        let history = self.histories.entry(strike.subject).or_default();
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
        // A process whose clock is ahead must not extend the hold.
        let at_ms = strike.at_ms.min(now_ms);
        if !history.make_room(at_ms) {
            return false;
        }
        self.version += 1;
        let record = Record {
            at_ms,
            status: strike.status,
            version: self.version,
            changed_at_ms: now_ms,
            source,
        };
        let record = mark_familiar(record, self.sound_parts.contains(&strike.subject));
        history.ends.insert(strike.ended_start, record);
        history.responses_since_end = 0;
        true
    }

    /// Records that this process started without the earlier strikes, because the store was unavailable and no peer had
    /// them: strikes that were not stored yet are lost. The record spreads to other processes like a strike.
    pub fn record_history_loss(&mut self, now_ms: u64) {
        let loss = Strike {
            subject: Fingerprint::HISTORY_LOSS,
            // All processes that start in the same outage make the same record.
            ended_start: EndedStart::numbered(now_ms / millis(HISTORY_LOSS_CAUTION)),
            at_ms: now_ms,
            status: StrikeStatus::Counted,
        };
        self.merge(loss, StrikeSource::Local, now_ms);
    }

    /// Whether strikes were lost so recently that the request which caused them may arrive again.
    pub(crate) fn may_lack_strikes(&self, now_ms: u64) -> bool {
        let losses = self.histories.get(&Fingerprint::HISTORY_LOSS);
        losses.is_some_and(|losses| losses.last_end_ms() + millis(HISTORY_LOSS_CAUTION) > now_ms)
    }

    /// Number of targets that terminated under the request or part `subject` and count against it.
    pub fn end_count(&self, subject: &Fingerprint) -> usize {
        self.histories.get(subject).map_or(0, History::uncleared_count)
    }

    /// Records a complete response to a request; returns the fingerprints whose strikes that cleared.
    pub fn record_response(&mut self, content: &Content, now_ms: u64) -> Vec<Fingerprint> {
        for part in &content.shared_parts {
            self.sound_parts.insert(*part);
        }
        let is_cleared = |tracker: &mut Self, fingerprint, clears: fn(u32, usize) -> bool| {
            tracker
                .count_response(fingerprint, clears, now_ms)
                .then_some(fingerprint)
        };
        let request = is_cleared(self, content.request, policy::clears_request);
        let parts = content.shared_parts.iter();
        let parts = parts.filter_map(|part| is_cleared(self, *part, policy::clears_part));
        request.into_iter().chain(parts).collect()
    }

    /// Counts a complete response; returns whether that cleared strikes.
    fn count_response(&mut self, fingerprint: Fingerprint, clears: fn(u32, usize) -> bool, now_ms: u64) -> bool {
        let Some(history) = self.histories.get_mut(&fingerprint) else {
            return false;
        };
        history.responses_since_end = history.responses_since_end.saturating_add(1);
        let is_cleared = clears(history.responses_since_end, history.uncleared_count());
        let status = if is_cleared {
            StrikeStatus::Cleared
        } else if fingerprint.is_part() {
            StrikeStatus::Familiar
        } else {
            return false;
        };
        let upgraded = history.ends.values_mut().filter(|record| record.status < status);
        for record in upgraded {
            self.version += 1;
            record.status = status;
            record.source = StrikeSource::Local;
            record.version = self.version;
            record.changed_at_ms = now_ms;
        }
        is_cleared
    }

    /// Increases with each change of a strike.
    pub fn version(&self) -> u64 {
        self.version
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
        let records = self
            .histories
            .values_mut()
            .flat_map(|history| history.ends.values_mut());
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
        let records = self
            .histories
            .values_mut()
            .flat_map(|history| history.ends.values_mut());
        for record in records.filter(|record| record.source == StrikeSource::Store) {
            record.source = StrikeSource::Peer;
        }
    }

    /// Removes strikes of requests and parts whose retention time is over, and returns them.
    pub fn remove_expired(&mut self, now_ms: u64) -> Vec<Strike> {
        let is_expired = |subject: &Fingerprint, history: &History| {
            let deadline_ms = if *subject == Fingerprint::HISTORY_LOSS {
                history.last_end_ms() + millis(HISTORY_LOSS_CAUTION)
            } else {
                history.retention_deadline_ms()
            };
            deadline_ms <= now_ms
        };
        let dropped = self.strikes().filter(|(strike, _)| {
            let history = self.histories.get(&strike.subject);
            history.is_some_and(|history| is_expired(&strike.subject, history))
        });
        let dropped = dropped.map(|(strike, _)| strike).collect();
        self.histories.retain(|subject, history| !is_expired(subject, history));
        self.probes.retain(|part, _| self.histories.contains_key(part));
        dropped
    }

    fn strikes(&self) -> impl Iterator<Item = (Strike, &Record)> {
        self.histories.iter().flat_map(|(subject, history)| {
            history.ends.iter().map(|(end, record)| {
                let strike = Strike {
                    subject: *subject,
                    ended_start: *end,
                    at_ms: record.at_ms,
                    status: record.status,
                };
                (strike, record)
            })
        })
    }

    /// Evicts requests and parts if there is no capacity for a new one: those with the fewest terminations first, and of these
    /// the oldest. Many are evicted at once, so that the cost per request stays low during a flood of new ones.
    fn evict_if_full(&mut self, subject: Fingerprint) {
        if self.histories.len() < MAX_SUBJECTS || self.histories.contains_key(&subject) {
            return;
        }
        let priority =
            |(subject, history): (&Fingerprint, &History)| (history.uncleared_count(), history.last_end_ms(), *subject);
        let is_evictable = |(subject, _): &(&Fingerprint, &History)| **subject != Fingerprint::HISTORY_LOSS;
        let mut candidates: Vec<(usize, u64, Fingerprint)> =
            self.histories.iter().filter(is_evictable).map(priority).collect();
        candidates.sort_unstable();
        for (_, _, subject) in &candidates[..MAX_SUBJECTS / 8] {
            self.histories.remove(subject);
        }
    }
}

/// Marks a strike against a part that was sound before. Peers and the store may know only the unmarked strike, so this
/// process passes the mark on.
fn mark_familiar(record: Record, is_sound: bool) -> Record {
    if !is_sound || record.status != StrikeStatus::Counted {
        return record;
    }
    let source = match record.source {
        StrikeSource::Local => StrikeSource::Local,
        StrikeSource::Peer | StrikeSource::Store => StrikeSource::Peer,
    };
    Record {
        status: StrikeStatus::Familiar,
        source,
        ..record
    }
}
