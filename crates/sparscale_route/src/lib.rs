//! Chooses the target for a request, as a pure function of the board.
//!
//! The ranks of a group advance in lockstep, so the cost of a request includes what it adds to the step time of the
//! whole group. Each candidate gets a predicted cost in milliseconds, and the smallest wins.

mod candidates;
mod choice;

pub use candidates::{Subset, select_subset};
pub use choice::{Decision, Error, Reason, Request, Rule, ScoredTarget, choose};
