//! The gateway: takes HTTP requests from callers and sends them straight to targets, by a catalog of routes.
//!
//! It decides by its beliefs (see [`sparscale_belief`]) and keeps nothing else. Every request gets one final answer:
//! a target's own, whole and unchanged, or a refusal that says whether it has run and when to come back.

mod admission;
mod attempt;
mod dialect;
mod entry;
mod events;
mod exchange;
mod figures;
mod gate;
mod head;
mod loads;
mod pool;
mod program;
mod ready;
mod refusal;
mod relay;
mod respond;
mod server;
mod silences;
mod slow;
mod split;
mod tries;
mod waiting;

pub use admission::Freshness;
pub use dialect::Dialect;
pub use entry::Entry;
pub use program::{Error, Parts, Settings, run};
pub use refusal::{Reason, Refusal};
pub use server::{Body, Phase};
pub use sparscale_policy::budget::Allowance;
