//! Starts a whole system as separate processes on loopback, for the demo and for tests of failures.
//!
//! Each fleet has a loopback address of its own, so that fleets of tests that run side by side never meet. Processes
//! are ended by their ids when the fleet is dropped.

mod client;
mod files;
mod fleet;
mod names;
mod plan;
mod process;

pub use client::{Client, Reply, StreamReply};
pub use fleet::{Error, Fleet, eventually};
pub use names::{GROUP, MODEL, SERVICE};
pub use plan::{Plan, caller_key};
pub use process::Process;
