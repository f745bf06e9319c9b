//! Decisions about requests: admission, choice of a target, timeouts, retries and rate limits. All of it is pure:
//! timestamps and loads go in, a decision comes out, without a clock, a socket or a lock. Each module names the load
//! pattern that it handles.

pub mod backlog;
pub mod budget;
pub mod caller_timeout;
pub mod claim;
pub mod cold;
pub mod custody;
pub mod deadlines;
pub mod evacuation;
pub mod fair_share;
pub mod framing;
pub mod gate;
pub mod group;
pub mod headroom;
pub mod intake;
pub mod planned_stop;
pub mod queue;
pub mod rate_limit;
pub mod response_timeout;
pub mod response_tracker;
pub mod retry_schedule;
pub mod spread;
pub mod straggler;
pub mod termination;
pub mod throttle;
