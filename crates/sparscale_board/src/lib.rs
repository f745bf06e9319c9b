//! The blackboard of an entry: what it knows about targets and groups, as plain data under small keys.
//!
//! Controllers write what the bundle, the box list, load reports and their own dispatches say; decisions read it.

mod board;
mod hints;
mod model;

pub use board::{Board, Group, GroupKey, HallDistance, Load, Service, Standing, Target, TargetKey};
pub use hints::{BLOCK_BYTES, PrefixHints, prefix_blocks};
pub use model::{ResidenceTimes, StepModel};
