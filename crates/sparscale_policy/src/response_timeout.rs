//! Decides when a target has been unresponsive for so long that its request is moved to another target.
//!
//! Load pattern: a box freezes for seconds. Requests sent to its target shortly before are not answered, their callers
//! give up after a few seconds without a response, and the target resumes with work that no caller waits for.
//!
//! A target that is only slow, or whose whole group is stalled, looks the same for a while; moving its requests would
//! send every request twice at peak load. So a target is abandoned only while other targets of its group make progress,
//! and its response time is compared with theirs. Targets without pending responses can't show progress, so it is also
//! abandoned while all others are idle: on a service with little traffic, a request at a frozen target would otherwise
//! wait until its deadline.

use std::time::Duration;

/// Fraction of the caller's timeout for which one target may be waited for; the remainder is left for another target.
const MAX_WAIT_FRACTION: f64 = 0.6;
/// Time since the last activity of a group within which it counts as active: several passes of a group under load.
const GROUP_ACTIVE_WINDOW: Duration = Duration::from_millis(350);

/// The part of a response that a target is expected to send next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponsePart {
    /// The first event of a stream.
    FirstEvent,
    /// The next event of a stream.
    NextEvent,
    /// A complete response that is not streamed.
    FullResponse,
}

impl ResponsePart {
    /// Name in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::FirstEvent => "first_event",
            Self::NextEvent => "next_event",
            Self::FullResponse => "answer",
        }
    }
}

/// What the group leader reports about a target's box.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// It responds to the leader.
    Responsive,
    /// It has stopped responding, unlike the other ranks of its group.
    Unresponsive,
    /// There is no recent or credible report.
    Unknown,
}

impl Health {
    /// Name in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Responsive => "alive",
            Self::Unresponsive => "silent",
            Self::Unknown => "unknown",
        }
    }
}

/// The observations that decide whether a target is abandoned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Evidence {
    /// The part of the response that is pending.
    pub response_part: ResponsePart,
    /// Time within which that part is on time.
    pub due_within: Duration,
    /// Mean time that this part took recently over all targets of the group or service; none without a sample.
    pub mean_time: Option<Duration>,
    /// What the group leader reports about the target's box.
    pub health: Health,
    /// Time since another target of the group or service responded, or since the group completed a pass.
    pub since_others_active: Option<Duration>,
    /// Whether no other target has a pending response to this entry, by which it could show progress.
    pub are_others_idle: bool,
    /// Time without a response after which the caller gives up.
    pub caller_timeout: Duration,
}

/// Factors of the timeout: it is a multiple of `due_within` or of the mean time, whichever is longer.
#[derive(Debug, Clone, Copy)]
struct TimeoutFactors {
    due_within: f64,
    mean: f64,
}

impl Evidence {
    /// Time without a response after which the target is abandoned; none if the request stays there as long as its
    /// caller waits.
    pub fn timeout(&self) -> Option<Duration> {
        let factors = self.factors();
        let mean = self.mean_time.unwrap_or(self.due_within.div_f64(2.0));
        let timeout = self
            .due_within
            .mul_f64(factors.due_within)
            .max(mean.mul_f64(factors.mean));
        (timeout <= self.caller_timeout.mul_f64(MAX_WAIT_FRACTION)).then_some(timeout)
    }

    /// Whether to abandon a target that has been unresponsive for `unresponsive_for`.
    pub fn should_abandon(&self, unresponsive_for: Duration) -> bool {
        let others_active = self
            .since_others_active
            .is_some_and(|elapsed| elapsed < GROUP_ACTIVE_WINDOW);
        (others_active || self.are_others_idle) && self.timeout().is_some_and(|timeout| unresponsive_for >= timeout)
    }

    /// The factors for this response and box. On a box that responds the target may still hang, so the factors are
    /// larger there but not infinite.
    fn factors(&self) -> TimeoutFactors {
        let (due_within, mean) = match (self.response_part, self.health) {
            (ResponsePart::FirstEvent, Health::Unresponsive) => (0.5, 2.0),
            (ResponsePart::NextEvent, Health::Unresponsive) => (2.0, 3.0),
            (ResponsePart::FirstEvent, _) => (1.5, 4.0),
            (ResponsePart::NextEvent, _) => (4.0, 6.0),
            (ResponsePart::FullResponse, _) => (1.0, 5.0),
        };
        TimeoutFactors { due_within, mean }
    }
}

/// Running mean of response times. A sample counts for at most a small multiple of the mean, so that a single very slow
/// response does not raise it much.
#[derive(Debug, Clone, Copy, Default)]
pub struct ResponseTimeMean(Option<Duration>);

impl ResponseTimeMean {
    /// Weight of the newest sample.
    const SAMPLE_WEIGHT: f64 = 0.1;
    /// Multiple of the mean at which a sample is capped.
    const MAX_SAMPLE_RATIO: u32 = 4;

    /// Adds a sample.
    pub fn record(&mut self, response_time: Duration) {
        let mean = self.0.unwrap_or(response_time);
        let capped = response_time.min(mean * Self::MAX_SAMPLE_RATIO);
        self.0 = Some(mean.mul_f64(1.0 - Self::SAMPLE_WEIGHT) + capped.mul_f64(Self::SAMPLE_WEIGHT));
    }

    /// The mean; none before the first sample.
    pub fn mean(&self) -> Option<Duration> {
        self.0
    }
}
