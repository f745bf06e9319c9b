//! The list of targets that a request was sent to.

use sparscale_catalog::{Incarnation, Seat};

/// Targets that a request was sent to, in order of the attempts.
#[derive(Debug, Default)]
pub(crate) struct Tried {
    targets: Vec<Seat>,
}

impl Tried {
    /// Adds a target.
    pub(crate) fn push(&mut self, seat: Seat) {
        self.targets.push(seat);
    }

    /// Whether the request was sent to `target`.
    pub(crate) fn contains(&self, target: Incarnation) -> bool {
        self.targets.iter().any(|seat| seat.key == target)
    }

    /// The target of the latest attempt.
    pub(crate) fn last(&self) -> Option<&Seat> {
        self.targets.last()
    }

    /// Number of attempts.
    pub(crate) fn len(&self) -> usize {
        self.targets.len()
    }

    /// Ids of the targets, for the log.
    pub(crate) fn ids(&self) -> Vec<&str> {
        self.targets.iter().map(|seat| seat.target.id.as_str()).collect()
    }
}
