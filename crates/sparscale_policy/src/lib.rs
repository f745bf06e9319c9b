//! Decisions about requests: admission, choice of a target, timeouts, retries and rate limits. All of it is pure:
//! timestamps and loads go in, a decision comes out, without a clock, a socket or a lock. Each module names the load
//! pattern that it handles.

pub mod budget;
pub mod gate;
pub mod group;
pub mod headroom;
pub mod heard;
pub mod line;
pub mod patience;
pub mod queue;
pub mod rate_limit;
pub mod returns;
pub mod silence;
pub mod slow;
pub mod spent;
pub mod spread;
pub mod throttle;
