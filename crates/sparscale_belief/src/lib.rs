//! The last observed state of the outside world (catalog, roster, crashed requests, rate limits) and its age.
//!
//! The age of an observation counts from *before* the query was sent, because the answer contains everything that was
//! acknowledged before that time. An observation never goes back to an older position, whatever its source.

mod board;
mod cold;
mod departed;
mod directory;
mod missing;
mod observation;
mod peer_first;
mod quarantine;
pub mod reader;
mod source;
mod store_roster;
mod throttle;
mod view;

pub use board::Board;
pub use observation::{MergeOutcome, Observation};
pub use quarantine::{Archive, MAX_HISTORY_WAIT, Quarantine};
pub use reader::{read_configuration, read_roster, read_strikes};
pub use source::{Error, Source, Versioned};
pub use throttle::Throttle;
