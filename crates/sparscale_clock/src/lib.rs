//! A monotonic clock that also counts the time during which the box is suspended.
//!
//! `CLOCK_MONOTONIC` and tokio's `Instant` do not advance while a box is suspended, so after a resume a revoked API key
//! would look freshly confirmed, and old spending from a budget would look recent. Ages, and time windows shared with
//! other processes, are therefore measured with a [`Clock`]; an `Instant` is only for timers.

use std::fmt;
use std::ops::Add;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// Longest time between two readings of `CLOCK_MONOTONIC` that enclose a valid reading of `CLOCK_BOOTTIME`. If they are
/// further apart, the process was paused in between, and the difference of the two clocks is not the suspended time.
const MAX_READ_GAP: Duration = Duration::from_millis(1);
/// Attempts to read both clocks within [`MAX_READ_GAP`].
const MAX_READ_ATTEMPTS: usize = 4;

/// A point in time on the clock of this process; not comparable between processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Timestamp(Duration);

impl Timestamp {
    /// Time elapsed since `earlier`; zero if `earlier` is later than `self`.
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// The timestamp `duration` before this one; `None` if that is earlier than the clock can represent.
    pub fn checked_sub(self, duration: Duration) -> Option<Self> {
        self.0.checked_sub(duration).map(Self)
    }
}

impl Add<Duration> for Timestamp {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        Self(self.0.saturating_add(rhs))
    }
}

/// A source of timestamps.
pub trait Clock: fmt::Debug + Send + Sync {
    /// The current time; never earlier than a previous result.
    fn now(&self) -> Timestamp;
}

/// The clock of the operating system, including suspended time.
#[derive(Debug)]
pub struct SystemClock {
    started_at: Instant,
    /// Total suspended time of the box when this clock was created.
    suspended_at_start: Duration,
}

impl Default for SystemClock {
    fn default() -> Self {
        Self {
            started_at: Instant::now(),
            suspended_at_start: total_suspended(),
        }
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Timestamp {
        let suspended = total_suspended().saturating_sub(self.suspended_at_start);
        // The two system clocks are read some microseconds apart: truncating to milliseconds keeps that jitter from
        // making time go backwards.
        let suspended = Duration::from_millis(suspended.as_millis() as u64);
        // The clock starts well above zero, so that ages can be subtracted from its timestamps.
        Timestamp(INITIAL_TIME + self.started_at.elapsed() + suspended)
    }
}

/// Time of a new clock: longer than any age that a process receives when it starts.
const INITIAL_TIME: Duration = Duration::from_hours(24 * 365);

/// A shared clock of the operating system, as processes use it.
pub fn system_clock() -> Arc<dyn Clock> {
    Arc::new(SystemClock::default())
}

/// Milliseconds since the Unix epoch (1970), for times that outlive the process or are compared between processes which
/// exchange no ages.
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

/// Time that the box has spent suspended since it booted; zero if the operating system does not provide it.
fn total_suspended() -> Duration {
    for _ in 0..MAX_READ_ATTEMPTS {
        let (monotonic_before, boottime, monotonic_after) = (
            read_clock(ClockId::CLOCK_MONOTONIC),
            read_clock(ClockId::CLOCK_BOOTTIME),
            read_clock(ClockId::CLOCK_MONOTONIC),
        );
        let (Some(monotonic_before), Some(boottime), Some(monotonic_after)) =
            (monotonic_before, boottime, monotonic_after)
        else {
            return Duration::ZERO;
        };
        if monotonic_after.saturating_sub(monotonic_before) < MAX_READ_GAP {
            return boottime.saturating_sub(monotonic_after);
        }
    }
    Duration::ZERO
}

fn read_clock(clock: ClockId) -> Option<Duration> {
    clock_gettime(clock).ok().map(Duration::from)
}
