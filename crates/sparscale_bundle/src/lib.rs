//! The configuration bundle that operators publish, approve and roll.
//!
//! A [`Document`] is the unchecked text form. A [`Bundle`] is checked and keeps its workspaces in hash buckets that
//! versions share, so that a delta to one workspace costs about the same with 10 workspaces and with 10,000.

mod bundle;
mod check;
mod delta;
mod document;
mod hash;
pub mod sign;

pub use bundle::Bundle;
pub use check::Error;
pub use delta::{Change, Delta};
pub use document::{
    Call, Document, Fleet, Group, Hall, KeyHash, Limits, Model, Operator, Placement, QuietHours, Service, Target, Tier,
    Workspace,
};
pub use hash::Hash;
