//! How long the silence of a target is borne before its request goes elsewhere.
//!
//! Load pattern: boxes stand still for seconds. What was sent to such a target just before lies there unanswered, its caller
//! gives up after some seconds of silence, and the target is left with work for nobody as it wakes. A target that is
//! merely slow, or whose whole group waits, shows the same silence for a while; leaving those would send everything
//! twice when load is at its worst. So silence is held against a target only while others of its group go on, and against
//! what the others take. Others that owe nothing say nothing either: on a service that few ask, a request that meets a
//! target which stands still would wait to its deadline.

use std::time::Duration;

/// Part of the time that callers bear silence for which a target may be waited for: another one needs the rest.
const PATIENCE_PART: f64 = 0.6;
/// Time since the last sign of a group's life within which it counts as going on: several passes of a group under load.
const GOES_ON: Duration = Duration::from_millis(350);

/// What a target owes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Awaited {
    /// The first event of a stream.
    First,
    /// The next event of a stream.
    Next,
    /// A whole answer.
    Complete,
}

impl Awaited {
    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::First => "first_event",
            Self::Next => "next_event",
            Self::Complete => "answer",
        }
    }
}

/// What is told of a target's box.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// It speaks.
    Alive,
    /// It has said nothing lately, unlike the others of its group.
    Silent,
    /// Nobody tells.
    Unknown,
}

impl Health {
    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Silent => "silent",
            Self::Unknown => "unknown",
        }
    }
}

/// What the decision is made from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Evidence {
    /// What is waited for.
    pub awaited: Awaited,
    /// Time in which that is in time.
    pub allowed: Duration,
    /// Time that the same took lately with all targets of the group or service; none if there were none.
    pub usual: Option<Duration>,
    /// What is told of the target's box.
    pub health: Health,
    /// Time since another target of the group or service was heard, or its passes were seen to go on.
    pub others_heard: Option<Duration>,
    /// Whether no other target owes this entry anything that it could be heard by.
    pub others_idle: bool,
    /// Silence after which the caller gives up.
    pub given_up_after: Duration,
}

/// How much is borne: a part of what is in time, and a multiple of what is usual, whichever is longer.
#[derive(Debug, Clone, Copy)]
struct Limit {
    allowed: f64,
    usual: f64,
}

impl Evidence {
    /// Silence after which the target is left; none if it is waited for as long as the caller waits.
    pub fn limit(&self) -> Option<Duration> {
        let limit = self.factors();
        let usual = self.usual.unwrap_or(self.allowed.div_f64(2.0));
        let borne = self.allowed.mul_f64(limit.allowed).max(usual.mul_f64(limit.usual));
        (borne <= self.given_up_after.mul_f64(PATIENCE_PART)).then_some(borne)
    }

    /// Whether a target that has been silent for `silence` is to be left.
    pub fn leaves(&self, silence: Duration) -> bool {
        let others_go_on = self.others_heard.is_some_and(|heard| heard < GOES_ON);
        (others_go_on || self.others_idle) && self.limit().is_some_and(|limit| silence >= limit)
    }

    /// A box that speaks may still have a target that hangs, so only the limit is wider.
    fn factors(&self) -> Limit {
        let (allowed, usual) = match (self.awaited, self.health) {
            (Awaited::First, Health::Silent) => (0.5, 2.0),
            (Awaited::Next, Health::Silent) => (2.0, 3.0),
            (Awaited::First, _) => (1.5, 4.0),
            (Awaited::Next, _) => (4.0, 6.0),
            (Awaited::Complete, _) => (1.0, 5.0),
        };
        Limit { allowed, usual }
    }
}

/// Running mean of what targets take. One straggling answer counts for a few times the mean at most, so that it does not pass
/// for what is usual.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usual(Option<Duration>);

impl Usual {
    /// Weight of the newest value.
    const WEIGHT: f64 = 0.1;
    /// Multiple of the mean that one value may count for.
    const MOST: u32 = 4;

    /// Takes in one more.
    pub fn note(&mut self, took: Duration) {
        let mean = self.0.unwrap_or(took);
        let counted = took.min(mean * Self::MOST);
        self.0 = Some(mean.mul_f64(1.0 - Self::WEIGHT) + counted.mul_f64(Self::WEIGHT));
    }

    /// The mean; none before the first value.
    pub fn mean(&self) -> Option<Duration> {
        self.0
    }
}
