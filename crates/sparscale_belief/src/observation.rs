//! A value that was read from outside, with its position and age.

use std::sync::Arc;
use std::time::Duration;

use sparscale_clock::Timestamp;
use sparscale_history::Position;

/// A value that was read from outside.
#[derive(Debug)]
pub struct Observation<T> {
    /// The value that was read.
    pub value: Arc<T>,
    /// Position in the history of the source: a version or an offset. It never decreases.
    pub position: Position,
    /// A time before the query was sent: `value` contains everything that was acknowledged earlier.
    pub as_of: Timestamp,
}

impl<T> Clone for Observation<T> {
    fn clone(&self) -> Self {
        Self {
            value: Arc::clone(&self.value),
            position: self.position,
            as_of: self.as_of,
        }
    }
}

/// Effect of merging an answer into an observation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeOutcome {
    /// Ignored: the answer is for an older position.
    Stale,
    /// The value is unchanged; only its age and position were updated.
    Confirmed,
    /// The value was replaced.
    Replaced,
}

impl<T: PartialEq> Observation<T> {
    /// Age at `now`.
    pub fn age(&self, now: Timestamp) -> Duration {
        now.since(self.as_of)
    }

    /// Merges an answer for `position` whose query was sent at `as_of`. An answer for an older position is ignored with
    /// its age, which does not apply to later positions.
    pub fn merge(&mut self, value: Arc<T>, position: Position, as_of: Timestamp) -> MergeOutcome {
        if position < self.position {
            return MergeOutcome::Stale;
        }
        // A later position includes everything up to an earlier one, so the latest `as_of` also holds for it.
        self.as_of = self.as_of.max(as_of);
        let unchanged = position == self.position || *value == *self.value;
        self.position = position;
        if unchanged {
            return MergeOutcome::Confirmed;
        }
        self.value = value;
        MergeOutcome::Replaced
    }
}
