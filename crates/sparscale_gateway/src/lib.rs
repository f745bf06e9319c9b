//! The gateway: takes HTTP requests from callers and sends them straight to targets, by a catalog of routes.
//!
//! It decides by its beliefs (see [`sparscale_belief`]) and keeps nothing else. Every request gets one final answer:
//! a target's own, whole and unchanged, or a refusal that says whether it has run and when to come back.

mod admission;
mod answer;
mod attempt;
mod attempt_history;
mod attempted_targets;
mod body;
mod dialect;
mod entry;
mod events;
mod exchange;
mod figures;
mod gate;
mod head;
mod incoming;
mod loads;
mod phase;
mod pool;
mod program;
mod queues;
mod ready;
mod refusal;
mod relay;
mod respond;
mod response_monitor;
mod server;
mod settings;
mod stragglers;
mod traffic_split;

pub use admission::Freshness;
pub use body::Body;
pub use dialect::Dialect;
pub use entry::Entry;
pub use phase::Phase;
pub use program::run;
pub use refusal::{Reason, Refusal};
pub use settings::{Error, Parts, Settings};
pub use sparscale_policy::budget::Allowance;
