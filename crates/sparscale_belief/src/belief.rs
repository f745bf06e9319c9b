//! One belief.

use std::sync::Arc;
use std::time::Duration;

use sparscale_clock::Moment;
use sparscale_history::Place;

/// Something that was read from outside.
#[derive(Debug)]
pub struct Belief<T> {
    /// What was read.
    pub value: Arc<T>,
    /// Where in its history it stands: a version or an offset. Positions only rise.
    pub position: Place,
    /// A time before the question was asked: everything acknowledged earlier is in `value`.
    pub as_of: Moment,
}

impl<T> Clone for Belief<T> {
    fn clone(&self) -> Self {
        Self {
            value: Arc::clone(&self.value),
            position: self.position,
            as_of: self.as_of,
        }
    }
}

/// What an answer changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Nothing: it was older than what was known.
    Older,
    /// Only the age.
    Confirmed,
    /// The value.
    Replaced,
}

impl<T: PartialEq> Belief<T> {
    /// Age at `now`.
    pub fn age(&self, now: Moment) -> Duration {
        now.since(self.as_of)
    }

    /// Takes in an answer about `position`, asked for at `as_of`. The value of an older position is left out, and so
    /// is its age: it says nothing about what came later.
    pub fn offer(&mut self, value: Arc<T>, position: Place, as_of: Moment) -> Change {
        if position < self.position {
            return Change::Older;
        }
        // A later position holds everything that an earlier one held, so the youngest time stands for it, too.
        self.as_of = self.as_of.max(as_of);
        let same = position == self.position || *value == *self.value;
        self.position = position;
        if same {
            return Change::Confirmed;
        }
        self.value = value;
        Change::Replaced
    }
}
