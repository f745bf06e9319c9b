//! The agent beside a rank, and the conductor of its group.
//!
//! Each agent reads the state and the expert counts of its own rank, and is the only sender of its orders. One agent of
//! a group leads it: it became the leader by a conditional append to the platform's store, gathers the counts of all ranks,
//! decides about the expert map and leads the ranks from map to map (see [`sparscale_place::barrier`]).

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
