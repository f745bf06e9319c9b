//! Versions of the roster, as processes announce them to each other.

use serde::{Deserialize, Serialize};

use crate::observation;

/// Version of a roster. Each heartbeat advances its position in the store's history; its digest changes only with its
/// content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// Position and age.
    pub version: observation::Version,
    /// Digest of the content.
    pub digest: u64,
}
