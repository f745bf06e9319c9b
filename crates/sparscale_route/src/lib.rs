//! Which target takes a request: a pure function of the board.
//!
//! Ranks of a group advance together, so a request costs what it adds to the *group's* step. Every candidate gets a
//! predicted cost in milliseconds; the smallest wins.

mod candidates;
mod choice;

pub use candidates::{Subset, subset};
pub use choice::{Decision, Error, Reason, Request, Rule, ScoredTarget, choose};
