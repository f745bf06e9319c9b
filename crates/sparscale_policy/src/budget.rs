//! The retry budget: limits every send of a request after its first. All entries share the budget, and none of them can
//! count it alone.
//!
//! Load pattern: targets fail, or all processes restart, while callers keep sending. Each retry of an entry adds to the
//! load of the remaining targets.
//!
//! In any window, the retries of all entries together are at most `ratio` times the requests of that window or of the
//! previous one, whichever are more, plus a slack. An entry pays for a retry from one of two sources:
//!
//! - *Credit.* Each request earns [`EARNED_FRACTION`] of `ratio`. The credit that an entry holds never exceeds the
//!   remainder of `ratio` times the requests of its last window. So all entries together pay for at most
//!   `ratio` · ((1 − `EARNED_FRACTION`) · requests of the previous window + `EARNED_FRACTION` · requests of the window)
//!   from credit, whichever entries know of each other and however often processes restart: a new process holds no
//!   credit.
//! - *Its share of the slack*, once in each window. Only a process that is older than a window gets it, so that the
//!   retries of its predecessor lie outside the window, and only while it receives reports from most of the entries
//!   that it knows of.

use std::collections::VecDeque;
use std::time::Duration;

use sparscale_clock::Timestamp;

/// Fraction of the ratio that requests earn one by one; the remainder limits the credit that may be held for a burst.
/// One half for each suits a group that stops and opens again: all its streams are resumed at once.
const EARNED_FRACTION: f64 = 0.5;
/// Credit that an entry without a share of the slack may hold in any case; otherwise an entry with few requests could
/// never retry. It is taken from the part of the slack that is not shared.
const MIN_CREDIT_LIMIT: f64 = 1.0;
/// Fraction of the slack that entries share. The remainder covers retries that arrive late and a network partition: if
/// most entries on one side have started during it, each side takes itself for the whole.
const SHARED_FRACTION: f64 = 0.5;
/// Longest time that a send can take to arrive; the connection is then given up.
pub const MAX_SEND_DELAY: Duration = Duration::from_millis(2_500);
/// Number of buckets of a window; the events of a bucket are counted together.
const BUCKETS_PER_WINDOW: u32 = 20;

/// Limits of the budget over all entries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    /// Retries allowed for each request.
    pub ratio: f64,
    /// Retries allowed in addition.
    pub slack: f64,
    /// Window over which both are counted.
    pub window: Duration,
}

impl Allowance {
    /// Retries that one of `sharers` entries may pay for from the slack in a window; 0 if their number is unknown.
    pub fn slack_share(&self, sharers: Option<usize>) -> f64 {
        sharers.map_or(0.0, |sharers| self.slack * SHARED_FRACTION / sharers.max(1) as f64)
    }
}

/// The source that pays for a retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// Credit earned by requests.
    Credit,
    /// This entry's share of the slack.
    Slack,
}

impl Source {
    /// Name in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Credit => "credit",
            Self::Slack => "slack",
        }
    }
}

/// The result of a request for a retry, with the values that decided it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SpendOutcome {
    /// The source that pays for the retry; none if it is denied.
    pub source: Option<Source>,
    /// Requests in the last window.
    pub requests: u32,
    /// Credit before this retry.
    pub credit: f64,
    /// Retries paid for from the slack in the last window, without this one.
    pub slack_used: u32,
}

/// Counts recent events in buckets.
#[derive(Debug)]
struct BucketCounter {
    /// Start and number of events of each bucket.
    buckets: VecDeque<(Timestamp, u32)>,
    bucket_length: Duration,
    /// Time after the start of a bucket at which it is dropped.
    retention: Duration,
    total: u32,
}

impl BucketCounter {
    fn new(bucket_length: Duration, retention: Duration) -> Self {
        Self {
            buckets: VecDeque::new(),
            bucket_length,
            retention,
            total: 0,
        }
    }

    fn add(&mut self, now: Timestamp) {
        self.total += 1;
        match self.buckets.back_mut() {
            Some((start, count)) if now < *start + self.bucket_length => *count += 1,
            _ => self.buckets.push_back((now, 1)),
        }
    }

    fn total(&mut self, now: Timestamp) -> u32 {
        while let Some((_, count)) = self.buckets.pop_front_if(|(start, _)| *start + self.retention <= now) {
            self.total -= count;
        }
        self.total
    }
}

/// One entry's part of the retry budget of one service.
#[derive(Debug)]
pub struct Budget {
    allowance: Allowance,
    /// When the process is older than a window and no send of its predecessor can still arrive.
    slack_available_at: Timestamp,
    /// Requests of the last window; a bucket is dropped too early rather than too late.
    requests: BucketCounter,
    /// Retries paid for from the slack; dropped when none of them can arrive in the same window as the next one.
    slack_used: BucketCounter,
    credit: f64,
}

impl Budget {
    /// Creates the part of the budget for a process that started at `started`.
    pub fn new(allowance: Allowance, started: Timestamp) -> Self {
        let window = allowance.window;
        let bucket_length = window / BUCKETS_PER_WINDOW;
        Self {
            allowance,
            slack_available_at: started + window + MAX_SEND_DELAY,
            requests: BucketCounter::new(bucket_length, window),
            slack_used: BucketCounter::new(bucket_length, window + bucket_length + MAX_SEND_DELAY),
            credit: 0.0,
        }
    }

    /// Counts a request, which earns credit.
    pub fn record_request(&mut self, now: Timestamp) {
        self.requests.add(now);
        self.credit += self.allowance.ratio * EARNED_FRACTION;
        self.limit_credit(MIN_CREDIT_LIMIT, now);
    }

    /// Asks for a retry and pays for it if it is allowed; `share` is this entry's share of the slack in a window.
    pub fn try_spend(&mut self, share: f64, now: Timestamp) -> SpendOutcome {
        let share = if now < self.slack_available_at { 0.0 } else { share };
        let min_limit = if share < 1.0 { MIN_CREDIT_LIMIT } else { 0.0 };
        let requests = self.limit_credit(min_limit, now);
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
        SpendOutcome {
            source,
            requests,
            credit,
            slack_used,
        }
    }

    /// Drops credit beyond the limit, which is at least `min_limit`. Returns the requests of the last window.
    fn limit_credit(&mut self, min_limit: f64, now: Timestamp) -> u32 {
        let requests = self.requests.total(now);
        let limit = self.allowance.ratio * (1.0 - EARNED_FRACTION) * f64::from(requests);
        self.credit = self.credit.min(limit.max(min_limit));
        requests
    }
}
