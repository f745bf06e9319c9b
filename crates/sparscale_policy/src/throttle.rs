//! Tracks the limits that targets request from their callers, by the start of a target.
//!
//! Load pattern: an overloaded target states its limits in its responses, and each path that sends (a first attempt, a
//! retry, a resumed stream, a move away from a straggler or an unresponsive target) receives them independently. All of
//! these paths consult this tracker.

use std::collections::HashMap;
use std::time::Duration;

use sparscale_catalog::StartId;
use sparscale_clock::Timestamp;

use crate::rate_limit::{Limit, Members, Pacer, Rate, Share};

/// Longest backoff that a target is granted. A target that requests a longer one is tried again after it.
const MAX_BACKOFF: Duration = Duration::from_mins(10);

/// Time between two announcements of an unchanged limit: well below the time after which an unconfirmed limit may have
/// ended.
const CONFIRM_INTERVAL: Duration = Duration::from_secs(3);

/// Time between two announcements of a changed rate.
const CHANGE_INTERVAL: Duration = Duration::from_secs(1);
/// Fraction of the announced rate below which a lower rate is announced at once.
const URGENT_RATE_FRACTION: f64 = 0.8;

/// Where a notice comes from, which orders the notices of one reporter.
///
/// A receiver only has a lower bound of the time at which a target stated its limits, and the bounds of two notices
/// need not be in the order of the notices.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Origin {
    /// Random id of the entry that received the limits from the target, new with each start of the entry.
    pub reporter: u64,
    /// Number of the notice among those of the reporter.
    pub sequence: u64,
}

impl Origin {
    /// No notice: the target has stated nothing yet.
    const NONE: Self = Self {
        reporter: 0,
        sequence: 0,
    };
}

/// The limits of one target, and what this entry may send to it.
#[derive(Debug)]
struct State {
    /// When the target announced that it is draining, which is final for its start.
    draining_since: Option<Timestamp>,
    /// End of the backoff that the target requested from this entry.
    backoff_until: Option<Timestamp>,
    rate: Option<Rate>,
    /// When the target stated this rate, at the earliest.
    as_of: Timestamp,
    origin: Origin,
    /// The rate last announced to the other entries, and when the target had stated it.
    announced_rate: Option<Rate>,
    announced_as_of: Timestamp,
    /// Position of the latest change of this target among all changes.
    position: u64,
    pacer: Pacer,
    /// The limit while the target is cold.
    cold: Option<Cold>,
}

/// The limit of a target that has just started, or whose hall has just returned.
#[derive(Debug)]
struct Cold {
    rate: Rate,
    until: Timestamp,
    pacer: Pacer,
}

impl Cold {
    /// When this entry may send the next request. While another entry holds the share, that is the end of the limit.
    fn next_send(&self) -> Timestamp {
        self.pacer.next_send().map_or(self.until, |next| next.min(self.until))
    }

    fn set_share(&mut self, members: Option<&Members>, start: StartId, now: Timestamp) {
        let settled = members.filter(|members| members.is_settled);
        let share = settled.map_or(Share::None, |members| members.share(Limit::cold(self.rate), start));
        // The limit expires at `until`, so no entry has to probe for its end.
        let share = match share {
            Share::ProbeAfter(_) => Share::None,
            Share::None | Share::Interval(_) => share,
        };
        self.pacer.set_share(share, now);
    }
}

/// The limits of a target, as entries send them to each other.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Notice {
    /// The start of the target that they apply to.
    pub start: StartId,
    /// Requests a second that the target accepts from all entries; none if it has no limit.
    pub rate: Option<Rate>,
    /// Whether the target is draining.
    pub is_draining: bool,
    /// When the target stated this, at the earliest.
    pub as_of: Timestamp,
    /// The reporter of the notice, and its number there.
    pub origin: Origin,
}

/// When a target accepts the next request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// Now, from this entry.
    Now,
    /// At this time, from this entry or from another one that holds a share.
    At(Timestamp),
    /// Never: the target is draining.
    Never,
}

/// Tracks the limits of all targets.
#[derive(Debug, Default)]
pub struct Tracker {
    targets: HashMap<StartId, State>,
    /// The entries that divide the rates; none while they are unknown.
    members: Option<Members>,
    /// Position of the latest change.
    position: u64,
}

impl Tracker {
    /// Divides the rates among `members` from now on.
    pub fn set_members(&mut self, members: Members, now: Timestamp) {
        for (start, state) in &mut self.targets {
            let share = state
                .rate
                .map_or(Share::None, |rate| members.share(Limit::announced(rate), *start));
            state.pacer.set_share(share, now);
            if let Some(cold) = &mut state.cold {
                cold.set_share(Some(&members), *start, now);
            }
        }
        self.members = Some(members);
    }

    /// Merges the limits that a target stated. The latest rate applies, while draining is final. Returns whether this
    /// is a change to announce.
    pub fn merge(&mut self, notice: Notice, now: Timestamp) -> bool {
        let Notice { start, as_of, .. } = notice;
        let has_limits = notice.rate.is_some() || notice.is_draining;
        if !has_limits && !self.targets.contains_key(&start) {
            return false;
        }
        let state = self
            .targets
            .entry(start)
            .or_insert_with(|| State::new(as_of, notice.origin, now));
        let is_latest = state.is_superseded_by(&notice);
        let rate_changes = is_latest && state.rate != notice.rate;
        let starts_draining = notice.is_draining && state.draining_since.is_none();
        if is_latest {
            state.as_of = state.as_of.max(as_of);
            state.origin = notice.origin;
        }
        if rate_changes {
            state.rate = notice.rate;
            let members = self.members.as_ref();
            let share = notice
                .rate
                .and_then(|rate| Some(members?.share(Limit::announced(rate), start)));
            state.pacer.set_share(share.unwrap_or(Share::None), now);
        }
        if is_latest && notice.rate.is_some() {
            state.pacer.confirm(as_of);
        }
        if starts_draining {
            state.draining_since = Some(as_of);
        }
        let announce = starts_draining || (rate_changes && state.should_announce());
        if announce {
            self.position += 1;
            state.mark_announced(self.position);
        }
        announce
    }

    /// Returns whether a limit that a target has just confirmed is due to be announced again, and counts it as a change
    /// if so.
    pub fn reannounce_if_due(&mut self, start: StartId) -> bool {
        let Some(state) = self.targets.get_mut(&start) else {
            return false;
        };
        if state.rate.is_none() || state.as_of.since(state.announced_as_of) < CONFIRM_INTERVAL {
            return false;
        }
        self.position += 1;
        state.mark_announced(self.position);
        true
    }

    /// Records that a target requested a `backoff` from this entry, in addition to its other limits. Returns the end of
    /// the backoff if it is later than the known one.
    pub fn record_backoff(&mut self, start: StartId, backoff: Duration, now: Timestamp) -> Option<Timestamp> {
        let until = now + backoff.min(MAX_BACKOFF);
        let state = self
            .targets
            .entry(start)
            .or_insert_with(|| State::new(now, Origin::NONE, now));
        if state.backoff_until.is_some_and(|known| known >= until) {
            return None;
        }
        state.backoff_until = Some(until);
        Some(until)
    }

    /// Records that a target is cold until `until`, and handles `rate` from all entries together until then. A later
    /// end replaces an earlier one; the shares stay. An end that has passed states that the target is warm.
    pub fn record_cold(&mut self, start: StartId, rate: Rate, until: Timestamp, now: Timestamp) {
        if until <= now {
            if let Some(state) = self.targets.get_mut(&start) {
                state.cold = None;
            }
            return;
        }
        let state = self
            .targets
            .entry(start)
            .or_insert_with(|| State::new(now, Origin::NONE, now));
        if let Some(cold) = state.cold.as_mut().filter(|cold| now < cold.until) {
            cold.until = cold.until.max(until);
            return;
        }
        let mut cold = Cold {
            rate,
            until,
            pacer: Pacer::new(now),
        };
        cold.set_share(self.members.as_ref(), start, now);
        state.cold = Some(cold);
    }

    /// Drops the limits of targets that are no longer cold.
    pub fn expire_cold(&mut self, now: Timestamp) {
        for state in self.targets.values_mut() {
            state.cold.take_if(|cold| cold.until <= now);
        }
        self.targets.retain(|_, state| state.is_needed(now));
    }

    /// Returns whether this entry may send to a target now, and counts a request as sent if so.
    pub fn try_acquire(&mut self, start: StartId, now: Timestamp) -> bool {
        if self.availability(start, now) != Availability::Now {
            return false;
        }
        let Some(state) = self.targets.get_mut(&start) else {
            return true;
        };
        if let Some(cold) = state.cold.as_mut().filter(|cold| now < cold.until) {
            cold.pacer.try_acquire(now);
        }
        state.rate.is_none() || state.pacer.try_acquire(now)
    }

    /// Returns when a target accepts the next request.
    pub fn availability(&self, start: StartId, now: Timestamp) -> Availability {
        let Some(state) = self.targets.get(&start) else {
            return Availability::Now;
        };
        if state.draining_since.is_some() {
            return Availability::Never;
        }
        let next_by_others = |rate: Rate| now + Duration::from_secs_f64(1.0 / rate.per_second());
        let next_by_rate = state
            .rate
            .map(|rate| state.pacer.next_send().unwrap_or_else(|| next_by_others(rate)));
        let cold = state.cold.as_ref().filter(|cold| now < cold.until);
        let next_by_cold = cold.map(Cold::next_send);
        match next_by_rate.max(state.backoff_until).max(next_by_cold) {
            Some(opens_at) if opens_at > now => Availability::At(opens_at),
            _ => Availability::Now,
        }
    }

    /// Whether a target accepts requests from all entries together only at a limited rate, or none, leaving aside that
    /// it may be cold: a cold target has room for requests that other entries send.
    pub fn is_restricted(&self, start: StartId, now: Timestamp) -> bool {
        let is_cold = |state: &State| state.cold.as_ref().is_some_and(|cold| now < cold.until);
        let Some(state) = self.targets.get(&start) else {
            return false;
        };
        if is_cold(state) && state.rate.is_none() && state.draining_since.is_none() {
            return state.backoff_until.is_some_and(|until| until > now);
        }
        self.availability(start, now) != Availability::Now
    }

    /// When a target announced that it is draining; none if it has not.
    pub fn draining_since(&self, start: StartId) -> Option<Timestamp> {
        self.targets.get(&start)?.draining_since
    }

    /// Requests a second that a target accepts from all entries, if it has a limit.
    pub fn rate(&self, start: StartId) -> Option<Rate> {
        self.targets.get(&start)?.rate
    }

    /// Whether no target has limits.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Returns the targets that changed after position `since`, and the current position.
    pub fn changes_since(&self, since: u64) -> (Vec<Notice>, u64) {
        let changed = self.targets.iter().filter(|(_, state)| state.position > since);
        let notices = changed.map(|(start, state)| Notice {
            start: *start,
            rate: state.rate,
            is_draining: state.draining_since.is_some(),
            as_of: state.as_of,
            origin: state.origin,
        });
        (notices.collect(), self.position)
    }

    /// Drops the starts that `exists` rejects.
    pub fn retain(&mut self, exists: impl Fn(StartId) -> bool) {
        self.targets.retain(|start, _| exists(*start));
    }
}

impl State {
    /// Whether any limit may still matter.
    fn is_needed(&self, now: Timestamp) -> bool {
        let has_backoff = self.backoff_until.is_some_and(|until| until > now);
        // The end of an announced limit is remembered, so that a late notice of its beginning is recognized.
        self.position > 0 || self.rate.is_some() || self.draining_since.is_some() || has_backoff || self.cold.is_some()
    }

    /// Whether to announce the rate to the other entries. Each change is sent from every entry to every other one, and
    /// a target may state another rate in each response, so small changes are announced at intervals.
    fn should_announce(&self) -> bool {
        let (Some(rate), Some(announced)) = (self.rate, self.announced_rate) else {
            return true;
        };
        let is_urgent = rate.per_second() < announced.per_second() * URGENT_RATE_FRACTION;
        is_urgent || self.as_of.since(self.announced_as_of) >= CHANGE_INTERVAL
    }

    /// Whether a notice is at least as recent as this state. Notices of one reporter are ordered by their numbers,
    /// those of different reporters by their times.
    fn is_superseded_by(&self, notice: &Notice) -> bool {
        if self.origin == Origin::NONE {
            return true;
        }
        if notice.origin.reporter == self.origin.reporter {
            return notice.origin.sequence >= self.origin.sequence;
        }
        notice.as_of >= self.as_of
    }

    /// Marks the current rate as announced, as the change at `position`.
    fn mark_announced(&mut self, position: u64) {
        self.position = position;
        self.announced_rate = self.rate;
        self.announced_as_of = self.as_of;
    }

    fn new(as_of: Timestamp, origin: Origin, now: Timestamp) -> Self {
        Self {
            draining_since: None,
            backoff_until: None,
            rate: None,
            as_of,
            origin,
            announced_rate: None,
            announced_as_of: as_of,
            position: 0,
            pacer: Pacer::new(now),
            cold: None,
        }
    }
}
