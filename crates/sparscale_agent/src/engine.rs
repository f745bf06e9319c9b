//! What an agent needs of the target beside it.

use async_trait::async_trait;
use bytes::Bytes;
use snafu::Snafu;
use sparscale_backpressure::Signal;
use sparscale_place::Map;
use sparscale_place::switch::{Order, Report};
use sparscale_wire::Attempt;

/// Why a call of the target did not end well.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum CallError {
    /// The target was not reached: nothing ran.
    #[snafu(display("the target cannot be reached: {message}"))]
    NotSent {
        /// What went wrong.
        message: String,
    },
    /// The target was reached and no whole answer came: it may have run.
    #[snafu(display("no whole answer from the target: {message}"))]
    Lost {
        /// What went wrong.
        message: String,
    },
}

/// Pieces of an answer.
#[async_trait]
pub trait Chunks: Send {
    /// The next piece; none at the end of a whole answer.
    async fn next(&mut self) -> Option<Result<Bytes, CallError>>;
}

/// An answer that has begun.
pub struct Started {
    /// HTTP status.
    pub status: u16,
    /// Media type.
    pub content_type: String,
    /// What it asks of those that send to the target.
    pub signal: Signal,
    /// The answer itself.
    pub chunks: Box<dyn Chunks>,
}

impl std::fmt::Debug for Started {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Started")
            .field("status", &self.status)
            .finish_non_exhaustive()
    }
}

/// Load as the target reports it, late.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct EngineLoad {
    /// Prompt tokens that wait for prefill.
    pub prefill_tokens: u32,
    /// Time of the latest step, in microseconds.
    pub step_micros: u32,
    /// Number of the expert map in use.
    pub map: u64,
}

/// A map with its number.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct Numbered {
    /// Number of the map.
    pub number: u64,
    /// The map.
    pub map: Map,
}

/// The target beside an agent.
#[async_trait]
pub trait Engine: Send + Sync + 'static {
    /// Hands a request on.
    async fn call(&self, attempt: &Attempt) -> Result<Started, CallError>;

    /// Whether something listens at the target's address, or may: only a refused connection says that its process has ended.
    async fn listens(&self) -> bool;

    /// Stops a request that may be repeated.
    async fn cancel(&self, request: &str) -> Result<(), CallError>;

    /// Ids of requests that wait or run at the target; empty where the target cannot tell.
    async fn running(&self) -> Result<Vec<String>, CallError>;

    /// Load of the target; none where it reports none.
    async fn load(&self) -> Result<Option<EngineLoad>, CallError>;

    /// Passes an order on, with the maps that it names.
    async fn order(&self, order: &Order, maps: Vec<Numbered>) -> Result<Report, CallError>;

    /// Tokens that each expert served since the target started; empty where there are no experts.
    async fn expert_tokens(&self) -> Result<Vec<u64>, CallError>;
}
