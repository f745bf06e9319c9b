//! Crowds of callers that do not behave, and what a process uses while it faces one.
//!
//! A crowd sends its [`Script`]s over loopback and keeps its connections open. The tests of the programs check from
//! outside that the process lives, stays within its memory and descriptors, and still answers ordinary requests.

mod crowd;
mod script;
mod usage;

pub use crowd::Crowd;
pub use script::{Framing, Script};
pub use usage::{Monitor, Usage, wait_until_settled};
