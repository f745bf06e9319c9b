//! The terminations and responses of one request or prompt part, as one process knows them.

use std::collections::BTreeMap;

use crate::fingerprint::Fingerprint;
use crate::millis;
use crate::policy::{self, PartHistory};
use crate::source::StrikeSource;
use crate::strike::{EndedStart, Strike, StrikeStatus};

/// Most terminations that are kept for one request or part.
const MAX_ENDS: usize = 16;

/// What is known of one termination.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Record {
    pub(crate) at_ms: u64,
    pub(crate) status: StrikeStatus,
    /// Version of the tracker with which this entry last changed.
    pub(crate) version: u64,
    /// When this entry last changed, in milliseconds since 1970.
    pub(crate) changed_at_ms: u64,
    pub(crate) source: StrikeSource,
}

impl Record {
    /// The strike of which this is the record.
    pub(crate) fn strike(&self, subject: Fingerprint, ended_start: EndedStart) -> Strike {
        Strike {
            subject,
            ended_start,
            at_ms: self.at_ms,
            status: self.status,
        }
    }
}

/// The terminations and responses of one request or prompt part.
#[derive(Debug, Default)]
pub(crate) struct History {
    pub(crate) ends: BTreeMap<EndedStart, Record>,
    /// Complete responses since this process learned of the latest termination.
    pub(crate) responses_since_end: u32,
}

impl History {
    /// Makes room for a termination at `at_ms`, if necessary in place of the oldest one that was cleared. Returns
    /// whether there is room.
    pub(crate) fn make_room(&mut self, at_ms: u64) -> bool {
        if self.ends.len() < MAX_ENDS {
            return true;
        }
        let cleared = self
            .ends
            .iter()
            .filter(|(end, record)| record.status == StrikeStatus::Cleared && !end.is_numbered());
        let oldest = cleared.min_by_key(|(_, record)| record.at_ms);
        let Some(oldest) = oldest.filter(|(_, record)| record.at_ms < at_ms).map(|(end, _)| *end) else {
            return false;
        };
        self.ends.remove(&oldest);
        true
    }

    /// The terminations that have not been cleared.
    pub(crate) fn uncleared(&self) -> impl Iterator<Item = (&EndedStart, &Record)> {
        self.ends
            .iter()
            .filter(|(_, record)| record.status != StrikeStatus::Cleared)
    }

    pub(crate) fn uncleared_count(&self) -> usize {
        self.uncleared().count()
    }

    /// Whether a response to a request with this part was received before one of the terminations.
    pub(crate) fn is_familiar(&self) -> bool {
        self.ends.values().any(|record| record.status != StrikeStatus::Counted)
    }

    /// Whether it may be the cause of a termination: it never received a complete response.
    pub(crate) fn is_suspected(&self) -> bool {
        !self.is_familiar() && self.uncleared().next().is_some()
    }

    /// Whether a process has marked the part as sound.
    pub(crate) fn has_mark(&self) -> bool {
        let mut cleared = self
            .ends
            .iter()
            .filter(|(_, record)| record.status == StrikeStatus::Cleared);
        cleared.any(|(end, _)| end.is_numbered())
    }

    pub(crate) fn last_end_ms(&self) -> u64 {
        self.ends.values().map(|record| record.at_ms).max().unwrap_or(0)
    }

    /// The history as [`policy`] sees it; terminations for which `is_explained` holds have another cause.
    pub(crate) fn as_part(&self, is_explained: impl Fn(EndedStart) -> bool) -> PartHistory {
        let unexplained = self.uncleared().filter(|(end, _)| !is_explained(**end));
        let mut end_times_ms: Vec<u64> = unexplained.map(|(_, record)| record.at_ms).collect();
        end_times_ms.sort_unstable();
        PartHistory {
            end_times_ms,
            is_familiar: self.is_familiar(),
        }
    }

    /// A request is kept for longer than its hold, so that the next termination adds to the earlier ones.
    pub(crate) fn retention_deadline_ms(&self) -> u64 {
        let retention = policy::retention(self.uncleared_count());
        let deadline_ms = self.last_end_ms().saturating_add(millis(retention));
        let marks = self.ends.iter().filter(|(end, _)| end.is_numbered());
        let marks = marks.map(|(_, mark)| mark.at_ms.saturating_add(millis(policy::MARK_RETENTION)));
        marks.max().unwrap_or(0).max(deadline_ms)
    }

    /// Removes the marks of a sound part that are older than [`policy::MARK_RETENTION`], and returns them.
    pub(crate) fn remove_expired_marks(&mut self, now_ms: u64) -> Vec<(EndedStart, Record)> {
        let is_expired = |end: &EndedStart, mark: &mut Record| {
            end.is_numbered() && mark.at_ms.saturating_add(millis(policy::MARK_RETENTION)) <= now_ms
        };
        self.ends.extract_if(.., is_expired).collect()
    }
}
