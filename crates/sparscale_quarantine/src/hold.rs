//! Applies [`policy`] to the strikes that a process knows: which requests are held back, and which are let through to
//! find the cause.

use std::time::Duration;

use crate::content::Content;
use crate::fingerprint::Fingerprint;
use crate::history::{History, Record};
use crate::policy::{End, PartHistory};
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
    probing: Probing,
}

impl Hold {
    /// Time after which the request may be let through if it is sent again.
    pub fn retry_after(&self) -> Duration {
        match self.probing {
            Probing::After(wait) => wait.min(self.remaining),
            Probing::Never | Probing::Every(_) => self.remaining,
        }
    }
}

/// Whether requests are let through before the end of a hold, to find the cause.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Probing {
    Never,
    /// After this time.
    After(Duration),
    /// Now, one per interval.
    Every(Duration),
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
        let interval = |hold: &Hold| match hold.probing {
            Probing::Every(interval) => Some(interval),
            Probing::Never | Probing::After(_) => None,
        };
        let intervals: Option<Vec<Duration>> = holds.iter().map(interval).collect();
        match intervals.and_then(|intervals| intervals.into_iter().max()) {
            Some(interval) => self.try_probe(longest, content.request, interval, now_ms).err(),
            None => Some(longest),
        }
    }

    fn request_hold(&self, request: &Fingerprint, now_ms: u64) -> Option<Hold> {
        let history = self.histories.get(request)?;
        let end_count = history.uncleared_count();
        let hold = policy::request_hold(end_count, self.may_lack_strikes(now_ms).then_some(1))?;
        Some(Hold {
            cause: HoldCause::Request(*request),
            end_count,
            remaining: remaining_until(history.last_end_ms().saturating_add(millis(hold)), now_ms)?,
            probing: Probing::Never,
        })
    }

    /// The hold of `content` because of one of its parts.
    fn part_hold(&self, part: &Fingerprint, content: &Content, delay: f64, now_ms: u64) -> Option<Hold> {
        let history = self.histories.get(part)?;
        let (as_part, deadline_ms) = self.suspicion(part, history, delay)?;
        let remaining = remaining_until(deadline_ms, now_ms)?;
        let probing = if !history.is_familiar() && self.is_other_part_suspected(history, content) {
            Probing::Every(policy::PROBE_INTERVAL)
        } else if self.is_singled_out(part, history, content, delay, now_ms) {
            Probing::Never
        } else {
            self.trials(part, &as_part, content, delay, now_ms)
        };
        Some(Hold {
            cause: HoldCause::Part(*part),
            end_count: history.uncleared_count(),
            remaining,
            probing,
        })
    }

    /// What counts against a suspected part, and the deadline of its hold, in milliseconds since 1970; none if it is not
    /// suspected.
    fn suspicion(&self, part: &Fingerprint, history: &History, delay: f64) -> Option<(PartHistory, u64)> {
        let as_part = history.as_part(|_| false);
        let deadline_ms = policy::part_hold_deadline_ms(&as_part, delay)?;
        if !as_part.is_familiar {
            return Some((as_part, deadline_ms));
        }
        // Other explanations are searched only if the part is suspected without them.
        let unexplained = history.as_part(|end| self.is_explained(part, end));
        let deadline_ms = policy::part_hold_deadline_ms(&unexplained, delay)?;
        Some((unexplained, deadline_ms))
    }

    /// Whether another part of `content` is sound although it was in all terminations under `part`: requests with that
    /// part receive responses, so those with `part` as well most likely crash their targets.
    fn is_singled_out(
        &self,
        part: &Fingerprint,
        history: &History,
        content: &Content,
        delay: f64,
        now_ms: u64,
    ) -> bool {
        let others = content.shared_parts.iter().filter(|other| *other != part);
        let mut others = others.filter_map(|other| Some((other, self.histories.get(other)?)));
        others.any(|(other, other_history)| {
            let has_all_ends = || {
                let mut ends = history.uncleared().map(|(end, _)| end);
                ends.all(|end| other_history.ends.contains_key(end))
            };
            let is_held = || {
                let suspicion = self.suspicion(other, other_history, delay);
                suspicion.is_some_and(|(_, deadline_ms)| deadline_ms > now_ms)
            };
            other_history.is_familiar() && has_all_ends() && !is_held()
        })
    }

    /// Whether requests like `content` are let through although no other part explains all terminations under `part`.
    fn trials(&self, part: &Fingerprint, as_part: &PartHistory, content: &Content, delay: f64, now_ms: u64) -> Probing {
        let ends = self.ends_of(part, as_part, content);
        let is_suspected = |other: &&Fingerprint| self.histories.get(*other).is_some_and(History::is_suspected);
        let others = content.shared_parts.iter().filter(|other| *other != part);
        let other_suspects = others.filter(is_suspected).count();
        let start_ms = policy::trial_start_ms(&ends, other_suspects, delay, self.process_count);
        match start_ms.map(|start_ms| remaining_until(start_ms, now_ms)) {
            None => Probing::Never,
            Some(Some(wait)) => Probing::After(wait),
            Some(None) => Probing::Every(policy::trial_interval(self.process_count)),
        }
    }

    /// The terminations under `part`, in the order of their times. They are late if they came well after the part was
    /// held, or after this process let a request with it through. A part that `content` lacks explains them if it was in
    /// all late ones.
    fn ends_of(&self, part: &Fingerprint, as_part: &PartHistory, content: &Content) -> Vec<End> {
        let Some(history) = self.histories.get(part) else {
            return Vec::new();
        };
        let held_from_ms = policy::held_from_ms(as_part).unwrap_or(u64::MAX);
        let probes = self.probes.get(part);
        let probes = probes.filter(|probes| probes.last_sent_at_ms >= held_from_ms);
        let is_late = |record: &Record| {
            policy::is_late(record.at_ms, held_from_ms) || probes.is_some_and(|probes| record.version > probes.version)
        };
        let late = history.uncleared().filter(|(_, record)| is_late(record));
        let late: Vec<EndedStart> = late.map(|(end, _)| *end).collect();
        let explanations: Vec<&History> = self
            .suspected_parts()
            .filter(|(other, _)| !content.shared_parts.contains(other))
            .map(|(_, other)| other)
            .filter(|other| late.iter().all(|end| other.ends.contains_key(end)))
            .collect();
        let mut ends: Vec<End> = history
            .uncleared()
            .map(|(end, record)| End {
                at_ms: record.at_ms,
                is_late: is_late(record),
                is_explained: explanations.iter().any(|other| other.ends.contains_key(end)),
            })
            .collect();
        ends.sort_unstable_by_key(|end| end.at_ms);
        ends
    }

    /// The parts that may be the cause of a termination.
    fn suspected_parts(&self) -> impl Iterator<Item = (&Fingerprint, &History)> {
        self.histories
            .iter()
            .filter(|(part, history)| part.is_part() && history.is_suspected())
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
        let mut others = self
            .suspected_parts()
            .filter(|(other, _)| !content.shared_parts.contains(other));
        others.any(|(_, other)| history.uncleared().all(|(end, _)| other.ends.contains_key(end)))
    }

    /// Lets a request through that shows whether its suspected parts are the cause, one per `interval`. The same request
    /// is let through again, for its retries.
    fn try_probe(&mut self, hold: Hold, request: Fingerprint, interval: Duration, now_ms: u64) -> Result<(), Hold> {
        let HoldCause::Part(part) = hold.cause else {
            return Err(hold);
        };
        let version = self.version();
        let probes = self.probes.entry(part).or_default();
        if probes.contains(&request) {
            return Ok(());
        }
        let next_at_ms = probes.last_sent_at_ms.saturating_add(millis(interval));
        if let Some(remaining) = remaining_until(next_at_ms, now_ms) {
            return Err(Hold { remaining, ..hold });
        }
        probes.push(request, now_ms, version);
        self.probe_count += 1;
        Ok(())
    }
}

fn remaining_until(deadline_ms: u64, now_ms: u64) -> Option<Duration> {
    let remaining_ms = deadline_ms.checked_sub(now_ms).filter(|remaining| *remaining > 0)?;
    Some(Duration::from_millis(remaining_ms))
}
