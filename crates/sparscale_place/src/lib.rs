//! Expert placement: which rank holds which experts, when that changes, and how the change reaches all ranks in
//! one step. Pure functions and state machines; nothing here reads a clock or a socket.

mod map;
pub mod switch;

pub use map::{Layer, Map, Shape};
