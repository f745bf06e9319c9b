//! How processes hear of the world outside from each other.
//!
//! Entries keep a link to every other entry, agents to one entry. Over a link both sides tell what they believe and how
//! old that is, often and whenever it changes. So few processes read the platform's store, and a process that the
//! store turns away still hears of every change.

mod link;
mod mesh;
mod stamps;

pub use mesh::{FEW_ENTRIES, LOADS_PAUSE, Line, Mesh, Settings, Traffic};
pub use stamps::Stamps;
