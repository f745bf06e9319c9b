//! Interface to the engine beside an agent.

use std::net::SocketAddr;

use async_trait::async_trait;
use snafu::Snafu;
use sparscale_place::Map;
use sparscale_place::barrier::{Answer, Order, View};
use sparscale_wire::rank;

/// An engine did not answer a query.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub), display("the engine did not answer: {message}"))]
pub struct EngineError {
    /// Cause of the failure.
    pub message: String,
}

/// State of an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineState {
    /// Start time of the current process in milliseconds of Unix time (since 1970); `None` if the engine does not
    /// report it. An engine keeps no state across restarts.
    pub born_ms: Option<u64>,
    /// Group to which it belongs; `None` for an engine outside of any group.
    pub group: Option<String>,
    /// Its rank in the group.
    pub rank: usize,
    /// Number of ranks in the group.
    pub size: usize,
    /// State that the leader uses for map switches.
    pub view: View,
    /// Load that routing uses.
    pub load: rank::Load,
}

/// Experts that an engine holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldExperts {
    /// Epoch in which it holds them.
    pub epoch: u64,
    /// Number of the map in use.
    pub number: u64,
    /// Experts of each set.
    pub sets: Vec<Vec<u16>>,
}

impl EngineState {
    /// Whether it is rank `rank` of the group called `group`.
    pub fn is_rank(&self, group: &str, rank: usize) -> bool {
        self.group.as_deref() == Some(group) && self.rank == rank
    }
}

/// Expert selection counts of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SelectionCounts {
    /// Start time of the process that counted, as in [`EngineState::born_ms`].
    pub born_ms: Option<u64>,
    /// Epoch in which the counts were read.
    pub epoch: u64,
    /// Selections of each expert since the engine started, set by set.
    pub selections: Vec<u64>,
}

/// Connection to one engine.
#[async_trait]
pub trait Engine: Send + 'static {
    /// Reads its current state.
    async fn state(&mut self) -> Result<EngineState, EngineError>;

    /// Reads how often its requests have selected each expert.
    async fn counts(&mut self) -> Result<SelectionCounts, EngineError>;

    /// Reads which experts it holds.
    async fn held_experts(&mut self) -> Result<HeldExperts, EngineError>;

    /// Sends an order; `map` is the whole map if the order is to stage one.
    async fn order(&mut self, order: &Order, map: Option<&Map>) -> Answer;
}

/// Creates connections to engines.
pub trait Engines: Send + Sync + 'static {
    /// Returns a connection to the engine at `address`.
    fn at(&self, address: SocketAddr) -> Box<dyn Engine>;
}
