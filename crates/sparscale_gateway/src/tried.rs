//! The targets that a request was sent to.

use sparscale_catalog::{Incarnation, Seat};

/// Targets that a request was sent to, in order.
#[derive(Debug, Default)]
pub(crate) struct Tried {
    targets: Vec<Seat>,
}

impl Tried {
    /// Notes one.
    pub(crate) fn push(&mut self, seat: Seat) {
        self.targets.push(seat);
    }

    /// Whether the request was sent to this one.
    pub(crate) fn contains(&self, target: Incarnation) -> bool {
        self.targets.iter().any(|seat| seat.key == target)
    }

    /// The one that it was sent to last.
    pub(crate) fn last(&self) -> Option<&Seat> {
        self.targets.last()
    }

    /// How many there were.
    pub(crate) fn len(&self) -> usize {
        self.targets.len()
    }

    /// Their ids, for the log.
    pub(crate) fn ids(&self) -> Vec<&str> {
        self.targets.iter().map(|seat| seat.target.id.as_str()).collect()
    }
}
