//! Messages by which processes exchange limits and loads of targets, and orders about expert maps.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sparscale_catalog::StartId;
use sparscale_place::barrier::{Answer, Order, Report};
use sparscale_place::{Map, Patch, Shape};

use crate::observation;

/// Limits that targets state for their senders.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Notices {
    /// Echo of the receiver's latest clock time, which bounds the age of this message.
    pub echo: observation::Echo,
    /// Limits received since the last message.
    pub notices: Vec<Notice>,
}

/// Limits stated by one target.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Notice {
    /// Start of the target that stated them.
    pub start: StartId,
    /// Requests per second that the target accepts from all entries together; `None` if it no longer has a rate limit.
    pub per_second: Option<f64>,
    /// Whether the target is draining.
    pub is_draining: bool,
    /// Time between the target's statement and this message, in milliseconds.
    pub age_ms: u64,
    /// Random id of the entry that received the statement from the target.
    pub reporter: u64,
    /// Number of the statement among those that this entry received.
    pub sequence: u64,
}

/// Message from a group leader to the agent of a rank.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RankOrder {
    /// The leader is alive and still leads the group.
    Heartbeat,
    /// Order to the rank of the receiving agent.
    ToRank {
        /// The order.
        order: Order,
        /// Map to stage, if the order stages one.
        map: Option<MapUpdate>,
    },
    /// Order that the agent sends to the engine of another rank on behalf of the leader.
    Delegation {
        /// The order.
        order: Order,
        /// Address of the other rank's engine.
        engine: SocketAddr,
    },
}

/// Transfer of an expert map to an agent: in full or as a patch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum MapUpdate {
    /// The full map.
    Full(Arc<Map>),
    /// Difference from a map that the agent has.
    Patch {
        /// Map to which the patch applies.
        base: PatchBase,
        /// Changed parts of the map.
        patch: Arc<Patch>,
    },
}

/// Map that an agent has already received, as the base of a patch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PatchBase {
    /// Initial map of a group with this shape.
    Initial(Shape),
    /// Map that was sent earlier, by its number.
    Sent(u64),
}

/// Message from the agent of a rank to the group leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RankUpdate {
    /// State of the rank.
    Report {
        /// State, and response to the last order.
        report: Report,
        /// Load of the rank, if its state could be read.
        load: Option<RankLoad>,
    },
    /// Expert selection counts since the last such message.
    SelectionCounts {
        /// Epoch in which the selections were counted.
        epoch: u64,
        /// Duration over which the selections were counted, in milliseconds.
        period_ms: u64,
        /// Number of selections of each expert, set by set.
        selections: Vec<u32>,
    },
    /// Experts that the rank holds.
    Experts(RankExperts),
    /// Response of another rank's engine to a delegated order.
    Delegation {
        /// Serial number of the order.
        serial: u64,
        /// Response of the engine.
        answer: Answer,
    },
    /// A leader with a higher claim has taken over this rank.
    Superseded {
        /// Claim of that leader.
        claim: u64,
    },
}

/// Experts held by one rank under one map.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankExperts {
    /// Epoch in which the rank holds them.
    pub epoch: u64,
    /// Number of the map.
    pub map_number: u64,
    /// Experts held, by set.
    pub experts_by_set: Vec<Vec<u16>>,
    /// Whether the agent has the full map of all ranks, so that the next map can be sent as a patch.
    pub has_full_map: bool,
}

/// Load of one rank as reported by its engine to the agent on the same box; recent, because no other box is involved.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct RankLoad {
    /// Running requests.
    pub running: u32,
    /// Queued requests.
    pub queued: u32,
    /// Marker of the engine's start, so that a load isn't attributed to a later start of the engine; 0 if not reported.
    pub start_marker: u16,
    /// Slowdown of the rank in thousandths, where 1000 is nominal; 0 if not reported.
    pub slowdown_milli: u32,
}

impl RankLoad {
    /// Returns the slowdown of the rank as a factor; 1 if it is nominal or not reported.
    pub fn slowdown(&self) -> f64 {
        if self.slowdown_milli == 0 {
            1.0
        } else {
            f64::from(self.slowdown_milli) / 1_000.0
        }
    }
}

/// Loads of a group's ranks as known to the group leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GroupLoad {
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
    pub rank_loads: Vec<Option<RankLoad>>,
}

impl GroupLoad {
    /// Returns the load of a rank if it was reported by the engine start with this marker. A marker of 0 matches any
    /// start.
    pub fn rank_load(&self, rank: usize, start: u16) -> Option<RankLoad> {
        let load = self.rank_loads.get(rank).copied().flatten()?;
        (load.start_marker == start || load.start_marker == 0 || start == 0).then_some(load)
    }
}
