//! Small stand-ins for the platform's services, for tests and the demo only.
//!
//! Each stand-in implements the HTTP protocol of the real service and counts what it did. Most of them can be made to
//! fail at run time with `PUT /admin/faults`.

pub mod boxes;
pub mod command;
mod engine;
mod fault;
pub mod group;
pub mod keys;
pub mod log_service;
mod server;
pub mod service;
pub mod weights;

pub use fault::{Fault, Outage};
pub use group::CRASH_MESSAGE;
pub use service::{CRASH_BODY, CRASH_DELAY, DELAYED_CRASH_BODY};
