//! What an agent needs of the engine beside it.

use std::net::SocketAddr;

use async_trait::async_trait;
use snafu::Snafu;
use sparscale_place::Map;
use sparscale_place::barrier::{Answer, Order, View};
use sparscale_wire::RankLoad;

/// Why an engine told nothing.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub), display("the engine told nothing: {message}"))]
pub struct EngineError {
    /// What went wrong.
    pub message: String,
}

/// State of the engine.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineState {
    /// When its present start began, in milliseconds since 1970; none if it does not tell. It knows nothing of before.
    pub born_ms: Option<u64>,
    /// Group that it is a rank of; none for an engine without one.
    pub group: Option<String>,
    /// Its rank.
    pub rank: usize,
    /// Ranks of the group.
    pub size: usize,
    /// What a conductor needs.
    pub view: View,
    /// What routing needs.
    pub load: RankLoad,
}

/// Experts that an engine holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Held {
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

/// Counts of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Counts {
    /// When the start that counted began, as in [`EngineState::born_ms`].
    pub born_ms: Option<u64>,
    /// Epoch in which they were read.
    pub epoch: u64,
    /// Picks of each expert since the engine started, set by set.
    pub picks: Vec<u64>,
}

/// One engine.
#[async_trait]
pub trait Engine: Send + 'static {
    /// Its state now.
    async fn state(&mut self) -> Result<EngineState, EngineError>;

    /// How often its requests have chosen each expert.
    async fn counts(&mut self) -> Result<Counts, EngineError>;

    /// The experts that it holds.
    async fn held(&mut self) -> Result<Held, EngineError>;

    /// Carries an order out; `map` is the whole map where the order is to stage one.
    async fn order(&mut self, order: &Order, map: Option<&Map>) -> Answer;
}

/// Reaches engines.
pub trait Engines: Send + Sync + 'static {
    /// The engine at `address`.
    fn at(&self, address: SocketAddr) -> Box<dyn Engine>;
}
