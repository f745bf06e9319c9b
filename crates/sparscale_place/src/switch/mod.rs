//! Switches all ranks of a group to another expert map at the same step, for engines that ask before each step which
//! map to run it on.
//!
//! The placer stages the map on every rank and arms every rank for a step `at`; an armed rank does not begin that step
//! before it is released or disarmed. Ranks are released only when all of them are armed. [`Rank`] is the rank side,
//! the coordinator is the placer side. Both are pure; every message may be lost, delayed, duplicated or reordered.

mod coordinator;
mod rank;

pub use coordinator::{Coordinator, Progress};
pub use rank::Rank;

use serde::{Deserialize, Serialize};

/// A change of map that takes effect at one step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Change {
    /// Number of the new map.
    pub number: u64,
    /// First step that runs on the new map.
    pub at: u64,
}

/// Which map a rank uses at which step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Plan {
    /// Number of the active map.
    pub number: u64,
    /// Released change whose step has not begun yet.
    pub next: Option<Change>,
}

impl Plan {
    /// Number of the map that `step` runs on.
    pub fn map_at(&self, step: u64) -> u64 {
        match self.next {
            Some(change) if step >= change.at => change.number,
            _ => self.number,
        }
    }
}

/// An order to one rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Order {
    /// Fence of the placer; a rank refuses orders below the highest fence that it has seen.
    pub fence: u64,
    /// Action to carry out.
    pub act: Act,
}

/// Action that an order requests from a rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Act {
    /// Report the state, and refuse lower fences from now on.
    Enlist,
    /// Load what map `number` needs beside the active map.
    Stage {
        /// Number of the map.
        number: u64,
    },
    /// Do not begin step `at` before the change is released or disarmed.
    Arm(Change),
    /// Run step `at` on the armed map.
    Release(Change),
    /// Cancel the armed change.
    Disarm(Change),
    /// Start with this plan. Only for a rank without a plan, and only for this incarnation of it: a delayed duplicate
    /// must not give a later incarnation a plan that the other ranks no longer follow.
    Join {
        /// Plan of the other ranks.
        plan: Plan,
        /// Incarnation of the rank that the order is for.
        incarnation: u64,
    },
}

/// State of a rank, in answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Report {
    /// Incarnation of the rank.
    pub incarnation: u64,
    /// Highest fence that the rank has seen.
    pub fence: u64,
    /// Whether the order was carried out, now or earlier.
    pub done: bool,
    /// Highest step that the rank has begun.
    pub step: u64,
    /// Plan of the rank; none for a rank that is new in its group.
    pub plan: Option<Plan>,
    /// Number of the map that is loaded beside the active one.
    pub staged: Option<u64>,
    /// Change that the rank is armed for.
    pub armed: Option<Change>,
}
