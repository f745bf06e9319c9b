//! How all ranks of a group change to another expert map in one step, where the group can be held at a step.
//!
//! The conductor stages the map on every rank, holds the group before a step, arms every rank for that step, reads
//! back that *each* is armed, and only then lets the group go on. If one is not, it disarms all, reads back that none
//! is armed, and lets go. So no step can begin while only some ranks are armed for it, whoever dies and whatever is
//! late:
//!
//! - ranks are armed for a step only while a hold of this conductor stands before it;
//! - the hold is released only when all ranks are armed for it, or none is and none will be: each try arms under a
//!   fence of its own, and a rank that was disarmed under a higher one refuses a late order of that try;
//! - a conductor that takes over puts a hold of its own before each step that anyone is armed or held for, which its
//!   predecessor can no longer release, before it disarms.

mod conductor;

pub use conductor::{Conductor, Progress};

use serde::{Deserialize, Serialize};

pub use crate::switch::Change;

/// A rank's state as it was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct View {
    /// Incarnation of the group: it re-forms when a rank was lost, with map 0 and nothing staged, armed or held.
    pub epoch: u64,
    /// Whether the group runs.
    pub open: bool,
    /// Last step that has begun.
    pub step: u64,
    /// Number of the map in use.
    pub map: u64,
    /// Number of the map that is loaded beside it.
    pub staged: Option<u64>,
    /// Change that the rank is armed for.
    pub armed: Option<Change>,
    /// Step before which this rank holds the group.
    pub held: Option<u64>,
}

/// An order to one rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Order {
    /// Counts the orders of one conductor.
    pub serial: u64,
    /// A rank refuses orders below the highest fence that it has seen.
    pub fence: u64,
    /// Epoch in which it is to be carried out.
    pub epoch: u64,
    /// What to do.
    pub act: Act,
}

/// What a rank is told to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Act {
    /// Only tell the state.
    Look,
    /// Load what map `number` needs beside the map in use.
    Stage {
        /// Number of the map.
        number: u64,
    },
    /// Do not let the group begin `step`.
    Hold {
        /// The step.
        step: u64,
    },
    /// Take the staged map as the step begins.
    Arm(Change),
    /// Forget the change to map `number`.
    Disarm {
        /// Number of the map.
        number: u64,
    },
    /// Let the group begin `step`.
    Release {
        /// The step.
        step: u64,
    },
}

/// What a rank said to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Answer {
    /// Done, begun, or so already.
    Done,
    /// It does not fit the rank's state or epoch.
    Refused,
    /// A higher fence was seen.
    Fenced,
    /// Nothing: it may be carried out now, never, or seconds later.
    Silent,
}

/// What a rank's agent tells the conductor.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Report {
    /// Serial of the last order that was over before the state was read.
    pub serial: u64,
    /// What the rank said to that order; none if this was told unasked.
    pub answer: Option<Answer>,
    /// The state, if it could be read.
    pub view: Option<View>,
}
