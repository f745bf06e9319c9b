//! A fault soak: the real entry programs as processes before stand-ins of targets and of a platform's store, with
//! faults that a seed draws, and the promises to callers and targets checked from outside.
//!
//! In rounds with a group, agents run beside stand-ins of its engines, which compare their maps at each pass.
//!
//! Faults come from loopback proxies in front of the store and of each target, from signals to the processes, and from
//! the stand-ins themselves. Links between the entries are harmed only by processes that stand still or die.

mod caller;
mod check;
mod command;
mod drive;
mod engines;
mod fault;
mod group;
mod ledger;
mod mood;
mod places;
mod platform;
mod proxy;
mod records;
mod round;
mod server;
mod stage;
mod store;
mod target;

pub use command::run;
pub use group::{Ack, Act, EXPERTS, Group, Lists, Order, PLACES, Report, SETS, SPARE};
pub use places::GROUP;
pub use platform::{AgentPlace, Bounds, EntryPlace, Listed, Offer, Platform, Rank, Route, RouteKind};
pub use records::{Record, Records};
