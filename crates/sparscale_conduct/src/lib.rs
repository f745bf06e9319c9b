//! Agents of a group of ranks, and the group leader that one of them becomes.
//!
//! Each agent reads the state and the expert counts of its own rank and is the only sender of that rank's orders. The
//! leader is elected by a conditional append to the platform's store; it gathers the counts of all ranks, chooses the
//! expert map and switches the ranks from map to map (see [`sparscale_place::barrier`]).

mod bandwidth;
mod claims;
mod context;
mod decision;
mod delegation;
mod distant;
mod engine;
mod figures;
mod handle;
mod inquiry;
mod leader;
mod leadership;
mod link;
mod maps;
mod member;
mod outbox;
mod pace;
mod program;
mod rank;
mod reporter;
mod standby;

pub use bandwidth::Bandwidth;
pub use claims::{Claim, Claims, Error as ClaimError, number as claim_number, place as claim_place};
pub use distant::Distant;
pub use engine::{Counts, Engine, EngineError, EngineState, Engines, Held};
pub use inquiry::{Verdict, verdict};
pub use maps::{Cache, Offer, Sent};
pub use pace::Pace;
pub use program::{Error, Parts, Settings, run, start};
pub use reporter::Reporter;
