//! What an agent decides about requests: which ones wait, which one runs next, and which ones never may.
//!
//! Pure state machines over a monotonic time that the caller passes in; no clock, no socket.

pub mod ledger;
pub mod queue;

pub use ledger::Ledger;
pub use queue::Queue;
