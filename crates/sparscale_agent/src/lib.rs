//! The agent beside a target, through which all requests to that target pass.
//!
//! It keeps the attempt ledger and the tier queue, dispatches requests to the target, buffers responses so that a
//! broken stream can be resumed, and forwards orders about the expert map whose fence is still valid.

mod connection;
mod core;
mod custody;
mod engine;
mod http_engine;
mod order;
mod program;
mod response_buffer;
mod settings;
mod throttle;

pub use engine::{CallError, Chunks, Engine, EngineLoad, TargetResponse};
pub use http_engine::HttpEngine;
pub use program::{Error, command, run};
pub use settings::{Kind, Raw, Settings};
