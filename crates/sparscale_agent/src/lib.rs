//! The agent: the only way to the target beside it.
//!
//! It keeps the attempt ledger and the tier queue, hands requests on, buffers answers so that a broken stream can be
//! resumed, and passes on orders about the expert map if their fence holds.

mod answer;
mod connection;
mod core;
mod engine;
mod http_engine;
mod intake;
mod order;
mod program;
mod settings;

pub use engine::{CallError, Chunks, Engine, EngineLoad, Started};
pub use program::{Error, command, run};
pub use settings::{Raw, Settings};
