//! Recognizes requests that crash the targets which run them, so that they are held back when they are sent again.
//!
//! A [`Strike`] records that the start of a target identified by an [`EndedStart`] terminated while it ran the request
//! with a given [`Fingerprint`]. Strikes are only ever added or cleared, and merging them is commutative and
//! idempotent: processes that receive them in any order, any number of times and from any source reach the same state.
//! They can therefore be exchanged between processes and read back from a store. A [`Tracker`] holds the strikes that
//! one process knows and decides which requests are held back, and for how long. It performs no I/O and reads no clock:
//! callers pass the time in.

mod fingerprint;
mod strike;
mod tracker;

pub use fingerprint::{Fingerprint, ParseError};
pub use strike::{EndedStart, Strike, StrikeStatus};
pub use tracker::{Hold, StrikeSource, Tracker};
