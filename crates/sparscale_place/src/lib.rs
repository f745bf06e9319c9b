//! Expert placement for a group of ranks: which rank holds which experts, when that changes, and how all ranks switch
//! to a new map at the same step. Pure functions and state machines; nothing here reads a clock or a socket.

pub mod barrier;
pub mod baseline;
mod counts;
mod decide;
mod load;
mod map;
mod patch;
pub mod payoff;
mod popularity;
mod refine;
mod search;
pub mod switch;

pub use counts::TokenCounts;
pub use decide::{Costs, Decision, Reason, decide};
pub use load::skew;
pub use map::{Layer, Map, Shape};
pub use patch::{Mismatch, Patch};
pub use popularity::{Popularity, Trend};
pub use refine::{LoadLimits, Refinement, mean_skew, refine, sample_skew};
