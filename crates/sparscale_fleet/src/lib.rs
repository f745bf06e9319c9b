//! Starts a complete system as separate processes on loopback, for the demo, benchmarks and failure tests.
//!
//! Each fleet uses a loopback address of its own, so that tests that run in parallel don't share ports. Dropping a
//! fleet kills its processes by their ids.

mod client;
mod files;
mod fleet;
mod names;
mod plan;
mod process;

pub use client::{Client, HttpResponse, StreamingResponse};
pub use fleet::{Error, Fleet, eventually};
pub use names::{GROUP, MODEL, SERVICE};
pub use plan::{Plan, caller_key};
pub use process::Process;
