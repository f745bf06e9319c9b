//! What every process does to know what the log says: follow it, directly or through peers, and relay it.
//!
//! No role is fixed. A few processes in each hall read the log, chosen by rendezvous hash over the live list; the
//! rest follow them in a tree. A wrong list costs time, never agreement: every process folds the same records.

mod boxes;
mod follower;
mod journal;
pub mod process;
mod relay;
mod topology;

pub use boxes::{Boxes, Error as BoxesError, HttpBoxes, Listed, Listing, Role, Standing, watch_boxes};
pub use follower::{Follower, Settings};
pub use journal::{Journal, SubmitError};
pub use relay::serve as serve_follower;
pub use topology::{Node, Source, sources};
