//! A fault-injection soak test. It runs the real entry programs as processes against stub targets and a stub of the
//! platform's store, injects faults drawn from a seed, and checks the promises to callers and targets from outside.
//!
//! In rounds with a group, agents run beside stub engines, which compare their maps at each pass.
//!
//! Faults come from loopback proxies in front of the store and of each target, from signals to the processes, and from
//! the stubs themselves. Links between the entries are affected only by processes that are frozen or killed.

mod behavior;
mod caller;
mod check;
mod command;
mod engines;
mod environment;
mod event_log;
mod fault;
mod group;
mod injection;
mod layout;
mod platform;
mod proxy;
mod records;
mod round;
mod server;
mod store;
mod system;
mod target;

pub use command::run;
pub use group::{
    Action, EXPERTS_PER_SET, ExpertLists, Group, MAX_NEW_EXPERTS, Order, OrderOutcome, Report, SET_COUNT, SLOTS_PER_SET,
};
pub use layout::GROUP_NAME;
pub use platform::{
    AgentConfig, Bounds, Configuration, EntryConfig, Membership, Platform, Registration, Route, RouteKind,
};
pub use records::{Record, Records};
pub use system::{EntryAddresses, System};
