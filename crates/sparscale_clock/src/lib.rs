//! Time that goes on while the machine is suspended.
//!
//! The steady clock of the operating system stands still while a machine is suspended, and so do tokio's instants. What a
//! process believes about the world grows old all the same: a key that was taken away meanwhile would seem to have been
//! confirmed a moment ago, and what was spent from a budget long before would count as spent just now. So whatever is an
//! age, or counts in a window of time that others count in, too, is told by a [`Clock`]; instants are for timers.

use std::fmt;
use std::ops::Add;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// Two readings of the steady clock that lie further apart than this frame none of the other: the process was stopped in
/// between, and the difference of the two clocks is not what it was asleep.
const NEAR: Duration = Duration::from_millis(1);
/// Tries to read both clocks in one go.
const TRIES: usize = 4;

/// A point in time, by the clock of this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Moment(Duration);

impl Moment {
    /// Time since `earlier`; zero if that is later.
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// The moment `before` this one; none before the clock began.
    pub fn checked_sub(self, before: Duration) -> Option<Self> {
        self.0.checked_sub(before).map(Self)
    }
}

impl Add<Duration> for Moment {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        Self(self.0.saturating_add(rhs))
    }
}

/// Tells the time.
pub trait Clock: fmt::Debug + Send + Sync {
    /// Now. Never earlier than before.
    fn now(&self) -> Moment;
}

/// The clock of the machine.
#[derive(Debug)]
pub struct Machine {
    started: Instant,
    /// Time for which the machine had been suspended before this clock began.
    asleep: Duration,
}

impl Default for Machine {
    fn default() -> Self {
        Self {
            started: Instant::now(),
            asleep: asleep(),
        }
    }
}

impl Clock for Machine {
    fn now(&self) -> Moment {
        let asleep = asleep().saturating_sub(self.asleep);
        // What lies between the readings of two clocks, some microseconds, must not make time go back.
        let asleep = Duration::from_millis(asleep.as_millis() as u64);
        // A clock begins well after zero, so that ages can be taken off it.
        Moment(BEGINNING + self.started.elapsed() + asleep)
    }
}

/// What a clock says when it begins: longer than any age that is told at a process's start.
const BEGINNING: Duration = Duration::from_hours(24 * 365);

/// The machine's clock, for processes.
pub fn machine() -> Arc<dyn Clock> {
    Arc::new(Machine::default())
}

/// Milliseconds since 1970, for what outlives the process or is compared between processes that tell no age.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Time for which the machine was suspended since it started; nothing where it does not tell.
fn asleep() -> Duration {
    for _ in 0..TRIES {
        let (before, with_sleep, after) = (
            read(ClockId::CLOCK_MONOTONIC),
            read(ClockId::CLOCK_BOOTTIME),
            read(ClockId::CLOCK_MONOTONIC),
        );
        let (Some(before), Some(with_sleep), Some(after)) = (before, with_sleep, after) else {
            return Duration::ZERO;
        };
        if after.saturating_sub(before) < NEAR {
            return with_sleep.saturating_sub(after);
        }
    }
    Duration::ZERO
}

fn read(clock: ClockId) -> Option<Duration> {
    clock_gettime(clock).ok().map(Duration::from)
}
