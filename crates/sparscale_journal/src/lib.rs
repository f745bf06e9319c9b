//! Replicated state on top of the platform's append-only log, the only place for agreement and durable data.
//!
//! The log offers only `append` and `read`. Every process folds all records in offset order with the deterministic
//! [`State::apply`] and so computes the same state.

mod budget;
mod fold;
mod http;
mod log;
mod reader;
mod record;
mod state;
mod writer;

pub use budget::{Budget, RecordKind};
pub use fold::{Outcome, Refusal, Verdict, shape};
pub use http::HttpLog;
pub use log::{Batch, Error as LogError, Log, LogEntry};
pub use reader::{Alarm, Error as ReaderError, Reader, without_image};
pub use record::{
    Approve, Binding, BindingKey, BundleContent, Claim, DecodeError, Duty, MapChange, Publish, Record, RecordBody,
    RecordId, Roll, Snapshot,
};
pub use state::{Certificate, Holder, Image, PlacedMap, Proposal, State};
pub use writer::{CatchUpError, Receipt, SubmitOutcome, Writer};
