//! Admission control of an agent: which requests are queued, which one runs next, and which ones must never run.
//!
//! Pure state machines without clock or sockets; the caller passes in a monotonic time.

pub mod ledger;
pub mod queue;

pub use ledger::Ledger;
pub use queue::Queue;
