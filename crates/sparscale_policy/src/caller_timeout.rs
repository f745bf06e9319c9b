//! How long callers wait before they give up.
//!
//! Load pattern: overload, in which a request that waits longer than its caller does is work whose result no caller
//! receives.

use std::time::Duration;

/// Minimum time without an event after which callers treat a stream as dead. The timeout is the longest of this,
/// [`TIMEOUT_OBJECTIVES`] and [`TIMEOUT_PAUSES`].
const MIN_STREAM_TIMEOUT: Duration = Duration::from_secs(2);
/// The same as a multiple of the latency objective.
const TIMEOUT_OBJECTIVES: u32 = 4;
/// The same as a multiple of the longest allowed pause between events.
const TIMEOUT_PAUSES: u32 = 8;
/// Fraction of that timeout for which a request may wait for admission; the remainder is for processing its prompt.
const MAX_WAIT_FRACTION: f64 = 0.6;

/// Time without an event after which callers treat a stream as dead, if its first event is due within `objective` and
/// the pauses between its events may be as long as `max_pause`.
pub fn stream_timeout(objective: Duration, max_pause: Duration) -> Duration {
    MIN_STREAM_TIMEOUT
        .max(objective * TIMEOUT_OBJECTIVES)
        .max(max_pause * TIMEOUT_PAUSES)
}

/// How long a request may wait for admission before its caller gives up.
pub fn max_admission_wait(objective: Duration, max_pause: Duration) -> Duration {
    stream_timeout(objective, max_pause).mul_f64(MAX_WAIT_FRACTION)
}
