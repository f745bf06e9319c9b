//! How long callers wait.
//!
//! Load pattern: overload, in which a request that waits longer than its caller does is work for nobody.

use std::time::Duration;

/// Silence after which callers take a stream for dead: the longest of this, [`SILENT_OBJECTIVES`] and [`SILENT_PAUSES`].
const SILENCE: Duration = Duration::from_secs(2);
/// The same in latency objectives.
const SILENT_OBJECTIVES: u32 = 4;
/// The same in allowed pauses.
const SILENT_PAUSES: u32 = 8;
/// Part of that silence for which a request may wait: the rest is for its prompt.
const SILENT_PART: f64 = 0.6;

/// Silence after which callers take a stream for dead whose first event is due within `objective` and whose pauses may be
/// `pause` long.
pub fn longest_silence(objective: Duration, pause: Duration) -> Duration {
    SILENCE.max(objective * SILENT_OBJECTIVES).max(pause * SILENT_PAUSES)
}

/// How long a request may wait for room before its caller gives up.
pub fn longest_wait(objective: Duration, pause: Duration) -> Duration {
    longest_silence(objective, pause).mul_f64(SILENT_PART)
}
