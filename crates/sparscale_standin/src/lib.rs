//! The platform's parts as small stand-ins, for tests and the demo only.
//!
//! Each speaks the protocol that the system expects of the real part, can be made to fail at run time
//! (`PUT /admin/faults`), and keeps its own count of what it did.

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
pub use service::{DEADLY_BODY, LINGER, LINGERING_BODY};
