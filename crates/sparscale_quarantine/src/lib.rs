//! Requests that crash the targets which run them, recognised when they come again.
//!
//! A request is known by its [`Fingerprint`], a start of a target that ended under it by its [`End`]; both together are a
//! [`Strike`]. Strikes are facts that only add up: processes that learn them in any order, any number of times and from
//! anyone agree, so they can be told from process to process and read back from a store. A [`Register`] holds what one
//! process knows and decides which requests are held back, for how long. Pure: times go in, no clock is read.

mod fingerprint;
mod register;
mod strike;

pub use fingerprint::{Fingerprint, Unreadable};
pub use register::{Hold, News, Register};
pub use strike::{End, Standing, Strike};
