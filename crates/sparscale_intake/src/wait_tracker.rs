//! Tracks what a connection waits for, to enforce its timeouts.

use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use sparscale_catalog::Limits;
use tokio::time::Instant;

/// Added to the idle time that callers know, so that the entry never closes a connection that a caller may still use.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// What a connection currently waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Wait {
    /// The first byte of a request.
    Request = 0,
    /// The rest of a request head.
    Head = 1,
    /// The response of the entry.
    Response = 2,
}

/// Tracks what a connection waits for and since when, to enforce its timeouts.
#[derive(Debug)]
pub(crate) struct WaitTracker {
    wait: AtomicU8,
    since: Mutex<Instant>,
}

impl WaitTracker {
    /// The state of a new connection.
    pub(crate) fn new() -> Self {
        Self {
            wait: AtomicU8::new(Wait::Request as u8),
            since: Mutex::new(Instant::now()),
        }
    }

    /// Records what the connection waits for from now on.
    pub(crate) fn set(&self, wait: Wait) {
        self.wait.store(wait as u8, Ordering::Relaxed);
        *self.since.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
    }

    /// Records that bytes have arrived; returns whether they begin a head.
    pub(crate) fn record_bytes(&self) -> bool {
        let begins_head = self.is_waiting_for(Wait::Request);
        if begins_head {
            self.set(Wait::Head);
        }
        begins_head
    }

    pub(crate) fn is_waiting_for(&self, wait: Wait) -> bool {
        self.wait.load(Ordering::Relaxed) == wait as u8
    }

    /// When the current wait times out; none while the entry responds.
    pub(crate) fn deadline(&self, limits: &Limits) -> Option<Instant> {
        let since = *self.since.lock().unwrap_or_else(PoisonError::into_inner);
        match self.wait.load(Ordering::Relaxed) {
            wait if wait == Wait::Request as u8 => Some(since + limits.idle_timeout + IDLE_MARGIN),
            wait if wait == Wait::Head as u8 => Some(since + limits.header_timeout),
            _ => None,
        }
    }
}
