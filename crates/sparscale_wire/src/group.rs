//! Loads of a group of ranks, as its leader reports them to the entries.

use serde::{Deserialize, Serialize};

use crate::rank;

/// Loads of a group's ranks as known to the group leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Name of the group.
    pub group: String,
    /// Claim of the leader and number of this message; a later message compares as larger.
    pub sequence: (u64, u64),
    /// Whether the group is running.
    pub is_running: bool,
    /// Skew: the ratio of the largest rank load to the mean rank load, averaged over the sets.
    pub skew: f64,
    /// Mean duration of the latest passes, in microseconds; 0 if none was observed.
    pub mean_pass_micros: u64,
    /// Number of the latest pass whose start was observed; while it doesn't increase, the group is stalled or idle.
    pub latest_pass: u64,
    /// Load of each rank; `None` for a rank without a recent report.
    pub rank_loads: Vec<Option<rank::Load>>,
}

impl Load {
    /// Returns the load of a rank if it was reported by the engine start with this marker. A marker of 0 matches any
    /// start.
    pub fn rank_load(&self, rank: usize, start: u16) -> Option<rank::Load> {
        let load = self.rank_loads.get(rank).copied().flatten()?;
        (load.start_marker == start || load.start_marker == 0 || start == 0).then_some(load)
    }
}
