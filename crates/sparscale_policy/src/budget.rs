//! The budget for sends beyond the first of each request. All entries share it, and none can count it alone.
//!
//! Load pattern: targets fail, or all processes start again, while callers go on. Whatever each entry sends once more adds to the
//! load of the targets that are left.
//!
//! In any window the sends beyond the first of all entries together stay within `ratio` times the requests of that window
//! or of the one before it, whichever are more, and a slack. An entry pays for such a send from one of two sources:
//!
//! - *Credit.* Each request earns [`EARNED`] of `ratio`. What an entry holds of it never exceeds the rest of `ratio` times
//!   the requests of its last window. So the sends that all entries pay for from credit in a window are at most
//!   `ratio` · ((1 − `EARNED`) · requests of the window before + `EARNED` · requests of the window), whoever knows of whom
//!   and however often processes start again: a new process holds nothing.
//! - *Its share of the slack*, once in a window. It is given only to a process that is older than a window, so that what its
//!   predecessor spent lies outside of it, and that hears most of the entries it knows of.

use std::collections::VecDeque;
use std::time::Duration;

use sparscale_clock::Moment;

/// Part of what requests allow that they earn one by one; the rest may be held for a burst. A half of each serves a group
/// that stops and opens again: all its streams go on at once.
const EARNED: f64 = 0.5;
/// Credit that an entry without a share of the slack may hold in any case, else one with few requests could never send one
/// again. It comes out of the part of the slack that is not shared.
const LEAST_HELD: f64 = 1.0;
/// Part of the slack that entries share. The rest is for sends that arrive late, and for a network that is split: if most
/// entries of one part start anew, both parts take themselves for all.
const SHARED: f64 = 0.5;
/// Time that a send may be on its way: after it its connection is given up.
pub const LATE: Duration = Duration::from_millis(2_500);
/// Pieces of the window that are counted together.
const PIECES: u32 = 20;

/// Bounds of the budget, over all entries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    /// Sends beyond the first for each request.
    pub ratio: f64,
    /// Sends beyond the first that are allowed besides.
    pub slack: f64,
    /// Span over which both are counted.
    pub window: Duration,
}

impl Allowance {
    /// Sends that one of `sharers` entries may pay for from the slack in a window; none if their number is not known.
    pub fn share(&self, sharers: Option<usize>) -> f64 {
        sharers.map_or(0.0, |sharers| self.slack * SHARED / sharers.max(1) as f64)
    }
}

/// What pays for a send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// What requests earned.
    Credit,
    /// This entry's share of the slack.
    Slack,
}

impl Source {
    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Credit => "credit",
            Self::Slack => "slack",
        }
    }
}

/// What came of asking for one more send, and the figures that decided it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Verdict {
    /// What pays for it; none if it may not be sent.
    pub source: Option<Source>,
    /// Requests in the last window.
    pub requests: u32,
    /// Credit before this send.
    pub credit: f64,
    /// Sends that the slack paid for in the last window, without this one.
    pub slack_used: u32,
}

/// Events of the last while, counted in pieces.
#[derive(Debug)]
struct Count {
    pieces: VecDeque<(Moment, u32)>,
    /// Length of a piece.
    length: Duration,
    /// Time after the beginning of a piece at which it is dropped.
    keep: Duration,
    total: u32,
}

impl Count {
    fn new(length: Duration, keep: Duration) -> Self {
        Self {
            pieces: VecDeque::new(),
            length,
            keep,
            total: 0,
        }
    }

    fn add(&mut self, now: Moment) {
        self.total += 1;
        match self.pieces.back_mut() {
            Some((began, count)) if now < *began + self.length => *count += 1,
            _ => self.pieces.push_back((now, 1)),
        }
    }

    fn total(&mut self, now: Moment) -> u32 {
        while let Some((_, count)) = self.pieces.pop_front_if(|(began, _)| *began + self.keep <= now) {
            self.total -= count;
        }
        self.total
    }
}

/// This entry's part of the budget of one service.
#[derive(Debug)]
pub struct Budget {
    allowance: Allowance,
    /// When the process is older than a window, and nothing that its predecessor sent is on its way any more.
    slack_from: Moment,
    /// Requests of the last window; forgotten a piece too early rather than too late.
    requests: Count,
    /// Sends that the slack paid for; forgotten when none of them can arrive in a window with the next one.
    slack_used: Count,
    credit: f64,
}

impl Budget {
    /// The part of a process that started at `started`.
    pub fn new(allowance: Allowance, started: Moment) -> Self {
        let window = allowance.window;
        let length = window / PIECES;
        Self {
            allowance,
            slack_from: started + window + LATE,
            requests: Count::new(length, window),
            slack_used: Count::new(length, window + length + LATE),
            credit: 0.0,
        }
    }

    /// Counts a request.
    pub fn earn(&mut self, now: Moment) {
        self.requests.add(now);
        self.credit += self.allowance.ratio * EARNED;
        self.limit(LEAST_HELD, now);
    }

    /// Asks for one more send beyond the first; `share` is what this entry may take of the slack in a window.
    pub fn spend(&mut self, share: f64, now: Moment) -> Verdict {
        let share = if now < self.slack_from { 0.0 } else { share };
        let least = if share < 1.0 { LEAST_HELD } else { 0.0 };
        let requests = self.limit(least, now);
        let credit = self.credit;
        let slack_used = self.slack_used.total(now);
        let source = if credit >= 1.0 {
            Some(Source::Credit)
        } else if f64::from(slack_used) + 1.0 <= share {
            Some(Source::Slack)
        } else {
            None
        };
        match source {
            Some(Source::Credit) => self.credit -= 1.0,
            Some(Source::Slack) => self.slack_used.add(now),
            None => {}
        }
        Verdict {
            source,
            requests,
            credit,
            slack_used,
        }
    }

    /// Drops credit beyond what may be held, which is `least` in any case; tells the requests of the last window.
    fn limit(&mut self, least: f64, now: Moment) -> u32 {
        let requests = self.requests.total(now);
        let held = self.allowance.ratio * (1.0 - EARNED) * f64::from(requests);
        self.credit = self.credit.min(held.max(least));
        requests
    }
}
