//! Recognizes requests, and parts of prompts, that crash the targets which run them, so that they are held back when
//! they are sent again.
//!
//! A [`Strike`] records that the start of a target identified by an [`EndedStart`] terminated while it ran the request
//! with a given [`Fingerprint`], or a request with the part of that fingerprint. Strikes are only ever added, marked or
//! cleared, and merging them is commutative and idempotent: processes that receive them in any order, any number of
//! times and from any source reach the same state. They can therefore be exchanged between processes and read back from
//! a store. A [`Tracker`] holds the strikes that one process knows and decides which requests are held back, and for how
//! long. It performs no I/O and reads no clock: callers pass the time in.

use std::time::Duration;

mod content;
mod fingerprint;
mod history;
mod hold;
pub mod policy;
mod probes;
mod sound_parts;
mod source;
mod strike;
mod tracker;

pub use content::{Content, MAX_SHARED_PARTS};
pub use fingerprint::{Fingerprint, ParseError};
pub use hold::{Hold, HoldCause};
pub use source::StrikeSource;
pub use strike::{EndedStart, Strike, StrikeStatus};
pub use tracker::Tracker;

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
