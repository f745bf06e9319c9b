//! What targets ask of those that send to them, by start of a target.
//!
//! Load pattern: a target in need says so in its answers, and each path that sends (a first try, a repeat, a resumed
//! stream, a move away from a slow or silent target) meets it independently. All of them ask this register.

use std::collections::HashMap;
use std::time::Duration;

use sparscale_catalog::Start;
use sparscale_clock::Moment;

use crate::rate_limit::{Members, Pacer, Rate, Share};

/// Longest rest that is granted. A target that asks for more is tried again after it.
const MAX_REST: Duration = Duration::from_mins(10);

/// Time between two tellings of a limit that goes on: well inside the time after which it may have ended.
const CONFIRM_PAUSE: Duration = Duration::from_secs(3);

/// Time between two tellings of rates that differ.
const CHANGE_PAUSE: Duration = Duration::from_secs(1);
/// Part of the rate that was told below which a lower one is told at once.
const TOLD_FALL: f64 = 0.8;

/// What one target asks, and what this entry may send to it.
#[derive(Debug)]
struct State {
    /// Whether the target has said that it leaves. It does not come back in the same start.
    leaving: bool,
    /// Until when the target wants nothing from this entry.
    rests_until: Option<Moment>,
    rate: Option<Rate>,
    /// When the target said so.
    as_of: Moment,
    /// The rate that others were told, and when the target had named it.
    told_rate: Option<Rate>,
    told_as_of: Moment,
    /// When this entry learnt of it, among all that it learnt.
    position: u64,
    pacer: Pacer,
}

/// What a target asks, as entries tell each other.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Notice {
    /// The start of the target that asks it.
    pub start: Start,
    /// Requests a second that it takes from all entries; none if it limits them no longer.
    pub rate: Option<Rate>,
    /// Whether it leaves.
    pub leaving: bool,
    /// When it said so.
    pub as_of: Moment,
}

/// When a target takes the next request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Opening {
    /// Now, and from this entry.
    Now,
    /// At a time, from this entry or from another one that holds a share.
    At(Moment),
    /// Never: it leaves.
    Never,
}

/// What all targets ask.
#[derive(Debug, Default)]
pub struct Register {
    targets: HashMap<Start, State>,
    /// Who shares; none before that is known.
    members: Option<Members>,
    learnt: u64,
}

impl Register {
    /// Divides shares among `members` from now on.
    pub fn set_members(&mut self, members: Members, now: Moment) {
        for (start, state) in &mut self.targets {
            let share = state.rate.map_or(Share::None, |rate| members.share(rate, *start));
            state.pacer.set_share(share, now);
        }
        self.members = Some(members);
    }

    /// Takes in what a target said. Of a limit, the latest word counts; that it leaves counts for good. Tells whether it is
    /// news.
    pub fn note(&mut self, notice: Notice, now: Moment) -> bool {
        let Notice { start, as_of, .. } = notice;
        let asks = notice.rate.is_some() || notice.leaving;
        if !asks && !self.targets.contains_key(&start) {
            return false;
        }
        let state = self.targets.entry(start).or_insert_with(|| State::new(as_of, now));
        let is_later = as_of >= state.as_of;
        let limits = is_later && state.rate != notice.rate;
        let leaves = notice.leaving && !state.leaving;
        if is_later {
            state.as_of = as_of;
        }
        if limits {
            state.rate = notice.rate;
            let members = self.members.as_ref();
            let share = notice.rate.and_then(|rate| Some(members?.share(rate, start)));
            state.pacer.set_share(share.unwrap_or(Share::None), now);
        }
        if is_later && notice.rate.is_some() {
            state.pacer.confirm(as_of);
        }
        state.leaving |= leaves;
        let news = leaves || (limits && state.is_worth_telling());
        if news {
            self.learnt += 1;
            state.tell(self.learnt);
        }
        news
    }

    /// Whether a limit that a target has just confirmed is to be told again; if so, it counts as news.
    pub fn confirm(&mut self, start: Start) -> bool {
        let Some(state) = self.targets.get_mut(&start) else {
            return false;
        };
        if state.rate.is_none() || state.as_of.since(state.told_as_of) < CONFIRM_PAUSE {
            return false;
        }
        self.learnt += 1;
        state.tell(self.learnt);
        true
    }

    /// Notes that a target wants nothing from this entry for `rest`. Whatever it asked for before holds as well. Tells until
    /// when it rests, if that is later than known.
    pub fn rest(&mut self, start: Start, rest: Duration, now: Moment) -> Option<Moment> {
        let until = now + rest.min(MAX_REST);
        let state = self.targets.entry(start).or_insert_with(|| State::new(now, now));
        if state.rests_until.is_some_and(|known| known >= until) {
            return None;
        }
        state.rests_until = Some(until);
        Some(until)
    }

    /// Whether this entry may send to a target now; if so, a request counts as sent.
    pub fn take(&mut self, start: Start, now: Moment) -> bool {
        if self.opening(start, now) != Opening::Now {
            return false;
        }
        match self.targets.get_mut(&start) {
            Some(state) if state.rate.is_some() => state.pacer.take(now),
            _ => true,
        }
    }

    /// When a target takes the next request.
    pub fn opening(&self, start: Start, now: Moment) -> Opening {
        let Some(state) = self.targets.get(&start) else {
            return Opening::Now;
        };
        if state.leaving {
            return Opening::Never;
        }
        let elsewhere = |rate: Rate| now + Duration::from_secs_f64(1.0 / rate.per_second());
        let next = state
            .rate
            .map(|rate| state.pacer.next().unwrap_or_else(|| elsewhere(rate)));
        match next.max(state.rests_until) {
            Some(opens_at) if opens_at > now => Opening::At(opens_at),
            _ => Opening::Now,
        }
    }

    /// Requests a second that a target takes from all entries, if it limits them.
    pub fn rate(&self, start: Start) -> Option<Rate> {
        self.targets.get(&start)?.rate
    }

    /// Whether no target asks anything.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// What was learnt after position `since`, and the position now.
    pub fn news(&self, since: u64) -> (Vec<Notice>, u64) {
        let new = self.targets.iter().filter(|(_, state)| state.position > since);
        let notices = new.map(|(start, state)| Notice {
            start: *start,
            rate: state.rate,
            leaving: state.leaving,
            as_of: state.as_of,
        });
        (notices.collect(), self.learnt)
    }

    /// Forgets starts that `is_there` does not know.
    pub fn retain(&mut self, is_there: impl Fn(Start) -> bool) {
        self.targets.retain(|start, _| is_there(*start));
    }
}

impl State {
    /// Whether others are to hear of the rate: each change goes from each entry to each, and a target may name another
    /// rate in every answer.
    fn is_worth_telling(&self) -> bool {
        let (Some(rate), Some(told)) = (self.rate, self.told_rate) else {
            return true;
        };
        let falls = rate.per_second() < told.per_second() * TOLD_FALL;
        falls || self.as_of.since(self.told_as_of) >= CHANGE_PAUSE
    }

    /// Counts what is known as told, as news number `position`.
    fn tell(&mut self, position: u64) {
        self.position = position;
        self.told_rate = self.rate;
        self.told_as_of = self.as_of;
    }

    fn new(as_of: Moment, now: Moment) -> Self {
        Self {
            leaving: false,
            rests_until: None,
            rate: None,
            as_of,
            told_rate: None,
            told_as_of: as_of,
            position: 0,
            pacer: Pacer::new(now),
        }
    }
}
