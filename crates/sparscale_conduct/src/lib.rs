//! Agents of a group of ranks, and the group leader that one of them becomes.
//!
//! Each agent reads the state and the expert counts of its own rank and is the only sender of that rank's orders. The
//! leader is elected by a conditional append to the platform's store; it gathers the counts of all ranks, chooses the
//! expert map and switches the ranks from map to map (see [`sparscale_place::barrier`]).

mod agent;
mod bandwidth;
mod claims;
mod context;
mod decision;
mod delegation;
mod engine;
mod handle;
mod leader;
mod leader_poll;
mod leadership;
mod link;
mod maps;
mod member;
mod metrics;
mod outbox;
mod program;
mod remote_engine;
mod reporter;
mod standby;
mod timing;

pub use bandwidth::Bandwidth;
pub use claims::{ClaimOutcome, Claims, Error as ClaimError, number as claim_number, position as claim_position};
pub use engine::{Engine, EngineError, EngineState, Engines, HeldExperts, SelectionCounts};
pub use leader_poll::{LeaderStatus, evaluate_poll};
pub use maps::{MapCache, OutgoingMap, SentMaps};
pub use program::{Dependencies, Error, Settings, run, start};
pub use remote_engine::RemoteEngine;
pub use reporter::CountReporter;
pub use timing::GroupTiming;
