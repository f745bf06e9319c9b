//! The blackboard of an entry: the state of targets and groups, as plain data under small keys.
//!
//! Controllers write the board from the bundle, the box list, load reports and the entry's own dispatches. Routing
//! decisions read it.

mod board;
mod hints;
mod model;

pub use board::{Board, Group, GroupKey, HallDistance, Load, Service, Standing, Target, TargetKey};
pub use hints::{BLOCK_BYTES, PrefixHints, prefix_blocks};
pub use model::{ResidenceTimes, StepModel};
