//! Keeps the folded log current in every process: follows the log, directly or through peers, and relays its records.
//!
//! A few processes of each hall, chosen by a hash of their names in the box list, read the log; the others follow them
//! in a tree, which bounds the load on the log. An outdated list delays records but cannot break agreement, because
//! every process folds the same records.

mod boxes;
mod follower;
mod journal;
pub mod process;
mod relay;
mod topology;

pub use boxes::{
    BoxList, BoxListSource, BoxRole, BoxStanding, Error as BoxListError, HttpBoxList, ListedBox, watch_boxes,
};
pub use follower::{Follower, FollowerSettings};
pub use journal::{Journal, SubmitError};
pub use relay::serve as serve_follower;
pub use topology::{Node, Source, sources};
