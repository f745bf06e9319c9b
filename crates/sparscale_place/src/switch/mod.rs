//! How all ranks of a group change to another expert map in one step.
//!
//! The placer stages the map on every rank, arms every rank for a step `at` (the rank promises not to begin that
//! step before a word), and releases them only when all are armed. [`Rank`] is the rank's side, [`Conductor`] the
//! placer's. Both are pure; every message may be lost, late, doubled or out of order.

mod conductor;
mod rank;

pub use conductor::{Conductor, Progress};
pub use rank::Rank;

use serde::{Deserialize, Serialize};

/// A change of map that happens at one step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Change {
    /// Number of the new map.
    pub number: u64,
    /// First step that runs on it.
    pub at: u64,
}

/// Which map a rank uses in which step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Plan {
    /// Number of the map in use.
    pub number: u64,
    /// Released change that has not come due.
    pub next: Option<Change>,
}

impl Plan {
    /// Number of the map that step `step` runs on.
    pub fn at(&self, step: u64) -> u64 {
        match self.next {
            Some(change) if step >= change.at => change.number,
            _ => self.number,
        }
    }
}

/// An order to one rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Order {
    /// Fence of the placer; a rank refuses orders below the highest it has seen.
    pub fence: u64,
    /// What to do.
    pub act: Act,
}

/// What a rank is told to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Act {
    /// Only report, and refuse older fences from now on.
    Enlist,
    /// Load what map `number` needs beside the present one.
    Stage {
        /// Number of the map.
        number: u64,
    },
    /// Promise not to begin step `at` before a word.
    Arm(Change),
    /// Run step `at` on the armed map.
    Release(Change),
    /// Take the promise back.
    Disarm(Change),
    /// Start with this plan; only for a rank that has none, and only for this incarnation of it: a late copy must
    /// not give a later incarnation a plan that the others have left.
    Join {
        /// Plan of the other ranks.
        plan: Plan,
        /// Incarnation of the rank that is meant.
        incarnation: u64,
    },
}

/// A rank's state, in answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Report {
    /// Incarnation of the rank.
    pub incarnation: u64,
    /// Highest fence that the rank has seen.
    pub fence: u64,
    /// Whether the order was carried out, now or before.
    pub done: bool,
    /// Highest step that the rank has begun.
    pub step: u64,
    /// Its plan; none for a rank that is new in its group.
    pub plan: Option<Plan>,
    /// Number of the map that is loaded beside the present one.
    pub staged: Option<u64>,
    /// Change that the rank is armed for.
    pub armed: Option<Change>,
}
