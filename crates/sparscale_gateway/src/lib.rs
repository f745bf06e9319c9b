//! The gateway: accepts HTTP requests from callers and sends them directly to targets, following a catalog of routes.
//!
//! Its decisions rest on the observed state (see [`sparscale_belief`]); it keeps no other state. Each request gets
//! exactly one final response: that of a target, complete and unchanged, or a refusal that states whether the request
//! has run and when to retry.

mod admission;
mod attempt;
mod attempt_history;
mod attempted_targets;
mod caller_response;
mod entry;
mod event_stream;
mod events;
mod exchange;
mod exit;
mod gate;
mod head;
mod header_names;
mod lineage;
mod loads;
mod metrics;
mod pool;
mod process_monitor;
mod program;
mod queues;
mod readiness;
mod refusal;
mod respond;
mod response_body;
mod response_error;
mod response_monitor;
mod response_room;
mod settings;
mod shared_stream;
mod stragglers;
mod suspension;
mod traffic_split;
mod witness;
mod yielding_stream;

pub use admission::Freshness;
pub use entry::Entry;
pub use header_names::HeaderNames;
pub use program::run;
pub use refusal::{Reason, Refusal};
pub use settings::{Dependencies, Error, Settings};
pub use sparscale_intake::{Body, Phase};
pub use sparscale_policy::budget::Allowance;
