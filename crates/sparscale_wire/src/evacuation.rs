//! Orders to evacuate halls, as processes announce them to each other.

use serde::{Deserialize, Serialize};
use sparscale_catalog::Evacuations;
use sparscale_history::Position;

/// Halls that the operators evacuate.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Position in the history of the store.
    pub position: Position,
    /// The evacuated halls.
    pub halls: Evacuations,
}
