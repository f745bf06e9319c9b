//! A clock on which tests simulate the suspension of a machine.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use sparscale_clock::{Clock, SystemClock, Timestamp};

/// Adds simulated suspended time to the system clock.
#[derive(Debug, Default)]
pub struct SuspendableClock {
    system_clock: SystemClock,
    suspended_time: Mutex<Duration>,
}

impl SuspendableClock {
    /// Advances the clock as if the machine had been suspended for `duration` and resumed just now.
    pub fn suspend_for(&self, duration: Duration) {
        *self.suspended_time.lock().unwrap_or_else(PoisonError::into_inner) += duration;
    }
}

impl Clock for SuspendableClock {
    fn now(&self) -> Timestamp {
        self.system_clock.now() + *self.suspended_time.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
