//! What a process believes about the world outside, and how old that belief is.
//!
//! A belief is only as good as its age, and the age counts from *before* the question was asked: whatever was
//! acknowledged earlier than that is part of the answer. Beliefs never go back to an older position, whoever tells.

mod belief;
mod board;
mod departed;
mod doubt;
mod heard;
mod lapse;
mod quarantine;
mod reader;
mod source;
mod throttle;

pub use belief::{Belief, Change};
pub use board::Board;
pub use quarantine::{Archive, Quarantine};
pub use reader::{Pace, ReadFigures, read_catalog, read_roster, read_strikes};
pub use source::{Error, Reading, Source};
pub use throttle::Throttle;
