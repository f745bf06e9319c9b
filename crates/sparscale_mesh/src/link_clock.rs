//! Converts the ages in a peer's messages to timestamps of this process.
//!
//! The clocks of two processes are not synchronized, so each message echoes the latest stamp that its sender received.
//! That bounds from below when the message was sent, and an age is never taken for shorter than it is.

use std::time::Duration;

use sparscale_clock::Timestamp;
use sparscale_wire::observation::Echo;

/// Stamps that one side of a link has sent and received.
#[derive(Debug)]
pub struct Clock {
    started_at: Timestamp,
    latest_received: Option<(u64, Timestamp)>,
}

impl Clock {
    /// A clock whose stamps count milliseconds from `started_at`.
    pub fn new(started_at: Timestamp) -> Self {
        Self {
            started_at,
            latest_received: None,
        }
    }

    /// The stamp of a message that is sent at `now`.
    pub fn stamp(&self, now: Timestamp) -> u64 {
        millis(now.since(self.started_at))
    }

    /// Records a stamp of the peer that was received at `now`.
    pub fn record_received(&mut self, stamp_ms: u64, now: Timestamp) {
        if self.latest_received.is_none_or(|(latest_ms, _)| stamp_ms > latest_ms) {
            self.latest_received = Some((stamp_ms, now));
        }
    }

    /// The peer's latest stamp, for a message that is sent at `now`.
    pub fn echo(&self, now: Timestamp) -> Option<Echo> {
        self.latest_received.map(|(stamp_ms, received_at)| Echo {
            clock_ms: stamp_ms,
            echo_delay_ms: millis(now.since(received_at)),
        })
    }

    /// The earliest time at which a message with this echo can have been sent: the stamp left this process before the
    /// peer received it, and the peer sent the message after it had held the stamp for the time in the echo.
    pub fn earliest_sent_at(&self, echo: Echo) -> Timestamp {
        self.started_at + Duration::from_millis(echo.clock_ms) + Duration::from_millis(echo.echo_delay_ms)
    }

    /// The time at which an observation was current that was `age_ms` old when the message with this echo was sent.
    pub fn as_of(&self, echo: Echo, age_ms: u64) -> Option<Timestamp> {
        self.earliest_sent_at(echo).checked_sub(Duration::from_millis(age_ms))
    }
}

/// Whole milliseconds, rounded down; the error in ages and holding times is smaller than the margin of every bound.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
