//! Switches all ranks of a group to another expert map at the same step, for engines that can be held before a step.
//!
//! The coordinator stages the map on every rank, holds the group before a step, arms every rank for that step, and
//! reads back that *each* rank is armed before it releases the hold. If one is not, it disarms all ranks, reads back
//! that none is armed, and then releases the hold. So no step can begin while only some ranks are armed for it,
//! whichever process dies and whichever order arrives late:
//!
//! - A rank is armed for a step only while a hold of this coordinator stands before that step.
//! - The hold is released only when all ranks are armed for the step, or when none is and none will be: each attempt
//!   arms under its own fence, and a rank that was disarmed under a higher fence refuses a late order of that attempt.
//! - A coordinator that takes over first places a hold of its own before each step that a rank is armed or held for,
//!   and only then disarms ranks. Its predecessor can no longer release that hold.

mod coordinator;

pub use coordinator::{Coordinator, Progress};

use serde::{Deserialize, Serialize};

pub use crate::switch::Change;

/// State of a rank, as read from its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct View {
    /// Incarnation of the group. The group re-forms when a rank is lost, and then uses map 0 with nothing staged, armed
    /// or held.
    pub epoch: u64,
    /// Whether the group runs.
    pub open: bool,
    /// Last step that has begun.
    pub step: u64,
    /// Number of the active map.
    pub map: u64,
    /// Number of the map that is loaded beside the active one.
    pub staged: Option<u64>,
    /// Change that the rank is armed for.
    pub armed: Option<Change>,
    /// Step before which this rank holds the group.
    pub held: Option<u64>,
}

/// An order to one rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Order {
    /// Sequence number among the orders of one coordinator.
    pub serial: u64,
    /// A rank refuses orders below the highest fence that it has seen.
    pub fence: u64,
    /// Epoch in which the order is valid.
    pub epoch: u64,
    /// Action to carry out.
    pub act: Act,
}

/// Action that an order requests from a rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Act {
    /// Query the state without changing it.
    Look,
    /// Load what map `number` needs beside the active map.
    Stage {
        /// Number of the map.
        number: u64,
    },
    /// Prevent the group from beginning `step`.
    Hold {
        /// Step to hold.
        step: u64,
    },
    /// Switch to the staged map when the step of the change begins.
    Arm(Change),
    /// Discard the change to map `number`.
    Disarm {
        /// Number of the map.
        number: u64,
    },
    /// Allow the group to begin `step`.
    Release {
        /// Step to release.
        step: u64,
    },
}

/// Answer of a rank to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Answer {
    /// Carried out, in progress, or already in effect.
    Done,
    /// Refused: the order does not fit the rank's state or epoch.
    Refused,
    /// Refused: the rank has seen a higher fence.
    Fenced,
    /// No answer: the order may be carried out now, never, or seconds later.
    Silent,
}

/// Report of a rank's agent to the coordinator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Report {
    /// Serial of the last order that had ended before the state was read.
    pub serial: u64,
    /// Answer to that order; none if the report was sent without a query.
    pub answer: Option<Answer>,
    /// State of the rank, if it could be read.
    pub view: Option<View>,
}
