//! The interface between an agent and the target beside it.

use async_trait::async_trait;
use bytes::Bytes;
use snafu::Snafu;
use sparscale_backpressure::BackpressureSignal;
use sparscale_place::Map;
use sparscale_place::switch::{Order, Report};
use sparscale_wire::Attempt;

/// Error of a call to the target.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum CallError {
    /// The target couldn't be reached, so the request didn't run.
    #[snafu(display("the target cannot be reached: {message}; check that it is running"))]
    NotSent {
        /// Cause of the failure.
        message: String,
    },
    /// The target was reached but sent no complete response, so the request may have run.
    #[snafu(display("the target sent no complete response: {message}"))]
    Lost {
        /// Cause of the failure.
        message: String,
    },
}

/// Body of a response, read chunk by chunk.
#[async_trait]
pub trait Chunks: Send {
    /// Returns the next chunk, or `None` at the end of a complete response.
    async fn next(&mut self) -> Option<Result<Bytes, CallError>>;
}

/// A response whose headers have arrived.
pub struct TargetResponse {
    /// HTTP status.
    pub status: u16,
    /// Media type.
    pub content_type: String,
    /// Limits that the target states for its senders.
    pub signal: BackpressureSignal,
    /// Body of the response.
    pub chunks: Box<dyn Chunks>,
}

impl std::fmt::Debug for TargetResponse {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Started")
            .field("status", &self.status)
            .finish_non_exhaustive()
    }
}

/// Load as reported by the target; older than the agent's own counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct EngineLoad {
    /// Prompt tokens that still wait for prefill.
    pub prefill_tokens: u32,
    /// Duration of the latest step, in microseconds.
    pub step_micros: u32,
    /// Number of the active expert map.
    pub map_number: u64,
}

/// An expert map with its number.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct NumberedMap {
    /// Number of the map in its group.
    pub number: u64,
    /// Assignment of experts to slots.
    pub map: Map,
}

/// The target beside an agent.
#[async_trait]
pub trait Engine: Send + Sync + 'static {
    /// Forwards a request to the target.
    async fn call(&self, attempt: &Attempt) -> Result<TargetResponse, CallError>;

    /// Returns whether a process may be listening at the target's address: only a connection that is refused proves
    /// that none is.
    async fn is_listening(&self) -> bool;

    /// Stops a retryable request.
    async fn cancel(&self, request: &str) -> Result<(), CallError>;

    /// Returns the ids of requests that are queued or running at the target; empty if the target doesn't report them.
    async fn running_requests(&self) -> Result<Vec<String>, CallError>;

    /// Returns the load of the target, or `None` if it doesn't report any.
    async fn load(&self) -> Result<Option<EngineLoad>, CallError>;

    /// Forwards an order together with the maps that it refers to.
    async fn send_order(&self, order: &Order, maps: Vec<NumberedMap>) -> Result<Report, CallError>;

    /// Returns the number of tokens that each expert has served since the target started; empty if there are no
    /// experts.
    async fn expert_tokens(&self) -> Result<Vec<u64>, CallError>;
}
