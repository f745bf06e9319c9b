//! Times between shifts of demand.

use std::collections::VecDeque;
use std::time::Duration;

/// Number of intervals that are averaged.
const MAX_INTERVALS: usize = 5;

/// The last intervals between shifts, and the time since the last shift.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct ShiftIntervals {
    closed: VecDeque<Duration>,
    since_shift: Option<Duration>,
}

impl ShiftIntervals {
    /// Adds the time of one sample.
    pub(super) fn advance(&mut self, span: Duration) {
        self.since_shift = self.since_shift.map(|since| since.saturating_add(span));
    }

    /// Records a shift in the latest sample.
    pub(super) fn record_shift(&mut self) {
        if let Some(interval) = self.since_shift.replace(Duration::ZERO) {
            self.closed.push_back(interval);
            if self.closed.len() > MAX_INTERVALS {
                self.closed.pop_front();
            }
        }
    }

    /// Mean of the last intervals. The time since the last shift counts as one as soon as it lengthens the mean, so
    /// that the mean grows after shifts have ceased.
    pub(super) fn mean(&self) -> Option<Duration> {
        let count = self.closed.len() as u32;
        let sum: Duration = self.closed.iter().sum();
        let mean = sum.checked_div(count)?;
        let open = self.since_shift.unwrap_or_default();
        Some(mean.max((sum.saturating_add(open)) / (count + 1)))
    }
}
