//! Transfers of expert maps to the agents of a group.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sparscale_place::{Map, Patch, Shape};

/// Transfer of an expert map to an agent: in full or as a patch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Update {
    /// The full map.
    Full(Arc<Map>),
    /// Difference from a map that the agent has.
    Patch {
        /// Map to which the patch applies.
        base: Base,
        /// Changed parts of the map.
        patch: Arc<Patch>,
    },
}

/// Map that an agent has already received, as the base of a patch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Base {
    /// Initial map of a group with this shape.
    Initial(Shape),
    /// Map that was sent earlier, by its number.
    Sent(u64),
}
