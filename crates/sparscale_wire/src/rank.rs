//! Messages between the leader of a group and the agents of its ranks.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use sparscale_place::barrier;

use crate::map;

/// Message from a group leader to the agent of a rank.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Order {
    /// The leader is alive and still leads the group.
    Heartbeat,
    /// Order to the rank of the receiving agent.
    ToRank {
        /// The order.
        order: barrier::Order,
        /// Map to stage, if the order stages one.
        map: Option<map::Update>,
    },
    /// Order that the agent sends to the engine of another rank on behalf of the leader.
    Delegation {
        /// The order.
        order: barrier::Order,
        /// Address of the other rank's engine.
        engine: SocketAddr,
    },
}

/// Message from the agent of a rank to the group leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Update {
    /// State of the rank.
    Report {
        /// State, and response to the last order.
        report: barrier::Report,
        /// Load of the rank, if its state could be read.
        load: Option<Load>,
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
    Experts(Experts),
    /// Response of another rank's engine to a delegated order.
    Delegation {
        /// Serial number of the order.
        serial: u64,
        /// Response of the engine.
        answer: barrier::Answer,
    },
    /// A leader with a higher claim has taken over this rank.
    Superseded {
        /// Claim of that leader.
        claim: u64,
    },
}

/// Experts held by one rank under one map.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Experts {
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
pub struct Load {
    /// Running requests.
    pub running: u32,
    /// Queued requests.
    pub queued: u32,
    /// Marker of the engine's start, so that a load isn't attributed to a later start of the engine; 0 if not reported.
    pub start_marker: u16,
    /// Slowdown of the rank in thousandths, where 1000 is nominal; 0 if not reported.
    pub slowdown_milli: u32,
}

impl Load {
    /// Returns the slowdown of the rank as a factor; 1 if it is nominal or not reported.
    pub fn slowdown(&self) -> f64 {
        if self.slowdown_milli == 0 {
            1.0
        } else {
            f64::from(self.slowdown_milli) / 1_000.0
        }
    }
}
