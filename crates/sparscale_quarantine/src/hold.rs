//! Applies [`policy`] to the strikes that a process knows: which requests are held back, and which are let through to
//! find the cause.

use std::time::Duration;

use crate::content::Content;
use crate::fingerprint::Fingerprint;
use crate::history::History;
use crate::strike::EndedStart;
use crate::tracker::Tracker;
use crate::{millis, policy};

/// What a request is held back for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HoldCause {
    /// The request itself.
    Request(Fingerprint),
    /// A part of its prompt.
    Part(Fingerprint),
}

/// An active hold: the request is not sent to targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hold {
    /// What the request is held back for.
    pub cause: HoldCause,
    /// Number of targets that terminated under the request, or with the part.
    pub end_count: usize,
    /// Remaining time of the hold.
    pub remaining: Duration,
    /// Whether a few requests are let through before its end, to find the cause.
    is_probed: bool,
}

/// The request that was last let through to find out whether a part is the cause.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Probe {
    request: Fingerprint,
    sent_at_ms: u64,
}

impl Tracker {
    /// Returns the hold of a request that is active at `now_ms`; none if the request may be sent. `delay` is a number
    /// from 0 to 1 that differs between processes, see [`policy::part_hold_deadline_ms`].
    pub fn active_hold(&mut self, content: &Content, delay: f64, now_ms: u64) -> Option<Hold> {
        if let Some(hold) = self.request_hold(&content.request, now_ms) {
            return Some(hold);
        }
        let part_hold = |part: &Fingerprint| self.part_hold(part, content, delay, now_ms);
        let holds: Vec<Hold> = content.shared_parts.iter().filter_map(part_hold).collect();
        let longest = *holds.iter().max_by_key(|hold| hold.remaining)?;
        if holds.iter().all(|hold| hold.is_probed) {
            return self.try_probe(longest, content.request, now_ms).err();
        }
        Some(longest)
    }

    fn request_hold(&self, request: &Fingerprint, now_ms: u64) -> Option<Hold> {
        let history = self.histories.get(request)?;
        let end_count = history.uncleared_count();
        let hold = policy::request_hold(end_count, self.may_lack_strikes(now_ms).then_some(1))?;
        Some(Hold {
            cause: HoldCause::Request(*request),
            end_count,
            remaining: remaining_until(history.last_end_ms().saturating_add(millis(hold)), now_ms)?,
            is_probed: false,
        })
    }

    /// The hold of `content` because of one of its parts.
    fn part_hold(&self, part: &Fingerprint, content: &Content, delay: f64, now_ms: u64) -> Option<Hold> {
        let history = self.histories.get(part)?;
        let is_familiar = history.is_familiar();
        let mut deadline_ms = policy::part_hold_deadline_ms(&history.as_part(|_| false), delay)?;
        if is_familiar {
            // Other explanations are searched only if the part is suspected without them.
            let unexplained = history.as_part(|end| self.is_explained(part, end));
            deadline_ms = policy::part_hold_deadline_ms(&unexplained, delay)?;
        }
        let remaining = remaining_until(deadline_ms, now_ms)?;
        Some(Hold {
            cause: HoldCause::Part(*part),
            end_count: history.uncleared_count(),
            remaining,
            is_probed: !is_familiar && self.is_other_part_suspected(history, content),
        })
    }

    /// Whether another request or part is a better explanation of `end` than the familiar part `part`.
    fn is_explained(&self, part: &Fingerprint, end: EndedStart) -> bool {
        let others = self.histories.iter().filter(|(other, _)| *other != part);
        let mut with_end = others.filter(|(_, history)| history.ends.contains_key(&end));
        with_end.any(|(_, history)| policy::is_explanation(&history.as_part(|_| false)))
    }

    /// Whether a part that `content` lacks explains all terminations in `history`: a request without that part shows
    /// which of the two is the cause.
    fn is_other_part_suspected(&self, history: &History, content: &Content) -> bool {
        let others = self.histories.iter().filter(|(other, other_history)| {
            other.is_part() && !other_history.is_familiar() && !content.shared_parts.contains(other)
        });
        let mut ends = others.map(|(_, other_history)| &other_history.ends);
        ends.any(|ends| history.uncleared().all(|(end, _)| ends.contains_key(end)))
    }

    /// Lets a request through that shows whether its suspected parts are the cause, one per [`policy::PROBE_INTERVAL`].
    /// The same request is let through again, for its retries.
    fn try_probe(&mut self, hold: Hold, request: Fingerprint, now_ms: u64) -> Result<(), Hold> {
        let HoldCause::Part(part) = hold.cause else {
            return Err(hold);
        };
        let probe = self.probes.entry(part).or_insert(Probe {
            request,
            sent_at_ms: now_ms,
        });
        if probe.request == request {
            return Ok(());
        }
        let next_at_ms = probe.sent_at_ms.saturating_add(millis(policy::PROBE_INTERVAL));
        if let Some(remaining) = remaining_until(next_at_ms, now_ms) {
            return Err(Hold { remaining, ..hold });
        }
        *probe = Probe {
            request,
            sent_at_ms: now_ms,
        };
        Ok(())
    }
}

fn remaining_until(deadline_ms: u64, now_ms: u64) -> Option<Duration> {
    let remaining_ms = deadline_ms.checked_sub(now_ms).filter(|remaining| *remaining > 0)?;
    Some(Duration::from_millis(remaining_ms))
}
