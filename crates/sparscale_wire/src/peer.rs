//! What processes tell each other about the world outside and about expert maps.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sparscale_catalog::Start;
use sparscale_history::Position;
use sparscale_place::barrier::{Answer, Order, Report};
use sparscale_place::{Map, Patch, Shape};

/// What a process believes, and what the receiver needs to tell how old that is by its own clock.
///
/// A message may lie in a buffer for seconds, while a process stands still. So an age alone says nothing to the
/// receiver. Each side sends a stamp of its own clock; the other sends the latest one back, with the time it had it:
/// the message was sent after that.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exchange {
    /// Where the sender takes connections from other processes.
    pub sender: SocketAddr,
    /// The sender's clock, in milliseconds since it started.
    pub stamp_ms: u64,
    /// The receiver's latest stamp, as it came back.
    pub echo: Option<Echo>,
    /// The sender's catalog.
    pub catalog: Option<Known>,
    /// Whether the receiver is to send its catalog: it told of a newer one than the sender has.
    pub wants_catalog: bool,
    /// The sender's roster.
    pub roster: Option<KnownRoster>,
    /// Whether the receiver is to send its roster: it told of one that the sender has not.
    pub wants_roster: bool,
    /// Age in milliseconds of what the sender knows of the strikes that the store holds; it has told all of that on this stream.
    pub strikes_age_ms: Option<u64>,
    /// Entries that the sender knows, itself included if it is one; empty if there is no news of them.
    pub entries: Vec<SocketAddr>,
}

/// A stamp that comes back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The stamp.
    pub stamp_ms: u64,
    /// How long the sender of this had it before it sent it back, in milliseconds.
    pub held_ms: u64,
}

/// What targets ask of those that send to them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Notices {
    /// The receiver's latest stamp: it tells how old the message is.
    pub echo: Echo,
    /// What was learnt since the last message.
    pub notices: Vec<Notice>,
}

/// What one target asks.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Notice {
    /// The start of the target that asks it.
    pub start: Start,
    /// Requests a second that it takes from all entries; none if it limits them no longer.
    pub per_second: Option<f64>,
    /// Whether it leaves.
    pub leaving: bool,
    /// Time since it said so when this was sent, in milliseconds.
    pub age_ms: u64,
}

/// What is known of a belief.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Known {
    /// Where in its history it stands.
    pub position: Position,
    /// Age when this was sent, in milliseconds.
    pub age_ms: u64,
}

/// What is known of a roster. Its place in the store's history moves with each heartbeat, its digest when it changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownRoster {
    /// Place and age.
    pub known: Known,
    /// Digest of the value.
    pub digest: u64,
}

/// What a conductor tells a rank's agent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RankOrder {
    /// It is there and leads.
    Heartbeat,
    /// An order to the agent's own rank.
    Own {
        /// The order.
        order: Order,
        /// The map, where the order is to stage one.
        map: Option<MapUpdate>,
    },
    /// An order to the engine of another rank, on behalf of the conductor.
    Delegation {
        /// The order.
        order: Order,
        /// The other rank's engine.
        engine: SocketAddr,
    },
}

/// A map as it goes to an agent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum MapUpdate {
    /// All of it.
    Whole(Arc<Map>),
    /// What differs from one that the agent has.
    Change {
        /// The one that it has.
        base: Base,
        /// The difference.
        patch: Arc<Patch>,
    },
}

/// A map that an agent has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Base {
    /// The one that every group starts with.
    Initial(Shape),
    /// One that was sent before, by its number.
    Sent(u64),
}

/// What a rank's agent tells its conductor.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RankNews {
    /// The rank's state.
    Report {
        /// State, and answer to an order.
        report: Report,
        /// Its load, if the state could be read.
        load: Option<RankLoad>,
    },
    /// Picks of each expert, set by set, since the last such message.
    Picks {
        /// Epoch in which they were counted.
        epoch: u64,
        /// Time over which they were counted, in milliseconds.
        span_ms: u64,
        /// One number for each expert of each set.
        picks: Vec<u32>,
    },
    /// The experts that the rank holds.
    Holds(Placement),
    /// What another rank's engine said to a delegation.
    Delegation {
        /// Serial of the order.
        serial: u64,
        /// What it said.
        answer: Answer,
    },
    /// A conductor with a higher claim leads this rank.
    Overtaken {
        /// Its claim.
        claim: u64,
    },
}

/// Experts that one rank holds under one map.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Epoch in which it holds them.
    pub epoch: u64,
    /// Number of the map.
    pub number: u64,
    /// Experts of each set.
    pub sets: Vec<Vec<u16>>,
    /// Whether the agent has the whole map, of all ranks, so that a change of it is enough.
    pub whole: bool,
}

/// Load of one rank as its engine reports it on its own box: fresh.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct RankLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Mark of the engine's start, by which a load is not taken for that of the next one; 0 if it does not tell.
    pub start: u16,
    /// How many times as long as usual its work takes, in thousandths; 0 if it does not tell.
    pub pace_milli: u32,
}

impl RankLoad {
    /// How many times as long as usual the rank's work takes.
    pub fn pace(&self) -> f64 {
        if self.pace_milli == 0 {
            1.0
        } else {
            f64::from(self.pace_milli) / 1_000.0
        }
    }
}

/// Loads of a group's ranks, as its conductor knows them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GroupLoad {
    /// Name of the group.
    pub group: String,
    /// Claim of the conductor, then the number of this message: later ones are larger.
    pub order: (u64, u64),
    /// Whether the group runs.
    pub open: bool,
    /// Mean over the sets of the largest rank load over the mean.
    pub skew: f64,
    /// Mean time of the latest passes, in microseconds; 0 if none was seen.
    pub pass_micros: u64,
    /// Number of the latest pass that was seen to begin: while it stands still, so does the group, or it has nothing to do.
    pub pass: u64,
    /// Load of each rank; none where it was not heard lately.
    pub ranks: Vec<Option<RankLoad>>,
}

impl GroupLoad {
    /// The load of a rank whose start has this mark; none if none was told, or that of another start.
    pub fn rank(&self, rank: usize, start: u16) -> Option<RankLoad> {
        let load = self.ranks.get(rank).copied().flatten()?;
        (load.start == start || load.start == 0 || start == 0).then_some(load)
    }
}
