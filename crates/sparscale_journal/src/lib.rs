//! The platform's log as the only place where anything is agreed or kept.
//!
//! The log gives `append` and `read` and nothing more. Agreement is [`State::apply`], a deterministic fold of all
//! records in offset order that every process computes alike.

mod budget;
mod fold;
mod http;
mod log;
mod reader;
mod record;
mod state;
mod writer;

pub use budget::{Budget, Kind};
pub use fold::{Outcome, Refusal, Verdict, shape};
pub use http::HttpLog;
pub use log::{Batch, Entry, Error as LogError, Log};
pub use reader::{Alarm, Error as ReaderError, Reader, without_image};
pub use record::{
    Approve, Binding, BindingKey, Body, Claim, Content, DecodeError, Duty, Id, MapChange, Publish, Record, Roll,
    Snapshot,
};
pub use state::{Certificate, Holder, Image, PlacedMap, Proposal, State};
pub use writer::{CatchUpError, Receipt, Settled, Writer};
