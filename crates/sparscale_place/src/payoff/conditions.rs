//! The state of a group on which it depends whether a map switch pays off.

use std::time::Duration;

use super::DEFAULT_HORIZON_MS;

/// Part of the time since the demand last shifted for which it is expected to stay as it is, if no interval between
/// shifts is known; and the longest such time.
const STEADY_SHARE: f64 = 0.5;
const MAX_STEADY_MS: f64 = 2_000.0;
/// Longest time to the next shift that is expected: demand drifts also between shifts.
const MAX_REMAINING_MS: f64 = 5_000.0;
/// Shortest time to the next shift that is expected: part of the demand outlasts a shift, and a series of false shifts
/// must not end all switches.
const MIN_REMAINING_MS: f64 = 600.0;
/// Part of the mean interval between shifts that is expected to remain at least, since intervals vary.
const MIN_REMAINING_SHARE: f64 = 0.5;
/// Reduction of the skew that the noise of an estimate from [`NOISE_WINDOW`] suggests. It falls with the square root of
/// the time since the last shift, up to the time over which the estimate averages. Without it, a noisy
/// estimate causes half as many switches again.
const NOISE_SKEW: f64 = 0.1;
const NOISE_WINDOW: Duration = Duration::from_millis(100);
const MAX_NOISE_WINDOWS: f64 = 20.0;
/// Minimum reduction of the skew in an idle group and on engines with slow loads.
const MIN_SKEW_REDUCTION: f64 = 0.08;
/// Addition to that minimum in an idle group: while passes are short a little skew delays no request, but loading does.
const IDLE_SKEW_REDUCTION: f64 = 0.3;
/// Share of the allowed pause between stream events up to which a pass counts as short.
const SHORT_PASS_SHARE: f64 = 0.6;

/// What decides whether a switch pays off, beside the candidate itself.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Conditions {
    /// Mean time between the last shifts of the demand, if known.
    pub shift_interval: Option<Duration>,
    /// Time since the last shift.
    pub since_shift: Duration,
    /// Mean time from hold to release of the recent switches.
    pub held: Duration,
    /// Fraction of the work for a token that its experts do.
    pub expert_work_fraction: f64,
    /// Time of the latest passes divided by the pause that streams allow.
    pub pressure: f64,
}

impl Conditions {
    /// Expected time from now to the next shift.
    pub(super) fn remaining_ms(&self) -> f64 {
        let since_shift_ms = self.since_shift.as_secs_f64() * 1_000.0;
        let Some(interval) = self.shift_interval else {
            return (since_shift_ms * STEADY_SHARE).clamp(DEFAULT_HORIZON_MS, MAX_STEADY_MS);
        };
        let interval_ms = interval.as_secs_f64() * 1_000.0;
        let left_ms = interval_ms - since_shift_ms;
        left_ms
            .max(interval_ms * MIN_REMAINING_SHARE)
            .clamp(MIN_REMAINING_MS, MAX_REMAINING_MS)
    }

    /// Reduction of the skew that noise of the estimate suggests.
    pub(super) fn noise_skew(&self) -> f64 {
        let windows = self.since_shift.as_secs_f64() / NOISE_WINDOW.as_secs_f64();
        NOISE_SKEW / windows.clamp(1.0, MAX_NOISE_WINDOWS).sqrt()
    }

    /// Minimum reduction of the skew, whatever it saves.
    pub(super) fn min_reduction(&self, has_slow_loads: bool) -> f64 {
        let slack = ((SHORT_PASS_SHARE - self.pressure) / SHORT_PASS_SHARE).clamp(0.0, 1.0);
        if slack > 0.0 || has_slow_loads {
            MIN_SKEW_REDUCTION + IDLE_SKEW_REDUCTION * slack
        } else {
            0.0
        }
    }
}
