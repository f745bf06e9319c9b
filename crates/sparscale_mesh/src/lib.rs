//! Exchange of observations between processes.
//!
//! Each entry keeps a link to every other entry, and each agent to one entry. Both sides of a link send what they have
//! observed and its age, periodically and on every change. So few processes have to read the platform's store, and a
//! process that the store rejects still receives every change.

mod link;
pub mod link_clock;
mod mesh;
mod request;
mod traffic;

pub use mesh::{DEFAULT_ENTRIES_PER_LOAD_STEP, LOAD_INTERVAL_STEP, Mesh, Settings, Status};
pub use traffic::Traffic;
