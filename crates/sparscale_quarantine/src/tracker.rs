//! The strikes that one process knows, and the requests that it holds back because of them.

use std::collections::HashMap;
use std::time::Duration;

use crate::content::Content;
use crate::fingerprint::Fingerprint;
use crate::history::{History, Record};
use crate::probes::Probes;
use crate::sound_parts::SoundParts;
use crate::source::StrikeSource;
use crate::strike::{EndedStart, Strike, StrikeStatus};
use crate::{millis, policy};

/// Time after a loss of strikes in which one termination is enough to hold a request: the request that caused the lost
/// ones may arrive again anywhere, also where the next strike is not known yet.
const HISTORY_LOSS_CAUTION: Duration = Duration::from_mins(10);
/// Most requests and prompt parts that are tracked, at about 200 bytes each.
const MAX_SUBJECTS: usize = 4_096;

/// All requests that were running on targets which terminated, and the parts of their prompts.
#[derive(Debug)]
pub struct Tracker {
    pub(crate) histories: HashMap<Fingerprint, History>,
    /// Parts with which this process has received complete responses.
    sound_parts: SoundParts,
    pub(crate) probes: HashMap<Fingerprint, Probes>,
    /// Number of requests let through as probes.
    pub(crate) probe_count: u64,
    /// Number of processes that receive requests, this one included.
    pub(crate) process_count: usize,
    /// Time from which this process may mark another part as sound, in milliseconds since 1970.
    next_mark_ms: u64,
    version: u64,
}

impl Default for Tracker {
    fn default() -> Self {
        Self {
            histories: HashMap::new(),
            sound_parts: SoundParts::default(),
            probes: HashMap::new(),
            probe_count: 0,
            process_count: 1,
            next_mark_ms: u64::MAX,
            version: 0,
        }
    }
}

impl Tracker {
    /// A tracker that marks frequent parts as sound.
    pub fn marking() -> Self {
        Self {
            next_mark_ms: 0,
            ..Self::default()
        }
    }

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
        let is_sound = self.sound_parts.contains(&strike.subject) || history.has_mark();
        let record = mark_familiar(record, is_sound);
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
            let responses = self.sound_parts.record_response(*part);
            self.mark_if_frequent(*part, responses, now_ms);
        }
        let mut cleared = Vec::new();
        if self.count_response(content.request, policy::clears_request, now_ms) {
            cleared.push(content.request);
        }
        for part in &content.shared_parts {
            // A held part is the cause only if no request with it is answered, so one answer to a probe is enough.
            let is_probe = self
                .probes
                .get(part)
                .is_some_and(|probes| probes.contains(&content.request));
            let clears = if is_probe {
                policy::clears_probed_part
            } else {
                policy::clears_part
            };
            if self.count_response(*part, clears, now_ms) {
                cleared.push(*part);
            }
        }
        cleared
    }

    /// Marks a part as sound for other processes and for those that start later, if it is in many requests. The mark
    /// spreads like a strike that was cleared.
    fn mark_if_frequent(&mut self, part: Fingerprint, responses: u32, now_ms: u64) {
        if now_ms < self.next_mark_ms || !policy::should_mark(responses, 0) {
            return;
        }
        let mark = EndedStart::numbered(policy::mark_period(now_ms));
        let is_marked = |history: &History| history.ends.contains_key(&mark);
        if self.histories.get(&part).is_some_and(is_marked) {
            return;
        }
        self.next_mark_ms = now_ms.saturating_add(millis(policy::mark_interval(self.process_count)));
        let marked_parts = self.histories.values().filter(|history| is_marked(history)).count();
        if policy::should_mark(responses, marked_parts) {
            let strike = Strike {
                subject: part,
                ended_start: mark,
                at_ms: now_ms,
                status: StrikeStatus::Cleared,
            };
            self.merge(strike, StrikeSource::Local, now_ms);
        }
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

    /// Number of requests that were let through although they are held, to find the cause.
    pub fn probe_count(&self) -> u64 {
        self.probe_count
    }

    /// Sets the number of processes among which requests that test a held part are divided.
    pub fn set_process_count(&mut self, process_count: usize) {
        self.process_count = process_count;
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
        let mut dropped: Vec<Strike> = dropped.map(|(strike, _)| strike).collect();
        for (subject, history) in &mut self.histories {
            let marks = history.remove_expired_marks(now_ms).into_iter();
            dropped.extend(marks.map(|(end, mark)| mark.strike(*subject, end)));
        }
        self.histories.retain(|subject, history| !is_expired(subject, history));
        self.probes.retain(|part, _| self.histories.contains_key(part));
        dropped
    }

    fn strikes(&self) -> impl Iterator<Item = (Strike, &Record)> {
        self.histories.iter().flat_map(|(subject, history)| {
            let strikes = history.ends.iter();
            strikes.map(|(end, record)| (record.strike(*subject, *end), record))
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
