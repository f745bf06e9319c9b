//! Decisions about requests, each with the load pattern that it answers. Pure: times and loads go in, a decision comes out;
//! no clock, socket or lock of its own.

pub mod budget;
pub mod gate;
pub mod group;
pub mod heard;
pub mod line;
pub mod patience;
pub mod queue;
pub mod rate_limit;
pub mod returns;
pub mod room;
pub mod silence;
pub mod slow;
pub mod spent;
pub mod spread;
pub mod throttle;
