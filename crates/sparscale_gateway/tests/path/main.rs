//! The whole path from callers to targets over loopback, with targets that misbehave.

mod answers;
mod attempts;
mod beliefs;
mod bounds;
mod crashing;
mod entry;
mod groups;
mod leaving_targets;
mod rate_limits;
mod requested_rests;
mod requests;
mod returned;
mod shared_budget;
mod silent;
mod stopping;
mod streams;
mod suspended;
mod target;
