//! The clock of a machine that tests suspend.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use sparscale_clock::{Clock, SystemClock, Timestamp};

/// A clock that goes on as the machine's does, and further by the time for which a test says that the machine was suspended.
#[derive(Debug, Default)]
pub struct Sleeper {
    machine: SystemClock,
    asleep: Mutex<Duration>,
}

impl Sleeper {
    /// The machine was suspended for so long, and has just woken.
    pub fn wake_after(&self, asleep: Duration) {
        *self.asleep.lock().unwrap_or_else(PoisonError::into_inner) += asleep;
    }
}

impl Clock for Sleeper {
    fn now(&self) -> Timestamp {
        self.machine.now() + *self.asleep.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
