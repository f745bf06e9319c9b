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

/// Complete responses to requests with one part after which a process marks the part as sound, for processes that start
/// later: it is in many requests then, which a hold would all keep back.
const RESPONSES_TO_MARK: u32 = 8;
/// Most parts that are marked as sound.
const MAX_MARKED_PARTS: usize = 64;
/// Period in which a part is marked at most once.
const MARK_PERIOD: Duration = Duration::from_hours(6);
/// Time for which a mark is kept.
pub(crate) const MARK_RETENTION: Duration = Duration::from_hours(24);
/// Mean time between two marks of all processes together, and the number of processes above which it grows: each mark
/// is announced by all processes to all.
const MARK_INTERVAL: Duration = Duration::from_secs(1);
const MARK_INTERVAL_PROCESSES: usize = 20;

/// Interval at which a process sends requests with a part whose terminations another part explains as well, until one of
/// them is answered.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Time after the last termination until a request is let through that shows whether a held part is the cause, if the
/// request has no other suspected part. By then all processes know the strikes, and a group of ranks has usually formed
/// again. Requests with more suspected parts wait longer, as their result says less.
const TRIAL_DELAY: Duration = Duration::from_secs(4);
/// Occasions on which targets terminated in a trial, after which no further one is made before the end of the hold.
const MAX_FAILED_TRIALS: usize = 2;
/// Mean time between two trials of all processes together.
const TRIAL_INTERVAL: Duration = Duration::from_secs(1);

/// One termination under a held part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct End {
    /// Time of the termination, in milliseconds since 1970.
    pub at_ms: u64,
    /// Whether it occurred when requests with the part were already held, so that a trial failed.
    pub is_late: bool,
    /// Whether another part may explain it that is not in the request which is decided on.
    pub is_explained: bool,
}

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

/// Whether a part with `responses` complete responses is marked as sound while `marked_parts` parts are.
pub fn should_mark(responses: u32, marked_parts: usize) -> bool {
    responses >= RESPONSES_TO_MARK && marked_parts < MAX_MARKED_PARTS
}

/// Number of the period in which a mark made at `now_ms` is valid.
pub(crate) fn mark_period(now_ms: u64) -> u64 {
    now_ms / millis(MARK_PERIOD)
}

/// Shortest time between two marks of one of `processes` processes.
pub fn mark_interval(processes: usize) -> Duration {
    let processes = processes.max(1);
    let factor = processes * processes.div_ceil(MARK_INTERVAL_PROCESSES);
    MARK_INTERVAL.saturating_mul(u32::try_from(factor).unwrap_or(u32::MAX))
}

/// Interval at which each of `processes` processes makes trials: together they make about one per [`TRIAL_INTERVAL`].
pub fn trial_interval(processes: usize) -> Duration {
    let processes = u32::try_from(processes).unwrap_or(u32::MAX).max(1);
    TRIAL_INTERVAL.saturating_mul(processes)
}

/// Time from which a process lets single requests with a held part through, in milliseconds since 1970; none if it waits
/// for the deadline of the hold. `ends` are the terminations under the part in ascending order of time,
/// `other_suspects` counts the other suspected parts of the request, and `delay` is as for [`part_hold_deadline_ms`].
///
/// Load pattern: a part is in all requests of a workspace or a route, so it is in the batch of each target that
/// terminates, whatever the cause. While no process knows it as sound, for instance after all have restarted, two
/// terminations hold all these requests. Only a response to one of them shows that they are sound.
pub fn trial_start_ms(ends: &[End], other_suspects: usize, delay: f64, processes: usize) -> Option<u64> {
    let last_end_ms = ends.last()?.at_ms;
    let occasions_of = |is_counted: fn(&End) -> bool, gap| {
        let counted = ends.iter().filter(|end| is_counted(end));
        count_occasions(&counted.map(|end| end.at_ms).collect::<Vec<u64>>(), gap)
    };
    let failed_trials = occasions_of(|end| end.is_late && !end.is_explained, OCCASION_TIME);
    if failed_trials >= MAX_FAILED_TRIALS || occasions_of(|end| !end.is_explained, SUSPECT_HOLD) > 1 {
        return None;
    }
    let factor = (1 + other_suspects) * (1 + failed_trials);
    let wait = TRIAL_DELAY.saturating_mul(u32::try_from(factor).unwrap_or(u32::MAX));
    let wait = wait + trial_interval(processes).mul_f64(delay);
    Some(last_end_ms.saturating_add(millis(wait)))
}

/// Time from which a part is held, in milliseconds since 1970; none if it is not.
pub fn held_from_ms(part: &PartHistory) -> Option<u64> {
    if part.is_familiar {
        let occasions = occasions(&part.end_times_ms, OCCASION_TIME);
        return occasions.get(FAMILIAR_OCCASIONS - 1).copied();
    }
    part.end_times_ms.get(SUSPECT_ENDS - 1).copied()
}

/// Whether a termination at `at_ms` under a part that is held from `held_from_ms` on counts as a failed trial.
pub fn is_late(at_ms: u64, held_from_ms: u64) -> bool {
    at_ms >= held_from_ms.saturating_add(millis(TRIAL_DELAY))
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

/// Whether `responses` complete responses to probes clear a held part with `ends` terminations.
pub fn clears_probed_part(responses: u32, ends: usize) -> bool {
    ends > 0 && responses > 0
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
    occasions(times_ms, gap).len()
}

/// The first times of these groups.
fn occasions(times_ms: &[u64], gap: Duration) -> Vec<u64> {
    let is_first = |index: &usize| match index.checked_sub(1) {
        Some(previous) => times_ms[*index].saturating_sub(times_ms[previous]) >= millis(gap),
        None => true,
    };
    let firsts = (0..times_ms.len()).filter(is_first);
    firsts.map(|index| times_ms[index]).collect()
}
