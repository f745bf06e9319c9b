//! Decides how long requests and prompt parts are held back after targets terminated while running them.
//!
//! Load pattern: a request, or each request with a certain part in its prompt, crashes the target that begins to write a
//! response to it. Its caller sends it again, or other callers send other requests with the part, at any entry. Each
//! termination stops a group of ranks for seconds.
//!
//! A target may run a whole batch when it terminates, so a termination is evidence against all requests of the batch
//! and all their parts. Requests of different batches seldom coincide, but parts do: a caller's own part is in all its
//! requests. What separates it from the cause are complete responses, of which the cause never gets any.

use std::time::Duration;

use crate::millis;

/// Terminations under one request, or with one part that never received a complete response, after which it is held
/// back. A single one proves nothing. When a batch is retried elsewhere, hardly any request but the cause meets a
/// second termination. A group of ranks serves no requests for seconds after each, so the hold does not wait for a
/// third.
const SUSPECT_ENDS: usize = 2;
/// Terminations after which a request is certainly the cause.
const CONFIRMED_ENDS: usize = 3;
/// Hold of a request with [`SUSPECT_ENDS`] terminations, and of a part after its first ones; short, so that one that was
/// there by chance can run soon after.
const SUSPECT_HOLD: Duration = Duration::from_mins(1);
/// Hold of a request with [`CONFIRMED_ENDS`] terminations, and of a part after a termination that followed a hold: by
/// its end the caller or the targets have been fixed, or one more target crashes.
const CONFIRMED_HOLD: Duration = Duration::from_hours(24);
/// Hold after further terminations.
const REPEATED_HOLD: Duration = Duration::from_hours(30 * 24);
/// Time for which strikes below [`SUSPECT_ENDS`] terminations are kept.
const UNHELD_RETENTION: Duration = Duration::from_hours(1);
/// Complete responses since the last termination after which a request is not considered the cause. A request that many
/// callers send is running on most targets whenever one terminates; a request that crashes only some of its targets
/// rarely gets so many in a row.
const RESPONSES_TO_CLEAR_REQUEST: u32 = 8;
/// Separate occasions on which targets terminate, without a complete response in between, after which a part is held
/// back although it had received complete responses before: it may crash targets only since their software changed.
const FAMILIAR_OCCASIONS: usize = 3;
/// Terminations within this time belong to one occasion, such as the loss of a rack, and say little about the parts that
/// were on all of its targets.
const OCCASION_TIME: Duration = Duration::from_secs(1);

/// Interval at which a process sends requests with a part whose terminations another part explains as well, until one of
/// them is answered.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// What is known of a prompt part.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PartHistory {
    /// Times of the terminations that count against it, in ascending order, in milliseconds since 1970.
    pub end_times_ms: Vec<u64>,
    /// Whether a request with the part received a complete response before one of them.
    pub is_familiar: bool,
}

/// Time for which a request with `ends` terminations is held back after the last one; `suspect_ends` is the number from
/// which it is held, [`None`] for the usual one.
pub fn request_hold(ends: usize, suspect_ends: Option<usize>) -> Option<Duration> {
    match ends {
        ends if ends < suspect_ends.unwrap_or(SUSPECT_ENDS) => None,
        ..=SUSPECT_ENDS => Some(SUSPECT_HOLD),
        CONFIRMED_ENDS => Some(CONFIRMED_HOLD),
        _ => Some(REPEATED_HOLD),
    }
}

/// Time until which a part is held back, in milliseconds since 1970; none if it is not suspected.
///
/// The first hold is longer by `delay` of its length, 0 to 1, which differs between processes: they release a part one
/// after the other, so that few requests with it are under way when the next target terminates.
pub fn part_hold_deadline_ms(part: &PartHistory, delay: f64) -> Option<u64> {
    let last_end_ms = *part.end_times_ms.last()?;
    let is_suspect = if part.is_familiar {
        count_occasions(&part.end_times_ms, OCCASION_TIME) >= FAMILIAR_OCCASIONS
    } else {
        part.end_times_ms.len() >= SUSPECT_ENDS
    };
    if !is_suspect {
        return None;
    }
    let hold = match count_occasions(&part.end_times_ms, SUSPECT_HOLD) {
        1 => SUSPECT_HOLD.mul_f64(1.0 + delay),
        2 => CONFIRMED_HOLD,
        _ => REPEATED_HOLD,
    };
    Some(last_end_ms.saturating_add(millis(hold)))
}

/// Whether a part that never received a complete response explains terminations of familiar parts.
pub fn is_explanation(part: &PartHistory) -> bool {
    !part.is_familiar && part.end_times_ms.len() >= SUSPECT_ENDS
}

/// Whether `responses` complete responses since the last of `ends` terminations clear a request.
pub fn clears_request(responses: u32, ends: usize) -> bool {
    ends > 0 && responses >= RESPONSES_TO_CLEAR_REQUEST
}

/// Whether `responses` complete responses since the last of `ends` terminations clear a part, which crashes each target
/// if it is the cause.
pub fn clears_part(responses: u32, ends: usize) -> bool {
    ends > 0 && responses as usize >= ends
}

/// Time for which a request or part with `ends` terminations is kept after the last one.
pub(crate) fn retention(ends: usize) -> Duration {
    match ends {
        0..SUSPECT_ENDS => UNHELD_RETENTION,
        SUSPECT_ENDS => CONFIRMED_HOLD,
        _ => REPEATED_HOLD + UNHELD_RETENTION,
    }
}

/// Number of groups of times in which each is less than `gap` after the one before it.
fn count_occasions(times_ms: &[u64], gap: Duration) -> usize {
    let gaps = times_ms
        .windows(2)
        .filter(|pair| pair[1].saturating_sub(pair[0]) >= millis(gap));
    usize::from(!times_ms.is_empty()) + gaps.count()
}
