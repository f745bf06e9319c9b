//! What a peer's message says in terms of this process's own clock.

use std::time::Duration;

use sparscale_clock::Moment;
use sparscale_wire::Echo;

/// Stamps of one side's clock, and the latest of the other side's.
#[derive(Debug)]
pub struct Stamps {
    started: Moment,
    theirs: Option<(u64, Moment)>,
}

impl Stamps {
    /// Stamps that count from `started`.
    pub fn new(started: Moment) -> Self {
        Self { started, theirs: None }
    }

    /// The stamp of now.
    pub fn stamp(&self, now: Moment) -> u64 {
        millis(now.since(self.started))
    }

    /// Notes a stamp of the other side.
    pub fn heard(&mut self, stamp_ms: u64, now: Moment) {
        if self.theirs.is_none_or(|(latest, _)| stamp_ms > latest) {
            self.theirs = Some((stamp_ms, now));
        }
    }

    /// The other side's latest stamp, to be sent back now.
    pub fn echo(&self, now: Moment) -> Option<Echo> {
        self.theirs.map(|(stamp_ms, heard)| Echo {
            stamp_ms,
            held_ms: millis(now.since(heard)),
        })
    }

    /// The earliest time at which a message with this echo can have been sent. The stamp left here before it arrived
    /// there, and the message left there when it had been held for as long as it says.
    pub fn sent(&self, echo: Echo) -> Moment {
        self.started + Duration::from_millis(echo.stamp_ms) + Duration::from_millis(echo.held_ms)
    }

    /// The time as of which something was known that was `age_ms` old when the message with this echo was sent.
    pub fn as_of(&self, echo: Echo, age_ms: u64) -> Option<Moment> {
        self.sent(echo).checked_sub(Duration::from_millis(age_ms))
    }
}

/// Whole milliseconds; what is cut off makes ages and holding times shorter by less than the margin of every bound.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
